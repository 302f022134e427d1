package forwarder

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/router"
)

// maxAnswerBytes bounds the answer of a plain service, a back end that is not an
// engine. The answer is buffered until it is known to be complete.
const maxAnswerBytes = 8 << 20

// runOnce sends a request that must run at most once. It retries on another back end
// only if the error of each earlier send proves that the request did not run.
func (c *call) runOnce() (*Reply, *router.Refusal) {
	for {
		backend, refusal := c.pickBackend()
		if refusal != nil {
			return nil, refusal
		}
		reply, err := c.send(c.ctx, backend, c.sends > 0)
		if err == nil {
			return reply, nil
		}
		if refusal := c.refusalIfEnded(); refusal != nil {
			return nil, refusal
		}
		if !provenNotRun(err) {
			c.logDecision(eventNotResent, "it may have run, and may run only once", err)
			return nil, unknownRefusal(router.AnswerLost, "the back end failed or its answer was lost")
		}
		if !c.canResendAfter(err) {
			c.logDecision(eventNotResent, "the retry budget or the tries are used up", err)
			return nil, notRunRefusal(router.BackendDown, retryAfterBusy, "no back end has room")
		}
		c.logDecision(eventResent, "it has not run", err)
	}
}

// provenNotRun reports whether an error proves that the request did not run.
func provenNotRun(err error) bool {
	return errorx.IsOfType(err, Unsent) || errorx.IsOfType(err, Declined)
}

// canResendAfter reports whether a request that did not run may go to another back
// end. A send that reached no back end takes nothing from the retry budget.
func (c *call) canResendAfter(err error) bool {
	if errorx.IsOfType(err, Unsent) {
		return len(c.tried) < maxBackendsTried
	}
	return c.takeRetry()
}

// maxBackendsTried bounds the back ends to which a connection is attempted.
const maxBackendsTried = 4

// pickBackend picks the next back end of a request that is not a model request.
func (c *call) pickBackend() (Backend, *router.Refusal) {
	now := time.Now()
	candidates := c.backendTable().Pool(c.pool.Name, "")
	backend, ok := c.balancer.pick(now, candidates, c.tried, c.options.DataCentre, c.rotation.Add(1))
	if !ok {
		wait := c.balancer.shortestWait(now, candidates)
		return Backend{}, notRunRefusal(router.BackendDown, max(wait, retryAfterBusy), "no back end takes work")
	}
	return backend, nil
}

// send sends the request to a back end of a plain service, counts the send, and
// reads the whole answer. A truncated answer is an error.
func (c *call) send(ctx context.Context, backend Backend, newConnection bool) (*Reply, error) {
	c.tried = append(c.tried, backend.Name)
	reply, err := c.sendAndRead(ctx, backend, newConnection)
	if !errorx.IsOfType(err, Unsent) {
		c.noteSent()
	}
	if !provenNotRun(err) {
		c.possibleRuns++
	}
	return reply, err
}

// sendAndRead sends the request and reads the whole answer without changing the
// call, so that runRepeatable can call it concurrently.
func (c *call) sendAndRead(ctx context.Context, backend Backend, newConnection bool) (*Reply, error) {
	work := c.newWork(backend)
	work.NewConnection = newConnection
	requestBytes := len(c.request.Body)
	began := time.Now()
	c.balancer.countSent(backend)
	recorded := false
	defer func() {
		if !recorded {
			// A panic must not leave the request counted as in flight.
			c.balancer.recordResult(time.Now(), backend, withdrawn, 0)
		}
	}()
	answer, err := c.options.Backends.Send(ctx, work)
	var body []byte
	if err == nil {
		body, err = c.readAnswer(backend, answer)
		if err != nil {
			answer.Body.Close()
		}
	}
	recorded = true
	c.recordResult(ctx, backend, answer, err, time.Since(began))
	if err != nil {
		return nil, err
	}
	c.balancer.recordBytes(backend, c.options.DataCentre, requestBytes+len(body))
	return c.newBufferedReply(backend, answer, body), nil
}

// readAnswer reads the whole body of an answer. It fails with Lost if the body is truncated or
// too long, or the memory for answers is in use, or if the end of the connection marks that of the
// body and the back end has ended.
func (c *call) readAnswer(backend Backend, answer *Answer) ([]byte, error) {
	body, err := c.answers.ReadAll(answer.Body, answer.Length, maxAnswerBytes)
	if err != nil {
		return nil, Lost.Wrap(err, "answer of %s", backend.Name)
	}
	if !answer.Framed && c.hasEnded(backend) {
		return nil, Lost.New("%s ended with its answer", backend.Name)
	}
	return body, nil
}

func (c *call) recordResult(ctx context.Context, backend Backend, answer *Answer, err error, took time.Duration) {
	result := resultOfError(err)
	if err == nil {
		result = resultOfStatus(answer.Status)
	}
	if err != nil && ctx.Err() != nil {
		result = withdrawn
		if took >= c.silentAfter() {
			result = silent
		}
	}
	c.recordSendResult(backend, result, took, err)
	if result == answered {
		c.options.Isolator.ReportFinished(c.request.Fingerprint)
	}
}

const (
	// silentTargets is after how many times its route's target a request without an answer
	// shows that its back end is silent, and minSilence the shortest such time.
	silentTargets = 2
	minSilence    = 250 * time.Millisecond
)

// silentAfter returns how long a request must have waited to show that its back end is silent.
func (c *call) silentAfter() time.Duration {
	return max(minSilence, silentTargets*c.route.Target)
}

func resultOfError(err error) sendResult {
	switch {
	case errorx.IsOfType(err, Unreached):
		return unreached
	case errorx.IsOfType(err, Unsent):
		return withdrawn
	case errorx.IsOfType(err, Replaced):
		return replaced
	case errorx.IsOfType(err, Declined):
		return declined
	case errorx.IsOfType(err, Faulted):
		return faulted
	default:
		return lost
	}
}

// errBackendFault marks an answer with a server error. A second back end may have a
// better answer.
var errBackendFault = errors.New("the back end reports a fault of its own")

// errNoBackend means that no back end takes the request, which has been sent to none.
var errNoBackend = errors.New("no back end takes work")

// unsent reports whether an error proves that a try has reached no back end.
func unsent(err error) bool {
	return errors.Is(err, errNoBackend) || errorx.IsOfType(err, Unsent)
}

// lookUp is the state of a repeatable request that its tries share.
type lookUp struct {
	*call
	first Backend
	// fault is the latest answer with a server error, returned if no better one comes.
	fault      atomic.Pointer[Reply]
	mayHaveRun atomic.Bool
	mutex      sync.Mutex
	// chosen has the back ends of all tries. It is guarded by mutex.
	chosen []identifier.Member
}

// runRepeatable sends a request that may run more than once. It sends it to a second
// back end when the first fails or is slow and the retry budget allows it.
func (c *call) runRepeatable() (*Reply, *router.Refusal) {
	first, refusal := c.pickBackend()
	if refusal != nil {
		return nil, refusal
	}
	l := &lookUp{call: c, first: first}
	reply, release, err := limiter.Hedge(c.ctx, c.options.Budgets.Pool(c.pool.Name), limiter.HedgeOptions[*Reply]{
		Delay: c.hedgeDelay(), Send: l.try, Unsent: unsent,
		OnPanic: func(value any, stack []byte) { c.reportPanic("hedge", value, stack) },
	})
	release()
	if l.mayHaveRun.Load() {
		c.possibleRuns++
	}
	if err == nil {
		return reply, nil
	}
	l.logIfNotResent(err)
	if fault := l.fault.Load(); fault != nil {
		return fault, nil
	}
	if refusal := c.refusalIfEnded(); refusal != nil {
		return nil, refusal
	}
	if !l.mayHaveRun.Load() {
		return nil, notRunRefusal(router.BackendDown, retryAfterBusy, "no back end has room")
	}
	return nil, unknownRefusal(router.AnswerLost, "no back end returned a usable answer")
}

// try makes one try at a back end that no earlier try has chosen, if there is one.
func (l *lookUp) try(ctx context.Context, try int) (*Reply, error) {
	backend, ok := l.choose(try)
	if !ok {
		return nil, errNoBackend
	}
	notRun := false
	defer func() {
		// Also after a panic, whatever its value.
		if !notRun {
			l.mayHaveRun.Store(true)
		}
	}()
	reply, err := l.sendAndRead(ctx, backend, try > 0)
	notRun = provenNotRun(err)
	if err == nil && reply.Status >= http.StatusInternalServerError {
		l.fault.Store(reply)
		return nil, errBackendFault
	}
	return reply, err
}

func (l *lookUp) choose(try int) (backend Backend, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	backend, ok = l.first, true
	if try > 0 {
		candidates := l.backendTable().Pool(l.pool.Name, "")
		backend, ok = l.balancer.pick(time.Now(), candidates, l.chosen, l.options.DataCentre, l.rotation.Add(1))
	}
	if ok {
		l.chosen = append(l.chosen, backend.Name)
	}
	return backend, ok
}

// logIfNotResent logs that a failed request was not sent to a second back end.
func (l *lookUp) logIfNotResent(err error) {
	l.mutex.Lock()
	count := len(l.chosen)
	l.mutex.Unlock()
	if count == 1 && l.ctx.Err() == nil {
		l.logDecision(eventNotResent, "the retry budget is used up, or no other back end takes work", err)
	}
}

const (
	// hedgeDelayShare is the share of the route's target after which a request is
	// hedged. The rest of the target is the time for the second answer.
	hedgeDelayShare = 0.6
	// defaultHedgeDelay is the hedge delay of routes without a target.
	defaultHedgeDelay = 300 * time.Millisecond
)

func (c *call) hedgeDelay() time.Duration {
	if c.route.Target <= 0 {
		return defaultHedgeDelay
	}
	return time.Duration(float64(c.route.Target) * hedgeDelayShare)
}
