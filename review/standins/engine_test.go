package standins

import (
	"context"
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

// engine is a stand-in of an engine or of a plain server, as PROTOCOL.md describes them.
type engine struct {
	fleet   *fleet
	id      string
	service string
	stage   string
	address string
	born    int64
	state   string
	server  *http.Server
	stop    context.CancelFunc
	// work is how long a plain request takes, tokenTime how long an event of a stream.
	work   time.Duration
	events int
	gap    time.Duration

	mutex    sync.Mutex
	runs     map[string]int // by attempt
	handles  map[string]string
	sequence int
	orders   []order
	// answer may answer a request of a client in the engine's place, after it has run.
	answer func(w http.ResponseWriter, r *http.Request, body []byte) bool
}

type order struct {
	at     time.Time
	holder string
	fence  int64
	stage  string
	from   string
}

// addEngine starts an engine and registers it in the store.
func (f *fleet) addEngine(service, stage string) *engine {
	n := len(f.engines)
	e := &engine{
		fleet: f, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+n*77), service: service, stage: stage, address: fmt.Sprintf("%s:8080", f.ip(100+n)),
		born: time.Now().UnixMilli() - 40000, state: "ready", work: 15 * time.Millisecond, events: 60, gap: 45 * time.Millisecond,
		runs: map[string]int{}, handles: map[string]string{},
	}
	f.engines = append(f.engines, e)
	e.listen()
	return e
}

func (e *engine) listen() {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		fail(2, "%v", err)
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	e.beat()
	go func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(1200 * time.Millisecond):
				e.beat()
			}
		}
	}()
}

func (e *engine) beat() {
	e.mutex.Lock()
	spec := map[string]any{"service": e.service, "address": e.address, "zone": "plovdiv", "version": "v1", "slots": 32, "state": e.state, "coldRemainingMs": 0, "sequence": e.sequence, "born": e.born}
	if e.stage != "" {
		spec["stage"] = e.stage
		spec["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	e.mutex.Unlock()
	e.fleet.store.put("servers", e.id, spec)
}

// crash ends the engine at once: its connections are closed and new ones refused. Its entry
// is removed after three heartbeat intervals.
func (e *engine) crash() {
	e.fleet.record.say("engine %s crashes", e.id)
	e.stop()
	_ = e.server.Close()
	time.AfterFunc(3600*time.Millisecond, func() { e.fleet.store.remove("servers", e.id) })
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	header := w.Header()
	if attempt != "" {
		header.Set("X-Attempt-Id", attempt)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		header.Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/health":
		header.Set("X-Instance-Id", e.id)
		return
	case r.URL.Path == "/v1/report":
		e.mutex.Lock()
		defer e.mutex.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": e.stage, "sequence": e.sequence, "busy": false, "waiting": 0, "running": 0})
		return
	case r.URL.Path == "/v1/order":
		e.order(w, r)
		return
	case strings.HasPrefix(r.URL.Path, "/v1/kv-handle/"):
		e.mutex.Lock()
		delete(e.handles, strings.TrimPrefix(r.URL.Path, "/v1/kv-handle/"))
		e.mutex.Unlock()
		return
	case attempt == "":
		header.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Header.Get("X-Stage") == "prefill" {
		e.prefill(w, attempt)
		return
	}
	if source := r.Header.Get("X-Kv-Source"); source != "" && !e.fleet.takeHandle(source, attempt) {
		header.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if e.stage == "prefill" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mutex.Lock()
	e.runs[attempt]++
	run := e.runs[attempt]
	e.mutex.Unlock()
	e.fleet.record.say("engine %s runs %s (%s %s), run %d of it here", e.id, attempt, r.Method, r.URL.Path, run)
	header.Set("X-Server-Seal", e.id+"."+attempt)
	if e.answer != nil && e.answer(w, r, body) {
		return
	}
	if e.stage == "" {
		time.Sleep(e.work)
		_, _ = fmt.Fprintf(w, "done %s by %s", attempt, e.id)
		return
	}
	header.Set("Content-Type", "text/event-stream")
	for i := range e.events {
		time.Sleep(e.gap)
		if r.Context().Err() != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", i+1, attempt, strings.Repeat("x", 300)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

func (e *engine) prefill(w http.ResponseWriter, attempt string) {
	if e.stage != "prefill" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(30 * time.Millisecond)
	handle := fmt.Sprintf("%s%d", e.id[2:], time.Now().UnixNano())
	e.mutex.Lock()
	e.handles[handle] = attempt
	e.mutex.Unlock()
	time.AfterFunc(500*time.Millisecond, func() {
		e.mutex.Lock()
		delete(e.handles, handle)
		e.mutex.Unlock()
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"transferHandle": handle, "tokens": 5000, "version": 1})
}

// takeHandle takes a handle at the engine that gave it out.
func (f *fleet) takeHandle(source, attempt string) bool {
	address, handle, _ := strings.Cut(source, "/")
	for _, e := range f.engines {
		if e.address != address {
			continue
		}
		e.mutex.Lock()
		owner, found := e.handles[handle]
		delete(e.handles, handle)
		e.mutex.Unlock()
		if found && owner != attempt {
			f.record.say("FOREIGN HANDLE: %s takes the handle of %s", attempt, owner)
		}
		return found
	}
	return false
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var wire struct {
		Op, Stage, Holder string
		Fence             int64
	}
	if json.NewDecoder(r.Body).Decode(&wire) != nil || wire.Holder == "" || wire.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	e.mutex.Lock()
	e.orders = append(e.orders, order{time.Now(), wire.Holder, wire.Fence, wire.Stage, from})
	same := e.stage == wire.Stage
	if !same {
		e.sequence++
	}
	e.mutex.Unlock()
	e.fleet.record.say("engine %s gets order stage=%s holder=%s fence=%d", e.id, wire.Stage, wire.Holder, wire.Fence)
	if same {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusAccepted)
	time.AfterFunc(6*time.Second, func() {
		e.mutex.Lock()
		e.stage = wire.Stage
		e.mutex.Unlock()
		e.beat()
	})
}

func (e *engine) ran(attempt string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.runs[attempt]
}

// ran returns how often a request has run at all engines.
func (f *fleet) ran(attempt string) int {
	total := 0
	for _, e := range f.engines {
		total += e.ran(attempt)
	}
	return total
}

func quote(deadlineMs int) call {
	return call{method: "POST", path: "/lohu930/2f", body: []byte(strings.Repeat("r", 5000)), deadlineMs: deadlineMs, header: map[string]string{
		"X-Model": "m", "X-Token-Counts": "5200,4900", "X-Prompt-Prefix": "5c1e07a2:200," + strconv.FormatInt(time.Now().UnixNano()&0xffffffff, 16) + ":5000",
	}}
}
