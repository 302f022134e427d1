package dispatcher

import (
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// A node that places alone learns from the owner's reports which engines have
// another role than the table's, and gives them nothing.
func TestFallbackAvoidsEnginesOfAnotherRole(t *testing.T) {
	members := []tabulator.Member{
		{Name: "drains-to-prefill", Role: identifier.Prefill, Pieces: 20},
		{Name: "drains-to-decode", Role: identifier.Decode, Pieces: 20},
		{Name: "tells-nothing", Role: identifier.Decode, Pieces: 20},
	}
	owned := &shard{members: map[identifier.Member]tabulator.Member{}, loads: map[identifier.Member]placer.Load{}}
	for _, member := range members {
		owned.members[member.Name] = member
	}
	now := time.Unix(0, 0)
	owned.loads["drains-to-prefill"] = placer.Load{TakenAt: now, Role: identifier.Decode, Free: 20}
	owned.loads["drains-to-decode"] = placer.Load{TakenAt: now, Role: identifier.Prefill, Free: 20}
	owned.loads["tells-nothing"] = placer.Load{TakenAt: now, Free: 20}
	alone := newFallback()
	alone.take(now, owned.reports())
	if alone.mayPrefill(members[0]) || alone.fits(members[1], 1, 1) || !alone.fits(members[2], 1, 1) {
		t.Errorf("free memory for new work: %v", alone.free)
	}
}
