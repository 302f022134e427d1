package invoker

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// maxStreamLineBytes bounds one line of an engine's stream.
const maxStreamLineBytes = 64 << 10

// Token is one generated token.
type Token struct {
	// Offset is the position of the token in the answer, from 1.
	Offset identifier.Tokens
	Text   string
	// FinishReason is the reason why generation ended; empty on all but the last token.
	FinishReason string
}

// Stream reads the tokens of one attempt.
type Stream struct {
	attempt      identifier.Attempt
	body         io.ReadCloser
	reader       *bufio.Reader
	ctx          context.Context
	cancel       context.CancelCauseFunc
	stallTimeout time.Duration
	// lastOffset is the offset of the last token returned.
	lastOffset identifier.Tokens
	// finished allows the stream to end: its last token was, or may have been, read.
	finished bool
	// StrayChunks counts dropped chunks: of other attempts, without choices, or repeated.
	StrayChunks int
}

func (i *Invoker) newStream(ctx context.Context, response *http.Response, cancel context.CancelCauseFunc, attempt identifier.Attempt, after identifier.Tokens) *Stream {
	return &Stream{
		attempt:      attempt,
		body:         response.Body,
		reader:       bufio.NewReaderSize(response.Body, maxStreamLineBytes),
		ctx:          ctx,
		cancel:       cancel,
		stallTimeout: i.options.ProgressTimeout,
		lastOffset:   after,
	}
}

// Close closes the connection; the engine continues to generate.
func (s *Stream) Close() {
	s.cancel(nil)
	_ = s.body.Close()
}

// Next returns the next token, or io.EOF after the last one. It fails with TimedOut
// when no token arrives within Options.ProgressTimeout, and with AnswerLost when the
// connection fails, tokens are missing, or the stream ends without a finish reason.
func (s *Stream) Next() (Token, error) {
	stallTimer := time.AfterFunc(s.stallTimeout, func() { s.cancel(errTimedOut) })
	defer stallTimer.Stop()
	for {
		token, err := s.readEvent()
		switch {
		case errors.Is(err, errStrayChunk):
			s.StrayChunks++
		case errors.Is(err, io.EOF) && s.finished:
			return Token{}, io.EOF
		case err != nil && errors.Is(context.Cause(s.ctx), errTimedOut):
			return Token{}, TimedOut.Wrap(err, "stream of %s", s.attempt)
		case err != nil:
			return Token{}, AnswerLost.Wrap(err, "stream of %s", s.attempt)
		case token.Offset <= s.lastOffset:
			s.StrayChunks++
		case token.Offset != s.lastOffset+1:
			return Token{}, AnswerLost.New("stream of %s: token %d follows %d", s.attempt, token.Offset, s.lastOffset)
		default:
			s.lastOffset = token.Offset
			s.finished = token.FinishReason != ""
			return token, nil
		}
	}
}

// errStrayChunk reports a chunk that belongs to another attempt or has no choices.
var errStrayChunk = errors.New("chunk of another attempt")

var (
	idPrefix   = []byte("id:")
	dataPrefix = []byte("data:")
	doneData   = []byte("[DONE]")
)

type wireChunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// readEvent reads one server-sent event. It returns io.EOF for the closing event, and
// io.ErrUnexpectedEOF when the body ends without one.
func (s *Stream) readEvent() (Token, error) {
	var token Token
	for {
		line, err := s.reader.ReadSlice('\n')
		if err != nil {
			return Token{}, truncationError(err)
		}
		line = bytes.TrimSpace(line)
		switch {
		case bytes.HasPrefix(line, idPrefix):
			offset, err := strconv.Atoi(string(bytes.TrimSpace(line[len(idPrefix):])))
			if err != nil {
				return Token{}, err
			}
			token.Offset = identifier.Tokens(offset)
		case bytes.HasPrefix(line, dataPrefix):
			data := bytes.TrimSpace(line[len(dataPrefix):])
			if bytes.Equal(data, doneData) {
				return Token{}, io.EOF
			}
			err := s.parseChunk(data, &token)
			return token, err
		}
	}
}

// truncationError replaces io.EOF, which readEvent returns only for the closing event.
func truncationError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (s *Stream) parseChunk(data []byte, token *Token) error {
	var chunk wireChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return err
	}
	if chunk.ID != string(s.attempt) {
		return errStrayChunk
	}
	if len(chunk.Choices) == 0 {
		return errStrayChunk
	}
	choice := chunk.Choices[0]
	token.Text = choice.Text + choice.Delta.Content
	token.FinishReason = choice.FinishReason
	return nil
}
