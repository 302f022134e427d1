package router

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/invoker"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// faultyParts panics in each call but Release, which it counts.
type faultyParts struct {
	Engines
	Placer
	mutex    sync.Mutex
	released []identifier.Grant
}

func (f *faultyParts) Cancel(context.Context, tabulator.Member, identifier.Attempt, uint64) error {
	panic("fault in a cancel")
}

func (f *faultyParts) Call(context.Context, tabulator.Member, invoker.Call) (invoker.Reply, error) {
	panic("fault in a call")
}

func (f *faultyParts) Release(grant identifier.Grant, _ placer.Result) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.released = append(f.released, grant)
}

type abortingParts struct{ faultyParts }

func (*abortingParts) Call(context.Context, tabulator.Member, invoker.Call) (invoker.Reply, error) {
	panic(http.ErrAbortHandler)
}

// TestAbortedCallMayHaveRun guards against a call whose tries end with http.ErrAbortHandler, which
// is not reported as a panic, and that is refused as not run.
func TestAbortedCallMayHaveRun(t *testing.T) {
	parts := &abortingParts{}
	r := New(Options{
		Engines: parts, Placer: parts, Services: parts, Budgets: limiter.New(limiter.Options{Burst: 10}),
		Limits: Limits{RetryAfter: time.Second}, Log: logger.Discard(), Scope: tally.NoopScope,
	})
	pool := tabulator.Pool{Name: "p", Members: []tabulator.Member{{Name: "m-1", Role: identifier.Service}}}
	if _, refusal := r.callRepeatable(t.Context(), pool, Call{}); refusal == nil || refusal.Outcome != Unknown {
		t.Errorf("the call ends with %+v", refusal)
	}
}

// TestPanicInARequestsGoroutine guards against a fault in a goroutine that a request has
// started, a try of a call or the cancel of an attempt, which ends the process.
func TestPanicInARequestsGoroutine(t *testing.T) {
	var log bytes.Buffer
	parts := &faultyParts{}
	r := New(Options{
		Engines: parts, Placer: parts, Services: parts, Budgets: limiter.New(limiter.Options{Burst: 10}),
		Limits: Limits{CancelGiveUp: time.Second, RetryAfter: time.Second}, Log: logger.New(&log, logrus.ErrorLevel, nil), Scope: tally.NoopScope,
	})
	pool := tabulator.Pool{Name: "p", Members: []tabulator.Member{{Name: "m-1", Role: identifier.Service}, {Name: "m-2", Role: identifier.Service}}}
	if _, refusal := r.callRepeatable(t.Context(), pool, Call{Fingerprint: 0xabc}); refusal == nil || refusal.Outcome != Unknown {
		t.Errorf("the call ends with %+v", refusal)
	}
	r.cleaner.abandon(abandonedAttempt{attempt: "a-1", grant: "g-1", members: []tabulator.Member{{Name: "m"}}})
	stopped, stop := context.WithCancel(t.Context())
	stop()
	if err := r.cleaner.run(stopped); err != nil {
		t.Error(err)
	}
	if len(parts.released) != 1 {
		t.Errorf("%d grants were released", len(parts.released))
	}
	for _, want := range []string{"fault in a call", "abc", "fault in a cancel", "a-1"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("%q is not in the log", want)
		}
	}
}
