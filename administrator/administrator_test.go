package administrator_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/joomcode/errorx"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/administrator"
	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// fakeNode returns the status and error set by a test.
type fakeNode struct {
	status administrator.Status
	// failure, when set, is returned by every call about tables.
	failure error
}

func (n *fakeNode) Status(context.Context) administrator.Status { return n.status }

func (n *fakeNode) Tables(context.Context) (administrator.Tables, error) {
	return administrator.Tables{Configuration: 7}, n.failure
}

func (n *fakeNode) Apply(_ context.Context, edit administrator.Edit) (administrator.ApplyResult, error) {
	return administrator.ApplyResult{Configuration: edit.Base + 1}, n.failure
}

func (n *fakeNode) Rollout(context.Context) (administrator.Rollout, error) {
	return administrator.Rollout{Configuration: 7}, n.failure
}

func newServer(node *fakeNode) *httptest.Server {
	return httptest.NewServer(administrator.NewHandler(administrator.HandlerOptions{
		Observer: node, Publisher: node, Metrics: http.NotFoundHandler(),
		Scope: tally.NoopScope, Log: logger.Discard(),
	}))
}

// TestHandler sends each request of testdata/handler and compares the response.
func TestHandler(t *testing.T) {
	node := &fakeNode{}
	server := newServer(node)
	defer server.Close()
	datadriven.RunTest(t, "testdata/handler", func(t *testing.T, d *datadriven.TestData) string {
		node.status = administrator.Status{Node: "entry-1", State: assigner.Alive, Configuration: 7}
		if d.HasArg("leaving") {
			node.status.State = assigner.Leaving
		}
		if d.HasArg("not-joined") {
			node.status.Unready = "not-joined"
		}
		if d.HasArg("unconfigured") {
			node.status.Configuration = 0
		}
		path := d.CmdArgs[0].Key
		request, err := http.NewRequestWithContext(t.Context(), d.Cmd, server.URL+path, strings.NewReader(d.Input))
		if err != nil {
			t.Fatal(err)
		}
		response, err := server.Client().Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		var body bytes.Buffer
		_, _ = body.ReadFrom(response.Body)
		return fmt.Sprintf("%d\n%s", response.StatusCode, body.String())
	})
}

// TestErrorTypesRoundTrip guards against an error type that changes on the way to
// the client: an edit that may have taken effect could pass for one that had none.
func TestErrorTypesRoundTrip(t *testing.T) {
	node := &fakeNode{}
	server := newServer(node)
	defer server.Close()
	client := administrator.NewClient(administrator.ClientOptions{
		URL: server.URL, Transport: http.DefaultTransport, Timeout: time.Minute,
	})
	edit := administrator.Edit{Routes: &tabulator.Routes{}, Base: 7}
	if accepted, err := client.Apply(t.Context(), edit); err != nil || accepted.Configuration != 8 {
		t.Errorf("got %+v, %v", accepted, err)
	}
	for _, errorType := range []*errorx.Type{
		administrator.Refused, administrator.Raced, administrator.Unavailable,
		administrator.Unknown, administrator.Malformed,
	} {
		node.failure = errorType.New("because")
		if _, err := client.Apply(t.Context(), edit); !errorx.IsOfType(err, errorType) || !strings.Contains(err.Error(), "because") {
			t.Errorf("want %s, got %v", errorType, err)
		}
	}
	node.failure = errors.New("surprise")
	if _, err := client.Apply(t.Context(), edit); !errorx.IsOfType(err, administrator.Unknown) {
		t.Errorf("an unforeseen error: got %v", err)
	}
}

// TestTransportErrors guards against reporting a lost response to an edit as
// Unavailable: the edit may have taken effect. An unsent call had no effect.
func TestTransportErrors(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	client := administrator.NewClient(administrator.ClientOptions{
		URL: server.URL, Transport: &http.Transport{}, Timeout: time.Minute,
	})
	edit := administrator.Edit{Routes: &tabulator.Routes{}}
	if _, err := client.Apply(t.Context(), edit); !errorx.IsOfType(err, administrator.Unknown) {
		t.Errorf("a lost answer: %v", err)
	}
	if _, err := client.Tables(t.Context()); !errorx.IsOfType(err, administrator.Unavailable) {
		t.Errorf("a lost answer to a read: %v", err)
	}
	server.Close()
	if _, err := client.Apply(t.Context(), edit); !errorx.IsOfType(err, administrator.Unavailable) {
		t.Errorf("an unreachable node: %v", err)
	}
}

// TestRedirectConfirmsNothing guards against an edit that counts as accepted because the answer
// refers to another call that succeeds.
func TestRedirectConfirmsNothing(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/elsewhere" {
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(status)
				return
			}
			_, _ = w.Write([]byte("{}"))
		}))
		client := administrator.NewClient(administrator.ClientOptions{URL: server.URL, Transport: server.Client().Transport, Timeout: 10 * time.Second})
		if _, err := client.Apply(t.Context(), administrator.Edit{}); !errorx.IsOfType(err, administrator.Unknown) {
			t.Errorf("status %d: %v", status, err)
		}
		server.Close()
	}
}
