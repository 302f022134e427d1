package router

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/invoker"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

const (
	// bytesPerToken estimates a prompt's tokens from its length.
	bytesPerToken = 4
	// prefixBlockBytes is the length of the prompt blocks whose hashes are
	// matched with the engines' prefix caches.
	prefixBlockBytes = int(placer.PrefixBlock) * bytesPerToken
	// maximumPrefixes bounds the hashes sent with a demand.
	maximumPrefixes = 16
)

// attempt is one attempt of a model request.
type attempt struct {
	id        identifier.Attempt
	placement placer.Placement
	prefill   tabulator.Member
	decode    tabulator.Member
	stream    *invoker.Stream
	// touched are the engines that may hold memory for the attempt: those that a
	// call may have reached.
	touched   []tabulator.Member
	prefilled bool
	// resumes counts the new connections since the last token.
	resumes int
	// sent tells that a call may have reached an engine.
	sent bool
}

// begin acquires memory and starts the next attempt.
func (p *Reply) begin() *Refusal {
	if p.attempts >= p.router.options.Limits.Attempts {
		return p.lost(Exhausted, "%d attempts failed", p.attempts)
	}
	if p.attempts > 0 && !p.paused {
		if !p.router.options.Budgets.Pool(p.pool.Name).Retry() {
			return p.lost(RetryBudget, "the pool's retry budget is used up")
		}
		p.router.retries.Inc(1)
	}
	if !p.paused {
		p.attempts++
	}
	p.paused = false
	if p.from > 0 {
		p.startAfresh()
	}
	demand := p.demand()
	outcome := p.router.options.Placer.Acquire(p.ctx, demand)
	if outcome.Placement == nil && outcome.Refusal.Reason == placer.NoMember && len(demand.Avoid) > 0 {
		// Every engine failed this request or this node once; one of them may be
		// well again.
		p.avoid = nil
		demand = p.demand()
		demand.Avoid = nil
		outcome = p.router.options.Placer.Acquire(p.ctx, demand)
	}
	if outcome.Placement == nil {
		return p.refused(outcome.Refusal)
	}
	p.attempt = &attempt{
		id:        invoker.AttemptID(p.request.Request, outcome.Placement.Stream),
		placement: *outcome.Placement,
	}
	if !p.findMembers() {
		p.abandon(0, "")
		return nil
	}
	if p.attempt.placement.Stream < p.attempt.placement.Attempt {
		return p.takeOver()
	}
	if p.spliced() {
		p.abandon(0, "")
		return unknown(StreamLost, "the engine that generated the first %d tokens is gone", p.emitted)
	}
	return p.run()
}

// startAfresh forgets an answer whose beginning only an earlier node had. The
// seed is the same, so that the engines generate the same answer again.
func (p *Reply) startAfresh() {
	p.from = 0
	p.offset = 0
	p.generated.Reset()
}

// refused turns placement's refusal into the caller's.
func (p *Reply) refused(refusal *placer.Refusal) *Refusal {
	if ended := p.over(); ended != nil {
		return ended
	}
	if refusal.Reason == placer.Superseded {
		return unknown(Superseded, "a later attempt took the request over")
	}
	answer := p.lost(Reason(refusal.Reason), "no engine memory was granted")
	answer.RetryAfter = refusal.RetryAfter
	return answer
}

// lost is the refusal of a request that cannot go on: not run as long as no
// engine can have worked for it.
func (p *Reply) lost(reason Reason, format string, a ...any) *Refusal {
	if !p.ran {
		return notRun(reason, p.router.options.Limits.RetryAfter, format, a...)
	}
	return unknown(reason, format, a...)
}

// patience is how long the next token may wait: the route's target for a request
// that has not begun, and what is left of its timeout for one that has.
func (p *Reply) patience() time.Duration {
	if deadline, bounded := p.ctx.Deadline(); bounded && p.ran {
		return time.Until(deadline)
	}
	return time.Duration(p.route.FirstToken)
}

func (p *Reply) demand() placer.Demand {
	limit := p.request.Limit - p.offset
	return placer.Demand{
		Request:    p.request.Request,
		Attempt:    uint64(time.Now().UnixMilli()),
		Pool:       p.pool.Name,
		Route:      p.route.Name,
		Rank:       p.route.Rank,
		Account:    p.request.Account,
		Node:       p.router.options.Node,
		DataCentre: p.router.options.DataCentre,
		Prompt:     estimateTokens(p.request.Prompt) + p.offset,
		Limit:      limit,
		Wait:       p.patience(),
		Between:    time.Duration(p.route.BetweenTokens),
		Prefixes:   p.prefixes,
		Fresh:      p.begun,
		Suspect:    p.router.options.Isolator.Suspect(p.request.Fingerprint),
		Avoid:      slices.Concat(p.avoid, p.router.unreached.list()),
	}
}

// findMembers looks the placement's engines up; the table may have changed.
func (p *Reply) findMembers() bool {
	pool := p.pool
	if snapshot := p.router.options.Snapshot(); snapshot != nil {
		if current, ok := snapshot.Pool(p.pool.Name); ok {
			pool = current
		}
	}
	found := 0
	for _, member := range pool.Members {
		if member.Name == p.attempt.placement.Prefill {
			p.attempt.prefill = member
			found++
		}
		if member.Name == p.attempt.placement.Decode {
			p.attempt.decode = member
			found++
		}
	}
	return found >= 2
}

// takeOver goes on with the stream of an earlier attempt on the decode engine.
// Where that is gone or cannot be reached from here, the request starts afresh.
func (p *Reply) takeOver() *Refusal {
	a := p.attempt
	a.touched = []tabulator.Member{a.prefill, a.decode}
	a.sent = true
	p.ran = true
	stream, from, err := p.resumeEarlier()
	if err == nil {
		a.stream = stream
		a.prefilled = true
		p.from = from
		p.offset = from
		p.generated.Reset()
		return nil
	}
	if errorx.IsOfType(err, invoker.Superseded) {
		return p.fail(a.decode, err)
	}
	if refusal := p.over(); refusal != nil {
		return refusal
	}
	// The owner would hand the same stream over again if it were not told.
	p.begun = true
	if !errorx.IsOfType(err, invoker.NotFound) {
		p.avoid = append(p.avoid, a.decode.Name)
	}
	p.abandon(0, "")
	return nil
}

// resumeEarlier reads the stream of an earlier attempt from its first token on,
// though the caller has some: with the whole text, another engine can go on should
// this one fail. A stream that begins later is read after what the caller has.
func (p *Reply) resumeEarlier() (*invoker.Stream, identifier.Tokens, error) {
	stream, err := p.resume(0)
	if p.emitted == 0 || !errorx.IsOfType(err, invoker.NotFound) {
		return stream, 0, err
	}
	stream, err = p.resume(p.emitted)
	return stream, p.emitted, err
}

// resume reads the attempt's stream after an offset, again if the connection breaks.
func (p *Reply) resume(after identifier.Tokens) (*invoker.Stream, error) {
	a := p.attempt
	stream, err := p.router.options.Engines.Resume(p.ctx, a.decode, a.id, after, a.placement.Attempt)
	if err != nil {
		return p.reopen(after, err)
	}
	return stream, nil
}

// spliced tells whether the caller has tokens whose text is not known here, and
// the engines may generate others in their place.
func (p *Reply) spliced() bool {
	return p.emitted > p.offset && !p.pool.RepeatableOutput
}

// run computes the prompt's KV cache and starts the answer's stream.
func (p *Reply) run() *Refusal {
	a := p.attempt
	p.begun = true
	work := p.work()
	a.touched = append(a.touched, a.prefill)
	kv, err := p.router.options.Engines.Prefill(p.ctx, a.prefill, work)
	if errorx.IsOfType(err, invoker.InvalidRequest) {
		return p.rejected(err)
	}
	if errorx.IsOfType(err, invoker.ConnectFailed) {
		a.touched = nil
	} else {
		a.sent = true
		p.ran = true
	}
	if err != nil {
		return p.fail(a.prefill, err)
	}
	a.prefilled = true
	a.touched = append(a.touched, a.decode)
	stream, err := p.router.options.Engines.Decode(p.ctx, a.decode, work, kv)
	if errorx.IsOfType(err, invoker.InvalidRequest) {
		return p.rejected(err)
	}
	if errorx.IsOfType(err, invoker.ConnectFailed) {
		a.touched = []tabulator.Member{a.prefill}
	}
	if err != nil {
		return p.fail(a.decode, err)
	}
	a.stream = stream
	return nil
}

// rejected tells the caller what an engine found wrong with its request. Another
// engine would find the same.
func (p *Reply) rejected(err error) *Refusal {
	p.abandon(0, "")
	refusal := p.lost(Malformed, "%s", errorx.Cast(err).Message())
	refusal.RetryAfter = 0
	return refusal
}

func (p *Reply) work() invoker.Work {
	return invoker.Work{
		Attempt:           p.attempt.id,
		Path:              p.request.Path,
		Body:              p.request.Body,
		Rank:              p.route.Rank,
		Seed:              xxhash.Sum64String(string(p.request.Request)),
		MaxTokens:         p.request.Limit - p.offset,
		Generated:         p.generated.String(),
		Offset:            p.offset,
		Prefixes:          p.prefixes,
		PrefixBlockTokens: placer.PrefixBlock,
		NewConnection:     p.attempts > 1,
	}
}

func estimateTokens(text string) identifier.Tokens {
	return identifier.Tokens(len(text)/bytesPerToken + 1)
}

// prefixes hashes the leading blocks of a prompt, shortest first.
func prefixes(prompt string) []uint64 {
	blocks := min(len(prompt)/prefixBlockBytes, maximumPrefixes)
	hashes := make([]uint64, 0, blocks)
	digest := xxhash.New()
	for i := range blocks {
		_, _ = digest.WriteString(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
