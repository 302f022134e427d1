package invoker

import (
	"bytes"
	"context"
	"net/http"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// Call is an HTTP call to a plain service.
type Call struct {
	Method string
	// Target is the path and query.
	Target string
	Header http.Header
	Body   []byte
	// Key is the Idempotency-Key; empty on calls that are safe to repeat.
	Key identifier.Key
	// Memory has the bytes of the answer; nil means that they are not limited.
	Memory *limiter.Lease
	// NewConnection sends the call on a new connection, because a pooled one may be dead.
	NewConnection bool
}

// Reply is the answer of a plain service.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call makes one call to a plain service. A call with a key uses a new connection:
// when a pooled connection fails, an HTTP transport automatically repeats a call with
// an Idempotency-Key, which would execute it twice.
func (i *Invoker) Call(ctx context.Context, member tabulator.Member, call Call) (Reply, error) {
	client := i.pooled
	if call.Key != "" || call.NewConnection {
		client = i.unpooled
	}
	url := "http://" + string(member.Address) + call.Target
	request, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return Reply{}, Malformed.Wrap(err, "call of %s", member.Name)
	}
	request.Header = call.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	if call.Key != "" {
		request.Header.Set("Idempotency-Key", string(call.Key))
	}
	response, err := client.Do(request)
	if err != nil {
		return Reply{}, classifyCallError(err, member.Name)
	}
	defer func() { _ = response.Body.Close() }()
	length := response.ContentLength
	if call.Method == http.MethodHead {
		length = 0 // It is the length of a body that the answer does not have.
	}
	body, err := call.Memory.ReadAll(response.Body, length, i.options.MaxAnswerBytes)
	if err != nil {
		return Reply{}, AnswerLost.Wrap(err, "answer of %s", member.Name)
	}
	return Reply{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}
