package invoker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// A redirect is returned to the caller: following it would execute the call twice.
func TestRedirectIsNotFollowed(t *testing.T) {
	executions := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		executions++
		http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	i := New(Options{Transport: http.DefaultTransport, UnpooledTransport: http.DefaultTransport, MaxAnswerBytes: 1 << 20})
	reply, err := i.Call(context.Background(), tabulator.Member{Name: "m", Address: identifier.Address(strings.TrimPrefix(server.URL, "http://"))},
		Call{Method: http.MethodPost, Target: "/charge", Body: []byte("x"), Key: "k"})
	if err != nil || reply.Status != http.StatusTemporaryRedirect || executions != 1 {
		t.Fatalf("status %d, %d executions, error %v", reply.Status, executions, err)
	}
}

// TestStatusThatConfirmsNothing guards against an order or a cancel that counts as done though the
// status of the engine's answer is no success.
func TestStatusThatConfirmsNothing(t *testing.T) {
	for _, status := range []int{http.StatusMultipleChoices, http.StatusFound, http.StatusNotModified, http.StatusTemporaryRedirect} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		i := New(Options{Transport: http.DefaultTransport, UnpooledTransport: http.DefaultTransport, CallTimeout: 10 * time.Second})
		member := tabulator.Member{Name: "m", Address: identifier.Address(strings.TrimPrefix(server.URL, "http://"))}
		for name, err := range map[string]error{
			"order":  i.Order(t.Context(), member, Order{}),
			"cancel": i.Cancel(t.Context(), member, "a", 1),
		} {
			if !errorx.IsOfType(err, AnswerLost) {
				t.Errorf("%s, status %d: %v", name, status, err)
			}
		}
		server.Close()
	}
}
