package prober

import (
	"testing"
	"time"

	"pgregory.net/rapid"
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
