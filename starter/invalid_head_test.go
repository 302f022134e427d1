package starter_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/foxtailspool/foxtailspool/emulator"
)

// TestInvalidHeadReachesCallerAsFailure guards against an answer that is not HTTP and that reaches
// its caller as an answer: with a status that is none, with the invalid line passed on, or with a
// body that is not the back end's. It covers plain answers, streams and prefills.
func TestInvalidHeadReachesCallerAsFailure(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\n"
	for _, form := range emulator.InvalidForms() {
		for _, target := range []struct {
			path    string
			prefill bool
		}{{"/raw/1", false}, {"/raw-quote/1", false}, {"/raw-quote/1", true}} {
			t.Run(fmt.Sprintf("%s%s prefill=%v", form, target.path, target.prefill), func(t *testing.T) {
				logs := &logBuffer{}
				runFleetWithLogs(t, 1, logs, func(t *testing.T, f *fleet) {
					invalid := func(attempt, body string) string {
						return emulator.InvalidHeads(sound+"X-Attempt-Id: "+attempt+"\r\nX-Server-Seal: 3e1b.07\r\n", body)[form] + "\r\n" + body
					}
					whole := rawAnswers()["length"]
					handle := func(body string) string {
						return strings.ReplaceAll(body, rawBody, fmt.Sprintf("%-*s", len(rawBody), `{"transferHandle":"h"}`))
					}
					backend := &rawBackend{cutPrefill: target.prefill}
					backend.cut.Store(1 << 20)
					backend.answer, backend.prefillAnswer = whole, func(attempt string) string { return handle(whole(attempt)) }
					if target.prefill {
						backend.prefillAnswer = func(attempt string) string { return handle(invalid(attempt, rawBody)) }
					} else {
						backend.answer = func(attempt string) string { return invalid(attempt, rawBody) }
					}
					f.addRawBackend(backend)
					c := quote()
					c.path = target.path
					got := f.send(t.Context(), 0, c)
					if backend.delivered.Load() == 0 {
						t.Fatal("no request reached the back end")
					}
					switch {
					case target.prefill && got.status == http.StatusOK && got.body == rawBody:
						// The decode engine computed the prompt itself.
					case got.status != http.StatusBadGateway || got.truncated:
						t.Errorf("status %d, truncated %v, %q, %q", got.status, got.truncated, got.header, got.body)
					}
					if !strings.Contains(logs.String(), `"event":6203`) {
						t.Error("no event 6203")
					}
				})
			})
		}
	}
}
