package forwarder

import (
	"errors"
	"maps"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/router"
)

// A panic in a request's goroutine ends that request only. What the request holds, such as its
// grant of engine memory, is given back.

// errPanicked ends an answer after a panic.
var errPanicked = errors.New("this node failed at the request")

// runGuarded is run, whose panics become refusals.
func (c *call) runGuarded() (reply *Reply, refusal *router.Refusal) {
	defer func() {
		if value := recover(); value != nil {
			c.reportPanic("run", value, debug.Stack())
			reply, refusal = nil, unknownRefusal(router.Internal, errPanicked.Error())
			if isAbort(value) {
				c.finish(refusal)
				panic(value)
			}
		}
	}()
	return c.run()
}

// endAfterPanic ends a reply whose Read has panicked with a value. The caller must recover.
func (r *Reply) endAfterPanic(value any) error {
	r.call.reportPanic("read", value, debug.Stack())
	if !r.finished {
		r.body.Close()
		if r.Streaming {
			r.call.balancer.recordResult(time.Now(), r.backend, withdrawn, 0)
		}
		r.finish(unknownRefusal(router.Internal, errPanicked.Error()))
	}
	if isAbort(value) {
		panic(value)
	}
	return errPanicked
}

// isAbort reports whether a panic is that with which a handler of net/http aborts its answer.
func isAbort(value any) bool {
	return value == http.ErrAbortHandler //nolint:errorlint // net/http compares it in the same way.
}

// reportPanic logs and counts a panic, unless it aborts an answer on purpose.
func (c *call) reportPanic(where string, value any, stack []byte) {
	if isAbort(value) {
		return
	}
	c.metrics.scope.Tagged(map[string]string{"where": where}).Counter("panics").Inc(1)
	fields := c.logFields()
	maps.Copy(fields, logger.PanicFields(value, stack))
	fields["where"] = where
	c.options.Log.Log(eventPanicked, fields)
}
