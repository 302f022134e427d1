package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/dispatcher/dispatcherrpc"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/placer"
)

// submission is a demand of this node that has no outcome yet.
type submission struct {
	demand      placer.Demand
	submittedAt time.Time
	// sent is set while the owner is assumed to have the demand.
	sent bool
	// answer is buffered and receives exactly one outcome.
	answer chan placer.Outcome
}

type heldGrant struct {
	placer.HeldGrant
	// knownToOwner is set while the current owner has the grant and its demand.
	knownToOwner bool
	// prefillUnreported is set while the prefill time has to be sent to the owner.
	prefillUnreported bool
	// acquiredAt is when this node got the grant.
	acquiredAt time.Time
}

// pendingRelease is a released grant whose owner has not confirmed the release.
type pendingRelease struct {
	grant  identifier.Grant
	result placer.Result
}

// shardClient sends demands, renewals and releases to a shard's owner in batches.
type shardClient struct {
	id      shardID
	options Options
	metrics metrics
	owners  *ownerCache
	// localServer is called instead of a peer while this node is the owner.
	localServer dispatcherrpc.Dispatcher
	// wake, of capacity 1, triggers an exchange.
	wake chan struct{}
	// collectWake, of capacity 1, makes collectLoop start collecting.
	collectWake chan struct{}
	// mutex guards the fields below.
	mutex   sync.Mutex
	waiting map[identifier.Request]*submission
	held    map[identifier.Grant]*heldGrant
	// releases are removed when the owner has confirmed them.
	releases []pendingRelease
	// withdrawals are removed when sent and put back if the exchange fails.
	withdrawals []*dispatcherrpc.Withdrawal
	// owner is the owner at the last exchange.
	owner assigner.Member
	// peer calls owner; it is nil before the first exchange.
	peer dispatcherrpc.Dispatcher
	// failingSince is when exchanges began to fail; it is zero while they succeed.
	failingSince time.Time
	fallback     fallback
	// outcomes is what this node has seen of the shard's engines.
	outcomes outcomes
}

func newShardClient(id shardID, options Options, local dispatcherrpc.Dispatcher, owners *ownerCache, m metrics) *shardClient {
	return &shardClient{
		id:          id,
		options:     options,
		metrics:     m,
		localServer: local,
		owners:      owners,
		wake:        make(chan struct{}, 1),
		collectWake: make(chan struct{}, 1),
		waiting:     map[identifier.Request]*submission{},
		held:        map[identifier.Grant]*heldGrant{},
		fallback:    newFallback(),
		outcomes:    outcomes{records: map[identifier.Member]*engineRecord{}},
	}
}

// renewalsPerLease is how many times a grant is renewed within one lease.
const renewalsPerLease = 3

// run exchanges batches with the owner until ctx ends. It then makes one last
// exchange to send the pending releases.
func (c *shardClient) run(ctx context.Context) {
	group := newGroup()
	group.start(ctx, c.collectLoop)
	renewals := time.NewTicker(c.options.Lease / renewalsPerLease)
	defer renewals.Stop()
	for ctx.Err() == nil {
		renew := false
		select {
		case <-ctx.Done():
		case <-renewals.C:
			renew = true
		case <-c.wake:
		}
		c.exchange(ctx, renew)
		c.delayNextExchange(ctx)
	}
	last, stop := context.WithTimeout(context.WithoutCancel(ctx), c.options.ExchangeTimeout)
	defer stop()
	c.exchange(last, false)
	group.wait()
}

// retryInterval is the minimum interval between exchanges while they fail.
const retryInterval = 50 * time.Millisecond

// delayNextExchange waits for one tick, or longer while exchanges fail, so that
// everything submitted meanwhile goes into one batch.
func (c *shardClient) delayNextExchange(ctx context.Context) {
	c.mutex.Lock()
	interval := c.options.Tick
	if !c.failingSince.IsZero() {
		interval = max(interval, retryInterval)
	}
	c.mutex.Unlock()
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// submit queues a demand for the next exchange and returns its outcome's channel. Of two
// waiting attempts of a request the earlier is refused, or the new call if they are equal.
func (c *shardClient) submit(demand placer.Demand) chan placer.Outcome {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	answer := make(chan placer.Outcome, 1)
	if earlier := c.waiting[demand.Request]; earlier != nil {
		if earlier.demand.Attempt >= demand.Attempt {
			answer <- refusal(placer.Superseded, 0)
			return answer
		}
		earlier.answer <- refusal(placer.Superseded, 0)
	}
	c.waiting[demand.Request] = &submission{demand: demand, submittedAt: time.Now(), answer: answer}
	signal(c.wake)
	return answer
}

// withdraw cancels a demand whose caller no longer waits. If the demand was
// already granted, it releases the grant.
func (c *shardClient) withdraw(demand placer.Demand, answer chan placer.Outcome) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if w := c.waiting[demand.Request]; w != nil && w.answer == answer {
		delete(c.waiting, demand.Request)
		c.withdrawals = append(c.withdrawals, &dispatcherrpc.Withdrawal{
			Request: string(demand.Request),
			Attempt: demand.Attempt,
		})
		signal(c.wake)
		return
	}
	select {
	case outcome := <-answer:
		if outcome.Placement != nil {
			c.queueRelease(outcome.Placement.Grant, placer.Result{})
		}
	default:
	}
}

// release queues the release of a grant. It returns false if the grant isn't held.
func (c *shardClient) release(grant identifier.Grant, result placer.Result) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.held[grant] == nil {
		return false
	}
	c.queueRelease(grant, result)
	return true
}

func (c *shardClient) queueRelease(grant identifier.Grant, result placer.Result) {
	if h := c.held[grant]; h != nil {
		delete(c.held, grant)
		c.fallback.releaseMemory(h)
		result.PrefillTime = h.PrefillTime
		c.recordOutcome(time.Now(), h, &result)
	}
	if len(c.releases) < c.options.BacklogLimit {
		c.releases = append(c.releases, pendingRelease{grant, result})
	}
	if len(c.releases) == 1 {
		time.AfterFunc(c.options.ReleaseDelay, func() { signal(c.wake) })
	}
}

func (c *shardClient) recordProgress(grant identifier.Grant, output identifier.Tokens, decoding bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	h := c.held[grant]
	if h == nil {
		return false
	}
	h.Output = output
	h.Decoding = decoding
	return true
}

// recordPrefill queues a grant's prefill time. It returns false if the grant isn't held.
func (c *shardClient) recordPrefill(grant identifier.Grant, took time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	h := c.held[grant]
	if h == nil {
		return false
	}
	h.PrefillTime, h.prefillUnreported = took, true
	return true
}

func (c *shardClient) heldGrants() []placer.HeldGrant {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := make([]placer.HeldGrant, 0, len(c.held))
	for _, h := range c.held {
		list = append(list, h.HeldGrant)
	}
	return list
}

// exchange sends one batch, unless it is empty, and handles the response. If
// renew is set, the batch renews all grants and repeats all waiting demands.
func (c *shardClient) exchange(ctx context.Context, renew bool) {
	batch, peer := c.nextBatch(renew)
	if batch == nil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, c.options.ExchangeTimeout)
	defer stop()
	response, err := peer.Exchange(ctx, batch)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil {
		c.handleFailure(batch, err)
		return
	}
	c.handleResponse(batch, response)
}

// nextBatch returns the next batch and its receiver, or nil if there is none to send.
func (c *shardClient) nextBatch(renew bool) (*dispatcherrpc.ExchangeRequest, dispatcherrpc.Dispatcher) {
	view := c.options.View()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	renew = c.followOwner(view) || renew
	now := time.Now()
	request := &dispatcherrpc.ExchangeRequest{
		Node:        string(c.options.Self),
		Incarnation: uint64(view.Self.Incarnation),
		Pool:        string(c.id.pool),
		Shard:       c.id.index,
		Withdrawals: c.withdrawals,
	}
	c.withdrawals = nil
	for _, w := range c.waiting {
		// A renewal repeats the waiting demands, because the owner drops them
		// when it wrongly considers this node dead.
		if !w.sent || renew {
			remaining := w.demand.FirstTokenBudget - now.Sub(w.submittedAt)
			request.Demands = append(request.Demands, encodeDemand(&w.demand, remaining))
			w.sent = true
		}
	}
	if c.outcomes.unsent {
		request.EngineRecords = c.outcomes.encode(now)
	}
	for i := range c.releases {
		request.Releases = append(request.Releases, encodeRelease(&c.releases[i]))
	}
	for _, h := range c.held {
		if renew || h.prefillUnreported {
			request.Renewals = append(request.Renewals, encodeRenewal(h))
			h.prefillUnreported = false
		}
	}
	if len(request.Demands)+len(request.Withdrawals)+len(request.Renewals)+len(request.Releases)+len(request.EngineRecords) == 0 {
		return nil, nil
	}
	return request, c.peer
}

// followOwner sets owner and peer from the view. It reports whether the owner
// changed; if so, everything is sent again. The caller must hold the mutex.
func (c *shardClient) followOwner(view *assigner.View) bool {
	owner := c.owners.ownerOf(view, c.id)
	if c.peer != nil && owner.Node == c.owner.Node && owner.Incarnation == c.owner.Incarnation && owner.PeerAddress == c.owner.PeerAddress {
		return false
	}
	c.owner = owner
	c.peer = c.localServer
	if owner.Node != c.options.Self {
		client := &http.Client{Transport: c.options.PeerTransport}
		c.peer = dispatcherrpc.NewDispatcherProtobufClient("http://"+string(owner.PeerAddress), client)
	}
	c.markAllUnsent()
	return true
}

// markAllUnsent makes the next batch repeat all waiting demands, and the next
// renewals contain the whole grants. The caller must hold the mutex.
func (c *shardClient) markAllUnsent() {
	for _, w := range c.waiting {
		w.sent = false
	}
	for _, h := range c.held {
		h.knownToOwner = false
	}
	c.outcomes.unsent = true
}

// handleFailure requeues a failed batch, which is idempotent, and places waiting
// demands locally once FallbackAfter has passed. The caller must hold the mutex.
func (c *shardClient) handleFailure(batch *dispatcherrpc.ExchangeRequest, err error) {
	if c.failingSince.IsZero() {
		c.failingSince = time.Now()
		c.options.Log.Log(eventUnreachable, logger.Fields{
			"shard": c.id.String(), "owner": c.owner.Node, "error": err.Error(),
		})
	}
	c.metrics.increment("exchange-failed")
	var twirpError twirp.Error
	if errors.As(err, &twirpError) && twirpError.Code() == twirp.NotFound {
		// The pool no longer exists, so its releases and withdrawals are not needed.
		c.releases, batch.Withdrawals = nil, nil
	}
	if len(c.withdrawals) < c.options.BacklogLimit {
		c.withdrawals = append(batch.GetWithdrawals(), c.withdrawals...)
	}
	c.markAllUnsent()
	c.placeWaitingLocally(time.Now())
	if len(c.waiting)+len(c.releases) > 0 {
		signal(c.wake)
	}
}

func (c *shardClient) handleResponse(batch *dispatcherrpc.ExchangeRequest, response *dispatcherrpc.ExchangeResponse) {
	if !c.failingSince.IsZero() {
		c.failingSince = time.Time{}
		c.options.Log.Log(eventReachable, logger.Fields{"shard": c.id.String(), "owner": c.owner.Node})
	}
	c.releases = c.releases[len(batch.GetReleases()):]
	c.outcomes.unsent = false
	for _, renewal := range batch.GetRenewals() {
		if h := c.held[identifier.Grant(renewal.GetGrant())]; h != nil {
			h.knownToOwner = true
		}
	}
	for _, id := range response.GetUnknown() {
		if h := c.held[identifier.Grant(id)]; h != nil {
			h.knownToOwner = false
		}
	}
	if len(response.GetUnknown()) > 0 {
		signal(c.wake)
	}
	for _, id := range response.GetRevoked() {
		c.revoke(identifier.Grant(id))
	}
	c.fallback.setReports(time.Now(), response.GetReports())
	c.deliver(response.GetDecisions())
	if len(c.waiting) > 0 {
		signal(c.collectWake)
	}
	if len(c.releases) > 0 {
		signal(c.wake)
	}
}

// revoke drops a grant that the owner revoked. The caller must hold the mutex.
func (c *shardClient) revoke(grant identifier.Grant) {
	h := c.held[grant]
	if h == nil {
		return
	}
	delete(c.held, grant)
	c.fallback.releaseMemory(h)
	c.options.Log.Log(eventRevoked, logger.Fields{"grant": grant})
	if c.options.OnRevoked != nil {
		c.options.OnRevoked(grant)
	}
}

// deliver resolves each submission that has a decision. A grant that no submission
// waits for is released. The caller must hold the mutex.
func (c *shardClient) deliver(decisions []*dispatcherrpc.Decision) {
	for _, message := range decisions {
		decision := decodeDecision(message)
		w := c.waiting[decision.Request]
		if w != nil && w.demand.Attempt == decision.Attempt {
			c.resolve(w, decision.Outcome, true)
			continue
		}
		placed := decision.Outcome.Placement
		if placed != nil && c.held[placed.Grant] == nil {
			c.queueRelease(placed.Grant, placer.Result{})
		}
	}
}

// resolve sends a submission its outcome and records the grant, if any, as held.
// The caller must hold the mutex.
func (c *shardClient) resolve(w *submission, outcome placer.Outcome, knownToOwner bool) {
	delete(c.waiting, w.demand.Request)
	if placed := outcome.Placement; placed != nil {
		demand := w.demand
		demand.Attempt = placed.Attempt
		c.held[placed.Grant] = &heldGrant{
			HeldGrant: placer.HeldGrant{
				Grant:   placed.Grant,
				Demand:  demand,
				Prefill: placed.Prefill,
				Decode:  placed.Decode,
				Pieces:  placed.Pieces,
				Stream:  placed.Stream,
			},
			knownToOwner: knownToOwner,
			acquiredAt:   time.Now(),
		}
	}
	w.answer <- outcome
}

// collectLoop collects outcomes from the owner while demands wait, until ctx ends.
func (c *shardClient) collectLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-c.collectWake:
		}
		for ctx.Err() == nil && c.collectOnce(ctx) {
			continue
		}
	}
}

// collectOnce makes one Collect call. It returns false if it fails or no demand waits.
func (c *shardClient) collectOnce(ctx context.Context) bool {
	request, peer := c.collectRequest()
	if request == nil {
		return false
	}
	ctx, stop := context.WithTimeout(ctx, c.options.MaxCollectWait+c.options.ExchangeTimeout)
	defer stop()
	response, err := peer.Collect(ctx, request)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil {
		// The response may have contained decisions. The next exchange sends the
		// demands again to get them, and shows whether the owner is reachable.
		for _, w := range c.waiting {
			w.sent = false
		}
		signal(c.wake)
		return false
	}
	c.deliver(response.GetDecisions())
	return len(c.waiting) > 0
}

func (c *shardClient) collectRequest() (*dispatcherrpc.CollectRequest, dispatcherrpc.Dispatcher) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.waiting) == 0 || c.peer == nil {
		return nil, nil
	}
	return &dispatcherrpc.CollectRequest{
		Node:        string(c.options.Self),
		Incarnation: uint64(c.options.View().Self.Incarnation),
		Pool:        string(c.id.pool),
		Shard:       c.id.index,
	}, c.peer
}
