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
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/receiver"
	"github.com/foxtailspool/foxtailspool/router"
)

// slowRouter answers calls once it is released.
type slowRouter struct {
	// entered gets a value for each call that reached the router.
	entered chan identifier.Account
	release chan struct{}
}

func newSlowRouter() *slowRouter {
	return &slowRouter{entered: make(chan identifier.Account, 64), release: make(chan struct{})}
}

func (s *slowRouter) Complete(context.Context, router.Completion) (*router.Reply, *router.Refusal) {
	return nil, &router.Refusal{Outcome: router.NotRun, Reason: router.NoRoute}
}

func (s *slowRouter) Call(_ context.Context, call router.Call) (*invoker.Reply, *router.Refusal) {
	s.entered <- call.Account
	<-s.release
	return &invoker.Reply{Status: http.StatusOK}, nil
}

func (s *slowRouter) Answer(identifier.DataCentre) addresser.Answer {
	return addresser.Answer{CacheTime: time.Second}
}

const (
	allRequests     = 8
	accountRequests = 2
)

func newReceiver(slow *slowRouter, scope tally.Scope, log io.Writer) http.Handler {
	return receiver.New(receiver.Options{
		Router: slow, Addresser: slow, BodyBytes: 1 << 10, Requests: allRequests, AccountRequests: accountRequests,
		RetryAfter: time.Second, Log: logger.New(log, logrus.WarnLevel, nil), Scope: scope,
	})
}

// answered is what a caller was told.
type answered struct {
	status     int
	outcome    router.Outcome
	reason     router.Reason
	retryAfter string
}

func send(handler http.Handler, path string, header http.Header) answered {
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
	_ = json.NewDecoder(recorder.Body).Decode(&body) // Whole answers have another body.
	return answered{recorder.Code, body.Error.Outcome, body.Error.Reason, recorder.Header().Get("Retry-After")}
}

func account(name string) http.Header {
	return http.Header{"X-Account": {name}}
}

// flood sends calls of an account until the node refuses them, and returns how
// many were taken and what the last was told.
func flood(handler http.Handler, slow *slowRouter, name string) (taken int, told answered) {
	for range allRequests {
		refused := make(chan answered, 1)
		go func() { refused <- send(handler, "/call", account(name)) }()
		select {
		case <-slow.entered:
			taken++
		case told = <-refused:
			return taken, told
		}
	}
	return taken, told
}

// One account's flood leaves the other accounts their places, and the answer to
// which addresses to use.
func TestAccountBound(t *testing.T) {
	slow, scope := newSlowRouter(), tally.NewTestScope("", nil)
	var log bytes.Buffer
	handler := newReceiver(slow, scope, &log)
	taken, told := flood(handler, slow, "dealer")
	if want := (answered{http.StatusTooManyRequests, router.NotRun, "account-limit", "1"}); taken != accountRequests || told != want {
		t.Errorf("took %d calls of one account, and told the next %+v", taken, told)
	}
	if got := send(handler, "/v1/entries", account("dealer")); got.status != http.StatusOK {
		t.Errorf("asked for addresses: %+v", got)
	}
	if got := send(handler, "/call", account("dealer")); got.reason != "account-limit" {
		t.Errorf("a further call: %+v", got)
	}
	if other, _ := flood(handler, slow, "conservator"); other != accountRequests {
		t.Errorf("another account got %d calls", other)
	}
	if refused := scope.Snapshot().Counters()["account_limited+"]; refused == nil || refused.Value() != 3 {
		t.Errorf("counted %v", refused)
	}
	for _, name := range []string{"dealer", "conservator"} {
		if told := strings.Count(log.String(), `"account":"`+name+`","event":8001`); told != 1 {
			t.Errorf("event 8001 told %d times of %s", told, name)
		}
	}
	close(slow.release)
}

// A request that may have run before is not told to be not-run where only this
// sending was refused.
func TestRefusedResends(t *testing.T) {
	slow := newSlowRouter()
	defer close(slow.release)
	handler := newReceiver(slow, tally.NoopScope, io.Discard)
	for _, name := range []string{"a", "b", "c", "d"} {
		flood(handler, slow, name)
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
