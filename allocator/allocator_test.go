package allocator_test

import (
	"net"
	"strconv"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/allocator"
)

// TestAddressesAreDistinct checks that no address is returned twice, also to two
// fleets, and that all ports are below the ephemeral range.
func TestAddressesAreDistinct(t *testing.T) {
	const addressesPerFleet, firstEphemeralPort = 40, 32_768
	seen := map[string]bool{}
	for range 2 {
		addresses, err := allocator.New(t.Context()).NextN(t.Context(), addressesPerFleet)
		if err != nil {
			t.Fatal(err)
		}
		for _, address := range addresses {
			_, text, err := net.SplitHostPort(address)
			port, _ := strconv.Atoi(text)
			if err != nil || seen[address] || port >= firstEphemeralPort {
				t.Errorf("%s: returned before: %v, %v", address, seen[address], err)
			}
			seen[address] = true
		}
	}
}

// TestPortInUseIsSkipped guards against returning the address of an open listener.
func TestPortInUseIsSkipped(t *testing.T) {
	a := allocator.New(t.Context())
	first, err := a.Next(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	host, text, _ := net.SplitHostPort(first)
	port, _ := strconv.Atoi(text)
	inUse := net.JoinHostPort(host, strconv.Itoa(port+1))
	listener, err := net.Listen("tcp", inUse)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	if next, err := a.Next(t.Context()); err != nil || next == inUse {
		t.Errorf("got %s, %v", next, err)
	}
}

func TestExhausted(t *testing.T) {
	a := allocator.New(t.Context())
	if _, err := a.NextN(t.Context(), 20_000); !errorx.IsOfType(err, allocator.Exhausted) {
		t.Errorf("got %v", err)
	}
}
