package forwarder

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/placer"
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
	body   Body
	framed bool
	events eventCounter
	sentAt time.Time
	// begun is what Read has not returned yet of the beginSize bytes that awaitFirstEvent has
	// read; beginError is the error of its last read, or nil.
	begun      []byte
	beginSize  int
	beginError error
	finished   bool
	// firstEventAt is when the first event came.
	firstEventAt time.Time
	// soundReported is set once the parts of the prompt were reported not to crash engines.
	soundReported bool
	lastEventAt   time.Time
	longestPause  time.Duration
	// awaitedSince is when the caller was last given a piece, and heldUpAt when it last held the
	// answer up, zero if it never did.
	awaitedSince, heldUpAt time.Time
}

const (
	// heldUpAfter is how long a caller takes for one piece of an answer when it, and not the back
	// end, holds the answer up.
	heldUpAfter = time.Second
	// heldUpFor is how long after that a back end may have cut the answer off because nobody read
	// it. The node first reads what the buffers between them hold.
	heldUpFor = 15 * time.Second
)

// Deadline returns when the answer must be complete.
func (r *Reply) Deadline() time.Time { return r.call.deadline }

// AwaitCaller notes that the caller is given a piece of the answer. When the node has no memory
// for other requests and the caller is the slowest, it calls yield, which must end the wait.
func (r *Reply) AwaitCaller(yield func()) {
	r.awaitedSince = time.Now()
	r.call.answers.Await(yield)
	r.call.request.Memory.Await(yield)
}

// EndAwaitCaller notes that the caller has taken the piece. It returns false if the answer must be
// cut off, since its memory was needed for others.
func (r *Reply) EndAwaitCaller() bool {
	if now := time.Now(); now.Sub(r.awaitedSince) >= heldUpAfter {
		r.heldUpAt = now
	}
	keptAnswer, keptRequest := r.call.answers.EndAwait(), r.call.request.Memory.EndAwait()
	return keptAnswer && keptRequest
}

// isHeldUp reports whether the caller has held the answer up, so that its end is no sign of a
// fault of the back end, which cuts off what nobody reads.
func (r *Reply) isHeldUp(now time.Time) bool {
	return !r.heldUpAt.IsZero() && now.Sub(r.heldUpAt) < heldUpFor
}

type bufferedBody struct{ *bytes.Reader }

func (bufferedBody) Close() {}

// newBufferedReply returns a reply whose whole body is in memory.
func (c *call) newBufferedReply(backend Backend, answer *Answer, body []byte) *Reply {
	return &Reply{
		Status:  answer.Status,
		Header:  answer.Header,
		Length:  int64(len(body)),
		call:    c,
		backend: backend,
		body:    bufferedBody{bytes.NewReader(body)},
	}
}

const (
	// beginReadBytes holds a typical first event with some of the next ones.
	beginReadBytes = 4 << 10
	// maxFirstEventBytes bounds what precedes the end of a stream's first event.
	maxFirstEventBytes = 64 << 10
)

// awaitFirstEvent reads a stream until its first event is complete. Up to then nothing of the
// answer has reached the caller, who can get another one or a refusal in its place. It fails
// with Lost if the stream ends before.
func (r *Reply) awaitFirstEvent() error {
	buffer := make([]byte, beginReadBytes)
	for r.events.count == 0 {
		n, err := r.body.Read(buffer)
		r.recordProgress(buffer[:n])
		if !r.call.answers.Grow(int64(n)) {
			return Lost.Wrap(limiter.ErrNoMemory, "stream of %s", r.backend.Name)
		}
		r.begun = append(r.begun, buffer[:n]...)
		r.beginSize += n
		switch {
		case r.events.count > 0:
			r.beginError = err
		case errors.Is(err, io.EOF):
			return Lost.Wrap(errStreamCut, "stream of %s", r.backend.Name)
		case err != nil:
			return Lost.Wrap(err, "stream of %s", r.backend.Name)
		case len(r.begun) > maxFirstEventBytes:
			return Lost.New("stream of %s: no event in %d bytes", r.backend.Name, len(r.begun))
		}
	}
	return nil
}

// readBody reads what awaitFirstEvent has left, and then the body.
func (r *Reply) readBody(buffer []byte) (int, error) {
	if len(r.begun) > 0 {
		n := copy(buffer, r.begun)
		r.begun = r.begun[n:]
		if len(r.begun) == 0 {
			r.begun = nil
			r.call.answers.Shrink(int64(r.beginSize))
		}
		return n, nil
	}
	if r.beginError != nil {
		return 0, r.beginError
	}
	n, err := r.body.Read(buffer)
	if r.Streaming {
		r.recordProgress(buffer[:n])
	}
	return n, err
}

// Read reads the body. It returns io.EOF only after a complete body. After any other
// error, the body that is sent to the caller must not look complete.
func (r *Reply) Read(buffer []byte) (n int, err error) {
	defer func() {
		if value := recover(); value != nil {
			n, err = 0, r.endAfterPanic(value)
		}
	}()
	n, err = r.readBody(buffer)
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

// endsEarly reports whether a stream that ended without an error is incomplete: it ends inside
// an event, or only its connection marks its end and the engine is gone.
func (r *Reply) endsEarly() bool {
	if !r.Streaming || r.finished {
		return false
	}
	return r.events.insideEvent() || !r.framed && r.call.hasEnded(r.backend)
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
		r.firstEventAt = now
		r.call.metrics.recordFirstEvent(r.call.rank(), now.Sub(r.call.request.Arrived))
	} else {
		r.longestPause = max(r.longestPause, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
	if now.Sub(r.firstEventAt) >= soundAfter {
		r.reportSound()
	}
}

// soundAfter is how long a stream goes on after its first event until its prompt is held not to
// crash engines. A prompt that does so crashes them as the answer begins.
const soundAfter = time.Second

func (r *Reply) reportSound() {
	if r.soundReported {
		return
	}
	r.soundReported = true
	r.call.options.Isolator.ReportPartsSound(r.call.request.Cost.isolatorParts(), r.firstEventAt)
}

// handleReadError ends a reply that the back end cut off or that was cancelled.
func (r *Reply) handleReadError(cause error) {
	refusal := r.call.refusalIfEnded()
	ended, crashed := refusal, false
	switch {
	case refusal == nil && r.isHeldUp(time.Now()):
		refusal = unknownRefusal(router.StreamLost, "the caller did not read, and the back end broke its answer off")
		r.call.balancer.recordResult(time.Now(), r.backend, withdrawn, 0)
	case refusal == nil:
		refusal = unknownRefusal(router.StreamLost, "the back end broke its answer off")
		crashed = r.call.recordSendResult(r.backend, lost, time.Since(r.sentAt), cause)
		if crashed {
			r.call.grantResult.FailedMember = r.backend.Name
		}
	default:
		r.call.balancer.recordResult(time.Now(), r.backend, withdrawn, 0)
	}
	r.call.grantResult.DecodeEnding = r.endingOfStream(ended, cause, crashed)
	r.call.recordEnding("decode", r.call.grantResult.DecodeEnding)
	r.body.Close()
	r.finish(refusal)
}

func (r *Reply) finish(refusal *router.Refusal) {
	if r.finished {
		return
	}
	r.finished = true
	if r.Streaming && refusal == nil {
		r.call.grantResult.DecodeEnding = placer.Answered
		r.call.recordModelAnswer(r.backend, r.Status, time.Since(r.sentAt))
		// The end of an unframed stream may be that of its engine.
		if r.framed && !r.firstEventAt.IsZero() {
			r.reportSound()
		}
		r.call.metrics.recordLongestPause(r.call.rank(), r.longestPause)
	}
	r.call.finish(refusal)
}

// recordModelAnswer records that an engine has answered in full.
func (c *call) recordModelAnswer(backend Backend, status int, took time.Duration) {
	c.balancer.recordResult(time.Now(), backend, resultOfStatus(status), took)
	c.options.Isolator.ReportFinished(c.request.Fingerprint)
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
// any size. An event ends at an empty line. Lines that begin with a colon are comments, which
// servers send to keep a connection open; without another line they are no event.
type eventCounter struct {
	count         int
	lineHasText   bool
	lineIsComment bool
	eventHasLine  bool
}

func (c *eventCounter) insideEvent() bool { return c.lineHasText || c.eventHasLine }

func (c *eventCounter) add(piece []byte) {
	for _, b := range piece {
		switch {
		case b == '\r':
		case b != '\n':
			c.lineIsComment = c.lineIsComment || !c.lineHasText && b == ':'
			c.lineHasText = true
		case c.lineHasText:
			c.eventHasLine = c.eventHasLine || !c.lineIsComment
			c.lineHasText, c.lineIsComment = false, false
		case c.eventHasLine:
			c.eventHasLine = false
			c.count++
		}
	}
}
