package publisher

import (
	"context"
	"encoding/json"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/storer"
)

// feed follows one kind of the store while this node owns it.
type feed struct {
	publisher *Publisher
	kind      storer.Kind
	// owns tells whether this node should follow the kind now.
	owns func() bool
	// listed takes all objects, changed one change after that.
	listed  func([]storer.Object)
	changed func(storer.Event)
}

// run lists and watches, and lists anew with back-off when the watch ends and,
// in case the watch skips changes, now and then.
func (f *feed) run(ctx context.Context) {
	p := f.publisher
	wait := p.newBackOff()
	for f.awaitOwnership(ctx) {
		began := time.Now()
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			wait.reset()
			continue
		}
		p.storeFailed(err)
		if time.Since(began) > p.options.BackOffMaximum {
			wait.reset()
		}
		if !wait.wait(ctx) {
			return
		}
	}
}

// awaitOwnership waits until this node has owned the feed for a while, so that
// a change of the membership view does not open watches that close again.
func (f *feed) awaitOwnership(ctx context.Context) bool {
	const checks = 4
	options := f.publisher.options
	owned := 0
	for owned < checks {
		if f.owns() {
			owned++
		} else {
			owned = 0
		}
		if !pause(ctx, f.publisher.jitter.around(options.OwnershipWait/checks)) {
			return false
		}
	}
	return true
}

// follow lists once and watches from there. It returns nil when it is time to
// list again or the ownership is lost.
func (f *feed) follow(ctx context.Context) error {
	p := f.publisher
	listing, err := p.options.Store.List(ctx, f.kind)
	if err != nil {
		return err
	}
	f.listed(listing.Objects)
	watch, err := p.options.Store.Watch(ctx, f.kind, listing.Version)
	if err != nil {
		return err
	}
	defer watch.Close()
	until := time.Now().Add(p.jitter.around(p.options.ListInterval))
	for time.Now().Before(until) && f.owns() {
		event, err := watch.Next()
		if err != nil {
			return err
		}
		if event.Change != storer.Bookmark {
			f.changed(event)
		}
	}
	return nil
}

func (p *Publisher) ownsFeed() bool {
	owner := p.options.View().OwnerIn(p.options.DataCentre, feedShard)
	return owner.Node == p.options.Self
}

// vmWatchers is how many nodes of a data centre watch the list of VMs, so that
// the death of one does not keep the others from learning of a leaving VM.
const vmWatchers = 2

func (p *Publisher) watchesVMs() bool {
	for _, watcher := range p.options.View().RankedIn(p.options.DataCentre, feedShard, vmWatchers) {
		if watcher.Node == p.options.Self {
			return true
		}
	}
	return false
}

// runSnapshotFeed brings configurations that others published into the data
// centre, in case the publisher died before it passed them on.
func (p *Publisher) runSnapshotFeed(ctx context.Context) {
	take := func(object storer.Object) {
		if object.Name != snapshotName {
			return
		}
		stored, err := p.readStored(object)
		if err != nil {
			return
		}
		if stored.number() < p.held().number {
			// The owner of the tables writes the larger number back.
			signal(p.reconcile)
		}
		if p.offer(stored.edition) {
			p.passOnInside(stored.edition)
		}
	}
	follower := &feed{
		publisher: p,
		kind:      storer.KindSnapshot,
		owns:      p.ownsFeed,
		listed: func(objects []storer.Object) {
			for _, object := range objects {
				take(object)
			}
		},
		changed: func(event storer.Event) {
			if event.Change != storer.Deleted {
				take(event.Object)
			}
		},
	}
	follower.run(ctx)
}

// passOnInside passes a configuration on to the nodes of the own data centre.
func (p *Publisher) passOnInside(passed *edition) {
	var targets []identifier.Node
	for _, peer := range p.peers(p.options.View()) {
		if peer.DataCentre == p.options.DataCentre {
			targets = append(targets, peer.Node)
		}
	}
	p.rumour(passed.stamp)
	p.passOn(passed, targets)
}

// runTableFeed looks at each change of the table objects and has those taken up
// that nobody has accepted or refused yet.
func (p *Publisher) runTableFeed(ctx context.Context) {
	objects := map[string]storer.Object{}
	later := time.AfterFunc(p.options.ProposalWait, func() { signal(p.reconcile) })
	defer later.Stop()
	look := func() {
		var known []storer.Object
		for _, object := range objects {
			known = append(known, object)
		}
		p.lookAt(readTables(known), later)
	}
	follower := &feed{
		publisher: p,
		kind:      storer.KindTable,
		owns:      p.ownsTables,
		listed: func(all []storer.Object) {
			clear(objects)
			for _, object := range all {
				objects[object.Name] = object
			}
			signal(p.reconcile)
		},
		changed: func(event storer.Event) {
			objects[event.Object.Name] = event.Object
			if event.Change == storer.Deleted {
				delete(objects, event.Object.Name)
			}
			look()
		},
	}
	follower.run(ctx)
}

// lookAt has tables taken up unless they are settled or a node's Apply is at
// work on them. A proposal whose node is gone is taken up when later fires.
func (p *Publisher) lookAt(tables Tables, later *time.Timer) {
	routes, pools := tables.Routes.Status.State, tables.Pools.Status.State
	switch {
	case routes == TableUnseen || pools == TableUnseen:
		signal(p.reconcile)
	case routes == TableProposed || pools == TableProposed:
		later.Reset(p.options.ProposalWait)
	}
}

// VM is one row of the platform's list of VMs, which lags behind the truth.
type VM struct {
	Name identifier.Node `json:"-"`
	// Address is where other nodes reach an entry VM, or a backend server's own.
	Address    identifier.Address    `json:"address"`
	DataCentre identifier.DataCentre `json:"data-centre"`
	// Entry tells entry VMs from VMs of backend servers.
	Entry   bool `json:"entry"`
	Leaving bool `json:"leaving"`
}

// Listed returns the VMs as the platform last listed them to this node. Nodes
// that do not own their data centre's feed keep what they saw before they
// joined the others, or nothing.
func (p *Publisher) Listed() []VM {
	if listed := p.vms.Load(); listed != nil {
		return *listed
	}
	return nil
}

// runVMFeed keeps the list of VMs.
func (p *Publisher) runVMFeed(ctx context.Context) {
	vms := map[string]VM{}
	take := func(object storer.Object) {
		vm := VM{Name: identifier.Node(object.Name)}
		if err := json.Unmarshal(object.Spec, &vm); err != nil {
			p.options.Log.Log(eventUnreadable, logger.Fields{"vm": object.Name, "error": err.Error()})
			return
		}
		vms[object.Name] = vm
	}
	tell := func() {
		listed := make([]VM, 0, len(vms))
		for _, vm := range vms {
			listed = append(listed, vm)
		}
		p.vms.Store(&listed)
	}
	follower := &feed{
		publisher: p,
		kind:      storer.KindVM,
		owns:      p.watchesVMs,
		listed: func(all []storer.Object) {
			clear(vms)
			for _, object := range all {
				take(object)
			}
			tell()
		},
		changed: func(event storer.Event) {
			if event.Change == storer.Deleted {
				delete(vms, event.Object.Name)
			} else {
				take(event.Object)
			}
			tell()
		},
	}
	follower.run(ctx)
}
