package forwarder

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/router"
)

var (
	eventEnded = logger.Define(6200, logrus.InfoLevel, "request ended",
		"One line for each request, with its outcome and what decided it; requests that went well are sampled.")
	eventRefused = logger.Define(6201, logrus.WarnLevel, "request refused",
		"The caller was told that the request has not run, and why.")
	eventFailed = logger.Define(6202, logrus.WarnLevel, "request failed",
		"The caller was told that the request may have run, or its answer was cut off.")
	eventSending = logger.Define(6203, logrus.WarnLevel, "sending failed",
		"One sending of a request to a back end gave no answer that can be passed on.")
	eventDrop = logger.Define(6204, logrus.InfoLevel, "prefilled prompt not freed",
		"An engine could not be told to free a KV cache; it frees it by itself after its time.")
)

var verdictNames = [...]string{
	answered: "answered", faulted: "faulted", declined: "declined", lost: "lost", unreached: "unreached", withdrawn: "withdrawn",
}

func (v verdict) String() string { return verdictNames[v] }

// fields are what every line about a call has.
func (c *call) fields() logger.Fields {
	return logger.Fields{
		"request":       c.request.Attempt,
		"route":         c.route.Name,
		"pool":          c.pool.Name,
		"rank":          c.route.Rank,
		"configuration": c.table.Configuration.Number,
		"age-ms":        time.Since(c.request.Arrived).Milliseconds(),
		"left-ms":       time.Until(c.deadline).Milliseconds(),
	}
}

func (c *call) log(refusal *router.Refusal) {
	fields := c.fields()
	fields["sends"] = c.sends
	fields["tried"] = c.tried
	if refusal == nil {
		c.options.Log.Log(eventEnded, fields)
		return
	}
	fields["reason"] = refusal.Reason
	fields["retry-after-ms"] = refusal.RetryAfter.Milliseconds()
	if refusal.Outcome == router.NotRun {
		c.options.Log.Log(eventRefused, fields)
		return
	}
	c.options.Log.Log(eventFailed, fields)
}

func (c *call) logSending(backend Backend, v verdict, err error) {
	fields := c.fields()
	fields["member"] = backend.Name
	fields["verdict"] = v.String()
	if err != nil {
		fields["error"] = err.Error()
	}
	c.options.Log.Log(eventSending, fields)
}

func (c *call) logDrop(source Source, err error) {
	fields := c.fields()
	fields["address"] = source.Address
	fields["error"] = err.Error()
	c.options.Log.Log(eventDrop, fields)
}

// metrics counts requests by kind, rank and outcome, all of which are bounded.
type metrics struct {
	scope tally.Scope
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{scope.SubScope("forwarder")}
}

func (m metrics) ended(c *call, refusal *router.Refusal) {
	outcome, reason := "answered", ""
	if refusal != nil {
		outcome, reason = string(refusal.Outcome), string(refusal.Reason)
	}
	kind := [...]string{Once: "once", Repeatable: "repeatable", Stream: "stream"}[c.route.Kind]
	m.scope.Tagged(map[string]string{"kind": kind, "outcome": outcome, "reason": reason}).Counter("requests").Inc(1)
}
