package cmd

import (
	"testing"
	"time"
)

// TestPriceFlag guards against a price that is on by default, cannot be zero, or is out of bounds.
func TestPriceFlag(t *testing.T) {
	command := newRunCommand()
	flag := command.Flags().Lookup("wait-for-remote-gb")
	if flag == nil || flag.Value.String() != "" {
		t.Fatalf("default: %+v", flag)
	}
	for text, want := range map[string]time.Duration{"0s": 0, "0": 0, "20m": 20 * time.Minute, "24h": 24 * time.Hour} {
		var p priceFlag
		if err := p.Set(text); err != nil || p.price == nil || time.Duration(*p.price) != want {
			t.Errorf("%q: %v, %v", text, p.price, err)
		}
	}
	for _, text := range []string{"", "20", "-1s", "24h0m1s", "many"} {
		var p priceFlag
		if err := p.Set(text); err == nil || p.price != nil {
			t.Errorf("%q is accepted as %v", text, p.price)
		}
	}
}
