package starter_test

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	// slowLinkRate is the rate of the slowest links of a large deployment, in bytes per
	// second: 10 Mbit/s.
	slowLinkRate = 10e6 / 8
	// largeFleetNodes is the size of a fleet whose nodes all have such links.
	largeFleetNodes = 60
	// largeFleetApplyTimeout is how soon the nodes of a large deployment must use an
	// accepted change, or a back end's leaving.
	largeFleetApplyTimeout = 3 * time.Second
)

// manyRoutes returns routes of another host than the fleet's own.
func manyRoutes(count int) []map[string]any {
	routes := make([]map[string]any, 0, count)
	for n := range count {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("route-%x", 0x5bd1e995*uint32(n)), "host": "many.example", "pathPrefix": fmt.Sprintf("/%x/", 0x9e3779b1*uint32(n+1)),
			"routeKind": "safe", "timeoutMs": 3000, "targetLatencyMs": 120, "priority": 1, "service": "desk", "maxAttempts": 2,
		})
	}
	return routes
}

// runSlowFleet runs a scenario on a large fleet with slow links.
func runSlowFleet(t *testing.T, scenario func(t *testing.T, f *fleet)) {
	t.Helper()
	runFleet(t, largeFleetNodes, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		for _, node := range f.nodes {
			f.network.SetRate(node.host, slowLinkRate)
		}
		scenario(t, f)
	})
}

// checkBookings checks that a booking at each node runs at one of the given instances.
func (f *fleet) checkBookings(t *testing.T, allowed ...string) {
	t.Helper()
	for n := range f.nodes {
		got := f.send(t.Context(), n, booking())
		_, ranAt, _ := f.findRuns(got.attempt)
		if len(ranAt) != 1 || !slices.Contains(allowed, ranAt[0]) {
			t.Errorf("node %d: ran at %v, status %d", n, ranAt, got.status)
		}
	}
}

// TestLargeConfigurationReachesNodesOverSlowLinks guards against a configuration that comes
// into force late because the nodes that read the store send a large one whole to each other
// node, over their own slow links.
func TestLargeConfigurationReachesNodesOverSlowLinks(t *testing.T) {
	for _, routeCount := range []int{1400, 4200} {
		t.Run(fmt.Sprint(routeCount), func(t *testing.T) {
			runSlowFleet(t, func(t *testing.T, f *fleet) {
				f.configure("other", manyRoutes(routeCount)...)
				time.Sleep(largeFleetApplyTimeout)
				f.checkBookings(t, f.instanceIDs("other", "")...)
			})
		})
	}
}

// TestChangeOfLargeConfigurationReachesNodes guards against a small change that comes into
// force late because it follows a large one closely.
func TestChangeOfLargeConfigurationReachesNodes(t *testing.T) {
	runSlowFleet(t, func(t *testing.T, f *fleet) {
		routes := manyRoutes(4200)
		f.configure("desk", routes...)
		time.Sleep(time.Second)
		f.configure("other", routes...)
		time.Sleep(largeFleetApplyTimeout)
		f.checkBookings(t, f.instanceIDs("other", "")...)
	})
}

// TestLeavingIsKnownBesideLargeConfiguration guards against requests that reach a leaving
// back end because the news of its leaving waits behind a large configuration.
func TestLeavingIsKnownBesideLargeConfiguration(t *testing.T) {
	runSlowFleet(t, func(t *testing.T, f *fleet) {
		desks := f.instanceIDs("desk", "")
		f.configure("desk", manyRoutes(4200)...)
		time.Sleep(500 * time.Millisecond)
		f.objects.Put("servers", desks[0], f.instances[desks[0]].Entry("desk", "south", "draining"))
		time.Sleep(largeFleetApplyTimeout)
		f.checkBookings(t, desks[1])
	})
}

// TestRestoreKeepsLargeConfiguration guards against a store that comes back from a copy without
// the latest large configuration: nodes that tell one another what they know must not fill
// their links with it.
func TestRestoreKeepsLargeConfiguration(t *testing.T) {
	runSlowFleet(t, func(t *testing.T, f *fleet) {
		desks := f.instanceIDs("desk", "")
		backup := f.objects.Backup()
		f.configure("other", manyRoutes(4200)...)
		time.Sleep(largeFleetApplyTimeout)
		f.objects.Restore(backup)
		time.Sleep(time.Second)
		f.checkBookings(t, f.instanceIDs("other", "")...)
		f.objects.Put("config", "main", f.configuration)
		time.Sleep(time.Second)
		f.configure("desk", manyRoutes(4200)...)
		f.objects.Put("servers", desks[0], f.instances[desks[0]].Entry("desk", "south", "draining"))
		time.Sleep(largeFleetApplyTimeout)
		f.checkBookings(t, desks[1])
	})
}
