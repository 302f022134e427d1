package forwarder

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/router"
)

// Reply is a back end's answer that the caller reads.
type Reply struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, or negative if it is unknown before
	// the end.
	Length int64
	// Streaming means that each piece must be passed on as it arrives.
	Streaming bool

	call    *call
	backend Backend
	// body is the answer's body, either buffered or read from the back end.
	body         Body
	framed       bool
	events       eventCounter
	sentAt       time.Time
	finished     bool
	lastEventAt  time.Time
	longestPause time.Duration
}

type bufferedBody struct{ *bytes.Reader }

func (bufferedBody) Close() {}

// newBufferedReply returns a reply whose whole body is in memory.
func newBufferedReply(backend Backend, answer *Answer, body []byte) *Reply {
	return &Reply{
		Status:  answer.Status,
		Header:  answer.Header,
		Length:  int64(len(body)),
		backend: backend,
		body:    bufferedBody{bytes.NewReader(body)},
	}
}

// Read reads the body. It returns io.EOF only after a complete body. After any other
// error, the body that is sent to the caller must not look complete.
func (r *Reply) Read(buffer []byte) (int, error) {
	n, err := r.body.Read(buffer)
	if r.Streaming {
		r.recordProgress(buffer[:n])
	}
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) && r.endsEarly() {
		err = errStreamCut
	}
	if errors.Is(err, io.EOF) {
		r.finish(nil)
		return n, io.EOF
	}
	r.handleReadError(err)
	return n, err
}

var errStreamCut = errors.New("the stream ended inside an event, without one, or with its engine")

// endsEarly reports whether a stream that ended without an error is incomplete: it has no
// event or ends inside one, or only its connection marks its end and the engine is gone.
func (r *Reply) endsEarly() bool {
	if !r.Streaming || r.finished || r.Status >= http.StatusMultipleChoices {
		return false
	}
	return r.events.count == 0 || r.events.insideEvent() || !r.framed && r.call.hasEnded(r.backend)
}

// recordProgress counts the events of a piece and reports the tokens so far to the placer.
func (r *Reply) recordProgress(piece []byte) {
	earlierEvents := r.events.count
	r.events.add(piece)
	if r.events.count == earlierEvents {
		return
	}
	r.recordEventTime(time.Now(), earlierEvents)
	if r.call.grant != "" {
		output := identifier.Tokens(r.events.count) * r.call.pool.EventTokens
		r.call.grantResult.Output = output
		r.call.options.Placer.Progress(r.call.grant, output, true)
	}
}

// recordEventTime records that events arrived at now, after earlierEvents earlier ones.
func (r *Reply) recordEventTime(now time.Time, earlierEvents int) {
	if earlierEvents == 0 {
		r.call.metrics.recordFirstEvent(r.call.route.Rank, now.Sub(r.call.request.Arrived))
	} else {
		r.longestPause = max(r.longestPause, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
}

// handleReadError ends a reply that the back end cut off or that was cancelled.
func (r *Reply) handleReadError(cause error) {
	refusal := r.call.refusalIfEnded()
	if refusal == nil {
		refusal = unknownRefusal(router.StreamLost, "the back end broke its answer off")
		if r.call.recordSendResult(r.backend, lost, time.Since(r.sentAt), cause) {
			r.call.grantResult.FailedMember = r.backend.Name
		}
	} else {
		r.call.balancer.recordResult(time.Now(), r.backend, withdrawn, 0)
	}
	r.body.Close()
	r.finish(refusal)
}

func (r *Reply) finish(refusal *router.Refusal) {
	if r.finished {
		return
	}
	r.finished = true
	if r.Streaming && refusal == nil {
		r.call.balancer.recordResult(time.Now(), r.backend, resultOfStatus(r.Status), time.Since(r.sentAt))
		r.call.options.Isolator.ReportFinished(r.call.request.Fingerprint)
		if resultOfStatus(r.Status) == answered {
			r.call.options.Isolator.ReportPartsFinished(r.call.request.Cost.parts())
		}
		r.call.metrics.recordLongestPause(r.call.route.Rank, r.longestPause)
	}
	r.call.finish(refusal)
}

// Close cancels an unfinished answer. It may be called more than once.
func (r *Reply) Close() {
	if r.finished {
		return
	}
	r.body.Close()
	if r.Streaming {
		r.call.balancer.recordResult(time.Now(), r.backend, withdrawn, 0)
	}
	r.finish(unknownRefusal(router.Cancelled, "the caller went away"))
}

func resultOfStatus(status int) sendResult {
	if status >= http.StatusInternalServerError {
		return faulted
	}
	return answered
}

// eventCounter counts the events of a text/event-stream that arrives in pieces of
// any size. An event ends at an empty line.
type eventCounter struct {
	count        int
	lineHasText  bool
	eventHasLine bool
}

func (c *eventCounter) insideEvent() bool { return c.lineHasText || c.eventHasLine }

func (c *eventCounter) add(piece []byte) {
	for _, b := range piece {
		switch {
		case b == '\r':
		case b != '\n':
			c.lineHasText = true
		case c.lineHasText:
			c.lineHasText, c.eventHasLine = false, true
		case c.eventHasLine:
			c.eventHasLine = false
			c.count++
		}
	}
}
