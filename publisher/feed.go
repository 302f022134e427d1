package publisher

import (
	"context"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
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
