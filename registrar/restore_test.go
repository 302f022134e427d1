package registrar_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/registrar"
	"github.com/foxtailspool/foxtailspool/storer"
)

const (
	// returnTimeout is how soon after a restore a node's entry must be back.
	returnTimeout = 2 * time.Second
	// maxWritesPerSecond is the platform's limit on the writes of all nodes.
	maxWritesPerSecond = 400
)

// entryStore is a store whose objects can be lost. Its versions are its generation.
type entryStore struct {
	mutex      sync.Mutex
	generation storer.Generation
	objects    map[string]storer.Object
	writes     []time.Time
	reads      int
	staleReads int
	// emptyStale makes stale listings empty.
	emptyStale bool
	// refusesWrites makes all writes fail.
	refusesWrites bool
}

func newEntryStore(generation storer.Generation) *entryStore {
	return &entryStore{generation: generation, objects: map[string]storer.Object{}}
}

// restore brings back an empty copy.
func (e *entryStore) restore() storer.Generation {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.generation++
	e.objects = map[string]storer.Object{}
	return e.generation
}

// put stores an entry without counting a write.
func (e *entryStore) put(name string, address identifier.Address) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.objects[name] = storer.Object{Kind: registrar.KindNode, Name: name, Spec: json.RawMessage(fmt.Sprintf(`{"peers":%q}`, address))}
}

func (e *entryStore) remove(name string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.objects, name)
}

// entry returns the entry of a node, or "" if there is none.
func (e *entryStore) entry(name string) string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return string(e.objects[name].Spec)
}

func (e *entryStore) version() storer.Version {
	return storer.Version(fmt.Sprint(e.generation))
}

func (e *entryStore) Get(_ context.Context, _ storer.Kind, name string) (storer.Object, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	o, known := e.objects[name]
	if !known {
		return storer.Object{}, storer.NotFound.New("no entry")
	}
	return o, nil
}

func (e *entryStore) List(context.Context, storer.Kind) (storer.Listing, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.reads++
	listing := storer.Listing{Version: e.version()}
	for _, o := range e.objects {
		listing.Objects = append(listing.Objects, o)
	}
	return listing, nil
}

// ListStale returns the listing before any write while emptyStale is set.
func (e *entryStore) ListStale(context.Context, storer.Kind) (storer.Listing, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.staleReads++
	listing := storer.Listing{Version: e.version()}
	for _, o := range e.objects {
		if !e.emptyStale {
			listing.Objects = append(listing.Objects, o)
		}
	}
	return listing, nil
}

func (e *entryStore) Create(_ context.Context, o storer.Object) (storer.Object, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.writes = append(e.writes, time.Now())
	if e.refusesWrites {
		return storer.Object{}, storer.Unavailable.New("busy")
	}
	if _, taken := e.objects[o.Name]; taken {
		return storer.Object{}, storer.Conflict.New("taken")
	}
	o.Version = e.version()
	e.objects[o.Name] = o
	return o, nil
}

func (e *entryStore) Update(_ context.Context, o storer.Object) (storer.Object, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.writes = append(e.writes, time.Now())
	o.Version = e.version()
	e.objects[o.Name] = o
	return o, nil
}

// calls returns the numbers of full reads of the list and of writes.
func (e *entryStore) calls() (reads, writes int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.reads, len(e.writes)
}

// start runs the registrar of node n until the returned function is called.
func (e *entryStore) start(n int) (r *registrar.Registrar, stop func()) {
	r = registrar.New(registrar.Options{
		Node:    identifier.Node(nodeName(n)),
		Address: nodeAddress(n),
		Store:   e,
		Generation: func(v storer.Version) (generation storer.Generation) {
			if _, err := fmt.Sscan(string(v), &generation); err != nil {
				panic(err) // The tests' versions can be read.
			}
			return generation
		},
		Log: logger.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	return r, func() {
		cancel()
		<-ended
	}
}

func nodeName(n int) string { return fmt.Sprintf("node-%d", n) }

func nodeAddress(n int) identifier.Address {
	return identifier.Address(fmt.Sprintf("10.1.%d.%d:7660", n/250, n%250+1))
}

// TestEntryIsWrittenAgainAfterRestore guards against nodes that cannot be found because a
// restore of the store removed their entries.
func TestEntryIsWrittenAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newEntryStore(1)
		r, stop := store.start(0)
		defer stop()
		time.Sleep(10 * time.Second)
		r.StoreRestored(store.restore())
		time.Sleep(returnTimeout)
		if store.entry(nodeName(0)) == "" {
			t.Error("the entry is not back")
		}
	})
}

// TestMissingEntryIsWrittenAgain guards against an entry that stays lost if nobody reports
// the restore to the registrar.
func TestMissingEntryIsWrittenAgain(t *testing.T) {
	for name, lose := range map[string]func(e *entryStore){
		"restored":        func(e *entryStore) { e.restore() },
		"removed":         func(e *entryStore) { e.remove(nodeName(0)) },
		"another address": func(e *entryStore) { e.put(nodeName(0), "10.9.9.9:1") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newEntryStore(1)
				_, stop := store.start(0)
				defer stop()
				time.Sleep(10 * time.Second)
				lose(store)
				time.Sleep(30 * time.Second)
				if got := store.entry(nodeName(0)); !strings.Contains(got, string(nodeAddress(0))) {
					t.Errorf("entry %q", got)
				}
			})
		})
	}
}

// TestStartAfterRestoreWaitsForOtherEntries guards against a node that starts just after a
// restore, reads an empty list and takes itself for the whole fleet.
func TestStartAfterRestoreWaitsForOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newEntryStore(2)
		r, stop := store.start(0)
		defer stop()
		time.Sleep(time.Second)
		if !r.DiscoveryPending() {
			t.Error("an empty list counts as complete just after a restore")
		}
		store.put(nodeName(1), nodeAddress(1))
		time.Sleep(1500 * time.Millisecond)
		if got := r.PeerAddresses(); r.DiscoveryPending() || !slices.Contains(got, nodeAddress(1)) {
			t.Errorf("peers %v, discovery pending %v", got, r.DiscoveryPending())
		}
	})
}

// TestRefusedWritesDoNotDelayDiscovery guards against a node that cannot find the others
// because the store refuses the write of its own entry.
func TestRefusedWritesDoNotDelayDiscovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newEntryStore(1)
		store.refusesWrites = true
		store.put(nodeName(1), nodeAddress(1))
		r, stop := store.start(0)
		defer stop()
		time.Sleep(time.Second)
		if got := r.PeerAddresses(); r.DiscoveryPending() || !slices.Contains(got, nodeAddress(1)) {
			t.Errorf("peers %v, discovery pending %v", got, r.DiscoveryPending())
		}
		store.mutex.Lock()
		store.refusesWrites = false
		store.mutex.Unlock()
		time.Sleep(time.Second)
		if store.entry(nodeName(0)) == "" {
			t.Error("the entry is not written once the store accepts it")
		}
	})
}

// TestFirstNodeNeedNotWaitForOthers guards against a delayed start of the first node in a
// store that was never restored.
func TestFirstNodeNeedNotWaitForOthers(t *testing.T) {
	for _, generation := range []storer.Generation{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			store := newEntryStore(generation)
			r, stop := store.start(0)
			defer stop()
			synctest.Wait()
			if r.DiscoveryPending() {
				t.Errorf("discovery is pending in generation %d", generation)
			}
		})
	}
}

// TestLargeFleetSpreadsWritesAfterRestore guards against refused writes when hundreds of
// nodes write their entries again at the same time.
func TestLargeFleetSpreadsWritesAfterRestore(t *testing.T) {
	const nodes = 350
	synctest.Test(t, func(t *testing.T) {
		store := newEntryStore(1)
		var running []*registrar.Registrar
		for n := range nodes {
			r, stop := store.start(n)
			defer stop()
			running = append(running, r)
		}
		time.Sleep(10 * time.Second)
		generation := store.restore()
		store.mutex.Lock()
		store.writes, store.reads = nil, 0
		store.mutex.Unlock()
		for _, r := range running {
			r.StoreRestored(generation)
		}
		time.Sleep(returnTimeout)
		store.mutex.Lock()
		defer store.mutex.Unlock()
		if len(store.objects) != nodes {
			t.Errorf("%d entries are back", len(store.objects))
		}
		for first, began := range store.writes {
			if last := first + maxWritesPerSecond; last < len(store.writes) && store.writes[last].Sub(began) < time.Second {
				t.Fatalf("more than %d writes in a second", maxWritesPerSecond)
			}
		}
		t.Logf("%d writes and %d reads of the list within %s", len(store.writes), store.reads, returnTimeout)
	})
}

// TestKnownGenerationCausesNoCalls guards against reads that each node makes whenever its
// copies of other collections change.
func TestKnownGenerationCausesNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newEntryStore(3)
		r, stop := store.start(0)
		defer stop()
		time.Sleep(31 * time.Second)
		store.mutex.Lock()
		before := store.reads
		store.mutex.Unlock()
		r.StoreRestored(3)
		r.StoreRestored(2)
		time.Sleep(5 * time.Second)
		store.mutex.Lock()
		defer store.mutex.Unlock()
		if store.reads != before || len(store.writes) != 1 {
			t.Errorf("%d more reads, %d writes", store.reads-before, len(store.writes))
		}
	})
}

// TestFleetStartsWithFewCalls guards against starts that cost three full reads of the list
// for each node: stale listings cost a tenth.
func TestFleetStartsWithFewCalls(t *testing.T) {
	const nodes = 295
	for _, emptyStale := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := newEntryStore(1)
			store.emptyStale = emptyStale
			var running []*registrar.Registrar
			for n := range nodes {
				r, stop := store.start(n)
				defer stop()
				running = append(running, r)
				time.Sleep(time.Millisecond)
			}
			time.Sleep(20 * time.Second)
			for n, r := range running {
				if n > 0 && (r.DiscoveryPending() || len(r.PeerAddresses()) < n) {
					t.Fatalf("node %d knows %d others", n, len(r.PeerAddresses()))
				}
			}
			reads, writes := store.calls()
			if !emptyStale && reads > nodes/10 {
				t.Errorf("%d full reads of the list", reads)
			}
			r, stop := store.start(7)
			defer stop()
			time.Sleep(5 * time.Second)
			_, writesNow := store.calls()
			if again := writesNow - writes; !emptyStale && again > 0 || len(r.PeerAddresses()) != nodes-1 {
				t.Errorf("a restarted node made %d writes and knows %d others", again, len(r.PeerAddresses()))
			}
		})
	}
}
