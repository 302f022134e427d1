package recorder

import (
	"context"
	"encoding/binary"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/storer"
)

// fault is how one call of the fake store fails.
type fault int

const (
	noFault fault = iota
	// unavailable: the call has no effect, and the caller knows that.
	unavailable
	// replyLostNotApplied: the call has no effect, but its reply is lost.
	replyLostNotApplied
	// replyLostApplied: the call takes effect, but its reply is lost.
	replyLostApplied
	// replyLostAppliedLate: the reply is lost and a write takes effect later.
	replyLostAppliedLate
)

// fakeStore is an in-memory platform with injected faults.
type fakeStore struct {
	mutex   sync.Mutex
	objects map[string]storer.Object
	version int
	// fault returns the fault of the next call; nil means no faults.
	fault func(method, name string) fault
	// latency is how long a call takes before it has its effect.
	latency time.Duration
	// extraLatency returns the time that a call takes beyond latency; nil means zero.
	extraLatency func(method, name string) time.Duration
	// delayedWrites holds the writes that applyDelayedWrites applies.
	delayedWrites []func()
	writes        int
	reads         int
	bytes         int
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string]storer.Object{}}
}

func (s *fakeStore) nextFault(method, name string) fault {
	if s.fault == nil {
		return noFault
	}
	return s.fault(method, name)
}

func (s *fakeStore) Get(_ context.Context, _ storer.Kind, name string) (storer.Object, error) {
	s.delay("get", name)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reads++
	switch s.nextFault("get", name) {
	case noFault:
	case unavailable:
		return storer.Object{}, storer.Unavailable.New("out")
	case replyLostNotApplied, replyLostApplied, replyLostAppliedLate:
		return storer.Object{}, storer.Uncertain.New("lost")
	}
	object, ok := s.objects[name]
	if !ok {
		return storer.Object{}, storer.NotFound.New("%s", name)
	}
	return object, nil
}

func (s *fakeStore) delay(method, name string) {
	total := s.latency
	s.mutex.Lock()
	if s.extraLatency != nil {
		total += s.extraLatency(method, name)
	}
	s.mutex.Unlock()
	if total > 0 {
		time.Sleep(total)
	}
}

func (s *fakeStore) write(method string, object storer.Object, do func() (storer.Object, error)) (storer.Object, error) {
	s.delay(method, object.Name)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writes++
	s.bytes += len(object.Spec)
	switch s.nextFault(method, object.Name) {
	case unavailable:
		return storer.Object{}, storer.Unavailable.New("out")
	case replyLostNotApplied:
		return storer.Object{}, storer.Uncertain.New("lost")
	case replyLostApplied:
		_, _ = do()
		return storer.Object{}, storer.Uncertain.New("lost")
	case replyLostAppliedLate:
		s.delayedWrites = append(s.delayedWrites, func() { _, _ = do() })
		return storer.Object{}, storer.Uncertain.New("lost")
	case noFault:
	}
	return do()
}

func (s *fakeStore) applyDelayedWrites() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, do := range s.delayedWrites {
		do()
	}
	s.delayedWrites = nil
}

func (s *fakeStore) put(object storer.Object) storer.Object {
	s.version++
	object.Version = storer.Version(strconv.Itoa(s.version))
	s.objects[object.Name] = object
	return object
}

func (s *fakeStore) Create(_ context.Context, object storer.Object) (storer.Object, error) {
	return s.write("create", object, func() (storer.Object, error) {
		if _, taken := s.objects[object.Name]; taken {
			return storer.Object{}, storer.Conflict.New("%s", object.Name)
		}
		return s.put(object), nil
	})
}

func (s *fakeStore) Update(_ context.Context, object storer.Object) (storer.Object, error) {
	return s.write("update", object, func() (storer.Object, error) {
		stored, ok := s.objects[object.Name]
		if !ok {
			return storer.Object{}, storer.NotFound.New("%s", object.Name)
		}
		if stored.Version != object.Version {
			return storer.Object{}, storer.Conflict.New("%s", object.Name)
		}
		return s.put(object), nil
	})
}

func (s *fakeStore) Delete(_ context.Context, object storer.Object) error {
	_, err := s.write("delete", object, func() (storer.Object, error) {
		stored, ok := s.objects[object.Name]
		if !ok {
			return storer.Object{}, storer.NotFound.New("%s", object.Name)
		}
		if stored.Version != object.Version {
			return storer.Object{}, storer.Conflict.New("%s", object.Name)
		}
		delete(s.objects, object.Name)
		return storer.Object{}, nil
	})
	return err
}

func (s *fakeStore) List(context.Context, storer.Kind) (storer.Listing, error) {
	return storer.Listing{}, storer.Unavailable.New("not offered")
}

func (s *fakeStore) Watch(context.Context, storer.Kind, storer.Version) (storer.Watch, error) {
	return nil, storer.Unavailable.New("not offered")
}

// setFault replaces the function that chooses faults.
func (s *fakeStore) setFault(f func(method, name string) fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = f
}

// alwaysFault makes every call fail in the same way.
func alwaysFault(f fault) func(string, string) fault {
	return func(string, string) fault { return f }
}

// singleNodeView returns a View function for a node that knows no other node.
func singleNodeView(node identifier.Node, incarnation identifier.Incarnation) func() *assigner.View {
	self := assigner.Member{Node: node, Incarnation: incarnation, State: assigner.Alive}
	view := &assigner.View{Self: self, Members: []assigner.Member{self}}
	return func() *assigner.View { return view }
}

// startRecorder runs a recorder until the test ends.
func startRecorder(t testing.TB, options Options) *Recorder {
	t.Helper()
	r, stop := startStoppable(t, options)
	t.Cleanup(stop)
	return r
}

// startStoppable runs a recorder until the returned function is called.
func startStoppable(t testing.TB, options Options) (*Recorder, func()) {
	t.Helper()
	r := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	end := make(chan error, 1)
	go func() { end <- r.Run(ctx) }()
	return r, func() {
		cancel()
		if err := <-end; err != nil {
			t.Errorf("recorder ended: %v", err)
		}
	}
}

// newKey returns a UUIDv7 issued age ago. Each n gives another key.
func newKey(n int, age time.Duration) identifier.Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(time.Now().Add(-age).UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], xxhash.Sum64String(strconv.Itoa(n)))
	const version, variant = 0x70, 0x80
	id[6] = version
	id[8] = variant | id[8]&0x3f
	return identifier.Key(id.String())
}

func newCall(key identifier.Key, attempt int, node identifier.Node) Call {
	return Call{
		Key:         key,
		Fingerprint: 7,
		Attempt:     identifier.Attempt(fmt.Sprintf("%s-%d", node, attempt)),
		Node:        node,
		Incarnation: 1,
	}
}
