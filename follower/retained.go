package follower

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	rpc "github.com/foxtailspool/foxtailspool/follower/followerrpc"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/storer"
)

// A store that was restored from a backup lists what it held some time ago. A node may know
// more: an object that is later than the listed one or newer than the backup, or that a
// listed object had been removed. It merges this into the listing that it passes on. The
// nodes send one another the listing and what they retain separately, so that deltas and
// digests of the listing stay those of the store.

const (
	// maxRemovalAge is how long a removal is remembered. Backups are some seconds old.
	maxRemovalAge = time.Minute
	// maxRetained limits the retained objects of a collection, against a list whose
	// entries come and go. It exceeds the number of back ends at the target size.
	maxRetained = 4096
	// retainedSuffix is added to a kind for the retained objects sent to peers.
	retainedSuffix = "/retained"
)

// retained is an object that is known to be later than one of the same name from a backup,
// or that the backup may lack.
type retained struct {
	// object is the latest known one. If it was removed, its version is that of the
	// listing without it.
	object  storer.Object
	removed bool
	since   time.Time
}

func retainedKind(kind storer.Kind) string { return string(kind) + retainedSuffix }

// listedKind returns the kind whose retained objects a kind names, or the kind itself.
func listedKind(kind storer.Kind) storer.Kind {
	return storer.Kind(strings.TrimSuffix(string(kind), retainedSuffix))
}

// isRestoredBy reports whether a listing is of a later generation than the copy.
func (f *Follower) isRestoredBy(current *localCopy, listing storer.Listing) bool {
	return current.loaded && f.options.GenerationOf(listing.Version) > f.options.GenerationOf(current.listing.Version)
}

// retainBefore records what the copy, of the given age, knows that the next listing may
// lack. The caller must hold the mutex and replace the copy's listing by next.
func (f *Follower) retainBefore(kind storer.Kind, current *localCopy, age time.Duration, next storer.Listing) {
	now := time.Now()
	if f.isRestoredBy(current, next) {
		f.retainOverRestored(kind, current, age, next, now)
		return
	}
	for _, object := range current.listing.Objects {
		if _, listed := findObject(next.Objects, object.Name); listed {
			continue
		}
		if known, held := current.retained[object.Name]; held {
			object = known.object
		}
		object.Version = next.Version
		current.retain(retained{object: object, removed: true, since: now})
	}
}

// retainOverRestored is retainBefore for a listing of a later generation. An object that it
// has and a recent copy lacks had been removed, or is too new to tell: both count as removed.
func (f *Follower) retainOverRestored(kind storer.Kind, current *localCopy, age time.Duration, next storer.Listing, now time.Time) {
	for _, object := range current.merged {
		listed, isListed := findObject(next.Objects, object.Name)
		if f.mayHold(kind, object, listed, isListed, age) {
			current.retain(retained{object: object, since: now})
		}
	}
	if age >= f.options.LapseTime {
		return
	}
	for _, object := range next.Objects {
		_, held := findObject(current.merged, object.Name)
		_, known := current.retained[object.Name]
		if !held && !known {
			object.Version = current.listing.Version
			current.retain(retained{object: object, removed: true, since: now})
		}
	}
}

// mayHold reports whether an object of a copy of the given age may hold against what a
// restored listing has of its name. If the listing has nothing, an old copy proves nothing:
// the object may have been removed before the backup was made.
func (f *Follower) mayHold(kind storer.Kind, object, listed storer.Object, isListed bool, age time.Duration) bool {
	return f.supersedes(kind, object, listed) || !isListed && age < f.options.LapseTime
}

// supersedes is Options.Supersedes without a call for equal objects.
func (f *Follower) supersedes(kind storer.Kind, held, listed storer.Object) bool {
	return !bytes.Equal(held.Spec, listed.Spec) && f.options.Supersedes(kind, held, listed)
}

// retain stores an entry unless the copy holds too many.
func (c *localCopy) retain(entry retained) {
	if _, held := c.retained[entry.object.Name]; !held && len(c.retained) >= maxRetained {
		return
	}
	if c.retained == nil {
		c.retained = map[string]retained{}
	}
	c.retained[entry.object.Name] = entry
}

// findObject finds an object by name in a list sorted by name.
func findObject(objects []storer.Object, name string) (storer.Object, bool) {
	at, found := slices.BinarySearchFunc(objects, name, func(o storer.Object, name string) int { return strings.Compare(o.Name, name) })
	if !found {
		return storer.Object{}, false
	}
	return objects[at], true
}

// mergeRetained merges the retained objects of earlier generations into the copy's listing,
// and passes the result on if it has changed. It drops those that have become obsolete. The
// caller must hold the mutex.
func (f *Follower) mergeRetained(kind storer.Kind, current *localCopy, first bool) {
	now := time.Now()
	changes := delta{}
	for name, entry := range current.retained {
		listed, isListed := findObject(current.listing.Objects, name)
		switch {
		case !f.holds(kind, current, entry, listed, now):
			delete(current.retained, name)
		case !entry.removed:
			changes.stored = append(changes.stored, entry.object)
		case isListed:
			changes.removed = append(changes.removed, name)
		}
	}
	merged, digest := current.listing.Objects, current.digest
	if len(changes.stored)+len(changes.removed) > 0 {
		merged = changes.apply(current.listing.Objects)
		digest = objectsDigest(merged)
	}
	changed := first || digest != current.mergedDigest
	current.merged, current.mergedDigest = merged, digest
	if changed {
		f.options.OnChange(kind, storer.Listing{Version: current.listing.Version, Objects: merged})
	}
}

// holds reports whether an entry holds against what the copy's listing has of its name, zero
// if it has nothing. A removal holds against an object that is not later and may be one whose
// writer is gone and which has not lapsed yet. An object holds if it is later, or for as long
// as its writer may still write it again.
func (f *Follower) holds(kind storer.Kind, current *localCopy, entry retained, listed storer.Object, now time.Time) bool {
	isListed := listed.Name != ""
	switch {
	case entry.removed && !isListed:
		return now.Sub(entry.since) <= maxRemovalAge
	case !f.isEarlier(current, entry):
		return false
	case entry.removed:
		return !f.hasLapsed(current) && !f.options.Supersedes(kind, listed, entry.object)
	default:
		return f.supersedes(kind, entry.object, listed) || !isListed && current.confirmedSince() < f.options.RewriteTime
	}
}

// isEarlier reports whether an entry is of an earlier generation than the copy's listing.
func (f *Follower) isEarlier(current *localCopy, entry retained) bool {
	return f.options.GenerationOf(entry.object.Version) < f.options.GenerationOf(current.listing.Version)
}

// hasLapsed reports whether each listed object must have been written since the restore.
func (f *Follower) hasLapsed(current *localCopy) bool {
	return current.confirmedSince() >= f.options.LapseTime
}

// confirmedSince returns how long after the first listing of its generation the copy was last
// known to be the latest. While the store is away again nothing lapses in the copy.
func (c *localCopy) confirmedSince() time.Duration {
	return c.confirmedAt.Sub(c.generationSince)
}

// mergeAfterLapse lets removed objects that are still listed back in once the listing must
// be right about them.
func (f *Follower) mergeAfterLapse() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for kind, current := range f.copies {
		if current.loaded && len(current.retained) > 0 {
			f.mergeRetained(kind, current, false)
		}
	}
}

// retainedToSend returns the retained objects that matter to the copy's generation, and
// their digest, which is independent of their order.
func (f *Follower) retainedToSend(current *localCopy) (entries []retained, digest uint64) {
	lapsed := f.hasLapsed(current)
	for _, entry := range current.retained {
		if !f.isEarlier(current, entry) || entry.removed && lapsed {
			continue
		}
		entries = append(entries, entry)
		text := entry.object.Name + "/" + string(entry.object.Version)
		if entry.removed {
			text += "/removed"
		}
		digest += xxhash.Sum64String(text)
	}
	return entries, digest
}

// retainedCollection returns the message with the copy's retained objects for a peer, or nil
// if it has the same or does not know such messages. A peer that has seen a later generation
// gets all that this node knows.
func (f *Follower) retainedCollection(kind storer.Kind, current *localCopy, theirs, theirRetained *rpc.Held) *rpc.Collection {
	if theirRetained == nil {
		return nil
	}
	entries, digest := f.retainedToSend(current)
	if theirs != nil && f.options.GenerationOf(storer.Version(theirs.GetVersion())) > f.options.GenerationOf(current.listing.Version) {
		entries = current.allKnown()
	} else if digest == theirRetained.GetDigest() {
		return nil
	}
	if len(entries) == 0 {
		return nil
	}
	collection := &rpc.Collection{
		Kind: retainedKind(kind), Version: string(current.listing.Version), Digest: digest, Changed: true,
		AgeMilliseconds: uint64(current.age(time.Now()).Milliseconds()),
	}
	var objects []storer.Object
	for _, entry := range entries {
		objects = append(objects, entry.object)
		if entry.removed {
			collection.Removed = append(collection.Removed, entry.object.Name)
		}
	}
	collection.Objects = toWire(objects)
	return collection
}

// allKnown returns the objects as passed on and the removals.
func (c *localCopy) allKnown() []retained {
	var entries []retained
	for _, object := range c.merged {
		entries = append(entries, retained{object: object})
	}
	for _, entry := range c.retained {
		if entry.removed {
			entries = append(entries, entry)
		}
	}
	return entries
}

// applyRetained adds a peer's retained objects to those of the copy, each unless the copy has
// a later one. It ignores those that are of no earlier generation than the copy.
func (f *Follower) applyRetained(kind storer.Kind, collection *rpc.Collection) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	current := f.copies[kind]
	if current == nil || !current.loaded {
		return
	}
	removed := map[string]bool{}
	for _, name := range collection.GetRemoved() {
		removed[name] = true
	}
	now := time.Now()
	age := ageOf(collection)
	changed := false
	for _, object := range fromWire(kind, collection.GetObjects()) {
		entry := retained{object: object, removed: removed[object.Name], since: now}
		held, known := current.retained[object.Name]
		listed, isListed := findObject(current.listing.Objects, object.Name)
		if !f.isEarlier(current, entry) || known && !f.isLater(kind, entry, held) || !entry.removed && !f.mayHold(kind, object, listed, isListed, age) {
			continue
		}
		if entry.removed && f.wasThereLater(current, object) {
			// The steady clock stands still in a suspended peer, so it took an old copy for recent.
			continue
		}
		current.retain(entry)
		changed = true
	}
	if changed {
		f.mergeRetained(kind, current, false)
	}
}

// wasThereLater reports whether the copy before the latest restore shows that an object was in
// the store after it had been removed with the given version. A copy of an earlier generation
// shows that only if nothing of its backup was left in it.
func (f *Follower) wasThereLater(current *localCopy, removed storer.Object) bool {
	before, had := findObject(current.beforeRestore, removed.Name)
	if !had || f.options.Compare(before.Version, removed.Version) <= 0 {
		return false
	}
	return current.beforeLapsed || f.options.GenerationOf(before.Version) == f.options.GenerationOf(removed.Version)
}

// isLater reports whether retained entry a is later than b.
func (f *Follower) isLater(kind storer.Kind, a, b retained) bool {
	generationA, generationB := f.options.GenerationOf(a.object.Version), f.options.GenerationOf(b.object.Version)
	switch {
	case generationA == generationB:
		return f.options.Compare(a.object.Version, b.object.Version) > 0
	case generationA < generationB:
		return f.outlasts(kind, a, b.object)
	default:
		return !f.outlasts(kind, b, a.object)
	}
}

// outlasts reports whether an entry holds against an object of a later generation.
func (f *Follower) outlasts(kind storer.Kind, entry retained, later storer.Object) bool {
	if entry.removed {
		return !f.options.Supersedes(kind, later, entry.object)
	}
	return f.options.Supersedes(kind, entry.object, later)
}

// exchangeRetained asks a few other nodes for what they retain: once after the first copies,
// which may be those of a store that was restored before, once after each restore, and as a
// reader, which otherwise asks no node, until the listings must be right.
func (f *Follower) exchangeRetained(ctx context.Context, reader bool) {
	due := !f.HasAskedPeers() || f.takeRestored() || reader && f.isLapsing()
	if !due || f.copyMissing() {
		return
	}
	peers := f.someLiveMembers()
	answered := make(chan bool, len(peers))
	for _, peer := range peers {
		go func() { answered <- f.pollPeer(ctx, peer, 0) }()
	}
	for left := len(peers); left > 0; left-- {
		if <-answered || left == 1 {
			f.setAskedPeers()
		}
	}
}

// takeRestored reports whether the store was restored since the last call.
func (f *Follower) takeRestored() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	restored := f.restored
	f.restored = false
	return restored
}

// someLiveMembers returns up to peersAtOnce other nodes, drawn at random, also leaving ones.
func (f *Follower) someLiveMembers() []assigner.Member {
	live := f.options.View().Live()
	others := slices.DeleteFunc(live, func(m assigner.Member) bool { return m.Node == f.options.Self })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(peersAtOnce, len(others))]
}

func (f *Follower) setAskedPeers() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.askedPeers = true
}

// isLapsing reports whether a copy's generation is so recent that its listing may contain
// objects that had been removed.
func (f *Follower) isLapsing() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, current := range f.copies {
		if current.loaded && !f.hasLapsed(current) {
			return true
		}
	}
	return false
}

// HasAskedPeers reports whether this node has copies and another node has told it what it
// knows beyond them, or all those asked first have failed. It stays false while there are no
// other nodes.
func (f *Follower) HasAskedPeers() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.askedPeers
}

// logRetained logs how many objects of a restored listing the copy overrides.
func (f *Follower) logRetained(kind storer.Kind, current *localCopy) {
	entries, _ := f.retainedToSend(current)
	removedCount := 0
	for _, entry := range entries {
		if entry.removed {
			removedCount++
		}
	}
	f.options.Log.Log(eventRestoredListing, logger.Fields{
		"kind": kind, fieldVersion: current.listing.Version, "objects": len(current.listing.Objects),
		"later": len(entries) - removedCount, "removed": removedCount,
	})
}
