package prover

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// withDrain are the faults that come together with a node's graceful shutdown.
var withDrain = []struct {
	name   string
	strike func(f *fleet, n *node)
}{
	{"none", func(*fleet, *node) {}},
	{"store-down", func(f *fleet, _ *node) {
		f.outage(emulator.PlatformFaults{Down: emulator.DownHanging})
	}},
	{"other-node-killed", func(f *fleet, n *node) { f.kill(f.otherThan(n).name) }},
	{"other-node-drained", func(f *fleet, n *node) { f.otherThan(n).stop() }},
	{"nodes-cut-off", func(f *fleet, n *node) { f.cutFor(n.host, f.otherThan(n).host, 12*time.Second) }},
	{"decode-crash", func(f *fleet, _ *node) { f.crashWhere(identifier.Decode) }},
	{"engine-connections-silent", func(f *fleet, n *node) {
		for _, host := range f.engineHosts(identifier.Decode) {
			f.network.Silence(n.host, host)
		}
	}},
}

func init() {
	for _, fault := range withDrain {
		for _, role := range []string{"entry", "owner"} {
			add("shutdown-cuts-nothing", fault.name, "drain-of-"+role, func(t *testing.T, f *fleet) {
				f.drainInStream(t, role, func(n *node) { fault.strike(f, n) })
			})
		}
	}
	for _, fault := range leavingFaults {
		add("leaving-gets-nothing", fault.name, "list", func(t *testing.T, f *fleet) { f.leaveBackend(t, f.listLeaving, fault.strike) })
		add("leaving-gets-nothing", fault.name, "table", func(t *testing.T, f *fleet) { f.leaveBackend(t, f.tableLeaving, fault.strike) })
	}
	add("shutdown-cuts-nothing", "stale-address-list", "address-answer", staleList)
	add("shutdown-cuts-nothing", "node-killed", "address-answer", deadOutOfList)
}

// drainInStream stops the entry or the owner gracefully in mid-stream, with
// another fault: streams and bookings end on the connections they began on.
func (f *fleet) drainInStream(t *testing.T, role string, strike func(n *node)) {
	r := f.try(t, completion{id: "report-1", prompt: longPrompt, tokens: 200})
	drained := r.entry
	if role == "owner" {
		drained = r.owner
	}
	f.waitFor("mid-stream", func() bool { return r.received() >= 20 })
	key := newKey()
	booked := make(chan answer, 1)
	go func() { booked <- f.book(t.Context(), drained, key, "visit", true) }()
	drained.stop()
	strike(drained)
	time.Sleep(2 * time.Second)
	late := f.complete(t.Context(), drained, completion{prompt: "short log", tokens: 5}, nil)
	if late.err != nil || !late.whole && late.outcome != "not-run" && role == "entry" {
		t.Errorf("a caller with an older address answer got %+v", late)
	}
	if got := <-booked; got.err != nil {
		t.Errorf("the booking was cut: %v", got.err)
	}
	r.check(t)
	if r.parts != 1 {
		t.Errorf("the stream was cut: it took %d connections", r.parts)
	}
}

// leavingFaults come together with a backend server's leaving.
var leavingFaults = []struct {
	name   string
	strike func(f *fleet)
}{
	{"none", func(*fleet) {}},
	{"store-down", func(f *fleet) {
		time.Sleep(time.Second)
		f.outage(emulator.PlatformFaults{Down: emulator.DownHanging})
	}},
	{"owner-killed", func(f *fleet) { f.kill(string(f.node("node-1").server.View().Owner(placementShard).Node)) }},
	{"watches-silent", func(f *fleet) {
		time.Sleep(time.Second)
		f.platform.SetFaults(emulator.PlatformFaults{Watches: emulator.WatchesSilent})
	}},
}

// listLeaving makes the platform list the VM of an engine as leaving.
func (f *fleet) listLeaving(host string) {
	vm, _ := json.Marshal(map[string]any{"address": host, "data-centre": "south", "entry": false, "leaving": true})
	f.platform.Put("vms", "vm-"+host, vm)
}

// tableLeaving makes an operator mark the engine of a host as leaving.
func (f *fleet) tableLeaving(host string) {
	members := f.pools.Pools[0].Members
	for i := range members {
		members[i].Leaving = members[i].Leaving || hostOf(members[i].Address) == host
	}
	f.putTables()
}

// leaveBackend lets an engine leave: a few seconds later it gets nothing new,
// and what it runs is finished.
func (f *fleet) leaveBackend(t *testing.T, leave func(host string), strike func(f *fleet)) {
	running := f.try(t, completion{id: "report-1", prompt: longPrompt, tokens: 100})
	f.waitFor("mid-stream", func() bool { return running.received() >= 20 })
	leave("10.1.2.1")
	strike(f)
	time.Sleep(5 * time.Second)
	before := f.engines["decode-1"].Counts().Decodes
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			entry := f.running()[i%len(f.running())]
			got := f.complete(t.Context(), entry, completion{prompt: fmt.Sprintf("log %d", i), tokens: 10}, nil)
			if !got.whole {
				t.Errorf("request %d: %+v", i, got)
			}
		})
	}
	group.Wait()
	if after := f.engines["decode-1"].Counts().Decodes; after != before {
		t.Errorf("the leaving engine got %d new requests", after-before)
	}
	running.check(t)
}

// staleList connects by an address answer from before a node left: the node
// still takes requests for as long as the answer may be kept.
func staleList(t *testing.T, f *fleet) {
	entries := f.entries(t, f.node("node-2"))
	if len(entries) != 3 {
		t.Fatalf("got %v, want three addresses", entries)
	}
	f.node("node-1").stop()
	time.Sleep(time.Second)
	for _, entry := range f.entries(t, f.node("node-2")) {
		if entry == address(f.node("node-1")) {
			t.Error("a leaving node is still in the address answer")
		}
	}
	time.Sleep(3 * time.Second)
	request := completion{prompt: "log", tokens: 60}
	if got := f.complete(t.Context(), f.node("node-1"), request, nil); !got.whole {
		t.Errorf("a caller with an older answer got %+v", got)
	}
}

// deadOutOfList kills a node: it soon leaves the address answer, and a caller
// that tries its address from an older answer is served by the next one.
func deadOutOfList(t *testing.T, f *fleet) {
	f.kill("node-1")
	time.Sleep(12 * time.Second)
	for _, entry := range f.entries(t, f.node("node-2")) {
		if entry == address(f.node("node-1")) {
			t.Error("a dead node is still in the address answer")
		}
	}
	r := f.try(t, completion{id: "report-1", prompt: longPrompt, tokens: 20})
	r.check(t)
}
