package accountant

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/limiter"
)

// cluster runs accountants in virtual time on a network and a membership that fail. It must be
// used within a synctest bubble.
type cluster struct {
	t      *testing.T
	bounds Bounds
	random *rand.Rand
	nodes  []*clusterNode
	stop   context.CancelFunc
	work   sync.WaitGroup
	// steady means that no fault occurs any more, so that no view changes.
	steady atomic.Bool

	// mutex guards the fields below.
	mutex sync.Mutex
	// loss and duplicates are shares of all messages; maxDelay is the longest way of one.
	loss, duplicates float64
	maxDelay         time.Duration
	// cutLinks are pairs of nodes that cannot reach each other although others reach both.
	cutLinks map[[2]int]bool
	// splitUntil is when the present split ends at the latest.
	splitUntil time.Time
	accounts   map[identifier.Account]*clusterAccount
	// messages counts the messages that nodes sent, and bytes those of them and their answers.
	messages, bytes int
	// slowest is the longest wait for a decision.
	slowest time.Duration
}

// clusterNode is a node and its present process.
type clusterNode struct {
	index       int
	name        identifier.Node
	capacity    identifier.Capacity
	accountant  *Accountant
	handler     http.Handler
	incarnation identifier.Incarnation
	stop        func()
	view        atomic.Pointer[assigner.View]

	// side is the part of a split network that has the node.
	side int
	up   bool
	// withoutCallers means that no requests are sent to the node.
	withoutCallers bool
	// joinedAt is from when a process knows its state; before, it is suspended.
	joinedAt time.Time
	// resumed is closed at the end of a pause; nil if the process is not paused.
	resumed chan struct{}
	beliefs map[int]*belief
}

// belief is what a node knows of another one.
type belief struct {
	reachable bool
	since     time.Time
	// reaction is how long the node takes to notice a change.
	reaction    time.Duration
	state       assigner.State
	incarnation identifier.Incarnation
}

// clusterAccount is an account and what was granted to it.
type clusterAccount struct {
	name   identifier.Account
	quotas []quotaPeriod
	// load is the demand as a multiple of the rate; amount draws a request's amount.
	load   float64
	amount func(*rand.Rand) limiter.Amount
	// meanAmount is the mean of what amount draws.
	meanAmount float64
	// nextAt is when the next request is sent.
	nextAt           time.Time
	runs             []run
	refusals         []run
	refused, granted map[limiter.Amount]int
}

type quotaPeriod struct {
	from  time.Time
	quota limiter.AccountQuota
}

// run is a request that ran, or was refused.
type run struct {
	at     time.Time
	amount limiter.Amount
}

const (
	suspicionTime = 1500 * time.Millisecond
	// applyTime is the longest time in which a node applies a changed quota.
	applyTime = time.Second
	tick      = 5 * time.Millisecond
)

// newCluster starts nodes, of which strong can own accounts.
func newCluster(t *testing.T, seed uint64, nodes, strong int, bounds Bounds) *cluster {
	ctx, stop := context.WithCancel(t.Context())
	c := &cluster{
		t: t, bounds: bounds, random: rand.New(rand.NewPCG(seed, 0)), stop: stop,
		maxDelay: 3 * time.Millisecond, cutLinks: map[[2]int]bool{}, accounts: map[identifier.Account]*clusterAccount{},
	}
	for i := range nodes {
		n := &clusterNode{index: i, name: identifier.Node(fmt.Sprintf("n%03d", i)), capacity: 20}
		if i < strong {
			n.capacity = 100
		}
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		c.startNode(n)
	}
	c.updateViews()
	c.work.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
			if !c.steady.Load() {
				c.updateViews()
			}
		}
	})
	return c
}

func (c *cluster) close() {
	// Requests that are sent already are decided.
	time.Sleep(3 * queryTimeout)
	for _, n := range c.nodes {
		c.resume(n)
		c.kill(n)
	}
	c.stop()
	c.work.Wait()
}

func (c *cluster) addAccount(name string, quota limiter.AccountQuota, load float64, amount func(*rand.Rand) limiter.Amount) *clusterAccount {
	a := &clusterAccount{
		name: identifier.Account(name), load: load, amount: amount, quotas: []quotaPeriod{{time.Now(), quota}},
		refused: map[limiter.Amount]int{}, granted: map[limiter.Amount]int{},
	}
	const samples = 10_000
	for range samples {
		a.meanAmount += float64(amount(c.random)) / samples
	}
	c.accounts[a.name] = a
	return a
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *cluster) startNode(n *clusterNode) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n.up, n.beliefs = true, map[int]*belief{}
	n.incarnation++
	n.joinedAt = time.Now().Add(c.delay(100*time.Millisecond, 300*time.Millisecond))
	n.view.Store(&assigner.View{Self: n.member(assigner.Alive), Members: []assigner.Member{n.member(assigner.Alive)}, Suspended: true})
	n.accountant = New(Options{
		View:          n.view.Load,
		PeerTransport: &clusterTransport{c, n},
		Listed: func() []identifier.Address {
			var listed []identifier.Address
			for _, x := range c.nodes {
				if x != n {
					listed = append(listed, identifier.Address(x.name))
				}
			}
			return listed
		},
		Bounds: c.bounds,
		Quota:  func(a identifier.Account) (limiter.AccountQuota, bool) { return c.configuredQuota(n, a), true },
	})
	_, n.handler = n.accountant.Handler()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	accountant := n.accountant
	go func() { ended <- accountant.Run(ctx) }()
	n.stop = func() { stop(); <-ended }
}

func (c *cluster) kill(n *clusterNode) {
	c.mutex.Lock()
	stop := n.stop
	n.up, n.stop = false, nil
	c.mutex.Unlock()
	if stop != nil {
		stop()
	}
}

func (c *cluster) pause(n *clusterNode) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if n.resumed == nil {
		n.resumed = make(chan struct{})
	}
}

func (c *cluster) resume(n *clusterNode) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if n.resumed == nil {
		return
	}
	close(n.resumed)
	n.resumed = nil
	// The process takes a moment to hear the present state.
	n.joinedAt = time.Now().Add(c.delay(100*time.Millisecond, 500*time.Millisecond))
	suspended := *n.view.Load()
	suspended.Suspended = true
	n.view.Store(&suspended)
}

// cutOff cuts a node off from all others, or ends that. It gets no requests meanwhile.
func (c *cluster) cutOff(n *clusterNode, cut bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n.side, n.withoutCallers = 0, cut
	if cut {
		n.side = 1
	}
}

func (c *cluster) cutLink(n, other *clusterNode) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cutLinks[[2]int{min(n.index, other.index), max(n.index, other.index)}] = true
}

// heal ends the faults of the network.
func (c *cluster) heal() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, n := range c.nodes {
		n.side = 0
	}
	clear(c.cutLinks)
	c.loss, c.duplicates, c.maxDelay = 0, 0, 3*time.Millisecond
}

func (n *clusterNode) member(state assigner.State) assigner.Member {
	return assigner.Member{Node: n.name, Incarnation: n.incarnation, PeerAddress: identifier.Address(n.name), Capacity: n.capacity, State: state}
}

func (c *cluster) delay(from, to time.Duration) time.Duration {
	return from + time.Duration(c.random.Int64N(int64(to-from)+1))
}

func (c *cluster) reachable(a, b *clusterNode) bool {
	return a.up && b.up && a.side == b.side && !c.cutLinks[[2]int{min(a.index, b.index), max(a.index, b.index)}]
}

// updateViews lets each node notice changes after a time of its own: 0.3 to 1 s until it
// suspects another, suspicionTime more until it takes it for dead, 0.05 to 0.6 s until it sees
// that another is back.
func (c *cluster) updateViews() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for _, n := range c.nodes {
		if !n.up || n.resumed != nil {
			continue
		}
		view := &assigner.View{Self: n.member(assigner.Alive), Suspended: now.Before(n.joinedAt)}
		for _, other := range c.nodes {
			if other == n {
				view.Members = append(view.Members, view.Self)
				continue
			}
			if b := c.updateBelief(now, n, other); b.state != "" {
				m := other.member(b.state)
				m.Incarnation = b.incarnation
				view.Members = append(view.Members, m)
			}
		}
		if earlier := n.view.Load(); earlier.Suspended != view.Suspended || earlier.Self != view.Self || !slices.Equal(earlier.Members, view.Members) {
			n.view.Store(view)
		}
	}
}

func (c *cluster) updateBelief(now time.Time, n, other *clusterNode) *belief {
	b := n.beliefs[other.index]
	if b == nil {
		b = &belief{since: now}
		n.beliefs[other.index] = b
	}
	// A cut link between two nodes that others reach changes no state.
	reachable := n.up && other.up && n.side == other.side && other.resumed == nil
	if reachable != b.reachable {
		b.reachable, b.since = reachable, now
		b.reaction = c.delay(300*time.Millisecond, time.Second)
		if reachable {
			b.reaction = c.delay(50*time.Millisecond, 600*time.Millisecond)
		}
	}
	switch silent := now.Sub(b.since); {
	case silent < b.reaction:
	case reachable:
		b.state, b.incarnation = assigner.Alive, other.incarnation
	case silent >= b.reaction+suspicionTime && b.state != "":
		b.state = assigner.Dead
	case b.state == assigner.Alive:
		b.state = assigner.Suspect
	}
	return b
}

// clusterTransport carries the messages of one node.
type clusterTransport struct {
	*cluster
	from *clusterNode
}

var errLost = errors.New("lost")

func (tr *clusterTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	tr.mutex.Lock()
	tr.messages++
	tr.bytes += len(body)
	var to *clusterNode
	for _, n := range tr.nodes {
		if string(n.name) == request.URL.Host {
			to = n
		}
	}
	times := 1
	if tr.random.Float64() < tr.duplicates {
		times = 2
	}
	lost := tr.random.Float64() < tr.loss || !tr.reachable(tr.from, to)
	tr.mutex.Unlock()
	answers := make(chan *http.Response, times)
	for range times {
		if lost {
			break
		}
		tr.work.Go(func() {
			time.Sleep(tr.way())
			if recorder := tr.deliver(to, request, body); recorder != nil {
				time.Sleep(tr.way())
				answers <- recorder.Result()
			}
		})
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-request.Context().Done():
		return nil, errLost
	}
}

func (tr *clusterTransport) way() time.Duration {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	return tr.delay(0, tr.maxDelay)
}

// deliver calls the handler of a node, after its pause, and returns nil if no answer arrives.
func (tr *clusterTransport) deliver(to *clusterNode, request *http.Request, body []byte) *httptest.ResponseRecorder {
	tr.mutex.Lock()
	resumed, handler := to.resumed, to.handler
	tr.mutex.Unlock()
	if resumed != nil {
		<-resumed
	}
	tr.mutex.Lock()
	delivered := tr.reachable(tr.from, to)
	tr.mutex.Unlock()
	if !delivered {
		return nil
	}
	copied := request.Clone(context.Background())
	copied.Body = io.NopCloser(bytes.NewReader(body))
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, copied)
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	tr.bytes += recorder.Body.Len()
	if !tr.reachable(tr.from, to) || tr.random.Float64() < tr.loss {
		return nil
	}
	return recorder
}

// configuredQuota is quotaAt for callers without the mutex.
func (c *cluster) configuredQuota(n *clusterNode, account identifier.Account) limiter.AccountQuota {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.quotaAt(n, account)
}

// quotaAt returns the quota in the configuration of a node.
func (c *cluster) quotaAt(n *clusterNode, account identifier.Account) limiter.AccountQuota {
	a := c.accounts[account]
	lag := applyTime * time.Duration(n.index) / time.Duration(len(c.nodes))
	quota := a.quotas[0].quota
	for _, p := range a.quotas {
		if time.Since(p.from) >= lag {
			quota = p.quota
		}
	}
	return quota
}

// play sends the accounts' demand for a while. notRun is the share of the granted requests that
// do not run and give their amounts back.
func (c *cluster) play(duration time.Duration, notRun float64) {
	end := time.Now().Add(duration)
	names := make([]identifier.Account, 0, len(c.accounts))
	for name := range c.accounts {
		names = append(names, name)
	}
	slices.Sort(names)
	for time.Now().Before(end) {
		for _, name := range names {
			a := c.accounts[name]
			now := time.Now()
			a.nextAt = later(a.nextAt, now)
			for a.nextAt.Before(now.Add(tick)) {
				c.mutex.Lock()
				amount, n := a.amount(c.random), c.nodes[c.random.IntN(len(c.nodes))]
				returned := c.random.Float64() < notRun
				wait, start := c.delay(0, 3*time.Second), a.nextAt.Sub(now)
				// Requests arrive independently of one another.
				demand := max(1, a.load*a.quotas[len(a.quotas)-1].quota.Rate)
				a.nextAt = a.nextAt.Add(time.Duration(c.random.ExpFloat64() * a.meanAmount / demand * float64(time.Second)))
				up := n.up && n.resumed == nil && !n.withoutCallers
				accountant := n.accountant
				c.mutex.Unlock()
				if !up || a.load == 0 {
					continue
				}
				c.work.Go(func() {
					time.Sleep(start)
					c.request(n, accountant, a, amount, returned, wait)
				})
			}
		}
		time.Sleep(tick)
	}
}

func (c *cluster) request(n *clusterNode, accountant *Accountant, a *clusterAccount, amount limiter.Amount, returned bool, wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	quota := c.configuredQuota(n, a.name)
	startedAt := time.Now()
	granted, retryAfter := accountant.Take(ctx, a.name, quota, amount)
	c.mutex.Lock()
	c.slowest = max(c.slowest, time.Since(startedAt))
	switch {
	case !granted:
		a.refused[amount]++
		a.refusals = append(a.refusals, run{time.Now(), amount})
		if retryAfter <= 0 {
			c.t.Errorf("refused with Retry-After %s", retryAfter)
		}
	case !returned:
		a.granted[amount]++
		a.runs = append(a.runs, run{time.Now(), amount})
	}
	c.mutex.Unlock()
	if granted && returned {
		time.Sleep(wait)
		accountant.Return(a.name, amount)
	}
}

// largestExcess returns by how much of the tolerance the account's runs exceeded its limit, in
// the window in which they did most.
func (c *cluster) largestExcess(a *clusterAccount) (share float64, from time.Time) {
	slices.SortFunc(a.runs, func(x, y run) int { return cmp.Or(x.at.Compare(y.at), cmp.Compare(x.amount, y.amount)) })
	bounds := c.bounds.withDefaults()
	first, sum := 0, 0.0
	for _, last := range a.runs {
		sum += float64(last.amount)
		for last.at.Sub(a.runs[first].at) >= bounds.Window {
			sum -= float64(a.runs[first].amount)
			first++
		}
		start := a.runs[first].at
		limit, tolerance := 0.0, 1.0
		for i, p := range a.quotas {
			endsLater := i+1 == len(a.quotas) || a.quotas[i+1].from.Add(applyTime+bounds.Window).After(start)
			if endsLater && !p.from.After(last.at) && bounds.limit(p.quota) > limit {
				limit, tolerance = bounds.limit(p.quota), bounds.tolerance(p.quota)
			}
		}
		if excess := (sum - limit) / tolerance; excess > share {
			share, from = excess, start
		}
	}
	return share, from
}
