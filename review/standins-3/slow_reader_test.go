package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// readerBuffer is the receive buffer of a client: DEPLOY.md, "small windows".
	readerBuffer = 4 << 10
	// slowPiece is read each slowPause by a slow client: 5 KB a second.
	slowPiece = 512
	slowPause = 100 * time.Millisecond
)

// slowReader: clients read their streams steadily at 5 KB a second, and finish well within their
// deadlines. The machine gets SIGHUP; the requests are sent up to two seconds after it.
func slowReader(f *fleet, trouble bool) bool {
	for _, stage := range []string{"prefill", "prefill", "decode", "decode", "decode", "decode"} {
		f.addServer(&server{service: "llm", stage: stage, slots: 12, events: 100, eventBytes: 360, eventGap: 10 * time.Millisecond})
	}
	f.addServer(&server{service: "desk", slots: 6, work: 15 * time.Millisecond})
	f.configure(nil)
	n := f.addNode(nil)
	f.awaitReady()
	time.Sleep(4 * time.Second) // stableWindowMs, without a disruption.
	f.signal(n, syscall.SIGHUP)
	const clients = 8
	var group sync.WaitGroup
	results := make([]string, clients)
	for c := range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(time.Duration(c) * 200 * time.Millisecond)
			results[c] = f.readStream(n, fmt.Sprintf("%016x", 0xa000+c), trouble)
		}()
	}
	group.Wait()
	cut := 0
	for _, result := range results {
		if result != "" {
			cut++
		}
	}
	f.record.write("%d of %d connections ended without a complete answer", cut, clients)
	return cut == 0
}

// dialSmall connects with a small receive buffer.
func dialSmall(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readerBuffer)
		})
		if err != nil {
			return err
		}
		return failure
	}}
	return dialer.DialContext(context.Background(), "tcp", address)
}

// slowConn reads a little at a time.
type slowConn struct {
	net.Conn
	read int
}

func (c *slowConn) Read(buffer []byte) (int, error) {
	time.Sleep(slowPause)
	n, err := c.Conn.Read(buffer[:min(len(buffer), slowPiece)])
	c.read += n
	return n, err
}

// readStream sends a stream request and reads the answer. It returns what was wrong with it.
func (f *fleet) readStream(n *node, attempt string, slow bool) (wrong string) {
	sentAt := time.Now()
	defer func() {
		result := "whole"
		if wrong != "" {
			result = wrong
		}
		f.record.write("answer to %s after %.1f s: %s", attempt, time.Since(sentAt).Seconds(), result)
	}()
	connection, err := dialSmall(n.front)
	if err != nil {
		fail("connect: %v", err)
	}
	defer func() { _ = connection.Close() }()
	// The connection is a kept one: it has carried a whole answer before.
	_, err = fmt.Fprintf(connection, "POST /book/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: b%s\r\nX-Deadline-Ms: 1000\r\nContent-Length: 2\r\n\r\nhi", attempt[1:])
	if err != nil {
		fail("send: %v", err)
	}
	var source io.Reader = connection
	if slow {
		source = &slowConn{Conn: connection}
	}
	reader := bufio.NewReaderSize(source, slowPiece)
	first, err := http.ReadResponse(reader, nil)
	if err != nil {
		fail("the first answer: %v", err)
	}
	if content, err := io.ReadAll(first.Body); err != nil || string(content) != "answer to b"+attempt[1:] || first.Close {
		fail("the first answer: %d %q, %v", first.StatusCode, content, err)
	}
	sentAt = time.Now()
	body := strings.Repeat("p", 5000)
	_, err = fmt.Fprintf(connection, "POST /report/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 14000\r\nX-Model: m\r\nX-Token-Counts: 5000,7400\r\nX-Prompt-Prefix: 5c1e07a2:200,%s:4800\r\nContent-Length: %d\r\n\r\n%s", attempt, attempt[8:], len(body), body)
	if err != nil {
		fail("send: %v", err)
	}
	f.record.write("sent  %s to %s on a kept connection", attempt, n.name)
	_ = connection.SetReadDeadline(sentAt.Add(14 * time.Second))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return fmt.Sprintf("no answer: %v", err)
	}
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Sprintf("status %d, cut after %d bytes of the body: %v", response.StatusCode, len(got), err)
	}
	if response.StatusCode != http.StatusOK || !bytes.Equal(got, f.servers[2].streamOf(attempt)) {
		return fmt.Sprintf("status %d, %d bytes of the body", response.StatusCode, len(got))
	}
	return ""
}
