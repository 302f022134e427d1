package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/router"
)

// runStream answers a model request: it gets a grant of engine memory, has a prefill
// engine compute the prompt, and returns the stream of a decode engine.
func (c *call) runStream() (*Reply, *router.Refusal) {
	for {
		placement, refusal := c.acquireGrant()
		if refusal != nil {
			return nil, refusal
		}
		if c.isQuarantined() {
			return nil, c.quarantinedRefusal()
		}
		reply, err := c.startAttempt(placement)
		if err == nil {
			c.kvSource = KVSource{}
			return reply, nil
		}
		c.releaseGrant()
		if refusal := c.refusalIfEnded(); refusal != nil {
			return nil, refusal
		}
		if errors.Is(err, errQuarantined) {
			return nil, c.quarantinedRefusal()
		}
		if c.possibleRuns > 0 && (!c.route.Resumable || c.possibleRuns >= c.route.Backends) {
			c.logDecision(eventNotResent, "it may have run, and may run only once", err)
			return nil, unknownRefusal(router.AnswerLost, "the engine failed or its answer was lost")
		}
		if c.sends > 0 && !c.takeRetry() || len(c.tried) > maxBackendsTried {
			c.logDecision(eventNotResent, "the retry budget or the tries are used up", err)
			return nil, c.exhaustedRefusal()
		}
		c.logDecision(eventResent, "it has not run, or may run again", err)
	}
}

// errQuarantined ends an attempt whose request was quarantined during its prefill.
var errQuarantined = errors.New("the request is quarantined")

func (c *call) quarantinedRefusal() *router.Refusal {
	if c.possibleRuns > 0 {
		return unknownRefusal(router.Quarantined, quarantinedMessage)
	}
	return notRunRefusal(router.Quarantined, 0, quarantinedMessage)
}

// exhaustedRefusal returns the refusal of a request whose retry budget or tries are used up.
func (c *call) exhaustedRefusal() *router.Refusal {
	if c.possibleRuns > 0 {
		return unknownRefusal(router.RetryBudget, "the answer was lost and the budget of retries is used up")
	}
	return notRunRefusal(router.RetryBudget, retryAfterBusy, "the engines declined and the budget of retries is used up")
}

// acquireGrant waits for a grant of engine memory. It returns a refusal if there is none.
func (c *call) acquireGrant() (*placer.Placement, *router.Refusal) {
	now := time.Now()
	decodes := c.backendTable().Pool(c.pool.Name, identifier.Decode)
	if rejecting, pause := c.balancer.rejecting(now, decodes); len(decodes) > 0 && len(rejecting) == len(decodes) {
		return nil, c.refusalWithoutEngine(router.BackendDown, max(pause, retryAfterBusy), "no engine takes work")
	}
	demand := c.newDemand()
	asked := time.Now()
	outcome := c.options.Placer.Acquire(c.ctx, demand)
	if outcome.Placement != nil {
		c.logPlaced(outcome.Placement, time.Since(asked))
		c.grant = outcome.Placement.Grant
		c.grantResult = placer.Result{}
		return outcome.Placement, nil
	}
	if refusal := c.refusalIfEnded(); refusal != nil {
		return nil, refusal
	}
	return nil, c.refusalWithoutEngine(placementReason(outcome.Refusal.Reason), outcome.Refusal.RetryAfter, "no engine has room in time")
}

// refusalWithoutEngine returns the refusal of a request for which there is no engine.
func (c *call) refusalWithoutEngine(reason router.Reason, retryAfter time.Duration, message string) *router.Refusal {
	if c.possibleRuns > 0 {
		return unknownRefusal(router.Overloaded, "the answer was lost and no engine has room for another")
	}
	return notRunRefusal(reason, retryAfter, message)
}

// placementReason converts the placer's reason for a refusal to the one that the caller
// gets. A request too large for the present engines is an overload, as larger ones may join.
func placementReason(reason placer.Reason) router.Reason {
	if reason == placer.TooLarge {
		return router.Overloaded
	}
	return router.Reason(reason)
}

const (
	// grantWaitShare is the share of the target for which a request waits for capacity.
	// After that the request is refused, so that its caller has time for an alternative.
	grantWaitShare = 0.4
	// firstEventMargin is the time reserved, besides the prefill, for a typical engine to
	// generate the first event and for the event to reach the caller.
	firstEventMargin = 120 * time.Millisecond
	// minGrantWait is the minimum wait for a grant, so that a late request is not refused at once.
	minGrantWait = 100 * time.Millisecond
)

// grantTimeLeft returns how long the wait for a grant may take if the first event is
// to meet the route's target. It is negative if the target cannot be met.
func (c *call) grantTimeLeft() time.Duration {
	return c.route.Target - time.Since(c.request.Arrived) - firstEventMargin
}

// patienceLeft returns how long the caller still waits for a stream's first event, at least
// minGrantWait; zero means unknown.
func (c *call) patienceLeft() time.Duration {
	if c.route.Patience <= 0 {
		return 0
	}
	return max(minGrantWait, c.route.Patience-time.Since(c.request.Arrived))
}

// maxDemandPrefixes bounds the parts by which an engine with a cached prompt is chosen. They are the
// first, as a part is cached only behind all before it.
const maxDemandPrefixes = 64

func (c *call) newDemand() placer.Demand {
	cost := c.request.Cost
	rejecting, _ := c.balancer.rejecting(time.Now(), c.backendTable().Pool(c.pool.Name, ""))
	return placer.Demand{
		Request:      identifier.Request(c.request.Attempt),
		Attempt:      uint64(time.Now().UnixMilli()),
		Pool:         c.pool.Name,
		Route:        c.route.Name,
		Rank:         identifier.Rank(min(max(0, c.rank()), int(identifier.Lesser))),
		Account:      c.account.Name,
		DataCentre:   c.options.DataCentre,
		Prompt:       max(1, cost.Prompt),
		MaxOutput:    cost.Limit,
		OutputHint:   cost.Hint,
		QueueTimeout: time.Duration(float64(c.route.Target) * grantWaitShare),
		TimeLeft:     time.Until(c.deadline),

		FirstTokenTimeLeft: c.patienceLeft(),

		RetryKey:         c.request.Fingerprint,
		FirstTokenBudget: max(minGrantWait, c.grantTimeLeft()),
		TargetMissed:     c.grantTimeLeft() <= 0,
		MaxTokenInterval: c.route.MaxEventGap,
		Prefixes:         cost.hashes(maxDemandPrefixes),
		NoResume:         true,
		Suspect:          c.options.Isolator.IsSuspect(c.request.Fingerprint),
		Avoid:            append(rejecting, c.tried...),
	}
}

func (c *call) releaseGrant() {
	if c.grant != "" {
		c.options.Placer.Release(c.grant, c.grantResult)
		c.grant = ""
	}
}

// startAttempt runs one attempt until its answer has begun.
func (c *call) startAttempt(placement *placer.Placement) (*Reply, error) {
	if placement.Alone {
		if err := c.takeQuotas(placement); err != nil {
			return nil, err
		}
	}
	if err := c.ensurePrefilled(placement); err != nil {
		return nil, err
	}
	c.grantResult.Prefilled = true
	if c.isQuarantined() {
		return nil, errQuarantined
	}
	reply, err := c.decode(placement.Decode, c.kvSource)
	if err == nil {
		c.grantResult.Decoded = true
		return reply, nil
	}
	if !provenNotFetched(err) {
		c.queueKVFree()
	}
	return nil, err
}

// takeQuotas takes a request from this node's quota of each engine that the attempt will send
// to. It fails with Unreached if there is none.
func (c *call) takeQuotas(placement *placer.Placement) error {
	members := []identifier.Member{placement.Decode}
	if placement.Prefill != "" && !c.canReuseKV() {
		members = append(members, placement.Prefill)
	}
	now := time.Now()
	for _, member := range members {
		backend, listed := c.backendTable().Find(member)
		if listed && !c.options.Quotas.Take(now, member, backend.Started) {
			c.logGrantUnused(member, "has a quota that is used up")
			c.tried = append(c.tried, member)
			return Unreached.New("engine %s has a quota that is used up", member)
		}
	}
	return nil
}

// ensurePrefilled has the prompt computed for a placement, unless an earlier KV cache
// is still usable or the decode engine computes the prompt itself.
func (c *call) ensurePrefilled(placement *placer.Placement) error {
	if c.canReuseKV() {
		return nil
	}
	c.queueKVFree()
	if placement.Prefill == "" {
		return nil
	}
	source, err := c.prefill(placement.Prefill)
	if err != nil {
		return err
	}
	c.kvSource, c.prefilledAt = source, time.Now()
	return nil
}

// kvReuseShare is the share of a KV cache's lifetime in which a new attempt may use
// it. The rest is for the transfer.
const kvReuseShare = 0.6

// canReuseKV reports whether an earlier attempt's KV cache can still be fetched.
func (c *call) canReuseKV() bool {
	reusableFor := time.Duration(float64(c.pool.HandleLife) * kvReuseShare)
	return c.kvSource != (KVSource{}) && time.Since(c.prefilledAt) < reusableFor
}

// provenNotFetched reports whether an error proves that no decode engine fetched the
// KV cache, because the request did not reach the intended engine.
func provenNotFetched(err error) bool {
	return errorx.IsOfType(err, Unsent) || errorx.IsOfType(err, Replaced)
}

// queueKVFree queues the unfetched KV cache, if any, to be freed by Run.
func (c *call) queueKVFree() {
	if c.kvSource == (KVSource{}) {
		return
	}
	select {
	case c.freeQueue <- c.kvSource:
	default:
		c.logFreeFailed(c.kvSource, errFreeQueueFull)
	}
	c.kvSource = KVSource{}
}

// prefill has an engine compute the prompt. This never counts as a run of the request.
func (c *call) prefill(member identifier.Member) (KVSource, error) {
	backend, err := c.grantedEngine(member)
	if err != nil {
		return KVSource{}, err
	}
	began := time.Now()
	c.balancer.countSent(backend)
	recorded := false
	defer func() {
		if !recorded {
			// A panic must not leave the request counted as in flight.
			c.balancer.recordResult(time.Now(), backend, withdrawn, 0)
		}
	}()
	ctx, cancel := context.WithTimeout(c.ctx, c.prefillTimeout())
	defer cancel()
	source, err := c.options.Backends.Prefill(ctx, c.newWork(backend))
	took := time.Since(began)
	recorded = true
	crashed := c.recordEngineResult(backend, err, took)
	c.grantResult.PrefillEnding = c.endingOfPrefill(backend, err, took, ctx.Err() != nil && c.ctx.Err() == nil, crashed)
	c.recordEnding("prefill", c.grantResult.PrefillEnding)
	if err == nil {
		c.options.Placer.Prefilled(c.grant, took)
	}
	if err != nil {
		if ctx.Err() != nil && c.ctx.Err() == nil || errorx.IsOfType(err, Declined) {
			// The engine declined the prefill, for example while changing its role as an earlier
			// shard owner ordered, or the prefill timed out: the engine may be healthy otherwise,
			// but is too slow for requests with this target.
			c.grantResult.FailedMember = backend.Name
		}
		c.recordFailure(backend, err)
		return KVSource{}, err
	}
	return source, nil
}

const (
	// prefillTimeoutShare is the share of the target after which a prefill is cancelled.
	// A prefill can be repeated, and a short timeout detects an unresponsive engine early.
	prefillTimeoutShare = 0.6
	// latePrefillTimeout is the timeout for requests that have missed their target.
	latePrefillTimeout = 2 * time.Second
)

func (c *call) prefillTimeout() time.Duration {
	if c.grantTimeLeft() <= 0 || c.route.Target <= 0 {
		return latePrefillTimeout
	}
	return time.Duration(float64(c.route.Target) * prefillTimeoutShare)
}

// grantedEngine returns the engine that the placer granted. It fails with Unreached if the
// engine takes no requests as far as this node knows: the owner of the shard may work
// with an older list, and the engine may have begun to leave since the grant.
func (c *call) grantedEngine(member identifier.Member) (Backend, error) {
	backend, listed := c.backendTable().Find(member)
	var reason string
	switch {
	case !listed:
		reason = "is not in this node's list"
	case backend.Leaving:
		reason = "is listed as leaving"
	case !c.balancer.accepts(time.Now(), backend):
		reason = "said that it takes no requests"
	default:
		return backend, nil
	}
	c.logGrantUnused(member, reason)
	c.tried = append(c.tried, member)
	return Backend{}, Unreached.New("engine %s %s", member, reason)
}

// recordFailure marks an engine as tried after a failed call.
func (c *call) recordFailure(backend Backend, err error) {
	c.tried = append(c.tried, backend.Name)
	if !errorx.IsOfType(err, Unsent) {
		c.noteSent()
	}
}

// recordEngineResult records the result of a call to an engine. decode calls it on
// failure only, as the success is recorded at the end of the stream. It returns whether the
// engine can't be reached after the call.
func (c *call) recordEngineResult(backend Backend, err error, took time.Duration) (crashed bool) {
	result := answered
	if err != nil {
		result = resultOfError(err)
	}
	if err != nil && c.ctx.Err() != nil {
		result = withdrawn
	}
	crashed = c.recordSendResult(backend, result, took, err)
	if result == unreached || result == replaced || crashed {
		c.grantResult.FailedMember = backend.Name
	}
	return crashed
}

// decode sends the request to a decode engine and returns its answer, which has begun.
func (c *call) decode(member identifier.Member, source KVSource) (*Reply, error) {
	backend, err := c.grantedEngine(member)
	if err != nil {
		return nil, err
	}
	work := c.newWork(backend)
	work.Source = source
	sent := time.Now()
	c.balancer.countSent(backend)
	returned := false
	defer func() {
		if !returned {
			// A panic must not leave the request counted as in flight.
			c.balancer.recordResult(time.Now(), backend, withdrawn, 0)
		}
	}()
	reply, err := c.sendToDecode(backend, work, sent)
	returned = true
	if err != nil {
		took := time.Since(sent)
		crashed := c.recordEngineResult(backend, err, took)
		c.grantResult.DecodeEnding = c.endingBeforeAnswer(backend, err, took, crashed)
		c.recordEnding("decode", c.grantResult.DecodeEnding)
		if !provenNotRun(err) {
			c.possibleRuns++
		}
		c.recordFailure(backend, err)
		return nil, err
	}
	c.noteSent()
	c.possibleRuns++
	return reply, nil
}

// sendToDecode sends the request and returns the engine's answer once it has begun: a stream
// with its first event, or a failure with its whole body.
func (c *call) sendToDecode(backend Backend, work Work, sent time.Time) (*Reply, error) {
	answer, err := c.options.Backends.Send(c.ctx, work)
	if err != nil {
		return nil, err
	}
	if answer.Status >= http.StatusMultipleChoices {
		body, err := c.readAnswer(backend, answer)
		if err != nil {
			answer.Body.Close()
			return nil, err
		}
		c.recordModelAnswer(backend, answer.Status, time.Since(sent))
		c.grantResult.DecodeEnding = endingOfStatus(answer.Status)
		c.recordEnding("decode", c.grantResult.DecodeEnding)
		return c.newBufferedReply(backend, answer, body), nil
	}
	reply := &Reply{
		Status:    answer.Status,
		Header:    answer.Header,
		Length:    answer.Length,
		Streaming: true,
		call:      c,
		framed:    answer.Framed,
		backend:   backend,
		body:      answer.Body,
		sentAt:    sent,
	}
	if err := reply.awaitFirstEvent(); err != nil {
		answer.Body.Close()
		return nil, err
	}
	return reply, nil
}
