package prover

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/foxtailspool/foxtailspool/administrator"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// TestProcesses runs part of the matrix on real processes on loopback, with real
// kills and pauses. It waits for conditions, never for fixed times.
func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	strikes := []struct {
		name   string
		inject func(f *processFleet)
	}{
		{"entry-killed", func(f *processFleet) { f.kill(f.nodes[0]) }},
		{"entry-paused", func(f *processFleet) { f.freeze(f.nodes[0], 12*time.Second) }},
		{"other-paused", func(f *processFleet) { f.freeze(f.nodes[1], 12*time.Second) }},
		{"decodes-crash", func(f *processFleet) { f.restart(f.decodes[0]) }},
		{"store-killed", func(f *processFleet) { f.kill(f.platform) }},
	}
	for _, s := range strikes {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			f := newProcessFleet(t)
			f.checkStreamThroughFault(t, s.inject)
		})
	}
	t.Run("booking-and-entry-killed", func(t *testing.T) {
		t.Parallel()
		checkBookingThroughKill(t, newProcessFleet(t))
	})
	t.Run("long-store-outage", func(t *testing.T) {
		t.Parallel()
		checkLongStoreOutage(t, newProcessFleet(t))
	})
}

// checkStreamThroughFault injects a fault in mid-stream. The caller retries through
// the nodes and must get the whole answer, and all engine memory must be freed.
func (f *processFleet) checkStreamThroughFault(t *testing.T, inject func(f *processFleet)) {
	request := completion{id: "report-1", prompt: longPrompt, tokens: 150}
	var tokens []string
	injected, whole := false, false
	for turn := 0; turn < 40 && !whole; turn++ {
		ctx, cancel := context.WithCancel(t.Context())
		silent := time.AfterFunc(tokenTimeout, cancel)
		request.receivedTokens, request.resent = len(tokens), turn > 0
		got := complete(ctx, f.client, f.nodes[turn%len(f.nodes)].callers, request, func(offset int) {
			silent.Reset(tokenTimeout)
			if offset >= 30 && !injected {
				injected = true
				inject(f)
			}
		})
		silent.Stop()
		cancel()
		tokens = append(tokens, got.tokens...)
		whole = got.whole
		if !whole {
			f.waitFor("another try", afterOneSecond())
		}
	}
	if text := (answer{tokens: tokens}).text(); !whole || text != expectedText(request) {
		t.Errorf("got %d tokens, whole %v", len(tokens), whole)
	}
	f.waitFor("all engine memory free", f.allMemoryFree)
}

// afterOneSecond returns a condition that is true from one second later on: the
// caller's pause between two attempts, which asserts nothing.
func afterOneSecond() func() bool {
	then := time.Now().Add(time.Second)
	return func() bool { return time.Now().After(then) }
}

// checkBookingThroughKill kills the entry node of a booking while the service
// executes it. Resends through the other nodes must not execute it again.
func checkBookingThroughKill(t *testing.T, f *processFleet) {
	key := uuid.Must(uuid.NewV7()).String()
	first := make(chan answer, 1)
	go func() { first <- book(t.Context(), f.client, f.nodes[0].callers, key, "visit", true) }()
	executed := func() bool {
		counts, ok := get[map[string]int](f, "http://"+f.service.callers+"/counts")
		return ok && counts[key] > 0
	}
	f.waitFor("the execution", executed)
	f.kill(f.nodes[0])
	if got := <-first; got.outcome == "not-run" {
		t.Errorf("the killed node's caller got %+v", got)
	}
	for _, n := range []*processNode{f.nodes[1], f.nodes[2], f.nodes[1]} {
		if got := book(t.Context(), f.client, n.callers, key, "visit", false); got.outcome == "not-run" {
			t.Errorf("a resend got %+v", got)
		}
	}
	counts, _ := get[map[string]int](f, "http://"+f.service.callers+"/counts")
	if counts[key] != 1 {
		t.Errorf("executed %d times", counts[key])
	}
}

// checkLongStoreOutage edits a table, makes the store fail, restarts every node during
// the outage, restores the store and edits again. The first edit must stay in force
// until the second replaces it, and nothing may revert.
func checkLongStoreOutage(t *testing.T, f *processFleet) {
	before := f.editTarget(21)
	f.waitFor("the edit in force", func() bool { return f.allHave(before) })
	f.setPlatformFaults(`{"down":"hanging"}`)
	for _, n := range f.nodes {
		f.restart(n)
		f.waitFor(n.name+" holds the edit again", func() bool { return f.status(n).Configuration >= before })
		if got := f.targetAt(n); got != seconds(21) {
			t.Errorf("%s came back with a target of %v", n.name, time.Duration(got))
		}
	}
	request := completion{prompt: "humidity log", tokens: 5}
	f.waitFor("service during the outage", func() bool {
		return complete(t.Context(), f.client, f.nodes[0].callers, request, nil).whole
	})
	f.setPlatformFaults(`{}`)
	after := f.editTarget(22)
	f.waitFor("the later edit in force", func() bool { return f.allHave(after) })
	if after <= before {
		t.Errorf("the later edit got number %d after %d", after, before)
	}
	for _, n := range f.nodes {
		if got := f.targetAt(n); got != seconds(22) {
			t.Errorf("%s holds a target of %v after the outage", n.name, time.Duration(got))
		}
	}
}

// editTarget sets the first route's first-token target in seconds through the first node.
func (f *processFleet) editTarget(target int) identifier.Configuration {
	routes := tabulator.Routes{Routes: append([]tabulator.Route(nil), f.routes.Routes...)}
	routes.Routes[0].FirstToken = seconds(target)
	return f.apply(f.nodes[0], administrator.Edit{Routes: &routes})
}

// targetAt returns the first route's first-token target in force at a node.
func (f *processFleet) targetAt(n *processNode) tabulator.Duration {
	tables, ok := get[administrator.Tables](f, "http://"+n.operators+"/v1/tables")
	if !ok {
		return 0
	}
	return tables.Routes.Routes[0].FirstToken
}
