package demonstrator

import (
	"strings"
	"testing"
)

// TestReadTokens guards against accepting a cut-off stream, a wrong offset or an error event.
func TestReadTokens(t *testing.T) {
	const first = "id: 1\ndata: {\"choices\":[{\"text\":\" a\"}]}\n\n"
	const second = "id: 2\ndata: {\"choices\":[{\"text\":\" b\"}]}\n\n"
	const end = "data: [DONE]\n\n"
	for _, c := range []struct{ name, stream, text string }{
		{"whole", first + second + end, " a b"},
		{"cut", first + second, ""},
		{"gap", second + end, ""},
		{"repeat", first + first + end, ""},
		{"error", first + "event: error\ndata: {\"error\":{\"outcome\":\"unknown\"}}\n\n", ""},
	} {
		text, err := readTokens(strings.NewReader(c.stream), nil)
		if text != c.text || (err == nil) != (c.text != "") {
			t.Errorf("%s: got %q, %v", c.name, text, err)
		}
	}
}
