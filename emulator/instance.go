package emulator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Instance is a fake back end of the users' platform: a plain server, or an engine
// of one stage. It records what it ran, so that checkers need not rely on the
// router's counts.
type Instance struct {
	options InstanceOptions

	mutex sync.Mutex
	runs  []Run
	// runsByAttempt has the indices in runs of each attempt that has arrived.
	runsByAttempt map[string][]int
	running       int
	// waiting is the number of requests queued for a slot or memory.
	waiting int
	// used is the memory of running requests and handles, in tokens.
	used    int
	handles map[string]*prefilled
	faults  InstanceFaults
	// freed is closed and replaced when a slot or memory is freed.
	freed  chan struct{}
	issued int
	// orders holds the well-formed stage orders; switching is set during a stage change.
	orders    []StageOrder
	switching bool
	// declined counts the requests declined during stage changes.
	declined int
	// arrivals counts the requests of callers, including declined ones.
	arrivals int
	// limitedArrivals are the times of the arrivals while the faults had a Limit.
	limitedArrivals []time.Time
	// ending is closed and replaced by a crash.
	ending chan struct{}
	// isDown is set from a crash by a request until Restart.
	isDown bool
}

// InstanceOptions configures an instance.
type InstanceOptions struct {
	ID      string
	Address string
	// Stage is prefill, decode or empty for a plain server.
	Stage string
	// Slots limits the running requests, Queue the waiting ones.
	Slots, Queue int
	// Memory is the capacity in tokens; zero means no limit.
	Memory int
	// Work is the duration of a plain request, Prefill the time per prompt token and
	// Token the time per generated token. EventTokens is the number of tokens per event.
	Work, Prefill, Token time.Duration
	EventTokens          int
	HandleLife           time.Duration
	// Switch is the duration of a stage change; Changed, if set, is called at its end.
	Switch  time.Duration
	Changed func(stage string)
	// Crashed is called when a request has crashed the instance, which then runs nothing until
	// Restart. It must not block.
	Crashed func()
	// Find returns the instance at an address, for transfers between engines.
	Find func(address string) *Instance
}

// InstanceFaults configures fault injection. Each count is of the next requests.
type InstanceFaults struct {
	// Errors is how many requests run and are answered with ErrorStatus, zero meaning 500.
	Errors      int
	ErrorStatus int
	// Shed is how many requests are declined without being run.
	Shed int
	// LoseAnswers is how many requests run and then have their connection aborted.
	LoseAnswers int
	// Truncate is how many answers are aborted halfway.
	Truncate int
	// Noise is how many requests are answered with bytes that are not HTTP.
	Noise int
	// Extra is how many answers are followed by an answer to another request.
	Extra int
	// Unsigned is how many answers lack the X-Server-Seal header.
	Unsigned int
	// Slow multiplies the duration of work; zero means one.
	Slow int
	// StaleRefusals is how many requests run and are answered with a refusal that names no
	// request.
	StaleRefusals int
	// EndlessHeads and EndlessRefusals are how many requests are answered with a head, or a
	// refusal's body, that does not end before the connection is closed.
	EndlessHeads, EndlessRefusals int
	// OrderDelay, unless zero, leaves orders unanswered and carries them out that much later.
	OrderDelay time.Duration
	// EndlessAnswers is how many requests are answered without an end in EndlessForm.
	EndlessAnswers int
	EndlessForm    EndlessForm
	// InvalidAnswers is how many requests are answered with a head of InvalidForm, one of
	// InvalidForms. EarlyAnswers is how many requests with a body of at least EarlyAnswerBytes are
	// answered with a part before their body is read.
	InvalidAnswers int
	InvalidForm    string
	EarlyAnswers   int
	// AnswerBytes is the least size of the body of each plain answer.
	AnswerBytes int
	// EndlessBodies is how many plain requests run and are answered with an endless body.
	EndlessBodies int
	// Unframed makes answers end with their connections, without a length or chunks.
	Unframed bool
	// CutAfter, of an unframed stream, is the number of bytes after which the connection is
	// closed; zero means at its end.
	CutAfter int
	// CutCrashes makes the instance's process end when it closes the connection.
	CutCrashes bool
	// HeadLead is how long before its first event the head of a stream is sent; zero means
	// together with it. CutHeads is how many streams are broken off after the head, and
	// EndlessStreams how many have a body without end and without an event.
	HeadLead                 time.Duration
	CutHeads, EndlessStreams int
	// DeadlyPart is the id of a part of a prompt. An answer to a request with it crashes
	// the instance as it begins, and InstanceOptions.Crashed is called.
	DeadlyPart string
	// Leaving makes all answers say that the instance leaves.
	Leaving bool
	// Pause is the Retry-After of declined requests; zero means none.
	Pause time.Duration
	// Limit, unless zero, is the number of requests a second that all answers say the instance
	// takes from all nodes together.
	Limit float64
}

// recordedBodyBytes bounds what a Run keeps of a body.
const recordedBodyBytes = 256 << 10

// Run is one request that an instance worked on.
type Run struct {
	Attempt, Method, Target string
	// Body is the request's body, or its beginning.
	Body   string
	Header http.Header
	// BeganAt is when the instance began to work on it.
	BeganAt time.Time
	// Done is set if the work was completed.
	Done bool
}

type prefilled struct {
	attempt string
	tokens  int
	expires time.Time
}

// NewInstance returns an idle instance without faults.
func NewInstance(options InstanceOptions) *Instance {
	if options.EventTokens == 0 {
		options.EventTokens = 1
	}
	return &Instance{options: options, runsByAttempt: map[string][]int{}, handles: map[string]*prefilled{}, freed: make(chan struct{}), ending: make(chan struct{})}
}

// SetFaults replaces the faults.
func (i *Instance) SetFaults(faults InstanceFaults) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.faults = faults
}

// Runs returns the requests that the instance started, oldest first.
func (i *Instance) Runs() []Run {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return slices.Clone(i.runs)
}

// RunsOf returns an attempt's runs, oldest first, and whether the attempt has arrived.
func (i *Instance) RunsOf(attempt string) (runs []Run, arrived bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	indices, arrived := i.runsByAttempt[attempt]
	for _, index := range indices {
		runs = append(runs, i.runs[index])
	}
	return runs, arrived
}

// Prefills returns how many separate prefills were completed.
func (i *Instance) Prefills() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.issued
}

// Arrivals returns how many callers' requests arrived, including declined ones.
func (i *Instance) Arrivals() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.arrivals
}

// LimitedArrivals returns when callers' requests arrived while the faults had a Limit.
func (i *Instance) LimitedArrivals() []time.Time {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return slices.Clone(i.limitedArrivals)
}

// Used returns the memory that running requests and unexpired handles hold, in tokens.
func (i *Instance) Used() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.expire()
	return i.used
}

// Crash aborts all running requests and drops all handles. Later requests are
// served as by a restarted process.
func (i *Instance) Crash() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.endProcess()
}

// endProcess ends what the instance runs and forgets what it holds. The caller must hold the
// mutex.
func (i *Instance) endProcess() {
	close(i.ending)
	i.ending = make(chan struct{})
	i.handles = map[string]*prefilled{}
	i.used, i.running = 0, 0
}

// ServeHTTP implements the platform's protocol for back ends.
func (i *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/order" {
		i.order(w, r)
		return
	}
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", i.options.ID)
		return
	case strings.HasPrefix(r.URL.Path, "/v1/kv-handle/"):
		i.release(strings.TrimPrefix(r.URL.Path, "/v1/kv-handle/"))
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != i.options.ID {
		w.Header().Set("X-Instance-Id", i.options.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if i.writeEarly(w, r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("X-Attempt-Id") == "" {
		decline(w, r, http.StatusBadRequest)
		return
	}
	i.announce(w, r.Header.Get("X-Attempt-Id"))
	if attempt := r.Header.Get("X-Attempt-Id"); i.writeEndless(w, attempt) || i.writeInvalid(w, attempt) {
		return
	}
	if i.declineDuringSwitch() || i.takeFault(func(f *InstanceFaults) *int { return &f.Shed }) {
		i.setPause(w)
		decline(w, r, http.StatusServiceUnavailable)
		return
	}
	i.serve(w, r, string(body))
}

// announce records an arrival and sets the header of an instance that leaves or has a limit.
func (i *Instance) announce(w http.ResponseWriter, attempt string) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.arrivals++
	if i.faults.Limit > 0 {
		i.limitedArrivals = append(i.limitedArrivals, time.Now())
		w.Header().Set("Server-Limit", strconv.FormatFloat(i.faults.Limit, 'f', -1, 64))
	}
	if _, known := i.runsByAttempt[attempt]; !known {
		i.runsByAttempt[attempt] = nil
	}
	if i.faults.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
}

// setPause sets how long the caller of a declined request is asked to stay away.
func (i *Instance) setPause(w http.ResponseWriter) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.faults.Pause > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(i.faults.Pause.Seconds(), 'f', -1, 64))
	}
}

func decline(w http.ResponseWriter, r *http.Request, status int) {
	if attempt := r.Header.Get("X-Attempt-Id"); attempt != "" {
		w.Header().Set("X-Attempt-Id", attempt)
	}
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(status)
}

// takeFault decrements a fault's count and reports whether the fault applies.
func (i *Instance) takeFault(which func(f *InstanceFaults) *int) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	left := which(&i.faults)
	if *left == 0 {
		return false
	}
	*left--
	return true
}

// serve runs a request, or declines it if the instance has the other stage.
func (i *Instance) serve(w http.ResponseWriter, r *http.Request, body string) {
	prompt, output := tokenCounts(r.Header.Get("X-Token-Counts"))
	prefill := r.Header.Get("X-Stage") == "prefill"
	if stage := i.Stage(); prefill && stage == "decode" || !prefill && stage == "prefill" {
		decline(w, r, http.StatusMisdirectedRequest)
		return
	}
	ctx, cancel := i.context(r)
	defer cancel()
	memory := 0
	if i.options.Stage != "" {
		memory = prompt
	}
	if !i.begin(ctx, memory) {
		decline(w, r, http.StatusServiceUnavailable)
		return
	}
	switch {
	case prefill:
		i.prefill(ctx, w, r, prompt)
	case i.options.Stage == "decode":
		i.decode(ctx, w, r, body, prompt, output)
	default:
		i.plain(ctx, w, r, body)
	}
}

// context returns a context that ends with the request, its deadline or a crash.
func (i *Instance) context(r *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		left = int(time.Hour / time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
	i.mutex.Lock()
	ending := i.ending
	i.mutex.Unlock()
	go func() {
		select {
		case <-ending:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// crashByRequest crashes the instance and calls InstanceOptions.Crashed. Other requests of the
// same process may be about to crash it too.
func (i *Instance) crashByRequest() {
	i.mutex.Lock()
	wasDown := i.isDown
	if !wasDown {
		i.isDown = true
		i.endProcess()
	}
	i.mutex.Unlock()
	if !wasDown {
		i.options.Crashed()
	}
}

// Restart lets an instance that a request has crashed serve again.
func (i *Instance) Restart() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.isDown = false
}

// IsDown reports whether a request has crashed the instance, and it has not restarted since.
func (i *Instance) IsDown() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.isDown
}

// begin waits for a slot and memory. It fails if the queue is full or ctx ends.
func (i *Instance) begin(ctx context.Context, memory int) bool {
	queued := false
	for {
		i.mutex.Lock()
		i.expire()
		room := i.options.Memory == 0 || i.used+memory <= i.options.Memory
		if i.running < i.options.Slots && room {
			i.running++
			i.used += memory
			if queued {
				i.waiting--
			}
			i.mutex.Unlock()
			return true
		}
		if !queued && i.waiting >= i.options.Queue {
			i.mutex.Unlock()
			return false
		}
		if !queued {
			i.waiting++
			queued = true
		}
		freed := i.freed
		i.mutex.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			i.mutex.Lock()
			i.waiting--
			i.mutex.Unlock()
			return false
		}
	}
}

// end releases a slot and the given memory, in tokens.
func (i *Instance) end(memory int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.running = max(0, i.running-1)
	i.used = max(0, i.used-memory)
	close(i.freed)
	i.freed = make(chan struct{})
}

// expire frees expired handles. The caller must hold the mutex.
func (i *Instance) expire() {
	for id, handle := range i.handles {
		if time.Now().After(handle.expires) {
			i.used -= handle.tokens
			delete(i.handles, id)
		}
	}
}

func (i *Instance) release(id string) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if handle := i.handles[id]; handle != nil {
		i.used -= handle.tokens
		delete(i.handles, id)
	}
}

// takeHandle removes the handle of a prefilled prompt and reports whether it was valid.
func (i *Instance) takeHandle(id, attempt string) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.expire()
	handle := i.handles[id]
	if handle == nil || handle.attempt != attempt {
		return false
	}
	i.used -= handle.tokens
	delete(i.handles, id)
	return true
}

func (i *Instance) slowedDuration(length time.Duration) time.Duration {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return length * time.Duration(max(1, i.faults.Slow))
}

func (i *Instance) prefill(ctx context.Context, w http.ResponseWriter, r *http.Request, prompt int) {
	attempt := r.Header.Get("X-Attempt-Id")
	if !pause(ctx, i.slowedDuration(time.Duration(prompt)*i.options.Prefill)) {
		i.end(prompt)
		panic(http.ErrAbortHandler)
	}
	i.mutex.Lock()
	i.issued++
	id := fmt.Sprintf("%s-%d", i.options.ID, i.issued)
	i.handles[id] = &prefilled{attempt: attempt, tokens: prompt, expires: time.Now().Add(i.options.HandleLife)}
	i.mutex.Unlock()
	i.end(0)
	w.Header().Set("X-Attempt-Id", attempt)
	writeJSON(w, http.StatusOK, map[string]any{"transferHandle": id, "tokens": prompt, "version": 1})
}

// fetchKV takes the prompt's KV cache from the engine that ran the prefill.
func (i *Instance) fetchKV(r *http.Request) bool {
	source := r.Header.Get("X-Kv-Source")
	if source == "" {
		return true
	}
	address, id, _ := strings.Cut(source, "/")
	from := i.options.Find(address)
	return from != nil && from.takeHandle(id, r.Header.Get("X-Attempt-Id"))
}

func (i *Instance) decode(ctx context.Context, w http.ResponseWriter, r *http.Request, body string, prompt, output int) {
	if !i.fetchKV(r) {
		i.end(prompt)
		decline(w, r, http.StatusServiceUnavailable)
		return
	}
	if r.Header.Get("X-Kv-Source") == "" && !pause(ctx, i.slowedDuration(2*time.Duration(prompt)*i.options.Prefill)) {
		i.end(prompt)
		panic(http.ErrAbortHandler)
	}
	if i.IsDown() {
		i.end(prompt)
		panic(http.ErrAbortHandler)
	}
	run := i.recordRun(r, body)
	held := prompt
	defer func() { i.end(held) }()
	header := w.Header()
	header.Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	header.Set("X-Server-Seal", i.options.ID)
	header.Set("Content-Type", "text/event-stream")
	if i.isDeadly(r) {
		i.crashByRequest()
		panic(http.ErrAbortHandler)
	}
	if unframed, cutAfter := i.isUnframed(); unframed {
		i.writeUnframed(w, eventsOf(r.Header.Get("X-Attempt-Id"), output/i.options.EventTokens), cutAfter)
		i.markDone(run)
		i.crashAtCut()
		return
	}
	if !i.sendHead(ctx, w) {
		panic(http.ErrAbortHandler)
	}
	truncate := i.takeFault(func(f *InstanceFaults) *int { return &f.Truncate })
	if !truncate && i.takeFault(func(f *InstanceFaults) *int { return &f.Errors }) {
		i.markDone(run)
		header.Set("Content-Type", "text/plain")
		w.WriteHeader(i.errorStatus())
		return
	}
	flush := http.NewResponseController(w)
	for made := 0; made < output; made += i.options.EventTokens {
		if !pause(ctx, i.slowedDuration(time.Duration(i.options.EventTokens)*i.options.Token)) || truncate && made > output/2 {
			panic(http.ErrAbortHandler)
		}
		held += i.options.EventTokens
		i.grow(i.options.EventTokens)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", made/i.options.EventTokens+1, r.Header.Get("X-Attempt-Id")) //nolint:gosec // No browser reads it.
		if err := flush.Flush(); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	i.markDone(run)
}

// sendHead sends the head of a stream early if a fault says so. It returns false if the stream
// ends with its head.
func (i *Instance) sendHead(ctx context.Context, w http.ResponseWriter) bool {
	i.mutex.Lock()
	lead := i.faults.HeadLead
	i.mutex.Unlock()
	cut := i.takeFault(func(f *InstanceFaults) *int { return &f.CutHeads })
	endless := i.takeFault(func(f *InstanceFaults) *int { return &f.EndlessStreams })
	if lead == 0 && !cut && !endless {
		return true
	}
	flush := http.NewResponseController(w)
	if err := flush.Flush(); err != nil || cut || !pause(ctx, lead) {
		return false
	}
	for endless {
		if _, err := io.WriteString(w, strings.Repeat("x", largePiece)); err != nil || flush.Flush() != nil || !pause(ctx, time.Millisecond) {
			return false
		}
	}
	return true
}

func (i *Instance) isDeadly(r *http.Request) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.faults.DeadlyPart != "" && strings.Contains(r.Header.Get("X-Prompt-Prefix"), i.faults.DeadlyPart+":")
}

func (i *Instance) grow(tokens int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.used += tokens
}

// recordRun appends a started request to runs and returns its index.
func (i *Instance) recordRun(r *http.Request, body string) int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.runs = append(i.runs, Run{
		BeganAt: time.Now(),
		Attempt: r.Header.Get("X-Attempt-Id"),
		Method:  r.Method,
		Target:  r.RequestURI,
		Body:    strings.Clone(body[:min(len(body), recordedBodyBytes)]),
		Header:  r.Header.Clone(),
	})
	run := len(i.runs) - 1
	attempt := i.runs[run].Attempt
	i.runsByAttempt[attempt] = append(i.runsByAttempt[attempt], run)
	return run
}

func (i *Instance) markDone(run int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.runs[run].Done = true
}

func (i *Instance) plain(ctx context.Context, w http.ResponseWriter, r *http.Request, body string) {
	defer i.end(0)
	run := i.recordRun(r, body)
	if !pause(ctx, i.slowedDuration(i.options.Work)) {
		panic(http.ErrAbortHandler)
	}
	i.markDone(run)
	attempt := r.Header.Get("X-Attempt-Id")
	answer := i.padAnswer("answer to " + attempt)
	if i.takeFault(func(f *InstanceFaults) *int { return &f.LoseAnswers }) {
		panic(http.ErrAbortHandler)
	}
	if i.takeFault(func(f *InstanceFaults) *int { return &f.Noise }) {
		writeRaw(w, "\x00\x01 this is no answer\r\n\r\n")
		return
	}
	if i.takeFault(func(f *InstanceFaults) *int { return &f.StaleRefusals }) {
		writeRaw(w, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if i.takeFault(func(f *InstanceFaults) *int { return &f.EndlessBodies }) {
		dripRaw(w, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+attempt+"\r\nX-Server-Seal: "+i.options.ID+"\r\n\r\n", repeated(largePiece))
		return
	}
	header := w.Header()
	header.Set("X-Attempt-Id", attempt)
	if !i.takeFault(func(f *InstanceFaults) *int { return &f.Unsigned }) {
		header.Set("X-Server-Seal", i.options.ID)
	}
	if unframed, cutAfter := i.isUnframed(); unframed {
		i.writeUnframed(w, answer, cutAfter)
		i.crashAtCut()
		return
	}
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	switch {
	case i.takeFault(func(f *InstanceFaults) *int { return &f.Truncate }):
		_, _ = io.WriteString(w, answer[:len(answer)/2]) //nolint:gosec // No browser reads it.
		panic(http.ErrAbortHandler)
	case i.takeFault(func(f *InstanceFaults) *int { return &f.Errors }):
		w.WriteHeader(i.errorStatus())
	case i.takeFault(func(f *InstanceFaults) *int { return &f.Extra }):
		sealed := func(id string) string {
			text := "answer to " + id
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, i.options.ID, len(text), text)
		}
		writeRaw(w, sealed(attempt)+sealed("an-earlier-one"))
		return
	}
	_, _ = io.WriteString(w, answer) //nolint:gosec // No browser reads it.
}

// padAnswer returns a plain answer of the least size that the faults say.
func (i *Instance) padAnswer(answer string) string {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return answer + strings.Repeat(" ", max(0, i.faults.AnswerBytes-len(answer)))
}

// errorStatus returns the status of answers to requests that the faults make fail.
func (i *Instance) errorStatus() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return cmp.Or(i.faults.ErrorStatus, http.StatusInternalServerError)
}

func (i *Instance) isUnframed() (unframed bool, cutAfter int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.faults.Unframed, i.faults.CutAfter
}

// writeUnframed answers 200 with the header so far and a body that ends with the
// connection.
func (i *Instance) writeUnframed(w http.ResponseWriter, body string, cutAfter int) {
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	for name := range w.Header() {
		head.WriteString(name + ": " + w.Header().Get(name) + "\r\n")
	}
	if cutAfter > 0 {
		body = body[:min(cutAfter, len(body))]
	}
	writeRaw(w, head.String()+"\r\n"+body)
}

// crashAtCut ends the instance's process once the end of the connection has been seen: a
// crashed process closes its connections before its host refuses new ones.
func (i *Instance) crashAtCut() {
	i.mutex.Lock()
	crashes := i.faults.CutCrashes
	i.mutex.Unlock()
	if crashes {
		time.Sleep(crashDelay)
		i.crashByRequest()
	}
}

// crashDelay is longer than the delay of one packet, and shorter than that of two.
const crashDelay = 1500 * time.Microsecond

// eventsOf returns a stream of count events that name the attempt.
func eventsOf(attempt string, count int) string {
	var stream strings.Builder
	for n := range count {
		_, _ = fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", n+1, attempt)
	}
	return stream.String()
}

// hijack takes a request's connection over.
func hijack(w http.ResponseWriter) net.Conn {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return connection
}

// writeRaw writes content to the connection in place of an HTTP answer and closes it.
func writeRaw(w http.ResponseWriter, content string) {
	connection := hijack(w)
	_, _ = io.WriteString(connection, content)
	_ = connection.Close()
}

func tokenCounts(text string) (prompt, output int) {
	first, second, _ := strings.Cut(text, ",")
	prompt, _ = strconv.Atoi(first)
	output, _ = strconv.Atoi(second)
	return prompt, output
}

// Entry returns the instance's JSON entry in the platform's list.
func (i *Instance) Entry(service, zone, state string) json.RawMessage {
	entry := map[string]any{
		"service": service, "address": i.options.Address, "zone": zone, "version": "v1",
		"slots": i.options.Slots, "state": state, "coldRemainingMs": 0, "sequence": 1,
	}
	if stage := i.Stage(); stage != "" {
		entry["stage"] = stage
	}
	encoded, err := json.Marshal(entry)
	if err != nil {
		panic(err) // Strings and numbers can be written.
	}
	return encoded
}
