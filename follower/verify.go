package follower

import (
	"context"
	"time"

	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/storer"
)

// verifyPause is how long a node that reads large objects whole pauses, as a multiple of the
// time that the last read took, so that these reads take a small part of its link.
const verifyPause = 4

// verifyLarge reads collections with large objects whole from time to time while this node is
// a reader, until ctx ends. The changes that the node reads in between can miss some.
func (f *Follower) verifyLarge(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, f.options.ReadInterval)
		for _, kind := range f.options.Kinds {
			if f.isReader.Load() && f.verifyDue(kind) {
				f.verifyCopy(ctx, kind)
			}
		}
	}
}

func (f *Follower) verifyDue(kind storer.Kind) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	current := f.copies[kind]
	return current.loaded && current.isLarge() && time.Since(current.lastFullRead) >= max(fullReadInterval, verifyPause*current.fullReadTime)
}

// verifyCopy reads a collection whole and adds what the copy lacks.
func (f *Follower) verifyCopy(ctx context.Context, kind storer.Kind) {
	startedAt := time.Now()
	f.storeReads.Inc(1)
	bounded, cancel := boundAnswer(ctx, f.options.Timeout, maxContentTime)
	defer cancel()
	listing, err := f.options.Store.List(bounded, kind)
	f.mutex.Lock()
	current := f.copies[kind]
	current.lastFullRead, current.fullReadTime = startedAt, time.Since(startedAt)
	if err == nil {
		f.updateLocked(kind, current, f.withListed(current.listing, listing), startedAt)
	}
	f.mutex.Unlock()
	if err != nil && ctx.Err() == nil {
		f.storeReadFailures.Inc(1)
		f.options.Log.Log(eventVerifyFailed, logger.Fields{"kind": kind, "error": err.Error()})
	}
}

// withListed returns a listing, or if the copy has meanwhile become later, the copy with the
// objects of the listing that are later than its own.
func (f *Follower) withListed(own, listing storer.Listing) storer.Listing {
	if f.options.GenerationOf(own.Version) != f.options.GenerationOf(listing.Version) || f.options.Compare(listing.Version, own.Version) >= 0 {
		return listing
	}
	events := make([]storer.Event, 0, len(listing.Objects))
	for _, object := range listing.Objects {
		if held, found := findObject(own.Objects, object.Name); found && f.options.Compare(object.Version, held.Version) > 0 {
			events = append(events, storer.Event{Change: storer.Modified, Object: object})
		}
	}
	return storer.Listing{Version: own.Version, Objects: applyEvents(own.Objects, events, f.options.Compare)}
}
