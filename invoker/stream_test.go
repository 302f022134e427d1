package invoker_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/invoker"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// TestStream feeds raw streams of an engine to the adapter and prints the tokens read.
func TestStream(t *testing.T) {
	datadriven.RunTest(t, "testdata/stream", func(t *testing.T, d *datadriven.TestData) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.ReplaceAll(d.Input, "|", "\n\n"))
		}))
		defer server.Close()
		after := 0
		if d.HasArg("after") {
			d.ScanArgs(t, "after", &after)
		}
		return readStream(server, identifier.Tokens(after))
	})
}

func readStream(server *httptest.Server, after identifier.Tokens) string {
	adapter := invoker.New(invoker.Options{
		Transport: http.DefaultTransport, UnpooledTransport: http.DefaultTransport,
		CallTimeout: time.Minute, PrefillTimeout: time.Minute, ImportTimeout: time.Minute, ProgressTimeout: time.Minute,
	})
	member := tabulator.Member{Name: "decode-1", Address: identifier.Address(strings.TrimPrefix(server.URL, "http://"))}
	stream, err := adapter.Resume(context.Background(), member, "r.1", after, 1)
	if err != nil {
		return err.Error()
	}
	defer stream.Close()
	var out strings.Builder
	for {
		token, err := stream.Next()
		if err != nil {
			fmt.Fprintf(&out, "%v; %s strays", err, strconv.Itoa(stream.StrayChunks))
			return out.String()
		}
		fmt.Fprintf(&out, "%d %q %s\n", token.Offset, token.Text, token.FinishReason)
	}
}
