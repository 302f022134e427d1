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
	// readBuffer holds a usual answer of a service, or some events of a stream.
	readBuffer = 8 << 10
	// strayLimit bounds the answers to other requests that are skipped before an
	// exchange is given up, and strayBytes the body of one.
	strayLimit = 2
	strayBytes = 1 << 20
)

// connection is one connection to a back end. It carries one exchange at a time.
type connection struct {
	exchanger *Exchanger
	address   identifier.Address
	net.Conn
	reader *bufio.Reader
	source *boundedReader
	// unwatch ends the watch of the running exchange's context.
	unwatch func() bool
	// used tells that an exchange has ended on the connection.
	used bool
	// expires is when an unused connection is closed.
	expires time.Time
}

func newConnection(x *Exchanger, address identifier.Address, opened net.Conn) *connection {
	source := &boundedReader{from: opened}
	return &connection{
		exchanger: x,
		address:   address,
		Conn:      opened,
		source:    source,
		reader:    bufio.NewReaderSize(source, readBuffer),
	}
}

// boundedReader fails once more bytes were read than its budget allows; a
// negative budget is no bound.
type boundedReader struct {
	from   io.Reader
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
	n, err := r.from.Read(buffer)
	if r.budget > 0 {
		r.budget -= n
	}
	return n, err
}

// watch breaks the connection's reads and writes off when ctx ends.
func (c *connection) watch(ctx context.Context) {
	c.unwatch = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
}

// sound tells whether a kept connection may carry a request: it has not expired,
// its server has not closed it and nothing was left over on it.
func (c *connection) sound(now time.Time) bool {
	if now.After(c.expires) || c.reader.Buffered() > 0 {
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
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failure := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(failure, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func (c *connection) close() {
	if c.unwatch != nil {
		c.unwatch()
	}
	_ = c.Close()
}

// finish keeps the connection for the next request if it can carry one.
func (c *connection) finish(response *http.Response) {
	if !c.unwatch() || response.Close {
		_ = c.Close()
		return
	}
	if c.reader.Buffered() > 0 {
		c.exchanger.strays.Inc(1)
		_ = c.Close()
		return
	}
	c.used = true
	c.expires = time.Now().Add(c.idleTime(response.Header.Get("Keep-Alive")))
	c.exchanger.keep(c)
}

// idleTime is how long the connection may stay unused by its server's word.
func (c *connection) idleTime(announced string) time.Duration {
	for field := range strings.SplitSeq(announced, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(field), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(float64(seconds) * idleShare * float64(time.Second))
		}
	}
	return c.exchanger.options.Idle
}

// exchange writes a request and reads the header of its answer.
func (c *connection) exchange(request Request) (*Response, error) {
	written, writeError := c.Write(request.encode())
	if writeError != nil && written == 0 {
		return nil, Unsent.Wrap(writeError, "send to %s", c.address)
	}
	// A server may answer before it has read the whole body and then close, so
	// the answer is read also after a failed write.
	want := request.Header.Get(c.exchanger.options.Echo)
	for range strayLimit + 1 {
		response, err := c.readHeader(request.Method) //nolint:bodyclose // The Response closes the connection.
		if err != nil {
			return nil, err
		}
		if echoed := response.Header.Get(c.exchanger.options.Echo); echoed == want || echoed == "" {
			return &Response{
				Status: response.StatusCode,
				Header: response.Header,
				Length: response.ContentLength,
				Echoed: echoed != "",
				answer: response,
				owner:  c,
				broken: writeError != nil,
			}, nil
		}
		c.exchanger.strays.Inc(1)
		if _, err := io.CopyN(io.Discard, response.Body, strayBytes); !errors.Is(err, io.EOF) {
			return nil, Garbled.New("%s sent the answer to another request", c.address)
		}
	}
	return nil, Garbled.New("%s sent answers to other requests only", c.address)
}

// readHeader reads the header of the next final answer.
func (c *connection) readHeader(method string) (*http.Response, error) {
	c.source.budget = defaultHeaderBytes
	defer func() { c.source.budget = -1 }()
	for {
		// The method tells whether the answer has a body.
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, c.classify(err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// classify tells a connection that broke from one that carried something else
// than an answer.
func (c *connection) classify(err error) error {
	var network net.Error
	var system syscall.Errno
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network), errors.As(err, &system):
		return Lost.Wrap(err, "answer of %s", c.address)
	default:
		return Garbled.Wrap(err, "answer of %s", c.address)
	}
}

// encode writes the request as one message, so that it leaves in one piece.
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
