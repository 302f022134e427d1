// Package follower keeps each node's copy of some collections of the platform's
// store current: the operators' configuration and the list of back ends.
//
// Each call to the store costs, so that only a few nodes, the readers, read it
// at short intervals; every other node waits at a reader for something newer. A
// reader may be cut off from the store, or the store may turn it away, while
// others are served: a node whose reader is silent or behind reads by itself, and
// one that cannot read asks the others. Reads at intervals are used instead of
// watches, because a waiting watch may miss changes for seconds without notice.
//
// A copy is replaced whole, and only by one of a later version, so that a node
// never goes back within one run of its process.
package follower

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/storer"
)

// Lister reads collections of the store.
type Lister interface {
	List(ctx context.Context, kind storer.Kind) (storer.Listing, error)
	// Changes returns the changes after a version and the version that they lead to.
	// It may miss changes for some seconds.
	Changes(ctx context.Context, kind storer.Kind, after storer.Version) ([]storer.Event, storer.Version, error)
}

// Options configures a follower. Zero values take the defaults.
type Options struct {
	Self identifier.Node
	// Kinds are the collections to follow.
	Kinds []storer.Kind
	Store Lister
	// Compare orders the versions of a collection.
	Compare func(a, b storer.Version) int
	View    func() *assigner.View
	// Peers carries calls to the peer addresses of other nodes.
	Peers http.RoundTripper
	// Changed is told of a newer copy of a collection, in the order of versions.
	// It must not block.
	Changed func(kind storer.Kind, listing storer.Listing)
	// Readers is how many nodes read the store: 2.
	Readers int
	// Interval is the time between two reads of a reader: 400 ms. A change is
	// known everywhere within it and two short calls.
	Interval time.Duration
	// Stale is the age of a copy from which on a node looks elsewhere: 900 ms.
	Stale time.Duration
	// Timeout bounds one call to a peer, beyond its hold: 400 ms. The store bounds its
	// own calls, of which a long list takes several.
	Timeout time.Duration
	Log     *logger.Logger
	Scope   tally.Scope
}

// The defaults of Options. With them a change reaches a node whose reader has
// just failed within Interval + Stale + 2 Timeout, about 2 s at worst.
const (
	defaultReaders  = 2
	defaultInterval = 400 * time.Millisecond
	defaultStale    = 900 * time.Millisecond
	defaultTimeout  = 400 * time.Millisecond
)

func (o Options) withDefaults() Options {
	o.Readers = cmp.Or(o.Readers, defaultReaders)
	o.Interval = cmp.Or(o.Interval, defaultInterval)
	o.Stale = cmp.Or(o.Stale, defaultStale)
	o.Timeout = cmp.Or(o.Timeout, defaultTimeout)
	if o.Log == nil {
		o.Log = logger.Discard()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}

// copied is a node's copy of one collection.
type copied struct {
	// listing is sorted by name.
	listing storer.Listing
	// history is how the copy came about.
	history history
	// digest covers the names and versions of the objects. The store's version
	// grows with changes of other collections too, so that copies of different
	// versions may be the same.
	digest uint64
	// known tells that the collection was read at least once.
	known bool
	// unfit tells that changes of another node did not fit this copy, so that all of
	// the objects are asked for.
	unfit bool
	// listed is when the collection was last read whole.
	listed time.Time
	// confirmed is when the version was last known to be the latest.
	confirmed time.Time
}

// Follower is one node's copy of the collections.
type Follower struct {
	options Options
	reads   tally.Counter
	failed  tally.Counter
	// refreshing holds one token, so that one read on demand runs at a time.
	refreshing chan struct{}
	// storeDown tells what was last logged of the store.
	storeDown atomic.Bool

	// mutex guards the fields below.
	mutex  sync.Mutex
	copies map[storer.Kind]*copied
	// newer is closed when a copy is replaced, and then made anew.
	newer chan struct{}
	// refreshed is when the last read on demand ended.
	refreshed time.Time
	// nextRead is when a node that is no reader may try the store again, backoff the
	// pause before that.
	nextRead time.Time
	backoff  time.Duration
}

// New returns a follower without copies.
func New(options Options) *Follower {
	options = options.withDefaults()
	scope := options.Scope.SubScope("follower")
	f := &Follower{
		options:    options,
		reads:      scope.Counter("store-reads"),
		failed:     scope.Counter("store-reads-failed"),
		refreshing: make(chan struct{}, 1),
		copies:     map[storer.Kind]*copied{},
		newer:      make(chan struct{}),
	}
	for _, kind := range options.Kinds {
		f.copies[kind] = &copied{}
	}
	return f
}

// Run follows the collections until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		began := time.Now()
		f.round(ctx)
		pause := time.NewTimer(f.options.Interval - time.Since(began))
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
		pause.Stop()
	}
	return nil
}

// round brings the copies up to date once, from the cheapest source that is: the
// readers, then the substitutes, who read by themselves while the readers are
// behind, then the store, then any other node.
func (f *Follower) round(ctx context.Context) {
	if f.missing() && f.begin(ctx) {
		return
	}
	ranked := f.options.View().OwnerCandidates("store-readers", f.options.Readers*(1+substitutes))
	readers := ranked[:min(f.options.Readers, len(ranked))]
	reads, substitute := named(readers, f.options.Self), named(ranked, f.options.Self)
	if reads {
		if !f.read(ctx) {
			f.askAround(ctx)
		}
		return
	}
	if f.askAll(ctx, readers) || !substitute && f.askAll(ctx, ranked[len(readers):]) {
		return
	}
	if f.mayRead(time.Now()) && f.readBacked(ctx) {
		return
	}
	f.askAround(ctx)
}

// missing tells whether a collection was never read.
func (f *Follower) missing() bool {
	return f.Age() >= neverConfirmed
}

// begin gets the first copies: from a few other nodes, and from the store where those
// have none either. Every node asks others than the next one does; if all asked the
// readers, a long list would take those nodes' links for long.
func (f *Follower) begin(ctx context.Context) bool {
	f.askAround(ctx)
	return !f.missing() || f.read(ctx)
}

// substitutes are how many nodes for each reader read by themselves while the
// readers are behind.
const substitutes = 2

// named tells whether a node is among some members.
func named(members []assigner.Member, node identifier.Node) bool {
	return slices.ContainsFunc(members, func(m assigner.Member) bool { return m.Node == node })
}

// askAll waits at some nodes in turn for something newer, until the copies are fresh.
func (f *Follower) askAll(ctx context.Context, members []assigner.Member) bool {
	for _, member := range members {
		if ctx.Err() != nil {
			return false
		}
		f.ask(ctx, member, f.options.Interval)
		if f.Age() < f.options.Stale {
			return true
		}
	}
	return false
}

// mayRead tells whether a node that is no reader tries the store again. While the
// store answers nobody, only the readers go on asking it each interval.
func (f *Follower) mayRead(now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !now.Before(f.nextRead)
}

// mostBackoff is the longest pause between two tries of a node that is no reader.
const mostBackoff = 4 * time.Second

// readBacked reads the store, and waits twice as long for the next try each time
// that fails.
func (f *Follower) readBacked(ctx context.Context) bool {
	ok := f.read(ctx)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if ok {
		f.backoff = 0
		return true
	}
	f.backoff = min(max(2*f.backoff, f.options.Interval), mostBackoff)
	f.nextRead = time.Now().Add(f.backoff)
	return false
}

// askAround asks some other nodes for what they have, until a copy is fresh.
func (f *Follower) askAround(ctx context.Context) {
	const most = 3
	asked := 0
	for _, member := range f.options.View().OwnerCandidates(string(f.options.Self), len(f.options.View().Members)) {
		if member.Node == f.options.Self {
			continue
		}
		if asked++; asked > most || ctx.Err() != nil {
			return
		}
		f.ask(ctx, member, 0)
		if f.Age() < f.options.Stale {
			return
		}
	}
}

// read reads all collections and tells whether that worked. Where the store does not
// answer at all, the first one tells so.
func (f *Follower) read(ctx context.Context) bool {
	ok := true
	began := time.Now()
	for _, kind := range f.options.Kinds {
		ok = f.readOne(ctx, kind) && ok
		if !ok && time.Since(began) >= f.options.Timeout {
			return false
		}
	}
	return ok
}

func (f *Follower) readOne(ctx context.Context, kind storer.Kind) bool {
	asked := time.Now()
	f.reads.Inc(1)
	listing, err := f.fetch(ctx, kind, asked)
	if err != nil {
		f.failed.Inc(1)
		if !f.storeDown.Swap(true) {
			f.options.Log.Log(eventStoreLost, logger.Fields{"kind": kind, "error": err.Error(), "age-ms": f.Age().Milliseconds()})
		}
		return false
	}
	if f.storeDown.Swap(false) {
		f.options.Log.Log(eventStoreBack, logger.Fields{"kind": kind, "version": listing.Version})
	}
	f.take(kind, listing, asked)
	return true
}

const (
	// longList is how many objects make a list long: reading it whole takes several
	// calls, and more than its part of a slow link.
	longList = 250
	// listInterval is the time between two whole reads of a long list. Between them
	// only changes are read, which may be missed for a while.
	listInterval = 1600 * time.Millisecond
)

// fetch reads a collection: whole, or the changes since the copy of a long list.
func (f *Follower) fetch(ctx context.Context, kind storer.Kind, now time.Time) (storer.Listing, error) {
	f.mutex.Lock()
	held := *f.copies[kind]
	f.mutex.Unlock()
	if held.known {
		// A copy that is there may be kept current by other nodes: the store does not
		// get longer than a list of its length takes.
		bound := f.options.Timeout * time.Duration(1+len(held.listing.Objects)/longList)
		bounded, cancel := context.WithTimeout(ctx, bound)
		defer cancel()
		ctx = bounded
	}
	if len(held.listing.Objects) >= longList && now.Sub(held.listed) < listInterval {
		events, reached, err := f.options.Store.Changes(ctx, kind, held.listing.Version)
		if err == nil {
			return storer.Listing{Version: reached, Objects: follow(held.listing.Objects, events, f.options.Compare)}, nil
		}
		if !errorx.IsOfType(err, storer.Expired) {
			return storer.Listing{}, err
		}
	}
	listing, err := f.options.Store.List(ctx, kind)
	if err == nil {
		f.mutex.Lock()
		f.copies[kind].listed = now
		f.mutex.Unlock()
	}
	return listing, err
}

// follow makes the changes that events tell to a copy. An event that the copy already
// has, or is later than, changes nothing.
func follow(objects []storer.Object, events []storer.Event, compare func(a, b storer.Version) int) []storer.Object {
	if len(events) == 0 {
		return objects
	}
	latest := make(map[string]storer.Event, len(events))
	for _, event := range events {
		latest[event.Object.Name] = event
	}
	for _, held := range objects {
		if event, changed := latest[held.Name]; changed && compare(event.Object.Version, held.Version) < 0 {
			delete(latest, held.Name)
		}
	}
	var change step
	for name, event := range latest {
		if event.Change == storer.Deleted {
			change.removed = append(change.removed, name)
			continue
		}
		change.stored = append(change.stored, event.Object)
	}
	return change.apply(objects)
}

// take replaces a copy by a later one and confirms an equal one.
func (f *Follower) take(kind storer.Kind, listing storer.Listing, confirmed time.Time) {
	sortObjects(listing.Objects)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if held := f.copies[kind]; held != nil {
		f.replace(kind, held, listing, confirmed)
	}
}

// replace is take with the mutex held.
func (f *Follower) replace(kind storer.Kind, held *copied, listing storer.Listing, confirmed time.Time) {
	order := 1
	if held.known {
		order = f.options.Compare(listing.Version, held.listing.Version)
	}
	if order < 0 {
		return
	}
	if confirmed.After(held.confirmed) {
		held.confirmed = confirmed
	}
	digest := digestOf(listing.Objects)
	if held.known && digest == held.digest {
		held.listing.Version = listing.Version
		return
	}
	if held.known {
		held.history.add(held.digest, held.listing.Objects, listing.Objects)
	}
	held.listing, held.digest = listing, digest
	held.known, held.unfit = true, false
	close(f.newer)
	f.newer = make(chan struct{})
	f.options.Changed(kind, listing)
}

// digestOf covers the names and versions of objects in any order.
func digestOf(objects []storer.Object) uint64 {
	var sum uint64
	for _, object := range objects {
		sum += xxhash.Sum64String(object.Name + "/" + string(object.Version))
	}
	return sum
}

// Age is how long ago the oldest copy was confirmed to be the latest; it is very
// large while a copy is missing.
func (f *Follower) Age() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var age time.Duration
	for _, held := range f.copies {
		age = max(age, held.age(time.Now()))
	}
	return age
}

// neverConfirmed is the age of a copy that is missing.
const neverConfirmed = 24 * time.Hour

func (c *copied) age(now time.Time) time.Duration {
	if !c.known {
		return neverConfirmed
	}
	return now.Sub(c.confirmed)
}

// refreshGap is the least time between two reads on demand, so that callers who
// ask for what does not exist cannot load the store.
const refreshGap = 150 * time.Millisecond

// Refresh reads the store now, unless the copies are fresh or that was done a
// moment ago, and returns when they are as new as can be had, or with ctx.
func (f *Follower) Refresh(ctx context.Context) {
	asked := time.Now()
	select {
	case f.refreshing <- struct{}{}:
		defer func() { <-f.refreshing }()
	case <-ctx.Done():
		return
	}
	f.mutex.Lock()
	recent := asked.Sub(f.refreshed) < refreshGap || f.refreshed.After(asked)
	f.mutex.Unlock()
	if recent || f.Age() < f.options.Stale {
		return
	}
	if !f.read(ctx) {
		f.askAround(ctx)
	}
	f.mutex.Lock()
	f.refreshed = time.Now()
	f.mutex.Unlock()
}
