package starter_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"
)

// withKey returns a request with an API key.
func withKey(c request, key string) request {
	header := http.Header{"Api-Key": {key}}
	for field, values := range c.header {
		header[field] = values
	}
	c.header = header
	return c
}

// mostInWindow returns how many of the times are in the window that has most.
func mostInWindow(times []time.Time, window time.Duration) (most int) {
	for _, from := range times {
		count := 0
		for _, at := range times {
			if !at.Before(from) && at.Sub(from) < window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// TestQuotaHoldsOverNodes guards against an account that gets several times its quota through
// several nodes or less than its quota, that takes service from other accounts, whose refused
// requests run, or that pays for requests that have not run.
func TestQuotaHoldsOverNodes(t *testing.T) {
	const (
		rate, burst, tokens = 4000, 4000, 1500
		duration            = 24 * time.Second
		window              = 8 * time.Second
		limit               = (rate*8+burst)*1.1 + 3000
	)
	runFleet(t, 4, func(t *testing.T, f *fleet) {
		f.extraServices = []map[string]any{{"name": "absent", "healthPath": "/health", "maxConns": 100}}
		f.configureAccounts(
			map[string]any{"name": "lamps", "apiKeys": []string{"key-lamps"}, "unit": "token_stream", "ratePerS": rate, "burst": burst, "plainTokens": 200},
			map[string]any{"name": "vases", "apiKeys": []string{"key-vases"}, "ratePerS": 20, "burst": 20},
			map[string]any{"name": "pots", "apiKeys": []string{"key-pots"}, "ratePerS": 0.1, "burst": 5},
		)
		f.configuration["routes"] = append(f.configuration["routes"].([]map[string]any), map[string]any{
			"name": "absent", "host": routeHost, "pathPrefix": "/absent/", "routeKind": "unsafe", "timeoutMs": 3000,
			"targetLatencyMs": 800, "priority": 0, "service": "absent", "maxAttempts": 1, "gapAimMs": 300,
		})
		f.objects.Put("config", "main", f.configuration)
		time.Sleep(2*applyTimeout + window)

		// Requests of lamps are 15,000 tokens a second, those of vases 10 a second.
		var wait sync.WaitGroup
		var mutex sync.Mutex
		var grantedAt []time.Time
		refused := 0
		for i := 0; time.Duration(i)*100*time.Millisecond < duration; i++ {
			wait.Go(func() {
				sentAt := time.Now()
				got := f.send(t.Context(), i%4, withKey(quote(), "key-lamps"))
				mutex.Lock()
				defer mutex.Unlock()
				ran, _, _ := f.findRuns(got.attempt)
				switch got.status {
				case http.StatusOK:
					grantedAt = append(grantedAt, sentAt)
				case http.StatusTooManyRequests:
					refused++
					retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
					if err != nil || retryAfter <= 0 || ran > 0 {
						t.Errorf("%s: Retry-After %q, ran %d times", got.attempt, got.header.Get("Retry-After"), ran)
					}
				default:
					t.Errorf("%s: status %d: %s", got.attempt, got.status, got.body)
				}
			})
			wait.Go(func() {
				if got := f.send(t.Context(), (i+1)%4, withKey(lookUp(), "key-vases")); got.status != http.StatusOK {
					t.Errorf("another account got status %d: %s", got.status, got.body)
				}
			})
			time.Sleep(100 * time.Millisecond)
		}
		wait.Wait()
		if most := mostInWindow(grantedAt, window) * tokens; float64(most) > limit {
			t.Errorf("%d tokens in a window, at most %.0f allowed", most, float64(limit))
		}
		owed := rate*duration.Seconds() + burst
		t.Logf("granted %d tokens of %.0f owed, %d requests refused", len(grantedAt)*tokens, owed, refused)
		if granted := float64(len(grantedAt) * tokens); granted < 0.97*owed {
			t.Errorf("granted %.0f tokens, %.0f were owed", granted, owed)
		}

		for i := range 20 {
			if got := f.send(t.Context(), i%4, withKey(request{method: http.MethodPost, path: "/absent/1"}, "key-pots")); got.status != http.StatusServiceUnavailable {
				t.Errorf("request %d without a back end: status %d, want 503", i, got.status)
			}
			time.Sleep(150 * time.Millisecond)
		}
		if got := f.send(t.Context(), 0, withKey(lookUp(), "key-pots")); got.status != http.StatusOK {
			t.Errorf("after requests that have not run: status %d", got.status)
		}
	})
}

// TestQuotaAfterRestartOfAll guards against accounts that are refused long after all nodes have
// started again, when no node knows what was granted before.
func TestQuotaAfterRestartOfAll(t *testing.T) {
	runFleet(t, 5, func(t *testing.T, f *fleet) {
		f.configureAccounts(map[string]any{"name": "lamps", "apiKeys": []string{"key-lamps"}, "unit": "token_stream", "ratePerS": 6000, "burst": 6000, "plainTokens": 200})
		time.Sleep(2*applyTimeout + 10*time.Second)
		for n := range f.nodes {
			f.kill(n)
		}
		for n := range f.nodes {
			f.start(n)
		}
		f.waitFor(t, recoveryTimeout, "the nodes are ready", func() bool { return f.readyNodes() == len(f.nodes) })
		readyAt := time.Now()
		var lastRefused time.Duration
		refused := 0
		for i := range 50 {
			got := f.send(t.Context(), i%len(f.nodes), withKey(lookUp(), "key-lamps"))
			switch got.status {
			case http.StatusOK:
			case http.StatusTooManyRequests:
				refused++
				lastRefused = time.Since(readyAt)
			default:
				t.Errorf("status %d: %s", got.status, got.body)
			}
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("%d of 50 refused, the last %s after the nodes were ready", refused, lastRefused)
		if lastRefused > time.Second {
			t.Errorf("an account that uses a third of its quota was refused %s after the nodes were ready", lastRefused)
		}
	})
}

// TestQuotaInSplitFleet guards against parts of a split fleet that each grant the whole quota, with
// the membership that nodes really have, and against a quota that is lost after the split.
func TestQuotaInSplitFleet(t *testing.T) {
	const (
		rate, burst, tokens = 8000, 8000, 400
		window              = 8 * time.Second
		limit               = (rate*8+burst)*1.1 + 3000
	)
	// The owner is in one of the smaller parts at least.
	for _, smaller := range [][]int{{0, 1, 2}, {2, 3, 4}, {4, 5, 6}} {
		t.Run(fmt.Sprint(smaller), func(t *testing.T) {
			runFleet(t, 7, func(t *testing.T, f *fleet) {
				f.configureAccounts(map[string]any{"name": "lamps", "apiKeys": []string{"key-lamps"}, "unit": "token_stream", "ratePerS": rate, "burst": burst, "plainTokens": tokens})
				time.Sleep(2*applyTimeout + 2*window)
				var wait sync.WaitGroup
				var mutex sync.Mutex
				var grantedAt []time.Time
				// Requests are 28,000 tokens a second.
				ask := func(duration time.Duration) {
					for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
						for n := range f.nodes {
							wait.Go(func() {
								sentAt := time.Now()
								if f.send(t.Context(), n, withKey(lookUp(), "key-lamps")).status == http.StatusOK {
									mutex.Lock()
									defer mutex.Unlock()
									grantedAt = append(grantedAt, sentAt)
								}
							})
						}
					}
				}
				ask(6 * time.Second)
				for _, a := range smaller {
					for b := range f.nodes {
						if !slices.Contains(smaller, b) {
							f.network.Cut(f.nodes[a].host, f.nodes[b].host)
						}
					}
				}
				ask(15 * time.Second)
				f.network.Heal()
				ask(10 * time.Second)
				wait.Wait()
				most := float64(mostInWindow(grantedAt, window) * tokens)
				owed := rate*31.0 + burst
				t.Logf("at most %.0f tokens in a window, %.0f allowed; granted %d of %.0f owed", most, limit, len(grantedAt)*tokens, owed)
				if most > limit {
					t.Errorf("%.0f tokens in a window, at most %.0f allowed", most, limit)
				}
				if granted := float64(len(grantedAt) * tokens); granted < 0.8*owed {
					t.Errorf("granted %.0f tokens, %.0f were owed", granted, owed)
				}
			})
		})
	}
}
