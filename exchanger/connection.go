package exchanger

import (
	"bufio"
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

	"github.com/foxtailspool/foxtailspool/identifier"
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
	net.Conn
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
	source := &boundedReader{source: opened}
	return &connection{
		exchanger: x,
		address:   address,
		Conn:      opened,
		source:    source,
		reader:    bufio.NewReaderSize(source, readBufferBytes),
	}
}

// boundedReader fails with errHeaderTooLong after budget bytes; negative means no limit.
type boundedReader struct {
	source io.Reader
	budget int
}

var errHeaderTooLong = errors.New("the header of the answer is too long")

func (r *boundedReader) Read(buffer []byte) (int, error) {
	if r.budget == 0 {
		return 0, errHeaderTooLong
	}
	if r.budget > 0 && len(buffer) > r.budget {
		buffer = buffer[:r.budget]
	}
	n, err := r.source.Read(buffer)
	if r.budget > 0 {
		r.budget -= n
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
	_ = c.Close()
}

// release ends an exchange whose answer was read in full. It puts the connection into
// the idle pool if it can carry another request, and closes it otherwise.
func (c *connection) release(response *http.Response) {
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
	written, writeError := c.Write(request.encode())
	if writeError != nil && written == 0 {
		return nil, NotSent.Wrap(writeError, "send to %s", c.address)
	}
	// A server may answer early and close before it has read the whole body, so read
	// the answer even after a failed write.
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
				Length:           response.ContentLength,
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

// readHeader reads the header of the next answer that is not provisional (1xx).
func (c *connection) readHeader(method string) (*http.Response, error) {
	c.source.budget = maxHeaderBytes
	defer func() { c.source.budget = -1 }()
	for {
		// ReadResponse needs the method to know whether the answer has a body.
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, c.classifyReadError(err)
		}
		if response.StatusCode >= http.StatusOK {
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

// encode returns the whole request, so that one write sends it.
func (r Request) encode() []byte {
	var text strings.Builder
	text.Grow(len(r.Target) + len(r.Body) + 1024)
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
	text.Write(r.Body)
	return []byte(text.String())
}
