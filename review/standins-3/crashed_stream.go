package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// crashedStream: an engine's process is killed in the middle of a stream that has neither a length
// nor chunks, and is back two seconds later. The client reads its stream steadily, but slowly.
func crashedStream(f *fleet, trouble bool) bool {
	const (
		events     = 130
		eventBytes = 2200
		downFor    = 2 * time.Second
	)
	shape := server{events: events, eventBytes: eventBytes, eventGap: 22 * time.Millisecond}
	f.addServer(&server{service: "llm", stage: "prefill", slots: 12})
	f.addServer(&server{service: "desk", slots: 6, work: 15 * time.Millisecond})
	address := f.freeAddress()
	engine := f.startEngine("i-00000001", address, shape)
	f.configure(nil)
	n := f.addNode(nil)
	f.awaitReady()
	time.Sleep(4 * time.Second)
	const attempt = "000000000000c001"
	ended := make(chan bool, 1)
	go func() { ended <- f.readWhole(n, attempt, &shape) }()
	time.Sleep(2000 * time.Millisecond)
	if trouble {
		f.record.write("engine i-00000001 is killed")
		engine.kill()
		time.Sleep(downFor)
		f.startEngine("i-00000002", address, shape)
		time.Sleep(1600 * time.Millisecond) // Three heartbeats after the kill.
		f.store.remove("servers", "i-00000001")
	}
	return <-ended
}

// readWhole reads a stream slowly. It returns false if the answer looks whole and is not.
func (f *fleet) readWhole(n *node, attempt string, engine *server) bool {
	connection, err := dialSmall(n.front)
	if err != nil {
		fail("connect: %v", err)
	}
	defer func() { _ = connection.Close() }()
	body := strings.Repeat("p", 5000)
	_, err = fmt.Fprintf(connection, "POST /report/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 14000\r\nX-Model: m\r\nX-Token-Counts: 5000,9620\r\nX-Prompt-Prefix: 5c1e07a2:200,%s:4800\r\nContent-Length: %d\r\n\r\n%s", attempt, attempt[8:], len(body), body)
	if err != nil {
		fail("send: %v", err)
	}
	sentAt := time.Now()
	f.record.write("sent  %s to %s", attempt, n.name)
	_ = connection.SetReadDeadline(sentAt.Add(14 * time.Second))
	response, err := http.ReadResponse(bufio.NewReaderSize(&pacedConn{Conn: connection}, 512), nil)
	if err != nil {
		f.record.write("no answer to %s after %.1f s: %v", attempt, time.Since(sentAt).Seconds(), err)
		return true
	}
	got, err := io.ReadAll(response.Body)
	pieces := strings.Count(string(got), "\n\n")
	f.record.write("answer to %s after %.1f s: status %d, signature %q, %d of %d pieces, end: %v", attempt, time.Since(sentAt).Seconds(), response.StatusCode, response.Header.Get("X-Server-Seal"), pieces, engine.events, how(err))
	if err != nil || response.StatusCode != http.StatusOK {
		return true
	}
	return string(got) == string(engine.streamOf(attempt))
}

// pacedConn reads 30 KB a second.
type pacedConn struct{ net.Conn }

func (c *pacedConn) Read(buffer []byte) (int, error) {
	time.Sleep(17 * time.Millisecond)
	return c.Conn.Read(buffer[:min(len(buffer), 512)])
}
