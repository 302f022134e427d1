package emulator

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
)

// InvalidBody is in the body of each answer that is not valid HTTP, or that was broken off.
const InvalidBody = "not an answer"

// EarlyAnswerBytes is the least size of the body of a request that EarlyAnswers concerns.
const EarlyAnswerBytes = 1 << 20

// InvalidHeads returns the heads of answers that are not valid HTTP/1, by form. The status line and
// the fields of a sound head, each with its line end, and the body are those of a sound answer.
func InvalidHeads(head, body string) map[string]string {
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

// InvalidForms lists the forms of InvalidHeads in order.
func InvalidForms() []string {
	return slices.Sorted(maps.Keys(InvalidHeads("", "")))
}

// writeInvalid answers with an invalid head if a fault says so, and reports whether one did.
func (i *Instance) writeInvalid(w http.ResponseWriter, attempt string) bool {
	if !i.takeFault(func(f *InstanceFaults) *int { return &f.InvalidAnswers }) {
		return false
	}
	i.mutex.Lock()
	form := i.faults.InvalidForm
	i.mutex.Unlock()
	body := invalidBody(attempt)
	writeRaw(w, InvalidHeads(i.soundHead(attempt), body)[form]+"\r\n"+body)
	return true
}

// writeEarly answers a request with a long body that has not been read with a part of an answer
// without a length, and resets the connection, if a fault says so. It reports whether one did.
func (i *Instance) writeEarly(w http.ResponseWriter, r *http.Request) bool {
	if r.ContentLength < EarlyAnswerBytes || !i.takeFault(func(f *InstanceFaults) *int { return &f.EarlyAnswers }) {
		return false
	}
	attempt := r.Header.Get("X-Attempt-Id")
	connection := hijack(w)
	defer func() { _ = connection.Close() }()
	_, _ = io.WriteString(connection, i.soundHead(attempt)+"\r\n"+invalidBody(attempt))
	if lingerer, ok := connection.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingerer.SetLinger(0)
	}
	return true
}

// soundHead returns the status line and the fields of a success.
func (i *Instance) soundHead(attempt string) string {
	return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Seal: " + i.options.ID + "\r\n"
}

// invalidBody returns a body that is one of a plain answer and of a stream.
func invalidBody(attempt string) string {
	return "id: 1\ndata: " + attempt + "\n\nid: 2\ndata: " + InvalidBody + "\n\n"
}
