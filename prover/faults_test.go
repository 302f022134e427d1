package prover

import (
	"strings"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// longPrompt takes the emulated engines half a second to prefill.
var longPrompt = strings.Repeat("reading 48.2 % relative humidity ", 240)

// runAfter calls do after a delay, unless the fleet closes first.
func (f *fleet) runAfter(span time.Duration, do func()) {
	timer := time.AfterFunc(span, do)
	f.onClose(func() { timer.Stop() })
}

// freeze delays all traffic of a node for a while, as if its process were paused:
// messages sent before and during the freeze arrive late.
func (f *fleet) freeze(n *node, span time.Duration) {
	for _, host := range f.hosts() {
		if host != n.host {
			f.network.Cut(n.host, host)
		}
	}
	f.runAfter(span, f.network.Heal)
}

func (f *fleet) cutFor(a, b string, span time.Duration) {
	f.network.Cut(a, b)
	f.runAfter(span, f.network.Heal)
}

// hosts returns every host of the fleet, except those of stopped nodes.
func (f *fleet) hosts() []string {
	hosts := []string{callerHost, platformHost}
	for _, n := range f.running() {
		hosts = append(hosts, n.host)
	}
	for _, pool := range f.pools.Pools {
		for _, member := range pool.Members {
			hosts = append(hosts, hostOf(member.Address))
		}
	}
	return hosts
}

func hostOf(address identifier.Address) string {
	host, _, _ := strings.Cut(string(address), ":")
	return host
}

func (f *fleet) engineHosts(role identifier.Role) []string {
	var hosts []string
	for _, member := range f.pools.Pools[0].Members {
		if member.Role == role {
			hosts = append(hosts, hostOf(member.Address))
		}
	}
	return hosts
}

// engineCounts returns the sum of the counts of the engines of a role.
func (f *fleet) engineCounts(role identifier.Role) emulator.EngineCounts {
	var sum emulator.EngineCounts
	for _, member := range f.pools.Pools[0].Members {
		if member.Role != role {
			continue
		}
		counts := f.engines[string(member.Name)].Counts()
		sum.Prefills += counts.Prefills
		sum.Decodes += counts.Decodes
		sum.Evicted += counts.Evicted
		sum.Refused += counts.Refused
		sum.Held += counts.Held
		sum.Running += counts.Running
	}
	return sum
}

// totalCounts returns the sum of the counts of all engines.
func (f *fleet) totalCounts() emulator.EngineCounts {
	prefill, decode := f.engineCounts(identifier.Prefill), f.engineCounts(identifier.Decode)
	prefill.Decodes += decode.Decodes
	prefill.Held += decode.Held
	prefill.Running += decode.Running
	return prefill
}

// crashBusiestEngine crashes the engine of a role with the most memory in use, or the
// first one if none is in use, and restarts it empty two seconds later.
func (f *fleet) crashBusiestEngine(role identifier.Role) {
	chosen := f.busiestEngine(role)
	chosen.Crash()
	f.runAfter(2*time.Second, chosen.Restart)
}

// busiestEngine returns the engine of a role with the most memory in use.
func (f *fleet) busiestEngine(role identifier.Role) *emulator.Engine {
	var chosen *emulator.Engine
	for _, member := range f.pools.Pools[0].Members {
		engine := f.engines[string(member.Name)]
		if member.Role == role && (chosen == nil || engine.Counts().Held > chosen.Counts().Held) {
			chosen = engine
		}
	}
	return chosen
}
