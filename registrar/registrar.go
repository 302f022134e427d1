// Package registrar lets the nodes of a fleet discover each other through the
// platform's store if no seeds are configured. Each node writes its own entry at its
// start and reads the entries of the other nodes.
//
// The entries only help nodes to join. Which nodes are alive is decided by probing,
// so the entry of a node that is gone does no harm.
package registrar

import (
	"context"
	"encoding/json"
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
	startupRereads        = 1
	startupRereadInterval = 700 * time.Millisecond
	// readInterval is the time between later reads. Nodes that start later contact the
	// running nodes themselves, so these reads only serve to rejoin a partitioned fleet.
	readInterval = 30 * time.Second
)

// Store keeps the nodes' entries. Its methods behave like those of storer.Store.
type Store interface {
	Get(ctx context.Context, kind storer.Kind, name string) (storer.Object, error)
	List(ctx context.Context, kind storer.Kind) (storer.Listing, error)
	Create(ctx context.Context, object storer.Object) (storer.Object, error)
	Update(ctx context.Context, object storer.Object) (storer.Object, error)
}

// Options configures a Registrar.
type Options struct {
	Node    identifier.Node
	Address identifier.Address
	Store   Store
	Log     *logger.Logger
}

// Registrar writes a node's entry and reads the entries of the other nodes.
type Registrar struct {
	options Options
	// peerAddresses is nil until the list has been read.
	peerAddresses atomic.Pointer[[]identifier.Address]
}

// New returns a Registrar that knows no other node until Run is called.
func New(options Options) *Registrar {
	return &Registrar{options: options}
}

// PeerAddresses returns the peer addresses of the other nodes with an entry, or nil if
// the list has not been read yet.
func (r *Registrar) PeerAddresses() []identifier.Address {
	if addresses := r.peerAddresses.Load(); addresses != nil {
		return *addresses
	}
	return nil
}

// DiscoveryPending reports whether the list has not been read yet.
func (r *Registrar) DiscoveryPending() bool {
	return r.peerAddresses.Load() == nil
}

type nodeEntry struct {
	Peers identifier.Address `json:"peers"`
}

// Run writes the node's entry and reads the list until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	r.retryUntilDone(ctx, r.writeEntry)
	for reads := 0; ctx.Err() == nil; reads++ {
		r.retryUntilDone(ctx, r.readPeerAddresses)
		if reads < startupRereads {
			sleep(ctx, startupRereadInterval)
			continue
		}
		sleep(ctx, readInterval)
	}
	return nil
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

// readPeerAddresses stores the addresses of the other nodes. It logs and skips an entry
// that cannot be decoded or has no address.
func (r *Registrar) readPeerAddresses(ctx context.Context) error {
	listing, err := r.options.Store.List(ctx, KindNode)
	if err != nil {
		return err
	}
	addresses := []identifier.Address{}
	for _, object := range listing.Objects {
		var node nodeEntry
		if err := json.Unmarshal(object.Spec, &node); err != nil || node.Peers == "" {
			r.options.Log.Log(eventUnreadable, logger.Fields{"entry": object.Name})
			continue
		}
		if node.Peers != r.options.Address {
			addresses = append(addresses, node.Peers)
		}
	}
	r.peerAddresses.Store(&addresses)
	return nil
}
