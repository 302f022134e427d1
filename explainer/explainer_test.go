package explainer_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/foxtailspool/foxtailspool/explainer"
)

// TestTimelines prints the timelines of requests in recorded logs. In the test data,
// "log" adds a node's log and "explain ID" prints the timeline of a request.
func TestTimelines(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var logs []string
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "log" {
				logs = append(logs, d.Input)
				return ""
			}
			collector := explainer.New(d.CmdArgs[0].Key)
			for _, log := range logs {
				if err := collector.Read(strings.NewReader(log)); err != nil {
					t.Fatal(err)
				}
			}
			var out strings.Builder
			if err := explainer.Print(&out, collector.Timeline()); err != nil {
				t.Fatal(err)
			}
			if collector.Skipped() > 0 {
				fmt.Fprintf(&out, "skipped %d lines\n", collector.Skipped())
			}
			return out.String()
		})
	})
}
