package exchanger

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/limiter"
)

const (
	// readBufferBytes fits a typical answer of a service or several stream events.
	readBufferBytes = 8 << 10
	// maxStrayAnswers is how many answers to other requests an exchange may skip.
	maxStrayAnswers = 2
	// maxStrayBodyBytes bounds the body of a skipped answer.
	maxStrayBodyBytes = 1 << 20
)

// connection is a connection to a back end. It carries one exchange at a time.
type connection struct {
	exchanger *Exchanger
	address   identifier.Address
	*connector.VerifiedConn
	reader *bufio.Reader
	source *boundedReader
	// stopAbort undoes abortOnDone. It returns false if the context has ended.
	stopAbort func() bool
	// hasExchanged reports whether the connection has completed an exchange.
	hasExchanged bool
	// idleDeadline is when an idle connection must be closed.
	idleDeadline time.Time
}

func newConnection(x *Exchanger, address identifier.Address, opened net.Conn) *connection {
	verified := connector.VerifyEnd(opened)
	source := &boundedReader{source: verified}
	return &connection{
		exchanger:    x,
		address:      address,
		VerifiedConn: verified,
		source:       source,
		reader:       bufio.NewReaderSize(source, readBufferBytes),
	}
}

// boundedReader bounds the bytes of a header: it fails with errHeaderTooLong after budget
// bytes, where a negative budget means no limit, and with limiter.ErrNoMemory if the lease has
// no room for a header of unusual size.
type boundedReader struct {
	source io.Reader
	budget int
	lease  *limiter.Lease
	// failure is returned by all reads after the one that it ended: net/textproto overlooks
	// errors of its look-ahead.
	failure error
}

var errHeaderTooLong = errors.New("the header of the answer is too long")

func (r *boundedReader) Read(buffer []byte) (int, error) {
	if r.failure != nil {
		return 0, r.failure
	}
	if r.budget < 0 {
		return r.source.Read(buffer)
	}
	if r.budget == 0 {
		return 0, errHeaderTooLong
	}
	buffer = buffer[:min(len(buffer), r.budget)]
	n, err := r.source.Read(buffer)
	r.budget -= n
	if unusual := min(n, maxHeaderBytes-usualHeaderBytes-r.budget); unusual > 0 && !r.lease.Grow(int64(unusual)*parsedHeaderFactor) {
		r.failure = limiter.ErrNoMemory
		return n, r.failure
	}
	return n, err
}

// abortOnDone makes the connection's reads and writes fail when ctx ends.
func (c *connection) abortOnDone(ctx context.Context) {
	c.stopAbort = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
}

// isReusable reports whether an idle connection can carry another request: it has not
// expired, its server has not closed it, and no unread bytes are left on it.
func (c *connection) isReusable(now time.Time) bool {
	if now.After(c.idleDeadline) || c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = control.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, failure := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(failure, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}

func (c *connection) close() {
	if c.stopAbort != nil {
		c.stopAbort()
	}
	c.endLease()
	_ = c.Close()
}

// endLease gives back the memory of the header of the present answer.
func (c *connection) endLease() {
	c.source.lease.Release()
	c.source.lease = nil
}

// release ends an exchange whose answer was read in full. It puts the connection into
// the idle pool if it can carry another request, and closes it otherwise.
func (c *connection) release(response *http.Response) {
	c.endLease()
	if !c.stopAbort() || response.Close {
		_ = c.Close()
		return
	}
	if c.reader.Buffered() > 0 {
		c.exchanger.strayAnswers.Inc(1)
		_ = c.Close()
		return
	}
	c.hasExchanged = true
	c.idleDeadline = time.Now().Add(c.idleTimeout(response.Header.Get("Keep-Alive")))
	c.exchanger.putIdle(c)
}

// idleTimeout returns how long to keep the connection idle: a share of the timeout in
// the server's Keep-Alive header, or Options.IdleTimeout without one.
func (c *connection) idleTimeout(keepAlive string) time.Duration {
	for field := range strings.SplitSeq(keepAlive, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(field), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(float64(seconds) * keepAliveShare * float64(time.Second))
		}
	}
	return c.exchanger.options.IdleTimeout
}

// roundTrip writes a request and reads the header of its answer. It skips answers that
// carry the id of another request.
func (c *connection) roundTrip(request Request) (*Response, error) {
	written, writeError := request.writeTo(c)
	if writeError != nil && written == 0 {
		return nil, NotSent.Wrap(writeError, "send to %s", c.address)
	}
	// A server may answer early and close before it has read the whole body, so read
	// the answer even after a failed write. Then it is complete only if it says where it ends.
	requestID := request.Header.Get(c.exchanger.options.EchoHeader)
	for range maxStrayAnswers + 1 {
		response, err := c.readHeader(request.Method) //nolint:bodyclose // The Response closes the connection.
		if err != nil {
			return nil, err
		}
		if echoed := response.Header.Get(c.exchanger.options.EchoHeader); echoed == requestID || echoed == "" {
			return &Response{
				Status:           response.StatusCode,
				Header:           response.Header,
				Length:           bodyLength(response),
				Framed:           response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
				Echoed:           echoed != "",
				Reused:           c.hasExchanged,
				answer:           response,
				connection:       c,
				requestTruncated: writeError != nil,
			}, nil
		}
		c.exchanger.strayAnswers.Inc(1)
		if _, err := io.CopyN(io.Discard, response.Body, maxStrayBodyBytes); !errors.Is(err, io.EOF) {
			return nil, InvalidAnswer.New("%s sent the answer to another request", c.address)
		}
	}
	return nil, InvalidAnswer.New("%s sent answers to other requests only", c.address)
}

// bodyLength returns the length of an answer's body. An answer to HEAD names the length of a
// body that it does not have.
func bodyLength(response *http.Response) int64 {
	if response.Body == http.NoBody {
		return 0
	}
	return response.ContentLength
}

// readHeader reads the header of the next answer that is not provisional (1xx).
func (c *connection) readHeader(method string) (*http.Response, error) {
	c.endLease()
	c.source.lease = c.exchanger.options.Memory.NewLease()
	c.source.budget = maxHeaderBytes
	defer func() { c.source.budget = -1 }()
	for {
		buffered, _ := c.reader.Peek(c.reader.Buffered()) // It has as many bytes.
		c.BeginAnswer(buffered)
		// ReadResponse needs the method to know whether the answer has a body.
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, c.classifyReadError(err)
		}
		if err := cmp.Or(connector.CheckHead(response), c.CheckFraming()); err != nil {
			return nil, InvalidAnswer.Wrap(err, "answer of %s", c.address)
		}
		if response.StatusCode >= http.StatusOK {
			if maxHeaderBytes-c.source.budget-c.reader.Buffered() <= usualHeaderBytes {
				c.endLease() // The rest of what was read is of the body.
			}
			return response, nil
		}
	}
}

// classifyReadError returns AnswerLost if the connection failed, else InvalidAnswer.
func (c *connection) classifyReadError(err error) error {
	var network net.Error
	var system syscall.Errno
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network), errors.As(err, &system):
		return AnswerLost.Wrap(err, "answer of %s", c.address)
	default:
		return InvalidAnswer.Wrap(err, "answer of %s", c.address)
	}
}

// maxCopiedBody is the size up to which a body is copied behind its header, so that one write
// sends both.
const maxCopiedBody = 16 << 10

// writeTo sends the whole request and returns the number of bytes sent.
func (r Request) writeTo(c *connection) (int64, error) {
	head := r.encodeHead()
	if len(r.Body) <= maxCopiedBody {
		n, err := c.Write(append(head, r.Body...))
		return int64(n), err
	}
	return c.WriteBuffers(net.Buffers{head, r.Body})
}

// encodeHead returns the request line and the header.
func (r Request) encodeHead() []byte {
	var text bytes.Buffer
	text.Grow(len(r.Target) + min(len(r.Body), maxCopiedBody) + 1024)
	text.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	names := make([]string, 0, len(r.Header))
	for name := range r.Header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, value := range r.Header[name] {
			text.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		text.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	text.WriteString("\r\n")
	return text.Bytes()
}
