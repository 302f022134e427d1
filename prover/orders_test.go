package prover

import (
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// orders is a table edit that engines have to be ordered to follow.
type orders struct {
	f *fleet
	// sender held the lease when the edit was made.
	sender *node
	// lasts is how long the fault lasts, if longer than the wait for the version.
	lasts time.Duration
	// seen is the number of orders carried out before the edit.
	seen int
}

var orderSteps = []struct {
	name    string
	reached func(o *orders) bool
}{
	{"edit", func(*orders) bool { return true }},
	{"order", func(o *orders) bool { return o.f.orders() > o.seen }},
	{"read-back", func(o *orders) bool { return o.f.engines["decode-1"].LoadedVersion() == "v2" }},
}

var orderFaults = []struct {
	name   string
	strike func(o *orders)
}{
	{"sender-killed", func(o *orders) { o.f.kill(o.sender.name) }},
	{"sender-paused", func(o *orders) { o.f.freeze(o.sender, 40*time.Second) }},
	{"store-down", func(o *orders) { o.f.outage(emulator.PlatformFaults{Down: emulator.DownHanging}) }},
	{"store-answers-lost", func(o *orders) { o.f.outage(emulator.PlatformFaults{LoseAnswers: 4}) }},
	{"engines-crash", func(o *orders) {
		for _, engine := range o.f.engines {
			engine.Crash()
			o.f.after(3*time.Second, engine.Restart)
		}
	}},
	{"engines-cut-off", func(o *orders) {
		for _, host := range append(o.f.engineHosts(identifier.Prefill), o.f.engineHosts(identifier.Decode)...) {
			o.f.cutFor(o.sender.host, host, 20*time.Second)
		}
	}},
	{"operators-racing", func(o *orders) { o.f.setVersion("v2") }},
}

func init() {
	for _, step := range orderSteps {
		for _, fault := range orderFaults {
			for _, checks := range []bool{true, false} {
				kind := "checked"
				if !checks {
					kind = "unchecked"
				}
				add("orders-in-order", fault.name, step.name+"-"+kind, func(t *testing.T, f *fleet) {
					o := f.startOrders(t, checks)
					f.waitFor(step.name, func() bool { return step.reached(o) })
					fault.strike(o)
					o.check(t)
				})
			}
		}
	}
}

// setVersion makes an operator change the version of all engines.
func (f *fleet) setVersion(version string) {
	members := f.pools.Pools[0].Members
	for i := range members {
		members[i].Model = "bitacoras"
		members[i].Version = version
	}
	f.putTables()
}

func (f *fleet) startOrders(t *testing.T, checks bool) *orders {
	t.Helper()
	members := f.pools.Pools[0].Members
	for i := range members {
		members[i].ChecksFencing = checks
		f.engines[string(members[i].Name)].SetChecksFencing(checks)
	}
	f.setVersion("v1")
	f.waitFor("the first version", func() bool { return f.loaded("v1") })
	sender := f.node("node-1").server.View().Owner("engine-orders").Node
	o := &orders{f: f, sender: f.node(string(sender)), seen: f.orders()}
	f.setVersion("v2")
	return o
}

func (f *fleet) loaded(version string) bool {
	for _, engine := range f.engines {
		if engine.LoadedVersion() != version {
			return false
		}
	}
	return true
}

// orders sums the orders that the engines carried out.
func (f *fleet) orders() int {
	count := 0
	for _, engine := range f.engines {
		count += engine.Counts().Orders
	}
	return count
}

// check waits until every engine follows the table: no engine carried out an
// order of an older sender after one of a newer.
func (o *orders) check(t *testing.T) {
	t.Helper()
	time.Sleep(o.lasts)
	o.f.waitFor("the new version", func() bool { return o.f.loaded("v2") })
	time.Sleep(2 * time.Minute)
	if !o.f.loaded("v2") {
		t.Error("an engine went back to another version")
	}
	for name, engine := range o.f.engines {
		if counts := engine.Counts(); counts.Regressions > 0 {
			t.Errorf("%s carried out orders out of order: %+v", name, counts)
		}
	}
}
