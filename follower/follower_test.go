package follower

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/storer"
)

// slowStore delays each full list by listDelay and counts the calls.
type slowStore struct {
	listDelay               time.Duration
	listCalls, changesCalls int
}

func (s *slowStore) List(ctx context.Context, _ storer.Kind) (storer.Listing, error) {
	s.listCalls++
	select {
	case <-time.After(s.listDelay):
		return listingOf(2 + s.listCalls), nil
	case <-ctx.Done():
		return storer.Listing{}, storer.Uncertain.New("no answer")
	}
}

func (s *slowStore) Changes(context.Context, storer.Kind, storer.Version) ([]storer.Event, storer.Version, error) {
	s.changesCalls++
	return nil, "1000", nil
}

func newFollowerOfStore(store *slowStore) *Follower {
	f := newTestFollower()
	f.options.Store = store
	return f
}

// TestFirstReadOutlastsTimeout checks that a node without a copy waits for a store that
// is slow because many nodes start, and that a node with a copy does not.
func TestFirstReadOutlastsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{listDelay: time.Second}
		f := newFollowerOfStore(store)
		f.syncOnce(t.Context())
		if f.copyMissing() {
			t.Fatal("the first read timed out")
		}
		store.listDelay = time.Minute
		time.Sleep(fullReadInterval)
		startedAt := time.Now()
		if f.readStore(t.Context()) || time.Since(startedAt) > 3*f.options.Timeout {
			t.Errorf("a node with a copy of 500 entries waited for %v", time.Since(startedAt))
		}
	})
}

// TestLongListIsReadIncrementally counts the store calls in ten seconds: a long list
// must be read mostly by its changes, with a full read only once per fullReadInterval.
func TestLongListIsReadIncrementally(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{}
		f := newFollowerOfStore(store)
		ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
		defer stop()
		for ctx.Err() == nil {
			f.readStore(ctx)
			time.Sleep(f.options.ReadInterval)
		}
		if maxLists := int(10*time.Second/fullReadInterval) + 1; store.listCalls > maxLists || store.changesCalls < 2*maxLists {
			t.Errorf("%d lists and %d reads of changes", store.listCalls, store.changesCalls)
		}
	})
}
