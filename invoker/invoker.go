// Package invoker is the adapter to backend servers: model engines and plain
// services. It is the only package that knows their wire formats.
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

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("backend-server")

// The error types of backend servers. Test with errorx.IsOfType.
var (
	// ConnectFailed: no connection could be opened. Nothing was sent.
	ConnectFailed = Errors.NewType("unreached")
	// AnswerLost: the connection failed or the answer is unusable. The effect is unknown.
	AnswerLost = Errors.NewType("lost")
	// TimedOut: the call timed out. The effect is unknown. The server may be healthy
	// and only the connection dead.
	TimedOut = Errors.NewType("silent")
	// Refused: the server answered with an error status and did not take the request.
	Refused = Errors.NewType("refused")
	// InvalidRequest: every server would reject the request. The message gives the reason.
	InvalidRequest = Errors.NewType("rejected")
	// NotFound: the server does not have the requested stream or path.
	NotFound = Errors.NewType("gone")
	// Cancelled: a cancel ended the stream. The server is healthy.
	Cancelled = Errors.NewType("cancelled")
	// Superseded: a reader with a larger number took over the stream, or the server
	// has seen a larger fencing number.
	Superseded = Errors.NewType("superseded")
	// Malformed: the request could not be built. Nothing was sent.
	Malformed = Errors.NewType("malformed")
)

// Options sets up an invoker.
type Options struct {
	// Transport pools connections, for calls that are safe to repeat.
	Transport http.RoundTripper
	// UnpooledTransport opens a new connection for each call. A pooled connection may be dead,
	// and an HTTP transport automatically repeats calls on pooled connections only.
	UnpooledTransport http.RoundTripper
	// CallTimeout is the timeout of short calls: cancel, load, state and orders.
	CallTimeout time.Duration
	// PrefillTimeout is the timeout for computing a prompt's KV cache.
	PrefillTimeout time.Duration
	// ImportTimeout is the timeout for opening a stream, which includes the KV transfer.
	ImportTimeout time.Duration
	// ProgressTimeout is the longest wait for the next token of a stream.
	ProgressTimeout time.Duration
	// MaxAnswerBytes is the largest body that a plain service may answer with.
	MaxAnswerBytes int64
}

// Invoker calls backend servers.
type Invoker struct {
	options  Options
	pooled   *http.Client
	unpooled *http.Client
}

// New returns an invoker.
func New(options Options) *Invoker {
	return &Invoker{
		options:  options,
		pooled:   connector.NewClient(options.Transport),
		unpooled: connector.NewClient(options.UnpooledTransport),
	}
}

// Work is one attempt of a model request.
type Work struct {
	Attempt identifier.Attempt
	// Path is the caller's path, such as "/v1/completions".
	Path string
	// Body is the caller's JSON object. The fields of Work override it, except that
	// a seed in Body overrides Seed.
	Body map[string]json.RawMessage
	Rank identifier.Rank
	// Seed makes generation repeatable, so that a lost answer can be regenerated.
	Seed uint64
	// MaxTokens is the largest number of tokens to generate in this attempt; positive.
	MaxTokens identifier.Tokens
	// Generated is the answer of earlier attempts, which this attempt continues.
	Generated string
	// Offset is the number of tokens in Generated.
	Offset identifier.Tokens
	// Prefixes holds hashes of the prompt's first whole block, first two, and so on.
	Prefixes          []uint64
	PrefixBlockTokens identifier.Tokens
	// NewConnection sends the calls on new connections, because pooled ones may be dead.
	NewConnection bool
}

// KV refers to the KV cache of a prompt on a prefill engine. The engine evicts the
// cache unless a decode engine imports it soon.
type KV struct {
	parameters json.RawMessage
}

// priority returns the engine's priority of a rank; engines run lower values first.
func priority(rank identifier.Rank) int {
	return int(rank)
}

// encodeBody returns the JSON request for an engine.
func (w Work) encodeBody(stream bool, limit identifier.Tokens, kv json.RawMessage) ([]byte, error) {
	fields := make(map[string]any, len(w.Body)+8)
	for name, value := range w.Body {
		fields[name] = value
	}
	fields["request_id"] = w.Attempt
	fields["stream"] = stream
	fields["max_tokens"] = limit
	delete(fields, "max_completion_tokens")
	// stream_options can request a usage report, an extra event without a token.
	delete(fields, "stream_options")
	if err := w.setMinTokens(fields, stream); err != nil {
		return nil, err
	}
	fields["priority"] = priority(w.Rank)
	fields["kv_transfer_params"] = kv
	if _, given := w.Body["seed"]; !given {
		fields["seed"] = w.Seed
	}
	if w.Generated != "" {
		fields["token_offset"] = w.Offset
		if err := w.appendGenerated(fields); err != nil {
			return nil, err
		}
	}
	return json.Marshal(fields)
}

// setMinTokens reduces the caller's min_tokens by the tokens already generated. It
// removes the field from a prefill, which generates only one token.
func (w Work) setMinTokens(fields map[string]any, stream bool) error {
	raw, given := w.Body["min_tokens"]
	if !given {
		return nil
	}
	var minTokens identifier.Tokens
	if err := json.Unmarshal(raw, &minTokens); err != nil {
		return InvalidRequest.New("min_tokens is not a number")
	}
	delete(fields, "min_tokens")
	if left := minTokens - w.Offset; stream && left > 0 {
		fields["min_tokens"] = left
	}
	return nil
}

// appendGenerated appends the generated text to the prompt or messages, to be continued.
func (w Work) appendGenerated(fields map[string]any) error {
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

// Prefill makes an engine compute the prompt's KV cache and keep it for an import.
func (i *Invoker) Prefill(ctx context.Context, member tabulator.Member, work Work) (KV, error) {
	parameters, err := work.encodePrefillParameters()
	if err != nil {
		return KV{}, err
	}
	body, err := work.encodeBody(false, 1, parameters)
	if err != nil {
		return KV{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, i.options.PrefillTimeout)
	defer cancel()
	response, err := i.post(ctx, i.clientFor(work), member, work.Path, body)
	if err != nil {
		return KV{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		KV json.RawMessage `json:"kv_transfer_params"`
	}
	if err := decodeJSON(response.Body, &answer); err != nil {
		return KV{}, AnswerLost.Wrap(err, "prefill at %s", member.Name)
	}
	return KV{parameters: answer.KV}, nil
}

// maxJSONBytes bounds the JSON answers of engines.
const maxJSONBytes = 1 << 20

// decodeJSON decodes an engine's answer of at most maxJSONBytes.
func decodeJSON(body io.Reader, target any) error {
	return json.NewDecoder(io.LimitReader(body, maxJSONBytes)).Decode(target)
}

// Decode imports a KV cache and opens the stream of the answer. The end of ctx closes
// the connection, but the engine continues to generate until Cancel.
func (i *Invoker) Decode(ctx context.Context, member tabulator.Member, work Work, kv KV) (*Stream, error) {
	body, err := work.encodeBody(true, work.MaxTokens, kv.parameters)
	if err != nil {
		return nil, err
	}
	return i.openStream(ctx, work.Attempt, work.Offset, func(ctx context.Context) (*http.Response, error) {
		return i.post(ctx, i.clientFor(work), member, work.Path, body)
	})
}

// Resume reopens a stream after the token at an offset, on a new connection. It ends
// the connections of readers with smaller numbers.
func (i *Invoker) Resume(ctx context.Context, member tabulator.Member, attempt identifier.Attempt, after identifier.Tokens, reader uint64) (*Stream, error) {
	path := "/v1/streams/" + string(attempt) +
		"?after=" + strconv.Itoa(int(after)) + "&reader=" + strconv.FormatUint(reader, 10)
	stream, err := i.openStream(ctx, attempt, after, func(ctx context.Context) (*http.Response, error) {
		return i.send(ctx, i.unpooled, http.MethodGet, member, path, nil)
	})
	if err == nil {
		// If the last token was read before, only the closing event follows.
		stream.finished = after > 0
	}
	return stream, err
}

// openStream makes the call that opens a stream. It fails with TimedOut when the
// answer's header does not arrive within Options.ImportTimeout.
func (i *Invoker) openStream(ctx context.Context, attempt identifier.Attempt, after identifier.Tokens, call func(context.Context) (*http.Response, error)) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	openTimer := time.AfterFunc(i.options.ImportTimeout, func() { cancel(errTimedOut) })
	response, err := call(ctx) //nolint:bodyclose // The stream closes it.
	if inTime := openTimer.Stop(); err != nil || !inTime {
		defer cancel(nil)
		if errors.Is(context.Cause(ctx), errTimedOut) {
			return nil, TimedOut.New("stream of %s did not open", attempt)
		}
		return nil, err
	}
	return i.newStream(ctx, response, cancel, attempt, after), nil
}

// errTimedOut is the cancellation cause of a stream that timed out.
var errTimedOut = errors.New("no data arrived before the timeout")

// Cancel ends an attempt on an engine and returns once its memory is free. It succeeds
// if the engine does not know the attempt. It fails with Superseded when a reader with
// a larger number than the given one continues the stream.
func (i *Invoker) Cancel(ctx context.Context, member tabulator.Member, attempt identifier.Attempt, reader uint64) error {
	ctx, cancel := context.WithTimeout(ctx, i.options.CallTimeout)
	defer cancel()
	path := "/v1/streams/" + string(attempt) + "?reader=" + strconv.FormatUint(reader, 10)
	response, err := i.send(ctx, i.unpooled, http.MethodDelete, member, path, nil)
	if errorx.IsOfType(err, NotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func (i *Invoker) clientFor(work Work) *http.Client {
	if work.NewConnection {
		return i.unpooled
	}
	return i.pooled
}

func (i *Invoker) post(ctx context.Context, client *http.Client, member tabulator.Member, path string, body []byte) (*http.Response, error) {
	return i.send(ctx, client, http.MethodPost, member, path, body)
}

// send makes a call and converts failures to the error types of this package.
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
		return nil, classifyCallError(err, member.Name)
	}
	if response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	return nil, classifyStatus(method, response, member.Name)
}

// classifyCallError returns ConnectFailed for a call that was never sent, and TimedOut
// or AnswerLost for one whose effect is unknown.
func classifyCallError(err error, member identifier.Member) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return ConnectFailed.Wrap(err, "%s", member)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return TimedOut.Wrap(err, "%s", member)
	}
	return AnswerLost.Wrap(err, "%s", member)
}

// classifyStatus returns the error for the status of an answer. A POST starts new work,
// so its status 404 means an unknown path or model and becomes Refused, not NotFound.
func classifyStatus(method string, response *http.Response, member identifier.Member) error {
	status := response.StatusCode
	switch {
	case status < http.StatusBadRequest:
		return AnswerLost.New("%s: status %d", member, status)
	case status == http.StatusNotFound && method != http.MethodPost:
		return NotFound.New("%s: status %d", member, status)
	case status == http.StatusGone:
		return Cancelled.New("%s: status %d", member, status)
	case status == http.StatusConflict:
		return Superseded.New("%s: status %d", member, status)
	case isInvalidRequest(status):
		return InvalidRequest.New("%s", readFaultMessage(response.Body))
	default:
		return Refused.New("%s: status %d", member, status)
	}
}

func isInvalidRequest(status int) bool {
	return status == http.StatusBadRequest ||
		status == http.StatusRequestEntityTooLarge ||
		status == http.StatusUnprocessableEntity
}

// maxFaultBytes bounds the part of an error answer that is read.
const maxFaultBytes = 4 << 10

// readFaultMessage returns an error answer's message, at top level or inside "error".
func readFaultMessage(body io.Reader) string {
	var fault struct {
		Message string `json:"message"`
		Error   struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	text, err := io.ReadAll(io.LimitReader(body, maxFaultBytes))
	if err == nil {
		err = json.Unmarshal(text, &fault)
	}
	message := cmp.Or(fault.Error.Message, fault.Message)
	if err != nil || message == "" {
		return "the engine gives no reason"
	}
	return message
}
