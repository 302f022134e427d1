package starter

import (
	"context"
	"time"
)

// gaugeInterval is the time between two readings of what changes slowly.
const gaugeInterval = time.Second

// gauges reads what is measured by looking: ages, and back ends by state.
type gauges struct{ node *Starter }

// Run reads until ctx ends.
func (g *gauges) Run(ctx context.Context) error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.read()
		}
	}
}

func (g *gauges) read() {
	s := g.node
	scope := s.options.Scope
	scope.Gauge("store-copy-age-seconds").Update(s.follower.CopyAge().Seconds())
	scope.Gauge("requests-running").Update(float64(s.forwarder.InFlight()))
	table := s.tables.current()
	if table.Configuration != nil {
		scope.Gauge("configuration-number").Update(float64(table.Configuration.Number))
	}
	leaving := 0
	for _, backend := range table.Backends {
		if backend.Leaving {
			leaving++
		}
	}
	scope.Tagged(map[string]string{"state": "ready"}).Gauge("back-ends").Update(float64(len(table.Backends) - leaving))
	scope.Tagged(map[string]string{"state": "leaving"}).Gauge("back-ends").Update(float64(leaving))
	if s.options.Tick != nil {
		s.options.Tick()
	}
}
