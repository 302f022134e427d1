package prober

import (
	"testing"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/prober/proberrpc"
)

// TestRecordOnWire checks that a record arrives as it was sent, with the capacity by which
// all nodes choose the same owners.
func TestRecordOnWire(t *testing.T) {
	sent := record{
		member: assigner.Member{
			Node: "n1", Incarnation: 7, DataCentre: "south", PeerAddress: "10.1.0.1:7660", CallerAddress: "10.1.0.1:8144",
			Capacity: 192, Configuration: 3,
		},
		revision: 2, health: suspect, leaving: true,
	}
	if received := recordFromWire(recordToWire(sent)); received != sent {
		t.Errorf("sent %+v, received %+v", sent, received)
	}
}

// TestUnknownHealthOnWire guards against a health out of bounds that wins against all others, so
// that a node counts as in a state that nothing can change.
func TestUnknownHealthOnWire(t *testing.T) {
	for _, number := range []int32{-1, 4, 255, 256, 1 << 30} {
		if got := recordFromWire(&proberrpc.Record{Health: proberrpc.Health(number)}).health; got != alive {
			t.Errorf("health %d becomes %d", number, got)
		}
	}
}
