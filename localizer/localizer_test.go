package localizer_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/localizer"
)

const (
	step = 100 * time.Millisecond
	// bytesOfRequest at pricePerGB are worth 20 ms.
	bytesOfRequest = 20_000
	pricePerGB     = localizer.Price(1000 * time.Second)
)

// slow is the pace for evidence that is evidenceLag old and queues without limit. With a HalfGain
// of half a second, shares went to and fro.
var slow = localizer.Pace{HalfGain: time.Second, RisePerSecond: 0.2, FallPerSecond: 0.1, UnknownShare: 0.05}

func siteOf(name identifier.DataCentre, wait time.Duration) localizer.Site {
	return localizer.Site{DataCentre: name, Wait: wait, Samples: 5, Path: time.Millisecond}
}

func inputOf(home time.Duration, others ...localizer.Site) localizer.Input {
	site := siteOf("home", home)
	site.Path = 0
	return localizer.Input{Home: &site, Others: others, Bytes: bytesOfRequest, Price: pricePerGB, Pace: slow}
}

// repeat decides every step for some time.
func repeat(d localizer.Decision, in localizer.Input, length time.Duration) localizer.Decision {
	for ; length > 0; length -= step {
		d = d.Next(step, in)
	}
	return d
}

// TestShareGrowsWithGain guards against a decision that is all or nothing, and against one that
// ignores the price.
func TestShareGrowsWithGain(t *testing.T) {
	last := 0.0
	for _, wait := range []time.Duration{60, 80, 120, 200, 400} {
		d := repeat(localizer.Decision{}, inputOf(wait*time.Millisecond, siteOf("a", 0)), 20*time.Second)
		if share := d.Leaving(); share <= last || share > localizer.MaxShare || d.Reason != localizer.LongWait {
			t.Errorf("wait %d ms: %.3f leaves after %.3f, %s", wait, share, last, d.Reason)
		} else {
			last = share
		}
	}
}

// TestDearBytes guards against traffic between data centres that costs more than the short wait
// that it saves.
func TestDearBytes(t *testing.T) {
	in := inputOf(45*time.Millisecond, siteOf("a", 0))
	if d := repeat(localizer.Decision{}, in, time.Minute); d.Leaving() != 0 || d.Reason != localizer.DearBytes {
		t.Errorf("dear: %+v", d)
	}
	in.Price = 0
	if d := repeat(localizer.Decision{}, in, time.Minute); d.Leaving() == 0 {
		t.Errorf("free: %+v", d)
	}
	if d := repeat(localizer.Decision{}, inputOf(5*time.Millisecond, siteOf("a", 0)), time.Minute); d.Leaving() != 0 || d.Reason != localizer.ShortWait {
		t.Errorf("short wait: %+v", d)
	}
}

// TestHysteresis guards against a share that begins and ends with each small change of the wait.
func TestHysteresis(t *testing.T) {
	const price = 22 * time.Millisecond // of the bytes and the path
	between := inputOf(price+(localizer.BeginGain+localizer.EndGain)/2, siteOf("a", 0))
	if d := repeat(localizer.Decision{}, between, time.Minute); d.Leaving() != 0 {
		t.Errorf("begins too soon: %+v", d)
	}
	d := repeat(localizer.Decision{}, inputOf(price+2*localizer.BeginGain, siteOf("a", 0)), time.Minute)
	if d = repeat(d, between, time.Minute); d.Leaving() == 0 {
		t.Errorf("ends too soon: %+v", d)
	}
	if d = repeat(d, inputOf(price+localizer.EndGain/2, siteOf("a", 0)), time.Minute); d.Leaving() != 0 {
		t.Errorf("does not end: %+v", d)
	}
}

// TestBoundedChange guards against all nodes moving to one place at once, and against a share
// that stays after the wait at home is over.
func TestBoundedChange(t *testing.T) {
	d := localizer.Decision{}
	for second := 1; second <= 3; second++ {
		d = repeat(d, inputOf(4*time.Second, siteOf("a", 0), siteOf("b", 0)), time.Second)
		if most := slow.RisePerSecond * float64(second); d.Leaving() > most+1e-9 || d.Leaving() < most-0.05 {
			t.Errorf("%.3f leaves after %d s", d.Leaving(), second)
		}
	}
	if d = d.Next(time.Hour, inputOf(4*time.Second, siteOf("a", 0), siteOf("b", 0))); d.Leaving() > 4*slow.RisePerSecond+1e-9 {
		t.Errorf("%.3f leaves after a pause", d.Leaving())
	}
	d = repeat(d, inputOf(9*time.Second, siteOf("a", 0), siteOf("b", 0)), 10*time.Second)
	full := d.Leaving()
	d = repeat(d, inputOf(0, siteOf("a", 0), siteOf("b", 0)), time.Second)
	if d.Leaving() < full-slow.FallPerSecond-1e-9 || d.Leaving() > full-slow.FallPerSecond+0.01 {
		t.Errorf("falls from %.3f to %.3f in a second", full, d.Leaving())
	}
	if d = repeat(d, inputOf(0, siteOf("a", 0), siteOf("b", 0)), 8*time.Second); len(d.Shares) != 0 {
		t.Errorf("still leaves: %+v", d)
	}
}

// TestDestinationsShareByGain guards against one destination that gets all because it looks best.
func TestDestinationsShareByGain(t *testing.T) {
	d := repeat(localizer.Decision{}, inputOf(322*time.Millisecond, siteOf("a", 200*time.Millisecond), siteOf("b", 100*time.Millisecond), siteOf("c", time.Second)), time.Minute)
	if len(d.Shares) != 2 || math.Abs(d.Shares[1].Part-2*d.Shares[0].Part) > 0.01 {
		t.Errorf("%+v", d)
	}
}

// TestNoServersAtHome guards against requests that are refused, or wait, for the price of bytes.
func TestNoServersAtHome(t *testing.T) {
	in := localizer.Input{Others: []localizer.Site{siteOf("b", 200*time.Millisecond), siteOf("a", 10*time.Millisecond)}, Bytes: 1e9, Price: localizer.Price(localizer.MaxWaitPerGB), Pace: slow}
	d := (&localizer.Decision{}).Next(0, in)
	if math.Abs(d.Leaving()-1) > 1e-9 || d.Reason != localizer.NoHomeServers || d.Shares[0].Part <= d.Shares[1].Part {
		t.Errorf("%+v", d)
	}
	for turn := range uint64(1000) {
		if _, leaves := d.Choose(localizer.Spread(turn)); !leaves {
			t.Fatalf("turn %d stays", turn)
		}
	}
	if d = d.Next(step, inputOf(0, in.Others...)); d.Leaving() != 0 {
		t.Errorf("home is back: %+v", d)
	}
	if d := (&localizer.Decision{}).Next(0, localizer.Input{}); d.Known() || d.Leaving() != 0 {
		t.Errorf("no servers at all: %+v", d)
	}
}

// TestUnknownWaits guards against decisions without evidence: at home nothing is decided, and a
// destination that nobody has seen gets few requests.
func TestUnknownWaits(t *testing.T) {
	in := inputOf(time.Second, siteOf("a", 0))
	in.Home.Samples = 0
	if d := repeat(localizer.Decision{}, in, time.Minute); d.Known() || d.Leaving() != 0 {
		t.Errorf("home unknown: %+v", d)
	}
	unseen := localizer.Site{DataCentre: "a"}
	if d := repeat(localizer.Decision{}, inputOf(time.Second, unseen), time.Minute); !d.Known() || d.Leaving() == 0 || d.Leaving() > 0.051 {
		t.Errorf("destination unknown: %+v", d)
	}
}

// TestChooseFollowsShares guards against a share that is not the share of the requests.
func TestChooseFollowsShares(t *testing.T) {
	d := localizer.Decision{Shares: []localizer.Share{{DataCentre: "a", Part: 0.2}, {DataCentre: "b", Part: 0.1}}, Reason: localizer.LongWait}
	counts := map[identifier.DataCentre]int{}
	const turns = 10_000
	for turn := range uint64(turns) {
		destination, _ := d.Choose(localizer.Spread(turn))
		counts[destination]++
	}
	if a, b := float64(counts["a"])/turns, float64(counts["b"])/turns; math.Abs(a-0.2) > 0.01 || math.Abs(b-0.1) > 0.01 {
		t.Errorf("%v", counts)
	}
}

// TestReportOfChanges guards against a log line for each small change of a share.
func TestReportOfChanges(t *testing.T) {
	var report localizer.Report
	var got []localizer.Change
	for _, part := range []float64{0, 0.001, 0.02, 0.2, 0.3, 0.6, 0.4, 0, 0} {
		d := localizer.Decision{Shares: []localizer.Share{{Part: part}}}
		if change := report.Update(&d); change != localizer.Unchanged {
			got = append(got, change)
		}
	}
	want := []localizer.Change{localizer.Began, localizer.ChangedMuch, localizer.ChangedMuch, localizer.Ended}
	if len(got) != len(want) {
		t.Fatalf("%v", got)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("%v", got)
		}
	}
}

// evidenceLag is how old the waits are that nodes of a filling see. An answer shows the wait that
// was there when its request was sent, and averages are over 2 s.
const evidenceLag = 1500 * time.Millisecond

// filling is many nodes of three data centres that share servers by their own decisions. Waits
// follow from what arrives and what the servers of a data centre can do.
type filling struct {
	// earlier has the waits of each step of the last evidenceLag.
	earlier                   [][3]time.Duration
	capacity, demand, backlog [3]float64
	nodes                     [][]localizer.Decision
	random                    *rand.Rand
}

var fillingNames = [...]identifier.DataCentre{"a", "b", "c"}

func newFilling(nodes int, capacity, demand [3]float64) *filling {
	f := &filling{capacity: capacity, demand: demand, random: rand.New(rand.NewPCG(1, 2))}
	for range fillingNames {
		f.nodes = append(f.nodes, make([]localizer.Decision, nodes))
	}
	return f
}

// advance plays a second and returns the share that leaves each data centre.
func (f *filling) advance() (leaving [3]float64) {
	for range int(time.Second / step) {
		var arrivals [3]float64
		var waits [3]time.Duration
		for i := range waits {
			waits[i] = time.Duration(f.backlog[i] / f.capacity[i] * float64(time.Second))
		}
		f.earlier = append(f.earlier, waits)
		if len(f.earlier) > int(evidenceLag/step) {
			f.earlier = f.earlier[1:]
		}
		waits = f.earlier[0]
		for home, nodes := range f.nodes {
			leaving[home] = 0
			for n := range nodes {
				in := localizer.Input{Bytes: bytesOfRequest, Price: pricePerGB, Pace: slow}
				for i, name := range fillingNames {
					site := siteOf(name, time.Duration(float64(waits[i])*(0.8+0.4*f.random.Float64())))
					if i == home {
						in.Home = &site
					} else {
						in.Others = append(in.Others, site)
					}
				}
				nodes[n] = nodes[n].Next(step, in)
				part := f.demand[home] * step.Seconds() / float64(len(nodes))
				arrivals[home] += part * (1 - nodes[n].Leaving())
				for _, s := range nodes[n].Shares {
					arrivals[int(s.DataCentre[0]-'a')] += part * s.Part
				}
				leaving[home] += nodes[n].Leaving() / float64(len(nodes))
			}
		}
		for i := range f.backlog {
			f.backlog[i] = max(0, f.backlog[i]+arrivals[i]-f.capacity[i]*step.Seconds())
		}
	}
	return leaving
}

// TestBurstInOneDataCentre guards against a wait that grows without bound where a data centre's
// own servers are too few while others have room, and against a share that stays afterwards.
func TestBurstInOneDataCentre(t *testing.T) {
	f := newFilling(30, [3]float64{100, 100, 100}, [3]float64{160, 40, 40})
	for range 30 {
		f.advance()
	}
	leaving := f.advance()
	if leaving[0] < 0.3 || leaving[0] > 0.6 || leaving[1]+leaving[2] > 0 || f.backlog[0] > 100 {
		t.Errorf("burst: leaving %.3f, backlog %.1f", leaving, f.backlog)
	}
	f.demand = [3]float64{40, 40, 40}
	for range 12 {
		leaving = f.advance()
	}
	if leaving != [3]float64{} {
		t.Errorf("afterwards: %.3f", leaving)
	}
}

// TestDemandMoves guards against a share that goes on to a data centre which now needs its
// servers itself.
func TestDemandMoves(t *testing.T) {
	f := newFilling(30, [3]float64{100, 100, 100}, [3]float64{150, 50, 50})
	for turn := range 3 {
		f.demand = [3]float64{50, 50, 50}
		f.demand[turn] = 150
		var leaving [3]float64
		for range 20 {
			leaving = f.advance()
		}
		for i, share := range leaving {
			if (share > 0.1) != (i == turn) {
				t.Errorf("turn %d: leaving %.3f, backlog %.1f", turn, leaving, f.backlog)
			}
		}
	}
}

// TestDestinationFillsUp guards against a stampede: many nodes with the same evidence all send
// to a small destination until its wait is longer than the one at home, or go to and fro.
func TestDestinationFillsUp(t *testing.T) {
	f := newFilling(100, [3]float64{200, 40, 200}, [3]float64{260, 20, 100})
	var highest, late [3]float64
	for second := range 60 {
		f.advance()
		for i := range highest {
			wait := f.backlog[i] / f.capacity[i]
			highest[i] = max(highest[i], wait)
			if second >= 30 {
				late[i] = max(late[i], wait)
			}
		}
	}
	if highest[0] > 1 || highest[1] > 1.5 || late[0] > 0.6 || late[1] > 0.6 {
		t.Errorf("longest waits %.2f s, after 30 s %.2f s", highest, late)
	}
}
