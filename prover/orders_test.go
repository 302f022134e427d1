package prover

import (
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// versionChange is a table edit that requires orders to the engines.
type versionChange struct {
	f *fleet
	// sender is the node that held the lease when the edit was made.
	sender *node
	// faultDuration is set if the fault outlasts the wait for the new version.
	faultDuration time.Duration
	// ordersBefore is the number of orders carried out before the edit.
	ordersBefore int
}

var orderSteps = []struct {
	name    string
	reached func(o *versionChange) bool
}{
	{"edit", func(*versionChange) bool { return true }},
	{"order", func(o *versionChange) bool { return o.f.countOrders() > o.ordersBefore }},
	{"read-back", func(o *versionChange) bool { return o.f.engines["decode-1"].LoadedVersion() == "v2" }},
}

var orderFaults = []struct {
	name   string
	inject func(o *versionChange)
}{
	{"sender-killed", func(o *versionChange) { o.f.kill(o.sender.name) }},
	{"sender-paused", func(o *versionChange) { o.f.freeze(o.sender, 40*time.Second) }},
	{"store-down", func(o *versionChange) { o.f.setStoreFaults(emulator.PlatformFaults{Down: emulator.DownHanging}) }},
	{"store-answers-lost", func(o *versionChange) { o.f.setStoreFaults(emulator.PlatformFaults{LoseAnswers: 4}) }},
	{"engines-crash", func(o *versionChange) {
		for _, engine := range o.f.engines {
			engine.Crash()
			o.f.runAfter(3*time.Second, engine.Restart)
		}
	}},
	{"engines-cut-off", func(o *versionChange) {
		for _, host := range append(o.f.engineHosts(identifier.Prefill), o.f.engineHosts(identifier.Decode)...) {
			o.f.cutFor(o.sender.host, host, 20*time.Second)
		}
	}},
	{"operators-racing", func(o *versionChange) { o.f.setVersion("v2") }},
}

func init() {
	for _, step := range orderSteps {
		for _, fault := range orderFaults {
			for _, checks := range []bool{true, false} {
				kind := "checked"
				if !checks {
					kind = "unchecked"
				}
				addCell("orders-in-order", fault.name, step.name+"-"+kind, func(t *testing.T, f *fleet) {
					o := f.startOrders(t, checks)
					f.waitFor(step.name, func() bool { return step.reached(o) })
					fault.inject(o)
					o.check(t)
				})
			}
		}
	}
}

// setVersion sets the version of all engines in the pools table.
func (f *fleet) setVersion(version string) {
	members := f.pools.Pools[0].Members
	for i := range members {
		members[i].Model = "bitacoras"
		members[i].Version = version
	}
	f.putTables()
}

func (f *fleet) startOrders(t *testing.T, checks bool) *versionChange {
	t.Helper()
	members := f.pools.Pools[0].Members
	for i := range members {
		members[i].ChecksFencing = checks
		f.engines[string(members[i].Name)].SetChecksFencing(checks)
	}
	f.setVersion("v1")
	f.waitFor("the first version", func() bool { return f.allLoaded("v1") })
	sender := f.node("node-1").server.View().Owner("engine-orders").Node
	o := &versionChange{f: f, sender: f.node(string(sender)), ordersBefore: f.countOrders()}
	f.setVersion("v2")
	return o
}

func (f *fleet) allLoaded(version string) bool {
	for _, engine := range f.engines {
		if engine.LoadedVersion() != version {
			return false
		}
	}
	return true
}

// countOrders returns the number of orders that all engines carried out.
func (f *fleet) countOrders() int {
	count := 0
	for _, engine := range f.engines {
		count += engine.Counts().Orders
	}
	return count
}

// check waits until every engine runs the new version. It asserts that no engine
// carried out an order of an older sender after one of a newer sender.
func (o *versionChange) check(t *testing.T) {
	t.Helper()
	time.Sleep(o.faultDuration)
	o.f.waitFor("the new version", func() bool { return o.f.allLoaded("v2") })
	time.Sleep(2 * time.Minute)
	if !o.f.allLoaded("v2") {
		t.Error("an engine went back to another version")
	}
	for name, engine := range o.f.engines {
		if counts := engine.Counts(); counts.Regressions > 0 {
			t.Errorf("%s carried out orders out of order: %+v", name, counts)
		}
	}
}
