package recorder

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func optionsOf(store *fakeStore) Options {
	return Options{Self: "a", Incarnation: 1, Store: store, View: alone("a", 1)}
}

func expect(t *testing.T, got Claim, want Verdict) {
	t.Helper()
	if got.Verdict != want {
		t.Fatalf("verdict %s, want %s", got.Verdict, want)
	}
}

func TestAnswerIsKeptForResends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := run(t, optionsOf(newFakeStore()))
		ctx, key := context.Background(), newKey(1, 0)
		expect(t, r.Claim(ctx, callOf(key, 1, "a")), Run)
		expect(t, r.Claim(ctx, callOf(key, 2, "a")), Running)
		r.Settle(ctx, callOf(key, 1, "a"), &Answer{Status: 201, Body: []byte("booked")})
		time.Sleep(2 * time.Second)
		claim := r.Claim(ctx, callOf(key, 3, "a"))
		expect(t, claim, Answered)
		if string(claim.Answer.Body) != "booked" || claim.Answer.Status != 201 {
			t.Fatalf("another answer: %+v", claim.Answer)
		}
		other := callOf(key, 4, "a")
		other.Fingerprint++
		expect(t, r.Claim(ctx, other), Mismatch)
	})
}

func TestWithdrawnCallMayRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := run(t, optionsOf(newFakeStore()))
		ctx, key := context.Background(), newKey(1, 0)
		expect(t, r.Claim(ctx, callOf(key, 1, "a")), Run)
		r.Settle(ctx, callOf(key, 1, "a"), nil)
		expect(t, r.Await(ctx, callOf(key, 2, "a")), Run)
		// The first attempt's end comes again, late: it must not free the second.
		r.Settle(ctx, callOf(key, 1, "a"), nil)
		time.Sleep(2 * time.Second)
		expect(t, r.Claim(ctx, callOf(key, 3, "a")), Running)
	})
}

func TestOutageRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		r := run(t, optionsOf(store))
		ctx, key := context.Background(), newKey(1, 0)
		store.setFault(always(refused))
		expect(t, r.Claim(ctx, callOf(key, 1, "a")), Unknown)
		first := callOf(newKey(2, 0), 1, "a")
		first.First = true
		expect(t, r.Claim(ctx, first), Closed)
		store.setFault(nil)
		time.Sleep(time.Second)
		expect(t, r.Claim(ctx, callOf(key, 2, "a")), Run)
	})
}

// A claim that took effect without anyone knowing does not block its resend.
func TestUncertainClaimIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		r := run(t, optionsOf(store))
		ctx, key := context.Background(), newKey(1, 0)
		expect(t, r.Claim(ctx, callOf(newKey(2, 0), 1, "a")), Run)
		created := false
		store.setFault(func(method, _ string) fault {
			switch {
			case method == "create":
				created = true
				return lostAfter
			case created:
				return refused
			}
			return healthy
		})
		expect(t, r.Claim(ctx, callOf(key, 1, "a")), Unknown)
		store.setFault(nil)
		time.Sleep(5 * time.Second)
		expect(t, r.Claim(ctx, callOf(key, 2, "a")), Run)
	})
}

// An answer that ends during an outage is told at once where it is held, and
// everywhere after the outage.
func TestAnswerOutlivesOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		a, b := run(t, optionsOf(store)), run(t, optionsOf(store))
		ctx, key := context.Background(), newKey(1, 0)
		expect(t, a.Claim(ctx, callOf(key, 1, "a")), Run)
		store.setFault(always(refused))
		a.Settle(ctx, callOf(key, 1, "a"), &Answer{Status: 200})
		time.Sleep(time.Minute)
		expect(t, a.Claim(ctx, callOf(key, 2, "a")), Answered)
		expect(t, b.Claim(ctx, callOf(key, 3, "a")), Unknown)
		store.setFault(nil)
		time.Sleep(5 * time.Second)
		expect(t, b.Claim(ctx, callOf(key, 4, "a")), Answered)
	})
}

// A node that runs many calls settles them as fast as they end.
func TestSettlingKeepsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := run(t, optionsOf(newFakeStore()))
		ctx := context.Background()
		const calls = 2000
		for i := range calls {
			go func() {
				call := callOf(newKey(i, 0), i, "a")
				if r.Claim(ctx, call).Verdict == Run {
					r.Settle(ctx, call, &Answer{Status: 200})
				}
			}()
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		if left := r.outcomes.pendingCount(); left > 0 {
			t.Fatalf("%d of %d answers are not settled", left, calls)
		}
	})
}

// A node that stops settles its answers before it ends.
func TestAnswersAreSettledAtShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		a, stop := runUntil(t, optionsOf(store))
		ctx, key := context.Background(), newKey(1, 0)
		expect(t, a.Claim(ctx, callOf(key, 1, "a")), Run)
		a.Settle(ctx, callOf(key, 1, "a"), &Answer{Status: 200})
		stop()
		b := run(t, optionsOf(store))
		expect(t, b.Claim(ctx, callOf(key, 2, "a")), Answered)
	})
}

// A large answer is kept in an object of its own; of one beyond all bounds only
// the fact is kept. Both are pruned.
func TestLargeAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		a, b := run(t, optionsOf(store)), run(t, optionsOf(store))
		ctx, large, huge := context.Background(), newKey(1, 0), newKey(2, 0)
		body := bytes.Repeat([]byte("receipt "), 8<<10)
		expect(t, a.Claim(ctx, callOf(large, 1, "a")), Run)
		expect(t, a.Claim(ctx, callOf(huge, 2, "a")), Run)
		store.setFault(always(lostAfter))
		a.Settle(ctx, callOf(large, 1, "a"), &Answer{Status: 200, Body: body})
		a.Settle(ctx, callOf(huge, 2, "a"), &Answer{Status: 200, Body: make([]byte, 1<<20)})
		time.Sleep(5 * time.Second)
		store.setFault(nil)
		time.Sleep(5 * time.Second)
		claim := b.Claim(ctx, callOf(large, 3, "a"))
		expect(t, claim, Answered)
		if !bytes.Equal(claim.Answer.Body, body) {
			t.Fatalf("another body of %d bytes", len(claim.Answer.Body))
		}
		expect(t, b.Claim(ctx, callOf(huge, 4, "a")), Unkept)
		time.Sleep(15 * time.Minute)
		store.mutex.Lock()
		defer store.mutex.Unlock()
		for name := range store.objects {
			if !strings.HasPrefix(name, "cursor-") && name != layoutObjectName {
				t.Errorf("%s was left", name)
			}
		}
	})
}

func TestOldAndFutureKeysNeverRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := run(t, optionsOf(newFakeStore()))
		ctx := context.Background()
		expect(t, r.Claim(ctx, callOf(newKey(1, 11*time.Minute), 1, "a")), TooOld)
		expect(t, r.Claim(ctx, callOf(newKey(1, -time.Minute), 1, "a")), TooOld)
		expect(t, r.Claim(ctx, callOf("no-time", 1, "a")), Malformed)
	})
}

// A write whose answer was lost takes effect only after another owner's.
func TestLateWriteLosesToAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		a, b := run(t, optionsOf(store)), run(t, optionsOf(store))
		ctx, key := context.Background(), newKey(1, 0)
		failed := false
		store.setFault(func(method, _ string) fault {
			if method == "create" && !failed {
				failed = true
				return lateEffect
			}
			if failed && method == "get" {
				return refused
			}
			return healthy
		})
		expect(t, a.Claim(ctx, callOf(key, 1, "a")), Unknown)
		store.setFault(nil)
		expect(t, b.Claim(ctx, callOf(key, 2, "a")), Run)
		store.release()
		time.Sleep(3 * time.Second)
		expect(t, b.Claim(ctx, callOf(key, 3, "a")), Running)
	})
}
