// Package localizer decides which share of a pool's requests leaves its home data centre for
// servers elsewhere. It weighs the wait that a request saves against the price of the bytes that
// it sends between data centres. A decision is a function of evidence, an earlier state and the
// time in between; the package has no clock, no goroutine and no transport.
package localizer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// BeginGain is the gain from which requests begin to leave. A tenth of the usual target of a
	// plain request, 300 ms, is worth a change of the data centre.
	BeginGain = 30 * time.Millisecond
	// EndGain is the gain below which requests no longer leave. The distance from BeginGain keeps
	// a share from beginning and ending with each small change of the wait.
	EndGain = 10 * time.Millisecond
	// MaxShare is the largest share that leaves home servers. The rest shows when the wait at
	// home is over.
	MaxShare = 0.9
	// lossFallPerSecond bounds the fall of the share of a destination where requests wait no less
	// than at home, so that a destination that fills up is spared soon.
	lossFallPerSecond = 0.5
	// maxStep bounds the time for which a share rises at once after a pause without requests.
	maxStep = time.Second
	// minSamples is the number of recent observations from which the wait at home is known.
	minSamples = 0.5
	// fullSamples is the number of recent observations of a destination that justifies any share.
	fullSamples = 1.0
)

// Pace says how fast shares follow their evidence. The older the evidence is when it comes, and
// the longer queues may grow, the slower shares have to change in order not to go to and fro.
type Pace struct {
	// HalfGain is the gain at which half of the requests leave; positive.
	HalfGain time.Duration
	// RisePerSecond bounds the rise of the share that leaves; positive.
	RisePerSecond float64
	// FallPerSecond bounds the fall of the share that leaves when little is gained any more;
	// positive. A short wait at home may be due to what leaves, so that a fast fall would bring
	// the wait back. After MaxShare/FallPerSecond seconds of no gain nothing leaves.
	FallPerSecond float64
	// UnknownShare is the largest share of a destination that nobody has observed. One with some
	// observations, but fewer than fullSamples, gets a part of the rest.
	UnknownShare float64
}

// MaxWaitPerGB bounds the price of a GB. At this price, a byte costs a wait of 86.4 us.
const MaxWaitPerGB = 24 * time.Hour

// Price is how long a wait of one caller is worth one GB (1e9 bytes) between data centres. Zero
// means that bytes cost nothing. It is not negative and at most MaxWaitPerGB.
type Price time.Duration

// Of returns the wait that is worth a number of bytes.
func (p Price) Of(bytes float64) time.Duration {
	return time.Duration(float64(p) * bytes / 1e9)
}

// Site is what is known of a pool's servers in one data centre.
type Site struct {
	DataCentre identifier.DataCentre
	// Wait is the expected wait until work begins, if Samples is not zero.
	Wait time.Duration
	// Samples is the number of recent observations that Wait rests on. It decays with time.
	Samples float64
	// Path is the one-way time of the path from home as far as Wait does not contain it.
	Path time.Duration
}

// Input is the evidence for one decision.
type Input struct {
	// Home is the home data centre's servers; nil means that it has none that take requests.
	Home *Site
	// Others has each other data centre with servers that take requests once.
	Others []Site
	// Bytes is what one request sends between data centres if it leaves, both ways.
	Bytes float64
	Price Price
	Pace  Pace
}

// Reason says why a share leaves or not.
type Reason string

// The reasons of decisions.
const (
	// NoSites means that no data centre has servers that take requests.
	NoSites Reason = "no-servers"
	// NoHomeServers means that all requests leave, whatever the price.
	NoHomeServers Reason = "no-servers-at-home"
	// NoOthers means that no other data centre has servers that take requests.
	NoOthers Reason = "no-servers-elsewhere"
	// WaitUnknown means that too little is known of the wait at home to decide.
	WaitUnknown Reason = "wait-unknown"
	// ShortWait means that nothing would be gained elsewhere even if bytes were free.
	ShortWait Reason = "short-wait-at-home"
	// DearBytes means that the wait that would be saved is worth less than the bytes.
	DearBytes Reason = "dear-bytes"
	// LongWait means that a share leaves because it saves more wait than its bytes are worth.
	LongWait Reason = "long-wait-at-home"
)

// Share is the share of the requests that goes to one data centre.
type Share struct {
	DataCentre identifier.DataCentre
	// Part is from 0 to 1.
	Part float64
	// Gain is the expected wait that a request saves there, less the price of its bytes.
	Gain time.Duration
	// loses means that requests wait there, and no less than at home.
	loses bool
}

// Decision is the state of one pool in one data centre. The zero value is the one at the start.
type Decision struct {
	// Shares has the other data centres that get requests, by name. The sum is at most 1; the
	// rest stays at home.
	Shares []Share
	Reason Reason
	// IsLeaving is true from a gain of BeginGain until one below EndGain.
	IsLeaving bool
}

// Leaving returns the share of the requests that leaves.
func (d *Decision) Leaving() float64 {
	sum := 0.0
	for _, s := range d.Shares {
		sum += s.Part
	}
	return min(sum, 1)
}

// Known reports whether the decision rests on evidence. If not, the caller decides as it would
// without a price.
func (d *Decision) Known() bool {
	return d.Reason != WaitUnknown && d.Reason != NoSites
}

// Choose returns the data centre of one request from a number that is evenly spread from 0 to 1.
// It returns false if the request stays at home.
func (d *Decision) Choose(spread float64) (destination identifier.DataCentre, leaves bool) {
	for _, s := range d.Shares {
		if spread < s.Part {
			return s.DataCentre, true
		}
		spread -= s.Part
	}
	if len(d.Shares) > 0 && d.Reason == NoHomeServers {
		return d.Shares[len(d.Shares)-1].DataCentre, true
	}
	return "", false
}

// Next returns the decision that follows one that was made some time ago.
func (d *Decision) Next(elapsed time.Duration, in Input) Decision {
	before := d.Shares
	if d.Reason == NoHomeServers {
		// The shares of a time without servers at home say nothing about the present.
		before = nil
	}
	switch {
	case in.Home == nil && len(in.Others) == 0:
		return Decision{Reason: NoSites}
	case in.Home == nil:
		return Decision{Shares: withoutHome(in.Others), Reason: NoHomeServers, IsLeaving: true}
	case len(in.Others) == 0:
		return Decision{Reason: NoOthers}
	case in.Home.Samples < minSamples:
		return Decision{Shares: move(before, gains(in), make([]float64, len(in.Others)), in.Pace, elapsed), Reason: WaitUnknown}
	}
	found := gains(in)
	best := slices.MaxFunc(found, func(a, b Share) int { return cmp.Compare(a.Gain, b.Gain) }).Gain
	next := Decision{IsLeaving: best >= BeginGain || d.IsLeaving && best >= EndGain, Reason: LongWait}
	if !next.IsLeaving {
		next.Reason = ShortWait
		if best+in.Price.Of(in.Bytes) >= BeginGain {
			next.Reason = DearBytes
		}
	}
	next.Shares = move(before, found, targets(in, found, best, next.IsLeaving), in.Pace, elapsed)
	return next
}

// withoutHome shares all requests between the other data centres, more to those with less wait.
func withoutHome(others []Site) []Share {
	shares := make([]Share, len(others))
	sum := 0.0
	for i, site := range others {
		shares[i] = Share{DataCentre: site.DataCentre, Part: 1 / (BeginGain + max(0, site.wait()) + 2*site.Path).Seconds()}
		sum += shares[i].Part
	}
	for i := range shares {
		shares[i].Part /= sum
	}
	slices.SortFunc(shares, func(a, b Share) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return shares
}

// wait returns the expected wait; one that nobody has observed is taken as none, since only
// requests that go there can tell.
func (s *Site) wait() time.Duration {
	if s.Samples <= 0 {
		return 0
	}
	return s.Wait
}

// gains returns what each other data centre saves, with no share.
func gains(in Input) []Share {
	price := in.Price.Of(in.Bytes)
	shares := make([]Share, len(in.Others))
	for i, site := range in.Others {
		saved := in.Home.wait() - site.wait() - 2*site.Path
		shares[i] = Share{DataCentre: site.DataCentre, Gain: saved - price, loses: saved < EndGain && site.wait() >= BeginGain}
	}
	return shares
}

// targets returns the share that each other data centre should get in the end. What leaves is
// a half at HalfGain, less while less is gained, and shrinks as destinations fill up.
func targets(in Input, found []Share, best time.Duration, leaving bool) []float64 {
	parts := make([]float64, len(found))
	if !leaving {
		return parts
	}
	total := min(MaxShare, best.Seconds()/(best+in.Pace.HalfGain).Seconds())
	sum := 0.0
	for _, s := range found {
		sum += max(0, s.Gain.Seconds())
	}
	for i, s := range found {
		part := total * max(0, s.Gain.Seconds()) / sum
		known := min(1, in.Others[i].Samples/fullSamples)
		parts[i] = min(part, in.Pace.UnknownShare+(1-in.Pace.UnknownShare)*known)
	}
	return parts
}

// move returns shares that have changed towards their targets as far as the elapsed time allows.
// The share of a data centre that is no longer among the found ones ends at once.
func move(before, found []Share, parts []float64, pace Pace, elapsed time.Duration) []Share {
	changes := make([]float64, len(found))
	rises, falls := 0.0, 0.0
	for i := range found {
		if at := slices.IndexFunc(before, func(s Share) bool { return s.DataCentre == found[i].DataCentre }); at >= 0 {
			found[i].Part = before[at].Part
		}
		changes[i] = parts[i] - found[i].Part
		switch {
		case changes[i] > 0:
			rises += changes[i]
		case !found[i].loses:
			falls -= changes[i]
		}
	}
	seconds := max(0, elapsed.Seconds())
	rise := scale(rises, pace.RisePerSecond*min(seconds, maxStep.Seconds()))
	fall := scale(falls, pace.FallPerSecond*seconds)
	var after []Share
	for i, s := range found {
		switch {
		case changes[i] > 0:
			s.Part += changes[i] * rise
		case !s.loses:
			s.Part += changes[i] * fall
		default:
			s.Part += max(changes[i], -lossFallPerSecond*seconds)
		}
		if s.Part > minPart {
			after = append(after, s)
		}
	}
	slices.SortFunc(after, func(a, b Share) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return after
}

// minPart is the share below which none leaves. It lets a falling share reach zero despite
// rounding.
const minPart = 1e-6

// scale returns the factor that keeps a sum within a limit.
func scale(sum, limit float64) float64 {
	if sum <= limit || sum <= 0 {
		return 1
	}
	return limit / sum
}

// Spread returns a number from 0 to 1 for a turn. The numbers of consecutive turns are spread
// evenly, also among the turns that another sequence of such numbers selects.
func Spread(turn uint64) float64 {
	// Multiples of the square root of two, unlike those of the golden ratio, which a choice
	// between the servers of a data centre uses.
	const rootOfTwo = 0x6A09E667F3BCC909
	return float64((turn*rootOfTwo)>>11) / float64(uint64(1)<<53)
}

// Change is what has happened to a share since it was last reported.
type Change uint8

// The changes of a share that are reported.
const (
	Unchanged Change = iota
	Began
	ChangedMuch
	Ended
)

const (
	// reportedBegin is the share from which a change is reported first.
	reportedBegin = 0.01
	// reportedStep is the difference from the last reported share that is reported.
	reportedStep = 0.25
)

// Report is the last reported share.
type Report struct{ share float64 }

// Update compares a decision with the last reported share.
func (r *Report) Update(d *Decision) Change {
	share := d.Leaving()
	switch {
	case r.share == 0 && share >= reportedBegin:
		r.share = share
		return Began
	case r.share > 0 && share == 0:
		r.share = 0
		return Ended
	case r.share > 0 && math.Abs(share-r.share) >= reportedStep:
		r.share = share
		return ChangedMuch
	}
	return Unchanged
}
