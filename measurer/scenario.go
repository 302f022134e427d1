package measurer

import "time"

// Scenario is one load with one fault.
type Scenario struct {
	// Name is shown in the report.
	Name string
	// load is the arrivals as a part of the engines' capacity.
	load float64
	// urgentFactor and lesser multiply a rank's arrivals during the flood.
	urgentFactor float64
	lesserFactor float64
	// reportLag is how old load reports are when they arrive.
	reportLag time.Duration
	// killAt is when the first node dies, zero for never.
	killAt time.Duration
	// slowFactor multiplies the step time of one decode engine.
	slowFactor float64
	// prefillEngines replaces the number of prefillEngines engines, zero keeps it.
	prefillEngines int
	// linkDivisor divides the rate of all linkDivisor.
	linkDivisor int64
	// oneAccount makes all of the flood come from one account.
	oneAccount bool
}

// The times of a run.
const (
	warmUp     = 20 * time.Second
	floodStart = 50 * time.Second
	floodEnd   = 110 * time.Second
	runLength  = 150 * time.Second
	// drainTime lets the last requests end; none arrive in it.
	drainTime        = 60 * time.Second
	defaultReportLag = 300 * time.Millisecond
	// reportInterval is the time between two reports of an engine.
	reportInterval = 500 * time.Millisecond
)

// Scenarios are the loads and faults of the measurement.
var Scenarios = []Scenario{
	{Name: "load-0.5", load: 0.5},
	{Name: "load-0.8", load: 0.8},
	{Name: "load-0.95", load: 0.95},
	{Name: "load-1.2", load: 1.2},
	{Name: "lesser-flood", load: 0.8, lesserFactor: 5},
	{Name: "urgent-flood", load: 0.8, urgentFactor: 5},
	{Name: "one-account-flood", load: 0.8, lesserFactor: 5, oneAccount: true},
	{Name: "owner-killed", load: 0.8, killAt: 60 * time.Second},
	{Name: "lag-2s", load: 0.8, reportLag: 2 * time.Second},
	{Name: "slow-engine", load: 0.8, slowFactor: 3},
	{Name: "few-prefills", load: 0.95, prefillEngines: 2},
	{Name: "slow-links", load: 0.8, linkDivisor: 3},
}

func (s Scenario) withDefaults() Scenario {
	if s.urgentFactor == 0 {
		s.urgentFactor = 1
	}
	if s.lesserFactor == 0 {
		s.lesserFactor = 1
	}
	if s.linkDivisor == 0 {
		s.linkDivisor = 1
	}
	if s.reportLag == 0 {
		s.reportLag = defaultReportLag
	}
	if s.slowFactor == 0 {
		s.slowFactor = 1
	}
	return s
}
