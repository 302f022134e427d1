package receiver

import (
	"maps"
	"net/http"
	"slices"
	"testing"
)

func TestHopByHopHeadersDropped(t *testing.T) {
	header := http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"5"}, "X-Case": {"17"},
	}
	got := slices.Sorted(maps.Keys(forwardedHeaders(header)))
	if want := []string{"X-Case"}; !slices.Equal(got, want) {
		t.Errorf("forwarded %v, want %v", got, want)
	}
}
