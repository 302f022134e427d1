package emulator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/foxtailspool/foxtailspool/tabulator"
)

// DownMode selects how calls fail while the platform is down.
type DownMode string

// The modes of an outage.
const (
	// Up means no outage.
	Up DownMode = ""
	// DownRefusing answers 503; no call has an effect.
	DownRefusing DownMode = "refusing"
	// DownCutting closes the connection without an answer; no call has an effect.
	DownCutting DownMode = "cutting"
	// DownHanging holds calls until the client gives up; no call has an effect.
	DownHanging DownMode = "hanging"
)

// WatchFault selects how watches fail.
type WatchFault string

// The faults of watches.
const (
	// WatchesWork means no fault.
	WatchesWork WatchFault = ""
	// WatchesSilent keeps watches open but sends no events or bookmarks.
	WatchesSilent WatchFault = "silent"
	// WatchesLapse closes a watch at its next event or bookmark.
	WatchesLapse WatchFault = "lapsing"
	// WatchesExpire ends watches with an ERROR event, as for a compacted version.
	WatchesExpire WatchFault = "expiring"
)

// PlatformFaults configures fault injection. The zero value means no faults.
type PlatformFaults struct {
	Down DownMode `json:"down,omitempty"`
	// DownAfter delays Down until this many more writes have taken effect. The
	// answer to the last of them is still sent.
	DownAfter int `json:"down-after,omitempty"`
	// Slow delays each call before its effect, which takes place even if the
	// client has given up by then.
	Slow tabulator.Duration `json:"slow,omitempty"`
	// LoseAnswers is how many of the next successful writes lose their answer.
	LoseAnswers int `json:"lose-answers,omitempty"`
	// LateAnswers is how many of the next successful writes answer only after
	// Late, although the effect came at once.
	LateAnswers int                `json:"late-answers,omitempty"`
	Late        tabulator.Duration `json:"late,omitempty"`
	// Stale makes reads answer the state at the time the fault was set.
	Stale bool `json:"stale,omitempty"`
	// Watches is the fault of all watches.
	Watches WatchFault `json:"watches,omitempty"`
	// SkipEvents is how many of the next changes are omitted from all watches.
	SkipEvents int `json:"skip-events,omitempty"`
}

// Faults returns the current faults, with the remaining counts.
func (p *Platform) Faults() PlatformFaults {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults
}

// SetFaults replaces the faults. If Stale is set, reads use a snapshot taken now.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.frozen = nil
	if faults.Stale {
		frozen := p.state.clone()
		p.frozen = &frozen
	}
	p.faults = faults
	p.notify()
}

// serveFaults returns the faults as JSON and replaces them on PUT or POST.
func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut || r.Method == http.MethodPost {
		var faults PlatformFaults
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetFaults(faults)
	}
	writeJSON(w, http.StatusOK, p.Faults())
}

// admit applies the faults that precede a call's effect. It reports whether the
// call should proceed.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request) bool {
	faults := p.Faults()
	if faults.Slow > 0 {
		time.Sleep(time.Duration(faults.Slow))
		faults = p.Faults()
	}
	down := faults.Down
	if faults.DownAfter > 0 {
		down = Up
	}
	switch down {
	case Up:
		return true
	case DownCutting:
		panic(http.ErrAbortHandler)
	case DownHanging:
		<-r.Context().Done()
	default:
		writeStatus(w, http.StatusServiceUnavailable)
	}
	return false
}

// applyAnswerFaults applies the faults between a write's effect and its answer.
func (p *Platform) applyAnswerFaults(r *http.Request) {
	p.mutex.Lock()
	if p.faults.DownAfter > 0 {
		p.faults.DownAfter--
	}
	lost := p.faults.LoseAnswers > 0
	late := !lost && p.faults.LateAnswers > 0
	wait := time.Duration(p.faults.Late)
	switch {
	case lost:
		p.faults.LoseAnswers--
	case late:
		p.faults.LateAnswers--
	}
	p.mutex.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	if late {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
		}
	}
}
