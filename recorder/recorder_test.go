package recorder

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func singleNodeOptions(store *fakeStore) Options {
	return Options{Self: "a", Incarnation: 1, Store: store, View: singleNodeView("a", 1)}
}

func expectVerdict(t *testing.T, got ClaimResult, want Verdict) {
	t.Helper()
	if got.Verdict != want {
		t.Fatalf("verdict %s, want %s", got.Verdict, want)
	}
}

func TestAnswerIsKeptForResends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startRecorder(t, singleNodeOptions(newFakeStore()))
		ctx, key := context.Background(), newKey(1, 0)
		expectVerdict(t, r.Claim(ctx, newCall(key, 1, "a")), Run)
		expectVerdict(t, r.Claim(ctx, newCall(key, 2, "a")), Running)
		r.Settle(ctx, newCall(key, 1, "a"), &Answer{Status: 201, Body: []byte("booked")})
		time.Sleep(2 * time.Second)
		claim := r.Claim(ctx, newCall(key, 3, "a"))
		expectVerdict(t, claim, Answered)
		if string(claim.Answer.Body) != "booked" || claim.Answer.Status != 201 {
			t.Fatalf("unexpected answer: %+v", claim.Answer)
		}
		other := newCall(key, 4, "a")
		other.Fingerprint++
		expectVerdict(t, r.Claim(ctx, other), Mismatch)
	})
}

func TestWithdrawnCallMayRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startRecorder(t, singleNodeOptions(newFakeStore()))
		ctx, key := context.Background(), newKey(1, 0)
		expectVerdict(t, r.Claim(ctx, newCall(key, 1, "a")), Run)
		r.Settle(ctx, newCall(key, 1, "a"), nil)
		expectVerdict(t, r.Await(ctx, newCall(key, 2, "a")), Run)
		// The first attempt's outcome arrives twice. It must not withdraw the second attempt.
		r.Settle(ctx, newCall(key, 1, "a"), nil)
		time.Sleep(2 * time.Second)
		expectVerdict(t, r.Claim(ctx, newCall(key, 3, "a")), Running)
	})
}

func TestOutageRefusesClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		r := startRecorder(t, singleNodeOptions(store))
		ctx, key := context.Background(), newKey(1, 0)
		store.setFault(alwaysFault(unavailable))
		expectVerdict(t, r.Claim(ctx, newCall(key, 1, "a")), Unknown)
		first := newCall(newKey(2, 0), 1, "a")
		first.First = true
		expectVerdict(t, r.Claim(ctx, first), NotRun)
		store.setFault(nil)
		time.Sleep(time.Second)
		expectVerdict(t, r.Claim(ctx, newCall(key, 2, "a")), Run)
	})
}

// A claim that was recorded but whose reply was lost must not block a resend.
func TestUncertainClaimIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		r := startRecorder(t, singleNodeOptions(store))
		ctx, key := context.Background(), newKey(1, 0)
		expectVerdict(t, r.Claim(ctx, newCall(newKey(2, 0), 1, "a")), Run)
		created := false
		store.setFault(func(method, _ string) fault {
			switch {
			case method == "create":
				created = true
				return replyLostApplied
			case created:
				return unavailable
			}
			return noFault
		})
		expectVerdict(t, r.Claim(ctx, newCall(key, 1, "a")), Unknown)
		store.setFault(nil)
		time.Sleep(5 * time.Second)
		expectVerdict(t, r.Claim(ctx, newCall(key, 2, "a")), Run)
	})
}

// During an outage, only the node that ran a call can return its answer. After the
// outage, every node can.
func TestAnswerSurvivesOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		a, b := startRecorder(t, singleNodeOptions(store)), startRecorder(t, singleNodeOptions(store))
		ctx, key := context.Background(), newKey(1, 0)
		expectVerdict(t, a.Claim(ctx, newCall(key, 1, "a")), Run)
		store.setFault(alwaysFault(unavailable))
		a.Settle(ctx, newCall(key, 1, "a"), &Answer{Status: 200})
		time.Sleep(time.Minute)
		expectVerdict(t, a.Claim(ctx, newCall(key, 2, "a")), Answered)
		expectVerdict(t, b.Claim(ctx, newCall(key, 3, "a")), Unknown)
		store.setFault(nil)
		time.Sleep(5 * time.Second)
		expectVerdict(t, b.Claim(ctx, newCall(key, 4, "a")), Answered)
	})
}

// A node that runs many calls records their outcomes as fast as the calls end.
func TestOutcomeBacklogDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startRecorder(t, singleNodeOptions(newFakeStore()))
		ctx := context.Background()
		const calls = 2000
		for i := range calls {
			go func() {
				call := newCall(newKey(i, 0), i, "a")
				if r.Claim(ctx, call).Verdict == Run {
					r.Settle(ctx, call, &Answer{Status: 200})
				}
			}()
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		if left := r.outcomes.pendingCount(); left > 0 {
			t.Fatalf("%d of %d outcomes are not recorded", left, calls)
		}
	})
}

// A node that stops records its pending answers first.
func TestAnswersAreRecordedAtShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		a, stop := startStoppable(t, singleNodeOptions(store))
		ctx, key := context.Background(), newKey(1, 0)
		expectVerdict(t, a.Claim(ctx, newCall(key, 1, "a")), Run)
		a.Settle(ctx, newCall(key, 1, "a"), &Answer{Status: 200})
		stop()
		b := startRecorder(t, singleNodeOptions(store))
		expectVerdict(t, b.Claim(ctx, newCall(key, 2, "a")), Answered)
	})
}

// A large answer is stored in an object of its own. For an answer above every limit
// the ledger records only that the call was answered. Pruning deletes all their objects.
func TestLargeAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		a, b := startRecorder(t, singleNodeOptions(store)), startRecorder(t, singleNodeOptions(store))
		ctx, large, huge := context.Background(), newKey(1, 0), newKey(2, 0)
		body := bytes.Repeat([]byte("receipt "), 8<<10)
		expectVerdict(t, a.Claim(ctx, newCall(large, 1, "a")), Run)
		expectVerdict(t, a.Claim(ctx, newCall(huge, 2, "a")), Run)
		store.setFault(alwaysFault(replyLostApplied))
		a.Settle(ctx, newCall(large, 1, "a"), &Answer{Status: 200, Body: body})
		a.Settle(ctx, newCall(huge, 2, "a"), &Answer{Status: 200, Body: make([]byte, 1<<20)})
		time.Sleep(5 * time.Second)
		store.setFault(nil)
		time.Sleep(5 * time.Second)
		claim := b.Claim(ctx, newCall(large, 3, "a"))
		expectVerdict(t, claim, Answered)
		if !bytes.Equal(claim.Answer.Body, body) {
			t.Fatalf("unexpected body of %d bytes", len(claim.Answer.Body))
		}
		expectVerdict(t, b.Claim(ctx, newCall(huge, 4, "a")), AnswerDiscarded)
		time.Sleep(15 * time.Minute)
		store.mutex.Lock()
		defer store.mutex.Unlock()
		for name := range store.objects {
			if !strings.HasPrefix(name, "cursor-") && name != layoutObjectName {
				t.Errorf("%s was not deleted", name)
			}
		}
	})
}

func TestOldAndFutureKeysNeverRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startRecorder(t, singleNodeOptions(newFakeStore()))
		ctx := context.Background()
		expectVerdict(t, r.Claim(ctx, newCall(newKey(1, 11*time.Minute), 1, "a")), TooOld)
		expectVerdict(t, r.Claim(ctx, newCall(newKey(1, -time.Minute), 1, "a")), TooOld)
		expectVerdict(t, r.Claim(ctx, newCall("no-time", 1, "a")), Malformed)
	})
}

// A write whose reply was lost arrives after another node's write. It must fail.
func TestDelayedWriteDoesNotOverwrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		a, b := startRecorder(t, singleNodeOptions(store)), startRecorder(t, singleNodeOptions(store))
		ctx, key := context.Background(), newKey(1, 0)
		failed := false
		store.setFault(func(method, _ string) fault {
			if method == "create" && !failed {
				failed = true
				return replyLostAppliedLate
			}
			if failed && method == "get" {
				return unavailable
			}
			return noFault
		})
		expectVerdict(t, a.Claim(ctx, newCall(key, 1, "a")), Unknown)
		store.setFault(nil)
		expectVerdict(t, b.Claim(ctx, newCall(key, 2, "a")), Run)
		store.applyDelayedWrites()
		time.Sleep(3 * time.Second)
		expectVerdict(t, b.Claim(ctx, newCall(key, 3, "a")), Running)
	})
}
