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
	echoHeader    = "Request-Id"
)

// formatAnswer returns a complete answer that carries a request's id.
func formatAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", echoHeader, id, len(body), body)
}

// scriptedServer answers the requests of each connection with scripted bytes.
type scriptedServer struct {
	// answer returns the answer to the nth request of a connection, and whether the
	// server closes the connection after it.
	answer func(connection, request int, id string) (answer string, closes bool)
	// received lists the requests in the order of arrival.
	received []string
	opened   int
}

// runWithServer runs a test with an exchanger and a scripted server in virtual time.
func runWithServer(t *testing.T, s *scriptedServer, test func(t *testing.T, x *exchanger.Exchanger)) {
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
		x := exchanger.New(exchanger.Options{Dial: network.Host("10.0.0.1").Dial, EchoHeader: echoHeader})
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

func (s *scriptedServer) accept(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		s.opened++
		go s.serve(connection, s.opened)
	}
}

func (s *scriptedServer) serve(connection net.Conn, number int) {
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
		answer, closes := s.answer(number, request, received.Header.Get(echoHeader))
		if _, err := io.WriteString(connection, answer); err != nil || closes {
			return
		}
	}
}

// sendRequest sends a request and returns the body of its answer.
func sendRequest(ctx context.Context, x *exchanger.Exchanger, id string) (string, error) {
	response, err := x.Send(ctx, serverAddress, exchanger.Request{
		Method: http.MethodPost, Target: "/a?b=%2F", Host: "h", Header: http.Header{echoHeader: {id}}, Body: []byte("body"),
	})
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := response.ReadAll(1 << 20)
	return string(body), err
}

func TestReusesIdleConnection(t *testing.T) {
	s := &scriptedServer{answer: func(_, _ int, id string) (string, bool) { return formatAnswer(id, id), false }}
	runWithServer(t, s, func(t *testing.T, x *exchanger.Exchanger) {
		for _, id := range []string{"one", "two", "three"} {
			if got, err := sendRequest(t.Context(), x, id); got != id || err != nil {
				t.Errorf("%s: %q, %v", id, got, err)
			}
		}
		if s.opened != 1 || s.received[2] != "POST /a?b=%2F body" {
			t.Errorf("%d connections, %q", s.opened, s.received)
		}
		time.Sleep(time.Second)
		if _, err := sendRequest(t.Context(), x, "four"); err != nil || s.opened != 2 {
			t.Errorf("the connection was reused after its idle timeout: %d, %v", s.opened, err)
		}
	})
}

func TestKeepAliveTimeoutOfServer(t *testing.T) {
	s := &scriptedServer{answer: func(_, _ int, id string) (string, bool) {
		return strings.Replace(formatAnswer(id, id), "\r\n", "\r\nKeep-Alive: timeout=10\r\n", 1), false
	}}
	runWithServer(t, s, func(t *testing.T, x *exchanger.Exchanger) {
		for _, pause := range []time.Duration{0, 6 * time.Second, 8 * time.Second} {
			time.Sleep(pause)
			if _, err := sendRequest(t.Context(), x, "id"); err != nil {
				t.Error(err)
			}
		}
		if s.opened != 2 {
			t.Errorf("%d connections", s.opened)
		}
	})
}

// TestStrayAnswers has the server send answers to other requests, or bytes that are no
// answer, around or instead of the right answer. None may reach the caller.
func TestStrayAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answerTo func(id string) string
		fails    bool
	}{
		"directly after": {func(id string) string { return formatAnswer(id, id) + formatAnswer("other", "other") }, false},
		"before":         {func(id string) string { return formatAnswer("other", "other") + formatAnswer(id, id) }, false},
		"provisional":    {func(id string) string { return "HTTP/1.1 100 Continue\r\n\r\n" + formatAnswer(id, id) }, false},
		"instead":        {func(string) string { return strings.Repeat(formatAnswer("other", "other"), 4) }, true},
		"before, not HTTP": {func(id string) string {
			return strings.Replace(formatAnswer("other", "other"), "\r\n", "\r\nX Y: z\r\n", 1) + formatAnswer(id, id)
		}, true},
		"no answer":       {func(string) string { return "\x00\x01\x02\r\n\r\n" }, true},
		"header too long": {func(string) string { return "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 200_000) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := &scriptedServer{answer: func(_, _ int, id string) (string, bool) { return c.answerTo(id), false }}
			runWithServer(t, s, func(t *testing.T, x *exchanger.Exchanger) {
				for _, id := range []string{"one", "two"} {
					got, err := sendRequest(t.Context(), x, id)
					if c.fails && !errorx.IsOfType(err, exchanger.InvalidAnswer) || !c.fails && (err != nil || got != id) {
						t.Errorf("%s: %q, %v", id, got, err)
					}
				}
			})
		})
	}
}

// TestLateStrayAnswer has the server send a second answer while the connection is
// idle. The next request must not receive it.
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
						_, _ = io.WriteString(connection, formatAnswer(request.Header.Get(echoHeader), "own"))
					}
				}()
			}
		}()
		x := exchanger.New(exchanger.Options{Dial: network.Host("10.0.0.1").Dial, EchoHeader: echoHeader})
		if _, err := sendRequest(t.Context(), x, "one"); err != nil {
			t.Error(err)
		}
		_, _ = io.WriteString(late, formatAnswer("one", "again"))
		time.Sleep(10 * time.Millisecond)
		if got, err := sendRequest(t.Context(), x, "two"); got != "own" || err != nil {
			t.Errorf("%q, %v", got, err)
		}
		_ = listener.Close()
		network.Close()
		<-ended
	})
}

// TestTruncatedAnswers truncates an answer at each stage. It must never look complete,
// and because the request was sent, the error must not be NotSent.
func TestTruncatedAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		kind   *errorx.Type
	}{
		"nothing":               {"", exchanger.AnswerLost},
		"in the first line":     {"HTTP/1.1 2", exchanger.InvalidAnswer},
		"in the header":         {"HTTP/1.1 200 OK\r\nContent-Le", exchanger.InvalidAnswer},
		"in the body":           {strings.TrimSuffix(formatAnswer("id", "body"), "dy"), exchanger.AnswerLost},
		"in a chunk":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", exchanger.AnswerLost},
		"before the last chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", exchanger.AnswerLost},
	} {
		t.Run(name, func(t *testing.T) {
			s := &scriptedServer{answer: func(int, int, string) (string, bool) { return c.answer, true }}
			runWithServer(t, s, func(t *testing.T, x *exchanger.Exchanger) {
				if got, err := sendRequest(t.Context(), x, "id"); !errorx.IsOfType(err, c.kind) {
					t.Errorf("%q, %v", got, err)
				}
				if len(s.received) != 1 {
					t.Errorf("sent %d times", len(s.received))
				}
			})
		})
	}
}

// TestInvalidTrailer guards against an answer whose trailer is not HTTP and that reads as complete.
func TestInvalidTrailer(t *testing.T) {
	for _, field := range []string{"X Y: z", "X-Y : z", "X\x01: z", "X", ": z"} {
		s := &scriptedServer{answer: func(_, _ int, id string) (string, bool) {
			return "HTTP/1.1 200 OK\r\n" + echoHeader + ": " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + field + "\r\n\r\n", false
		}}
		runWithServer(t, s, func(t *testing.T, x *exchanger.Exchanger) {
			for range 2 {
				if got, err := sendRequest(t.Context(), x, "id"); !errorx.IsOfType(err, exchanger.InvalidAnswer) {
					t.Errorf("%q: %q, %v", field, got, err)
				}
			}
			if s.opened != 2 {
				t.Errorf("%q: %d connections", field, s.opened)
			}
		})
	}
}

func TestConnectFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := emulator.NewNetwork(time.Millisecond)
		x := exchanger.New(exchanger.Options{Dial: network.Host("10.0.0.1").Dial, EchoHeader: echoHeader})
		if _, err := sendRequest(t.Context(), x, "id"); !errorx.IsOfType(err, exchanger.ConnectFailed) {
			t.Error(err)
		}
		network.Cut("10.0.0.1", "10.0.0.2")
		began := time.Now()
		if _, err := sendRequest(t.Context(), x, "id"); !errorx.IsOfType(err, exchanger.ConnectFailed) || time.Since(began) > time.Second {
			t.Error(err, time.Since(began))
		}
	})
}

// TestClosedConnectionIsNotReused has the server close each connection after its
// answer. The next request must not be sent twice, nor receive a wrong answer.
func TestClosedConnectionIsNotReused(t *testing.T) {
	s := &scriptedServer{answer: func(_, _ int, id string) (string, bool) { return formatAnswer(id, id), true }}
	runWithServer(t, s, func(t *testing.T, x *exchanger.Exchanger) {
		for _, id := range []string{"one", "two"} {
			time.Sleep(100 * time.Millisecond)
			got, err := sendRequest(t.Context(), x, id)
			if err != nil && !errorx.IsOfType(err, exchanger.AnswerLost) || err == nil && got != id {
				t.Errorf("%s: %q, %v", id, got, err)
			}
		}
		if len(s.received) > 2 {
			t.Errorf("a request was repeated: %q", s.received)
		}
	})
}

// TestFragmentedAnswer sends a random answer in small pieces, cut off at a random
// byte. A whole answer must be read in full; a truncated one must fail.
func TestFragmentedAnswer(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		body := rapid.StringMatching(`[a-z\r\n]{0,40}`).Draw(r, "body")
		whole := formatAnswer("id", body)
		if rapid.Bool().Draw(r, "chunked") {
			whole = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: id\r\nTransfer-Encoding: chunked\r\n\r\n", echoHeader)
			if body != "" {
				whole += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
			}
			whole += "0\r\n\r\n"
		}
		cut := rapid.IntRange(0, len(whole)).Draw(r, "cut")
		clientEnd, serverEnd := net.Pipe()
		go func() {
			request, err := http.ReadRequest(bufio.NewReader(serverEnd))
			if err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
			}
			for remaining := whole[:cut]; remaining != ""; {
				n := min(len(remaining), 7)
				_, _ = io.WriteString(serverEnd, remaining[:n])
				remaining = remaining[n:]
			}
			_ = serverEnd.Close()
		}()
		x := exchanger.New(exchanger.Options{EchoHeader: echoHeader, Dial: func(context.Context, string, string) (net.Conn, error) { return clientEnd, nil }})
		got, err := sendRequest(context.Background(), x, "id")
		if cut == len(whole) && (err != nil || got != body) {
			r.Fatalf("%q: %q, %v", whole, got, err)
		}
		if cut < len(whole) && err == nil {
			r.Fatalf("%q reads as complete: %q", whole[:cut], got)
		}
	})
}
