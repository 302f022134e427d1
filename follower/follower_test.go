package follower

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/storer"
)

// slowStore takes some time for a list, and counts what is asked of it.
type slowStore struct {
	takes          time.Duration
	lists, changes int
}

func (s *slowStore) List(ctx context.Context, _ storer.Kind) (storer.Listing, error) {
	s.lists++
	select {
	case <-time.After(s.takes):
		return listingOf(2 + s.lists), nil
	case <-ctx.Done():
		return storer.Listing{}, storer.Uncertain.New("no answer")
	}
}

func (s *slowStore) Changes(context.Context, storer.Kind, storer.Version) ([]storer.Event, storer.Version, error) {
	s.changes++
	return nil, "1000", nil
}

func newSlowFollower(store *slowStore) *Follower {
	f := newTestFollower()
	f.options.Store = store
	return f
}

// TestFirstCopyMayTakeLong holds that a node without a copy waits for a store that is
// busy with others that start, and that a node with one does not.
func TestFirstCopyMayTakeLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{takes: time.Second}
		f := newSlowFollower(store)
		f.round(t.Context())
		if f.missing() {
			t.Fatal("the first copy was given up")
		}
		store.takes = time.Minute
		time.Sleep(listInterval)
		asked := time.Now()
		if f.read(t.Context()) || time.Since(asked) > 3*f.options.Timeout {
			t.Errorf("a node with a copy of 500 entries waited for %v", time.Since(asked))
		}
	})
}

// TestLongListsAreReadByTheirChanges counts the reads of ten seconds.
func TestLongListsAreReadByTheirChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{}
		f := newSlowFollower(store)
		ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
		defer stop()
		for ctx.Err() == nil {
			f.read(ctx)
			time.Sleep(f.options.Interval)
		}
		if most := int(10*time.Second/listInterval) + 1; store.lists > most || store.changes < 2*most {
			t.Errorf("%d lists and %d reads of changes", store.lists, store.changes)
		}
	})
}
