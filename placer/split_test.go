package placer

import (
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// wanted plays a usual load and returns the changes that are asked for in its end.
func wanted(l *load, rate float64, span time.Duration) []RoleChange {
	var changes []RoleChange
	for range int(span / time.Second) {
		l.play(rate, time.Second)
		changes = l.placer.RoleChanges(l.now)
	}
	return changes
}

// TestSplitFollowsTheMix has pools whose split does not suit their requests.
func TestSplitFollowsTheMix(t *testing.T) {
	for _, c := range []struct {
		name              string
		prefills, decodes int
		longer            float64
		role              identifier.Role
	}{
		{"long answers and too few decode engines", 4, 5, 1, identifier.Decode},
		{"the split that suits", 3, 6, 1, ""},
		{"short answers and too few prefill engines", 3, 6, 0.15, identifier.Prefill},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLoadOf(t, true, c.prefills, c.decodes)
			l.longer = c.longer
			changes := wanted(l, usualRate, 30*time.Second)
			if c.role == "" && len(changes) > 0 || c.role != "" && (len(changes) != 1 || changes[0].Role != c.role) {
				t.Errorf("%+v", changes)
			}
		})
	}
}

// TestEngineChangesOnce follows one change: the slowest engine is told, gets nothing
// meanwhile, and is never told again.
func TestEngineChangesOnce(t *testing.T) {
	l := newLoadOf(t, true, 4, 5)
	l.slow["p2"] = 1.4
	changes := wanted(l, usualRate, 30*time.Second)
	if len(changes) != 1 || changes[0].Member != "p2" {
		t.Fatalf("%+v", changes)
	}
	l.placer.Changing(l.now, changes[0])
	if again := l.placer.RoleChanges(l.now); len(again) > 0 {
		t.Errorf("more changes: %+v", again)
	}
	l.play(usualRate, 3*time.Second)
	for _, h := range l.placer.Held() {
		if h.Prefill == "p2" && !l.now.Add(-3*time.Second).After(l.placer.grants[h.Grant].grantedAt) {
			t.Errorf("a grant on the engine that changes: %+v", h)
		}
	}
	l.engines[2].Role = identifier.Decode
	l.placer.Configure(l.placer.settings, l.engines)
	if !l.placer.engines["p2"].accepts(l.now, &Demand{}) {
		t.Error("the engine has changed and gets nothing")
	}
	if more := wanted(l, usualRate, 20*time.Second); len(more) > 0 {
		t.Errorf("more changes: %+v", more)
	}
}

// TestCrashedPrefillEngineIsWaitedFor has a prefill engine missing for as long as a
// crashed one takes to come back: no decode engine gives its role up for it.
func TestCrashedPrefillEngineIsWaitedFor(t *testing.T) {
	l := newLoad(t, true)
	l.play(usualRate, 20*time.Second)
	l.engines[0].Leaving = true
	l.placer.Configure(l.placer.settings, l.engines)
	if changes := wanted(l, usualRate, 3*time.Second); len(changes) > 0 {
		t.Errorf("%+v", changes)
	}
}
