// Package registrar makes the nodes of a fleet known to one another through the
// platform's store, where no seeds are given: each node writes an entry of its own
// at its start, and reads those of the others.
//
// The list is a way in only. Which nodes are alive, the nodes find out by
// themselves; an entry of a node that is gone does no harm.
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

// KindNode holds an entry for each node.
const KindNode storer.Kind = "foxtailspool-nodes"

const (
	// retryPause is the time between two tries to write or read.
	retryPause = 400 * time.Millisecond
	// settleReads is how many times the list is read again soon after the start,
	// while others start too, and settlePause the time between.
	settleReads = 1
	settlePause = 700 * time.Millisecond
	// readInterval is the time between two later reads. Later starters reach the
	// others by themselves, so that these are for fleets that were split.
	readInterval = 30 * time.Second
)

// Store keeps the nodes' entries; storer.Store tells what its methods do.
type Store interface {
	Get(ctx context.Context, kind storer.Kind, name string) (storer.Object, error)
	List(ctx context.Context, kind storer.Kind) (storer.Listing, error)
	Create(ctx context.Context, object storer.Object) (storer.Object, error)
	Update(ctx context.Context, object storer.Object) (storer.Object, error)
}

// Options sets up a registrar.
type Options struct {
	Node    identifier.Node
	Address identifier.Address
	Store   Store
	Log     *logger.Logger
}

// Registrar writes a node's entry and reads the others'.
type Registrar struct {
	options Options
	// listed is nil until the list has been read.
	listed atomic.Pointer[[]identifier.Address]
}

// New returns a registrar that knows no other node yet.
func New(options Options) *Registrar {
	return &Registrar{options: options}
}

// Listed returns the peer addresses of the other nodes with an entry.
func (r *Registrar) Listed() []identifier.Address {
	if listed := r.listed.Load(); listed != nil {
		return *listed
	}
	return nil
}

// Unlisted tells that the list has not been read yet.
func (r *Registrar) Unlisted() bool {
	return r.listed.Load() == nil
}

type wireNode struct {
	Peers identifier.Address `json:"peers"`
}

// Run writes the node's entry and reads the list until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	r.persist(ctx, r.write)
	for reads := 0; ctx.Err() == nil; reads++ {
		r.persist(ctx, r.read)
		if reads < settleReads {
			pause(ctx, settlePause)
			continue
		}
		pause(ctx, readInterval)
	}
	return nil
}

// persist tries a call until it works or ctx ends.
func (r *Registrar) persist(ctx context.Context, call func(ctx context.Context) error) {
	for failed := false; ctx.Err() == nil; failed = true {
		err := call(ctx)
		if err == nil {
			return
		}
		if !failed {
			r.options.Log.Log(eventNotRegistered, logger.Fields{"error": err.Error()})
		}
		pause(ctx, retryPause)
	}
}

func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// write creates the node's entry, or replaces that of an earlier run.
func (r *Registrar) write(ctx context.Context) error {
	spec, err := json.Marshal(wireNode{Peers: r.options.Address})
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
	var known wireNode
	if json.Unmarshal(earlier.Spec, &known) == nil && known.Peers == r.options.Address {
		return nil
	}
	entry.Version = earlier.Version
	_, err = r.options.Store.Update(ctx, entry)
	return err
}

// read takes the addresses of the other nodes over. An entry that cannot be read
// names no node.
func (r *Registrar) read(ctx context.Context) error {
	listing, err := r.options.Store.List(ctx, KindNode)
	if err != nil {
		return err
	}
	addresses := []identifier.Address{}
	for _, object := range listing.Objects {
		var node wireNode
		if err := json.Unmarshal(object.Spec, &node); err != nil || node.Peers == "" {
			r.options.Log.Log(eventUnreadable, logger.Fields{"entry": object.Name})
			continue
		}
		if node.Peers != r.options.Address {
			addresses = append(addresses, node.Peers)
		}
	}
	r.listed.Store(&addresses)
	return nil
}
