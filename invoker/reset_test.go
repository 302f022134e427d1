package invoker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// answerTimeout bounds a call over real connections.
const answerTimeout = 30 * time.Second

// writeFirstConn is a connection whose failure its writer learns of before its reader, which then
// reads the end before the writer can close the connection.
type writeFirstConn struct {
	net.Conn
	writeFailed, endRead chan struct{}
	content              atomic.Bool
}

func (c *writeFirstConn) Write(content []byte) (int, error) {
	n, err := c.Conn.Write(content)
	if err != nil {
		close(c.writeFailed)
		<-c.endRead
	}
	return n, err
}

func (c *writeFirstConn) Read(buffer []byte) (int, error) {
	if c.content.Swap(true) {
		<-c.writeFailed
	}
	n, err := c.Conn.Read(buffer)
	if err != nil {
		close(c.endRead)
	}
	return n, err
}

func dialWriteFirst(ctx context.Context, network, address string) (net.Conn, error) {
	opened, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &writeFirstConn{Conn: opened, writeFailed: make(chan struct{}), endRead: make(chan struct{})}, nil
}

// newLoopbackInvoker returns an invoker that uses real connections.
func newLoopbackInvoker(network connector.Network) *Invoker {
	limits := connector.Limits{DialTimeout: answerTimeout, HeaderTimeout: answerTimeout, IdleTimeout: answerTimeout, MaxConnectionsPerHost: 4}
	unpooled := network.Transport(limits)
	unpooled.DisableKeepAlives = true
	return New(Options{
		Transport: network.Transport(limits), UnpooledTransport: unpooled,
		CallTimeout: answerTimeout, PrefillTimeout: answerTimeout, ImportTimeout: answerTimeout, ProgressTimeout: answerTimeout,
		MaxAnswerBytes: 1 << 20,
	})
}

// TestEarlyAnswerToCall guards against a part of an answer that a service's reset makes look
// whole while the call's body is still written, and against the loss of an answer that says where
// it ends, which is whole all the same.
func TestEarlyAnswerToCall(t *testing.T) {
	const tries = 20
	body := make([]byte, 16<<20)
	for _, c := range []struct {
		name, answer string
		ending       emulator.EarlyEnding
		whole        bool
	}{
		{"unframed", "HTTP/1.1 200 OK\r\n\r\npart", emulator.EarlyReset, false},
		{"refusal with a length", "HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\npart", emulator.EarlyReset, true},
		{"refusal with a length, closed", "HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\npart", emulator.EarlyClose, true},
		{"refusal in chunks", "HTTP/1.1 413 Too Large\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", emulator.EarlyReset, true},
	} {
		for order, network := range map[string]connector.Network{"any": connector.NewNetwork(), "write first": {Dial: dialWriteFirst}} {
			if c.whole && order == "write first" {
				continue // The reader needs no end.
			}
			for _, key := range []identifier.Key{"", "k"} {
				t.Run(fmt.Sprintf("%s key=%q order=%s", c.name, key, order), func(t *testing.T) {
					t.Parallel()
					address, stop, err := emulator.ServeConnections(t.Context(), emulator.AnswerEarly(c.answer, c.ending))
					if err != nil {
						t.Fatal(err)
					}
					defer stop()
					member := tabulator.Member{Name: "m", Address: identifier.Address(address)}
					i := newLoopbackInvoker(network)
					wrong, lost := 0, 0
					for range tries {
						reply, err := i.Call(t.Context(), member, Call{Method: http.MethodPost, Target: "/", Body: body, Key: key})
						switch {
						case !c.whole && errorx.IsOfType(err, AnswerLost):
							lost++
						case !c.whole || err != nil || reply.Status != http.StatusRequestEntityTooLarge || string(reply.Body) != "part":
							wrong++
							t.Logf("%d %q, %v", reply.Status, reply.Body, err)
						}
					}
					t.Logf("%d of %d answers were lost", lost, tries)
					if wrong > 0 {
						t.Errorf("%d of %d calls got a wrong answer", wrong, tries)
					}
				})
			}
		}
	}
}
