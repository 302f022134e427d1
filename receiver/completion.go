package receiver

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/router"
)

// Headers of callers' requests.
const (
	accountHeader = "X-Account"
	// RequestIDHeader has the caller's id of a request.
	RequestIDHeader = "X-Request-Id"
	lastEventHeader = "Last-Event-ID"
	keyHeader       = "Idempotency-Key"
	issuedHeader    = "Idempotency-Key-Issued"
	firstHeader     = "Idempotency-Key-First"
)

// maxIDBytes limits the length of request ids.
const maxIDBytes = 128

type wireMessage struct {
	Role    string       `json:"role"`
	Content wireContents `json:"content"`
}

// wireContents is the text of a message. In JSON it is a string, a list of parts or
// null.
type wireContents string

// UnmarshalJSON decodes a string, a list of parts or null. Parts other than text
// count as empty.
func (w *wireContents) UnmarshalJSON(data []byte) error {
	var whole string
	if err := json.Unmarshal(data, &whole); err == nil {
		*w = wireContents(whole)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errInvalidContent
	}
	var text strings.Builder
	for _, part := range parts {
		text.WriteString(part.Text)
	}
	*w = wireContents(text.String())
	return nil
}

var errInvalidContent = errors.New("content is neither text nor a list of parts")

type wireCompletion struct {
	Model     identifier.Model  `json:"model"`
	Prompt    *string           `json:"prompt"`
	Messages  []wireMessage     `json:"messages"`
	MaxTokens identifier.Tokens `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens and takes precedence.
	MaxCompletionTokens identifier.Tokens `json:"max_completion_tokens"`
	Stream              bool              `json:"stream"`
	// Choices must be at most 1, because a resumable stream can have only one answer.
	Choices int `json:"n"`
	// BestOf must be at most 1, because a resumable stream can have only one answer.
	BestOf int `json:"best_of"`
}

type completionRequest struct {
	completion router.Completion
	// id is the request's id as the caller gave it, or a generated one.
	id     string
	stream bool
}

type completionResponse struct {
	request completionRequest
	reply   *router.Reply
	refusal *router.Refusal
}

func malformed(format string, a ...any) refusalError {
	return refusalError{&router.Refusal{Outcome: router.NotRun, Reason: router.Malformed, Message: fmt.Sprintf(format, a...)}}
}

// readBody reads a request's body of at most Options.MaxBodyBytes.
func (r *Receiver) readBody(request *http.Request) ([]byte, error) {
	lease := leasesOf(request.Context()).body
	body, err := lease.ReadAll(request.Body, request.ContentLength, r.options.MaxBodyBytes)
	if !lease.EndAwait() {
		// The body made no progress while others had no room.
		err = limiter.ErrNoMemory
	}
	if errors.Is(err, limiter.ErrNoMemory) {
		return nil, refusalError{&router.Refusal{
			Outcome:    outcomeFromHeader(request.Header),
			Reason:     router.Overloaded,
			Message:    "the bodies of other requests fill this node's memory",
			RetryAfter: r.options.RetryAfter,
		}}
	}
	var tooLarge *http.MaxBytesError
	if errors.Is(err, limiter.ErrTooLong) || errors.As(err, &tooLarge) {
		return nil, refusalError{&router.Refusal{
			Outcome: router.NotRun,
			Reason:  router.TooLarge,
			Message: fmt.Sprintf("the body is larger than %d bytes", r.options.MaxBodyBytes),
		}}
	}
	if err != nil {
		return nil, malformed("the body was cut off")
	}
	return body, nil
}

func (r *Receiver) decodeCompletion(_ context.Context, request *http.Request) (completionRequest, error) {
	body, err := r.readBody(request)
	if err != nil {
		return completionRequest{}, err
	}
	var wire wireCompletion
	if err := json.Unmarshal(body, &wire); err != nil {
		return completionRequest{}, malformed("the body is not a completion request: %v", err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return completionRequest{}, malformed("the body is not a JSON object")
	}
	prompt, err := wire.promptFor(request.URL.Path)
	if err != nil {
		return completionRequest{}, err
	}
	completion := router.Completion{
		Account:     accountOf(request.Header),
		Model:       wire.Model,
		Path:        request.URL.Path,
		Method:      request.Method,
		Body:        fields,
		Prompt:      prompt,
		Limit:       cmp.Or(wire.MaxCompletionTokens, wire.MaxTokens),
		Fingerprint: fingerprint(request.URL.Path, body),
	}
	id, err := readIdentity(&completion, request.Header)
	if err != nil {
		return completionRequest{}, err
	}
	return completionRequest{completion: completion, id: id, stream: wire.Stream}, nil
}

// promptFor validates the fields that the path requires and returns the text of the
// prompt or of all messages.
func (w wireCompletion) promptFor(path string) (string, error) {
	if w.Model == "" {
		return "", malformed("model is missing")
	}
	if w.MaxTokens < 0 || w.MaxCompletionTokens < 0 {
		return "", malformed("max_tokens is negative")
	}
	if w.Choices > 1 || w.BestOf > 1 {
		return "", malformed("n and best_of must be 1")
	}
	if strings.HasSuffix(path, "/chat/completions") {
		if len(w.Messages) == 0 {
			return "", malformed("messages are missing")
		}
		var text strings.Builder
		for _, message := range w.Messages {
			text.WriteString(message.Role + ": " + string(message.Content) + "\n")
		}
		return text.String(), nil
	}
	if w.Prompt == nil {
		return "", malformed("prompt is missing")
	}
	return *w.Prompt, nil
}

// readIdentity sets the request's id and resume offset, and returns the caller's id or a
// generated one. The request's id is that id and a hash of the account and the request,
// so that callers who choose the same id never get each other's answers.
func readIdentity(completion *router.Completion, header http.Header) (string, error) {
	id := header.Get(RequestIDHeader)
	completion.Named = id != ""
	if !completion.Named {
		id = uuid.NewString()
	}
	if !isValidID(id) {
		return "", malformed("%s must be 1 to %d letters, digits, '-' or '_'", RequestIDHeader, maxIDBytes)
	}
	hash := fingerprint(string(completion.Account), strconv.AppendUint(nil, completion.Fingerprint, 36))
	completion.Request = identifier.Request(id + "-" + strconv.FormatUint(hash, 36))
	last := header.Get(lastEventHeader)
	if last == "" {
		return id, nil
	}
	offset, err := strconv.Atoi(last)
	if err != nil || offset < 0 {
		return "", malformed("%s is not a token offset", lastEventHeader)
	}
	if !completion.Named {
		return "", malformed("%s needs the %s of the request to go on with", lastEventHeader, RequestIDHeader)
	}
	completion.TokensReceived = identifier.Tokens(offset)
	completion.Resent = true
	return id, nil
}

// isValidID reports whether an id is safe in paths, logs and headers.
func isValidID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for _, c := range id {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// fingerprint hashes target and body. Equal fingerprints mean equal requests.
func fingerprint(target string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(target)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return digest.Sum64()
}

func (r *Receiver) complete(ctx context.Context, request completionRequest) (completionResponse, error) {
	reply, refusal := r.options.Router.Complete(ctx, request.completion)
	return completionResponse{request: request, reply: reply, refusal: refusal}, nil
}

func encodeCompletion(_ context.Context, w http.ResponseWriter, response completionResponse) error {
	id := response.request.id
	w.Header().Set(RequestIDHeader, id)
	if response.refusal != nil {
		writeRefusal(w, id, response.refusal)
		return nil
	}
	defer response.reply.Close()
	if response.request.stream {
		return writeStream(w, response)
	}
	return writeUnstreamed(w, response)
}

type wireChoice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Delta        *wireContent `json:"delta,omitempty"`
	Message      *wireContent `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type wireContent struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type wireAnswer struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   identifier.Model `json:"model"`
	Choices []wireChoice     `json:"choices"`
}

// newAnswer returns an answer with the fields that are the same in all its chunks.
func (r completionResponse) newAnswer(object string) wireAnswer {
	return wireAnswer{ID: r.request.id, Object: object, Created: time.Now().Unix(), Model: r.request.completion.Model}
}

func (r completionResponse) isChat() bool {
	return strings.HasSuffix(r.request.completion.Path, "/chat/completions")
}

// writeStream writes the answer as server-sent events with one token each.
func writeStream(w http.ResponseWriter, response completionResponse) error {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	controller := http.NewResponseController(w)
	object := "text_completion"
	if response.isChat() {
		object = "chat.completion.chunk"
	}
	chunk := response.newAnswer(object)
	for {
		token, refusal := response.reply.Next()
		if refusal != nil {
			return writeEventData(w, "event: error\n", newWireRefusal(chunk.ID, refusal))
		}
		if token == nil {
			_, err := io.WriteString(w, "data: [DONE]\n\n")
			return err
		}
		chunk.Choices = []wireChoice{streamChoice(response.isChat(), token.Text, token.FinishReason)}
		if _, err := fmt.Fprintf(w, "id: %d\n", token.Offset); err != nil {
			return err
		}
		if err := writeEventData(w, "", chunk); err != nil {
			return err
		}
		if err := controller.Flush(); err != nil {
			return err
		}
	}
}

// writeEventData writes prefix, then data as a JSON data line, and ends the event.
func writeEventData(w io.Writer, prefix string, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%sdata: %s\n\n", prefix, encoded)
	return err
}

func streamChoice(chat bool, text, finish string) wireChoice {
	choice := wireChoice{}
	if chat {
		choice.Delta = &wireContent{Content: text}
	} else {
		choice.Text = &text
	}
	if finish != "" {
		choice.FinishReason = &finish
	}
	return choice
}

// writeUnstreamed waits for the whole answer and writes it as one JSON object.
func writeUnstreamed(w http.ResponseWriter, response completionResponse) error {
	var text strings.Builder
	finish := ""
	for {
		token, refusal := response.reply.Next()
		if refusal != nil {
			writeRefusal(w, response.request.id, refusal)
			return nil
		}
		if token == nil {
			break
		}
		text.WriteString(token.Text)
		finish = token.FinishReason
	}
	choice := wireChoice{FinishReason: &finish}
	content := text.String()
	object := "text_completion"
	if response.isChat() {
		object = "chat.completion"
		choice.Message = &wireContent{Role: "assistant", Content: content}
	} else {
		choice.Text = &content
	}
	answer := response.newAnswer(object)
	answer.Choices = []wireChoice{choice}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(answer)
}
