package prober

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRumours checks the bounds: each rumour is heard once while its id is known,
// none is passed on after its end, and neither number nor size grows without end.
func TestRumours(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		held := newRumourStore()
		now := time.Unix(1_000_000, 0)
		ends := map[uint64]time.Time{}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if len(held.byID) > maxRumours {
					t.Fatalf("%d rumours held", len(held.byID))
				}
				for id, end := range ends {
					if r, passing := held.outgoing(now, id); passing && r.remaining > end.Sub(now) {
						t.Fatalf("rumour %d lives on for %v", id, r.remaining)
					}
				}
			},
			"add": func(t *rapid.T) {
				r := rumour{
					id:        rapid.Uint64Range(0, 400).Draw(t, "id"),
					payload:   make([]byte, rapid.IntRange(0, 2*maxRumourBytes).Draw(t, "size")),
					remaining: time.Duration(rapid.IntRange(0, 60).Draw(t, "seconds")) * time.Second,
				}
				_, known := held.byID[r.id]
				added := held.add(now, r)
				if added && (known || len(r.payload) > maxRumourBytes) {
					t.Fatalf("rumour %d of %d bytes was heard; known before: %v", r.id, len(r.payload), known)
				}
				if added {
					ends[r.id] = now.Add(r.remaining)
				}
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
				held.removeExpired(now)
			},
		})
		now = now.Add(time.Minute + rumourIDRetention + time.Second)
		held.removeExpired(now)
		if len(held.byID) > 0 {
			t.Fatalf("%d rumours are kept for good", len(held.byID))
		}
	})
}
