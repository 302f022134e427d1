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
	// stormLength is how long callers send, and the mean time that all faults take.
	stormLength = 40 * time.Second
	// stormFaults is the number of faults.
	stormFaults = 25
	// minimumServed is the least number of reports, and of visits, served in a storm.
	minimumServed = 10
	// stormCallers is the number of callers of each kind.
	stormCallers = 6
	// stormSeeds is the number of storms; MATRIX_SEEDS sets another range of seeds
	// as "from-to".
	stormSeeds = 24
)

// storm is a sequence of random faults, determined by a seed.
type storm struct {
	f      *fleet
	random *rand.Rand
	// crashes counts the engine crashes. After two, a request may be refused as
	// poison.
	crashes int
	// injected lists the names of the faults in order, logged when the test fails.
	injected []string
	// reports counts the whole answers, visits the executed bookings.
	reports, visits atomic.Int64
}

// stormFaultKinds are the faults of a storm. Each ends without further action.
var stormFaultKinds = []struct {
	name   string
	inject func(s *storm)
}{
	{"node-killed", func(s *storm) { s.replaceNode(func(n *node) { s.f.kill(n.name) }) }},
	{"node-leaves", func(s *storm) { s.replaceNode(func(n *node) { n.stopping.Store(true); n.stop() }) }},
	{"node-paused", func(s *storm) { s.f.freeze(s.randomNode(), s.randomDuration()) }},
	{"nodes-cut-off", func(s *storm) { s.f.cutFor(s.randomNode().host, s.randomNode().host, s.randomDuration()) }},
	{"engine-cut-off", func(s *storm) { s.f.cutFor(s.randomNode().host, s.randomEngineHost(), s.randomDuration()) }},
	{"store-cut-off", func(s *storm) { s.f.cutFor(s.randomNode().host, platformHost, s.randomDuration()) }},
	{"connections-silent", func(s *storm) {
		hosts := s.f.hosts()
		s.f.network.Silence(s.randomNode().host, hosts[s.random.IntN(len(hosts))])
	}},
	{"engine-crash", func(s *storm) {
		s.crashes++
		s.f.crashBusiestEngine([]identifier.Role{identifier.Prefill, identifier.Decode}[s.random.IntN(2)])
	}},
	{"transfer-stalls", func(s *storm) { s.f.busiestEngine(identifier.Decode).StallImports(1) }},
	{"service-answer-lost", func(s *storm) { s.f.services["desk-1"].LoseAnswers(1) }},
	{"store-faults", func(s *storm) { s.f.setStoreFaults(storeFaults[s.random.IntN(len(storeFaults))]) }},
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

// TestFaultsTogether injects random faults, also concurrently and repeatedly, while
// callers of all kinds retry, and checks the guarantees afterwards.
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
			runWithFleet(t, size, func(t *testing.T, f *fleet) { runStorm(t, f, uint64(seed)) })
		})
	}
}

// runStorm runs one storm and checks the guarantees.
func runStorm(t *testing.T, f *fleet, seed uint64) {
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
		kind := stormFaultKinds[s.random.IntN(len(stormFaultKinds))]
		s.injected = append(s.injected, kind.name)
		kind.inject(s)
	}
	callers.Wait()
	f.checkMemoryFreed(t)
	f.waitFor("one configuration everywhere", f.sameConfiguration)
	// Without served requests the checks above would be vacuous.
	if s.reports.Load() < minimumServed || s.visits.Load() < minimumServed {
		t.Errorf("%d reports and %d visits in the storm", s.reports.Load(), s.visits.Load())
	}
	if t.Failed() {
		t.Logf("faults in order: %v", s.injected)
	}
}

// sameConfiguration reports whether all running nodes have the same configuration.
func (f *fleet) sameConfiguration() bool {
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

// randomDuration returns the duration of a fault, from 1 s to 13 s.
func (s *storm) randomDuration() time.Duration {
	return time.Second + time.Duration(s.random.Int64N(int64(12*time.Second)))
}

func (s *storm) randomNode() *node {
	nodes := s.f.running()
	return nodes[s.random.IntN(len(nodes))]
}

func (s *storm) randomEngineHost() string {
	hosts := append(s.f.engineHosts(identifier.Prefill), s.f.engineHosts(identifier.Decode)...)
	return hosts[s.random.IntN(len(hosts))]
}

// replaceNode stops a node with end and starts a new process for it later. It does
// nothing if only one node runs.
func (s *storm) replaceNode(end func(n *node)) {
	if len(s.f.running()) < 2 {
		return
	}
	n := s.randomNode()
	end(n)
	s.f.runAfter(s.randomDuration(), func() {
		if n.stopping.Load() && s.f.node(n.name) == n {
			s.f.network.Kill(n.host)
			s.f.startNode(n.name)
		}
	})
}

// readReports requests reports in sequence until the storm is over, and retries
// each one.
func (s *storm) readReports(t *testing.T, caller int, order []int, random *rand.Rand) {
	end := time.Now().Add(stormLength)
	for number := 0; time.Now().Before(end); number++ {
		time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
		id := fmt.Sprintf("report-%d-%d", caller, number)
		request := completion{id: id, prompt: longPrompt + id, tokens: 20 + random.IntN(80)}
		s.checkReport(t, request, s.retry(t.Context(), request, order))
	}
}

// stormRetryTimeout is how long a caller retries a request.
const stormRetryTimeout = 3 * time.Minute

// retry sends attempts through the nodes in turn until the answer is whole, a refusal
// is final or stormRetryTimeout has passed.
func (s *storm) retry(ctx context.Context, request completion, order []int) answer {
	end := time.Now().Add(stormRetryTimeout)
	r := &modelRequest{f: s.f}
	var got answer
	for turn := 0; !got.whole && !isFinal(got) && time.Now().Before(end); turn++ {
		request.receivedTokens = len(got.tokens)
		request.resent = turn > 0
		part := r.sendAttempt(ctx, s.f.node(fmt.Sprintf("node-%d", order[turn%len(order)]+1)), request)
		part.tokens = append(got.tokens, part.tokens...)
		got = part
		if !got.whole {
			time.Sleep(500 * time.Millisecond)
		}
	}
	return got
}

// isFinal reports whether a refusal tells the caller not to retry.
func isFinal(got answer) bool {
	return got.reason == "quarantined" || got.reason == "stream-lost"
}

// checkReport checks that an engine generated each token after exactly the text before
// it, and that the answer is whole unless a refusal gave an allowed reason.
func (s *storm) checkReport(t *testing.T, request completion, got answer) {
	text := request.prompt
	for i, token := range got.tokens {
		if !s.f.canGenerate(text, token) {
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

// bookVisits books visits in sequence until the storm is over. Each booking is resent
// through other nodes until it is answered or a random number of attempts is used up.
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
		s.f.runAfter(time.Minute, func() { s.checkBooking(t, b, visit) })
	}
	// Waits for the checks of the last visits, which run a minute after them.
	time.Sleep(2 * time.Minute)
}

// checkBooking checks a booking after its last attempt: it was executed at most once,
// exactly once if it was answered, and never if every response was "not run".
func (s *storm) checkBooking(t *testing.T, b *booking, visit string) {
	s.f.checkNotRun(t, b)
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
