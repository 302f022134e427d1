package connector

import (
	"strings"
	"testing"
)

// TestFramingCheckKeepsNoHead guards against heads that are kept, or parsed once more, outside of
// the bound on the memory for headers, and against a field that is missed or found in the body
// because of how the head arrives.
func TestFramingCheckKeepsNoHead(t *testing.T) {
	long := strings.Repeat("x:\r\n", 16_000)
	for _, c := range []struct {
		name, text string
		valid      bool
	}{
		{"none", "HTTP/1.0 200 OK\r\nA: b\r\n\r\n", true},
		{"field", "HTTP/1.0 200 OK\r\nA: b\r\ntransfer-ENCODING:chunked\r\n\r\n", false},
		{"field, line feeds", "HTTP/1.0 200 OK\nTransfer-Encoding: chunked\n\n", false},
		{"field after a long head", "HTTP/1.0 200 OK\r\n" + long + "Transfer-Encoding: chunked\r\n\r\n", false},
		{"similar fields", "HTTP/1.0 200 OK\r\nTransfer-Encodings: a\r\nX-Transfer-Encoding: b\r\nA: Transfer-Encoding: c\r\n\r\n", true},
		{"field in the body", "HTTP/1.0 200 OK\r\n\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		{"field in HTTP/1.1", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true},
	} {
		for _, piece := range []int{1, 7, len(c.text)} {
			var check framingCheck
			text := []byte(c.text)
			allocations := testing.AllocsPerRun(1, func() {
				check.begin(text[:piece/2])
				for rest := text[piece/2:]; len(rest) > 0; {
					n := min(piece, len(rest))
					check.add(rest[:n])
					rest = rest[n:]
				}
			})
			if err := check.end(); (err == nil) != c.valid || allocations > 0 {
				t.Errorf("%s in pieces of %d: %v, %v allocations", c.name, piece, err, allocations)
			}
		}
	}
}
