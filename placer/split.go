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
	// decodeShare is the part of a decode engine that can be kept busy, as requests do
	// not come evenly. prefillShare is that of a prefill engine, where one that waits
	// is late soon.
	decodeShare  = 0.85
	prefillShare = 0.9
	// splitGain is by how much more another split must serve. A change takes an
	// engine away for seconds.
	splitGain = 1.04
	// splitPatience is how long another split must have been better. Engines that
	// crash are back within seconds.
	splitPatience = 2 * time.Second
	// crashPatience is the same where decode engines would change: a prefill engine
	// that crashed leaves the list when it has been silent for some seconds, and is
	// mostly back soon after.
	crashPatience = 8 * time.Second
	// splitSamples is how many requests an average needs.
	splitSamples = 20
	// changingShare is the part of a role's engines that may change at once.
	changingShare = 0.25
	// switchSlack is how much longer than an engine's own time a change may take:
	// what runs on it has to end first.
	switchSlack = 6 * time.Second
)

// mix is what an average request takes.
type mix struct {
	// prompt and output are in tokens, held in seconds of a decode engine.
	prompt, output, held mean
}

// mean is a moving average.
type mean struct {
	value  float64
	weight float64
}

// meanWindow is over how many values a mean is taken.
const meanWindow = 60

func (m *mean) add(value float64) {
	m.weight = min(m.weight+1, meanWindow)
	m.value += (value - m.value) / m.weight
}

// noteDemand counts a new demand's prompt.
func (p *Placer) noteDemand(d *Demand) {
	p.mix.prompt.add(float64(d.Prompt))
}

// noteFinished counts a finished request's output, and the time that it takes. That
// is not measured from the grant, which an earlier owner may have given.
func (p *Placer) noteFinished(g *grant, output identifier.Tokens) {
	p.mix.output.add(float64(output))
	p.mix.held.add(float64(output) * p.tokenTimeOf(g.decode).Seconds())
}

// RoleChanges returns the engines that should change their role now. Whoever has
// one change says so with Changing.
func (p *Placer) RoleChanges(now time.Time) []RoleChange {
	reason, ok := p.split(now)
	if !ok || reason.serves(reason.Wanted) < splitGain*reason.serves(reason.Prefills) {
		p.splitSince = time.Time{}
		return nil
	}
	toPrefill := reason.Wanted > reason.Prefills
	if p.splitSince.IsZero() || toPrefill != p.splitToPrefill {
		p.splitSince, p.splitToPrefill = now, toPrefill
	}
	if toPrefill {
		return p.changes(now, crashPatience, p.decodes, identifier.Prefill, reason)
	}
	return p.changes(now, splitPatience, p.prefills, identifier.Decode, reason)
}

// split works out how many prefill engines serve most; false while too little is
// known.
func (p *Placer) split(now time.Time) (SplitReason, bool) {
	if p.settings.RoleChange <= 0 || p.mix.prompt.weight < splitSamples || p.mix.held.weight < splitSamples {
		return SplitReason{}, false
	}
	var reason SplitReason
	for _, e := range p.all {
		switch {
		case e.Leaving || e.removed:
		case e.roleAfter(now) == identifier.Prefill:
			reason.Prefills++
		default:
			reason.Decodes++
		}
	}
	if reason.Prefills == 0 || reason.Decodes == 0 || len(p.prefills) == 0 || len(p.decodes) == 0 {
		return reason, false
	}
	reason.Prefill = p.prefillTime()
	reason.Decode = p.decodeTime(p.decodes[0])
	reason.Wanted = reason.Prefills
	for count := 1; count < reason.Prefills+reason.Decodes; count++ {
		if reason.serves(count) > reason.serves(reason.Wanted) {
			reason.Wanted = count
		}
	}
	return reason, true
}

// serves is how many requests a second are served with some prefill engines.
func (r SplitReason) serves(prefills int) float64 {
	decodes := r.Prefills + r.Decodes - prefills
	return min(float64(prefills)/r.Prefill.Seconds(), float64(decodes)/r.Decode.Seconds())
}

// prefillTime is the time of an average prefill engine that the average prompt takes.
func (p *Placer) prefillTime() time.Duration {
	total := 0.0
	for _, e := range p.prefills {
		total += float64(e.prefillRate())
	}
	return seconds(p.mix.prompt.value/prefillShare, total/float64(len(p.prefills)))
}

// decodeTime is the time of an engine that the average answer takes: the time that
// it is there, by the part of the memory or of the slots that it has meanwhile.
func (p *Placer) decodeTime(e *engine) time.Duration {
	memory := float64(e.Pieces) * float64(p.settings.PieceTokens)
	share := (p.mix.prompt.value + p.mix.output.value/2) / memory
	if e.Slots > 0 {
		share = max(share, 1/float64(e.Slots))
	}
	return time.Duration(p.mix.held.value * share / decodeShare * float64(time.Second))
}

// roleAfter is the role that an engine has, or will have after its change.
func (e *engine) roleAfter(now time.Time) identifier.Role {
	if now.Before(e.changingUntil) {
		return e.becomes
	}
	return e.Role
}

// changes picks engines of a role's list to change, the slowest first: what a slow
// engine reads or makes late costs most where prompts wait.
func (p *Placer) changes(now time.Time, patience time.Duration, list []*engine, role identifier.Role, reason SplitReason) []RoleChange {
	if now.Sub(p.splitSince) < patience {
		return nil
	}
	changing := 0
	var open []*engine
	for _, e := range list {
		switch {
		case now.Before(e.changingUntil):
			changing++
		case !e.ordered && e.takes(now, &Demand{}):
			open = append(open, e)
		}
	}
	count := min(abs(reason.Wanted-reason.Prefills), max(1, int(changingShare*float64(len(list))))-changing, len(open))
	slices.SortFunc(open, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.prefillRate(), b.prefillRate()), cmp.Compare(a.Member, b.Member))
	})
	var picked []RoleChange
	for _, e := range open[:max(0, count)] {
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
	e.ordered = true
	e.becomes = change.Role
	e.changingUntil = now.Add(p.settings.RoleChange + switchSlack)
}
