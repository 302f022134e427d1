package forwarder

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/router"
)

// answerBytes bounds the answer of a plain service, which is kept whole until it
// is known to be complete.
const answerBytes = 8 << 20

// once sends a request that may run only once. It goes to another back end as
// long as it is proven that the ones before have not run it.
func (c *call) once() (*Reply, *router.Refusal) {
	for {
		backend, refusal := c.choose()
		if refusal != nil {
			return nil, refusal
		}
		reply, err := c.send(c.ctx, backend, c.sends > 0)
		if err == nil {
			return reply, nil
		}
		if refusal := c.over(); refusal != nil {
			return nil, refusal
		}
		if !provenNotRun(err) {
			c.logDecision(eventKept, "it may have run, and may run only once", err)
			return nil, unknown(router.AnswerLost, "the answer of the back end was lost")
		}
		if !c.repeatsAfter(err) {
			c.logDecision(eventKept, "the retry budget or the tries are used up", err)
			return nil, notRun(router.BackendDown, retryAfterBusy, "no back end has room")
		}
		c.logDecision(eventRepeated, "it has not run", err)
	}
}

// provenNotRun tells whether an error proves that the request has not run.
func provenNotRun(err error) bool {
	return errorx.IsOfType(err, Unsent) || errorx.IsOfType(err, Declined)
}

// repeatsAfter tells whether a request that has not run may go to another back
// end. One that reached no back end draws on no budget.
func (c *call) repeatsAfter(err error) bool {
	if errorx.IsOfType(err, Unsent) {
		return len(c.tried) < maxReaches
	}
	return c.mayRepeat()
}

// maxReaches bounds the back ends that are tried to be connected to.
const maxReaches = 4

// choose picks the next back end of a plain service.
func (c *call) choose() (Backend, *router.Refusal) {
	backend, ok := c.judge.pick(time.Now(), c.table.Pool(c.pool.Name, ""), c.tried, c.options.DataCentre, c.turn.Add(1))
	if !ok {
		return Backend{}, notRun(router.BackendDown, retryAfterBusy, "no back end takes work")
	}
	return backend, nil
}

// send sends the request to a back end of a plain service and reads the whole
// answer, so that none that was cut off is passed on.
func (c *call) send(ctx context.Context, backend Backend, fresh bool) (*Reply, error) {
	c.tried = append(c.tried, backend.Name)
	reply, err := c.exchange(ctx, backend, fresh)
	if !errorx.IsOfType(err, Unsent) {
		c.sends++
	}
	if !provenNotRun(err) {
		c.ran++
	}
	return reply, err
}

// exchange is send without what it notes in the call.
func (c *call) exchange(ctx context.Context, backend Backend, fresh bool) (*Reply, error) {
	work := c.work(backend)
	work.Fresh = fresh
	began := time.Now()
	c.judge.begin(backend)
	answer, err := c.options.Backends.Send(ctx, work)
	var body []byte
	if err == nil {
		body, err = answer.Body.ReadAll(answerBytes)
		if err != nil {
			err = Lost.Wrap(err, "answer of %s", backend.Name)
		}
	}
	c.judged(ctx, backend, answer, err, time.Since(began))
	if err != nil {
		return nil, err
	}
	return wholeReply(backend, answer, body), nil
}

// judged notes how a sending ended.
func (c *call) judged(ctx context.Context, backend Backend, answer *Answer, err error, took time.Duration) {
	v := verdictFor(err)
	if err == nil {
		v = verdictOf(answer.Status)
	}
	if err != nil && ctx.Err() != nil {
		v = withdrawn
	}
	c.sendingEnded(backend, v, took, err)
	if v == answered {
		c.options.Isolator.Finished(c.request.Fingerprint)
	}
}

func verdictFor(err error) verdict {
	switch {
	case errorx.IsOfType(err, Unreached):
		return unreached
	case errorx.IsOfType(err, Unsent):
		return withdrawn
	case errorx.IsOfType(err, Replaced):
		return replaced
	case errorx.IsOfType(err, Declined):
		return declined
	default:
		return lost
	}
}

// errFault marks an answer with a back end's fault, for which another back end
// may have a better one.
var errFault = errors.New("the back end reports a fault of its own")

// repeatable sends a request that may run again: to a second back end when the
// first fails or is slow, and the budget allows.
func (c *call) repeatable() (*Reply, *router.Refusal) {
	// fault is the latest answer with a fault, passed on if there is none better.
	var fault atomic.Pointer[Reply]
	var reached, ran atomic.Bool
	first, refusal := c.choose()
	if refusal != nil {
		return nil, refusal
	}
	reply, release, err := limiter.Hedge(c.ctx, c.options.Budgets.Pool(c.pool.Name), limiter.HedgeOptions[*Reply]{
		Delay: c.hedgeDelay(),
		Send: func(ctx context.Context, try int) (*Reply, error) {
			backend := first
			if try > 0 {
				other := c.table.Pool(c.pool.Name, "")
				picked, ok := c.judge.pick(time.Now(), other, append(c.tried, first.Name), c.options.DataCentre, c.turn.Add(1))
				if !ok {
					return nil, errFault
				}
				backend = picked
			}
			reply, err := c.exchange(ctx, backend, try > 0)
			reached.Store(reached.Load() || !errorx.IsOfType(err, Unsent))
			ran.Store(ran.Load() || !provenNotRun(err))
			if err == nil && reply.Status >= http.StatusInternalServerError {
				fault.Store(reply)
				return nil, errFault
			}
			return reply, err
		},
	})
	release()
	if ran.Load() {
		c.ran++
	}
	switch {
	case err == nil:
		return reply, nil
	case fault.Load() != nil:
		return fault.Load(), nil
	}
	if refusal := c.over(); refusal != nil {
		return nil, refusal
	}
	if !ran.Load() {
		return nil, notRun(router.BackendDown, retryAfterBusy, "no back end has room")
	}
	return nil, unknown(router.AnswerLost, "no back end answered")
}

const (
	// hedgeShare is the part of the route's target after which a look-up is slow
	// enough for a second one to still be on time.
	hedgeShare = 0.6
	// hedgeUnaimed is the delay where the route has no target.
	hedgeUnaimed = 300 * time.Millisecond
)

func (c *call) hedgeDelay() time.Duration {
	if c.route.Target <= 0 {
		return hedgeUnaimed
	}
	return time.Duration(float64(c.route.Target) * hedgeShare)
}
