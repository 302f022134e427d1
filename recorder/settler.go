package recorder

import (
	"context"
	"sync"
	"time"
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

// settlePause is the time between two rounds of settling while the ledger
// cannot be reached.
const settlePause = time.Second

// settleConcurrency bounds the ends that are settled at once.
const settleConcurrency = 64

func newSettler(r *Recorder) *settler {
	return &settler{recorder: r, waiting: map[string][]*operation{}, wake: make(chan struct{}, 1)}
}

func (s *settler) add(op *operation) {
	s.mutex.Lock()
	if op.size() > s.recorder.options.StoredAnswer || s.heldBytes+op.size() > s.recorder.options.HeldBytes {
		op.answer = nil
	}
	s.heldBytes += op.size()
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
		if op.kind == opSettle && op.answer != nil && op.call.Fingerprint == call.Fingerprint {
			return op.answer, true
		}
	}
	return nil, false
}

// run settles until ctx ends, and then what is left for a bounded time.
func (s *settler) run(ctx context.Context) error {
	for {
		left := s.round(ctx)
		pause := time.NewTimer(settlePause)
		if left == 0 {
			pause.Stop()
		}
		select {
		case <-ctx.Done():
			pause.Stop()
			s.drain(ctx)
			return nil
		case <-s.wake:
			pause.Stop()
		case <-pause.C:
		}
	}
}

func (s *settler) drain(ctx context.Context) {
	own, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.recorder.options.DrainTimeout)
	defer cancel()
	for s.round(own) > 0 {
		if !sleep(own, settlePause) {
			s.recorder.options.Log.Log(eventUnsettled, map[string]any{"ends": s.count()})
			return
		}
	}
}

// round tries every waiting end once and returns how many are left.
func (s *settler) round(ctx context.Context) int {
	todo := s.todo()
	slots := make(chan struct{}, settleConcurrency)
	ends := make(chan struct{}, len(todo))
	for _, op := range todo {
		slots <- struct{}{}
		go func() {
			s.settle(ctx, op)
			<-slots
			ends <- struct{}{}
		}()
	}
	for range todo {
		<-ends
	}
	return s.count()
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
		try, ready := s.recorder.prepared(ctx, op)
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
			s.heldBytes -= op.size()
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
