package forwarder

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/placer"
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
	eventPlaced = logger.Define(6205, logrus.InfoLevel, "request placed",
		"The owner of the pool granted a prefill and a decode engine; sampled as requests that went well are.")
	eventRepeated = logger.Define(6206, logrus.InfoLevel, "request sent again",
		"An attempt failed, and the request goes to another back end; the fields say why that is allowed.")
	eventKept = logger.Define(6207, logrus.InfoLevel, "request not sent again",
		"An attempt failed and the request may not be sent again; the field why says which rule forbids it.")
	eventJudgedBad = logger.Define(6208, logrus.WarnLevel, "back end judged bad",
		"Outcomes of real requests put a back end behind the others; the fields have the counts that decided it.")
	eventJudgedGood = logger.Define(6209, logrus.InfoLevel, "back end judged good again",
		"A back end that was judged bad is taken like the others again.")
	eventDrop = logger.Define(6204, logrus.InfoLevel, "prefilled prompt not freed",
		"An engine could not be told to free a KV cache; it frees it by itself after its time.")
)

var verdictNames = [...]string{
	answered: "answered", faulted: "faulted", declined: "declined", replaced: "replaced", lost: "lost", unreached: "unreached", withdrawn: "withdrawn",
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
		if logger.Sampled(string(c.request.Attempt)) || c.sends > c.usualSends() {
			c.options.Log.Log(eventEnded, fields)
		}
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

// usualSends is how many sendings a request takes when nothing fails.
func (c *call) usualSends() int {
	if c.pool.Model {
		return 2
	}
	return 1
}

// logPlaced tells where a model request goes.
func (c *call) logPlaced(placement *placer.Placement, waited time.Duration) {
	if !logger.Sampled(string(c.request.Attempt)) {
		return
	}
	fields := c.fields()
	fields["grant"] = placement.Grant
	fields["prefill"] = placement.Prefill
	fields["decode"] = placement.Decode
	fields["waited-ms"] = waited.Milliseconds()
	fields["prompt"] = c.request.Cost.Prompt
	fields["limit"] = c.request.Cost.Limit
	fields["hint"] = c.request.Cost.Hint
	c.options.Log.Log(eventPlaced, fields)
}

// logDecision tells whether a request goes to another back end after a failure.
func (c *call) logDecision(event logger.Event, why string, err error) {
	fields := c.fields()
	fields["why"] = why
	fields["sends"] = c.sends
	fields["ran"] = c.ran
	if err != nil {
		fields["error"] = err.Error()
	}
	c.options.Log.Log(event, fields)
}

// logJudged tells of a change in what this node believes of a back end.
func (f *Forwarder) logJudged(b Backend, change change) {
	if change == unchanged {
		return
	}
	event := eventJudgedBad
	if change == turnedGood {
		event = eventJudgedGood
	}
	outcomes, faults, share := f.judge.counts(b)
	f.options.Log.Log(event, logger.Fields{
		"member": b.Name, "pool": b.Pool, "outcomes": outcomes, "faults": faults, "pool-share": share,
	})
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

// rankLimit bounds the ranks that are told apart in labels.
const rankLimit = 10

// ranked is the scope of a rank.
func (m metrics) ranked(rank int) tally.Scope {
	return m.scope.Tagged(map[string]string{"rank": strconv.Itoa(min(max(0, rank), rankLimit-1))})
}

// firstEvent counts the time from a request's arrival to the first event of its stream.
func (m metrics) firstEvent(rank int, took time.Duration) {
	m.ranked(rank).Timer("first-event").Record(took)
}

// longestPause counts the longest time between two events of a stream that ended well.
func (m metrics) longestPause(rank int, pause time.Duration) {
	m.ranked(rank).Timer("longest-pause").Record(pause)
}

func (m metrics) ended(c *call, refusal *router.Refusal) {
	outcome, reason := "answered", ""
	if refusal != nil {
		outcome, reason = string(refusal.Outcome), string(refusal.Reason)
	}
	kind := [...]string{Once: "once", Repeatable: "repeatable", Stream: "stream"}[c.route.Kind]
	m.scope.Tagged(map[string]string{"kind": kind, "outcome": outcome, "reason": reason}).Counter("requests").Inc(1)
}
