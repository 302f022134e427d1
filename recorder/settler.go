package recorder

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/foxtailspool/foxtailspool/logger"
)

// settler keeps the ends of this node's attempts until the ledger has them.
type settler struct {
	recorder *Recorder
	mutex    sync.Mutex
	// waiting holds the ends that are not yet kept, by key; an attempt has one.
	waiting map[string][]*operation
	// heldBytes counts the answer bodies in waiting.
	heldBytes int
	// wake has room for one and tells that waiting grew.
	wake chan struct{}
}

// settlePause is the time between two tries of one end.
const settlePause = time.Second

// settleConcurrency bounds the ends that are being settled at once. Each waits
// for the company of its page, about a second.
const settleConcurrency = 1024

func newSettler(r *Recorder) *settler {
	return &settler{recorder: r, waiting: map[string][]*operation{}, wake: make(chan struct{}, 1)}
}

func (s *settler) add(op *operation) {
	s.mutex.Lock()
	if op.answerBytes() > s.recorder.options.StoredAnswer || s.heldBytes+op.answerBytes() > s.recorder.options.HeldBytes {
		op.answer = nil
	}
	s.heldBytes += op.answerBytes()
	s.waiting[op.key.text] = append(s.waiting[op.key.text], op)
	s.mutex.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// held returns the answer of a key that is not yet in the ledger.
func (s *settler) held(call Call) (*Answer, bool) {
	key, err := parseKey(call.Key, call.Issued)
	if err != nil {
		return nil, false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, op := range s.waiting[key.text] {
		if op.kind == opAnswer && op.answer != nil && op.call.Fingerprint == call.Fingerprint {
			return op.answer, true
		}
	}
	return nil, false
}

// run settles until ctx ends, and then what is left for a bounded time.
func (s *settler) run(ctx context.Context) error {
	s.settleUntil(ctx, func() bool { return false })
	own, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.recorder.options.DrainTimeout)
	defer cancel()
	s.settleUntil(own, func() bool { return s.count() == 0 })
	if left := s.count(); left > 0 {
		s.recorder.options.Log.Log(eventOutcomesNotRecorded, logger.Fields{"ends": left})
	}
	return nil
}

// settleUntil tries all waiting ends, each again after a pause, until ctx ends
// or done tells so, and no try is under way.
func (s *settler) settleUntil(ctx context.Context, done func() bool) {
	ends := make(chan *operation, settleConcurrency)
	// retries holds when an end that failed may be tried again, and the zero
	// time while it is being tried.
	retries := map[*operation]time.Time{}
	trying := 0
	for ctx.Err() == nil && !done() {
		trying += s.start(ctx, retries, ends, settleConcurrency-trying)
		pause := time.NewTimer(settlePause)
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-pause.C:
		case op := <-ends:
			trying--
			s.ended(retries, op)
		}
		pause.Stop()
	}
	for ; trying > 0; trying-- {
		<-ends
	}
}

// start tries the ends that are due, at most a number of them, and returns how
// many it started.
func (s *settler) start(ctx context.Context, retries map[*operation]time.Time, ends chan<- *operation, most int) int {
	started := 0
	for _, op := range s.todo() {
		if started == most {
			break
		}
		retry, tried := retries[op]
		if tried && (retry.IsZero() || time.Now().Before(retry)) {
			continue
		}
		retries[op] = time.Time{}
		started++
		go func() {
			s.settle(ctx, op)
			ends <- op
		}()
	}
	return started
}

// ended schedules the next try of an end that is still waiting.
func (s *settler) ended(retries map[*operation]time.Time, op *operation) {
	if s.waits(op) {
		retries[op] = time.Now().Add(settlePause)
		return
	}
	delete(retries, op)
}

func (s *settler) waits(op *operation) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Contains(s.waiting[op.key.text], op)
}

func (s *settler) todo() []*operation {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var todo []*operation
	for _, operations := range s.waiting {
		todo = append(todo, operations...)
	}
	return todo
}

func (s *settler) count() int {
	return len(s.todo())
}

// settle tries one end once and forgets it when it is kept or past its window.
func (s *settler) settle(ctx context.Context, op *operation) {
	if !s.expired(op) {
		try, ready := s.recorder.prepareOutcome(ctx, op)
		if !ready || s.recorder.apply(ctx, try).failed {
			return
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	left := s.waiting[op.key.text]
	for i := range left {
		if left[i] == op {
			left = append(left[:i:i], left[i+1:]...)
			s.heldBytes -= op.answerBytes()
			break
		}
	}
	s.waiting[op.key.text] = left
	if len(left) == 0 {
		delete(s.waiting, op.key.text)
	}
}

// expired tells whether an end is of no use to any resend.
func (s *settler) expired(op *operation) bool {
	known := s.recorder.layout.Load()
	return known != nil && !known.admits(op.key.issued)
}
