// Package follower keeps each node's copy of some collections of the platform's store
// current: the operators' configuration and the list of back ends.
//
// Every call to the store is expensive, so only a few nodes, the readers, read it at
// short intervals. Every other node long-polls a reader for a newer version. A reader
// can lose the store, by a network failure or because the store rejects it, while other
// nodes can still read it. So a node whose reader is silent or stale reads the store
// itself, and a node that cannot read the store polls other nodes. Periodic reads
// replace watches because an open watch can miss changes for seconds without an error.
//
// A copy is replaced only as a whole and only by a later version, so a node never moves
// back to an older version within one run of its process. After a restore of the store, a
// listing of the later generation replaces the copy, merged with what the nodes know to be
// later.
package follower

import (
	"cmp"
	"context"
	"net/http"
	"net/http/httptrace"
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
	// Changes returns the changes after a version and the version that they lead to. It
	// can miss changes for some seconds.
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
	// GenerationOf returns the generation of the store that gave out a version; nil means
	// that the store is never restored.
	GenerationOf func(storer.Version) storer.Generation
	// Supersedes reports whether held is known to be later than listed although listed was
	// read after a restore; listed is zero if there is none of that name. The default is
	// that nothing is.
	Supersedes func(kind storer.Kind, held, listed storer.Object) bool
	// LapseTime is how long after a restore a listing may contain objects that had been
	// removed before it: by then a living writer has written its object again, and the
	// others' have lapsed. The default is 5 s.
	LapseTime time.Duration
	// RewriteTime is how long after a restore an object that the listing lacks may still be
	// written again; it is used until then. The default is 2 s.
	RewriteTime time.Duration
	// OnGeneration is called when the first copy arrives and when a copy of a later
	// generation than any before does. It is called with the mutex held, so it must not
	// block or call the follower.
	OnGeneration func(storer.Generation)
	View         func() *assigner.View
	// Joined is closed when View has other nodes, if there are any; nil is allowed.
	Joined <-chan struct{}
	// PeerTransport sends the calls to the peer addresses of other nodes.
	PeerTransport http.RoundTripper
	// OnChange receives each newer copy, in the order of versions. It is called with
	// the mutex held, so it must not block or call the follower.
	OnChange func(kind storer.Kind, listing storer.Listing)
	// Readers is the number of nodes that read the store; the default is 2.
	Readers int
	// ReadInterval is the time between two reads of a reader; the default is 400 ms. A
	// change reaches every node within ReadInterval plus two short calls.
	ReadInterval time.Duration
	// StaleAfter is the copy age at which other sources are used; the default is 900 ms.
	StaleAfter time.Duration
	// Timeout limits a call to a peer, in addition to its hold time; the default is 400
	// ms. Once a copy exists, it also limits a store read, scaled by the list's length.
	Timeout time.Duration
	Log     *logger.Logger
	Scope   tally.Scope
}

// The defaults of Options. With them a change reaches a node whose sources have all just
// failed within ReadInterval + StaleAfter + Timeout, if the node can read the store or
// reaches another node that can.
const (
	defaultReaders      = 2
	defaultReadInterval = 400 * time.Millisecond
	defaultStaleAfter   = 900 * time.Millisecond
	defaultTimeout      = 400 * time.Millisecond
	defaultLapseTime    = 5 * time.Second
	defaultRewriteTime  = 2 * time.Second
)

func (o Options) withDefaults() Options {
	o.Readers = cmp.Or(o.Readers, defaultReaders)
	o.ReadInterval = cmp.Or(o.ReadInterval, defaultReadInterval)
	o.StaleAfter = cmp.Or(o.StaleAfter, defaultStaleAfter)
	o.Timeout = cmp.Or(o.Timeout, defaultTimeout)
	o.LapseTime = cmp.Or(o.LapseTime, defaultLapseTime)
	o.RewriteTime = cmp.Or(o.RewriteTime, defaultRewriteTime)
	if o.Supersedes == nil {
		o.Supersedes = func(storer.Kind, storer.Object, storer.Object) bool { return false }
	}
	if o.GenerationOf == nil {
		o.GenerationOf = func(storer.Version) storer.Generation { return 0 }
	}
	if o.OnGeneration == nil {
		o.OnGeneration = func(storer.Generation) {}
	}
	if o.Log == nil {
		o.Log = logger.Discard()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}

type localCopy struct {
	// listing is sorted by name.
	listing storer.Listing
	history history
	// digest covers the objects' names and versions. Listings of different versions can
	// have the same digest: changes of other collections also raise the version.
	digest uint64
	// retained holds by name the removals of the last minute, and after a restore the
	// objects that are later than the listed ones. merged is the listing with those of
	// earlier generations, as passed to OnChange, and mergedDigest its digest.
	retained     map[string]retained
	merged       []storer.Object
	mergedDigest uint64
	// beforeRestore is what merged was when the first listing of the listing's generation
	// arrived. beforeLapsed tells whether all of it had been written since an earlier restore.
	beforeRestore []storer.Object
	beforeLapsed  bool
	// generationSince is when the first listing of the listing's generation arrived.
	generationSince time.Time
	loaded          bool
	// needsFullList is set when a delta did not produce the peer's digest.
	needsFullList bool
	lastFullRead  time.Time
	// fullReadTime is how long verifyCopy took last.
	fullReadTime time.Duration
	// confirmedAt is when the version was last known to be the latest.
	confirmedAt time.Time
}

// Follower is one node's copy of the collections.
type Follower struct {
	options           Options
	storeReads        tally.Counter
	storeReadFailures tally.Counter
	// panics counts the reads that panicked.
	panics tally.Counter
	// copyAges records the age of the copies after each synchronisation.
	copyAges tally.Timer
	// sentBytes and receivedBytes count the objects in messages between nodes, in bytes.
	sentBytes     tally.Counter
	receivedBytes tally.Counter
	// refreshToken holds one token, so that only one on-demand read runs at a time.
	refreshToken       chan struct{}
	storeFailureLogged atomic.Bool
	// isReader is whether this node was a reader at the last synchronisation.
	isReader atomic.Bool

	// mutex guards the fields below.
	mutex  sync.Mutex
	copies map[storer.Kind]*localCopy
	// updated is closed and replaced by a new channel each time a copy is replaced.
	updated     chan struct{}
	lastRefresh time.Time
	// generation is the latest generation of any listing; it is valid if generationKnown.
	generation      storer.Generation
	generationKnown bool
	askedPeers      bool
	// restored is set by a restore until other nodes are asked what they know.
	restored bool
	// nextStoreRead is when a node that is not a reader may read the store again.
	nextStoreRead time.Time
	readBackoff   time.Duration
	// avoidSourceUntil is when a node that did not answer, or whose copies were stale, may
	// be long-polled again.
	avoidSourceUntil map[identifier.Node]time.Time
	// pending holds the announced copies that lack contents. wanted has a token if there may
	// be one that runContents does not know.
	pending map[storer.Kind]*pendingCopy
	wanted  chan struct{}

	contents *contentSender

	// staleSince and staleAge belong to Run: when the copies were found stale, zero while
	// they are fresh, and their largest age since then.
	staleSince time.Time
	staleAge   time.Duration
}

// New returns a follower without copies.
func New(options Options) *Follower {
	options = options.withDefaults()
	scope := options.Scope.SubScope("follower")
	f := &Follower{
		options:           options,
		storeReads:        scope.Counter("store-reads"),
		storeReadFailures: scope.Counter("store-reads-failed"),
		panics:            scope.Counter("panics"),
		refreshToken:      make(chan struct{}, 1),
		copies:            map[storer.Kind]*localCopy{},
		updated:           make(chan struct{}),
		avoidSourceUntil:  map[identifier.Node]time.Time{},
		pending:           map[storer.Kind]*pendingCopy{},
		wanted:            make(chan struct{}, 1),
		contents:          newContentSender(),
		copyAges:          scope.Timer("copy-age"),
		sentBytes:         scope.Counter("peer-bytes-sent"),
		receivedBytes:     scope.Counter("peer-bytes-received"),
	}
	for _, kind := range options.Kinds {
		f.copies[kind] = &localCopy{}
	}
	return f
}

// Run keeps the copies current until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	ended := make(chan struct{}, 2)
	for _, loop := range []func(context.Context){f.runContents, f.verifyLarge} {
		go func() {
			loop(ctx)
			ended <- struct{}{}
		}()
		defer func() { <-ended }()
	}
	joined := f.options.Joined
	for ctx.Err() == nil {
		began := time.Now()
		f.syncOnce(ctx)
		f.logStaleness()
		pause := time.NewTimer(f.options.ReadInterval - time.Since(began))
		select {
		case <-ctx.Done():
		case <-pause.C:
		case <-joined:
			// Other nodes' callers may use this node from now on, so it asks at once.
			joined = nil
			f.exchangeRetained(ctx, false)
		}
		pause.Stop()
	}
	return nil
}

// syncOnce updates the copies once, and what this node retains beyond them.
func (f *Follower) syncOnce(ctx context.Context) {
	reader := f.syncCopies(ctx)
	f.isReader.Store(reader)
	f.exchangeRetained(ctx, reader)
	f.mergeAfterLapse()
}

// syncCopies updates the copies once and reports whether this node is a reader. It first
// loads missing copies. A reader then reads the store; any other node long-polls a reader, or
// the next source while the readers are known to be stale or unresponsive. If the copies are
// stale after that, catchUp follows.
func (f *Follower) syncCopies(ctx context.Context) (reader bool) {
	if f.copyMissing() && f.loadInitial(ctx) {
		return false
	}
	sources := f.sources()
	readers := sources[:min(f.options.Readers, len(sources))]
	reader = hasNode(readers, f.options.Self)
	switch {
	case !reader:
		f.pollBestSource(ctx, sources)
		if f.isStale() {
			f.catchUp(ctx, f.storeReader(sources), sources)
		}
	case f.isStale():
		f.catchUp(ctx, f.readStore, sources)
	case !f.readStore(ctx):
		f.pollAtOnce(ctx, f.somePeers(nil))
	}
	return reader
}

func (f *Follower) copyMissing() bool {
	return f.CopyAge() >= missingCopyAge
}

// isStale reports whether this node may not know the latest version of a collection, or has
// waited too long for its contents.
func (f *Follower) isStale() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	for kind := range f.copies {
		if f.knownAge(kind, now) >= f.options.StaleAfter {
			return true
		}
	}
	return false
}

// initialPatience is how long a node that is not a source waits for the copies of other nodes
// before it reads the store. When a fleet starts, the sources have theirs sooner.
const initialPatience = time.Second

// loadInitial gets the first copies from a few other nodes, or from the store if those
// have none. It reports whether all copies are loaded. Each node polls different nodes:
// if all polled the readers, a long list would saturate the readers' links. While the store
// is away, nodes that are no sources read it less and less often.
func (f *Follower) loadInitial(ctx context.Context) bool {
	f.awaitJoined(ctx)
	for began := time.Now(); ctx.Err() == nil; sleep(ctx, askInterval) {
		sources := f.sources()
		f.pollAtOnce(ctx, f.somePeers(sources))
		if !f.copyMissing() {
			return true
		}
		if hasNode(sources, f.options.Self) {
			return f.readStore(ctx)
		}
		if time.Since(began) >= initialPatience && f.storeReadDue(time.Now()) {
			return f.readWithBackoff(ctx)
		}
	}
	return false
}

// awaitJoined waits up to initialPatience until this node knows others that it can ask.
func (f *Follower) awaitJoined(ctx context.Context) {
	if f.options.Joined == nil {
		return
	}
	timer := time.NewTimer(initialPatience)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.options.Joined:
	}
}

func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// sources returns the nodes that read the store, and their standbys.
func (f *Follower) sources() []assigner.Member {
	return f.options.View().OwnerCandidates("store-readers", f.options.Readers*(1+standbysPerReader))
}

// standbysPerReader is how many nodes per reader read the store if readers are stale.
const standbysPerReader = 2

func hasNode(members []assigner.Member, node identifier.Node) bool {
	return slices.ContainsFunc(members, func(m assigner.Member) bool { return m.Node == node })
}

// storeReadDue reports whether the backoff of a node that is not a reader has passed.
// During an outage of the store only the readers keep reading it at every interval.
func (f *Follower) storeReadDue(now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !now.Before(f.nextStoreRead)
}

// maxReadBackoff limits the pause between store reads of a node that is not a reader.
const maxReadBackoff = 4 * time.Second

// readWithBackoff reads the store and doubles the pause before the next read after each
// failure. It reports whether the read succeeded.
func (f *Follower) readWithBackoff(ctx context.Context) bool {
	ok := f.readStore(ctx)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if ok {
		f.readBackoff = 0
		return true
	}
	f.readBackoff = min(max(2*f.readBackoff, f.options.ReadInterval), maxReadBackoff)
	f.nextStoreRead = time.Now().Add(f.readBackoff)
	return false
}

// readStore reads all collections at once and reports whether every read succeeded. A large
// one thus does not hold up the others.
func (f *Follower) readStore(ctx context.Context) bool {
	succeeded := make(chan bool, len(f.options.Kinds))
	for _, kind := range f.options.Kinds {
		go func() { succeeded <- f.readCollection(ctx, kind) }()
	}
	ok := true
	for range f.options.Kinds {
		ok = <-succeeded && ok
	}
	return ok
}

func (f *Follower) readCollection(ctx context.Context, kind storer.Kind) (ok bool) {
	defer f.recoverPanic("store", &ok)
	startedAt := time.Now()
	f.storeReads.Inc(1)
	listing, err := f.fetch(ctx, kind, startedAt)
	if err != nil {
		f.storeReadFailures.Inc(1)
		if !f.storeFailureLogged.Swap(true) {
			f.options.Log.Log(eventStoreReadFailed, logger.Fields{"kind": kind, "error": err.Error(), "age-ms": f.CopyAge().Milliseconds()})
		}
		return false
	}
	if f.storeFailureLogged.Swap(false) {
		f.options.Log.Log(eventStoreReadRecovered, logger.Fields{"kind": kind, fieldVersion: listing.Version})
	}
	f.update(kind, listing, startedAt)
	return true
}

const (
	// longListObjects is the number of objects from which a list counts as long:
	// reading it whole takes several calls and too much of a slow link.
	longListObjects = 250
	// fullReadInterval is the time between two full reads of a long list, and the shortest
	// between two of a collection with a large object. Reads in between fetch only changes,
	// which can miss some for a while.
	fullReadInterval = 1600 * time.Millisecond
	// maxContentTime is how much longer a read may take once the answer has begun. An object
	// of 1 MB takes 0.8 s over a link of 10 Mbit/s.
	maxContentTime = 2 * time.Second
)

// fetch reads a collection from the store: all of it, or for a long list or a large object
// the changes since the copy's version. It does a full read if that version has expired, and
// of a long list each fullReadInterval; verifyLarge does those of large objects.
func (f *Follower) fetch(ctx context.Context, kind storer.Kind, now time.Time) (storer.Listing, error) {
	f.mutex.Lock()
	current := *f.copies[kind]
	f.mutex.Unlock()
	if current.loaded {
		// Other nodes may keep an existing copy current, so the store gets no more time
		// than a list of this length takes. Only the store's timeouts limit a first
		// read.
		limit := f.options.Timeout * time.Duration(1+len(current.listing.Objects)/longListObjects)
		bounded, cancel := boundAnswer(ctx, limit, maxContentTime)
		defer cancel()
		ctx = bounded
	}
	recent := now.Sub(current.lastFullRead) < fullReadInterval
	if current.isLarge() || recent && len(current.listing.Objects) >= longListObjects {
		events, reached, err := f.options.Store.Changes(ctx, kind, current.listing.Version)
		if err == nil {
			return storer.Listing{Version: reached, Objects: applyEvents(current.listing.Objects, events, f.options.Compare)}, nil
		}
		if !errorx.IsOfType(err, storer.Expired) {
			return storer.Listing{}, err
		}
	}
	listing, err := f.options.Store.List(ctx, kind)
	if err == nil {
		f.setFullRead(kind, now)
	}
	return listing, err
}

func (f *Follower) setFullRead(kind storer.Kind, at time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.copies[kind].lastFullRead = at
}

// isLarge reports whether the copy has a large object.
func (c *localCopy) isLarge() bool {
	return slices.ContainsFunc(c.listing.Objects, func(o storer.Object) bool { return len(o.Spec) >= largeContentBytes })
}

// boundAnswer returns a context that ends unless an answer begins within the first duration,
// and at the latest after both.
func boundAnswer(ctx context.Context, first, rest time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, first+rest)
	timer := time.AfterFunc(first, cancel)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { timer.Stop() }})
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// applyEvents returns objects with the events applied. An event that is not newer than
// the copy's object of that name has no effect.
func applyEvents(objects []storer.Object, events []storer.Event, compare func(a, b storer.Version) int) []storer.Object {
	if len(events) == 0 {
		return objects
	}
	latest := make(map[string]storer.Event, len(events))
	for _, event := range events {
		latest[event.Object.Name] = event
	}
	for _, object := range objects {
		if event, changed := latest[object.Name]; changed && compare(event.Object.Version, object.Version) < 0 {
			delete(latest, object.Name)
		}
	}
	var changes delta
	for name, event := range latest {
		if event.Change == storer.Deleted {
			changes.removed = append(changes.removed, name)
			continue
		}
		changes.stored = append(changes.stored, event.Object)
	}
	return changes.apply(objects)
}

// update replaces a copy by a newer listing, or confirms a copy with the same objects.
func (f *Follower) update(kind storer.Kind, listing storer.Listing, confirmedAt time.Time) {
	sortObjects(listing.Objects)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if current := f.copies[kind]; current != nil {
		f.updateLocked(kind, current, listing, confirmedAt)
	}
}

// updateLocked is update for a sorted listing. The caller must hold the mutex.
func (f *Follower) updateLocked(kind storer.Kind, current *localCopy, listing storer.Listing, confirmedAt time.Time) {
	f.noteGeneration(kind, current, listing.Version)
	order := 1
	if current.loaded {
		order = f.options.Compare(listing.Version, current.listing.Version)
	}
	if order < 0 {
		return
	}
	age, lapsed := current.age(time.Now()), f.hasLapsed(current)
	if confirmedAt.After(current.confirmedAt) {
		current.confirmedAt = confirmedAt
	}
	digest := objectsDigest(listing.Objects)
	first, restored := !current.loaded, f.isRestoredBy(current, listing)
	if !first && !restored && digest == current.digest {
		current.listing.Version = listing.Version
		return
	}
	if first || restored {
		current.generationSince, current.beforeRestore, current.beforeLapsed = time.Now(), current.merged, lapsed
	}
	if !first {
		f.retainBefore(kind, current, age, listing)
		current.history.add(current.digest, current.listing.Objects, listing.Objects)
	}
	current.listing, current.digest = listing, digest
	current.loaded, current.needsFullList = true, false
	close(f.updated)
	f.updated = make(chan struct{})
	f.mergeRetained(kind, current, first)
	if restored {
		f.logRetained(kind, current)
	}
}

// noteGeneration records a generation later than any before. The caller must hold the mutex.
func (f *Follower) noteGeneration(kind storer.Kind, current *localCopy, version storer.Version) {
	generation := f.options.GenerationOf(version)
	if f.generationKnown && generation <= f.generation {
		return
	}
	if f.generationKnown {
		f.options.Log.Log(eventStoreRestored, logger.Fields{
			"kind": kind, "generation": generation, "held-generation": f.generation,
			fieldVersion: version, "held-version": current.listing.Version,
		})
		f.restored = true
	}
	f.generation, f.generationKnown = generation, true
	f.options.OnGeneration(generation)
}

// objectsDigest returns an order-independent digest of the objects' names and versions.
func objectsDigest(objects []storer.Object) uint64 {
	var sum uint64
	for _, object := range objects {
		sum += xxhash.Sum64String(object.Name + "/" + string(object.Version))
	}
	return sum
}

// CopyAge returns the largest age of a copy: the time since it was last confirmed to be
// the latest, or missingCopyAge if it was never loaded.
func (f *Follower) CopyAge() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var age time.Duration
	for _, current := range f.copies {
		age = max(age, current.age(time.Now()))
	}
	return age
}

const missingCopyAge = 24 * time.Hour

func (c *localCopy) age(now time.Time) time.Duration {
	if !c.loaded {
		return missingCopyAge
	}
	return now.Sub(c.confirmedAt)
}

// minRefreshInterval is the shortest time between two on-demand reads, so that callers
// who request unknown names cannot overload the store.
const minRefreshInterval = 150 * time.Millisecond

// Refresh reads the store, or polls other nodes if that fails, unless the copies are
// fresh or were just refreshed. It returns once the read is done or ctx ends. While contents
// of a later version are on their way, it waits for those instead.
func (f *Follower) Refresh(ctx context.Context) {
	startedAt := time.Now()
	if f.awaitPending(ctx) {
		return
	}
	select {
	case f.refreshToken <- struct{}{}:
		defer func() { <-f.refreshToken }()
	case <-ctx.Done():
		return
	}
	f.mutex.Lock()
	recent := startedAt.Sub(f.lastRefresh) < minRefreshInterval || f.lastRefresh.After(startedAt)
	f.mutex.Unlock()
	if recent || !f.isStale() {
		return
	}
	f.catchUp(ctx, f.readStore, nil)
	f.mutex.Lock()
	f.lastRefresh = time.Now()
	f.mutex.Unlock()
}
