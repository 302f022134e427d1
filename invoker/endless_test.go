package invoker

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// endlessBody begins with some text and goes on without end, up to a number of bytes at which
// the test fails.
type endlessBody struct {
	beginning io.Reader
	read      int
}

const tooManyBytes = 64 << 20

var errReadOn = errors.New("the body is read on without end")

func (b *endlessBody) Read(buffer []byte) (int, error) {
	if n, err := b.beginning.Read(buffer); err == nil {
		return n, nil
	}
	if b.read += len(buffer); b.read > tooManyBytes {
		return 0, errReadOn
	}
	for i := range buffer {
		buffer[i] = 'x'
	}
	return len(buffer), nil
}

func (*endlessBody) Close() error { return nil }

type endlessTransport struct{ beginning string }

func (e endlessTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Body: &endlessBody{beginning: strings.NewReader(e.beginning)}}, nil
}

// TestEndlessAnswerIsGivenUp guards against an answer without end, of an engine or a service,
// that is kept in memory until the call's timeout, or longer than there is memory for answers.
func TestEndlessAnswerIsGivenUp(t *testing.T) {
	transport := endlessTransport{`{"kv_transfer_params":"`}
	i := New(Options{
		Transport: transport, UnpooledTransport: transport, CallTimeout: time.Minute, PrefillTimeout: time.Minute, MaxAnswerBytes: tooManyBytes,
	})
	member := tabulator.Member{Name: "m", Address: "10.0.0.1:80"}
	memory := limiter.NewMemory(limiter.MemoryOptions{Limit: tooManyBytes / 4})
	for name, call := range map[string]func() error{
		"prefill": func() error {
			_, err := i.Prefill(t.Context(), member, Work{Attempt: "a", Path: "/v1/completions"})
			return err
		},
		"state": func() error { _, err := i.State(t.Context(), member); return err },
		"service": func() error {
			_, err := i.Call(t.Context(), member, Call{Method: http.MethodPost, Target: "/", Memory: memory.NewLease()})
			return err
		},
	} {
		if err := call(); !errorx.IsOfType(err, AnswerLost) || strings.Contains(err.Error(), errReadOn.Error()) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
