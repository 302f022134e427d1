package prover

import (
	"slices"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// wideShape is a fleet of three data centres. Model engines stand in two of
// them, so that a request that enters by the third has only far ones.
var wideShape = shape{nodes: 6, prefills: 2, decodes: 2, services: 3, centres: 3}

const (
	// cutSpan is how long a cut of a data centre lasts, longer than every lease.
	cutSpan = 30 * time.Second
	// regionCutSpan is how long a region stays cut off.
	regionCutSpan = 3 * time.Minute
	// maximumNodes bounds the nodes of a fleet, with those that join later.
	maximumNodes = 9
)

// centreFault strikes whole data centres.
type centreFault struct {
	name string
	// span is the time until it is healed.
	span time.Duration
	// blind tells that until then no node that reaches the engines of the struck
	// data centre has a configuration, so that nobody can free their memory.
	blind bool
	// strike strikes the data centre here; there is another one.
	strike func(f *fleet, here, there identifier.DataCentre)
}

var centreFaults = []centreFault{
	{"cut-one-way", cutSpan, false, func(f *fleet, here, there identifier.DataCentre) {
		f.cutAll(f.hostsIn(here), f.hostsIn(there), f.network.CutOneWay)
	}},
	{"cut", cutSpan, false, func(f *fleet, here, _ identifier.DataCentre) { f.cutCentre(here) }},
	{"cut-from-store", cutSpan, false, func(f *fleet, here, _ identifier.DataCentre) {
		f.cutAll(f.nodeHosts(here), []string{platformHost}, f.network.Cut)
	}},
	{"cut-from-engines", cutSpan, false, func(f *fleet, here, _ identifier.DataCentre) {
		f.cutAll(f.nodeHosts(here), f.backendHosts(here), f.network.Cut)
	}},
	{"region-cut", regionCutSpan, false, func(f *fleet, here, _ identifier.DataCentre) { f.cutRegion(here) }},
	{"cut-and-restarted", cutSpan, false, func(f *fleet, here, _ identifier.DataCentre) {
		f.cutCentre(here)
		f.restartCentre(here)
	}},
	{"region-cut-and-restarted", regionCutSpan, true, func(f *fleet, here, _ identifier.DataCentre) {
		f.cutRegion(here)
		f.restartCentre(here)
	}},
}

// inflict strikes and heals after the fault's span.
func (c centreFault) inflict(f *fleet, here, there identifier.DataCentre) {
	c.strike(f, here, there)
	f.after(c.span, f.network.Heal)
}

// cutAll cuts each host of one list from each of another.
func (f *fleet) cutAll(these, those []string, cut func(from, to string)) {
	for _, from := range these {
		for _, to := range those {
			cut(from, to)
		}
	}
}

// cutCentre cuts a data centre from the others. Its callers, its backend
// servers and the store still reach it.
func (f *fleet) cutCentre(here identifier.DataCentre) {
	for _, other := range centreNames {
		if other != here {
			f.cutAll(f.hostsIn(here), f.hostsIn(other), f.network.Cut)
		}
	}
}

// cutRegion cuts a data centre from the others and from the store.
func (f *fleet) cutRegion(here identifier.DataCentre) {
	f.cutCentre(here)
	f.cutAll(f.nodeHosts(here), []string{platformHost}, f.network.Cut)
}

// restartCentre kills every node of a data centre and starts it again.
func (f *fleet) restartCentre(here identifier.DataCentre) {
	for _, n := range f.running() {
		if n.centre == here {
			f.kill(n.name)
			f.after(2*time.Second, func() { f.startNode(n.name) })
		}
	}
}

// hostsIn lists the hosts of a data centre: nodes and backend servers.
func (f *fleet) hostsIn(centre identifier.DataCentre) []string {
	return slices.Concat(f.nodeHosts(centre), f.backendHosts(centre))
}

func (f *fleet) nodeHosts(centre identifier.DataCentre) []string {
	var hosts []string
	for i := range maximumNodes {
		if f.size.centre(i) == centre {
			hosts = append(hosts, nodeHost(i+1))
		}
	}
	return hosts
}

func (f *fleet) backendHosts(centre identifier.DataCentre) []string {
	var hosts []string
	for _, pool := range f.pools.Pools {
		for _, member := range pool.Members {
			if member.DataCentre == centre {
				hosts = append(hosts, hostOf(member.Address))
			}
		}
	}
	return hosts
}
