package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// The engines of a pool are split between prefill and decode when they are set up, but
// the mix of requests decides how many of each role are needed. An average request takes
// some engine time of each role, and the role with less capacity limits the throughput of
// the pool. If another split has clearly more throughput, some engines should change
// their role.

// RoleChange is an engine that should take another role.
type RoleChange struct {
	Member identifier.Member
	Role   identifier.Role
	Reason SplitReason
}

// SplitReason holds the figures behind a change of roles.
type SplitReason struct {
	// PrefillTime and DecodeTime are the time that an average request takes in each role.
	PrefillTime, DecodeTime time.Duration
	// Prefills and Decodes are the numbers of engines in each role, BestPrefills is the
	// number of prefill engines that gives the highest throughput.
	Prefills, Decodes, BestPrefills int
}

const (
	// maxDecodeUtilisation is the fraction of a decode engine's time that can be used,
	// because requests arrive unevenly.
	maxDecodeUtilisation = 0.85
	// maxPrefillUtilisation is the fraction of a prefill engine's time that can be used.
	// Beyond it, prompts that wait soon become late.
	maxPrefillUtilisation = 0.9
	// minThroughputGain is how many times the present throughput another split must have.
	// A role change makes an engine unavailable for seconds.
	minThroughputGain = 1.04
	// toDecodeDelay is how long a split with more decode engines must be better before
	// prefill engines become decode engines. Crashed engines are back within seconds.
	toDecodeDelay = 2 * time.Second
	// toPrefillDelay is how long a split with more prefill engines must be better before
	// decode engines become prefill engines. A crashed prefill engine is removed seconds
	// after its last report and is usually back soon; the delay must outlast its absence.
	toPrefillDelay = 8 * time.Second
	// minSplitSamples is the number of requests that the averages need.
	minSplitSamples = 20
	// maxChangingShare is the fraction of a role's engines that may change at once.
	maxChangingShare = 0.25
	// roleChangeDrainTime is how much longer than RoleChangeTime a change may take,
	// because the work that runs on the engine has to end first.
	roleChangeDrainTime = 6 * time.Second
)

type requestAverages struct {
	// prompt and output are in tokens; decodeSeconds is the time on a decode engine.
	prompt, output, decodeSeconds movingAverage
}

type movingAverage struct {
	average float64
	samples float64
}

// movingAverageWindow is the number of values that an average covers.
const movingAverageWindow = 60

func (m *movingAverage) add(value float64) {
	m.samples = min(m.samples+1, movingAverageWindow)
	m.average += (value - m.average) / m.samples
}

func (p *Placer) recordPrompt(d *Demand) {
	p.averageRequest.prompt.add(float64(d.Prompt))
}

// recordFinished adds a finished request to the averages of output length and decode
// time. The decode time is estimated from the output, because the grant may come from an
// earlier owner of the shard, so that its start time is not known here.
func (p *Placer) recordFinished(g *grant, output identifier.Tokens) {
	p.averageRequest.output.add(float64(output))
	p.averageRequest.decodeSeconds.add(float64(output) * p.tokenTimeOf(g.decode).Seconds())
}

// RoleChanges returns the engines that should change their role now. Call
// RoleChangeOrdered for each engine that was ordered to change.
func (p *Placer) RoleChanges(now time.Time) []RoleChange {
	reason, ok := p.bestSplit(now)
	if !ok || reason.throughput(reason.BestPrefills) < minThroughputGain*reason.throughput(reason.Prefills) {
		p.betterSplitSince = time.Time{}
		return nil
	}
	morePrefills := reason.BestPrefills > reason.Prefills
	if p.betterSplitSince.IsZero() || morePrefills != p.betterSplitHasMorePrefills {
		p.betterSplitSince, p.betterSplitHasMorePrefills = now, morePrefills
	}
	if morePrefills {
		return p.pickRoleChanges(now, toPrefillDelay, p.decodes, identifier.Prefill, reason)
	}
	return p.pickRoleChanges(now, toDecodeDelay, p.prefills, identifier.Decode, reason)
}

// bestSplit returns the present split and the number of prefill engines with the highest
// throughput, or false while too little is known or role changes are disabled.
func (p *Placer) bestSplit(now time.Time) (SplitReason, bool) {
	if p.settings.RoleChangeTime <= 0 || p.averageRequest.prompt.samples < minSplitSamples || p.averageRequest.decodeSeconds.samples < minSplitSamples {
		return SplitReason{}, false
	}
	reason := p.presentSplit(now)
	if reason.Prefills == 0 || reason.Decodes == 0 || len(p.prefills) == 0 || len(p.decodes) == 0 {
		return reason, false
	}
	reason.PrefillTime = p.averagePrefillTime()
	reason.DecodeTime = p.averageDecodeTime(p.decodes[0])
	reason.BestPrefills = reason.Prefills
	for count := 1; count < reason.Prefills+reason.Decodes; count++ {
		if reason.throughput(count) > reason.throughput(reason.BestPrefills) {
			reason.BestPrefills = count
		}
	}
	return reason, true
}

// presentSplit counts the engines of each role that take all the requests that they can.
func (p *Placer) presentSplit(now time.Time) SplitReason {
	var present SplitReason
	for _, e := range p.sortedEngines {
		switch {
		case e.Draining || e.removed || e.Rate > 0:
		case e.roleAfterChange(now) == identifier.Prefill:
			present.Prefills++
		default:
			present.Decodes++
		}
	}
	return present
}

// throughput returns how many requests a second a number of prefill engines allows.
func (r SplitReason) throughput(prefills int) float64 {
	decodes := r.Prefills + r.Decodes - prefills
	return min(float64(prefills)/r.PrefillTime.Seconds(), float64(decodes)/r.DecodeTime.Seconds())
}

// averagePrefillTime returns how long an average prompt takes on an average prefill
// engine.
func (p *Placer) averagePrefillTime() time.Duration {
	total := 0.0
	for _, e := range p.prefills {
		total += float64(e.prefillRate())
	}
	return timeAtRate(p.averageRequest.prompt.average/maxPrefillUtilisation, total/float64(len(p.prefills)))
}

// averageDecodeTime returns how much engine time the average request takes on a decode
// engine: its duration times its share of the memory or of the slots, whichever is
// larger.
func (p *Placer) averageDecodeTime(e *engine) time.Duration {
	memory := float64(e.Pieces) * float64(p.settings.PieceTokens)
	share := (p.averageRequest.prompt.average + p.averageRequest.output.average/2) / memory
	if e.Slots > 0 {
		share = max(share, 1/float64(e.Slots))
	}
	return time.Duration(p.averageRequest.decodeSeconds.average * share / maxDecodeUtilisation * float64(time.Second))
}

// roleAfterChange returns the engine's role, or nextRole while its role changes.
func (e *engine) roleAfterChange(now time.Time) identifier.Role {
	if now.Before(e.roleChangeUntil) {
		return e.nextRole
	}
	return e.Role
}

// pickRoleChanges returns the engines to change once another split has been better for
// minDuration, the slowest first, because slow engines delay waiting prompts most.
func (p *Placer) pickRoleChanges(now time.Time, minDuration time.Duration, engines []*engine, role identifier.Role, reason SplitReason) []RoleChange {
	if now.Sub(p.betterSplitSince) < minDuration {
		return nil
	}
	changing := 0
	var candidates []*engine
	for _, e := range engines {
		switch {
		case now.Before(e.roleChangeUntil):
			changing++
		case !e.roleChangeOrdered && e.Rate <= 0 && e.accepts(now, &Demand{}):
			candidates = append(candidates, e)
		}
	}
	count := min(abs(reason.BestPrefills-reason.Prefills), max(1, int(maxChangingShare*float64(len(engines))))-changing, len(candidates))
	slices.SortFunc(candidates, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.prefillRate(), b.prefillRate()), cmp.Compare(a.Member, b.Member))
	})
	var picked []RoleChange
	for _, e := range candidates[:max(0, count)] {
		picked = append(picked, RoleChange{Member: e.Member, Role: role, Reason: reason})
	}
	return picked
}

func abs(n int) int {
	return max(n, -n)
}

// RoleChangeOrdered records that an engine was ordered to change its role. The engine is
// not ordered again, and gets no work until it has the role or the change times out.
func (p *Placer) RoleChangeOrdered(now time.Time, change RoleChange) {
	e := p.engines[change.Member]
	if e == nil {
		return
	}
	e.roleChangeOrdered = true
	e.nextRole = change.Role
	e.roleChangeUntil = now.Add(p.settings.RoleChangeTime + roleChangeDrainTime)
}
