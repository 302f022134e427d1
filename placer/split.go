package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// A pool's engines are split between prefill and decode when they are set up. The
// requests that come decide how many of each are needed: an average one takes some
// engine time of each role, and the pool serves as many as its scarcer role does.
// Where another split serves clearly more, some engines should change.

// RoleChange is an engine that should change to another role.
type RoleChange struct {
	Member identifier.Member
	Role   identifier.Role
	// Reason tells by what it was decided.
	Reason SplitReason
}

// SplitReason is what a change of roles was decided by.
type SplitReason struct {
	// Prefill and Decode are the engine time that an average request takes.
	Prefill, Decode time.Duration
	// Prefills and Decodes count the engines of each role, Wanted is how many of
	// them should be prefill engines.
	Prefills, Decodes, Wanted int
}

const (
	// maxDecodeUtilisation is the part of a decode engine that can be kept busy, as requests do
	// not come evenly. prefillShare is that of a prefill engine, where one that waits
	// is late soon.
	maxDecodeUtilisation  = 0.85
	maxPrefillUtilisation = 0.9
	// minThroughputGain is by how much more another split must serve. A change takes an
	// engine away for seconds.
	minThroughputGain = 1.04
	// toDecodeDelay is how long another split must have been better. Engines that
	// crash are back within seconds.
	toDecodeDelay = 2 * time.Second
	// toPrefillDelay is the same where decode engines would change: a prefill engine
	// that crashed leaves the list when it has been silent for some seconds, and is
	// mostly back soon after.
	toPrefillDelay = 8 * time.Second
	// minSplitSamples is how many requests an average needs.
	minSplitSamples = 20
	// maxChangingShare is the part of a role's engines that may change at once.
	maxChangingShare = 0.25
	// roleChangeDrainTime is how much longer than an engine's own time a change may take:
	// what runs on it has to end first.
	roleChangeDrainTime = 6 * time.Second
)

// requestAverages is what an average request takes.
type requestAverages struct {
	// prompt and output are in tokens, decodeSeconds in seconds of a decode engine.
	prompt, output, decodeSeconds movingAverage
}

// movingAverage is a moving average.
type movingAverage struct {
	average float64
	samples float64
}

// movingAverageWindow is over how many values a mean is taken.
const movingAverageWindow = 60

func (m *movingAverage) add(value float64) {
	m.samples = min(m.samples+1, movingAverageWindow)
	m.average += (value - m.average) / m.samples
}

// recordPrompt counts a new demand's prompt.
func (p *Placer) recordPrompt(d *Demand) {
	p.averageRequest.prompt.add(float64(d.Prompt))
}

// recordFinished counts a finished request's output, and the time that it takes. That
// is not measured from the grant, which an earlier owner may have given.
func (p *Placer) recordFinished(g *grant, output identifier.Tokens) {
	p.averageRequest.output.add(float64(output))
	p.averageRequest.decodeSeconds.add(float64(output) * p.tokenTimeOf(g.decode).Seconds())
}

// RoleChanges returns the engines that should change their role now. Whoever has
// one change says so with Changing.
func (p *Placer) RoleChanges(now time.Time) []RoleChange {
	reason, ok := p.bestSplit(now)
	if !ok || reason.throughput(reason.Wanted) < minThroughputGain*reason.throughput(reason.Prefills) {
		p.betterSplitSince = time.Time{}
		return nil
	}
	addPrefill := reason.Wanted > reason.Prefills
	if p.betterSplitSince.IsZero() || addPrefill != p.betterSplitAddsPrefill {
		p.betterSplitSince, p.betterSplitAddsPrefill = now, addPrefill
	}
	if addPrefill {
		return p.pickRoleChanges(now, toPrefillDelay, p.decodes, identifier.Prefill, reason)
	}
	return p.pickRoleChanges(now, toDecodeDelay, p.prefills, identifier.Decode, reason)
}

// bestSplit works out how many prefill engines serve most; false while too little is
// known.
func (p *Placer) bestSplit(now time.Time) (SplitReason, bool) {
	if p.settings.RoleChange <= 0 || p.averageRequest.prompt.samples < minSplitSamples || p.averageRequest.decodeSeconds.samples < minSplitSamples {
		return SplitReason{}, false
	}
	var reason SplitReason
	for _, e := range p.sortedEngines {
		switch {
		case e.Leaving || e.removed:
		case e.roleAfterChange(now) == identifier.Prefill:
			reason.Prefills++
		default:
			reason.Decodes++
		}
	}
	if reason.Prefills == 0 || reason.Decodes == 0 || len(p.prefills) == 0 || len(p.decodes) == 0 {
		return reason, false
	}
	reason.Prefill = p.averagePrefillTime()
	reason.Decode = p.averageDecodeTime(p.decodes[0])
	reason.Wanted = reason.Prefills
	for count := 1; count < reason.Prefills+reason.Decodes; count++ {
		if reason.throughput(count) > reason.throughput(reason.Wanted) {
			reason.Wanted = count
		}
	}
	return reason, true
}

// throughput is how many requests a second are served with some prefill engines.
func (r SplitReason) throughput(prefills int) float64 {
	decodes := r.Prefills + r.Decodes - prefills
	return min(float64(prefills)/r.Prefill.Seconds(), float64(decodes)/r.Decode.Seconds())
}

// averagePrefillTime is the time of an average prefill engine that the average prompt takes.
func (p *Placer) averagePrefillTime() time.Duration {
	total := 0.0
	for _, e := range p.prefills {
		total += float64(e.prefillRate())
	}
	return timeAtRate(p.averageRequest.prompt.average/maxPrefillUtilisation, total/float64(len(p.prefills)))
}

// averageDecodeTime is the time of an engine that the average answer takes: the time that
// it is there, by the part of the memory or of the slots that it has meanwhile.
func (p *Placer) averageDecodeTime(e *engine) time.Duration {
	memory := float64(e.Pieces) * float64(p.settings.PieceTokens)
	share := (p.averageRequest.prompt.average + p.averageRequest.output.average/2) / memory
	if e.Slots > 0 {
		share = max(share, 1/float64(e.Slots))
	}
	return time.Duration(p.averageRequest.decodeSeconds.average * share / maxDecodeUtilisation * float64(time.Second))
}

// roleAfterChange is the role that an engine has, or will have after its change.
func (e *engine) roleAfterChange(now time.Time) identifier.Role {
	if now.Before(e.roleChangeUntil) {
		return e.nextRole
	}
	return e.Role
}

// pickRoleChanges picks engines of a role's list to change, the slowest first: what a slow
// engine reads or makes late costs most where prompts wait.
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
		case !e.roleChangeOrdered && e.accepts(now, &Demand{}):
			candidates = append(candidates, e)
		}
	}
	count := min(abs(reason.Wanted-reason.Prefills), max(1, int(maxChangingShare*float64(len(engines))))-changing, len(candidates))
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

// Changing notes that an engine was told to change its role: it gets nothing new
// until it has, or until the change must have failed, and is not told again.
func (p *Placer) Changing(now time.Time, change RoleChange) {
	e := p.engines[change.Member]
	if e == nil {
		return
	}
	e.roleChangeOrdered = true
	e.nextRole = change.Role
	e.roleChangeUntil = now.Add(p.settings.RoleChange + roleChangeDrainTime)
}
