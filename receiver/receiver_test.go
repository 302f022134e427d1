package receiver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/addresser"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/invoker"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/receiver"
	"github.com/foxtailspool/foxtailspool/router"
)

// blockingRouter blocks calls until release is closed.
type blockingRouter struct {
	// entered receives the account of each call that reaches the router.
	entered chan identifier.Account
	release chan struct{}
}

func newBlockingRouter() *blockingRouter {
	return &blockingRouter{entered: make(chan identifier.Account, 64), release: make(chan struct{})}
}

func (s *blockingRouter) Complete(context.Context, router.Completion) (*router.Reply, *router.Refusal) {
	return nil, &router.Refusal{Outcome: router.NotRun, Reason: router.NoRoute}
}

func (s *blockingRouter) Call(_ context.Context, call router.Call) (*invoker.Reply, *router.Refusal) {
	s.entered <- call.Account
	<-s.release
	return &invoker.Reply{Status: http.StatusOK}, nil
}

func (s *blockingRouter) Answer(identifier.DataCentre) addresser.Answer {
	return addresser.Answer{CacheTime: time.Second}
}

const (
	maxInFlight           = 8
	maxInFlightPerAccount = 2
)

func newReceiver(blocking *blockingRouter, scope tally.Scope, log io.Writer) http.Handler {
	return receiver.New(receiver.Options{
		Router: blocking, Addresser: blocking, MaxBodyBytes: 1 << 10, MaxInFlight: maxInFlight, MaxInFlightPerAccount: maxInFlightPerAccount,
		RetryAfter: time.Second, Log: logger.New(log, logrus.WarnLevel, nil), Scope: scope,
	})
}

// callerAnswer has the parts of an answer that the tests check.
type callerAnswer struct {
	status     int
	outcome    router.Outcome
	reason     router.Reason
	retryAfter string
}

func send(handler http.Handler, path string, header http.Header) callerAnswer {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(`{"model":"m","prompt":"p"}`))
	if path == "/v1/entries" {
		request = httptest.NewRequest(http.MethodGet, path, nil)
	}
	request.Header = header
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	var body struct {
		Error struct {
			Outcome router.Outcome `json:"outcome"`
			Reason  router.Reason  `json:"reason"`
		} `json:"error"`
	}
	_ = json.NewDecoder(recorder.Body).Decode(&body) // Only refusals have this body.
	return callerAnswer{recorder.Code, body.Error.Outcome, body.Error.Reason, recorder.Header().Get("Retry-After")}
}

func account(name string) http.Header {
	return http.Header{"X-Account": {name}}
}

// flood sends calls of an account until the node refuses one. It returns the number
// of accepted calls and the refusal.
func flood(handler http.Handler, blocking *blockingRouter, name string) (accepted int, refusal callerAnswer) {
	for range maxInFlight {
		answers := make(chan callerAnswer, 1)
		go func() { answers <- send(handler, "/call", account(name)) }()
		select {
		case <-blocking.entered:
			accepted++
		case refusal = <-answers:
			return accepted, refusal
		}
	}
	return accepted, refusal
}

// The requests of one account must not use up the slots of other accounts, nor block
// requests for the node addresses.
func TestAccountLimit(t *testing.T) {
	blocking, scope := newBlockingRouter(), tally.NewTestScope("", nil)
	var log bytes.Buffer
	handler := newReceiver(blocking, scope, &log)
	accepted, refusal := flood(handler, blocking, "dealer")
	if want := (callerAnswer{http.StatusTooManyRequests, router.NotRun, "account-limit", "1"}); accepted != maxInFlightPerAccount || refusal != want {
		t.Errorf("accepted %d calls of one account, and answered the next with %+v", accepted, refusal)
	}
	if got := send(handler, "/v1/entries", account("dealer")); got.status != http.StatusOK {
		t.Errorf("request for addresses: %+v", got)
	}
	if got := send(handler, "/call", account("dealer")); got.reason != "account-limit" {
		t.Errorf("a further call: %+v", got)
	}
	if other, _ := flood(handler, blocking, "conservator"); other != maxInFlightPerAccount {
		t.Errorf("another account got %d calls", other)
	}
	if refused := scope.Snapshot().Counters()["account_limited+"]; refused == nil || refused.Value() != 3 {
		t.Errorf("counted %v", refused)
	}
	for _, name := range []string{"dealer", "conservator"} {
		if count := strings.Count(log.String(), `"account":"`+name+`","event":8001`); count != 1 {
			t.Errorf("event 8001 logged %d times for %s", count, name)
		}
	}
	close(blocking.release)
}

// TestBodiesShareMemory guards against bodies that are each within the limit and together fill
// the node's memory: one that has no room is refused as not run, and has room later.
func TestBodiesShareMemory(t *testing.T) {
	blocking := newBlockingRouter()
	handler := receiver.New(receiver.Options{
		Router: blocking, Addresser: blocking, MaxBodyBytes: 1 << 10, MaxInFlight: maxInFlight, MaxInFlightPerAccount: maxInFlight,
		Bodies:     limiter.NewMemory(limiter.MemoryOptions{Limit: 40}),
		RetryAfter: time.Second, Log: logger.New(io.Discard, logrus.WarnLevel, nil), Scope: tally.NoopScope,
	})
	answers := make(chan callerAnswer, 1)
	go func() { answers <- send(handler, "/call", account("dealer")) }()
	<-blocking.entered
	if got := send(handler, "/call", account("conservator")); got != (callerAnswer{http.StatusServiceUnavailable, router.NotRun, router.Overloaded, "1"}) {
		t.Errorf("a second body: %+v", got)
	}
	close(blocking.release)
	<-answers
	if got := send(handler, "/call", account("conservator")); got.status != http.StatusOK {
		t.Errorf("after the first one: %+v", got)
	}
}

// When a resend is refused before it is routed, its outcome must be unknown rather
// than not-run, because an earlier send of it may have run.
func TestRefusedResendOutcome(t *testing.T) {
	blocking := newBlockingRouter()
	defer close(blocking.release)
	handler := newReceiver(blocking, tally.NoopScope, io.Discard)
	for _, name := range []string{"a", "b", "c", "d"} {
		flood(handler, blocking, name)
	}
	for _, c := range []struct {
		name, path string
		header     http.Header
		want       router.Outcome
	}{
		{"first call", "/call", http.Header{"Idempotency-Key": {"k"}, "Idempotency-Key-First": {"true"}}, router.NotRun},
		{"resent call", "/call", http.Header{"Idempotency-Key": {"k"}}, router.Unknown},
		{"call without a key", "/call", http.Header{}, router.NotRun},
		{"first completion", "/v1/completions", http.Header{"X-Request-Id": {"r"}}, router.NotRun},
		{"resent completion", "/v1/completions", http.Header{"X-Request-Id": {"r"}, "Last-Event-Id": {"0"}}, router.Unknown},
	} {
		for _, from := range []string{"a", "e"} {
			header := c.header.Clone()
			header.Set("X-Account", from)
			if got := send(handler, c.path, header); got.outcome != c.want || got.retryAfter != "1" {
				t.Errorf("%s of account %s: %+v", c.name, from, got)
			}
		}
	}
}
