package exchanger_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/exchanger"
)

// cutConn is a connection whose peer sends bytes and then closes or resets it.
type cutConn struct {
	net.Conn
	sent *bytes.Reader
	end  error
	// piece bounds the bytes of one read.
	piece int
}

func (c *cutConn) Write(content []byte) (int, error) { return len(content), nil }
func (c *cutConn) Close() error                      { return nil }
func (c *cutConn) SetDeadline(time.Time) error       { return nil }
func (c *cutConn) Read(buffer []byte) (int, error) {
	n, err := c.sent.Read(buffer[:min(len(buffer), c.piece)])
	if err != nil {
		return 0, c.end
	}
	return n, nil
}

const answerBody = "id: 1\r\ndata: x\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"

// answerForms returns whole answers with answerBody, by form.
func answerForms() map[string]string {
	head := "HTTP/1.1 200 OK\r\n" + echoHeader + ": id\r\nX-Seal: 3e1b.07\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(answerBody))
	chunked := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x;extension=\"a b\"\r\n%s\r\n0\r\n", 6, answerBody[:6], len(answerBody)-6, answerBody[6:])
	return map[string]string{
		"length":        head + length + "\r\n" + answerBody,
		"chunked":       head + chunked + "\r\n",
		"trailer":       head + "Trailer: X-Sum\r\n" + chunked + "X-Sum: 7\r\n\r\n",
		"unframed":      head + "Connection: close\r\n\r\n" + answerBody,
		"provisional":   "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + head + length + "\r\n" + answerBody,
		"folded":        head + "X-Long: a\r\n  b\r\n\tc\r\n" + length + "\r\n" + answerBody,
		"line feeds":    strings.ReplaceAll(head+length+"\r\n", "\r\n", "\n") + answerBody,
		"length twice":  head + length + length + "\r\n" + answerBody,
		"HTTP/1.0":      strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1) + length + "\r\n" + answerBody,
		"blank padding": head + "X-Blank: \r\n" + length + "\r\n" + answerBody,
	}
}

// TestAnswerCutAtEachByte guards against an answer that looks complete though its server
// closed or reset the connection in its head, in its body or in its trailer. The end of an
// unframed body is only marked by the end of its connection.
func TestAnswerCutAtEachByte(t *testing.T) {
	for form, whole := range answerForms() {
		for name, end := range map[string]error{"closed": io.EOF, "reset": syscall.ECONNRESET} {
			t.Run(form+" "+name, func(t *testing.T) {
				for cut := range len(whole) + 1 {
					for _, piece := range []int{1, 7, len(whole)} {
						connection := &cutConn{sent: bytes.NewReader([]byte(whole[:cut])), end: end, piece: piece}
						x := exchanger.New(exchanger.Options{EchoHeader: echoHeader, Dial: func(context.Context, string, string) (net.Conn, error) { return connection, nil }})
						got, err := sendRequest(t.Context(), x, "id")
						bodyBegun := cut >= len(whole)-len(answerBody)
						switch {
						case err != nil && errorx.IsOfType(err, exchanger.NotSent):
							t.Errorf("cut at %d: %v", cut, err)
						case form == "unframed" && errors.Is(end, io.EOF) && bodyBegun:
							if err != nil || got != whole[len(whole)-len(answerBody):cut] {
								t.Errorf("cut at %d: %q, %v", cut, got, err)
							}
						case form == "unframed" && err == nil, cut < len(whole) && err == nil:
							t.Errorf("cut at %d reads as complete: %q", cut, got)
						case cut == len(whole) && form != "unframed" && (err != nil || got != answerBody):
							t.Errorf("whole: %q, %v", got, err)
						}
					}
				}
			})
		}
	}
}
