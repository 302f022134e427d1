package allocator_test

import (
	"net"
	"strconv"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/allocator"
)

// Two fleets share no address, no address comes twice, and all ports lie below
// those of outgoing connections.
func TestApart(t *testing.T) {
	const each, firstOutgoing = 40, 32_768
	seen := map[string]bool{}
	for range 2 {
		addresses, err := allocator.New(t.Context()).Several(t.Context(), each)
		if err != nil {
			t.Fatal(err)
		}
		for _, address := range addresses {
			_, text, err := net.SplitHostPort(address)
			port, _ := strconv.Atoi(text)
			if err != nil || seen[address] || port >= firstOutgoing {
				t.Errorf("%s: given out before: %v, %v", address, seen[address], err)
			}
			seen[address] = true
		}
	}
}

// A port that something listens at is passed over.
func TestTaken(t *testing.T) {
	a := allocator.New(t.Context())
	first, err := a.Next(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	host, text, _ := net.SplitHostPort(first)
	port, _ := strconv.Atoi(text)
	taken := net.JoinHostPort(host, strconv.Itoa(port+1))
	listener, err := net.Listen("tcp", taken)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	if next, err := a.Next(t.Context()); err != nil || next == taken {
		t.Errorf("got %s, %v", next, err)
	}
}

func TestExhausted(t *testing.T) {
	a := allocator.New(t.Context())
	if _, err := a.Several(t.Context(), 20_000); !errorx.IsOfType(err, allocator.Exhausted) {
		t.Errorf("got %v", err)
	}
}
