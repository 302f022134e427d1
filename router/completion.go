package router

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/invoker"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// errSuperseded cancels the answer on an earlier connection of the same request.
var errSuperseded = errors.New("a later attempt of the request took over")

// progressInterval is the number of tokens between two progress reports.
const progressInterval = 16

// Completion is a caller's model request.
type Completion struct {
	// Request identifies the request in the whole fleet. It is unique even when two
	// callers choose the same name.
	Request identifier.Request
	// Named means that the caller chose the name and may reconnect by it.
	Named   bool
	Account identifier.Account
	Model   identifier.Model
	Path    string
	Method  string
	// Body is the caller's JSON object.
	Body map[string]json.RawMessage
	// Prompt is the text in Body.
	Prompt string
	// Limit is the maximum number of tokens to generate; zero means the default.
	Limit identifier.Tokens
	// TokensReceived is the number of tokens that the caller already has.
	TokensReceived identifier.Tokens
	// Resent means that the caller sent the request before.
	Resent bool
	// Fingerprint is a hash of path and body, equal for resends.
	Fingerprint uint64
}

// Reply is the answer to a model request, read token by token.
type Reply struct {
	router       *Router
	request      Completion
	route        tabulator.Route
	pool         tabulator.Pool
	inFlight     *inFlightRequest
	prefixHashes []uint64
	ctx          context.Context
	cancel       context.CancelCauseFunc

	// attempt is the current attempt, or nil between two attempts.
	attempt        *attempt
	attemptCount   int
	avoidedMembers []identifier.Member
	// resumesPaused means that the next attempt continues a paused stream.
	resumesPaused bool
	// declinesHandover means that the owner must not hand over an earlier stream: this
	// node has started its own attempt or failed to continue the earlier one.
	declinesHandover bool
	// mayHaveRun is true once an engine may have processed any part of the request.
	mayHaveRun bool
	// generated is the text of the tokens after generatedFrom up to offset.
	generated strings.Builder
	// generatedFrom is the number of leading tokens that an earlier node sent; this node lacks them.
	generatedFrom identifier.Tokens
	offset        identifier.Tokens
	// emitted is the number of tokens that the caller has. It exceeds offset while an
	// answer is generated again.
	emitted  identifier.Tokens
	finished bool
	// lastTokenRead is true once a token with a finish reason was read.
	lastTokenRead bool
	// firstToken is the token that Complete read to see that the request runs, until Next returns it.
	firstToken *invoker.Token
}

// Complete starts a model request and returns when the first token has arrived.
func (r *Router) Complete(ctx context.Context, request Completion) (*Reply, *Refusal) {
	reply, refusal := r.start(ctx, request)
	if refusal != nil && request.Resent {
		// A proof that this send did not run says nothing about earlier sends.
		refusal.Outcome = Unknown
	}
	return reply, refusal
}

func (r *Router) start(ctx context.Context, request Completion) (*Reply, *Refusal) {
	query := tabulator.Query{Model: request.Model, Path: request.Path, Method: request.Method, Account: request.Account}
	route, pool, refusal := r.match(query)
	if refusal != nil {
		return nil, refusal
	}
	if pool.Kind != tabulator.Models {
		return nil, notRunRefusal(NoRoute, 0, "route %q does not lead to a model pool", route.Name)
	}
	if r.options.Isolator.IsQuarantined(request.Fingerprint) {
		// A quarantined request has run before.
		return nil, unknownRefusal(Quarantined, "this request crashed several engines and is held")
	}
	if request.Limit <= 0 {
		request.Limit = r.options.Limits.DefaultTokens
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timeoutCtx, cancelTimeout := context.WithTimeoutCause(ctx, r.timeout(route), context.DeadlineExceeded)
	reply := &Reply{
		router:       r,
		request:      request,
		prefixHashes: prefixHashes(request.Prompt),
		route:        route,
		pool:         pool,
		ctx:          timeoutCtx,
		mayHaveRun:   request.Resent,
		emitted:      request.TokensReceived,
	}
	reply.cancel = func(cause error) { cancel(cause); cancelTimeout() }
	reply.inFlight = r.inFlight.add(request.Request, cancel)
	r.options.Budgets.Pool(pool.Name).CountSend()
	token, refusal := reply.Next()
	if refusal != nil {
		reply.Close()
		return nil, refusal
	}
	reply.firstToken = token
	return reply, nil
}

// Next returns the next token, or nil after the last one.
func (p *Reply) Next() (*invoker.Token, *Refusal) {
	if p.firstToken != nil {
		token := p.firstToken
		p.firstToken = nil
		return token, nil
	}
	for !p.finished {
		if p.attempt == nil {
			if refusal := p.startAttempt(); refusal != nil {
				return nil, refusal
			}
			continue
		}
		token, err := p.attempt.stream.Next()
		if errors.Is(err, io.EOF) {
			p.finish()
			return nil, nil
		}
		if err != nil && p.lastTokenRead {
			// Only the closing event was lost.
			p.finish()
			return nil, nil
		}
		if err != nil {
			if refusal := p.recoverStream(err); refusal != nil {
				return nil, refusal
			}
			continue
		}
		if p.accept(token) {
			return &token, nil
		}
	}
	return nil, nil
}

// accept records a token and reports whether it is new to the caller.
func (p *Reply) accept(token invoker.Token) bool {
	p.attempt.reconnects = 0
	p.lastTokenRead = token.FinishReason != ""
	p.generated.WriteString(token.Text)
	p.offset = token.Offset
	if p.offset%progressInterval == 0 {
		p.router.options.Placer.Progress(p.attempt.placement.Grant, p.offset, true)
	}
	if token.Offset <= p.emitted {
		return false
	}
	p.emitted = token.Offset
	return true
}

// Close ends the request and cancels its attempt. If the caller of a named request was
// cut off, the cancel waits for Limits.Linger, as the caller may reconnect.
func (p *Reply) Close() {
	defer p.router.inFlight.remove(p.request.Request, p.inFlight)
	disconnected := p.ctx.Err() != nil
	p.cancel(context.Canceled)
	if p.attempt == nil {
		return
	}
	linger := time.Duration(0)
	if disconnected && p.request.Named {
		linger = p.router.options.Limits.Linger
	}
	p.abandon(linger, "")
}

// finish releases the grant of a complete answer.
func (p *Reply) finish() {
	p.finished = true
	p.countStrayChunks()
	p.router.options.Isolator.ReportFinished(p.request.Fingerprint)
	p.attempt.stream.Close()
	p.router.options.Placer.Release(p.attempt.placement.Grant, placer.Result{
		Output:    p.offset,
		Prefilled: true,
		Decoded:   true,
	})
	p.attempt = nil
}

// abandon passes the current attempt to the cleaner.
func (p *Reply) abandon(linger time.Duration, failed identifier.Member) {
	a := p.attempt
	p.attempt = nil
	if a.stream != nil {
		a.stream.Close()
	}
	p.router.cleaner.abandon(abandonedAttempt{
		attempt: a.id,
		reader:  a.placement.Attempt,
		members: a.enginesToFree,
		grant:   a.placement.Grant,
		linger:  linger,
		result: placer.Result{
			Output:       p.offset,
			Prefilled:    a.prefilled,
			Decoded:      a.stream != nil,
			FailedMember: failed,
		},
	})
}

func (p *Reply) countStrayChunks() {
	if strays := p.attempt.stream.StrayChunks; strays > 0 {
		p.router.strayChunks.Inc(int64(strays))
	}
}

// recoverStream handles a broken stream: it reconnects to the same engine, or else
// fails the attempt. A nil refusal means that the request continues.
func (p *Reply) recoverStream(cause error) *Refusal {
	p.countStrayChunks()
	if refusal := p.refusalIfEnded(); refusal != nil {
		return refusal
	}
	p.attempt.stream.Close()
	stream, err := p.reopen(p.offset, cause)
	if err != nil {
		return p.failAttempt(p.attempt.decode, err)
	}
	p.router.options.Log.Log(eventStreamResumed, logger.Fields{"request": p.request.Request, "member": p.attempt.decode.Name})
	p.attempt.stream = stream
	return nil
}

// reopen reads the current attempt's stream after an offset. It reconnects while
// connections fail and Limits.Resumes allows; cause is the first failure.
func (p *Reply) reopen(after identifier.Tokens, cause error) (*invoker.Stream, error) {
	a := p.attempt
	err := cause
	for connectionFailed(err) && a.reconnects < p.router.options.Limits.Resumes {
		a.reconnects++
		var stream *invoker.Stream
		stream, err = p.router.options.Engines.Resume(p.ctx, a.decode, a.id, after, a.placement.Attempt)
		if err == nil {
			return stream, nil
		}
	}
	return nil, err
}

// connectionFailed reports whether only the connection failed; the engine may be healthy.
func connectionFailed(err error) bool {
	return errorx.IsOfType(err, invoker.AnswerLost) || errorx.IsOfType(err, invoker.TimedOut)
}

// refusalIfEnded returns a refusal if the request was superseded, timed out or
// cancelled, else nil.
func (p *Reply) refusalIfEnded() *Refusal {
	if p.ctx.Err() == nil {
		return nil
	}
	switch cause := context.Cause(p.ctx); {
	case errors.Is(cause, errSuperseded):
		return unknownRefusal(Superseded, "a later connection took the request over")
	case errors.Is(cause, context.DeadlineExceeded):
		return unknownRefusal(TimedOut, "the request took longer than its route allows")
	default:
		return unknownRefusal(Cancelled, "the caller went away")
	}
}

// failAttempt abandons the current attempt. A nil refusal means that the request
// may continue with a new attempt.
func (p *Reply) failAttempt(member tabulator.Member, err error) *Refusal {
	if refusal := p.refusalIfEnded(); refusal != nil {
		return refusal
	}
	if errorx.IsOfType(err, invoker.Superseded) {
		p.abandon(0, "")
		return unknownRefusal(Superseded, "a later attempt took the request over")
	}
	if p.wasPaused(err) {
		// A paused stream is no engine fault, and its next attempt is no retry.
		p.resumesPaused = true
		p.abandon(0, "")
		return nil
	}
	p.router.options.Log.Log(eventAttemptFailed, logger.Fields{
		"request": p.request.Request, "member": member.Name, "error": err.Error(),
	})
	if networkFailed(err) {
		p.router.unreachable.add(member)
	}
	crashed := p.attempt.reachedEngine && indicatesCrash(err)
	p.abandon(0, member.Name)
	if !errorx.IsOfType(err, invoker.Refused) {
		p.avoidedMembers = append(p.avoidedMembers, member.Name)
	}
	if !crashed {
		return nil
	}
	p.router.options.Isolator.ReportCrash(member.Name, []uint64{p.request.Fingerprint})
	if p.router.options.Isolator.IsQuarantined(p.request.Fingerprint) {
		return unknownRefusal(Quarantined, "this request crashed several engines and is held")
	}
	return nil
}

// wasPaused reports whether an attempt failed because its grant was revoked. If an
// engine no longer has the stream, the revocation may have reached the engine before
// this node, so wasPaused waits for the revocation to arrive.
func (p *Reply) wasPaused(err error) bool {
	grant := p.attempt.placement.Grant
	if errorx.IsOfType(err, invoker.Cancelled) || p.router.revocations.consume(grant) {
		return true
	}
	return errorx.IsOfType(err, invoker.NotFound) && p.router.revocations.waitFor(p.ctx, grant)
}

// indicatesCrash reports whether an engine crashed: it dropped the connection,
// refuses new ones, or came back without the stream. A silent connection or a
// network failure does not indicate a crash.
func indicatesCrash(err error) bool {
	switch {
	case errorx.IsOfType(err, invoker.AnswerLost), errorx.IsOfType(err, invoker.NotFound):
		return true
	default:
		return errorx.IsOfType(err, invoker.ConnectFailed) && connectionRefused(err)
	}
}
