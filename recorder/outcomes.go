package recorder

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/foxtailspool/foxtailspool/logger"
)

// outcomeQueue keeps the ends of this node's attempts until the ledger has them.
type outcomeQueue struct {
	recorder *Recorder
	mutex    sync.Mutex
	// pending holds the ends that are not yet kept, by key; an attempt has one.
	pending map[string][]*operation
	// pendingAnswerBytes counts the answer bodies in waiting.
	pendingAnswerBytes int
	// wake has room for one and tells that waiting grew.
	wake chan struct{}
}

// outcomeRetryDelay is the time between two tries of one end.
const outcomeRetryDelay = time.Second

// maxConcurrentOutcomes bounds the ends that are being settled at once. Each waits
// for the company of its page, about a second.
const maxConcurrentOutcomes = 1024

func newOutcomeQueue(r *Recorder) *outcomeQueue {
	return &outcomeQueue{recorder: r, pending: map[string][]*operation{}, wake: make(chan struct{}, 1)}
}

func (s *outcomeQueue) add(op *operation) {
	s.mutex.Lock()
	if op.answerBytes() > s.recorder.options.MaxStoredAnswerBytes || s.pendingAnswerBytes+op.answerBytes() > s.recorder.options.MaxPendingAnswerBytes {
		op.answer = nil
	}
	s.pendingAnswerBytes += op.answerBytes()
	s.pending[op.key.text] = append(s.pending[op.key.text], op)
	s.mutex.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// pendingAnswer returns the answer of a key that is not yet in the ledger.
func (s *outcomeQueue) pendingAnswer(call Call) (*Answer, bool) {
	key, err := parseKey(call.Key, call.Issued)
	if err != nil {
		return nil, false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, op := range s.pending[key.text] {
		if op.kind == opAnswer && op.answer != nil && op.call.Fingerprint == call.Fingerprint {
			return op.answer, true
		}
	}
	return nil, false
}

// run settles until ctx ends, and then what is left for a bounded time.
func (s *outcomeQueue) run(ctx context.Context) error {
	s.recordUntil(ctx, func() bool { return false })
	drainContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.recorder.options.DrainTimeout)
	defer cancel()
	s.recordUntil(drainContext, func() bool { return s.pendingCount() == 0 })
	if left := s.pendingCount(); left > 0 {
		s.recorder.options.Log.Log(eventOutcomesNotRecorded, logger.Fields{"ends": left})
	}
	return nil
}

// recordUntil tries all waiting ends, each again after a pause, until ctx ends
// or done tells so, and no try is under way.
func (s *outcomeQueue) recordUntil(ctx context.Context, done func() bool) {
	finished := make(chan *operation, maxConcurrentOutcomes)
	// retries holds when an end that failed may be tried again, and the zero
	// time while it is being tried.
	retries := map[*operation]time.Time{}
	inFlight := 0
	for ctx.Err() == nil && !done() {
		inFlight += s.startDue(ctx, retries, finished, maxConcurrentOutcomes-inFlight)
		pause := time.NewTimer(outcomeRetryDelay)
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-pause.C:
		case op := <-finished:
			inFlight--
			s.scheduleRetry(retries, op)
		}
		pause.Stop()
	}
	for ; inFlight > 0; inFlight-- {
		<-finished
	}
}

// startDue tries the ends that are due, at most a number of them, and returns how
// many it started.
func (s *outcomeQueue) startDue(ctx context.Context, retries map[*operation]time.Time, finished chan<- *operation, limit int) int {
	started := 0
	for _, op := range s.pendingOperations() {
		if started == limit {
			break
		}
		retry, tried := retries[op]
		if tried && (retry.IsZero() || time.Now().Before(retry)) {
			continue
		}
		retries[op] = time.Time{}
		started++
		go func() {
			s.record(ctx, op)
			finished <- op
		}()
	}
	return started
}

// scheduleRetry schedules the next try of an end that is still waiting.
func (s *outcomeQueue) scheduleRetry(retries map[*operation]time.Time, op *operation) {
	if s.isPending(op) {
		retries[op] = time.Now().Add(outcomeRetryDelay)
		return
	}
	delete(retries, op)
}

func (s *outcomeQueue) isPending(op *operation) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Contains(s.pending[op.key.text], op)
}

func (s *outcomeQueue) pendingOperations() []*operation {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var todo []*operation
	for _, operations := range s.pending {
		todo = append(todo, operations...)
	}
	return todo
}

func (s *outcomeQueue) pendingCount() int {
	return len(s.pendingOperations())
}

// record tries one end once and forgets it when it is kept or past its window.
func (s *outcomeQueue) record(ctx context.Context, op *operation) {
	if !s.isExpired(op) {
		prepared, ready := s.recorder.prepareOutcome(ctx, op)
		if !ready || s.recorder.apply(ctx, prepared).failed {
			return
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	left := s.pending[op.key.text]
	for i := range left {
		if left[i] == op {
			left = append(left[:i:i], left[i+1:]...)
			s.pendingAnswerBytes -= op.answerBytes()
			break
		}
	}
	s.pending[op.key.text] = left
	if len(left) == 0 {
		delete(s.pending, op.key.text)
	}
}

// isExpired tells whether an end is of no use to any resend.
func (s *outcomeQueue) isExpired(op *operation) bool {
	known := s.recorder.layout.Load()
	return known != nil && !known.admits(op.key.issued)
}
