package invoker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

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
