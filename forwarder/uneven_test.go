package forwarder

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/localizer"
	"github.com/foxtailspool/foxtailspool/logger"
)

// unevenLoad is the load of a plain service of six servers behind the nodes of three data
// centres: demand swings in each data centre, comes in bursts, and servers are slow for a while.
type unevenLoad struct {
	nodes int
	// rate is the mean number of requests a second, and burst its multiple for 6 s of 30 s.
	rate, burst float64
	// slowShare is the share of the time for which each server takes loadSlowFactor as long.
	slowShare float64
	// blind hides answer times from the nodes.
	blind bool
	// burstsIn is the only data centre that has bursts, counted from one; zero means all.
	burstsIn int
	// emptyCentre is a data centre without servers, counted from one; zero means none.
	emptyCentre int
	// price is the price of bytes between data centres; nil means none.
	price *localizer.Price
}

const (
	loadServers    = 6
	loadCentres    = 3
	loadSlots      = 6
	loadQueue      = 24
	loadRunTime    = 60 * time.Millisecond
	loadSlowFactor = 2.5
	loadSlowFor    = 8 * time.Second
	loadTarget     = 300 * time.Millisecond
	loadSwing      = 0.55
	loadLength     = 2 * time.Minute
	loadMaxSends   = 3
	loadSeeds      = 3
	loadBytes      = 20_000
)

// loadResult counts the requests of a load by what became of them.
type loadResult struct {
	requests, late, declined, failed, remote float64
	// calmRemote counts the sends to another data centre from 12 s after a burst until the next.
	calmRemote float64
	// chosen counts the sends by server, and slow those to a slow server.
	chosen map[identifier.Member]int
	slow   float64
}

// loadDay plays an unevenLoad in simulated time.
type loadDay struct {
	unevenLoad
	// world draws demand and slow servers, and choices what depends on the nodes, so that two
	// days of one seed differ only in what the nodes do.
	world, choices *rand.Rand
	began, now     time.Time
	servers        []*loadServer
	nodeList       []*loadNode
	events         loadEvents
	result         loadResult
}

type loadNode struct {
	balancer   *balancer
	dataCentre identifier.DataCentre
}

type loadServer struct {
	backend Backend
	running int
	waiting []*loadRequest
	slow    bool
}

type loadRequest struct {
	node            *loadNode
	arrived, sentAt time.Time
	tried           []identifier.Member
}

type loadEvent struct {
	at  time.Time
	run func()
}

// loadEvents is a heap of events by time.
type loadEvents []loadEvent

func (e loadEvents) Len() int           { return len(e) }
func (e loadEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e loadEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *loadEvents) Push(x any)        { *e = append(*e, x.(loadEvent)) }
func (e *loadEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newLoadDay(load unevenLoad, seed uint64) *loadDay {
	d := &loadDay{unevenLoad: load, world: rand.New(rand.NewPCG(seed, 1)), choices: rand.New(rand.NewPCG(seed, 2))}
	d.began = time.Unix(1000, 0)
	d.now = d.began
	d.result.chosen = map[identifier.Member]int{}
	centre := func(i int) identifier.DataCentre { return identifier.DataCentre(fmt.Sprintf("dc%d", i%loadCentres)) }
	for i := range loadServers {
		d.servers = append(d.servers, &loadServer{backend: Backend{
			Name: identifier.Member(fmt.Sprintf("desk-%d", i)), Pool: "desk", Role: identifier.Service, DataCentre: centre(i), Started: d.now,
		}})
		if load.emptyCentre == i%loadCentres+1 {
			d.servers[i].backend.DataCentre = centre(i + 1)
		}
	}
	for i := range load.nodes {
		b := newBalancer(unlimited{}, tally.NoopScope)
		if load.price != nil {
			b.locality = newLocality(*load.price, logger.Discard(), tally.NoopScope)
		}
		d.nodeList = append(d.nodeList, &loadNode{balancer: b, dataCentre: centre(i)})
	}
	return d
}

func (d *loadDay) after(wait time.Duration, run func()) {
	heap.Push(&d.events, loadEvent{d.now.Add(wait), run})
}

func (d *loadDay) run() loadResult {
	for _, s := range d.servers {
		d.setSlow(s, d.world.Float64() < d.slowShare)
	}
	for i := range loadCentres {
		d.arrive(i)
	}
	for end := d.began.Add(loadLength); d.now.Before(end); {
		next, _ := heap.Pop(&d.events).(loadEvent)
		d.now = next.at
		next.run()
	}
	return d.result
}

func (d *loadDay) setSlow(s *loadServer, slow bool) {
	s.slow = slow
	if d.slowShare == 0 {
		return
	}
	mean := loadSlowFor.Seconds()
	if !slow {
		mean *= (1 - d.slowShare) / d.slowShare
	}
	d.after(time.Duration(mean*d.world.ExpFloat64()*float64(time.Second)), func() { d.setSlow(s, !slow) })
}

// arrive has a request arrive in a data centre, and the next one later.
func (d *loadDay) arrive(centre int) {
	seconds := d.now.Sub(d.began).Seconds()
	rate := d.rate / loadCentres * (1 + loadSwing*math.Sin(2*math.Pi*(seconds/60+float64(centre)/loadCentres)))
	if math.Mod(seconds, 30) > 24 && (d.burstsIn == 0 || d.burstsIn == centre+1) {
		rate *= d.burst
	}
	d.after(time.Duration(d.world.ExpFloat64()/rate*float64(time.Second)), func() { d.arrive(centre) })
	at := d.world.IntN((d.nodes+loadCentres-1-centre)/loadCentres)*loadCentres + centre
	d.result.requests++
	d.send(&loadRequest{node: d.nodeList[at], arrived: d.now})
}

func (d *loadDay) backends() []Backend {
	list := make([]Backend, 0, loadServers)
	for _, s := range d.servers {
		list = append(list, s.backend)
	}
	return list
}

func (d *loadDay) send(r *loadRequest) {
	n := r.node
	backend, ok := n.balancer.pick(d.now, d.backends(), r.tried, n.dataCentre, d.choices.Uint64())
	if !ok || len(r.tried) == loadMaxSends {
		d.result.failed++
		return
	}
	r.tried, r.sentAt = append(r.tried, backend.Name), d.now
	n.balancer.countSent(backend)
	s := d.servers[slices.IndexFunc(d.servers, func(s *loadServer) bool { return s.backend.Name == backend.Name })]
	d.result.chosen[backend.Name]++
	if backend.DataCentre != n.dataCentre {
		d.result.remote++
		if seconds := d.now.Sub(d.began).Seconds(); seconds > 12 && math.Mod(seconds, 30) > 12 && math.Mod(seconds, 30) < 24 {
			d.result.calmRemote++
		}
	}
	if s.slow {
		d.result.slow++
	}
	switch {
	case s.running < loadSlots:
		d.start(s, r)
	case len(s.waiting) < loadQueue:
		s.waiting = append(s.waiting, r)
	default:
		d.result.declined++
		n.balancer.recordResult(d.now, backend, d.seen(declined), time.Millisecond)
		d.send(r)
	}
}

// seen returns a result as the nodes see it; a blind node learns nothing of the time.
func (d *loadDay) seen(result sendResult) sendResult {
	if d.blind {
		return faulted
	}
	return result
}

func (d *loadDay) start(s *loadServer, r *loadRequest) {
	s.running++
	took := loadRunTime.Seconds() * (0.7 + 0.6*d.choices.Float64())
	if s.slow {
		took *= loadSlowFactor
	}
	d.after(time.Duration(took*float64(time.Second)), func() {
		s.running--
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			d.start(s, next)
		}
		r.node.balancer.recordResult(d.now, s.backend, d.seen(answered), d.now.Sub(r.sentAt))
		r.node.balancer.recordBytes(s.backend, r.node.dataCentre, loadBytes)
		if d.now.Sub(r.arrived) > loadTarget {
			d.result.late++
		}
	})
}

// play plays a load with several seeds and returns the sums.
func (l unevenLoad) play(t *testing.T) loadResult {
	t.Helper()
	results := make([]loadResult, loadSeeds)
	var group sync.WaitGroup
	for seed := range results {
		group.Go(func() { results[seed] = newLoadDay(l, uint64(seed)).run() })
	}
	group.Wait()
	sum := loadResult{chosen: map[identifier.Member]int{}}
	for _, r := range results {
		sum.requests += r.requests
		sum.late += r.late
		sum.declined += r.declined
		sum.failed += r.failed
		sum.remote += r.remote
		sum.calmRemote += r.calmRemote
		sum.slow += r.slow
		for name, count := range r.chosen {
			sum.chosen[name] += count
		}
	}
	t.Logf("%+v: %.0f requests, late %.4f, declined %.4f, failed %.4f, to another data centre %.3f (calm %.3f), to slow servers %.3f",
		l, sum.requests, sum.late/sum.requests, sum.declined/sum.requests, sum.failed/sum.requests, sum.remote/sum.requests, sum.calmRemote/sum.requests, sum.slow/sum.requests)
	return sum
}

// TestUnevenServers guards against late and declined requests at servers that are slow for a
// while, when each of many nodes sends a server a request in two seconds.
func TestUnevenServers(t *testing.T) {
	for _, nodes := range []int{12, 82, 350} {
		load := unevenLoad{nodes: nodes, rate: 207, burst: 2.1, slowShare: 0.15}
		got := load.play(t)
		load.blind = true
		blind := load.play(t)
		if got.late > 0.9*blind.late || nodes >= 82 && got.late > 0.5*blind.late || got.declined > blind.declined {
			t.Errorf("%d nodes: %.0f late and %.0f declined, %.0f and %.0f without evidence", nodes, got.late, got.declined, blind.late, blind.declined)
		}
	}
}

// TestEvenServersAreUsedAlike guards against a stampede to the server that looks best, and
// against traffic between data centres, where all servers are equally quick.
func TestEvenServersAreUsedAlike(t *testing.T) {
	got := unevenLoad{nodes: 82, rate: 207, burst: 1}.play(t)
	if got.late+got.declined+got.failed > 0 || got.remote > 0.03*got.requests {
		t.Errorf("%+v", got)
	}
	for name, count := range got.chosen {
		if share := float64(count) / got.requests * loadServers; share < 0.9 || share > 1.1 {
			t.Errorf("%s gets %.2f of an equal share", name, share)
		}
	}
}
