package standins

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// An engine stands in for one server of a service: a prefill or a decode engine, or, without
// a stage, a plain server. A crash closes its listener and all its connections, as the end of
// its process does, and it writes no entry until it is started again.
type engine struct {
	id, service, address, zone string
	slots                      int
	// promptRate is in prompt tokens a millisecond; eventTime is the time between two events
	// of a stream and work that of a plain request.
	promptRate int
	eventTime  time.Duration
	work       time.Duration
	// deadly is the id of the part of a prompt that crashes the engine; empty means none.
	deadly string
	// restart is after how long a crashed engine is back.
	restart time.Duration
	// unframed makes the answers of streams end with their connections, without a length or
	// chunks.
	unframed bool
	// endless makes the engine send bytes that are no answer after the first piece of a stream,
	// until the caller closes.
	endless bool
	// link, if set, is the network before the engine; the engine listens behind it.
	link *link
	// renewed makes the engine take a new id at each start.
	renewed bool
	// extra is a header field that all answers have; it is empty, or "Name: value".
	extra string
	fleet *fleet

	mutex       sync.Mutex
	stage       string
	born        int64
	sequence    int
	running     bool
	listener    net.Listener
	connections map[net.Conn]bool
	handles     map[string]bool
	lastWritten time.Time
}

func (e *engine) start() error {
	address := e.address
	if e.link != nil {
		address = e.link.behind
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.mutex.Lock()
	if e.renewed && e.born != 0 {
		e.fleet.store.removeLater(e.id, 3*heartbeat)
		e.id = "i-" + randomID()[:8]
	}
	e.listener, e.running, e.born = listener, true, time.Now().UnixMilli()
	e.connections, e.handles, e.sequence = map[net.Conn]bool{}, map[string]bool{}, 0
	e.mutex.Unlock()
	server := &http.Server{Handler: e, IdleTimeout: 5 * time.Second, ConnState: func(c net.Conn, state http.ConnState) {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		switch state {
		case http.StateNew:
			e.connections[c] = true
		case http.StateClosed:
			delete(e.connections, c)
		}
	}}
	go func() { _ = server.Serve(listener) }()
	e.register()
	return nil
}

// crash ends the engine as a kill of its process would.
func (e *engine) crash(why string) {
	e.mutex.Lock()
	if !e.running {
		e.mutex.Unlock()
		return
	}
	e.running = false
	_ = e.listener.Close()
	for c := range e.connections {
		_ = c.Close()
	}
	e.mutex.Unlock()
	e.fleet.note("engine %s crashed: %s", e.id, why)
	if e.restart > 0 {
		time.AfterFunc(e.restart, func() {
			if err := e.start(); err != nil {
				e.fleet.note("engine %s did not start: %v", e.id, err)
				return
			}
			e.fleet.note("engine %s is back", e.id)
		})
	}
}

// register writes the engine's entry.
func (e *engine) register() {
	e.mutex.Lock()
	e.lastWritten = time.Now()
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": 1, "slots": e.slots,
		"state": "ready", "coldRemainingMs": 0, "sequence": 0, "born": e.born,
	}
	if e.stage != "" {
		entry["stage"] = e.stage
		entry["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	running := e.running
	e.mutex.Unlock()
	if running {
		e.fleet.store.put("servers", e.id, entry)
	}
}

// beat writes the entry each heartbeat, and removes it after three silent ones, as the store
// does.
func (e *engine) beat(heartbeat time.Duration) {
	for range time.Tick(50 * time.Millisecond) {
		e.mutex.Lock()
		running, silent := e.running, time.Since(e.lastWritten)
		e.mutex.Unlock()
		switch {
		case running && silent >= heartbeat:
			e.register()
		case !running && silent > 3*heartbeat:
			e.fleet.store.remove("servers", e.id)
		}
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if name, value, found := strings.Cut(e.extra, ": "); found {
		w.Header().Set(name, value)
	}
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", e.id)
		return
	case r.URL.Path == "/v1/order":
		e.order(w, r)
		return
	case strings.HasPrefix(r.URL.Path, "/v1/kv-handle/"):
		e.takeHandle(strings.TrimPrefix(r.URL.Path, "/v1/kv-handle/"))
		answer(w, http.StatusOK, nil)
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	if attempt != "" {
		w.Header().Set("X-Attempt-Id", attempt)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		answer(w, http.StatusMisdirectedRequest, nil)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e.mutex.Lock()
	stage := e.stage
	e.mutex.Unlock()
	wantsPrefill := r.Header.Get("X-Stage") == "prefill"
	switch {
	case attempt == "":
		w.Header().Set("X-Not-Run", "1")
		answer(w, http.StatusBadRequest, nil)
	case stage == "":
		e.plain(w, r, attempt, body)
	case wantsPrefill != (stage == "prefill"):
		answer(w, http.StatusMisdirectedRequest, nil)
	case wantsPrefill:
		e.prefill(w, r, attempt)
	default:
		e.decode(w, r, attempt)
	}
}

func (e *engine) plain(w http.ResponseWriter, r *http.Request, attempt string, body []byte) {
	e.fleet.ran(e, attempt)
	if !pause(r, e.work) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Server-Seal", "s."+attempt)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "done %s %d", attempt, len(body))
}

func (e *engine) prefill(w http.ResponseWriter, r *http.Request, attempt string) {
	prompt, _ := tokens(r)
	if !pause(r, time.Duration(prompt/e.promptRate)*time.Millisecond) {
		panic(http.ErrAbortHandler)
	}
	id := randomID()
	e.mutex.Lock()
	e.handles[id] = true
	e.mutex.Unlock()
	time.AfterFunc(handleLife, func() { e.takeHandle(id) })
	answer(w, http.StatusOK, map[string]any{"transferHandle": id, "tokens": prompt, "version": 1})
}

func (e *engine) takeHandle(id string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	held := e.running && e.handles[id]
	delete(e.handles, id)
	return held
}

func (e *engine) decode(w http.ResponseWriter, r *http.Request, attempt string) {
	if source := r.Header.Get("X-Kv-Source"); source != "" {
		address, id, _ := strings.Cut(source, "/")
		if from := e.fleet.at(address); from == nil || !from.takeHandle(id) {
			w.Header().Set("X-Not-Run", "1")
			answer(w, http.StatusServiceUnavailable, nil)
			return
		}
	}
	_, output := tokens(r)
	e.fleet.ran(e, attempt)
	if e.deadly != "" && strings.Contains(r.Header.Get("X-Prompt-Prefix"), e.deadly+":") {
		e.crash("it began to write the answer to " + attempt)
		panic(http.ErrAbortHandler)
	}
	if e.endless {
		e.streamEndless(w, attempt)
		return
	}
	if e.unframed {
		e.streamUnframed(w, attempt, max(1, output/eventTokens))
		return
	}
	w.Header().Set("X-Server-Seal", "s."+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for piece := 1; piece <= max(1, output/eventTokens); piece++ {
		if !pause(r, e.eventTime) {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", piece, attempt)
		if flush.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// streamUnframed writes a stream whose end is that of its connection.
func (e *engine) streamUnframed(w http.ResponseWriter, attempt string, pieces int) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	_, err = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", attempt, attempt)
	for piece := 1; piece <= pieces && err == nil; piece++ {
		time.Sleep(e.eventTime)
		_, err = fmt.Fprintf(connection, "id: %d\ndata: %s\n\n", piece, attempt)
	}
	if err == nil {
		e.fleet.note("%s is complete at %s", attempt, e.id)
	}
}

// streamEndless sends a sound head and a first piece, and then no answer.
func (e *engine) streamEndless(w http.ResponseWriter, attempt string) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	piece := fmt.Sprintf("id: 1\ndata: %s\n\n", attempt)
	time.Sleep(e.eventTime)
	_, err = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", attempt, attempt, len(piece), piece)
	for noise := strings.Repeat("no answer ", 100); err == nil; {
		_, err = io.WriteString(connection, noise)
	}
}

// An order is what an engine has been told by a call that reached it.
type order struct {
	Op     string `json:"op"`
	Stage  string `json:"stage"`
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var sent order
	if json.NewDecoder(r.Body).Decode(&sent) != nil || sent.Holder == "" || sent.Fence == 0 {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		answer(w, http.StatusMisdirectedRequest, nil)
		return
	}
	if e.fleet.holdOrder != nil && e.fleet.holdOrder(e, sent) {
		// It gets no answer: the connection stays open until its caller gives up.
		<-r.Context().Done()
		return
	}
	answer(w, e.obey(sent), nil)
}

// obey carries an order out and returns the status of its answer.
func (e *engine) obey(sent order) int {
	e.fleet.obeyed(e, sent)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.stage == sent.Stage {
		return http.StatusOK
	}
	e.sequence++
	time.AfterFunc(stageSwitch, func() {
		e.mutex.Lock()
		e.stage = sent.Stage
		e.mutex.Unlock()
		e.register()
	})
	return http.StatusAccepted
}

func tokens(r *http.Request) (prompt, output int) {
	first, second, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	prompt, _ = strconv.Atoi(first)
	output, _ = strconv.Atoi(second)
	return prompt, output
}

// pause waits, and reports false if the caller has gone.
func pause(r *http.Request, length time.Duration) bool {
	select {
	case <-time.After(length):
		return true
	case <-r.Context().Done():
		return false
	}
}

func randomID() string {
	var content [8]byte
	_, _ = rand.Read(content[:])
	return hex.EncodeToString(content[:])
}
