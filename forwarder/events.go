package forwarder

import (
	"math"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/router"
)

var (
	eventEnded = logger.Define(6200, logrus.InfoLevel, "request ended",
		"A request was answered; the fields say which back ends it was sent to. Requests answered without a retry are sampled.")
	eventRefused = logger.Define(6201, logrus.WarnLevel, "request refused",
		"The caller got a refusal that says that the request has not run, and why.")
	eventFailed = logger.Define(6202, logrus.WarnLevel, "request failed",
		"The caller got a refusal that says that the request may have run, or a truncated answer.")
	eventSendFailed = logger.Define(6203, logrus.WarnLevel, "send failed",
		"One send of a request to a back end returned no usable answer.")
	eventPlaced = logger.Define(6205, logrus.InfoLevel, "request placed",
		"The owner of the pool granted a prefill and a decode engine; sampled like requests that succeed.")
	eventResent = logger.Define(6206, logrus.InfoLevel, "request sent again",
		"An attempt failed and the request goes to another back end; the field why says what allows it.")
	eventNotResent = logger.Define(6207, logrus.InfoLevel, "request not sent again",
		"An attempt failed and the request must not be sent again; the field why says which rule forbids it.")
	eventUnhealthy = logger.Define(6208, logrus.WarnLevel, "back end unhealthy",
		"Results of real requests make this node prefer other back ends; the fields have the counts of outcomes and faults.")
	eventHealthy = logger.Define(6209, logrus.InfoLevel, "back end healthy again",
		"An unhealthy back end recovered and gets requests like the others again.")
	eventGrantUnused = logger.Define(6210, logrus.InfoLevel, "granted engine not used",
		"The engine that the pool's owner granted is leaving or not listed on this node, or wants no requests; the request is placed again.")
	eventRate = logger.Define(6212, logrus.InfoLevel, "back end names a rate",
		"A back end says how many requests a second it takes from all nodes together, or a different number than before; zero means that it no longer does. sent is how many this node has sent it so far.")
	eventNotice = logger.Define(6211, logrus.InfoLevel, "back end wants no requests",
		"A back end said that it leaves, or that it wants no requests from this node for pause-ms. It gets none.")
	eventUnauthenticated = logger.Define(6213, logrus.InfoLevel, "request without a valid key",
		"The caller sent no API key, or none of an account of the configuration in force, and got 401. The key itself is never logged.")
	eventSlow = logger.Define(6220, logrus.InfoLevel, "back end slow",
		"By this node's own requests of the last seconds, a back end of a plain service takes at least twice as long as the quickest one of its pool; the field delay has how many times longer. It gets fewer requests.")
	eventNotSlow = logger.Define(6221, logrus.InfoLevel, "back end no longer slow",
		"A slow back end of a plain service takes about as long as the others again, or has not been tried for some seconds, and gets requests like the others.")
	eventInvalidRate = logger.Define(6215, logrus.WarnLevel, "back end names an invalid rate",
		"A back end says that it takes a number of requests a second that can't be one, such as 2^64 - 1. It counts as no limit. Logged once for each process of a back end.")
	eventInvalidCost = logger.Define(6217, logrus.InfoLevel, "caller names an invalid number",
		"A request names a number of tokens out of bounds, which counts as unknown. Logged for the first such request of the process only, and all are counted (invalid-costs).")
	eventUnreadablePart = logger.Define(6218, logrus.WarnLevel, "part of a prompt without an id",
		"A request names a part of its prompt without an id. The part is left out: it is not known to be cached anywhere, and can't be held if it crashes engines. Logged once a minute, and all such requests are counted (unreadable-parts).")
	eventPanicked = logger.Define(6216, logrus.ErrorLevel, "request ended by a panic",
		"A fault of this program ended one request, whose caller got 502 or a closed connection. Report the value and the stack.")
	eventFreeFailed = logger.Define(6204, logrus.InfoLevel, "prefilled prompt not freed",
		"A KV cache could not be freed at its engine, or too many caches waited to be freed; the engine frees the cache when its handle expires.")
)

// fieldRequest is the log field with the id of a request, and fieldMember that with the name of a
// back end.
const (
	fieldRequest = "request"
	fieldMember  = "member"
)

var sendResultNames = [...]string{
	answered: "answered", faulted: "faulted", declined: "declined", replaced: "replaced", lost: "lost", unreached: "unreached", silent: "silent", withdrawn: "withdrawn",
}

func (r sendResult) String() string { return sendResultNames[r] }

// logFields returns the fields of every log line about the call.
func (c *call) logFields() logger.Fields {
	return logger.Fields{
		fieldRequest:    c.request.Attempt,
		"route":         c.route.Name,
		"pool":          c.pool.Name,
		"rank":          c.rank(),
		"account":       c.account.Name,
		"configuration": c.table.Configuration.Number,
		"age-ms":        time.Since(c.request.Arrived).Milliseconds(),
		"left-ms":       time.Until(c.deadline).Milliseconds(),
	}
}

func (c *call) logEnd(refusal *router.Refusal) {
	fields := c.logFields()
	fields["sends"] = c.sends
	fields["tried"] = c.tried
	if refusal == nil {
		if logger.Sampled(string(c.request.Attempt)) || c.sends > c.expectedSends() {
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

// expectedSends returns how many sends a request takes when nothing fails.
func (c *call) expectedSends() int {
	if c.pool.Model {
		return 2
	}
	return 1
}

// logPlaced logs the engines that were granted, for sampled requests only.
func (c *call) logPlaced(placement *placer.Placement, waited time.Duration) {
	if !logger.Sampled(string(c.request.Attempt)) {
		return
	}
	fields := c.logFields()
	fields["grant"] = placement.Grant
	fields["prefill"] = placement.Prefill
	fields["decode"] = placement.Decode
	fields["waited-ms"] = waited.Milliseconds()
	fields["prompt"] = c.request.Cost.Prompt
	fields["limit"] = c.request.Cost.Limit
	fields["hint"] = c.request.Cost.Hint
	c.options.Log.Log(eventPlaced, fields)
}

// logDecision logs whether a request is sent again after a failure, and why.
func (c *call) logDecision(event logger.Event, why string, err error) {
	fields := c.logFields()
	fields["why"] = why
	fields["sends"] = c.sends
	fields["ran"] = c.possibleRuns
	if err != nil {
		fields["error"] = err.Error()
	}
	c.options.Log.Log(event, fields)
}

// logHealthChange logs that a back end became unhealthy or healthy.
func (f *Forwarder) logHealthChange(backend Backend, change healthChange) {
	if change == unchanged {
		return
	}
	event := eventUnhealthy
	if change == becameHealthy {
		event = eventHealthy
	}
	outcomes, faults, poolFaultShare := f.balancer.faultCounts(backend)
	f.options.Log.Log(event, logger.Fields{
		fieldMember: backend.Name, "pool": backend.Pool, "outcomes": outcomes, "faults": faults, "pool-share": poolFaultShare,
	})
}

// logDelayChange logs that a back end has become slow, or no longer is.
func (f *Forwarder) logDelayChange(backend Backend, relative float64, change healthChange) {
	if change == unchanged {
		return
	}
	event := eventSlow
	if change == becameHealthy {
		event = eventNotSlow
	}
	f.options.Log.Log(event, logger.Fields{
		fieldMember: backend.Name, "pool": backend.Pool, "delay": math.Round(relative*100) / 100,
	})
}

func (c *call) logSendFailed(backend Backend, result sendResult, err error) {
	fields := c.logFields()
	fields[fieldMember] = backend.Name
	fields["verdict"] = result.String()
	if err != nil {
		fields["error"] = err.Error()
	}
	c.options.Log.Log(eventSendFailed, fields)
}

func (c *call) logGrantUnused(member identifier.Member, why string) {
	fields := c.logFields()
	fields[fieldMember] = member
	fields["why"] = why
	c.options.Log.Log(eventGrantUnused, fields)
}

func (c *call) logNotice(backend Backend, notice Notice) {
	c.options.Log.Log(eventNotice, logger.Fields{
		fieldRequest: c.request.Attempt, fieldMember: backend.Name, "pool": backend.Pool,
		"leaving": notice.Leaving, "pause-ms": notice.Pause.Milliseconds(),
	})
}

// logRate logs a rate that is news.
func (c *call) logRate(backend Backend, rate float64, sent int) {
	c.options.Log.Log(eventRate, logger.Fields{
		fieldRequest: c.request.Attempt, fieldMember: backend.Name, "pool": backend.Pool, "rate": rate, "sent": sent,
	})
}

// noteInvalidCost counts a request with a number out of bounds, and logs the first.
func (c *call) noteInvalidCost() {
	c.metrics.scope.Counter("invalid-costs").Inc(1)
	if !c.invalidCostLogged.Swap(true) {
		c.options.Log.Log(eventInvalidCost, c.logFields())
	}
}

// noteUnreadablePart counts a request with a part that can't be told apart, and logs one a span.
func (c *call) noteUnreadablePart() {
	c.metrics.scope.Counter("unreadable-parts").Inc(1)
	if c.unreadableParts.isDue(time.Now()) {
		c.options.Log.Log(eventUnreadablePart, c.logFields())
	}
}

// logSpan is the time in which one of several like events is logged.
const logSpan = time.Minute

// logTurn tells when a frequent event is to be logged again.
type logTurn struct {
	next atomic.Pointer[time.Time]
}

// isDue reports whether the event was not logged in the last logSpan.
func (l *logTurn) isDue(now time.Time) bool {
	next, after := l.next.Load(), now.Add(logSpan)
	return (next == nil || !now.Before(*next)) && l.next.CompareAndSwap(next, &after)
}

// logInvalidRate logs a rate that is out of bounds, as the back end named it.
func (c *call) logInvalidRate(backend Backend, named string) {
	c.metrics.scope.Counter("invalid-rates").Inc(1)
	c.options.Log.Log(eventInvalidRate, logger.Fields{
		fieldRequest: c.request.Attempt, fieldMember: backend.Name, "pool": backend.Pool, "named": named,
	})
}

func (c *call) logFreeFailed(source KVSource, err error) {
	fields := c.logFields()
	fields["address"] = source.Address
	fields["error"] = err.Error()
	c.options.Log.Log(eventFreeFailed, fields)
}

// metrics counts requests by kind, rank and outcome. All labels have few values.
type metrics struct {
	scope tally.Scope
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{scope.SubScope("forwarder")}
}

// maxRankLabels bounds the distinct rank labels; higher ranks share the last label.
const maxRankLabels = 10

func (m metrics) rankScope(rank int) tally.Scope {
	return m.scope.Tagged(map[string]string{"rank": strconv.Itoa(min(max(0, rank), maxRankLabels-1))})
}

// recordFirstEvent records the time from a request's arrival to its stream's first event.
func (m metrics) recordFirstEvent(rank int, took time.Duration) {
	m.rankScope(rank).Timer("first-event").Record(took)
}

// recordLongestPause records the longest time between two events of a completed stream.
func (m metrics) recordLongestPause(rank int, pause time.Duration) {
	m.rankScope(rank).Timer("longest-pause").Record(pause)
}

func (m metrics) recordEnd(c *call, refusal *router.Refusal) {
	outcome, reason := "answered", ""
	if refusal != nil {
		outcome, reason = string(refusal.Outcome), string(refusal.Reason)
	}
	kind := [...]string{Once: "once", Repeatable: "repeatable", Stream: "stream"}[c.route.Kind]
	m.scope.Tagged(map[string]string{"kind": kind, "outcome": outcome, "reason": reason}).Counter("requests").Inc(1)
}
