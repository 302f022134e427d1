package publisher

import (
	"context"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/storer"
)

// storeWatcher lists and watches one kind of object while this node owns it.
type storeWatcher struct {
	publisher *Publisher
	kind      storer.Kind
	// isOwner reports whether this node should watch the kind now.
	isOwner func() bool
	// onList receives all objects after a list, onChange each later change.
	onList   func([]storer.Object)
	onChange func(storer.Event)
}

// run lists and watches until ctx ends. It lists again with backoff when the
// watch fails, and periodically because a watch may skip changes.
func (w *storeWatcher) run(ctx context.Context) {
	p := w.publisher
	retry := p.newBackOff()
	for w.awaitOwnership(ctx) {
		began := time.Now()
		err := w.listAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			retry.reset()
			continue
		}
		p.reportStoreFailure(err)
		if time.Since(began) > p.options.BackOffMaximum {
			retry.reset()
		}
		if !retry.wait(ctx) {
			return
		}
	}
}

// awaitOwnership waits until this node has owned the watch for OwnershipWait, so
// that a short change of the membership view does not open a watch. It returns
// false if ctx ends.
func (w *storeWatcher) awaitOwnership(ctx context.Context) bool {
	const checks = 4
	options := w.publisher.options
	consecutive := 0
	for consecutive < checks {
		if w.isOwner() {
			consecutive++
		} else {
			consecutive = 0
		}
		if !pause(ctx, w.publisher.jitter.durationAround(options.OwnershipWait/checks)) {
			return false
		}
	}
	return true
}

// listAndWatch lists the objects and watches them from the listed version. It
// returns nil when it is time to list again or this node is no longer the owner.
func (w *storeWatcher) listAndWatch(ctx context.Context) error {
	p := w.publisher
	listing, err := p.options.Store.List(ctx, w.kind)
	if err != nil {
		return err
	}
	w.onList(listing.Objects)
	watch, err := p.options.Store.Watch(ctx, w.kind, listing.Version)
	if err != nil {
		return err
	}
	defer watch.Close()
	relistAt := time.Now().Add(p.jitter.durationAround(p.options.ListInterval))
	for time.Now().Before(relistAt) && w.isOwner() {
		event, err := watch.Next()
		if err != nil {
			return err
		}
		if event.Change != storer.Bookmark {
			w.onChange(event)
		}
	}
	return nil
}

func (p *Publisher) ownsSnapshotWatch() bool {
	owner := p.options.View().OwnerIn(p.options.DataCentre, watchShard)
	return owner.Node == p.options.Self
}

// runSnapshotWatch activates stored configurations and forwards them within the
// data centre, in case the publishing node died before it pushed them.
func (p *Publisher) runSnapshotWatch(ctx context.Context) {
	handleObject := func(object storer.Object) {
		if object.Name != snapshotName {
			return
		}
		stored, err := p.decodeStored(object)
		if err != nil {
			return
		}
		if stored.number() < p.activeStamp().number {
			// The owner of the tables then writes the newer configuration back.
			signal(p.reconcileRequested)
		}
		if p.activateIfNewer(stored.configuration) {
			p.forwardWithinDataCentre(stored.configuration)
		}
	}
	watcher := &storeWatcher{
		publisher: p,
		kind:      storer.KindSnapshot,
		isOwner:   p.ownsSnapshotWatch,
		onList: func(objects []storer.Object) {
			for _, object := range objects {
				handleObject(object)
			}
		},
		onChange: func(event storer.Event) {
			if event.Change != storer.Deleted {
				handleObject(event.Object)
			}
		},
	}
	watcher.run(ctx)
}

// forwardWithinDataCentre announces a configuration's number and queues the
// configuration for the other nodes of this data centre.
func (p *Publisher) forwardWithinDataCentre(forwarded *configuration) {
	var targets []identifier.Node
	for _, peer := range p.peers(p.options.View()) {
		if peer.DataCentre == p.options.DataCentre {
			targets = append(targets, peer.Node)
		}
	}
	p.broadcastNumber(forwarded.stamp)
	p.enqueueForward(forwarded, targets)
}

// runTableWatch watches the table objects and requests a reconciliation of those
// that are neither accepted nor refused yet.
func (p *Publisher) runTableWatch(ctx context.Context) {
	objects := map[string]storer.Object{}
	proposalTimer := time.AfterFunc(p.options.ProposalWait, func() { signal(p.reconcileRequested) })
	defer proposalTimer.Stop()
	inspectTables := func() {
		var known []storer.Object
		for _, object := range objects {
			known = append(known, object)
		}
		p.scheduleReconcile(decodeTables(known), proposalTimer)
	}
	watcher := &storeWatcher{
		publisher: p,
		kind:      storer.KindTable,
		isOwner:   p.ownsTables,
		onList: func(listed []storer.Object) {
			clear(objects)
			for _, object := range listed {
				objects[object.Name] = object
			}
			signal(p.reconcileRequested)
		},
		onChange: func(event storer.Event) {
			objects[event.Object.Name] = event.Object
			if event.Change == storer.Deleted {
				delete(objects, event.Object.Name)
			}
			inspectTables()
		},
	}
	watcher.run(ctx)
}

// scheduleReconcile requests a reconciliation if a table has no status. For a
// proposal it starts proposalTimer, in case the proposing node does not finish.
func (p *Publisher) scheduleReconcile(tables Tables, proposalTimer *time.Timer) {
	routes, pools := tables.Routes.Status.State, tables.Pools.Status.State
	switch {
	case routes == TableUnseen || pools == TableUnseen:
		signal(p.reconcileRequested)
	case routes == TableProposed || pools == TableProposed:
		proposalTimer.Reset(p.options.ProposalWait)
	}
}
