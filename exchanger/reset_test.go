package exchanger_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/exchanger"
	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// uploadBytes exceeds what the kernel buffers of a connection, so that its write waits for
	// the server to read or to end the connection.
	uploadBytes = 64 << 20
	// exchangeTimeout bounds an exchange over real connections.
	exchangeTimeout = 30 * time.Second
)

// listenOnLoopback serves each connection to a real loopback address with a function.
func listenOnLoopback(t *testing.T, serve func(connection *net.TCPConn)) identifier.Address {
	t.Helper()
	address, stop, err := emulator.ServeConnections(t.Context(), serve)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return identifier.Address(address)
}

// upload sends a request with a body and returns the body of its answer.
func upload(t *testing.T, address identifier.Address, body []byte) (status int, answer string, err error) {
	t.Helper()
	dialer := &net.Dialer{}
	x := exchanger.New(exchanger.Options{EchoHeader: echoHeader, Dial: dialer.DialContext, DialTimeout: exchangeTimeout})
	response, err := x.Send(t.Context(), address, exchanger.Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{echoHeader: {"id"}}, Body: body,
	})
	if err != nil {
		return 0, "", err
	}
	defer response.Close()
	content, err := response.ReadAll(1 << 20)
	return response.Status, string(content), err
}

// TestEarlyAnswerToUpload guards against an answer that looks complete though its server broke it
// off and reset the connection while the request was still written. The kernel reports the reset
// to the write, so that the reads which follow end as if the server had closed the connection. An
// answer that says where its body ends is whole all the same.
func TestEarlyAnswerToUpload(t *testing.T) {
	head := "HTTP/1.1 %d OK\r\n" + echoHeader + ": id\r\n"
	for _, c := range []struct {
		name   string
		status int
		answer string
		whole  bool
	}{
		{"unframed success", http.StatusOK, fmt.Sprintf(head, http.StatusOK) + "\r\npart", false},
		{"unframed event", http.StatusOK, fmt.Sprintf(head, http.StatusOK) + "\r\ndata: part\n\n", false},
		{"unframed refusal", http.StatusRequestEntityTooLarge, fmt.Sprintf(head, http.StatusRequestEntityTooLarge) + "\r\npart", false},
		{"unframed HTTP/1.0", http.StatusOK, "HTTP/1.0 200 OK\r\n" + echoHeader + ": id\r\n\r\npart", false},
		{"cut length", http.StatusOK, fmt.Sprintf(head, http.StatusOK) + "Content-Length: 9\r\n\r\npart", false},
		{"cut chunks", http.StatusOK, fmt.Sprintf(head, http.StatusOK) + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false},
		{"refusal with a length", http.StatusRequestEntityTooLarge, fmt.Sprintf(head, http.StatusRequestEntityTooLarge) + "Content-Length: 4\r\n\r\npart", true},
		{"refusal in chunks", http.StatusRequestEntityTooLarge, fmt.Sprintf(head, http.StatusRequestEntityTooLarge) + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", true},
	} {
		for _, end := range []emulator.EarlyEnding{emulator.EarlyReset, emulator.EarlyClose} {
			t.Run(c.name+" "+string(end), func(t *testing.T) {
				status, body, err := upload(t, listenOnLoopback(t, emulator.AnswerEarly(c.answer, end)), make([]byte, uploadBytes))
				switch {
				case c.whole && (err != nil || status != c.status || body != "part"):
					t.Errorf("status %d, %q, %v", status, body, err)
				case !c.whole && !errorx.IsOfType(err, exchanger.AnswerLost):
					t.Errorf("reads as complete: status %d, %q, %v", status, body, err)
				}
			})
		}
	}
}

// TestUnframedAnswerToWholeRequest checks that an answer with neither a length nor chunks is
// complete when its server closes the connection after it has read the whole request.
func TestUnframedAnswerToWholeRequest(t *testing.T) {
	for _, size := range []int{0, 1, 100_000, 4_000_000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			address := listenOnLoopback(t, func(connection *net.TCPConn) {
				defer func() { _ = connection.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(connection))
				if err != nil {
					return
				}
				if n, err := io.Copy(io.Discard, request.Body); err != nil || n != int64(size) {
					return
				}
				_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n"+echoHeader+": id\r\n\r\n"+strings.Repeat("answer", 10_000))
			})
			for range 20 {
				if status, body, err := upload(t, address, make([]byte, size)); err != nil || status != http.StatusOK || len(body) != 60_000 {
					t.Errorf("status %d, %d bytes, %v", status, len(body), err)
				}
			}
		})
	}
}
