package placer

import (
	"math"
	"time"
)

// A decode engine can read a prompt itself, slowly and between the tokens of its
// streams, which pause for about as long. Where prompts wait for prefill engines while
// decode engines have room, that serves requests that would be refused; where the
// streams of an engine could not bear the pause, it does not.

const (
	// directRoom is the part of an engine up to which it reads prompts itself: its
	// streams run on for longer, and hold their memory meanwhile.
	directRoom = 0.85
	// directMargin is left of the pause that a stream may have.
	directMargin = 40 * time.Millisecond
	// directRest is the time between two such prompts at one engine, in events: the
	// pauses of both would otherwise fall into one event.
	directRest = 1.5
)

// direct plans to have the best decode engine read a demand's prompt itself. It
// returns nil where none may.
func (p *Placer) direct(now time.Time, w *waiting) (*engine, run) {
	if p.settings.DirectRate <= 0 || w.returned && len(p.prefills) > 0 {
		return nil, run{}
	}
	var best *engine
	var planned run
	lowest := math.Inf(1)
	for _, e := range p.decodes {
		if now.Before(e.directUntil) || !e.takes(now, &w.demand) {
			continue
		}
		read := seconds(float64(w.demand.Prompt), float64(e.configuredRate())*p.settings.DirectRate)
		ready := now.Add(read)
		if read > p.directPause(w, e) || ready.Add(p.afterReady()).After(w.deadline) {
			continue
		}
		if use := p.peak(now, w, e, ready); use <= directRoom && use < lowest {
			best, lowest = e, use
			planned = run{begin: now, end: ready, ready: ready}
		}
	}
	return best, planned
}

// directPause is the longest pause that an engine's streams can bear beside the time
// for an event.
func (p *Placer) directPause(w *waiting, e *engine) time.Duration {
	if w.demand.Between <= 0 {
		return 0
	}
	return w.demand.Between - p.eventTime(e) - directMargin
}

// eventTime is how long an engine takes for an event.
func (p *Placer) eventTime(e *engine) time.Duration {
	return time.Duration(p.settings.EventTokens) * p.tokenTimeOf(e)
}

// grantDirect books a demand whose prompt its decode engine reads itself, if there is
// one that may.
func (p *Placer) grantDirect(now time.Time, w *waiting) bool {
	e, planned := p.direct(now, w)
	if e == nil {
		return false
	}
	rest := time.Duration(float64(p.eventTime(e)) * directRest)
	e.directUntil = planned.end.Add(rest)
	p.grant(now, w, planned, e)
	return true
}
