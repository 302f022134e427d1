package prover

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestRequests sends the requests of testdata/requests and prints each answer with
// the number of prefills and decodes that the engines started for it.
func TestRequests(t *testing.T) {
	runWithFleet(t, smallShape, func(t *testing.T, f *fleet) {
		datadriven.RunTest(t, "testdata/requests", func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "services-fail" {
				f.failServices()
				return ""
			}
			before := f.totalCounts()
			answer := f.exchange(t, d)
			after := f.totalCounts()
			return fmt.Sprintf("%sprefills %d, decodes %d\n", answer, after.Prefills-before.Prefills, after.Decodes-before.Decodes)
		})
	})
}

func (f *fleet) failServices() {
	for _, service := range f.services {
		service.Fail()
	}
}

// generatedFields matches the fields of an answer that differ between runs.
var generatedFields = regexp.MustCompile(`"id":"[0-9a-f-]{36}"|"request-id":"[0-9a-f-]{36}"|"created":\d+`)

// exchange sends the request of a test case, whose arguments are path and headers.
func (f *fleet) exchange(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	url := "http://" + address(f.node("node-1")) + d.CmdArgs[0].Key
	request, err := http.NewRequestWithContext(t.Context(), strings.ToUpper(d.Cmd), url, strings.NewReader(d.Input))
	if err != nil {
		t.Fatal(err)
	}
	for _, header := range d.CmdArgs[1:] {
		request.Header.Set(header.Key, strings.Join(header.Vals, ","))
	}
	response, err := f.caller.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	shown := generatedFields.ReplaceAllString(string(body), `"made-up"`)
	shown = strings.ReplaceAll(shown, "\n\n", "\n")
	return fmt.Sprintf("%d\n%s\n", response.StatusCode, strings.TrimSpace(shown))
}
