package invoker_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/invoker"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// TestLoad reads cases of an engine's raw load report and prints what is read.
func TestLoad(t *testing.T) {
	datadriven.RunTest(t, "testdata/load", func(_ *testing.T, d *datadriven.TestData) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, d.Input)
		}))
		defer server.Close()
		calls := invoker.New(invoker.Options{Transport: http.DefaultTransport, Fresh: http.DefaultTransport, Call: time.Minute})
		member := tabulator.Member{Name: "prefill-1", Address: identifier.Address(strings.TrimPrefix(server.URL, "http://"))}
		load, err := calls.Load(context.Background(), member)
		if err != nil {
			return "error\n"
		}
		return fmt.Sprintf("role %q, age %v, free %d, running %d, step %v, prefill rate %d, backlog %d, holding %v\n",
			load.Role, load.Age, load.Free, load.Running, load.Step, load.PrefillRate, load.Backlog, load.Holding)
	})
}
