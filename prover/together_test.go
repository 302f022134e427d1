package prover

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// stormLength is how long faults strike, and stormFaults how many do.
	stormLength = 40 * time.Second
	stormFaults = 25
	// stormLeast is the least number of reports, and of visits, served in a storm.
	stormLeast = 10
	// stormCallers is the number of callers of each kind.
	stormCallers = 6
	// stormSeeds is the number of storms that run; MATRIX_SEEDS gives another range,
	// "from-to".
	stormSeeds = 24
)

// storm is a time of faults that strike one after the other, chosen by a seed.
type storm struct {
	f      *fleet
	random *rand.Rand
	// crashes counts the crashes of engines. After two of them a request may be
	// held as poison.
	crashes int
	// struck names the faults in their order, for a failing run.
	struck []string
	// reports and visits count the whole answers and the bookings executed.
	reports, visits atomic.Int64
}

// stormKinds are the faults of a storm. Each heals by itself.
var stormKinds = []struct {
	name   string
	strike func(s *storm)
}{
	{"node-killed", func(s *storm) { s.replace(func(n *node) { s.f.kill(n.name) }) }},
	{"node-leaves", func(s *storm) { s.replace(func(n *node) { n.gone.Store(true); n.stop() }) }},
	{"node-paused", func(s *storm) { s.f.freeze(s.someNode(), s.span()) }},
	{"nodes-cut-off", func(s *storm) { s.f.cutFor(s.someNode().host, s.someNode().host, s.span()) }},
	{"engine-cut-off", func(s *storm) { s.f.cutFor(s.someNode().host, s.someEngine(), s.span()) }},
	{"store-cut-off", func(s *storm) { s.f.cutFor(s.someNode().host, platformHost, s.span()) }},
	{"connections-silent", func(s *storm) {
		hosts := s.f.hosts()
		s.f.network.Silence(s.someNode().host, hosts[s.random.IntN(len(hosts))])
	}},
	{"engine-crash", func(s *storm) {
		s.crashes++
		s.f.crashWhere([]identifier.Role{identifier.Prefill, identifier.Decode}[s.random.IntN(2)])
	}},
	{"transfer-stalls", func(s *storm) { s.f.holding(identifier.Decode).StallImports(1) }},
	{"service-answer-lost", func(s *storm) { s.f.services["desk-1"].LoseAnswers(1) }},
	{"store-faults", func(s *storm) { s.f.outage(storeFaults[s.random.IntN(len(storeFaults))]) }},
	{"edit", func(s *storm) {
		s.f.pools.Pools[0].QueueLimit++
		s.f.putTables()
	}},
}

var storeFaults = []emulator.PlatformFaults{
	{Down: emulator.DownHanging},
	{Down: emulator.DownRefusing},
	{Down: emulator.DownCutting},
	{Slow: seconds(1)},
	{LoseAnswers: 3},
	{LateAnswers: 3, Late: seconds(6)},
	{Stale: true},
	{Watches: emulator.WatchesSilent},
	{Watches: emulator.WatchesLapse},
}

// TestFaultsTogether lets faults strike at any moment, together and twice, while
// callers of all kinds insist, and checks the promises afterwards.
func TestFaultsTogether(t *testing.T) {
	from, to := 1, stormSeeds
	if text := os.Getenv("MATRIX_SEEDS"); text != "" {
		if _, err := fmt.Sscanf(text, "%d-%d", &from, &to); err != nil {
			t.Fatal(err)
		}
	}
	for seed := from; seed <= to; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			size := shape{nodes: 4, prefills: 2, decodes: 3, services: 2, differing: seed%2 == 0}
			run(t, size, func(t *testing.T, f *fleet) { weather(t, f, uint64(seed)) })
		})
	}
}

// weather lives through one storm.
func weather(t *testing.T, f *fleet, seed uint64) {
	s := &storm{f: f, random: rand.New(rand.NewPCG(seed, seed))}
	var callers sync.WaitGroup
	for i := range stormCallers {
		order := s.random.Perm(4)
		random := rand.New(rand.NewPCG(seed, uint64(i)+100))
		callers.Go(func() { s.readReports(t, i, order, random) })
		callers.Go(func() { s.bookVisits(t, i, order, random) })
	}
	for range stormFaults {
		time.Sleep(time.Duration(s.random.Int64N(int64(2 * stormLength / stormFaults))))
		kind := stormKinds[s.random.IntN(len(stormKinds))]
		s.struck = append(s.struck, kind.name)
		kind.strike(s)
	}
	callers.Wait()
	f.freed(t)
	f.waitFor("one configuration everywhere", f.agree)
	// A storm in which nothing is served proves nothing.
	if s.reports.Load() < stormLeast || s.visits.Load() < stormLeast {
		t.Errorf("%d reports and %d visits in the storm", s.reports.Load(), s.visits.Load())
	}
	if t.Failed() {
		t.Logf("struck in order: %v", s.struck)
	}
}

// agree tells whether every running node has the same configuration in force.
func (f *fleet) agree() bool {
	var numbers []identifier.Configuration
	for _, n := range f.running() {
		numbers = append(numbers, n.server.Configuration())
	}
	for _, number := range numbers {
		if number == 0 || number != numbers[0] {
			return false
		}
	}
	return true
}

// span is how long a fault lasts.
func (s *storm) span() time.Duration {
	return time.Second + time.Duration(s.random.Int64N(int64(12*time.Second)))
}

func (s *storm) someNode() *node {
	nodes := s.f.running()
	return nodes[s.random.IntN(len(nodes))]
}

func (s *storm) someEngine() string {
	hosts := append(s.f.engineHosts(identifier.Prefill), s.f.engineHosts(identifier.Decode)...)
	return hosts[s.random.IntN(len(hosts))]
}

// replace ends a node's process and starts another some time later, unless it is
// the last one.
func (s *storm) replace(end func(n *node)) {
	if len(s.f.running()) < 2 {
		return
	}
	n := s.someNode()
	end(n)
	s.f.after(s.span(), func() {
		if n.gone.Load() && s.f.node(n.name) == n {
			s.f.network.Kill(n.host)
			s.f.startNode(n.name)
		}
	})
}

// readReports asks for reports one after the other until the storm is over, each
// with insistence.
func (s *storm) readReports(t *testing.T, caller int, order []int, random *rand.Rand) {
	end := time.Now().Add(stormLength)
	for number := 0; time.Now().Before(end); number++ {
		time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
		id := fmt.Sprintf("report-%d-%d", caller, number)
		request := completion{id: id, prompt: longPrompt + id, tokens: 20 + random.IntN(80)}
		s.checkReport(t, request, s.insist(t.Context(), request, order))
	}
}

// stormInsistence is for how long a caller comes back for an answer.
const stormInsistence = 3 * time.Minute

// insist comes back through one node after the other until the answer is whole or
// its caller is told not to.
func (s *storm) insist(ctx context.Context, request completion, order []int) answer {
	end := time.Now().Add(stormInsistence)
	r := &trial{f: s.f}
	var got answer
	for turn := 0; !got.whole && !final(got) && time.Now().Before(end); turn++ {
		request.after = len(got.tokens)
		request.resent = turn > 0
		part := r.listen(ctx, s.f.node(fmt.Sprintf("node-%d", order[turn%len(order)]+1)), request)
		part.tokens = append(got.tokens, part.tokens...)
		got = part
		if !got.whole {
			time.Sleep(500 * time.Millisecond)
		}
	}
	return got
}

// final tells whether a refusal asks its caller not to come back.
func final(got answer) bool {
	return got.reason == "quarantined" || got.reason == "stream-lost"
}

// checkReport checks that each token was generated after just the text before it,
// and that the answer is whole unless its caller was told why it cannot be.
func (s *storm) checkReport(t *testing.T, request completion, got answer) {
	text := request.prompt
	for i, token := range got.tokens {
		if !s.f.generates(text, token) {
			t.Errorf("%s: token %d does not follow from the text before it on any engine", request.id, i+1)
			break
		}
		text += token
	}
	switch {
	case got.whole && len(got.tokens) == request.tokens:
		s.reports.Add(1)
	case got.reason == "quarantined" && s.crashes >= 2:
	case got.reason == "stream-lost" && s.f.differing:
	default:
		t.Errorf("%s: got %d of %d tokens, %q %q, %v", request.id, len(got.tokens), request.tokens, got.outcome, got.reason, got.err)
	}
}

// bookVisits books visits one after the other until the storm is over. A caller
// sends again through other nodes until it has an answer, or gives up.
func (s *storm) bookVisits(t *testing.T, caller int, order []int, random *rand.Rand) {
	end := time.Now().Add(stormLength)
	for number := 0; time.Now().Before(end); number++ {
		time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
		b := &booking{f: s.f, key: newKey()}
		tries := 1 + random.IntN(8)
		answered := false
		for try := 0; try < tries && !answered; try++ {
			b.send(t.Context(), s.f.node(fmt.Sprintf("node-%d", order[try%len(order)]+1)), try == 0)
			answered = b.answers[len(b.answers)-1].status == 200
			if !answered {
				time.Sleep(time.Duration(random.Int64N(int64(4 * time.Second))))
			}
		}
		visit := fmt.Sprintf("visit %d of caller %d", number, caller)
		s.f.after(time.Minute, func() { s.bookedOnce(t, b, visit) })
	}
	// The checks of the last visits come a minute later.
	time.Sleep(2 * time.Minute)
}

// bookedOnce checks one booking after all of its sendings: it was executed once
// at most, just once if it was answered, and not at all if callers were told only
// "not run".
func (s *storm) bookedOnce(t *testing.T, b *booking, visit string) {
	s.f.notRunHolds(t, b)
	count := s.f.executions(b.key)
	s.visits.Add(int64(count))
	if count > 1 {
		t.Errorf("%s: executed %d times", visit, count)
	}
	for _, got := range b.answers {
		if got.status == 200 && count != 1 {
			t.Errorf("%s: answered %q, and executed %d times", visit, got.body, count)
		}
	}
}
