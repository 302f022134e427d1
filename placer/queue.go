package placer

import (
	"container/heap"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// waitingDemand is a demand in a queue.
type waitingDemand struct {
	demand Demand
	// deadline is when the first token is due, and latest the last moment to
	// grant engines that are idle, for it to come in time.
	deadline    time.Time
	latestStart time.Time
	// priority is the deadline, set back by the memory that the demand needs.
	priority time.Time
	// pieces is the decode memory to reserve.
	pieces identifier.Pieces
	// isRetry tells that the demand's caller was refused before.
	isRetry bool
	// blockedBy is what the last try to place the demand found missing.
	blockedBy Lack
	// hasPreempted tells that lesser streams were stopped for the demand.
	hasPreempted bool
	// withinShare tells in which heap of its rank the demand stands; index is its
	// place there, and expiry its place in late.
	withinShare bool
	heapIndex   int
	expiryIndex int
}

// priorityHeap has the demand that goes next first. Ordering by the last moment to
// start instead puts the longest prompts first in a flood, which loses more
// than it saves.
type priorityHeap []*waitingDemand

func (h priorityHeap) Len() int           { return len(h) }
func (h priorityHeap) Less(i, j int) bool { return h[i].priority.Before(h[j].priority) }
func (h priorityHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push adds a waiting demand for container/heap.
func (h *priorityHeap) Push(x any) {
	w, _ := x.(*waitingDemand)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

// Pop removes the last element for container/heap.
func (h *priorityHeap) Pop() any {
	return popLast((*[]*waitingDemand)(h))
}

// expiryHeap has the demand that is late next first.
type expiryHeap []*waitingDemand

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].latestStart.Before(h[j].latestStart) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}

// Push adds a waiting demand for container/heap.
func (h *expiryHeap) Push(x any) {
	w, _ := x.(*waitingDemand)
	w.expiryIndex = len(*h)
	*h = append(*h, w)
}

// Pop removes the last element for container/heap.
func (h *expiryHeap) Pop() any {
	return popLast((*[]*waitingDemand)(h))
}

// popLast removes and returns the last element.
func popLast(list *[]*waitingDemand) *waitingDemand {
	last := len(*list) - 1
	w := (*list)[last]
	(*list)[last] = nil
	*list = (*list)[:last]
	return w
}

// queue holds the waiting demands of one rank. Those of accounts within their
// fair share go first, so that the flood of one account is its own.
type queue struct {
	// withinShare and beyond hold the demands that are not taken out for a try;
	// late holds all.
	withinShare priorityHeap
	beyondShare priorityHeap
	byExpiry    expiryHeap
	// pieces is the memory that all waiting demands need together; freshPieces leaves
	// out callers that came back, who go after all others, and withinPieces also
	// those of accounts beyond their share.
	withinPieces   identifier.Pieces
	firstTryPieces identifier.Pieces
	pieces         identifier.Pieces
}

func (q *queue) length() int {
	return len(q.byExpiry)
}

func (q *queue) heapOf(w *waitingDemand) *priorityHeap {
	if w.withinShare {
		return &q.withinShare
	}
	return &q.beyondShare
}

// add takes in a new demand.
func (q *queue) add(w *waitingDemand) {
	heap.Push(q.heapOf(w), w)
	heap.Push(&q.byExpiry, w)
	q.addPieces(w, w.pieces)
}

// remove takes out a demand.
func (q *queue) remove(w *waitingDemand) {
	heap.Remove(q.heapOf(w), w.heapIndex)
	q.removePopped(w)
}

// removePopped takes out a demand that next returned.
func (q *queue) removePopped(w *waitingDemand) {
	heap.Remove(&q.byExpiry, w.expiryIndex)
	q.addPieces(w, -w.pieces)
}

// popNext takes the demand that goes popNext out for a try, or returns nil. It is put
// back or forgotten afterwards.
func (q *queue) popNext() *waitingDemand {
	for _, h := range [...]*priorityHeap{&q.withinShare, &q.beyondShare} {
		if len(*h) > 0 {
			w, _ := heap.Pop(h).(*waitingDemand)
			return w
		}
	}
	return nil
}

// putBack returns a demand that next took out.
func (q *queue) putBack(w *waitingDemand) {
	heap.Push(q.heapOf(w), w)
}

// addPieces adds a demand to the sums, or takes it off.
func (q *queue) addPieces(w *waitingDemand, pieces identifier.Pieces) {
	q.pieces += pieces
	if w.isRetry {
		return
	}
	q.firstTryPieces += pieces
	if w.withinShare {
		q.withinPieces += pieces
	}
}

// piecesAhead is the memory that goes to the demands before a new one whose caller has
// not been refused.
func (q *queue) piecesAhead(within bool) identifier.Pieces {
	if within {
		return q.withinPieces
	}
	return q.firstTryPieces
}

// evictionCandidate returns a demand of an account beyond its share that may give way
// to one within, or nil.
func (q *queue) evictionCandidate() *waitingDemand {
	if len(q.beyondShare) == 0 {
		return nil
	}
	return q.beyondShare[len(q.beyondShare)-1]
}

// firstExpired returns a demand whose last moment has passed, or nil.
func (q *queue) firstExpired(now time.Time) *waitingDemand {
	if len(q.byExpiry) > 0 && q.byExpiry[0].latestStart.Before(now) {
		return q.byExpiry[0]
	}
	return nil
}
