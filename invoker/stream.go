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

// streamBufferBytes bounds one line of an engine's stream.
const streamBufferBytes = 64 << 10

// Token is one generated token.
type Token struct {
	// Offset counts the tokens up to and with this one.
	Offset identifier.Tokens
	Text   string
	// Finish is the reason why generation ended, set on the last token only.
	Finish string
}

// Stream reads the answer of one attempt.
type Stream struct {
	attempt  identifier.Attempt
	body     io.ReadCloser
	reader   *bufio.Reader
	ctx      context.Context
	stop     context.CancelCauseFunc
	progress time.Duration
	// offset is that of the last token returned.
	offset identifier.Tokens
	// finished tells that the last token was read.
	finished bool
	// Strays counts chunks that belonged to another attempt and were dropped.
	Strays int
}

func (i *Invoker) newStream(ctx context.Context, response *http.Response, stop context.CancelCauseFunc, attempt identifier.Attempt, after identifier.Tokens) *Stream {
	return &Stream{
		attempt:  attempt,
		body:     response.Body,
		reader:   bufio.NewReaderSize(response.Body, streamBufferBytes),
		ctx:      ctx,
		stop:     stop,
		progress: i.options.Progress,
		offset:   after,
	}
}

// Close ends the connection; the engine goes on.
func (s *Stream) Close() {
	s.stop(nil)
	_ = s.body.Close()
}

// Next returns the next token, io.EOF after the last, Silent when nothing came
// for too long, or Lost when the connection broke, skipped tokens, or ended
// without a reason to finish.
func (s *Stream) Next() (Token, error) {
	silent := time.AfterFunc(s.progress, func() { s.stop(errSilent) })
	defer silent.Stop()
	for {
		token, err := s.event()
		switch {
		case errors.Is(err, errStray):
			s.Strays++
		case errors.Is(err, io.EOF) && s.finished:
			return Token{}, io.EOF
		case err != nil && errors.Is(context.Cause(s.ctx), errSilent):
			return Token{}, Silent.Wrap(err, "stream of %s", s.attempt)
		case err != nil:
			return Token{}, Lost.Wrap(err, "stream of %s", s.attempt)
		case token.Offset <= s.offset:
			s.Strays++
		case token.Offset != s.offset+1:
			return Token{}, Lost.New("stream of %s: token %d follows %d", s.attempt, token.Offset, s.offset)
		default:
			s.offset = token.Offset
			s.finished = token.Finish != ""
			return token, nil
		}
	}
}

// errStray marks a chunk of another attempt.
var errStray = errors.New("chunk of another attempt")

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

// event reads one server-sent event. The end of the body without the closing
// event is a lost connection.
func (s *Stream) event() (Token, error) {
	var token Token
	for {
		line, err := s.reader.ReadSlice('\n')
		if err != nil {
			return Token{}, cutOff(err)
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
			err := s.chunk(data, &token)
			return token, err
		}
	}
}

// cutOff keeps io.EOF for a stream that ended as it should.
func cutOff(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (s *Stream) chunk(data []byte, token *Token) error {
	var chunk wireChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return err
	}
	if chunk.ID != string(s.attempt) {
		return errStray
	}
	if len(chunk.Choices) == 0 {
		return errStray
	}
	choice := chunk.Choices[0]
	token.Text = choice.Text + choice.Delta.Content
	token.Finish = choice.FinishReason
	return nil
}
