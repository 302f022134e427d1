package starter_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// invalidHeads returns the heads of answers that are not HTTP/1, by form. head has the sound
// fields, each with its line end, and body is the body of the sound answer.
func invalidHeads(head, body string) map[string]string {
	_, fields, _ := strings.Cut(head, "\r\n")
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	forms := map[string]string{
		"chunks in HTTP/1.0":                "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n",
		"status line with a control byte":   "HTTP/1.1 200 O\x00K\r\n" + fields + length,
		"version 2":                         "HTTP/2.0 200 OK\r\n" + fields + length,
		"version 0.9":                       "HTTP/0.9 200 OK\r\n" + fields + length,
		"switch of protocols":               "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + head + length,
		"name of the length with a blank":   head + "Content-Length : 3\r\n",
		"name of the length with two words": head + "Content Length: 3\r\n",
		"name of the chunks with a blank":   head + "Transfer-Encoding : chunked\r\n",
		"name with a blank":                 head + "X Y: z\r\n" + length,
		"name with a blank at its end":      head + "X-Y : z\r\n" + length,
		"name with a tab":                   head + "X\tY: z\r\n" + length,
		"name with a control byte":          head + "X\x01Y: z\r\n" + length,
		"name with a NUL":                   head + "X\x00: z\r\n" + length,
		"name beyond ASCII":                 head + "X\u00e9: z\r\n" + length,
		"no name":                           head + ": z\r\n" + length,
		"no colon":                          head + "X-Y\r\n" + length,
		"value with a control byte":         head + "X-Y: \x01\r\n" + length,
		"value with a carriage return":      head + "X-Y: a\rb\r\n" + length,
		"two lengths":                       head + length + "Content-Length: 1\r\n",
		"provisional with a blank":          "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + head + length,
		"provisional with a control byte":   "HTTP/1.1 103 Early Hints\r\nX\x01: z\r\n\r\n" + head + length,
	}
	for _, status := range []string{"000", "099", "+20", "-00", "600", "999", "20", "2000", "2x0"} {
		forms["status "+status] = "HTTP/1.1 " + status + " OK\r\n" + fields + length
		forms["status "+status+" before a sound answer"] = "HTTP/1.1 " + status + " OK\r\n\r\n" + head + length
	}
	return forms
}

// TestInvalidHeadReachesCallerAsFailure guards against an answer that is not HTTP and that reaches
// its caller as an answer: with a status that is none, with the invalid line passed on, or with a
// body that is not the back end's. It covers plain answers, streams and prefills.
func TestInvalidHeadReachesCallerAsFailure(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\n"
	for form := range invalidHeads(sound, rawBody) {
		for _, target := range []struct {
			path    string
			prefill bool
		}{{"/raw/1", false}, {"/raw-quote/1", false}, {"/raw-quote/1", true}} {
			t.Run(fmt.Sprintf("%s%s prefill=%v", form, target.path, target.prefill), func(t *testing.T) {
				logs := &logBuffer{}
				runFleetWithLogs(t, 1, logs, func(t *testing.T, f *fleet) {
					invalid := func(attempt, body string) string {
						return invalidHeads(sound+"X-Attempt-Id: "+attempt+"\r\nX-Server-Seal: 3e1b.07\r\n", body)[form] + "\r\n" + body
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
