// Package invoker is the adapter to backend servers: model engines and plain
// services. Nothing outside it knows their wire formats.
//
// Engines speak OpenAI-compatible completions with vLLM-style KV transfer
// parameters. A request runs in two steps: Prefill computes the KV cache of the
// prompt on one engine, Decode imports it on another and streams the tokens.
package invoker

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("backend-server")

// The error types of backend servers. Test with errorx.IsOfType.
var (
	// Unreached: no connection could be opened; nothing was sent.
	Unreached = Errors.NewType("unreached")
	// Lost: the connection broke; the effect is unknown.
	Lost = Errors.NewType("lost")
	// Silent: nothing came for too long; the effect is unknown. The server may
	// be well and only the connection dead.
	Silent = Errors.NewType("silent")
	// Refused: the server answered that it did not take the request.
	Refused = Errors.NewType("refused")
	// Rejected: the server found a fault in the request itself, which no other
	// server would take either; the message says which.
	Rejected = Errors.NewType("rejected")
	// Gone: the stream or KV cache asked for does not exist there.
	Gone = Errors.NewType("gone")
	// Cancelled: the stream was ended by a cancel; the server is well.
	Cancelled = Errors.NewType("cancelled")
	// Superseded: a later reader of the same stream took over.
	Superseded = Errors.NewType("superseded")
	// Malformed: the answer does not follow the protocol.
	Malformed = Errors.NewType("malformed")
)

// Options sets up an invoker.
type Options struct {
	// Transport carries calls that may be sent again.
	Transport http.RoundTripper
	// Fresh carries calls on a new connection each: a kept connection may have
	// gone silent, and a transport repeats a call by itself on kept ones only.
	Fresh http.RoundTripper
	// Call bounds short calls: cancel, load, orders.
	Call time.Duration
	// Prefill bounds the computation of a prompt's KV cache.
	Prefill time.Duration
	// Import bounds the KV transfer before a stream's first byte.
	Import time.Duration
	// Progress ends a stream that sent nothing for this long.
	Progress time.Duration
	// AnswerBytes bounds the answer of a plain service.
	AnswerBytes int64
}

// Invoker calls backend servers.
type Invoker struct {
	options Options
	kept    *http.Client
	fresh   *http.Client
}

// passRedirect passes a redirection on as the answer. Following it would send a
// call again that may run once only.
func passRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// New returns an invoker.
func New(options Options) *Invoker {
	return &Invoker{
		options: options,
		kept:    &http.Client{Transport: options.Transport, CheckRedirect: passRedirect},
		fresh:   &http.Client{Transport: options.Fresh, CheckRedirect: passRedirect},
	}
}

// Work is one attempt of a model request.
type Work struct {
	Attempt identifier.Attempt
	// Path is the caller's path, such as "/v1/completions".
	Path string
	// Body is the caller's JSON object. Fields named below replace its own.
	Body map[string]json.RawMessage
	Rank identifier.Rank
	// Seed makes generation repeatable, so that a lost answer can be made again.
	Seed uint64
	// Limit is the most tokens to generate in this attempt, positive.
	Limit identifier.Tokens
	// Generated is the answer so far, of Offset tokens. Generation goes on after it.
	Generated string
	Offset    identifier.Tokens
	// Prefixes are hashes of the prompt's leading blocks of PrefixBlock tokens each,
	// every one covering the blocks before it too.
	Prefixes    []uint64
	PrefixBlock identifier.Tokens
	// Fresh sends the calls on new connections, because kept ones may be dead.
	Fresh bool
}

// KV names the KV cache of a prompt on a prefill engine. It is evicted when no
// decode engine imports it soon.
type KV struct {
	parameters json.RawMessage
}

// priority is lower for work that goes first.
func priority(rank identifier.Rank) int {
	return int(rank)
}

// body builds the engine's request from the caller's and the work's own fields.
func (w Work) body(stream bool, limit identifier.Tokens, kv json.RawMessage) ([]byte, error) {
	fields := make(map[string]any, len(w.Body)+8)
	for name, value := range w.Body {
		fields[name] = value
	}
	fields["request_id"] = w.Attempt
	fields["stream"] = stream
	fields["max_tokens"] = limit
	delete(fields, "max_completion_tokens")
	// The closing event of usage belongs to no token.
	delete(fields, "stream_options")
	if err := w.leastTokens(fields, stream); err != nil {
		return nil, err
	}
	fields["priority"] = priority(w.Rank)
	fields["kv_transfer_params"] = kv
	if _, given := w.Body["seed"]; !given {
		fields["seed"] = w.Seed
	}
	if w.Generated != "" {
		fields["token_offset"] = w.Offset
		if err := w.goOn(fields); err != nil {
			return nil, err
		}
	}
	return json.Marshal(fields)
}

// leastTokens lowers the caller's least number of tokens by those generated. A
// prefill generates one token only.
func (w Work) leastTokens(fields map[string]any, stream bool) error {
	raw, given := w.Body["min_tokens"]
	if !given {
		return nil
	}
	var least identifier.Tokens
	if err := json.Unmarshal(raw, &least); err != nil {
		return Rejected.New("min_tokens is not a number")
	}
	delete(fields, "min_tokens")
	if left := least - w.Offset; stream && left > 0 {
		fields["min_tokens"] = left
	}
	return nil
}

// goOn appends what was generated to the prompt or to the conversation.
func (w Work) goOn(fields map[string]any) error {
	if raw, ok := w.Body["prompt"]; ok {
		var prompt string
		if err := json.Unmarshal(raw, &prompt); err != nil {
			return Malformed.Wrap(err, "prompt")
		}
		fields["prompt"] = prompt + w.Generated
		return nil
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(w.Body["messages"], &messages); err != nil {
		return Malformed.Wrap(err, "messages")
	}
	last, err := json.Marshal(map[string]string{"role": "assistant", "content": w.Generated})
	if err != nil {
		return err
	}
	fields["messages"] = append(messages, last)
	fields["continue_final_message"] = true
	fields["add_generation_prompt"] = false
	return nil
}

// Prefill computes the prompt's KV cache on an engine.
func (i *Invoker) Prefill(ctx context.Context, member tabulator.Member, work Work) (KV, error) {
	parameters, err := work.prefillParameters()
	if err != nil {
		return KV{}, err
	}
	body, err := work.body(false, 1, parameters)
	if err != nil {
		return KV{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, i.options.Prefill)
	defer cancel()
	response, err := i.post(ctx, i.clientFor(work), member, work.Path, body)
	if err != nil {
		return KV{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		KV json.RawMessage `json:"kv_transfer_params"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return KV{}, Lost.Wrap(err, "prefill at %s", member.Name)
	}
	return KV{parameters: answer.KV}, nil
}

// Decode imports a KV cache and starts the answer's stream. Ending ctx closes
// the connection; the engine goes on until Cancel.
func (i *Invoker) Decode(ctx context.Context, member tabulator.Member, work Work, kv KV) (*Stream, error) {
	body, err := work.body(true, work.Limit, kv.parameters)
	if err != nil {
		return nil, err
	}
	return i.open(ctx, work.Attempt, work.Offset, func(ctx context.Context) (*http.Response, error) {
		return i.post(ctx, i.clientFor(work), member, work.Path, body)
	})
}

// Resume goes on with a stream after an offset, on a new connection. A larger
// reader number ends the readers before it.
func (i *Invoker) Resume(ctx context.Context, member tabulator.Member, attempt identifier.Attempt, after identifier.Tokens, reader uint64) (*Stream, error) {
	path := "/v1/streams/" + string(attempt) +
		"?after=" + strconv.Itoa(int(after)) + "&reader=" + strconv.FormatUint(reader, 10)
	stream, err := i.open(ctx, attempt, after, func(ctx context.Context) (*http.Response, error) {
		return i.send(ctx, i.fresh, http.MethodGet, member, path, nil)
	})
	if err == nil {
		// The last token may have been read before; then only the end comes.
		stream.finished = after > 0
	}
	return stream, err
}

// open starts a stream and bounds the wait for its first byte.
func (i *Invoker) open(ctx context.Context, attempt identifier.Attempt, after identifier.Tokens, call func(context.Context) (*http.Response, error)) (*Stream, error) {
	ctx, stop := context.WithCancelCause(ctx)
	late := time.AfterFunc(i.options.Import, func() { stop(errSilent) })
	response, err := call(ctx) //nolint:bodyclose // The stream closes it.
	if opened := late.Stop(); err != nil || !opened {
		defer stop(nil)
		if errors.Is(context.Cause(ctx), errSilent) {
			return nil, Silent.New("stream of %s did not open", attempt)
		}
		return nil, err
	}
	return i.newStream(ctx, response, stop, attempt, after), nil
}

// errSilent is the cause of a call that was given up because nothing came.
var errSilent = errors.New("nothing came for too long")

// Cancel ends an attempt on an engine and returns once its memory is free. An
// engine that does not know the attempt holds nothing for it. Superseded means
// that a reader later than the given one goes on with the stream.
func (i *Invoker) Cancel(ctx context.Context, member tabulator.Member, attempt identifier.Attempt, reader uint64) error {
	ctx, cancel := context.WithTimeout(ctx, i.options.Call)
	defer cancel()
	path := "/v1/streams/" + string(attempt) + "?reader=" + strconv.FormatUint(reader, 10)
	response, err := i.send(ctx, i.fresh, http.MethodDelete, member, path, nil)
	if errorx.IsOfType(err, Gone) {
		return nil
	}
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// clientFor returns the client that carries the calls of an attempt.
func (i *Invoker) clientFor(work Work) *http.Client {
	if work.Fresh {
		return i.fresh
	}
	return i.kept
}

func (i *Invoker) post(ctx context.Context, client *http.Client, member tabulator.Member, path string, body []byte) (*http.Response, error) {
	return i.send(ctx, client, http.MethodPost, member, path, body)
}

// send makes a call and turns failures into this package's error types.
func (i *Invoker) send(ctx context.Context, client *http.Client, method string, member tabulator.Member, path string, body []byte) (*http.Response, error) {
	var content io.Reader
	if body != nil {
		content = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(member.Address)+path, content)
	if err != nil {
		return nil, Malformed.Wrap(err, "request to %s", member.Name)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return nil, callError(err, member.Name)
	}
	if response.StatusCode < http.StatusBadRequest {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	return nil, statusError(method, response, member.Name)
}

// callError tells a call that never left from one whose effect is unknown.
func callError(err error, member identifier.Member) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return Unreached.Wrap(err, "%s", member)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return Silent.Wrap(err, "%s", member)
	}
	return Lost.Wrap(err, "%s", member)
}

// statusError turns the status of an answer into an error. Only a stream that is
// asked for by its name can be gone; a server that does not know the path or the
// model of new work refuses it.
func statusError(method string, response *http.Response, member identifier.Member) error {
	status := response.StatusCode
	switch {
	case status == http.StatusNotFound && method != http.MethodPost:
		return Gone.New("%s: status %d", member, status)
	case status == http.StatusGone:
		return Cancelled.New("%s: status %d", member, status)
	case status == http.StatusConflict:
		return Superseded.New("%s: status %d", member, status)
	case rejects(status):
		return Rejected.New("%s", faultIn(response.Body))
	default:
		return Refused.New("%s: status %d", member, status)
	}
}

// rejects tells whether a status blames the request and not the server.
func rejects(status int) bool {
	return status == http.StatusBadRequest ||
		status == http.StatusRequestEntityTooLarge ||
		status == http.StatusUnprocessableEntity
}

// faultBytes bounds what is read of an answer that rejects a request.
const faultBytes = 4 << 10

// faultIn reads what is wrong with a request from the answer that rejects it, in
// either form that engines use.
func faultIn(body io.Reader) string {
	var fault struct {
		Message string `json:"message"`
		Error   struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	text, err := io.ReadAll(io.LimitReader(body, faultBytes))
	if err == nil {
		err = json.Unmarshal(text, &fault)
	}
	message := cmp.Or(fault.Error.Message, fault.Message)
	if err != nil || message == "" {
		return "the engine gives no reason"
	}
	return message
}
