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
	// grant engines that are idle, for it to come in time.
	deadline time.Time
	latest   time.Time
	// order is the deadline, set back by the memory that the demand needs.
	order time.Time
	// pieces is the decode memory to reserve.
	pieces identifier.Pieces
	// returned tells that the demand's caller was refused before.
	returned bool
	// lacking is what the last try to place the demand found missing.
	lacking Lack
	// pausing tells that lesser streams were stopped for the demand.
	pausing bool
	// within tells in which heap of its rank the demand stands; index is its
	// place there, and expiry its place in late.
	within bool
	index  int
	expiry int
}

// orderHeap has the demand that goes next first. Ordering by the last moment to
// start instead puts the longest prompts first in a flood, which loses more
// than it saves.
type orderHeap []*waiting

func (h orderHeap) Len() int           { return len(h) }
func (h orderHeap) Less(i, j int) bool { return h[i].order.Before(h[j].order) }
func (h orderHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a waiting demand for container/heap.
func (h *orderHeap) Push(x any) {
	w, _ := x.(*waiting)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop removes the last element for container/heap.
func (h *orderHeap) Pop() any {
	return cut((*[]*waiting)(h))
}

// expiryHeap has the demand that is late next first.
type expiryHeap []*waiting

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].latest.Before(h[j].latest) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiry, h[j].expiry = i, j
}

// Push adds a waiting demand for container/heap.
func (h *expiryHeap) Push(x any) {
	w, _ := x.(*waiting)
	w.expiry = len(*h)
	*h = append(*h, w)
}

// Pop removes the last element for container/heap.
func (h *expiryHeap) Pop() any {
	return cut((*[]*waiting)(h))
}

// cut removes and returns the last element.
func cut(list *[]*waiting) *waiting {
	last := len(*list) - 1
	w := (*list)[last]
	(*list)[last] = nil
	*list = (*list)[:last]
	return w
}

// queue holds the waiting demands of one rank. Those of accounts within their
// fair share go first, so that the flood of one account is its own.
type queue struct {
	// within and beyond hold the demands that are not taken out for a try;
	// late holds all.
	within orderHeap
	beyond orderHeap
	late   expiryHeap
	// pieces is the memory that all waiting demands need together; freshPieces leaves
	// out callers that came back, who go after all others, and withinPieces also
	// those of accounts beyond their share.
	withinPieces identifier.Pieces
	freshPieces  identifier.Pieces
	pieces       identifier.Pieces
}

func (q *queue) length() int {
	return len(q.late)
}

func (q *queue) heapOf(w *waiting) *orderHeap {
	if w.within {
		return &q.within
	}
	return &q.beyond
}

// add takes in a new demand.
func (q *queue) add(w *waiting) {
	heap.Push(q.heapOf(w), w)
	heap.Push(&q.late, w)
	q.count(w, w.pieces)
}

// remove takes out a demand.
func (q *queue) remove(w *waiting) {
	heap.Remove(q.heapOf(w), w.index)
	q.forget(w)
}

// forget takes out a demand that next returned.
func (q *queue) forget(w *waiting) {
	heap.Remove(&q.late, w.expiry)
	q.count(w, -w.pieces)
}

// next takes the demand that goes next out for a try, or returns nil. It is put
// back or forgotten afterwards.
func (q *queue) next() *waiting {
	for _, h := range [...]*orderHeap{&q.within, &q.beyond} {
		if len(*h) > 0 {
			w, _ := heap.Pop(h).(*waiting)
			return w
		}
	}
	return nil
}

// putBack returns a demand that next took out.
func (q *queue) putBack(w *waiting) {
	heap.Push(q.heapOf(w), w)
}

// count adds a demand to the sums, or takes it off.
func (q *queue) count(w *waiting, pieces identifier.Pieces) {
	q.pieces += pieces
	if w.returned {
		return
	}
	q.freshPieces += pieces
	if w.within {
		q.withinPieces += pieces
	}
}

// ahead is the memory that goes to the demands before a new one whose caller has
// not been refused.
func (q *queue) ahead(within bool) identifier.Pieces {
	if within {
		return q.withinPieces
	}
	return q.freshPieces
}

// sacrifice returns a demand of an account beyond its share that may give way
// to one within, or nil.
func (q *queue) sacrifice() *waiting {
	if len(q.beyond) == 0 {
		return nil
	}
	return q.beyond[len(q.beyond)-1]
}

// expired returns a demand whose last moment has passed, or nil.
func (q *queue) expired(now time.Time) *waiting {
	if len(q.late) > 0 && q.late[0].latest.Before(now) {
		return q.late[0]
	}
	return nil
}
