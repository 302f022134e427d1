package forwarder

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/router"
)

// stream answers a model request: it gets engine memory granted, has the prompt
// read by a prefill engine and the answer made by a decode engine.
func (c *call) stream() (*Reply, *router.Refusal) {
	for {
		placement, refusal := c.acquire()
		if refusal != nil {
			return nil, refusal
		}
		reply, err := c.start(placement)
		if err == nil {
			c.source = Source{}
			return reply, nil
		}
		c.giveBack()
		if refusal := c.over(); refusal != nil {
			return nil, refusal
		}
		if c.ran > 0 && (!c.route.Resumable || c.ran >= c.route.Backends) {
			c.logDecision(eventKept, "it may have run, and may run only once", err)
			return nil, unknown(router.AnswerLost, "the answer of the engine was lost")
		}
		if c.sends > 0 && !c.mayRepeat() || len(c.tried) > maxReaches {
			c.logDecision(eventKept, "the retry budget or the tries are used up", err)
			return nil, c.exhausted()
		}
		c.logDecision(eventRepeated, "it has not run, or may run again", err)
	}
}

// exhausted refuses a request that may not be sent again.
func (c *call) exhausted() *router.Refusal {
	if c.ran > 0 {
		return unknown(router.RetryBudget, "the answer was lost and the budget of retries is used up")
	}
	return notRun(router.RetryBudget, retryAfterBusy, "the engines declined and the budget of retries is used up")
}

// acquire gets engine memory, or tells when to come back.
func (c *call) acquire() (*placer.Placement, *router.Refusal) {
	demand := c.demand()
	asked := time.Now()
	outcome := c.options.Placer.Acquire(c.ctx, demand)
	if outcome.Placement != nil {
		c.logPlaced(outcome.Placement, time.Since(asked))
		c.grant = outcome.Placement.Grant
		c.result = placer.Result{}
		return outcome.Placement, nil
	}
	if refusal := c.over(); refusal != nil {
		return nil, refusal
	}
	if c.ran > 0 {
		return nil, unknown(router.Overloaded, "the answer was lost and no engine has room for another")
	}
	return nil, notRun(placementReason(outcome.Refusal.Reason), outcome.Refusal.RetryAfter, "no engine has room in time")
}

// placementReason tells a request that is too large for the engines that are
// there now from one that no engine may ever take.
func placementReason(reason placer.Reason) router.Reason {
	if reason == placer.TooLarge {
		return router.Overloaded
	}
	return router.Reason(reason)
}

const (
	// holdShare is the part of the target for which a request waits for room. What
	// has no room by then is refused while its caller can still do something else.
	holdShare = 0.4
	// firstEventMargin is left between a grant and the target, besides the prefill:
	// the time for the first event of usual engines, and for its way.
	firstEventMargin = 120 * time.Millisecond
	// leastWait keeps late demands from being refused for their target alone.
	leastWait = 100 * time.Millisecond
)

// waitLeft is how long the grant may take for the first event to be on time;
// negative where that has been missed.
func (c *call) waitLeft() time.Duration {
	return c.route.Target - time.Since(c.request.Arrived) - firstEventMargin
}

// demand describes the request to the placer.
func (c *call) demand() placer.Demand {
	cost := c.request.Cost
	rank := identifier.Lesser
	if c.route.Rank == 0 {
		rank = identifier.Urgent
	}
	return placer.Demand{
		Request:          identifier.Request(c.request.Attempt),
		Attempt:          uint64(time.Now().UnixMilli()),
		Pool:             c.pool.Name,
		Route:            c.route.Name,
		Rank:             rank,
		DataCentre:       c.options.DataCentre,
		Prompt:           max(1, cost.Prompt),
		MaxOutput:        cost.Limit,
		OutputHint:       cost.Hint,
		QueueTimeout:     time.Duration(float64(c.route.Target) * holdShare),
		RetryKey:         c.request.Fingerprint,
		FirstTokenBudget: max(leastWait, c.waitLeft()),
		TargetMissed:     c.waitLeft() <= 0,
		MaxTokenInterval: c.route.Gap,
		Prefixes:         cost.Prefixes,
		NoResume:         true,
		Suspect:          c.options.Isolator.Suspect(c.request.Fingerprint),
		Avoid:            c.tried,
	}
}

// giveBack releases the grant of an attempt that failed.
func (c *call) giveBack() {
	if c.grant != "" {
		c.options.Placer.Release(c.grant, c.result)
		c.grant = ""
	}
}

// start runs one attempt up to the header of its answer.
func (c *call) start(placement *placer.Placement) (*Reply, error) {
	if err := c.readPrompt(placement); err != nil {
		return nil, err
	}
	c.result.Prefilled = true
	reply, err := c.decode(placement.Decode, c.source)
	if err == nil {
		c.result.Decoded = true
		return reply, nil
	}
	if !untouched(err) {
		c.dropSource()
	}
	return nil, err
}

// readPrompt has the prompt read for a placement, unless it is there already or its
// decode engine reads it itself.
func (c *call) readPrompt(placement *placer.Placement) error {
	if c.keepsSource() {
		return nil
	}
	c.dropSource()
	if placement.Prefill == "" {
		return nil
	}
	source, err := c.prefill(placement.Prefill)
	if err != nil {
		return err
	}
	c.source, c.prefilled = source, time.Now()
	return nil
}

// sourceShare is the part of a KV cache's life in which it is still sent on; the
// rest is for its way.
const sourceShare = 0.6

// keepsSource tells whether the prompt's KV cache of an earlier attempt can still
// be fetched.
func (c *call) keepsSource() bool {
	life := time.Duration(float64(c.pool.HandleLife) * sourceShare)
	return c.source != (Source{}) && time.Since(c.prefilled) < life
}

// untouched tells whether an error proves that the KV cache was not fetched: the
// decode engine was not there.
func untouched(err error) bool {
	return errorx.IsOfType(err, Unsent) || errorx.IsOfType(err, Replaced)
}

// dropSource frees the prompt's KV cache where nobody will fetch it.
func (c *call) dropSource() {
	if c.source == (Source{}) {
		return
	}
	select {
	case c.drops <- c.source:
	default:
		c.logDrop(c.source, errDropsWaiting)
	}
	c.source = Source{}
}

// prefill has the prompt read. Whatever happens, the request has not run.
func (c *call) prefill(member identifier.Member) (Source, error) {
	backend, ok := c.table.Find(member)
	if !ok {
		return Source{}, c.vanished(member)
	}
	began := time.Now()
	c.judge.begin(backend)
	ctx, cancel := context.WithTimeout(c.ctx, c.prefillBound())
	defer cancel()
	source, err := c.options.Backends.Prefill(ctx, c.work(backend))
	took := time.Since(began)
	c.engineJudged(backend, err, took)
	if err == nil {
		c.options.Placer.Prefilled(c.grant, took)
	}
	if err != nil {
		if ctx.Err() != nil && c.ctx.Err() == nil || errorx.IsOfType(err, Declined) {
			// The engine may be well, but is of no use to requests with this target, or
			// changes its role at the word of an earlier owner.
			c.result.FailedMember = backend.Name
		}
		c.failed(backend, err)
		return Source{}, err
	}
	return source, nil
}

const (
	// prefillShare is the part of the target after which a prefill is given up: it
	// may be repeated, and an engine that answers nothing else is found that soon.
	prefillShare = 0.6
	// latePrefill is the same for requests that have missed their target.
	latePrefill = 2 * time.Second
)

// prefillBound is how long a prefill may take.
func (c *call) prefillBound() time.Duration {
	if c.waitLeft() <= 0 || c.route.Target <= 0 {
		return latePrefill
	}
	return time.Duration(float64(c.route.Target) * prefillShare)
}

// vanished is the error of an engine that the placer knows and this node's table
// does not have, or has no more.
func (c *call) vanished(member identifier.Member) error {
	c.tried = append(c.tried, member)
	return Unreached.New("engine %s is not in this node's table", member)
}

// failed notes that an engine is of no use to this request.
func (c *call) failed(backend Backend, err error) {
	c.tried = append(c.tried, backend.Name)
	if !errorx.IsOfType(err, Unsent) {
		c.sends++
	}
}

// engineJudged notes how a call to an engine ended; answers are judged when their
// stream ends.
func (c *call) engineJudged(backend Backend, err error, took time.Duration) {
	v := answered
	if err != nil {
		v = verdictFor(err)
	}
	if err != nil && c.ctx.Err() != nil {
		v = withdrawn
	}
	crashed := c.sendingEnded(backend, v, took, err)
	if v == unreached || v == replaced || crashed {
		c.result.FailedMember = backend.Name
	}
}

// decode sends the request to the engine that makes the answer.
func (c *call) decode(member identifier.Member, source Source) (*Reply, error) {
	backend, ok := c.table.Find(member)
	if !ok {
		return nil, c.vanished(member)
	}
	work := c.work(backend)
	work.Source = source
	sent := time.Now()
	c.judge.begin(backend)
	answer, err := c.options.Backends.Send(c.ctx, work)
	if err != nil {
		c.engineJudged(backend, err, time.Since(sent))
		if !provenNotRun(err) {
			c.ran++
		}
		c.failed(backend, err)
		return nil, err
	}
	c.sends++
	c.ran++
	return &Reply{
		Status:    answer.Status,
		Header:    answer.Header,
		Length:    answer.Length,
		Streaming: true,
		backend:   backend,
		body:      answer.Body,
		sent:      sent,
	}, nil
}
