package placer

import (
	"container/heap"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// waiting is a demand in a queue.
type waiting struct {
	demand Demand
	// deadline is when the first token is due, and latest the last moment to
	// grant engines that are idle.
	deadline time.Time
	latest   time.Time
	// pieces is the decode memory to reserve.
	pieces identifier.Pieces
	// pausing tells that lesser streams were stopped for the demand.
	pausing bool
	// within tells in which heap of its rank the demand stands; index is its
	// place there.
	within bool
	index  int
}

// deadlineHeap orders demands by deadline, the earliest first. Ordering them by
// the last moment to start instead puts the longest prompts first in a flood,
// which loses more than it saves.
type deadlineHeap []*waiting

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a waiting demand for container/heap.
func (h *deadlineHeap) Push(x any) {
	w, _ := x.(*waiting)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop removes the last element for container/heap.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// queue holds the waiting demands of one rank. Those of accounts within their
// fair share go first, so that the flood of one account is its own.
type queue struct {
	within deadlineHeap
	beyond deadlineHeap
	// withinPieces and pieces are the memory that the demands of within and
	// that all waiting demands need together.
	withinPieces identifier.Pieces
	pieces       identifier.Pieces
}

func (q *queue) length() int {
	return len(q.within) + len(q.beyond)
}

func (q *queue) heapOf(w *waiting) *deadlineHeap {
	if w.within {
		return &q.within
	}
	return &q.beyond
}

// count adds a demand to the sums, or takes it off.
func (q *queue) count(w *waiting, pieces identifier.Pieces) {
	q.pieces += pieces
	if w.within {
		q.withinPieces += pieces
	}
}

// ahead is the memory that goes to the demands before a new one.
func (q *queue) ahead(within bool) identifier.Pieces {
	if within {
		return q.withinPieces
	}
	return q.pieces
}

func (q *queue) push(w *waiting) {
	heap.Push(q.heapOf(w), w)
}

func (q *queue) remove(w *waiting) {
	heap.Remove(q.heapOf(w), w.index)
}

// pop removes and returns the demand that goes next, or nil.
func (q *queue) pop() *waiting {
	for _, h := range [...]*deadlineHeap{&q.within, &q.beyond} {
		if len(*h) > 0 {
			w, _ := heap.Pop(h).(*waiting)
			return w
		}
	}
	return nil
}

// sacrifice returns a demand of an account beyond its share that may give way
// to one within, or nil.
func (q *queue) sacrifice() *waiting {
	if len(q.beyond) == 0 {
		return nil
	}
	return q.beyond[len(q.beyond)-1]
}

// late removes and returns a next demand whose last moment has passed, or nil.
func (q *queue) late(now time.Time) *waiting {
	for _, h := range [...]*deadlineHeap{&q.within, &q.beyond} {
		if len(*h) > 0 && (*h)[0].latest.Before(now) {
			w, _ := heap.Pop(h).(*waiting)
			return w
		}
	}
	return nil
}
