package placer

import (
	"container/heap"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// waitingDemand is a demand in a queue.
type waitingDemand struct {
	demand Demand
	// deadline is when the first token is due.
	deadline time.Time
	// latestStart is the latest time to grant the demand. After it, even idle engines
	// would miss the deadline, or the time allowed in the queue has ended.
	latestStart time.Time
	// answerBy is when the caller stops waiting for the complete answer; zero means unknown.
	answerBy time.Time
	// maxWait is how long a retry with a known answerBy may wait for memory; negative if its
	// run takes longer than its caller waits.
	maxWait time.Duration
	// priority orders the demands of a queue, the earliest time first: it is the deadline
	// plus a delay for the memory that the demand needs.
	priority time.Time
	// pieces is the decode memory to reserve.
	pieces identifier.Pieces
	// isRetry reports that the demand's caller was refused before.
	isRetry bool
	// blockedBy is what blocked the demand at its last try.
	blockedBy Blocker
	// triedForecast is the latest forecast with which the demand fitted on no decode engine;
	// zero before its first try.
	triedForecast uint64
	// hasPreempted reports that lesser streams were preempted for the demand.
	hasPreempted bool
	// withinShare reports whether the account was within its share when the demand came. It
	// and isRetry tell which heap of its queue holds the demand.
	withinShare bool
	heapIndex   int
	expiryIndex int
}

// priorityHeap has the demand with the earliest priority first. Ordering by latestStart
// instead would put the longest prompts first under overload, and more demands would miss
// their deadline.
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

// expiryHeap has the demand with the earliest latestStart first.
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

// turn numbers the groups of waiting demands that go one after the other.
type turn uint8

// First attempts go before repeats, which have missed their target. Within either, demands
// of accounts within their share go first.
const (
	firstWithinShare turn = iota
	firstBeyondShare
	retryWithinShare
	retryBeyondShare
	turnCount
)

// turns is a range of turns, both ends included.
type turns struct {
	first, last turn
}

var (
	firstAttempts = turns{firstWithinShare, firstBeyondShare}
	repeats       = turns{retryWithinShare, retryBeyondShare}
)

func (w *waitingDemand) turn() turn {
	switch {
	case !w.isRetry && w.withinShare:
		return firstWithinShare
	case !w.isRetry:
		return firstBeyondShare
	case w.withinShare:
		return retryWithinShare
	default:
		return retryBeyondShare
	}
}

// queue holds the waiting demands of one rank. Demands of accounts within their fair
// share go first, so that an account that floods the queue delays only itself.
type queue struct {
	// byTurn has the demands of each turn, ordered by priority. Demands that popNext took
	// out for a try are only in byExpiry, which has all demands.
	byTurn   [turnCount]priorityHeap
	byExpiry expiryHeap
	// withinSharePieces is the memory of non-retry demands of accounts within their share.
	withinSharePieces identifier.Pieces
	// firstTryPieces is the memory needed by all demands but retries, which go last.
	firstTryPieces identifier.Pieces
	// pieces is the memory needed by all demands.
	pieces identifier.Pieces
}

func (q *queue) length() int {
	return len(q.byExpiry)
}

func (q *queue) heapOf(w *waitingDemand) *priorityHeap {
	return &q.byTurn[w.turn()]
}

func (q *queue) add(w *waitingDemand) {
	heap.Push(q.heapOf(w), w)
	heap.Push(&q.byExpiry, w)
	q.addPieces(w, w.pieces)
}

// remove removes a demand that is in its heap.
func (q *queue) remove(w *waitingDemand) {
	heap.Remove(q.heapOf(w), w.heapIndex)
	q.removePopped(w)
}

// removePopped removes a demand that popNext returned.
func (q *queue) removePopped(w *waitingDemand) {
	heap.Remove(&q.byExpiry, w.expiryIndex)
	q.addPieces(w, -w.pieces)
}

// popNext takes the next demand of some turns out of its heap, or returns nil if there is none.
// The caller must pass the demand to putBack or removePopped afterwards.
func (q *queue) popNext(turns turns) *waitingDemand {
	for i := turns.first; i <= turns.last; i++ {
		if h := &q.byTurn[i]; len(*h) > 0 {
			w, _ := heap.Pop(h).(*waitingDemand)
			return w
		}
	}
	return nil
}

// putBack returns a demand from popNext to its heap.
func (q *queue) putBack(w *waitingDemand) {
	heap.Push(q.heapOf(w), w)
}

// addPieces adds to the sums of needed memory; pieces is negative to subtract.
func (q *queue) addPieces(w *waitingDemand, pieces identifier.Pieces) {
	q.pieces += pieces
	if w.isRetry {
		return
	}
	q.firstTryPieces += pieces
	if w.withinShare {
		q.withinSharePieces += pieces
	}
}

// piecesAhead returns the memory needed by demands ahead of a new, non-retry demand.
func (q *queue) piecesAhead(within bool) identifier.Pieces {
	if within {
		return q.withinSharePieces
	}
	return q.firstTryPieces
}

// evictionCandidate returns the demand that is refused if the queue is full and w arrives: one of
// the last turn, if that is after w's turn, or nil.
func (q *queue) evictionCandidate(w *waitingDemand) *waitingDemand {
	for t := turnCount - 1; t > w.turn(); t-- {
		if h := q.byTurn[t]; len(h) > 0 {
			return h[len(h)-1]
		}
	}
	return nil
}

// firstExpired returns a demand whose latestStart has passed, or nil.
func (q *queue) firstExpired(now time.Time) *waitingDemand {
	if len(q.byExpiry) > 0 && q.byExpiry[0].latestStart.Before(now) {
		return q.byExpiry[0]
	}
	return nil
}
