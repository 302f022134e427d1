package prover

import (
	"slices"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// wideShape is a fleet of three data centres. Only two have model engines, so a
// request that enters in the third must use a remote engine.
var wideShape = shape{nodes: 6, prefills: 2, decodes: 2, services: 3, centres: 3}

const (
	// cutSpan is how long a cut of a data centre lasts, longer than every lease.
	cutSpan = 30 * time.Second
	// regionCutSpan is how long a data centre stays cut from the others and the store.
	regionCutSpan = 3 * time.Minute
	// maximumNodes is the largest number of nodes, including those that join later.
	maximumNodes = 9
)

// centreFault is a fault of a whole data centre.
type centreFault struct {
	name string
	// span is how long the fault lasts.
	span time.Duration
	// losesConfiguration is true if, during the fault, no node that reaches the
	// engines of the data centre has a configuration, so none can free their memory.
	losesConfiguration bool
	// start starts the fault in data centre here; there is another data centre.
	start func(f *fleet, here, there identifier.DataCentre)
}

var centreFaults = []centreFault{
	{"cut-one-way", cutSpan, false, func(f *fleet, here, there identifier.DataCentre) {
		f.cutHosts(f.hostsIn(here), f.hostsIn(there), f.network.CutOneWay)
	}},
	{"cut", cutSpan, false, func(f *fleet, here, _ identifier.DataCentre) { f.cutCentre(here) }},
	{"cut-from-store", cutSpan, false, func(f *fleet, here, _ identifier.DataCentre) {
		f.cutHosts(f.nodeHosts(here), []string{platformHost}, f.network.Cut)
	}},
	{"cut-from-engines", cutSpan, false, func(f *fleet, here, _ identifier.DataCentre) {
		f.cutHosts(f.nodeHosts(here), f.backendHosts(here), f.network.Cut)
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

// inject starts the fault and heals the network after span.
func (c centreFault) inject(f *fleet, here, there identifier.DataCentre) {
	c.start(f, here, there)
	f.runAfter(c.span, f.network.Heal)
}

// cutHosts calls cut for each pair of a host in these and a host in those.
func (f *fleet) cutHosts(these, those []string, cut func(from, to string)) {
	for _, from := range these {
		for _, to := range those {
			cut(from, to)
		}
	}
}

// cutCentre cuts a data centre from the other data centres. Callers, its own
// backend servers and the store still reach it.
func (f *fleet) cutCentre(here identifier.DataCentre) {
	for _, other := range centreNames {
		if other != here {
			f.cutHosts(f.hostsIn(here), f.hostsIn(other), f.network.Cut)
		}
	}
}

// cutRegion cuts a data centre from the others and from the store.
func (f *fleet) cutRegion(here identifier.DataCentre) {
	f.cutCentre(here)
	f.cutHosts(f.nodeHosts(here), []string{platformHost}, f.network.Cut)
}

// restartCentre kills every node of a data centre and restarts it after 2 s.
func (f *fleet) restartCentre(here identifier.DataCentre) {
	for _, n := range f.running() {
		if n.centre == here {
			f.kill(n.name)
			f.runAfter(2*time.Second, func() { f.startNode(n.name) })
		}
	}
}

// hostsIn returns the hosts of the nodes and backend servers of a data centre.
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
