package placer

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// The load of the scarcity tests: prompts and outputs as in forecast_test.go. A caller whose
// request was refused returns after the named time, but at the latest after a third of the
// time that it has left.
const (
	scarceReturnPart = 3
	// scarceLeastLeft is the time left below which a caller doesn't return, as a run takes longer.
	scarceLeastLeft = 2 * time.Second
	scarceEvent     = 10 * time.Millisecond
	// A node gives up a prefill after these times, the second for a request past its target.
	scarcePrefillTimeout     = 480 * time.Millisecond
	scarceLatePrefillTimeout = 2 * time.Second
	// scarceLateWorth is the worth of a late stream to its caller.
	scarceLateWorth = 1.0 / 12
)

// scarceAccount is one account's load: rate requests a second, times the factor in the burst.
type scarceAccount struct {
	name   identifier.Account
	rate   float64
	factor float64
}

// scarceLoad is a scenario. All accounts burst at the same time.
type scarceLoad struct {
	name              string
	prefills, decodes int
	speeds            []float64
	accounts          []scarceAccount
	burstAt, burstEnd time.Duration
	length            time.Duration
	// patience is how long a caller waits for its complete answer, returns included.
	patience time.Duration
	// slowPart of the engines is slowFactor times as slow from slowAt to slowEnd.
	slowPart, slowFactor float64
	slowAt, slowEnd      time.Duration
}

// scarceCounts are the outcomes of requests.
type scarceCounts struct {
	sent, onTime, late, unserved int
	// refused requests were refused at least once, refusedAgain at least twice.
	refused, refusedAgain int
	refusals              int
	// largest and largestServed count the largest tenth of the prompts.
	largest, largestServed int
}

func (c *scarceCounts) add(other scarceCounts) {
	c.sent += other.sent
	c.onTime += other.onTime
	c.late += other.late
	c.unserved += other.unserved
	c.refused += other.refused
	c.refusedAgain += other.refusedAgain
	c.refusals += other.refusals
	c.largest += other.largest
	c.largestServed += other.largestServed
}

func (c scarceCounts) onTimeShare() float64 {
	return float64(c.onTime) / float64(max(1, c.sent))
}

func (c scarceCounts) servedShare() float64 {
	return float64(c.onTime+c.late) / float64(max(1, c.sent))
}

func (c scarceCounts) worth() float64 {
	return (float64(c.onTime) + scarceLateWorth*float64(c.late)) / float64(max(1, c.sent))
}

func (c scarceCounts) String() string {
	return fmt.Sprintf("sent %d, on time %.3f, late %.3f, unserved %.3f, refused %.3f, again %.3f, refusals %d, worth %.3f, largest served %.3f",
		c.sent, c.onTimeShare(), float64(c.late)/float64(max(1, c.sent)), float64(c.unserved)/float64(max(1, c.sent)),
		float64(c.refused)/float64(max(1, c.sent)), float64(c.refusedAgain)/float64(max(1, c.sent)), c.refusals, c.worth(),
		float64(c.largestServed)/float64(max(1, c.largest)))
}

// scarceRequest is a caller's request over all its sends.
type scarceRequest struct {
	account        identifier.Account
	prompt, output float64
	hint           identifier.Tokens
	key            uint64
	arrivedAt      time.Time
	refusals       int
	generated      float64
	startsAt       time.Time
	prefillTime    time.Duration
	decode         identifier.Member
	grant          identifier.Grant
	avoid          []identifier.Member
	// sentAt is when the caller last sent the request.
	sentAt time.Time
}

// scarceReturn is a caller that returns after a refusal, or a node that gives a prefill up and asks
// for another engine.
type scarceReturn struct {
	at      time.Time
	request *scarceRequest
	// failed is the engine that the node gives up with the request's grant.
	failed identifier.Member
}

type scarceReturns []scarceReturn

func (h scarceReturns) Len() int           { return len(h) }
func (h scarceReturns) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h scarceReturns) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *scarceReturns) Push(x any) {
	r, _ := x.(scarceReturn)
	*h = append(*h, r)
}

func (h *scarceReturns) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// scarcePool drives a placer with the callers of one scenario.
type scarcePool struct {
	load      scarceLoad
	random    *rand.Rand
	placer    *Placer
	engines   []Engine
	speed     map[identifier.Member]float64
	slow      map[identifier.Member]bool
	start     time.Time
	now       time.Time
	submitted int
	waiting   map[identifier.Request]*scarceRequest
	// running is in the order of the grants.
	running      []*scarceRequest
	readingUntil map[identifier.Member]time.Time
	returns      scarceReturns
	byAccount    map[identifier.Account]*scarceCounts
	// bySecond counts the returns that were promised for each second since start.
	bySecond        map[int]int
	prefillTimeouts int
	// reasons counts refusals by reason and blocker; withRoom counts those of demands that
	// were refused while the lowest forecast peak use was below half.
	reasons  map[string]int
	withRoom int
	// peaks samples the pool's memory in use.
	peaks []float64
}

func newScarcePool(load scarceLoad, seed uint64) *scarcePool {
	s := &scarcePool{
		load: load, random: rand.New(rand.NewPCG(seed, 2)), start: time.Unix(1000, 0), now: time.Unix(1000, 0),
		speed: map[identifier.Member]float64{}, slow: map[identifier.Member]bool{},
		waiting: map[identifier.Request]*scarceRequest{}, readingUntil: map[identifier.Member]time.Time{},
		byAccount: map[identifier.Account]*scarceCounts{}, bySecond: map[int]int{}, reasons: map[string]int{},
	}
	speeds := load.speeds
	if len(speeds) == 0 {
		speeds = []float64{1}
	}
	add := func(name string, n int, role identifier.Role) {
		member := identifier.Member(fmt.Sprintf("%s%02d", name, n))
		s.speed[member] = speeds[n%len(speeds)]
		s.slow[member] = s.random.Float64() < load.slowPart
		s.engines = append(s.engines, Engine{Member: member, Role: role, Pieces: simEngineTokens / simPieceTokens, PrefillRate: 50_000, LinkRate: 1e12, Slots: 32})
	}
	for n := range load.prefills {
		add("p", n, identifier.Prefill)
	}
	for n := range load.decodes {
		add("d", n, identifier.Decode)
	}
	settings := Settings{
		Issuer: "t", PieceTokens: simPieceTokens, UseForecast: true, LesserShare: 0.02, Lease: time.Hour, RebuildTime: time.Nanosecond,
		LocalPrefillRatio: 0.5, TokensPerStreamEvent: 100, DisabledFeatures: Preemption,
	}
	s.placer = New(s.now, settings)
	s.placer.Configure(settings, s.engines)
	return s
}

// slowdown returns how many times the nominal time an engine takes now.
func (s *scarcePool) slowdown(member identifier.Member) float64 {
	factor := 1 / s.speed[member]
	if since := s.now.Sub(s.start); s.slow[member] && since >= s.load.slowAt && since < s.load.slowEnd {
		factor *= s.load.slowFactor
	}
	return factor
}

func (s *scarcePool) run() {
	s.stepTo(s.load.length + s.load.patience)
}

// stepTo runs the pool up to some time since its start.
func (s *scarcePool) stepTo(end time.Duration) {
	for s.now.Sub(s.start) < end {
		s.now = s.now.Add(scarceEvent)
		if s.now.Sub(s.start) < s.load.length {
			s.drawArrivals()
		}
		for len(s.returns) > 0 && !s.now.Before(s.returns[0].at) {
			due, _ := heap.Pop(&s.returns).(scarceReturn)
			if due.failed != "" {
				s.placer.Release(s.now, due.request.grant, Result{FailedMember: due.failed})
				due.request.avoid = append(due.request.avoid, due.failed)
			}
			s.submit(due.request)
		}
		s.generate()
		s.placer.Advance(s.now)
		s.applyDecisions()
	}
}

func (s *scarcePool) drawArrivals() {
	since := s.now.Sub(s.start)
	for _, account := range s.load.accounts {
		rate := account.rate
		if since >= s.load.burstAt && since < s.load.burstEnd {
			rate *= account.factor
		}
		for expected := rate * scarceEvent.Seconds(); s.random.Float64() < expected; expected-- {
			output := min(9000, s.drawLength(simMeanOutput))
			s.submit(&scarceRequest{
				account: account.name, prompt: s.drawLength(simMeanPrompt), output: output, hint: identifier.Tokens(s.drawLength(output)),
				key: s.random.Uint64() | 1, arrivedAt: s.now, sentAt: s.now,
			})
		}
	}
}

func (s *scarcePool) drawLength(mean float64) float64 {
	return mean * math.Exp(s.random.NormFloat64()*simLogSpread-simLogSpread*simLogSpread/2)
}

func (s *scarcePool) timeLeft(r *scarceRequest) time.Duration {
	return r.arrivedAt.Add(s.load.patience).Sub(s.now)
}

func (s *scarcePool) submit(r *scarceRequest) {
	s.submitted++
	id := identifier.Request(fmt.Sprint(s.submitted))
	s.waiting[id] = r
	budget := simFirstTokenTarget - s.now.Sub(r.sentAt)
	s.placer.Submit(s.now, Demand{
		Request: id, Attempt: 1, Account: r.account, Node: "n", Prompt: identifier.Tokens(r.prompt), MaxOutput: 9000,
		OutputHint: r.hint, FirstTokenBudget: max(100*time.Millisecond, budget), TargetMissed: budget <= 0, Avoid: r.avoid, QueueTimeout: simQueueTimeout, MaxTokenInterval: 300 * time.Millisecond, NoResume: true,
		RetryKey: r.key, TimeLeft: s.timeLeft(r),
	})
}

func (s *scarcePool) countsOf(r *scarceRequest) *scarceCounts {
	counts := s.byAccount[r.account]
	if counts == nil {
		counts = &scarceCounts{}
		s.byAccount[r.account] = counts
	}
	return counts
}

// finish counts a request that has ended.
func (s *scarcePool) finish(r *scarceRequest, served bool) {
	counts := s.countsOf(r)
	counts.sent++
	large := r.prompt > simLargePrompt
	if large {
		counts.largest++
	}
	switch {
	case !served:
		counts.unserved++
	case r.startsAt.Sub(r.arrivedAt) <= simFirstTokenTarget:
		counts.onTime++
	default:
		counts.late++
	}
	if large && served {
		counts.largestServed++
	}
	if r.refusals > 0 {
		counts.refused++
	}
	if r.refusals > 1 {
		counts.refusedAgain++
	}
	counts.refusals += r.refusals
}

// simLargePrompt is the length that a tenth of the prompts exceeds.
var simLargePrompt = simMeanPrompt * math.Exp(1.2816*simLogSpread-simLogSpread*simLogSpread/2)

func (s *scarcePool) generate() {
	renews := s.now.UnixMilli()%1000 == 0
	s.running = slices.DeleteFunc(s.running, func(r *scarceRequest) bool {
		if s.now.Before(r.startsAt) || s.now.Before(s.readingUntil[r.decode]) {
			return false
		}
		r.generated += scarceEvent.Seconds() / simTokenTime.Seconds() / s.slowdown(r.decode)
		if r.generated >= r.output || s.timeLeft(r) <= 0 {
			s.placer.Release(s.now, r.grant, Result{Output: identifier.Tokens(r.generated), Prefilled: true, Decoded: true, PrefillTime: r.prefillTime})
			s.finish(r, r.generated >= r.output)
			return true
		}
		if renews {
			s.placer.Renew(s.now, HeldGrant{Grant: r.grant, Output: identifier.Tokens(r.generated), Decoding: true, PrefillTime: r.prefillTime}, false)
		}
		return false
	})
	if renews {
		used := 0.0
		for _, r := range s.running {
			used += r.prompt + r.generated
		}
		s.peaks = append(s.peaks, used/float64(s.load.decodes*simEngineTokens))
	}
}

func (s *scarcePool) applyDecisions() {
	decisions, _ := s.placer.TakeDecisions()
	for _, d := range decisions {
		r := s.waiting[d.Request]
		delete(s.waiting, d.Request)
		if placed := d.Outcome.Placement; placed != nil {
			s.startStream(r, placed)
			continue
		}
		s.applyRefusal(r, d.Outcome.Refusal)
	}
}

func (s *scarcePool) applyRefusal(r *scarceRequest, refusal *Refusal) {
	s.reasons[fmt.Sprintf("%s/%s", refusal.Reason, cmp.Or(refusal.Cause.BlockedBy, "at-once"))]++
	if refusal.Cause.LowestPeakUse < 0.5 {
		s.withRoom++
	}
	r.refusals++
	left := s.timeLeft(r)
	wait := min(refusal.RetryAfter, left/scarceReturnPart)
	if left-wait < scarceLeastLeft {
		s.finish(r, false)
		return
	}
	s.bySecond[int(s.now.Add(wait).Sub(s.start)/time.Second)]++
	r.avoid = nil
	r.sentAt = s.now.Add(wait)
	heap.Push(&s.returns, scarceReturn{at: r.sentAt, request: r})
}

func (s *scarcePool) startStream(r *scarceRequest, placed *Placement) {
	r.grant, r.decode = placed.Grant, placed.Decode
	if placed.Prefill == "" {
		r.startsAt = s.now.Add(timeAtRate(2*r.prompt*s.slowdown(placed.Decode), simPrefillRate))
		s.readingUntil[placed.Decode] = r.startsAt
	} else {
		begins := laterOf(s.now, s.readingUntil[placed.Prefill])
		ends := begins.Add(timeAtRate(r.prompt*s.slowdown(placed.Prefill), simPrefillRate))
		timeout := scarcePrefillTimeout
		if s.now.Sub(r.sentAt) >= simFirstTokenTarget {
			timeout = scarceLatePrefillTimeout
		}
		if ends.Sub(s.now) > timeout {
			s.prefillTimeouts++
			heap.Push(&s.returns, scarceReturn{at: s.now.Add(timeout), request: r, failed: placed.Prefill})
			return
		}
		s.readingUntil[placed.Prefill] = ends
		r.startsAt, r.prefillTime = ends.Add(simPrefillOverhead), ends.Sub(s.now)+prefillOverhead
	}
	s.running = append(s.running, r)
}

// total sums the counts of all accounts.
func (s *scarcePool) total() scarceCounts {
	var sum scarceCounts
	for _, counts := range s.byAccount {
		sum.add(*counts)
	}
	return sum
}

// others sums the counts of all accounts but one.
func (s *scarcePool) others(name identifier.Account) scarceCounts {
	var sum scarceCounts
	for account, counts := range s.byAccount {
		if account != name {
			sum.add(*counts)
		}
	}
	return sum
}

func (s *scarcePool) log(t *testing.T) {
	t.Helper()
	t.Logf("%s, all: %s", s.load.name, s.total())
	if hot := s.byAccount["hot"]; hot != nil {
		t.Logf("%s, hot: %s", s.load.name, *hot)
		t.Logf("%s, others: %s", s.load.name, s.others("hot"))
	}
	t.Logf("prefills given up %d, reasons %v, with room %d, returns %v, highest use %.2f", s.prefillTimeouts, s.reasons, s.withRoom, s.bySecond, slices.Max(s.peaks))
}

// The capacity of the pool that the loads are sized for, 18 decode and 6 prefill engines: with
// forecasts, it serves about 62 requests a second.
const scarceCapacity = 62.0

// hotAccountLoad: 16 accounts of unequal size, of which one sends seven times its usual load
// for eight seconds. Without it, the pool is 0.75 full.
func hotAccountLoad() scarceLoad {
	load := scarceLoad{name: "hot account", prefills: 6, decodes: 18, burstAt: 20 * time.Second, burstEnd: 28 * time.Second, length: 40 * time.Second, patience: 10 * time.Second}
	const usual = 0.75 * scarceCapacity
	sizes := 0.0
	for n := range 15 {
		sizes += 1 / float64(n+1)
	}
	for n := range 15 {
		load.accounts = append(load.accounts, scarceAccount{identifier.Account(fmt.Sprintf("a%02d", n)), 0.85 * usual / float64(n+1) / sizes, 1})
	}
	load.accounts = append(load.accounts, scarceAccount{"hot", 0.15 * usual, 7})
	return load
}

// returningLoad: 2.1 times the usual load for four seconds, whose refused callers return.
func returningLoad() scarceLoad {
	return scarceLoad{
		name: "burst whose callers return", prefills: 6, decodes: 18, burstAt: 20 * time.Second, burstEnd: 24 * time.Second, length: 40 * time.Second, patience: 10 * time.Second,
		accounts: []scarceAccount{{"", 0.8 * scarceCapacity, 2.1}},
	}
}

// unevenLoad: 44 engines of three speeds at 0.8 of their capacity, of which 15 in 100 become
// 2.5 times as slow for a while.
func unevenLoad() scarceLoad {
	return scarceLoad{
		name: "uneven engines", prefills: 11, decodes: 33, speeds: []float64{0.7, 0.7, 1.7},
		accounts: []scarceAccount{{"", 0.8 * 117, 1}}, burstAt: time.Hour, length: 60 * time.Second, patience: 10 * time.Second,
		slowPart: 0.15, slowFactor: 2.5, slowAt: 20 * time.Second, slowEnd: 40 * time.Second,
	}
}

var scarceSeeds = []uint64{1, 2, 3, 4}

// TestScarcityFigures checks that the driver counts each request once, and logs the figures of
// all loads with -v.
func TestScarcityFigures(t *testing.T) {
	seeds := scarceSeeds[:1]
	if testing.Verbose() {
		seeds = scarceSeeds
	}
	patient := returningLoad()
	patient.name, patient.patience = "burst whose patient callers return", 20*time.Second
	for _, load := range []scarceLoad{hotAccountLoad(), returningLoad(), patient, unevenLoad()} {
		var sum scarceCounts
		for _, seed := range seeds {
			s := newScarcePool(load, seed)
			s.run()
			s.log(t)
			if all := s.total(); all.sent == 0 || all.sent != all.onTime+all.late+all.unserved || len(s.running)+len(s.waiting)+len(s.returns) > 0 {
				t.Errorf("%s: %s; %d run, %d wait, %d return", load.name, all, len(s.running), len(s.waiting), len(s.returns))
			}
			sum.add(s.total())
		}
		t.Logf("sum of %s: %s", load.name, sum)
	}
}
