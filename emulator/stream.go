package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type kvParameters struct {
	DoRemoteDecode  bool   `json:"do_remote_decode,omitempty"`
	DoRemotePrefill bool   `json:"do_remote_prefill,omitempty"`
	RemoteEngineID  string `json:"remote_engine_id,omitempty"`
	RemoteRequestID string `json:"remote_request_id,omitempty"`
	RemoteHost      string `json:"remote_host,omitempty"`
	RemotePort      string `json:"remote_port,omitempty"`
	// PrefixNames are the names that cache events use for the prompt's leading blocks
	// of PrefixBlockTokens tokens each.
	PrefixNames       []string `json:"prefix_names,omitempty"`
	PrefixBlockTokens int      `json:"prefix_block_tokens,omitempty"`
}

// prefixNames returns the names of the prompt's blocks, or nil if their length is
// not cacheBlockTokens.
func (k *kvParameters) prefixNames() []string {
	if k.PrefixBlockTokens != cacheBlockTokens {
		return nil
	}
	return k.PrefixNames
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

type completionRequest struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	RequestID string        `json:"request_id"`
	// Continue makes the answer continue the last message.
	Continue bool          `json:"continue_final_message"`
	Offset   int           `json:"token_offset"`
	KV       *kvParameters `json:"kv_transfer_params"`

	MinTokens     int             `json:"min_tokens"`
	Temperature   float64         `json:"temperature"`
	StreamOptions json.RawMessage `json:"stream_options"`
}

// text returns the text that the model continues.
func (c completionRequest) text() string {
	if c.Messages == nil {
		return c.Prompt
	}
	return chatText(c.Messages, c.Continue)
}

// chatText renders messages with the chat template; goOn leaves the last one open.
func chatText(messages []chatMessage, goOn bool) string {
	text := ""
	for i, message := range messages {
		text += message.Role + ": " + string(message.Content)
		if last := i == len(messages)-1; !last || !goOn {
			text += "\n"
		}
	}
	if !goOn {
		text += "assistant: "
	}
	return text
}

type completionChoice struct {
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type completionAnswer struct {
	ID      string             `json:"id"`
	Choices []completionChoice `json:"choices"`
	KV      *kvParameters      `json:"kv_transfer_params,omitempty"`
}

// stream is one generation, running or retained for resumption.
type stream struct {
	mutex sync.Mutex
	// tokens holds the generated tokens; the offset of tokens[0] is first.
	tokens []string
	first  int
	// done is set after the last token; wake is closed and replaced on each change.
	done bool
	wake chan struct{}
	// reader is the largest reader number seen; readers with smaller numbers are ended.
	reader uint64
	pieces int
	ctx    context.Context
	stop   context.CancelFunc
	// ended is closed when generation has ended and its memory is freed.
	ended chan struct{}
}

func (s *stream) change(apply func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	apply()
	close(s.wake)
	s.wake = make(chan struct{})
}

// hasLaterReader reports whether a reader with a larger number has taken over the stream.
func (s *stream) hasLaterReader(reader uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reader > reader
}

func (e *Engine) serveCompletions(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return
	}
	if fault := request.fault(); fault != "" {
		w.WriteHeader(http.StatusBadRequest)
		_ = json.NewEncoder(w).Encode(wireError{wireErrorBody{Message: fault, Type: "BadRequestError"}})
		return
	}
	if e.options.Poison != "" && contains(request.text(), e.options.Poison) {
		e.crash()
	}
	if request.KV != nil && request.KV.DoRemoteDecode {
		e.prefill(w, r, request)
		return
	}
	e.decode(w, r, request)
}

// prefill computes a prompt's KV cache and keeps it for export.
func (e *Engine) prefill(w http.ResponseWriter, r *http.Request, request completionRequest) {
	tokens := countTokens(request.text())
	pieces := e.pieces(tokens)
	e.mutex.Lock()
	generation := e.generation
	admitted := e.reserve(pieces)
	// The last token is always computed, because decode continues from it.
	compute := max(1, tokens-e.cache.cached(request.text()))
	span := time.Duration(compute) * time.Second / time.Duration(e.options.PrefillRate)
	if admitted {
		e.counts.Prefills++
		e.prefills[request.RequestID] = time.Now().Add(span)
	}
	e.mutex.Unlock()
	if !admitted {
		http.Error(w, "no memory", http.StatusServiceUnavailable)
		return
	}
	computed := pause(r.Context(), span)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.prefills, request.RequestID)
	if e.generation != generation {
		panic(http.ErrAbortHandler)
	}
	if !computed {
		e.used -= pieces
		return
	}
	e.counts.PromptTokens += tokens
	e.counts.ComputedTokens += compute
	e.cache.store(request.text(), request.KV.prefixNames())
	e.keepExport(request.RequestID, pieces)
	host, port, _ := net.SplitHostPort(string(e.options.Address))
	_ = json.NewEncoder(w).Encode(completionAnswer{
		ID:      request.RequestID,
		Choices: []completionChoice{{}},
		KV: &kvParameters{
			DoRemotePrefill: true,
			RemoteEngineID:  string(e.options.Name),
			RemoteRequestID: request.RequestID,
			RemoteHost:      host,
			RemotePort:      port,
		},
	})
}

// decode imports the KV cache and streams the generated tokens.
func (e *Engine) decode(w http.ResponseWriter, r *http.Request, request completionRequest) {
	text := request.text()
	pieces := e.pieces(countTokens(text) + request.MaxTokens)
	e.mutex.Lock()
	generation := e.generation
	admitted := e.reserve(pieces)
	e.mutex.Unlock()
	if !admitted {
		http.Error(w, "no memory", http.StatusServiceUnavailable)
		return
	}
	under := e.beginTransfer(r, request.RequestID)
	imported := request.KV == nil || e.importKV(r.WithContext(under.ctx), request.KV)
	e.mutex.Lock()
	imported = imported && under.ctx.Err() == nil
	e.endTransfer(request.RequestID, under)
	if e.generation != generation {
		e.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
	if !imported {
		e.used -= pieces
		e.mutex.Unlock()
		http.Error(w, "kv cache not found", http.StatusFailedDependency)
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &stream{first: request.Offset, pieces: pieces, wake: make(chan struct{}), ctx: ctx, stop: stop, ended: make(chan struct{})}
	if old, taken := e.streams[request.RequestID]; taken {
		old.stop()
	}
	e.streams[request.RequestID] = s
	e.running++
	e.counts.Decodes++
	e.mutex.Unlock()
	go e.generate(s, request.RequestID, text, request.MaxTokens, generation)
	e.send(s, w, r, request.RequestID, request.Offset, 0)
}

// generate produces up to limit tokens, ends early on a cancel, and frees the memory.
func (e *Engine) generate(s *stream, attempt, text string, limit, generation int) {
	for range limit {
		e.mutex.Lock()
		step := e.step()
		e.mutex.Unlock()
		if !pause(s.ctx, step) {
			break
		}
		token := nextToken(e.options.Variant + text)
		text += token
		s.change(func() { s.tokens = append(s.tokens, token) })
	}
	s.change(func() { s.done = s.ctx.Err() == nil })
	e.mutex.Lock()
	defer e.mutex.Unlock()
	defer close(s.ended)
	if e.generation != generation {
		return
	}
	e.running--
	e.used -= s.pieces
	time.AfterFunc(e.options.Retain, func() { e.forget(attempt, s) })
}

// forget removes a finished stream unless a newer one has its attempt ID.
func (e *Engine) forget(attempt string, s *stream) {
	s.stop()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.streams[attempt] == s {
		delete(e.streams, attempt)
	}
}

// send writes the tokens after an offset until the stream ends, the client
// disconnects or a reader with a larger number takes over.
func (e *Engine) send(s *stream, w http.ResponseWriter, r *http.Request, attempt string, after int, reader uint64) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	for {
		s.mutex.Lock()
		tokens, done, wake, latest := s.tokens, s.done, s.wake, s.reader
		s.mutex.Unlock()
		if e.breaksStreams() {
			flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		if latest > reader || s.ctx.Err() != nil && !done {
			panic(http.ErrAbortHandler)
		}
		for ; after < s.first+len(tokens); after++ {
			last := done && after == s.first+len(tokens)-1
			if e.crossesChunks() {
				writeChunk(w, "another-attempt", after+1, " crossed", false)
				writeChunk(w, attempt, after, " late", false)
			}
			writeChunk(w, attempt, after+1, tokens[after-s.first], last)
		}
		if done && e.takeCut() {
			flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		if done {
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		flusher.Flush()
		select {
		case <-wake:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) crossesChunks() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.crossed
}

// writeChunk writes one token as an event; offset, the event's id, is that after the token.
func writeChunk(w http.ResponseWriter, attempt string, offset int, token string, last bool) {
	choice := completionChoice{Text: token}
	if last {
		reason := "length"
		choice.FinishReason = &reason
	}
	data, _ := json.Marshal(completionAnswer{ID: attempt, Choices: []completionChoice{choice}})
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, data)
}

// serveResume continues a stream on a new connection and ends readers with smaller numbers.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	attempt := r.PathValue("attempt")
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	reader, _ := strconv.ParseUint(r.URL.Query().Get("reader"), 10, 64)
	e.mutex.Lock()
	s, ok := e.streams[attempt]
	cancelled := e.cancelled[attempt]
	e.mutex.Unlock()
	if cancelled {
		http.Error(w, "the stream was cancelled", http.StatusGone)
		return
	}
	if !ok || after < s.first {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	superseded := false
	s.change(func() {
		superseded = reader < s.reader
		s.reader = max(s.reader, reader)
	})
	if superseded {
		http.Error(w, "a later reader took over", http.StatusConflict)
		return
	}
	e.send(s, w, r, attempt, after, reader)
}

// serveCancel ends a stream or import and answers after a stream's memory is freed.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	attempt := r.PathValue("attempt")
	reader, _ := strconv.ParseUint(r.URL.Query().Get("reader"), 10, 64)
	e.mutex.Lock()
	if under, ok := e.transfers[attempt]; ok {
		under.stop()
	}
	s, ok := e.streams[attempt]
	if ok && s.hasLaterReader(reader) {
		e.mutex.Unlock()
		http.Error(w, "a later reader took over", http.StatusConflict)
		return
	}
	e.counts.Cancels++
	e.dropExport(attempt)
	delete(e.streams, attempt)
	e.cancelled[attempt] = true
	time.AfterFunc(e.options.Retain, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		delete(e.cancelled, attempt)
	})
	e.mutex.Unlock()
	if ok {
		s.stop()
		<-s.ended
	}
	w.WriteHeader(http.StatusNoContent)
}

// pause waits for span and reports false if ctx ended first.
func pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
