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

// load asks a server for its load as a member of a role.
func load(server *httptest.Server, role identifier.Role, seen invoker.CachePosition) (invoker.Load, error) {
	calls := invoker.New(invoker.Options{Transport: http.DefaultTransport, Fresh: http.DefaultTransport, Call: time.Minute})
	address := identifier.Address(strings.TrimPrefix(server.URL, "http://"))
	return calls.Load(context.Background(), tabulator.Member{Name: "engine-1", Role: role, Address: address}, seen)
}

// TestCacheEvents reads cases of an engine's raw cache events, each from the
// position that the one before it led to, and prints the question and the news.
func TestCacheEvents(t *testing.T) {
	datadriven.Walk(t, "testdata/cache-events", func(t *testing.T, path string) {
		var seen invoker.CachePosition
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			status, question := http.StatusOK, "not asked"
			d.MaybeScanArgs(t, "status", &status)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/v1/load" {
					_, _ = io.WriteString(w, "{}")
					return
				}
				question = r.URL.RawQuery
				w.WriteHeader(status)
				_, _ = io.WriteString(w, d.Input)
			}))
			defer server.Close()
			report, err := load(server, identifier.Prefill, seen)
			if err != nil {
				return err.Error()
			}
			seen = report.Cache.Position
			return fmt.Sprintf("%s\nread %q %d, known %v, lost %v, cached %x, evicted %x\n", question, seen.Instance, seen.Number,
				report.Cache.Known, report.Cache.Lost, report.Cache.Cached, report.Cache.Evicted)
		})
	})
}

// TestLoad reads cases of an engine's raw load report and prints what is read.
func TestLoad(t *testing.T) {
	datadriven.RunTest(t, "testdata/load", func(_ *testing.T, d *datadriven.TestData) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, d.Input)
		}))
		defer server.Close()
		load, err := load(server, identifier.Decode, invoker.CachePosition{})
		if err != nil {
			return "error\n"
		}
		return fmt.Sprintf("role %q, age %v, free %d, running %d, step %v, prefill rate %d, backlog %d, holding %v\n",
			load.Role, load.Age, load.Free, load.Running, load.Step, load.PrefillRate, load.Backlog, load.Holding)
	})
}
