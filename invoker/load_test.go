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

// fetchLoad fetches the load report of a server that is a member with the given role.
func fetchLoad(server *httptest.Server, role identifier.Role, position invoker.CachePosition) (invoker.Load, error) {
	adapter := invoker.New(invoker.Options{Transport: http.DefaultTransport, UnpooledTransport: http.DefaultTransport, CallTimeout: time.Minute})
	address := identifier.Address(strings.TrimPrefix(server.URL, "http://"))
	return adapter.Load(context.Background(), tabulator.Member{Name: "engine-1", Role: role, Address: address}, position)
}

// TestCacheEvents feeds raw cache events of an engine to the adapter. Each case starts
// at the position that the case before it returned. It prints the query and the update.
func TestCacheEvents(t *testing.T) {
	datadriven.Walk(t, "testdata/cache-events", func(t *testing.T, path string) {
		var position invoker.CachePosition
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			status, query := http.StatusOK, "not asked"
			d.MaybeScanArgs(t, "status", &status)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/v1/load" {
					_, _ = io.WriteString(w, "{}")
					return
				}
				query = r.URL.RawQuery
				w.WriteHeader(status)
				_, _ = io.WriteString(w, d.Input)
			}))
			defer server.Close()
			report, err := fetchLoad(server, identifier.Prefill, position)
			if err != nil {
				return err.Error()
			}
			position = report.Cache.Position
			return fmt.Sprintf("%s\nread %q %d, known %v, lost %v, cached %x, evicted %x\n", query, position.Instance, position.Number,
				report.Cache.EventsRead, report.Cache.EventsLost, report.Cache.Cached, report.Cache.Evicted)
		})
	})
}

// TestLoad feeds raw load reports of an engine to the adapter and prints the result.
func TestLoad(t *testing.T) {
	datadriven.RunTest(t, "testdata/load", func(_ *testing.T, d *datadriven.TestData) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, d.Input)
		}))
		defer server.Close()
		load, err := fetchLoad(server, identifier.Decode, invoker.CachePosition{})
		if err != nil {
			return "error\n"
		}
		return fmt.Sprintf("role %q, age %v, free %d, running %d, step %v, prefill rate %d, backlog %d, holding %v\n",
			load.Role, load.Age, load.FreePieces, load.Running, load.StepTime, load.PrefillRate, load.Backlog, load.Allocations)
	})
}

// TestAbsurdLoad guards against an engine whose numbers overflow the owner's plans: the time for
// its backlog would be negative.
func TestAbsurdLoad(t *testing.T) {
	const largest = "9223372036854775807"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"pieces_free":`+largest+`,"backlog_tokens":`+largest+`,"age_seconds":1e300,"step_seconds":1e300,
			"prefill_tokens_per_second":1e300,"holding":[{"request_id":"r","pieces":`+largest+`}]}`)
	}))
	defer server.Close()
	load, err := fetchLoad(server, identifier.Decode, invoker.CachePosition{})
	if err != nil || load.FreePieces != 0 || load.Backlog != 0 || load.Age != identifier.MaxDuration || load.StepTime != identifier.MaxDuration ||
		load.PrefillRate != identifier.MaxTokens || load.Allocations[0].Pieces != 0 {
		t.Errorf("%+v, %v", load, err)
	}
}
