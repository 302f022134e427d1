package prover

import (
	"strings"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// longPrompt takes the stand-in engines half a second to prefill.
var longPrompt = strings.Repeat("reading 48.2 % relative humidity ", 240)

// after runs something later, and before the fleet closes.
func (f *fleet) after(span time.Duration, do func()) {
	timer := time.AfterFunc(span, do)
	f.atEnd(func() { timer.Stop() })
}

// freeze holds back all traffic of a node for a while, as when its process is
// paused: what it sent before arrives late, and what it does meanwhile as well.
func (f *fleet) freeze(n *node, span time.Duration) {
	for _, host := range f.hosts() {
		if host != n.host {
			f.network.Cut(n.host, host)
		}
	}
	f.after(span, f.network.Heal)
}

func (f *fleet) cutFor(a, b string, span time.Duration) {
	f.network.Cut(a, b)
	f.after(span, f.network.Heal)
}

// hosts lists every host of the fleet.
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

// engine sums the counts of the engines of a role.
func (f *fleet) engine(role identifier.Role) emulator.EngineCounts {
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

// total sums the counts of all engines.
func (f *fleet) total() emulator.EngineCounts {
	prefill, decode := f.engine(identifier.Prefill), f.engine(identifier.Decode)
	prefill.Decodes += decode.Decodes
	prefill.Held += decode.Held
	prefill.Running += decode.Running
	return prefill
}

// crashWhere crashes the engine of a role that holds memory, or the first one,
// and brings it back, empty, two seconds later.
func (f *fleet) crashWhere(role identifier.Role) {
	chosen := f.holding(role)
	chosen.Crash()
	f.after(2*time.Second, chosen.Restart)
}

// holding returns the engine of a role that holds most memory.
func (f *fleet) holding(role identifier.Role) *emulator.Engine {
	var chosen *emulator.Engine
	for _, member := range f.pools.Pools[0].Members {
		engine := f.engines[string(member.Name)]
		if member.Role == role && (chosen == nil || engine.Counts().Held > chosen.Counts().Held) {
			chosen = engine
		}
	}
	return chosen
}
