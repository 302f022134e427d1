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

// Reply is a back end's answer on its way to the caller.
type Reply struct {
	Status int
	Header http.Header
	// Length is the body's length, or negative where it is not known before
	// its end.
	Length int64
	// Streaming tells that each piece should be passed on as it comes.
	Streaming bool

	call    *call
	backend Backend
	// body is read piece by piece; whole replies have their bytes in it.
	body   Body
	events eventCounter
	sent   time.Time
	ended  bool
	// latest is when the last event came, longest the longest pause between two.
	latest  time.Time
	longest time.Duration
}

// wholeBody is a body that was read already.
type wholeBody struct{ *bytes.Reader }

func (b wholeBody) ReadAll(int64) ([]byte, error) { return io.ReadAll(b.Reader) }
func (wholeBody) Close()                          {}

// wholeReply is a reply whose body is there.
func wholeReply(backend Backend, answer *Answer, body []byte) *Reply {
	return &Reply{
		Status:  answer.Status,
		Header:  answer.Header,
		Length:  int64(len(body)),
		backend: backend,
		body:    wholeBody{bytes.NewReader(body)},
	}
}

// Read reads the body. io.EOF comes only after its proper end; any other error
// means that the answer must not look complete to the caller.
func (r *Reply) Read(buffer []byte) (int, error) {
	n, err := r.body.Read(buffer)
	if r.Streaming {
		r.progress(buffer[:n])
	}
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		r.end(nil)
		return n, io.EOF
	}
	r.broke(err)
	return n, err
}

// progress notes how far a stream has come.
func (r *Reply) progress(piece []byte) {
	before := r.events.count
	r.events.add(piece)
	if r.events.count == before {
		return
	}
	r.time(time.Now(), before)
	if r.call.grant != "" {
		output := identifier.Tokens(r.events.count) * r.call.pool.EventTokens
		r.call.result.Output = output
		r.call.options.Placer.Progress(r.call.grant, output, true)
	}
}

// time notes when events came; before is how many had come earlier.
func (r *Reply) time(now time.Time, before int) {
	if before == 0 {
		r.call.metrics.firstEvent(r.call.route.Rank, now.Sub(r.call.request.Arrived))
	} else {
		r.longest = max(r.longest, now.Sub(r.latest))
	}
	r.latest = now
}

// broke ends a stream that its engine cut off, or that has to stop.
func (r *Reply) broke(cause error) {
	refusal := r.call.over()
	if refusal == nil {
		refusal = unknown(router.StreamLost, "the back end broke its answer off")
		if r.call.sendingEnded(r.backend, lost, time.Since(r.sent), cause) {
			r.call.result.FailedMember = r.backend.Name
		}
	} else {
		r.call.judge.end(time.Now(), r.backend, withdrawn, 0)
	}
	r.body.Close()
	r.end(refusal)
}

func (r *Reply) end(refusal *router.Refusal) {
	if r.ended {
		return
	}
	r.ended = true
	if r.Streaming && refusal == nil {
		r.call.judge.end(time.Now(), r.backend, verdictOf(r.Status), time.Since(r.sent))
		r.call.options.Isolator.Finished(r.call.request.Fingerprint)
		r.call.metrics.longestPause(r.call.route.Rank, r.longest)
	}
	r.call.finish(refusal)
}

// Close gives up what was not read. It may be called at any time.
func (r *Reply) Close() {
	if r.ended {
		return
	}
	r.body.Close()
	if r.Streaming {
		r.call.judge.end(time.Now(), r.backend, withdrawn, 0)
	}
	r.end(unknown(router.Cancelled, "the caller went away"))
}

func verdictOf(status int) verdict {
	if status >= http.StatusInternalServerError {
		return faulted
	}
	return answered
}

// eventCounter counts the events of a text/event-stream in pieces of any size:
// an event ends at an empty line.
type eventCounter struct {
	count int
	// line tells that the current line has a character.
	line bool
	// field tells that the current event has a line.
	field bool
}

func (c *eventCounter) add(piece []byte) {
	for _, b := range piece {
		switch {
		case b == '\r':
		case b != '\n':
			c.line = true
		case c.line:
			c.line, c.field = false, true
		case c.field:
			c.field = false
			c.count++
		}
	}
}
