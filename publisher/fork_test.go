package publisher_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/publisher"
	"github.com/foxtailspool/foxtailspool/storer"
)

type unreachableStore struct {
	storer.Store
	unreachable atomic.Bool
}

func (u *unreachableStore) checkReachable() error {
	if u.unreachable.Load() {
		return storer.Unavailable.New("cut off")
	}
	return nil
}

func (u *unreachableStore) Get(ctx context.Context, kind storer.Kind, name string) (storer.Object, error) {
	if err := u.checkReachable(); err != nil {
		return storer.Object{}, err
	}
	return u.Store.Get(ctx, kind, name)
}

func (u *unreachableStore) List(ctx context.Context, kind storer.Kind) (storer.Listing, error) {
	if err := u.checkReachable(); err != nil {
		return storer.Listing{}, err
	}
	return u.Store.List(ctx, kind)
}

func (u *unreachableStore) Create(ctx context.Context, object storer.Object) (storer.Object, error) {
	if err := u.checkReachable(); err != nil {
		return storer.Object{}, err
	}
	return u.Store.Create(ctx, object)
}

func (u *unreachableStore) Update(ctx context.Context, object storer.Object) (storer.Object, error) {
	if err := u.checkReachable(); err != nil {
		return storer.Object{}, err
	}
	return u.Store.Update(ctx, object)
}

func (u *unreachableStore) Watch(ctx context.Context, kind storer.Kind, after storer.Version) (storer.Watch, error) {
	if err := u.checkReachable(); err != nil {
		return nil, err
	}
	watch, err := u.Store.Watch(ctx, kind, after)
	if err != nil {
		return nil, err
	}
	return unreachableWatch{watch, u}, nil
}

// unreachableWatch fails instead of returning an event if its store is unreachable.
type unreachableWatch struct {
	storer.Watch
	store *unreachableStore
}

func (u unreachableWatch) Next() (storer.Event, error) {
	event, err := u.Watch.Next()
	if failure := u.store.checkReachable(); failure != nil {
		return storer.Event{}, failure
	}
	return event, err
}

type eventLog struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (e *eventLog) Write(line []byte) (int, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.text.Write(line)
}

func (e *eventLog) contains(text string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return strings.Contains(e.text.String(), text)
}

// TestTwoConfigurationsWithOneNumber tests that nodes converge after the store is
// restored from a backup and a new edit gets the number of a later configuration
// on an isolated node: event 5006 is logged and the store's content is republished.
func TestTwoConfigurationsWithOneNumber(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 3)
		events := &eventLog{}
		f.log = logger.New(events, logrus.InfoLevel, nil)
		isolated := f.order[5]
		isolatedStore := &unreachableStore{Store: f.store}
		isolated.store = isolatedStore
		f.start()
		f.wantState(f.order[0].apply(routes("book", "desk"), pools("a")), publisher.ApplyAccepted)
		f.await("configuration 1 everywhere", 12*time.Second, func() bool { return f.activeEverywhere(1) })
		backup := f.platform.Backup()
		f.wantState(f.order[0].apply(nil, pools("lost")), publisher.ApplyAccepted)
		f.await("configuration 2 everywhere", 12*time.Second, func() bool { return f.activeEverywhere(2) })

		isolatedStore.unreachable.Store(true)
		f.setPartition(func(from, to *node) bool { return from == isolated || to == isolated })
		for _, other := range f.order[:5] {
			other.kill()
		}
		f.platform.Restore(backup)
		for _, other := range f.order[:5] {
			other.start()
		}
		second := f.wantState(f.order[0].apply(nil, pools("kept")), publisher.ApplyAccepted)
		if second.Configuration != 2 || events.contains(`"event":5006`) {
			t.Errorf("the edit after the restore got number %d", second.Configuration)
		}
		time.Sleep(time.Minute)
		isolatedStore.unreachable.Store(false)
		f.setPartition(nil)
		reconnectedAt := time.Now()
		// The owner of the tables republishes once it sees the isolated node's stamp.
		f.await("one configuration everywhere", 5*time.Minute, func() bool { return f.activeEverywhere(3) })
		t.Logf("one configuration %s after the partition", time.Since(reconnectedAt).Round(time.Second))
		if !events.contains(`"event":5006`) {
			t.Error("event 5006 was not logged")
		}
		for _, node := range f.order {
			if s := node.Snapshot(); s.Number != 3 || s.Pools.Pools[0].Members[0].Name != "kept" {
				t.Errorf("%s has %d with %+v", node.member.Node, s.Number, s.Pools)
			}
		}
		f.checkMonotonic()
	})
}
