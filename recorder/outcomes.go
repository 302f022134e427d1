package recorder

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/foxtailspool/foxtailspool/logger"
)

// outcomeQueue holds the outcomes of this node's attempts until they are recorded.
type outcomeQueue struct {
	recorder *Recorder
	mutex    sync.Mutex
	// pending holds the unrecorded outcomes by key, one for each attempt.
	pending map[string][]*operation
	// pendingAnswerBytes is the total size of the answer bodies in pending.
	pendingAnswerBytes int
	// wake signals that pending has grown. It holds one signal.
	wake chan struct{}
}

// outcomeRetryDelay is the time between two tries to record an outcome.
const outcomeRetryDelay = time.Second

// maxConcurrentOutcomes bounds the outcomes that are recorded at once. Each takes about
// a second, because it waits to be batched with other operations on its page.
const maxConcurrentOutcomes = 1024

func newOutcomeQueue(r *Recorder) *outcomeQueue {
	return &outcomeQueue{recorder: r, pending: map[string][]*operation{}, wake: make(chan struct{}, 1)}
}

// add queues an outcome. It discards an answer that exceeds a size limit.
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

// pendingAnswer returns a call's answer if it is queued, and false otherwise.
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

// run records outcomes until ctx ends, then the pending ones for up to DrainTimeout.
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

// recordUntil records the pending outcomes, and retries those that fail, until ctx
// ends or done returns true. It waits for the tries in flight before it returns.
func (s *outcomeQueue) recordUntil(ctx context.Context, done func() bool) {
	finished := make(chan *operation, maxConcurrentOutcomes)
	// retries holds the time of each outcome's next try, zero while a try is in flight.
	retries := map[*operation]time.Time{}
	inFlight := 0
	for ctx.Err() == nil && !done() {
		inFlight += s.startDueTries(ctx, retries, finished, maxConcurrentOutcomes-inFlight)
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

// startDueTries starts at most limit of the tries that are due and returns their number.
func (s *outcomeQueue) startDueTries(ctx context.Context, retries map[*operation]time.Time, finished chan<- *operation, limit int) int {
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

// scheduleRetry sets the time of the next try if the outcome is still pending.
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

// record tries once to record an outcome. It removes the outcome from the queue if
// that succeeds or the key has left the window.
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

// isExpired reports whether no resend can read the outcome any more.
func (s *outcomeQueue) isExpired(op *operation) bool {
	known := s.recorder.layout.Load()
	return known != nil && !known.inWindow(op.key.issued)
}
