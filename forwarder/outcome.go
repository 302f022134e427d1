package forwarder

import (
	"errors"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/router"
)

const (
	// minStall is the shortest time without an event, or without an answer, that counts against
	// an engine; stallGaps is how many times the longest allowed pause between events does.
	minStall  = time.Second
	stallGaps = 10
	// minPrefillTimeout is the shortest timeout of a prefill that counts against its engine.
	minPrefillTimeout = 500 * time.Millisecond
)

// endingOfError tells what a failed call says about its engine. crashed is set if the engine
// can't be reached after it: its prompt may have crashed it, or this node's link may be cut.
func (c *call) endingOfError(backend Backend, err error, crashed bool) placer.Ending {
	switch {
	case crashed || c.ctx.Err() != nil || errors.Is(rootCause(err), limiter.ErrNoMemory) || c.isLeaving(backend):
		return placer.EndingUnknown
	case errorx.IsOfType(err, Unsent) || errorx.IsOfType(err, Declined):
		return placer.EndingUnknown
	case errorx.IsOfType(err, Faulted) || errorx.Cast(rootCause(err)) != nil && errorx.IsOfType(err, Lost):
		// No error of a connection is behind it.
		return placer.Malformed
	default:
		return placer.BrokenOff
	}
}

// rootCause returns the error at the beginning of a chain. Errors of package errorx hide it from
// errors.Unwrap.
func rootCause(err error) error {
	for {
		typed := errorx.Cast(err)
		if typed == nil || typed.Cause() == nil {
			return err
		}
		err = typed.Cause()
	}
}

// endingOfPrefill is endingOfError for a prefill, which may have reached its timeout.
func (c *call) endingOfPrefill(backend Backend, err error, took time.Duration, timedOut, crashed bool) placer.Ending {
	switch {
	case err == nil:
		return placer.Answered
	case timedOut && took >= minPrefillTimeout && !crashed && !c.isLeaving(backend):
		return placer.TimedOut
	case timedOut:
		return placer.EndingUnknown
	default:
		return c.endingOfError(backend, err, crashed)
	}
}

// endingBeforeAnswer is endingOfError for a stream of which no event has come.
func (c *call) endingBeforeAnswer(backend Backend, err error, took time.Duration, crashed bool) placer.Ending {
	if c.ctx.Err() != nil && time.Until(c.deadline) <= 0 && took >= max(minStall, c.silentAfter()) && !c.isLeaving(backend) {
		return placer.NoProgress
	}
	return c.endingOfError(backend, err, crashed)
}

// endingOfStream tells what the early end of a stream says about its engine. refusal is set if
// the caller, the deadline or this node ended it.
func (r *Reply) endingOfStream(refusal *router.Refusal, cause error, crashed bool) placer.Ending {
	switch {
	case r.isHeldUp(time.Now()) || r.call.isLeaving(r.backend):
		return placer.EndingUnknown
	case refusal == nil:
		return r.call.endingOfError(r.backend, cause, crashed)
	case refusal.Reason == router.TimedOut && time.Since(r.lastEventAt) >= max(minStall, stallGaps*r.call.route.MaxEventGap):
		return placer.NoProgress
	default:
		return placer.EndingUnknown
	}
}

// endingOfStatus tells what an answer without a stream says about its engine.
func endingOfStatus(status int) placer.Ending {
	if status >= http.StatusInternalServerError {
		return placer.Malformed
	}
	return placer.EndingUnknown
}

// isLeaving reports whether a back end shuts down as far as this node knows, and so may cut
// its answers off.
func (c *call) isLeaving(backend Backend) bool {
	listed, known := c.backendTable().Find(backend.Name)
	return !known || listed.Leaving || c.balancer.saidLeaving(backend)
}

// recordEnding counts how an engine's part ended, for the metrics.
func (c *call) recordEnding(part string, ending placer.Ending) {
	if ending.Failed() {
		c.metrics.scope.Tagged(map[string]string{"part": part, "ending": ending.String()}).Counter("engine-failures").Inc(1)
	}
}
