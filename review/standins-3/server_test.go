package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a stand-in of an engine or of a plain server (PROTOCOL.md, "Engines" and "Prefill and
// decode"). It is sound: it runs what it gets, once, and answers with its whole body.
type server struct {
	id, service, stage, address, zone string
	born                              int64
	slots                             int
	// work is how long a plain request runs; events, eventBytes and eventGap shape a stream.
	work               time.Duration
	events, eventBytes int
	eventGap           time.Duration
	record             *record
	// onRun, if set, is called when a run begins; the run ends if it returns false.
	onRun func(r *http.Request) bool

	mutex   sync.Mutex
	handles map[string]bool
	issued  int
	isDown  bool
	crashes int
	// runs counts the runs of each attempt, completed those that ended well.
	runs, completed map[string]int
	http            *http.Server
}

func (s *server) entry(state string) map[string]any {
	e := map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state, "coldRemainingMs": 0, "sequence": 1, "born": s.born}
	if s.stage != "" {
		e["stage"] = s.stage
		e["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	return e
}

func (s *server) start(ip string) {
	s.handles, s.runs, s.completed = map[string]bool{}, map[string]int{}, map[string]int{}
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("listen: %v", err)
	}
	s.address = listener.Addr().String()
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", s.id)
		return
	case strings.HasPrefix(r.URL.Path, "/v1/kv-handle/"):
		s.mutex.Lock()
		delete(s.handles, strings.TrimPrefix(r.URL.Path, "/v1/kv-handle/"))
		s.mutex.Unlock()
		return
	case r.URL.Path == "/v1/order":
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	isPrefill := r.Header.Get("X-Stage") == "prefill"
	switch {
	case s.stage == "prefill" && isPrefill:
		s.mutex.Lock()
		s.issued++
		handle := fmt.Sprintf("%s-%d", s.id, s.issued)
		s.handles[handle] = true
		s.mutex.Unlock()
		time.Sleep(20 * time.Millisecond)
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"transferHandle":%q,"tokens":5000,"version":1}`, handle)
	case s.stage == "prefill" || isPrefill:
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case s.stage == "decode":
		s.stream(w, r, attempt)
	default:
		s.plain(w, r, attempt)
	}
}

func (s *server) began(attempt string) {
	s.mutex.Lock()
	s.runs[attempt]++
	s.mutex.Unlock()
	s.record.write("run   %s at %s", attempt, s.id)
}

func (s *server) ended(attempt, how string) {
	s.mutex.Lock()
	if how == "whole" {
		s.completed[attempt]++
	}
	s.mutex.Unlock()
	s.record.write("ended %s at %s: %s", attempt, s.id, how)
}

func (s *server) plain(w http.ResponseWriter, r *http.Request, attempt string) {
	if s.onRun != nil && !s.onRun(r) {
		panic(http.ErrAbortHandler)
	}
	s.began(attempt)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.ended(attempt, "caller gone")
		return
	}
	body := "answer to " + attempt
	w.Header().Set("X-Server-Seal", s.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err := io.WriteString(w, body)
	s.ended(attempt, how(err))
}

func how(err error) string {
	if err != nil {
		return err.Error()
	}
	return "whole"
}

// streamOf returns the whole stream of an attempt.
func (s *server) streamOf(attempt string) []byte {
	var b bytes.Buffer
	for n := range s.events {
		b.Write(s.event(attempt, n))
	}
	return b.Bytes()
}

func (s *server) event(attempt string, n int) []byte {
	text := fmt.Sprintf("id: %d\ndata: %s ", n+1, attempt)
	return []byte(text + strings.Repeat("x", max(0, s.eventBytes-len(text)-2)) + "\n\n")
}

func (s *server) stream(w http.ResponseWriter, r *http.Request, attempt string) {
	if s.onRun != nil && !s.onRun(r) {
		panic(http.ErrAbortHandler)
	}
	s.began(attempt)
	w.Header().Set("X-Server-Seal", s.id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	flush := http.NewResponseController(w)
	for n := range s.events {
		select {
		case <-time.After(s.eventGap):
		case <-r.Context().Done():
			s.ended(attempt, fmt.Sprintf("caller gone before event %d", n+1))
			return
		}
		_, err := w.Write(s.event(attempt, n))
		if err == nil {
			err = flush.Flush()
		}
		if err != nil {
			s.ended(attempt, fmt.Sprintf("event %d: %v", n+1, err))
			return
		}
	}
	s.ended(attempt, "whole")
}
