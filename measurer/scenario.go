package measurer

import "time"

// Scenario is one load with one fault.
type Scenario struct {
	// Name is shown in the report.
	Name string
	// load is the arrivals as a part of the engines' capacity.
	load float64
	// urgent and lesser multiply a rank's arrivals during the flood.
	urgent float64
	lesser float64
	// lag is how old load reports are when they arrive.
	lag time.Duration
	// kill is when the first node dies, zero for never.
	kill time.Duration
	// slow multiplies the step time of one decode engine.
	slow float64
	// prefill replaces the number of prefill engines, zero keeps it.
	prefill int
	// links divides the rate of all links.
	links int64
	// oneAccount makes all of the flood come from one account.
	oneAccount bool
}

// The times of a run.
const (
	warmUp     = 20 * time.Second
	floodFrom  = 50 * time.Second
	floodUntil = 110 * time.Second
	runLength  = 150 * time.Second
	// drainTime lets the last requests end; none arrive in it.
	drainTime = 60 * time.Second
	normalLag = 300 * time.Millisecond
	// reportInterval is the time between two reports of an engine.
	reportInterval = 500 * time.Millisecond
)

// Scenarios are the loads and faults of the measurement.
var Scenarios = []Scenario{
	{Name: "load-0.5", load: 0.5},
	{Name: "load-0.8", load: 0.8},
	{Name: "load-0.95", load: 0.95},
	{Name: "load-1.2", load: 1.2},
	{Name: "lesser-flood", load: 0.8, lesser: 5},
	{Name: "urgent-flood", load: 0.8, urgent: 5},
	{Name: "one-account-flood", load: 0.8, lesser: 5, oneAccount: true},
	{Name: "owner-killed", load: 0.8, kill: 60 * time.Second},
	{Name: "lag-2s", load: 0.8, lag: 2 * time.Second},
	{Name: "slow-engine", load: 0.8, slow: 3},
	{Name: "few-prefills", load: 0.95, prefill: 2},
	{Name: "slow-links", load: 0.8, links: 3},
}

func (s Scenario) withDefaults() Scenario {
	if s.urgent == 0 {
		s.urgent = 1
	}
	if s.lesser == 0 {
		s.lesser = 1
	}
	if s.links == 0 {
		s.links = 1
	}
	if s.lag == 0 {
		s.lag = normalLag
	}
	if s.slow == 0 {
		s.slow = 1
	}
	return s
}
