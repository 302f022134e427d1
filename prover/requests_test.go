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

// TestRequests reads requests as a caller sends them and prints the answers, with
// how many prefills and decodes the engines began for each.
func TestRequests(t *testing.T) {
	run(t, smallShape, func(t *testing.T, f *fleet) {
		datadriven.RunTest(t, "testdata/requests", func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "services-fail" {
				f.failServices()
				return ""
			}
			before := f.total()
			answer := f.exchange(t, d)
			after := f.total()
			return fmt.Sprintf("%sprefills %d, decodes %d\n", answer, after.Prefills-before.Prefills, after.Decodes-before.Decodes)
		})
	})
}

func (f *fleet) failServices() {
	for _, service := range f.services {
		service.Fail()
	}
}

// madeUp matches what differs from run to run in an answer.
var madeUp = regexp.MustCompile(`"id":"[0-9a-f-]{36}"|"request-id":"[0-9a-f-]{36}"|"created":\d+`)

// exchange sends one request, whose path and headers are the case's arguments.
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
	shown := madeUp.ReplaceAllString(string(body), `"made-up"`)
	shown = strings.ReplaceAll(shown, "\n\n", "\n")
	return fmt.Sprintf("%d\n%s\n", response.StatusCode, strings.TrimSpace(shown))
}
