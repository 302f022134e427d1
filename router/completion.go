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

// errSuperseded ends the answer to an earlier connection of the same request.
var errSuperseded = errors.New("a later attempt of the request took over")

// progressTokens is how many tokens pass between two reports of progress.
const progressTokens = 16

// Completion is a model request as a caller sent it.
type Completion struct {
	// Request identifies the request in the fleet. Two callers' requests never
	// share it, whatever names they chose.
	Request identifier.Request
	// Named tells that the caller chose a name and so may come back for it.
	Named   bool
	Account identifier.Account
	Model   identifier.Model
	Path    string
	Method  string
	// Body is the caller's JSON object, and Prompt the text in it.
	Body   map[string]json.RawMessage
	Prompt string
	// Limit is the most tokens to generate, or zero.
	Limit identifier.Tokens
	// After is how many tokens the caller has already, and Resent tells that it
	// sent the request before.
	After  identifier.Tokens
	Resent bool
	// Fingerprint is a hash of path and body, equal for resends.
	Fingerprint uint64
}

// Reply is the answer to a model request, read token by token.
type Reply struct {
	router  *Router
	request Completion
	route   tabulator.Route
	pool    tabulator.Pool
	flight  *flight
	// prefixes are the hashes of the prompt's leading blocks.
	prefixes []uint64
	ctx      context.Context
	stop     context.CancelCauseFunc

	// attempt is the one under way, or nil between two attempts.
	attempt  *attempt
	attempts int
	avoid    []identifier.Member
	// paused tells that the next attempt goes on with a paused stream.
	paused bool
	// begun tells that this node has started an attempt of its own, or given up
	// the one that it was to go on with.
	begun bool
	// ran is set once an engine may have worked for the request.
	ran bool
	// generated is the answer's tokens after from and up to offset. Where from
	// is not zero, an earlier node sent the tokens before it.
	generated strings.Builder
	from      identifier.Tokens
	offset    identifier.Tokens
	// emitted is the offset up to which the caller has the answer. It runs ahead
	// of offset while an answer is generated again.
	emitted  identifier.Tokens
	finished bool
	// ended tells that the last token was read, with the reason to finish.
	ended bool
	// first is the token read ahead to know that the request runs.
	first *invoker.Token
}

// Complete starts a model request and returns when its first token is there.
func (r *Router) Complete(ctx context.Context, request Completion) (*Reply, *Refusal) {
	reply, refusal := r.start(ctx, request)
	if refusal != nil && request.Resent {
		// What is proven for this sending is not for the ones before it.
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
		return nil, notRun(NoRoute, 0, "route %q does not lead to a model pool", route.Name)
	}
	if r.options.Isolator.Held(request.Fingerprint) {
		// The same request ran before, or it would not be held.
		return nil, unknown(Quarantined, "this request crashed several engines and is held")
	}
	if request.Limit <= 0 {
		request.Limit = r.options.Limits.DefaultTokens
	}
	ctx, stop := context.WithCancelCause(ctx)
	bounded, release := context.WithTimeoutCause(ctx, r.timeout(route), context.DeadlineExceeded)
	reply := &Reply{
		router:   r,
		request:  request,
		prefixes: prefixes(request.Prompt),
		route:    route,
		pool:     pool,
		ctx:      bounded,
		ran:      request.Resent,
		emitted:  request.After,
	}
	reply.stop = func(cause error) { stop(cause); release() }
	reply.flight = r.flights.begin(request.Request, stop)
	r.options.Budgets.Pool(pool.Name).Sent()
	token, refusal := reply.Next()
	if refusal != nil {
		reply.Close()
		return nil, refusal
	}
	reply.first = token
	return reply, nil
}

// Next returns the next token, or nil after the last one.
func (p *Reply) Next() (*invoker.Token, *Refusal) {
	if p.first != nil {
		token := p.first
		p.first = nil
		return token, nil
	}
	for !p.finished {
		if p.attempt == nil {
			if refusal := p.begin(); refusal != nil {
				return nil, refusal
			}
			continue
		}
		token, err := p.attempt.stream.Next()
		if errors.Is(err, io.EOF) {
			p.finish()
			return nil, nil
		}
		if err != nil && p.ended {
			// Only the closing event was lost.
			p.finish()
			return nil, nil
		}
		if err != nil {
			if refusal := p.recover(err); refusal != nil {
				return nil, refusal
			}
			continue
		}
		if p.take(token) {
			return &token, nil
		}
	}
	return nil, nil
}

// take notes a token and tells whether the caller does not have it yet.
func (p *Reply) take(token invoker.Token) bool {
	p.attempt.resumes = 0
	p.ended = token.FinishReason != ""
	p.generated.WriteString(token.Text)
	p.offset = token.Offset
	if p.offset%progressTokens == 0 {
		p.router.options.Placer.Progress(p.attempt.placement.Grant, p.offset, true)
	}
	if token.Offset <= p.emitted {
		return false
	}
	p.emitted = token.Offset
	return true
}

// Close ends the request. What still runs for it is cancelled, after a while
// where the caller may come back for it.
func (p *Reply) Close() {
	defer p.router.flights.end(p.request.Request, p.flight)
	cut := p.ctx.Err() != nil
	p.stop(context.Canceled)
	if p.attempt == nil {
		return
	}
	linger := time.Duration(0)
	if cut && p.request.Named {
		linger = p.router.options.Limits.Linger
	}
	p.abandon(linger, "")
}

// finish gives the grant of a whole answer back.
func (p *Reply) finish() {
	p.finished = true
	p.countStrays()
	p.router.options.Isolator.Finished(p.request.Fingerprint)
	p.attempt.stream.Close()
	p.router.options.Placer.Release(p.attempt.placement.Grant, placer.Result{
		Output:    p.offset,
		Prefilled: true,
		Decoded:   true,
	})
	p.attempt = nil
}

// abandon hands the attempt under way to the cleaner.
func (p *Reply) abandon(linger time.Duration, failed identifier.Member) {
	a := p.attempt
	p.attempt = nil
	if a.stream != nil {
		a.stream.Close()
	}
	p.router.cleaner.abandon(abandoned{
		attempt: a.id,
		reader:  a.placement.Attempt,
		members: a.touched,
		grant:   a.placement.Grant,
		linger:  linger,
		result: placer.Result{
			Output:    p.offset,
			Prefilled: a.prefilled,
			Decoded:   a.stream != nil,
			Failed:    failed,
		},
	})
}

func (p *Reply) countStrays() {
	if strays := p.attempt.stream.StrayChunks; strays > 0 {
		p.router.strays.Inc(int64(strays))
	}
}

// recover goes on after the stream broke: on a new connection to the same
// engine, or else with a new attempt.
func (p *Reply) recover(cause error) *Refusal {
	p.countStrays()
	if refusal := p.over(); refusal != nil {
		return refusal
	}
	p.attempt.stream.Close()
	stream, err := p.reopen(p.offset, cause)
	if err != nil {
		return p.fail(p.attempt.decode, err)
	}
	p.router.options.Log.Log(streamResumed, logger.Fields{"request": p.request.Request, "member": p.attempt.decode.Name})
	p.attempt.stream = stream
	return nil
}

// reopen reads the stream of the attempt under way after an offset, on new
// connections while they break and resumes are left. The cause is the failure
// that ended the connection before.
func (p *Reply) reopen(after identifier.Tokens, cause error) (*invoker.Stream, error) {
	a := p.attempt
	err := cause
	for broken(err) && a.resumes < p.router.options.Limits.Resumes {
		a.resumes++
		var stream *invoker.Stream
		stream, err = p.router.options.Engines.Resume(p.ctx, a.decode, a.id, after, a.placement.Attempt)
		if err == nil {
			return stream, nil
		}
	}
	return nil, err
}

// broken tells whether a connection failed while its engine may still be well.
func broken(err error) bool {
	return errorx.IsOfType(err, invoker.AnswerLost) || errorx.IsOfType(err, invoker.TimedOut)
}

// over tells why the request is over for its caller, if it is.
func (p *Reply) over() *Refusal {
	if p.ctx.Err() == nil {
		return nil
	}
	switch cause := context.Cause(p.ctx); {
	case errors.Is(cause, errSuperseded):
		return unknown(Superseded, "a later connection took the request over")
	case errors.Is(cause, context.DeadlineExceeded):
		return unknown(TimedOut, "the request took longer than its route allows")
	default:
		return unknown(Cancelled, "the caller went away")
	}
}

// fail gives up the attempt under way and tells whether the request may go on.
func (p *Reply) fail(member tabulator.Member, err error) *Refusal {
	if refusal := p.over(); refusal != nil {
		return refusal
	}
	if errorx.IsOfType(err, invoker.Superseded) {
		p.abandon(0, "")
		return unknown(Superseded, "a later attempt took the request over")
	}
	if p.pausedBy(err) {
		// The stream was paused: the engine is well, and going on is no retry.
		p.paused = true
		p.abandon(0, "")
		return nil
	}
	p.router.options.Log.Log(attemptFailed, logger.Fields{
		"request": p.request.Request, "member": member.Name, "error": err.Error(),
	})
	if cutOff(err) {
		p.router.unreached.add(member)
	}
	crashed := p.attempt.sent && crashed(err)
	p.abandon(0, member.Name)
	if !errorx.IsOfType(err, invoker.Refused) {
		p.avoid = append(p.avoid, member.Name)
	}
	if !crashed {
		return nil
	}
	p.router.options.Isolator.Crashed(member.Name, []uint64{p.request.Fingerprint})
	if p.router.options.Isolator.Held(p.request.Fingerprint) {
		return unknown(Quarantined, "this request crashed several engines and is held")
	}
	return nil
}

// pausedBy tells whether an attempt failed because its grant was taken back. An
// engine that has lost a stream may have been told to cancel it before this node
// learned of that, so the news gets a moment to arrive.
func (p *Reply) pausedBy(err error) bool {
	grant := p.attempt.placement.Grant
	if errorx.IsOfType(err, invoker.Cancelled) || p.router.revoked.take(grant) {
		return true
	}
	return errorx.IsOfType(err, invoker.NotFound) && p.router.revoked.await(p.ctx, grant)
}

// crashed tells whether an engine lost what it ran: it dropped the connection,
// refuses new ones, or came back without the stream. A connection that fell
// silent or an engine that is cut off is no sign of a crash.
func crashed(err error) bool {
	switch {
	case errorx.IsOfType(err, invoker.AnswerLost), errorx.IsOfType(err, invoker.NotFound):
		return true
	default:
		return errorx.IsOfType(err, invoker.ConnectFailed) && refused(err)
	}
}
