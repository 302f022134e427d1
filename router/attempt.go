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
	// bytesPerToken is the assumed prompt length of a token, to estimate token counts.
	bytesPerToken = 4
	// prefixBlockBytes is the length of the prompt blocks whose hashes are matched
	// with the engines' prefix caches.
	prefixBlockBytes = int(placer.PrefixBlock) * bytesPerToken
	// maxPrefixHashes bounds the hashes in one demand.
	maxPrefixHashes = 16
)

// attempt is one attempt at a model request.
type attempt struct {
	id        identifier.Attempt
	placement placer.Placement
	prefill   tabulator.Member
	decode    tabulator.Member
	stream    *invoker.Stream
	// enginesToFree lists the engines that a call may have reached and that may
	// therefore hold memory for the attempt.
	enginesToFree []tabulator.Member
	prefilled     bool
	// reconnects counts the new connections since the last token.
	reconnects int
	// reachedEngine is true once a call may have reached an engine.
	reachedEngine bool
}

// startAttempt acquires memory and starts the next attempt. A nil refusal with
// p.attempt nil means that the attempt failed and the next may start.
func (p *Reply) startAttempt() *Refusal {
	if p.attemptCount >= p.router.options.Limits.Attempts {
		return p.newRefusal(Exhausted, "%d attempts failed", p.attemptCount)
	}
	if p.attemptCount > 0 && !p.resumesPaused {
		if !p.router.options.Budgets.Pool(p.pool.Name).TakeRetry() {
			return p.newRefusal(RetryBudget, "the pool's retry budget is used up")
		}
		p.router.retries.Inc(1)
	}
	if !p.resumesPaused {
		p.attemptCount++
	}
	p.resumesPaused = false
	if p.generatedFrom > 0 {
		p.discardGenerated()
	}
	demand := p.newDemand()
	outcome := p.router.options.Placer.Acquire(p.ctx, demand)
	if outcome.Placement == nil && outcome.Refusal.Reason == placer.NoMember && len(demand.Avoid) > 0 {
		// Every engine has failed this request or is unreachable from this node.
		// Try them all again, as one may have recovered.
		p.avoidedMembers = nil
		demand = p.newDemand()
		demand.Avoid = nil
		outcome = p.router.options.Placer.Acquire(p.ctx, demand)
	}
	if outcome.Placement == nil {
		return p.placementRefusal(outcome.Refusal)
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
	if p.mayMixOutputs() {
		p.abandon(0, "")
		return unknownRefusal(StreamLost, "the engine that generated the first %d tokens is gone", p.emitted)
	}
	return p.runAttempt()
}

// discardGenerated drops a partial answer whose beginning this node lacks, as an earlier
// node sent it. The engines generate the same answer again, as the seed is the same.
func (p *Reply) discardGenerated() {
	p.generatedFrom = 0
	p.offset = 0
	p.generated.Reset()
}

// placementRefusal converts the placer's refusal to the one that the caller gets.
func (p *Reply) placementRefusal(refusal *placer.Refusal) *Refusal {
	if ended := p.refusalIfEnded(); ended != nil {
		return ended
	}
	if refusal.Reason == placer.Superseded {
		return unknownRefusal(Superseded, "a later attempt took the request over")
	}
	answer := p.newRefusal(Reason(refusal.Reason), "no engine memory was granted")
	answer.RetryAfter = refusal.RetryAfter
	return answer
}

// newRefusal returns a refusal whose outcome is NotRun if no engine can have processed
// any part of the request, else Unknown.
func (p *Reply) newRefusal(reason Reason, format string, a ...any) *Refusal {
	if !p.mayHaveRun {
		return notRunRefusal(reason, p.router.options.Limits.RetryAfter, format, a...)
	}
	return unknownRefusal(reason, format, a...)
}

// maxTokenWait returns how long the next token may take: the route's first-token target
// if no engine can have run yet, else the time left until the deadline.
func (p *Reply) maxTokenWait() time.Duration {
	if deadline, bounded := p.ctx.Deadline(); bounded && p.mayHaveRun {
		return time.Until(deadline)
	}
	return time.Duration(p.route.FirstToken)
}

func (p *Reply) newDemand() placer.Demand {
	limit := p.request.Limit - p.offset
	return placer.Demand{
		Request:          p.request.Request,
		Attempt:          uint64(time.Now().UnixMilli()),
		Pool:             p.pool.Name,
		Route:            p.route.Name,
		Rank:             p.route.Rank,
		Account:          p.request.Account,
		Node:             p.router.options.Node,
		DataCentre:       p.router.options.DataCentre,
		Prompt:           estimateTokens(p.request.Prompt) + p.offset,
		MaxOutput:        limit,
		FirstTokenBudget: p.maxTokenWait(),
		MaxTokenInterval: time.Duration(p.route.BetweenTokens),
		Prefixes:         p.prefixHashes,
		NoResume:         p.declinesHandover,
		Suspect:          p.router.options.Isolator.IsSuspect(p.request.Fingerprint),
		Avoid:            slices.Concat(p.avoidedMembers, p.router.unreachable.names()),
	}
}

// findMembers looks up the placement's engines in the current snapshot. It returns
// false if one is missing, as the snapshot may have changed.
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

// takeOver continues the stream of an earlier attempt on its decode engine. If the stream
// is gone or out of reach, takeOver abandons the attempt so that a new one starts.
func (p *Reply) takeOver() *Refusal {
	a := p.attempt
	a.enginesToFree = []tabulator.Member{a.prefill, a.decode}
	a.reachedEngine = true
	p.mayHaveRun = true
	stream, generatedFrom, err := p.resumeEarlier()
	if err == nil {
		a.stream = stream
		a.prefilled = true
		p.generatedFrom = generatedFrom
		p.offset = generatedFrom
		p.generated.Reset()
		return nil
	}
	if errorx.IsOfType(err, invoker.Superseded) {
		return p.failAttempt(a.decode, err)
	}
	if refusal := p.refusalIfEnded(); refusal != nil {
		return refusal
	}
	// Otherwise the shard's owner would hand over the same stream again.
	p.declinesHandover = true
	if !errorx.IsOfType(err, invoker.NotFound) {
		p.avoidedMembers = append(p.avoidedMembers, a.decode.Name)
	}
	p.abandon(0, "")
	return nil
}

// resumeEarlier reads an earlier attempt's stream from its first token, even if the
// caller has some tokens, because another engine needs the whole text to continue. If
// the engine has dropped the first tokens, the stream starts after the caller's last one.
func (p *Reply) resumeEarlier() (*invoker.Stream, identifier.Tokens, error) {
	stream, err := p.resume(0)
	if p.emitted == 0 || !errorx.IsOfType(err, invoker.NotFound) {
		return stream, 0, err
	}
	stream, err = p.resume(p.emitted)
	return stream, p.emitted, err
}

// resume reads the attempt's stream after an offset, reconnecting on failure.
func (p *Reply) resume(after identifier.Tokens) (*invoker.Stream, error) {
	a := p.attempt
	stream, err := p.router.options.Engines.Resume(p.ctx, a.decode, a.id, after, a.placement.Attempt)
	if err != nil {
		return p.reopen(after, err)
	}
	return stream, nil
}

// mayMixOutputs reports whether a new attempt could give the caller parts of two texts:
// this node lacks some of the caller's tokens, and an engine may generate different ones.
func (p *Reply) mayMixOutputs() bool {
	return p.emitted > p.offset && !p.pool.RepeatableOutput
}

// runAttempt runs the prefill and starts the decode stream of the attempt.
func (p *Reply) runAttempt() *Refusal {
	a := p.attempt
	p.declinesHandover = true
	work := p.newWork()
	a.enginesToFree = append(a.enginesToFree, a.prefill)
	kv, err := p.router.options.Engines.Prefill(p.ctx, a.prefill, work)
	if errorx.IsOfType(err, invoker.InvalidRequest) {
		return p.refuseRejected(err)
	}
	if errorx.IsOfType(err, invoker.ConnectFailed) {
		a.enginesToFree = nil
	} else {
		a.reachedEngine = true
		p.mayHaveRun = true
	}
	if err != nil {
		return p.failAttempt(a.prefill, err)
	}
	a.prefilled = true
	a.enginesToFree = append(a.enginesToFree, a.decode)
	stream, err := p.router.options.Engines.Decode(p.ctx, a.decode, work, kv)
	if errorx.IsOfType(err, invoker.InvalidRequest) {
		return p.refuseRejected(err)
	}
	if errorx.IsOfType(err, invoker.ConnectFailed) {
		a.enginesToFree = []tabulator.Member{a.prefill}
	}
	if err != nil {
		return p.failAttempt(a.decode, err)
	}
	a.stream = stream
	return nil
}

// refuseRejected refuses a request that an engine found invalid. Another engine
// would reject the request too.
func (p *Reply) refuseRejected(err error) *Refusal {
	p.abandon(0, "")
	refusal := p.newRefusal(Malformed, "%s", errorx.Cast(err).Message())
	refusal.RetryAfter = 0
	return refusal
}

func (p *Reply) newWork() invoker.Work {
	return invoker.Work{
		Attempt:           p.attempt.id,
		Path:              p.request.Path,
		Body:              p.request.Body,
		Rank:              p.route.Rank,
		Seed:              xxhash.Sum64String(string(p.request.Request)),
		MaxTokens:         p.request.Limit - p.offset,
		Generated:         p.generated.String(),
		Offset:            p.offset,
		Prefixes:          p.prefixHashes,
		PrefixBlockTokens: placer.PrefixBlock,
		NewConnection:     p.attemptCount > 1,
	}
}

func estimateTokens(text string) identifier.Tokens {
	return identifier.Tokens(len(text)/bytesPerToken + 1)
}

// prefixHashes returns hashes of the prompt's first block, its first two blocks and so
// on, up to maxPrefixHashes.
func prefixHashes(prompt string) []uint64 {
	blocks := min(len(prompt)/prefixBlockBytes, maxPrefixHashes)
	hashes := make([]uint64, 0, blocks)
	digest := xxhash.New()
	for i := range blocks {
		_, _ = digest.WriteString(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
