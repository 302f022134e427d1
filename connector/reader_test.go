package connector_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/logger"
)

// readerCase is a client that reads its answer slowly.
type readerCase struct {
	// answer is the answer's length, written a part at a time. until is how long the client waits
	// for it.
	answer, part int
	until        time.Duration
	// piece and pause are what the client reads at once, and how long it waits before.
	piece int
	pause time.Duration
	// closes makes the answer the last one on its connection, stopAfter stops the server.
	closes    bool
	stopAfter time.Duration
	// isCut is set if the client can't get the whole answer.
	isCut bool
}

// TestSlowReaderGetsItsAnswer guards against answers that are cut off though their clients live and
// still wait for them: by the timeout of a write, as the server closes the connection behind the
// answer or for its idle timeout, or as it stops. One that has stopped waiting is cut off.
func TestSlowReaderGetsItsAnswer(t *testing.T) {
	steady := readerCase{answer: 36 << 10, part: 360, until: 14 * time.Second, piece: 512, pause: 100 * time.Millisecond}
	for name, change := range map[string]func(*readerCase){
		"steady":                         func(*readerCase) {},
		"whole answer at once":           func(c *readerCase) { c.part = c.answer },
		"closed behind the answer":       func(c *readerCase) { c.closes = true },
		"server stops":                   func(c *readerCase) { c.stopAfter = time.Second },
		"nothing for 9 s":                func(c *readerCase) { c.piece, c.pause = c.answer, 9*time.Second },
		"nothing for 9 s of a large one": func(c *readerCase) { c.answer, c.piece, c.pause = 8<<20, 8<<20, 9*time.Second },
		"waits no longer": func(c *readerCase) {
			c.answer, c.until, c.piece, c.pause, c.isCut = 8<<20, 3*time.Second, 8<<20, 7*time.Second, true
		},
	} {
		c := steady
		change(&c)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.play(t)
		})
	}
}

func (c readerCase) play(t *testing.T) {
	want := bytes.Repeat([]byte("0123456789abcdef"), c.answer/16)
	var log bytes.Buffer
	network, address := noteAddress(connector.NewNetworkWithLiveness(testLiveness))
	served := limits
	served.BufferBytes = 16 << 10
	server := connector.NewServer(connector.ServerOptions{
		Name: "test", Address: "127.0.0.1:0", Network: network, Limits: served, Log: logger.New(&log, logrus.InfoLevel, nil),
		Timeouts: func() connector.Timeouts { return connector.Timeouts{Header: time.Second, Idle: time.Second} },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			connector.AwaitReader(r.Context(), time.Now().Add(c.until))
			if c.closes {
				w.Header().Set("Connection", "close")
			}
			w.Header().Set("Content-Length", strconv.Itoa(len(want)))
			for rest := want; len(rest) > 0; rest = rest[min(c.part, len(rest)):] {
				if _, err := w.Write(rest[:min(c.part, len(rest))]); err != nil {
					panic(http.ErrAbortHandler)
				}
			}
		}),
	})
	ctx, stop := context.WithCancel(t.Context())
	if err := server.Listen(ctx); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	if c.stopAfter > 0 {
		time.AfterFunc(c.stopAfter, stop)
	}
	dialer := &net.Dialer{Control: smallBuffers}
	client := http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, ReadBufferSize: 512}}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address(), nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	got, err := readSlowly(response.Body, c.piece, c.pause)
	if !c.isCut && (err != nil || !bytes.Equal(got, want)) {
		t.Errorf("%d of %d bytes: %v", len(got), len(want), err)
	}
	_ = response.Body.Close()
	client.CloseIdleConnections()
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if isLogged := strings.Contains(log.String(), connector.EventNotRead.Message); isLogged != c.isCut {
		t.Errorf("%d bytes, %v; logged: %v", len(got), err, isLogged)
	}
	if open, _ := server.Connections(); open != 0 {
		t.Errorf("%d connections are open", open)
	}
}
