package exchanger_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/exchanger"
	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	serverAddress = identifier.Address("10.0.0.2:80")
	echo          = "Request-Id"
)

// answerOf is a whole answer that names a request.
func answerOf(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", echo, id, len(body), body)
}

// server answers the requests of each connection with scripted bytes.
type server struct {
	// script returns what the nth request of a connection is answered with, and
	// whether the connection is closed then.
	script func(connection, request int, id string) (answer string, closes bool)
	// received holds the requests as they came.
	received []string
	opened   int
}

// against runs a test with an exchanger and a scripted server in virtual time.
func against(t *testing.T, s *server, test func(t *testing.T, x *exchanger.Exchanger)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := emulator.NewNetwork(time.Millisecond)
		listener, err := network.Host("10.0.0.2").Listen(t.Context(), string(serverAddress))
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() { s.accept(listener); close(ended) }()
		ctx, stop := context.WithCancel(t.Context())
		x := exchanger.New(exchanger.Options{Dial: network.Host("10.0.0.1").Dial, Echo: echo})
		stopped := make(chan error, 1)
		go func() { stopped <- x.Run(ctx) }()
		test(t, x)
		stop()
		<-stopped
		_ = listener.Close()
		network.Close()
		<-ended
	})
}

func (s *server) accept(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		s.opened++
		go s.serve(connection, s.opened)
	}
}

func (s *server) serve(connection net.Conn, number int) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for request := 1; ; request++ {
		received, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(received.Body)
		if err != nil {
			return
		}
		s.received = append(s.received, received.Method+" "+received.RequestURI+" "+string(body))
		answer, closes := s.script(number, request, received.Header.Get(echo))
		if _, err := io.WriteString(connection, answer); err != nil || closes {
			return
		}
	}
}

// exchange sends a request and returns the body of its answer.
func exchange(ctx context.Context, x *exchanger.Exchanger, id string) (string, error) {
	response, err := x.Send(ctx, serverAddress, exchanger.Request{
		Method: http.MethodPost, Target: "/a?b=%2F", Host: "h", Header: http.Header{echo: {id}}, Body: []byte("body"),
	})
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := response.ReadAll(1 << 20)
	return string(body), err
}

func TestKeepsSoundConnections(t *testing.T) {
	s := &server{script: func(_, _ int, id string) (string, bool) { return answerOf(id, id), false }}
	against(t, s, func(t *testing.T, x *exchanger.Exchanger) {
		for _, id := range []string{"one", "two", "three"} {
			if got, err := exchange(t.Context(), x, id); got != id || err != nil {
				t.Errorf("%s: %q, %v", id, got, err)
			}
		}
		if s.opened != 1 || s.received[2] != "POST /a?b=%2F body" {
			t.Errorf("%d connections, %q", s.opened, s.received)
		}
		time.Sleep(time.Second)
		if _, err := exchange(t.Context(), x, "four"); err != nil || s.opened != 2 {
			t.Errorf("after its time the connection was kept: %d, %v", s.opened, err)
		}
	})
}

func TestKeepsAConnectionAsLongAsItsServerSays(t *testing.T) {
	s := &server{script: func(_, _ int, id string) (string, bool) {
		return strings.Replace(answerOf(id, id), "\r\n", "\r\nKeep-Alive: timeout=10\r\n", 1), false
	}}
	against(t, s, func(t *testing.T, x *exchanger.Exchanger) {
		for _, pause := range []time.Duration{0, 6 * time.Second, 8 * time.Second} {
			time.Sleep(pause)
			if _, err := exchange(t.Context(), x, "id"); err != nil {
				t.Error(err)
			}
		}
		if s.opened != 2 {
			t.Errorf("%d connections", s.opened)
		}
	})
}

// TestStrayAnswers has answers to other requests stand before or behind the one
// that is waited for.
func TestStrayAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(id string) string
		fails  bool
	}{
		"behind, at once":  {func(id string) string { return answerOf(id, id) + answerOf("other", "other") }, false},
		"before":           {func(id string) string { return answerOf("other", "other") + answerOf(id, id) }, false},
		"provisional":      {func(id string) string { return "HTTP/1.1 100 Continue\r\n\r\n" + answerOf(id, id) }, false},
		"instead":          {func(string) string { return strings.Repeat(answerOf("other", "other"), 4) }, true},
		"no answer":        {func(string) string { return "\x00\x01\x02\r\n\r\n" }, true},
		"an endless field": {func(string) string { return "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 200_000) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := &server{script: func(_, _ int, id string) (string, bool) { return c.answer(id), false }}
			against(t, s, func(t *testing.T, x *exchanger.Exchanger) {
				for _, id := range []string{"one", "two"} {
					got, err := exchange(t.Context(), x, id)
					if c.fails && !errorx.IsOfType(err, exchanger.Garbled) || !c.fails && (err != nil || got != id) {
						t.Errorf("%s: %q, %v", id, got, err)
					}
				}
			})
		})
	}
}

// TestLateStrayAnswer has a server send a second answer while the connection is
// not in use: it must not become the next request's.
func TestLateStrayAnswer(t *testing.T) {
	var late net.Conn
	synctest.Test(t, func(t *testing.T) {
		network := emulator.NewNetwork(time.Millisecond)
		listener, err := network.Host("10.0.0.2").Listen(t.Context(), string(serverAddress))
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				late = connection
				go func() {
					reader := bufio.NewReader(connection)
					for {
						request, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, request.Body)
						_, _ = io.WriteString(connection, answerOf(request.Header.Get(echo), "own"))
					}
				}()
			}
		}()
		x := exchanger.New(exchanger.Options{Dial: network.Host("10.0.0.1").Dial, Echo: echo})
		if _, err := exchange(t.Context(), x, "one"); err != nil {
			t.Error(err)
		}
		_, _ = io.WriteString(late, answerOf("one", "again"))
		time.Sleep(10 * time.Millisecond)
		if got, err := exchange(t.Context(), x, "two"); got != "own" || err != nil {
			t.Errorf("%q, %v", got, err)
		}
		_ = listener.Close()
		network.Close()
		<-ended
	})
}

// TestBrokenAnswers holds each way an answer may break off against its error: none
// may look complete, and only what was never sent is said so.
func TestBrokenAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		kind   *errorx.Type
	}{
		"nothing":             {"", exchanger.Lost},
		"in the first line":   {"HTTP/1.1 2", exchanger.Garbled},
		"in the header":       {"HTTP/1.1 200 OK\r\nContent-Le", exchanger.Garbled},
		"in the body":         {strings.TrimSuffix(answerOf("id", "body"), "dy"), exchanger.Lost},
		"in a chunk":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", exchanger.Lost},
		"before the last one": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", exchanger.Lost},
	} {
		t.Run(name, func(t *testing.T) {
			s := &server{script: func(int, int, string) (string, bool) { return c.answer, true }}
			against(t, s, func(t *testing.T, x *exchanger.Exchanger) {
				if got, err := exchange(t.Context(), x, "id"); !errorx.IsOfType(err, c.kind) {
					t.Errorf("%q, %v", got, err)
				}
				if len(s.received) != 1 {
					t.Errorf("sent %d times", len(s.received))
				}
			})
		})
	}
}

func TestUnreachedIsToldApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := emulator.NewNetwork(time.Millisecond)
		x := exchanger.New(exchanger.Options{Dial: network.Host("10.0.0.1").Dial, Echo: echo})
		if _, err := exchange(t.Context(), x, "id"); !errorx.IsOfType(err, exchanger.Unreached) {
			t.Error(err)
		}
		network.Cut("10.0.0.1", "10.0.0.2")
		began := time.Now()
		if _, err := exchange(t.Context(), x, "id"); !errorx.IsOfType(err, exchanger.Unreached) || time.Since(began) > time.Second {
			t.Error(err, time.Since(began))
		}
	})
}

// TestClosedConnectionIsNotUsed has a server close a kept connection: the next
// request goes out on another one, once.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	s := &server{script: func(_, _ int, id string) (string, bool) { return answerOf(id, id), true }}
	against(t, s, func(t *testing.T, x *exchanger.Exchanger) {
		for _, id := range []string{"one", "two"} {
			time.Sleep(100 * time.Millisecond)
			got, err := exchange(t.Context(), x, id)
			if err != nil && !errorx.IsOfType(err, exchanger.Lost) || err == nil && got != id {
				t.Errorf("%s: %q, %v", id, got, err)
			}
		}
		if len(s.received) > 2 {
			t.Errorf("a request was repeated: %q", s.received)
		}
	})
}

// TestPiecesOfAnAnswer cuts an answer into pieces of any size: it is read the same,
// and never as complete when its end is missing.
func TestPiecesOfAnAnswer(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		body := rapid.StringMatching(`[a-z\r\n]{0,40}`).Draw(r, "body")
		whole := answerOf("id", body)
		if rapid.Bool().Draw(r, "chunked") {
			whole = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: id\r\nTransfer-Encoding: chunked\r\n\r\n", echo)
			if body != "" {
				whole += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
			}
			whole += "0\r\n\r\n"
		}
		cut := rapid.IntRange(0, len(whole)).Draw(r, "cut")
		near, far := net.Pipe()
		go func() {
			request, err := http.ReadRequest(bufio.NewReader(far))
			if err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
			}
			for rest := whole[:cut]; rest != ""; {
				n := min(len(rest), 7)
				_, _ = io.WriteString(far, rest[:n])
				rest = rest[n:]
			}
			_ = far.Close()
		}()
		x := exchanger.New(exchanger.Options{Echo: echo, Dial: func(context.Context, string, string) (net.Conn, error) { return near, nil }})
		got, err := exchange(context.Background(), x, "id")
		if cut == len(whole) && (err != nil || got != body) {
			r.Fatalf("%q: %q, %v", whole, got, err)
		}
		if cut < len(whole) && err == nil {
			r.Fatalf("%q reads as complete: %q", whole[:cut], got)
		}
	})
}
