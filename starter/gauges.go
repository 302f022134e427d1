package starter

import (
	"context"
	"time"
)

// gaugeInterval is the time between two updates of the gauges, whose values change slowly.
const gaugeInterval = time.Second

// gaugeUpdater updates gauges such as the age of the store copy and the back ends by state.
type gaugeUpdater struct{ node *Starter }

// Run updates the gauges every gaugeInterval until ctx ends. It returns nil.
func (g *gaugeUpdater) Run(ctx context.Context) error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.update()
		}
	}
}

func (g *gaugeUpdater) update() {
	s := g.node
	scope := s.options.Scope
	scope.Gauge("store-copy-age-seconds").Update(s.follower.CopyAge().Seconds())
	scope.Gauge("requests-running").Update(float64(s.forwarder.InFlight()))
	open, waiting := s.callersListener.Connections()
	scope.Gauge("caller-connections").Update(float64(open))
	scope.Gauge("caller-connections-waiting").Update(float64(waiting))
	table := s.tables.currentTable()
	if table.Configuration != nil {
		scope.Gauge("configuration-number").Update(float64(table.Configuration.Number))
	}
	leavingCount := 0
	for _, backend := range table.Backends {
		if backend.Leaving {
			leavingCount++
		}
	}
	scope.Tagged(map[string]string{"state": "ready"}).Gauge("back-ends").Update(float64(len(table.Backends) - leavingCount))
	scope.Tagged(map[string]string{"state": "leaving"}).Gauge("back-ends").Update(float64(leavingCount))
	if s.options.UpdateMetrics != nil {
		s.options.UpdateMetrics()
	}
}
