package dispatcher

import (
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// TestFallbackAvoidsEnginesOfAnotherRole checks that the owner's reports keep a node
// in fallback from using engines whose role differs from the pools table.
func TestFallbackAvoidsEnginesOfAnotherRole(t *testing.T) {
	members := []tabulator.Member{
		{Name: "drains-to-prefill", Role: identifier.Prefill, Pieces: 20},
		{Name: "drains-to-decode", Role: identifier.Decode, Pieces: 20},
		{Name: "tells-nothing", Role: identifier.Decode, Pieces: 20},
	}
	owner := &shard{
		members: map[identifier.Member]tabulator.Member{}, loads: map[identifier.Member]placer.Load{},
		placer: placer.New(time.Unix(0, 0), placer.Settings{}),
	}
	owner.placer.Configure(placer.Settings{}, placerEngines(members))
	for _, member := range members {
		owner.members[member.Name] = member
	}
	now := time.Unix(0, 0)
	owner.loads["drains-to-prefill"] = placer.Load{TakenAt: now, Role: identifier.Decode, Free: 20}
	owner.loads["drains-to-decode"] = placer.Load{TakenAt: now, Role: identifier.Prefill, Free: 20}
	owner.loads["tells-nothing"] = placer.Load{TakenAt: now, Free: 20}
	f := newFallback()
	f.setReports(now, owner.memoryReports())
	if f.canPrefill(members[0]) || f.canDecode("n1", members[1], 1, 1) || !f.canDecode("n1", members[2], 1, 1) {
		t.Errorf("wrong engines accepted; free pieces by engine: %v", f.freePieces)
	}
}
