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

// submission is a demand of this node that waits for its outcome.
type submission struct {
	demand    placer.Demand
	submitted time.Time
	// sent tells that the owner has the demand, as far as is known.
	sent bool
	// answer holds one outcome.
	answer chan placer.Outcome
}

// heldGrant is a grant that this node holds.
type heldGrant struct {
	placer.HeldGrant
	// known tells that the present owner has the grant with its demand.
	known bool
	// untold tells that the owner does not know yet how long the prefill took.
	untold bool
}

// released is a grant on its way back.
type released struct {
	grant  identifier.Grant
	result placer.Result
}

// link is this node's side of one shard: it batches what goes to the owner.
type link struct {
	id      shardID
	options Options
	metrics metrics
	local   dispatcherrpc.Dispatcher
	// wake and collecting hold one signal each.
	wake       chan struct{}
	collecting chan struct{}
	// mutex guards the fields below.
	mutex   sync.Mutex
	waiting map[identifier.Request]*submission
	held    map[identifier.Grant]*heldGrant
	// releases and withdrawals are not yet known to have reached the owner.
	releases    []released
	withdrawals []*dispatcherrpc.Withdrawal
	// owner is who was last talked to; peer reaches it.
	owner assigner.Member
	peer  dispatcherrpc.Dispatcher
	// failing is when exchanges began to fail, zero while they work.
	failing  time.Time
	fallback fallback
}

func newLink(id shardID, options Options, local dispatcherrpc.Dispatcher, counted metrics) *link {
	return &link{
		id:         id,
		options:    options,
		metrics:    counted,
		local:      local,
		wake:       make(chan struct{}, 1),
		collecting: make(chan struct{}, 1),
		waiting:    map[identifier.Request]*submission{},
		held:       map[identifier.Grant]*heldGrant{},
		fallback:   newFallback(),
	}
}

// renewalsPerLease is how often a grant is renewed within one lease.
const renewalsPerLease = 3

// run exchanges batches with the owner until ctx ends, and then hands over the
// last releases.
func (l *link) run(ctx context.Context) {
	group := newGroup()
	group.start(ctx, l.collectAll)
	renewals := time.NewTicker(l.options.Lease / renewalsPerLease)
	defer renewals.Stop()
	for ctx.Err() == nil {
		renew := false
		select {
		case <-ctx.Done():
		case <-renewals.C:
			renew = true
		case <-l.wake:
		}
		l.exchange(ctx, renew)
		l.pause(ctx)
	}
	last, stop := context.WithTimeout(context.WithoutCancel(ctx), l.options.ExchangeTimeout)
	defer stop()
	l.exchange(last, false)
	group.wait()
}

// failingPause is the time between two exchanges with an owner that fails.
const failingPause = 50 * time.Millisecond

// pause keeps one tick between two exchanges, so that what comes in meanwhile
// goes into one batch.
func (l *link) pause(ctx context.Context) {
	l.mutex.Lock()
	interval := l.options.Tick
	if !l.failing.IsZero() {
		interval = max(interval, failingPause)
	}
	l.mutex.Unlock()
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

// submit queues a demand for the next exchange. A later attempt of the same
// request replaces an earlier one.
func (l *link) submit(demand placer.Demand) chan placer.Outcome {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	answer := make(chan placer.Outcome, 1)
	if earlier := l.waiting[demand.Request]; earlier != nil {
		if earlier.demand.Attempt >= demand.Attempt {
			answer <- refusal(placer.Superseded, 0)
			return answer
		}
		earlier.answer <- refusal(placer.Superseded, 0)
	}
	l.waiting[demand.Request] = &submission{demand: demand, submitted: time.Now(), answer: answer}
	signal(l.wake)
	return answer
}

// withdraw takes back a demand that nobody waits for any more.
func (l *link) withdraw(demand placer.Demand, answer chan placer.Outcome) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if w := l.waiting[demand.Request]; w != nil && w.answer == answer {
		delete(l.waiting, demand.Request)
		l.withdrawals = append(l.withdrawals, &dispatcherrpc.Withdrawal{
			Request: string(demand.Request),
			Attempt: demand.Attempt,
		})
		signal(l.wake)
		return
	}
	select {
	case outcome := <-answer:
		if outcome.Placement != nil {
			l.giveBack(outcome.Placement.Grant, placer.Result{})
		}
	default:
	}
}

// release gives a grant back; false when it is not of this link.
func (l *link) release(grant identifier.Grant, result placer.Result) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.held[grant] == nil {
		return false
	}
	l.giveBack(grant, result)
	return true
}

func (l *link) giveBack(grant identifier.Grant, result placer.Result) {
	if h := l.held[grant]; h != nil {
		delete(l.held, grant)
		l.fallback.forget(h)
		result.PrefillTime = h.PrefillTime
	}
	if len(l.releases) < l.options.BacklogLimit {
		l.releases = append(l.releases, released{grant, result})
	}
	if len(l.releases) == 1 {
		time.AfterFunc(l.options.ReleaseDelay, func() { signal(l.wake) })
	}
}

func (l *link) progress(grant identifier.Grant, output identifier.Tokens, decoding bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	h := l.held[grant]
	if h == nil {
		return false
	}
	h.Output = output
	h.Decoding = decoding
	return true
}

// prefilled notes how long a grant's prefill took. The owner is told with the next
// batch.
func (l *link) prefilled(grant identifier.Grant, took time.Duration) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	h := l.held[grant]
	if h == nil {
		return false
	}
	h.PrefillTime, h.untold = took, true
	return true
}

func (l *link) list() []placer.HeldGrant {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	list := make([]placer.HeldGrant, 0, len(l.held))
	for _, h := range l.held {
		list = append(list, h.HeldGrant)
	}
	return list
}

// exchange sends one batch, if there is anything to send, and takes in the answer.
func (l *link) exchange(ctx context.Context, renew bool) {
	batch, peer := l.batch(renew)
	if batch == nil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, l.options.ExchangeTimeout)
	defer stop()
	response, err := peer.Exchange(ctx, batch)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil {
		l.failed(batch, err)
		return
	}
	l.succeeded(batch, response)
}

// batch gathers what the owner has to be told; nil when that is nothing.
func (l *link) batch(renew bool) (*dispatcherrpc.ExchangeRequest, dispatcherrpc.Dispatcher) {
	view := l.options.View()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	renew = l.follow(view) || renew
	now := time.Now()
	request := &dispatcherrpc.ExchangeRequest{
		Node:        string(l.options.Self),
		Incarnation: uint64(view.Self.Incarnation),
		Pool:        string(l.id.pool),
		Shard:       l.id.index,
		Withdrawals: l.withdrawals,
	}
	l.withdrawals = nil
	for _, w := range l.waiting {
		// With each renewal waiting demands are sent again, in case the owner
		// dropped them because it thought this node dead.
		if !w.sent || renew {
			left := w.demand.FirstTokenBudget - now.Sub(w.submitted)
			request.Demands = append(request.Demands, encodeDemand(&w.demand, left))
			w.sent = true
		}
	}
	for i := range l.releases {
		request.Releases = append(request.Releases, encodeRelease(&l.releases[i]))
	}
	for _, h := range l.held {
		if renew || h.untold {
			request.Renewals = append(request.Renewals, encodeRenewal(h))
			h.untold = false
		}
	}
	if len(request.Demands)+len(request.Withdrawals)+len(request.Renewals)+len(request.Releases) == 0 {
		return nil, nil
	}
	return request, l.peer
}

// follow turns to the owner of the present view. It reports whether that is
// another one than before, which has to be told everything.
func (l *link) follow(view *assigner.View) bool {
	owner := view.Owner(l.id.String())
	if l.peer != nil && owner.Node == l.owner.Node && owner.Incarnation == l.owner.Incarnation && owner.Peers == l.owner.Peers {
		return false
	}
	l.owner = owner
	l.peer = l.local
	if owner.Node != l.options.Self {
		client := &http.Client{Transport: l.options.Peers}
		l.peer = dispatcherrpc.NewDispatcherProtobufClient("http://"+string(owner.Peers), client)
	}
	l.resend()
	return true
}

// resend marks everything as not known to the owner.
func (l *link) resend() {
	for _, w := range l.waiting {
		w.sent = false
	}
	for _, h := range l.held {
		h.known = false
	}
}

// failed keeps a batch for the next exchange. All of it is idempotent.
func (l *link) failed(batch *dispatcherrpc.ExchangeRequest, err error) {
	if l.failing.IsZero() {
		l.failing = time.Now()
		l.options.Log.Log(eventUnreachable, logger.Fields{
			"shard": l.id.String(), "owner": l.owner.Node, "error": err.Error(),
		})
	}
	l.metrics.count("exchange-failed")
	var answered twirp.Error
	if errors.As(err, &answered) && answered.Code() == twirp.NotFound {
		// The pool is gone, and with it what was to be given back.
		l.releases, batch.Withdrawals = nil, nil
	}
	if len(l.withdrawals) < l.options.BacklogLimit {
		l.withdrawals = append(batch.GetWithdrawals(), l.withdrawals...)
	}
	l.resend()
	l.placeAlone(time.Now())
	if len(l.waiting)+len(l.releases) > 0 {
		signal(l.wake)
	}
}

func (l *link) succeeded(batch *dispatcherrpc.ExchangeRequest, response *dispatcherrpc.ExchangeResponse) {
	if !l.failing.IsZero() {
		l.failing = time.Time{}
		l.options.Log.Log(eventReachable, logger.Fields{"shard": l.id.String(), "owner": l.owner.Node})
	}
	l.releases = l.releases[len(batch.GetReleases()):]
	for _, renewal := range batch.GetRenewals() {
		if h := l.held[identifier.Grant(renewal.GetGrant())]; h != nil {
			h.known = true
		}
	}
	for _, id := range response.GetUnknown() {
		if h := l.held[identifier.Grant(id)]; h != nil {
			h.known = false
		}
	}
	if len(response.GetUnknown()) > 0 {
		signal(l.wake)
	}
	for _, id := range response.GetRevoked() {
		l.revoke(identifier.Grant(id))
	}
	l.fallback.take(time.Now(), response.GetReports())
	l.deliver(response.GetDecisions())
	if len(l.waiting) > 0 {
		signal(l.collecting)
	}
	if len(l.releases) > 0 {
		signal(l.wake)
	}
}

// revoke drops a grant that the owner took back.
func (l *link) revoke(grant identifier.Grant) {
	h := l.held[grant]
	if h == nil {
		return
	}
	delete(l.held, grant)
	l.fallback.forget(h)
	l.options.Log.Log(eventRevoked, logger.Fields{"grant": grant})
	if l.options.Revoked != nil {
		l.options.Revoked(grant)
	}
}

// deliver passes decisions to those that wait for them. A grant that nobody
// waits for goes back.
func (l *link) deliver(decisions []*dispatcherrpc.Decision) {
	for _, message := range decisions {
		decision := decodeDecision(message)
		w := l.waiting[decision.Request]
		if w != nil && w.demand.Attempt == decision.Attempt {
			l.settle(w, decision.Outcome, true)
			continue
		}
		placed := decision.Outcome.Placement
		if placed != nil && l.held[placed.Grant] == nil {
			l.giveBack(placed.Grant, placer.Result{})
		}
	}
}

// settle answers a submission. known tells that the owner knows the grant.
func (l *link) settle(w *submission, outcome placer.Outcome, known bool) {
	delete(l.waiting, w.demand.Request)
	if placed := outcome.Placement; placed != nil {
		demand := w.demand
		demand.Attempt = placed.Attempt
		l.held[placed.Grant] = &heldGrant{
			HeldGrant: placer.HeldGrant{
				Grant:   placed.Grant,
				Demand:  demand,
				Prefill: placed.Prefill,
				Decode:  placed.Decode,
				Pieces:  placed.Pieces,
				Stream:  placed.Stream,
			},
			known: known,
		}
	}
	w.answer <- outcome
}

// collectAll waits at the owner for the outcomes of queued demands.
func (l *link) collectAll(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.collecting:
		}
		for ctx.Err() == nil && l.collect(ctx) {
			continue
		}
	}
}

// collect makes one call; false when it failed or nothing waits any more.
func (l *link) collect(ctx context.Context) bool {
	request, peer := l.collection()
	if request == nil {
		return false
	}
	ctx, stop := context.WithTimeout(ctx, l.options.CollectHold+l.options.ExchangeTimeout)
	defer stop()
	response, err := peer.Collect(ctx, request)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil {
		// The next exchange tells whether the owner can be reached, and its
		// demands bring back what this answer may have lost.
		for _, w := range l.waiting {
			w.sent = false
		}
		signal(l.wake)
		return false
	}
	l.deliver(response.GetDecisions())
	return len(l.waiting) > 0
}

func (l *link) collection() (*dispatcherrpc.CollectRequest, dispatcherrpc.Dispatcher) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.waiting) == 0 || l.peer == nil {
		return nil, nil
	}
	return &dispatcherrpc.CollectRequest{
		Node:        string(l.options.Self),
		Incarnation: uint64(l.options.View().Self.Incarnation),
		Pool:        string(l.id.pool),
		Shard:       l.id.index,
	}, l.peer
}
