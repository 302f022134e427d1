// Package registrar lets the nodes of a fleet discover each other through the
// platform's store if no seeds are configured. Each node writes its own entry at its
// start and reads the entries of the other nodes.
//
// The entries only help nodes to join. Which nodes are alive is decided by probing,
// so the entry of a node that is gone does no harm.
//
// A store that is restored from a backup loses the entries that were written since the
// backup. Each node writes its entry again when a read of the list lacks it, and reads the
// list soon after a restore.
package registrar

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/storer"
)

// KindNode is the kind of the stored node entries. Each node has one object.
const KindNode storer.Kind = "foxtailspool-nodes"

const (
	// retryInterval is the time between two attempts to write the entry or read the list.
	retryInterval = 400 * time.Millisecond
	// startupRereads is how many times the list is read again soon after the start,
	// because other nodes may be starting at the same time.
	startupRereads = 1
	// restoreRereads is how many times the list is read again soon after a restore of the
	// store, and after a start in a store that was ever restored, because the entries of
	// other nodes come back at different times.
	restoreRereads = 4
	// discoveryRereads is after how many of these reads a list without other nodes counts
	// as complete. Entries are back two seconds after a restore.
	discoveryRereads = 2
	// rereadInterval is the time before the first of these reads. It doubles with each
	// read.
	rereadInterval = 700 * time.Millisecond
	// restoreReadGap is the average time between the first reads of two nodes after a
	// restore, and so between two nodes that write their entries. It leaves over a third of the
	// platform's limit of 400 writes a second to other writers.
	restoreReadGap = 4 * time.Millisecond
	// readInterval is the time between later reads. Nodes that start later contact the
	// running nodes themselves, so these reads only serve to rejoin a partitioned fleet.
	readInterval = 30 * time.Second
	// maxStaleness is how old a stale listing may be.
	maxStaleness = 5 * time.Second
)

// Store keeps the nodes' entries. Its methods behave like those of storer.Store.
type Store interface {
	Get(ctx context.Context, kind storer.Kind, name string) (storer.Object, error)
	List(ctx context.Context, kind storer.Kind) (storer.Listing, error)
	// ListStale is like List, at a fraction of the cost. The listing may be seconds old.
	ListStale(ctx context.Context, kind storer.Kind) (storer.Listing, error)
	Create(ctx context.Context, object storer.Object) (storer.Object, error)
	Update(ctx context.Context, object storer.Object) (storer.Object, error)
}

// Options configures a Registrar.
type Options struct {
	Node    identifier.Node
	Address identifier.Address
	Store   Store
	// Generation returns the store's generation in which a version was read or written.
	Generation func(storer.Version) storer.Generation
	Log        *logger.Logger
}

// firstGeneration is the generation of a store that was never restored.
const firstGeneration storer.Generation = 1

// Registrar writes a node's entry and reads the entries of the other nodes.
type Registrar struct {
	options Options
	// peerAddresses is nil until the list has been read.
	peerAddresses atomic.Pointer[[]identifier.Address]
	discovered    atomic.Bool
	// restored holds the latest generation passed to StoreRestored.
	restored chan storer.Generation

	// The fields below belong to Run.

	// generation is the latest generation in which the list was read.
	generation storer.Generation
	// entryMissing is set if the last read of the list lacked the node's own entry.
	entryMissing bool
	// writtenAt is when the node's own entry was last written.
	writtenAt time.Time
	// rereads is how often the list was read again since the start or the last restore, and
	// maxRereads how often it is before readInterval applies.
	rereads, maxRereads int
}

// New returns a Registrar that knows no other node until Run is called.
func New(options Options) *Registrar {
	return &Registrar{
		options:    options,
		restored:   make(chan storer.Generation, 1),
		generation: firstGeneration,
		maxRereads: startupRereads,
	}
}

// PeerAddresses returns the peer addresses of the other nodes with an entry, or nil if
// the list has not been read yet.
func (r *Registrar) PeerAddresses() []identifier.Address {
	if addresses := r.peerAddresses.Load(); addresses != nil {
		return *addresses
	}
	return nil
}

// DiscoveryPending reports whether the list may still lack all other nodes: it has not been
// read yet, or the store was restored and other nodes may not have written their entries
// again.
func (r *Registrar) DiscoveryPending() bool {
	return !r.discovered.Load()
}

// StoreRestored reports the generation of the store. It does not block and is safe for
// concurrent use. If the list was last read in an earlier generation, it is soon read again.
func (r *Registrar) StoreRestored(generation storer.Generation) {
	for {
		select {
		case r.restored <- generation:
			return
		case earlier := <-r.restored:
			generation = max(generation, earlier)
		}
	}
}

type nodeEntry struct {
	Peers identifier.Address `json:"peers"`
}

// Run writes the node's entry and reads the list until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	if listing, ok := r.listStale(ctx); ok && r.hasOwnEntry(listing) {
		// A restarted node has the entry of its earlier run.
		r.applyListing(listing, false)
	} else {
		// If this fails, the entry is missing in the list that is read next.
		r.attempt(ctx, r.writeEntry)
		r.retryUntilDone(ctx, r.readPeerAddresses)
	}
	for ctx.Err() == nil {
		if r.entryMissing && ctx.Err() == nil {
			r.options.Log.Log(eventEntryMissing, logger.Fields{"generation": r.generation})
			r.retryUntilDone(ctx, r.writeEntry)
		}
		r.waitForNextRead(ctx)
		r.retryUntilDone(ctx, r.readPeerAddresses)
	}
	return nil
}

// waitForNextRead returns when the list should be read again or ctx ends.
func (r *Registrar) waitForNextRead(ctx context.Context) {
	pause := readInterval
	if r.rereads < r.maxRereads {
		pause = rereadInterval << r.rereads
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			r.rereads++
			return
		case generation := <-r.restored:
			if generation > r.generation {
				sleep(ctx, r.restoreReadDelay())
				return
			}
		}
	}
}

// restoreReadDelay returns a random delay that spreads the reads of all nodes after a
// restore.
func (r *Registrar) restoreReadDelay() time.Duration {
	return rand.N(restoreReadGap * time.Duration(1+len(r.PeerAddresses())))
}

// attempt makes a call once and logs its failure.
func (r *Registrar) attempt(ctx context.Context, call func(ctx context.Context) error) {
	if err := call(ctx); err != nil {
		r.options.Log.Log(eventNotRegistered, logger.Fields{"error": err.Error()})
	}
}

// retryUntilDone repeats a call until it succeeds or ctx ends. It logs the first failure.
func (r *Registrar) retryUntilDone(ctx context.Context, call func(ctx context.Context) error) {
	for failed := false; ctx.Err() == nil; failed = true {
		err := call(ctx)
		if err == nil {
			return
		}
		if !failed {
			r.options.Log.Log(eventNotRegistered, logger.Fields{"error": err.Error()})
		}
		sleep(ctx, retryInterval)
	}
}

func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// writeEntry creates the node's entry or replaces that of an earlier run.
func (r *Registrar) writeEntry(ctx context.Context) error {
	spec, err := json.Marshal(nodeEntry{Peers: r.options.Address})
	if err != nil {
		return err
	}
	entry := storer.Object{Kind: KindNode, Name: string(r.options.Node), Spec: spec}
	_, err = r.options.Store.Create(ctx, entry)
	if err == nil {
		r.writtenAt = time.Now()
	}
	if !errorx.IsOfType(err, storer.Conflict) {
		return err
	}
	earlier, err := r.options.Store.Get(ctx, KindNode, entry.Name)
	if err != nil {
		return err
	}
	var registered nodeEntry
	if json.Unmarshal(earlier.Spec, &registered) == nil && registered.Peers == r.options.Address {
		return nil
	}
	entry.Version = earlier.Version
	_, err = r.options.Store.Update(ctx, entry)
	return err
}

// listStale returns a listing that may be seconds old, or false if it can't be used: the call
// failed, or the store was ever restored and the listing may be from before.
func (r *Registrar) listStale(ctx context.Context) (storer.Listing, bool) {
	if r.generation > firstGeneration {
		return storer.Listing{}, false
	}
	listing, err := r.options.Store.ListStale(ctx, KindNode)
	return listing, err == nil && r.options.Generation(listing.Version) <= firstGeneration
}

// hasOwnEntry reports whether a listing has this node's entry with its address.
func (r *Registrar) hasOwnEntry(listing storer.Listing) bool {
	for _, object := range listing.Objects {
		var node nodeEntry
		if object.Name == string(r.options.Node) {
			return json.Unmarshal(object.Spec, &node) == nil && node.Peers == r.options.Address
		}
	}
	return false
}

// readPeerAddresses reads the list of nodes. A stale listing suffices if it has other nodes
// and this one, unless this one was written so recently that the listing may be older.
func (r *Registrar) readPeerAddresses(ctx context.Context) error {
	listing, ok := r.listStale(ctx)
	hasOwn := ok && r.hasOwnEntry(listing)
	writtenLately := !r.entryMissing && time.Since(r.writtenAt) < maxStaleness
	if ok && (hasOwn && len(listing.Objects) > 1 || !hasOwn && writtenLately && len(listing.Objects) > 0) {
		r.applyListing(listing, false)
		return nil
	}
	listing, err := r.options.Store.List(ctx, KindNode)
	if err == nil {
		r.applyListing(listing, !r.hasOwnEntry(listing))
	}
	return err
}

// applyListing stores the addresses of the other nodes, and whether the node's own entry is
// missing. It logs and skips an entry that cannot be decoded or has no address.
func (r *Registrar) applyListing(listing storer.Listing, ownMissing bool) {
	addresses := []identifier.Address{}
	wasMissing := r.entryMissing
	r.entryMissing = ownMissing
	for _, object := range listing.Objects {
		var node nodeEntry
		if err := json.Unmarshal(object.Spec, &node); err != nil || node.Peers == "" {
			r.options.Log.Log(eventUnreadable, logger.Fields{"entry": object.Name})
			continue
		}
		if object.Name != string(r.options.Node) && node.Peers != r.options.Address {
			addresses = append(addresses, node.Peers)
		}
	}
	generation := r.options.Generation(listing.Version)
	if generation > r.generation || r.entryMissing && !wasMissing {
		r.generation = max(generation, r.generation)
		r.rereads, r.maxRereads = 0, restoreRereads
	}
	r.peerAddresses.Store(&addresses)
	if len(addresses) > 0 || r.generation == firstGeneration || r.rereads >= discoveryRereads {
		r.discovered.Store(true)
	}
}
