package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	deadlyPart = "dead0001"
	// downFor is how long an engine is down after a crash: "back after some seconds".
	downFor = 3 * time.Second
	// soundGap and deadlyGap are the times between two requests.
	soundGap  = 400 * time.Millisecond
	deadlyGap = 500 * time.Millisecond
)

// isDeadly reports whether a prompt has the deadly part.
func isDeadly(r *http.Request) bool {
	return strings.Contains(r.Header.Get("X-Prompt-Prefix"), deadlyPart+":")
}

// crash ends the engine's process, as its callers and the store see it, and starts it again.
func (f *fleet) crash(s *server) {
	s.mutex.Lock()
	if s.isDown {
		s.mutex.Unlock()
		return
	}
	s.isDown = true
	earlier, id := s.http, s.id
	s.crashes++
	s.mutex.Unlock()
	f.record.write("crash %d of %s", s.crashes, id)
	f.mutex.Lock()
	f.crashedAt = append(f.crashedAt, time.Now())
	f.mutex.Unlock()
	go func() {
		_ = earlier.Close() // Its listener and all its connections.
		time.Sleep(downFor)
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			fail("listen again: %v", err)
		}
		s.mutex.Lock()
		s.id, s.born, s.isDown, s.handles = fmt.Sprintf("i-%08x", rand.Uint32()), time.Now().UnixMilli(), false, map[string]bool{}
		s.http = &http.Server{Handler: s}
		next, entry, newID := s.http, s.entry("ready"), s.id
		s.mutex.Unlock()
		go func() { _ = next.Serve(listener) }()
		f.store.put("servers", newID, entry)
		time.Sleep(600 * time.Millisecond) // Three heartbeats after the crash.
		f.store.remove("servers", id)
	}()
}

// sendStream sends a stream request and reads its answer. began reports whether its first piece
// has come.
func (f *fleet) sendStream(n *node, attempt, parts string) (began bool, end string) {
	connection, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		return false, err.Error()
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(3200 * time.Millisecond)) // The client's patience.
	body := "prompt of " + attempt
	_, _ = fmt.Fprintf(connection, "POST /report/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 14000\r\nX-Model: m\r\nX-Token-Counts: 2000,740\r\nX-Prompt-Prefix: %s%s:200\r\nContent-Length: %d\r\n\r\n%s", attempt, parts, attempt[8:], len(body), body)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return false, err.Error()
	}
	if response.StatusCode != http.StatusOK {
		content, _ := io.ReadAll(response.Body)
		return false, fmt.Sprintf("status %d %s", response.StatusCode, content)
	}
	first := make([]byte, 1)
	if _, err := io.ReadFull(response.Body, first); err != nil {
		return false, err.Error()
	}
	_, err = io.Copy(io.Discard, response.Body)
	return true, how(err)
}

// deadlyPartCase: one part of a prompt, the ninth of ten, crashes each engine that begins an
// answer on it. Sound requests have the same eight parts before it.
func deadlyPartCase(f *fleet, trouble bool) bool {
	shared := ""
	for n := 1; n <= 8; n++ {
		shared += fmt.Sprintf("5c1e%04x:200,", n)
	}
	return deadlyCase(f, trouble, shared, "", 200)
}

// longIDCase: the ids of parts are hashes of 128 bits, and the second part of three crashes each
// engine that begins an answer on it.
func longIDCase(f *fleet, trouble bool) bool {
	const id = "5c1e07a2f3b84d6690aa17c2e45b8d01"
	return deadlyCase(f, trouble, id+":1600,", id[:24], 200)
}

// deadlyCase sends sound requests and, later, others beside them that have the deadly part in
// place of one of three sound ones. shared comes before that part, and prefix before the ids of
// these and the last parts.
func deadlyCase(f *fleet, trouble bool, shared, prefix string, tokens int) bool {
	for _, stage := range []string{"prefill", "prefill", "decode", "decode", "decode"} {
		s := f.addServer(&server{service: "llm", stage: stage, slots: 12, events: 10, eventBytes: 360, eventGap: 20 * time.Millisecond})
		s.onRun = func(r *http.Request) bool {
			if !isDeadly(r) {
				return true
			}
			f.crash(s)
			return false
		}
	}
	f.addServer(&server{service: "desk", slots: 6, work: 15 * time.Millisecond})
	f.configure(nil)
	for range 3 {
		f.addNode(nil)
	}
	f.awaitReady()
	time.Sleep(4 * time.Second)
	type outcome struct {
		sentAt time.Time
		began  bool
	}
	var outcomes []outcome
	var group sync.WaitGroup
	began := time.Now()
	deadlyFrom, end := began.Add(16*time.Second), began.Add(60*time.Second)
	send := func(attempt, parts, what string) {
		group.Add(1)
		n := f.nodes[rand.IntN(len(f.nodes))]
		go func() {
			defer group.Done()
			o := outcome{sentAt: time.Now()}
			var ended string
			o.began, ended = f.sendStream(n, attempt, parts)
			f.record.write("%s %s at %s: began %v, %s", what, attempt, n.name, o.began, ended)
			if what == "sound" {
				f.mutex.Lock()
				outcomes = append(outcomes, o)
				f.mutex.Unlock()
			}
		}()
	}
	nextSound, nextDeadly := began, deadlyFrom
	for k := 0; time.Now().Before(end); k++ {
		time.Sleep(10 * time.Millisecond)
		if now := time.Now(); !now.Before(nextSound) {
			nextSound = nextSound.Add(soundGap)
			send(fmt.Sprintf("%016x", 0x500000+k), fmt.Sprintf("%s%s9a9a000%d:%d,%s", shared, prefix, k%3, tokens, prefix), "sound")
		}
		if now := time.Now(); trouble && !now.Before(nextDeadly) {
			nextDeadly = nextDeadly.Add(deadlyGap)
			send(fmt.Sprintf("%016x", 0xd00000+k), fmt.Sprintf("%s%s%s:%d,%s", shared, prefix, deadlyPart, tokens, prefix), "deadly")
		}
	}
	group.Wait()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	from := deadlyFrom.Add(8 * time.Second)
	if len(f.crashedAt) > 0 {
		last := f.crashedAt[min(len(f.crashedAt), 5)-1]
		from = last.Add(6 * time.Second) // Twice stableWindowMs.
	}
	var before, beganBefore, after, beganAfter int
	for _, o := range outcomes {
		switch {
		case o.sentAt.Before(deadlyFrom.Add(-time.Second)):
			before++
			if o.began {
				beganBefore++
			}
		case o.sentAt.After(from):
			after++
			if o.began {
				beganAfter++
			}
		}
	}
	f.record.write("%d crashes; sound requests that began: %d of %d before, %d of %d from %.1f s after the fifth crash (or the last)", len(f.crashedAt), beganBefore, before, beganAfter, after, 6.0)
	fmt.Printf("%d crashes; %d of %d before, %d of %d after\n", len(f.crashedAt), beganBefore, before, beganAfter, after)
	if before < 20 || after < 20 {
		fail("too few sound requests: %d and %d", before, after)
	}
	return 2*beganAfter*before >= beganBefore*after
}
