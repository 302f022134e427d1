package emulator

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// loadReport is an engine's load report, delayed by EngineOptions.Lag.
type loadReport struct {
	Role string `json:"role"`
	// AgeSeconds is how old the report is when it is sent.
	AgeSeconds  float64 `json:"age_seconds"`
	PiecesFree  int     `json:"pieces_free"`
	Running     int     `json:"running"`
	StepSeconds float64 `json:"step_seconds"`
	PrefillRate int     `json:"prefill_tokens_per_second"`
	// BacklogTokens is the number of prompt tokens still to be computed.
	BacklogTokens int `json:"backlog_tokens"`
	// Holding lists the running streams.
	Holding []loadHolding `json:"holding"`
	taken   time.Time
}

type loadHolding struct {
	RequestID string `json:"request_id"`
	Pieces    int    `json:"pieces"`
}

// holding returns the streams that hold memory. The caller must hold the mutex.
func (e *Engine) holding() []loadHolding {
	var held []loadHolding
	for attempt, s := range e.streams {
		select {
		case <-s.ended:
		default:
			held = append(held, loadHolding{RequestID: attempt, Pieces: s.pieces})
		}
	}
	return held
}

type engineState struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
	Loading bool   `json:"loading"`
	Running int    `json:"running"`
}

type engineOrder struct {
	Model   string           `json:"model"`
	Adapter string           `json:"adapter"`
	Version string           `json:"version"`
	Role    string           `json:"role"`
	Fence   identifier.Fence `json:"fencing_number"`
}

// serveLoad returns the stored report. If that is older than the lag, it stores a
// new one for the next request.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	now := time.Now()
	report := e.report
	if report.taken.IsZero() || now.Sub(report.taken) >= e.options.Lag {
		e.report = e.takeReport(now)
	}
	if report.taken.IsZero() {
		report = e.report
	}
	report.AgeSeconds = now.Sub(report.taken).Seconds()
	e.mutex.Unlock()
	_ = json.NewEncoder(w).Encode(report)
}

// takeReport returns the current load. The caller must hold the mutex.
func (e *Engine) takeReport(now time.Time) loadReport {
	return loadReport{
		Role:          e.state.Role,
		PiecesFree:    e.options.Pieces - e.used,
		Running:       e.running,
		StepSeconds:   e.step().Seconds(),
		PrefillRate:   e.options.PrefillRate,
		BacklogTokens: e.backlog(now),
		Holding:       e.holding(),
		taken:         now,
	}
}

// step returns the time between two tokens of a stream. The caller must hold the mutex.
func (e *Engine) step() time.Duration {
	return e.options.TokenTime + e.options.TokenTime*time.Duration(max(0, e.running-1))/crowding
}

// backlog returns the remaining prompt tokens of the longest running prefill;
// prefills run in parallel. The caller must hold the mutex.
func (e *Engine) backlog(now time.Time) int {
	longest := time.Duration(0)
	for _, end := range e.prefills {
		longest = max(longest, end.Sub(now))
	}
	return int(longest.Seconds() * float64(e.options.PrefillRate))
}

// serveOrder applies an order, or refuses it if ChecksFencing is set and its fence is stale.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engineOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.options.ChecksFencing && order.Fence < e.fence {
		e.counts.StaleOrders++
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if order.Fence < e.fence {
		e.counts.Regressions++
	}
	e.fence = max(e.fence, order.Fence)
	e.counts.Orders++
	e.state = engineState{Model: order.Model, Adapter: order.Adapter, Version: order.Version, Role: order.Role}
	w.WriteHeader(http.StatusNoContent)
}

// LoadedVersion returns the version that the engine has loaded.
func (e *Engine) LoadedVersion() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.state.Version
}

// Role returns the role that the engine was last ordered to have.
func (e *Engine) Role() identifier.Role {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return identifier.Role(e.state.Role)
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	state := e.state
	state.Running = e.running
	e.mutex.Unlock()
	_ = json.NewEncoder(w).Encode(state)
}

func contains(text, part string) bool {
	return strings.Contains(text, part)
}

// SetPrefillRate sets how many prompt tokens the engine computes per second.
func (e *Engine) SetPrefillRate(rate int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.options.PrefillRate = rate
}

// SetChecksFencing sets whether the engine refuses orders with stale fences.
func (e *Engine) SetChecksFencing(checks bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.options.ChecksFencing = checks
}
