package measurer

import "time"

// Scenario is a load with at most one flood or fault.
type Scenario struct {
	// Name is shown in the report.
	Name string
	// load is the arrival rate as a fraction of Setting.capacity.
	load float64
	// urgentFactor and lesserFactor multiply a rank's arrivals during the flood.
	urgentFactor float64
	lesserFactor float64
	// reportLag is the age of load reports on arrival.
	reportLag time.Duration
	// killAt is when the first node dies; zero means never.
	killAt time.Duration
	// slowFactor multiplies the step time of one decode engine.
	slowFactor float64
	// prefillEngines overrides the number of prefill engines; zero keeps the setting's.
	prefillEngines int
	// linkDivisor divides the rate of all links.
	linkDivisor int64
	// oneAccount makes one account send all the extra requests of the flood.
	oneAccount bool
}

// Times of a run.
const (
	warmUp     = 20 * time.Second
	floodStart = 50 * time.Second
	floodEnd   = 110 * time.Second
	runLength  = 150 * time.Second
	// drainTime follows runLength, without arrivals, so that the last requests can end.
	drainTime        = 60 * time.Second
	defaultReportLag = 300 * time.Millisecond
	// reportInterval is the time between load reports of an engine.
	reportInterval = 500 * time.Millisecond
)

// Scenarios lists the measured loads and faults.
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
