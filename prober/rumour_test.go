package prober

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailspool/foxtailspool/logger"
)

// TestRumourStoreLimits checks that a rumour is accepted only once while its ID is kept,
// that no rumour is passed on beyond its lifetime, and that the number and the size of
// rumours stay within their limits.
func TestRumourStoreLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newRumourStore()
		now := time.Unix(1_000_000, 0)
		expiryByID := map[uint64]time.Time{}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if len(store.byID) > maxRumours {
					t.Fatalf("%d rumours stored", len(store.byID))
				}
				for id, end := range expiryByID {
					if r, passing := store.outgoing(now, id); passing && r.remaining > end.Sub(now) {
						t.Fatalf("rumour %d still has %v to live", id, r.remaining)
					}
				}
			},
			"add": func(t *rapid.T) {
				r := rumour{
					id:        rapid.Uint64Range(0, 400).Draw(t, "id"),
					payload:   make([]byte, rapid.IntRange(0, 2*maxRumourBytes).Draw(t, "size")),
					remaining: time.Duration(rapid.IntRange(0, 60).Draw(t, "seconds")) * time.Second,
				}
				_, known := store.byID[r.id]
				added := store.add(now, r)
				if added && (known || len(r.payload) > maxRumourBytes) {
					t.Fatalf("rumour %d of %d bytes was accepted as new; known before: %v", r.id, len(r.payload), known)
				}
				if added {
					expiryByID[r.id] = now.Add(r.remaining)
				}
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
				store.removeExpired(now)
			},
		})
		now = now.Add(time.Minute + rumourIDRetention + time.Second)
		store.removeExpired(now)
		if len(store.byID) > 0 {
			t.Fatalf("%d rumours are never removed", len(store.byID))
		}
	})
}

// TestManyRumoursCalmDown has a fleet pass on more rumours than a node keeps, as when many
// engines crash with requests in flight. Nodes that evicted a rumour took it for a new one when
// another node sent it, so that all passed on rumours without end.
func TestManyRumoursCalmDown(t *testing.T) {
	const rumours = 400
	f := newFleet(64, 3, 1, Options{Interval: 500 * time.Millisecond})
	f.runUntil(time.Minute, f.converged)
	f.run(30 * time.Second)
	f.messages = 0
	f.run(20 * time.Second)
	idle := f.messages
	f.messages = 0
	for n := range rumours {
		node := f.nodes[n%len(f.nodes)]
		f.runOn(node, func() { node.machine.broadcast(f.now, "topic", fmt.Appendf(nil, "rumour-%d", n)) })
		f.run(10 * time.Millisecond)
	}
	f.run(6 * time.Second)
	during := f.messages
	for n := range rumours {
		if got := f.receivedRumours[fmt.Sprint("rumour-", n)]; got < len(f.nodes) {
			t.Errorf("rumour %d has reached %d nodes", n, got)
			break
		}
	}
	f.messages = 0
	f.run(20 * time.Second)
	t.Logf("messages in 20 s: %d before, %d afterwards; %d in the 10 s of the rumours", idle, f.messages, during)
	if float64(f.messages) > 1.2*float64(idle) {
		t.Errorf("%d messages in 20 s after the rumours, %d before", f.messages, idle)
	}
	if perNode := float64(during) / 2 / float64(len(f.nodes)) / 10; perNode > 16 {
		t.Errorf("%.1f calls a second at each node while the rumours spread", perNode)
	}
}

// TestDroppedMessagesAreLogged guards against messages to all nodes that are dropped without a word,
// as they are too long or too many.
func TestDroppedMessagesAreLogged(t *testing.T) {
	f := newFleet(1, 1, 1, Options{})
	m := f.nodes[0].machine
	count := func(out output, event logger.Event) int {
		return len(slices.DeleteFunc(out.events, func(e loggedEvent) bool { return e.event.Number != event.Number }))
	}
	for size, want := range map[int]int{maxRumourBytes: 0, maxRumourBytes + 1: 1} {
		m.broadcast(f.now, "topic", make([]byte, size))
		if got := count(m.takeOutput(), eventMessageTooLong); got != want {
			t.Errorf("%d bytes: %d events", size, got)
		}
	}
	for range maxRumours + 1 {
		m.broadcast(f.now, "topic", nil)
	}
	var evicted int
	for range 3 {
		f.now = f.now.Add(time.Second)
		m.tick(f.now)
		evicted += count(m.takeOutput(), eventMessagesEvicted)
	}
	if evicted != 1 {
		t.Errorf("%d events of evictions", evicted)
	}
}
