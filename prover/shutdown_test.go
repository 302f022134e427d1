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

// drainFaults are faults injected during a node's graceful shutdown.
var drainFaults = []struct {
	name   string
	inject func(f *fleet, n *node)
}{
	{"none", func(*fleet, *node) {}},
	{"store-down", func(f *fleet, _ *node) {
		f.setStoreFaults(emulator.PlatformFaults{Down: emulator.DownHanging})
	}},
	{"other-node-killed", func(f *fleet, n *node) { f.kill(f.otherNode(n).name) }},
	{"other-node-drained", func(f *fleet, n *node) { f.otherNode(n).stop() }},
	{"nodes-cut-off", func(f *fleet, n *node) { f.cutFor(n.host, f.otherNode(n).host, 12*time.Second) }},
	{"decode-crash", func(f *fleet, _ *node) { f.crashBusiestEngine(identifier.Decode) }},
	{"engine-connections-silent", func(f *fleet, n *node) {
		for _, host := range f.engineHosts(identifier.Decode) {
			f.network.Silence(n.host, host)
		}
	}},
}

func init() {
	for _, fault := range drainFaults {
		for _, role := range []string{"entry", "owner"} {
			addCell("shutdown-cuts-nothing", fault.name, "drain-of-"+role, func(t *testing.T, f *fleet) {
				f.checkDrainMidStream(t, role, func(n *node) { fault.inject(f, n) })
			})
		}
	}
	for _, fault := range leavingFaults {
		addCell("leaving-gets-nothing", fault.name, "list", func(t *testing.T, f *fleet) { f.checkBackendLeaving(t, f.listLeaving, fault.inject) })
		addCell("leaving-gets-nothing", fault.name, "table", func(t *testing.T, f *fleet) { f.checkBackendLeaving(t, f.tableLeaving, fault.inject) })
	}
	addCell("shutdown-cuts-nothing", "stale-address-list", "address-answer", checkStaleEntries)
	addCell("shutdown-cuts-nothing", "node-killed", "address-answer", checkDeadNodeUnlisted)
}

// checkDrainMidStream shuts the entry or owner down gracefully in mid-stream and
// injects a fault. Streams and bookings must complete on their first connections.
func (f *fleet) checkDrainMidStream(t *testing.T, role string, inject func(n *node)) {
	r := f.startRequest(t, completion{id: "report-1", prompt: longPrompt, tokens: 200})
	drained := r.entry
	if role == "owner" {
		drained = r.owner
	}
	f.waitFor("mid-stream", func() bool { return r.receivedTokens() >= 20 })
	key := newKey()
	booked := make(chan answer, 1)
	go func() { booked <- f.book(t.Context(), drained, key, "visit", true) }()
	drained.stop()
	inject(drained)
	time.Sleep(2 * time.Second)
	late := f.complete(t.Context(), drained, completion{prompt: "short log", tokens: 5}, nil)
	if late.err != nil || !late.whole && late.outcome != "not-run" && role == "entry" {
		t.Errorf("a caller with an older address answer got %+v", late)
	}
	if got := <-booked; got.err != nil {
		t.Errorf("the booking was cut: %v", got.err)
	}
	r.check(t)
	if r.connections != 1 {
		t.Errorf("the stream was cut: it took %d connections", r.connections)
	}
}

// leavingFaults are faults injected while a backend server is leaving.
var leavingFaults = []struct {
	name   string
	inject func(f *fleet)
}{
	{"none", func(*fleet) {}},
	{"store-down", func(f *fleet) {
		time.Sleep(time.Second)
		f.setStoreFaults(emulator.PlatformFaults{Down: emulator.DownHanging})
	}},
	{"owner-killed", func(f *fleet) { f.kill(string(f.node("node-1").server.View().Owner(placementShard).Node)) }},
	{"watches-silent", func(f *fleet) {
		time.Sleep(time.Second)
		f.platform.SetFaults(emulator.PlatformFaults{Watches: emulator.WatchesSilent})
	}},
}

// listLeaving marks the VM of an engine as leaving in the platform's VM list.
func (f *fleet) listLeaving(host string) {
	vm, _ := json.Marshal(map[string]any{"address": host, "data-centre": "south", "entry": false, "leaving": true})
	f.platform.Put("vms", "vm-"+host, vm)
}

// tableLeaving marks the engine of a host as leaving in the pools table.
func (f *fleet) tableLeaving(host string) {
	members := f.pools.Pools[0].Members
	for i := range members {
		members[i].Leaving = members[i].Leaving || hostOf(members[i].Address) == host
	}
	f.putTables()
}

// checkBackendLeaving marks an engine as leaving. After 5 s it must get no new
// requests, and its running streams must complete.
func (f *fleet) checkBackendLeaving(t *testing.T, leave func(host string), inject func(f *fleet)) {
	running := f.startRequest(t, completion{id: "report-1", prompt: longPrompt, tokens: 100})
	f.waitFor("mid-stream", func() bool { return running.receivedTokens() >= 20 })
	leave("10.1.2.1")
	inject(f)
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

// checkStaleEntries uses an answer of /v1/entries from before a node's shutdown: the
// node must accept requests for as long as callers may cache the answer.
func checkStaleEntries(t *testing.T, f *fleet) {
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

// checkDeadNodeUnlisted kills a node. It must be absent from /v1/entries 12 s later,
// and a caller with an older address list must be served by the next node.
func checkDeadNodeUnlisted(t *testing.T, f *fleet) {
	f.kill("node-1")
	time.Sleep(12 * time.Second)
	for _, entry := range f.entries(t, f.node("node-2")) {
		if entry == address(f.node("node-1")) {
			t.Error("a dead node is still in the address answer")
		}
	}
	r := f.startRequest(t, completion{id: "report-1", prompt: longPrompt, tokens: 20})
	r.check(t)
}
