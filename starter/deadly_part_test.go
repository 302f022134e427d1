package starter_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
)

const deadlyPart = "dead"

// quoteWith returns a model request with a body and a last part of its own.
func quoteWith(n int, part string) request {
	c := quote()
	c.path = fmt.Sprintf("/quote/%d", n)
	c.body = fmt.Sprintf("%s-%d", c.body, n)
	c.header = http.Header{
		"X-Model": {"m"}, "X-Token-Counts": {"1000,100"}, "X-Prompt-Prefix": {fmt.Sprintf("5c1e:200,%s:300,%x:500", part, 1<<20+n)},
	}
	return c
}

// TestDeadlyPartStopsCrashingEngines guards against one part of a prompt that ends engine
// after engine: the requests with it differ in all else, and sound requests share their
// caller and their other parts.
func TestDeadlyPartStopsCrashingEngines(t *testing.T) {
	const (
		stableWindow = 3 * time.Second
		gap          = 200 * time.Millisecond
		// allowedRuns is how many requests may reach engines later than stableWindow after
		// the fifth crash.
		allowedRuns = 3
	)
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		decodes := f.instanceIDs("llm", "decode")
		for _, id := range decodes {
			f.instances[id].SetFaults(emulator.InstanceFaults{DeadlyPart: deadlyPart})
		}
		countDeadly := func() int {
			count := 0
			for _, id := range decodes {
				for _, r := range f.instances[id].Runs() {
					if isDeadly(r) {
						count++
					}
				}
			}
			return count
		}
		late, beforeLate, sound, served := time.Time{}, 0, 0, 0
		for n := range 100 {
			f.send(t.Context(), n%3, quoteWith(2*n, deadlyPart))
			switch {
			case late.IsZero() && countDeadly() >= 5:
				late = time.Now().Add(stableWindow)
			case !late.IsZero() && beforeLate == 0 && time.Now().After(late):
				beforeLate = countDeadly()
			}
			time.Sleep(gap)
			got := f.send(t.Context(), n%3, quoteWith(2*n+1, fmt.Sprintf("50%02x", n%8)))
			if n >= 50 {
				if sound++; got.status == http.StatusOK && !got.truncated {
					served++
				}
			}
		}
		if crashes := countDeadly(); !late.IsZero() && (beforeLate == 0 || crashes-beforeLate > allowedRuns) {
			t.Errorf("%d requests with the part reached engines, %d of them before the last moment allowed", crashes, beforeLate)
		}
		if served < sound*9/10 {
			t.Errorf("%d of %d sound requests were served", served, sound)
		}
	})
}

func isDeadly(r emulator.Run) bool {
	return r.Header.Get("X-Prompt-Prefix")[len("5c1e:200,"):][:len(deadlyPart)] == deadlyPart
}
