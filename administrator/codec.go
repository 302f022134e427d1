package administrator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/go-kit/kit/endpoint"
	"github.com/joomcode/errorx"
)

// outcome tells whether a call that failed had an effect.
type outcome string

const (
	notRun  outcome = "not-run"
	unknown outcome = "unknown"
)

// wireRefusal is the answer to a call that failed.
type wireRefusal struct {
	Outcome outcome `json:"outcome"`
	Reason  string  `json:"reason"`
	Detail  string  `json:"detail"`
}

// refusal is one row of the table between error types and wire answers.
type refusal struct {
	kind    *errorx.Type
	status  int
	outcome outcome
	reason  string
}

// refusals is read in both directions, by the handlers and by the client.
var refusals = []refusal{
	{Refused, http.StatusUnprocessableEntity, notRun, "tables-refused"},
	{Raced, http.StatusConflict, notRun, "raced"},
	{Unavailable, http.StatusServiceUnavailable, notRun, "unavailable"},
	{Malformed, http.StatusBadRequest, notRun, "malformed"},
	{Unknown, http.StatusGatewayTimeout, unknown, "unknown"},
}

// refusalOf finds the row of an error; an error of no known type is Unknown.
func refusalOf(err error) refusal {
	for _, row := range refusals {
		if errorx.IsOfType(err, row.kind) {
			return row
		}
	}
	return refusals[len(refusals)-1]
}

// errorOf turns a wire answer back into an error.
func errorOf(answer wireRefusal, status int) error {
	for _, row := range refusals {
		if row.reason == answer.Reason {
			return row.kind.New("%s", answer.Detail)
		}
	}
	return Unknown.New("status %d, reason %q: %s", status, answer.Reason, answer.Detail)
}

// newEndpoint makes a go-kit endpoint of a typed function.
func newEndpoint[Request, Response any](call func(context.Context, Request) (Response, error)) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return call(ctx, request.(Request))
	}
}

// nothing is the request of calls without parameters.
type nothing struct{}

func decodeNothing(*http.Request) (nothing, error) {
	return nothing{}, nil
}

// decodeJSON reads a body strictly: unknown keys and trailing text are refused.
func decodeJSON[Request any](r *http.Request) (Request, error) {
	var request Request
	err := decodeStrictly(r.Body, &request)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return request, nil
	case errors.As(err, &tooLarge):
		return request, Malformed.New("the body is larger than %d bytes", tooLarge.Limit)
	default:
		return request, Malformed.Wrap(err, "body")
	}
}

func decodeStrictly(body io.Reader, target any) error {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("text after the JSON value")
	}
	return nil
}

// newHandler serves an endpoint over HTTP with JSON.
func newHandler[Request any](call endpoint.Endpoint, decode func(*http.Request) (Request, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := decode(r)
		if err != nil {
			writeError(w, err)
			return
		}
		response, err := call(r.Context(), request)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, response)
	})
}

func writeError(w http.ResponseWriter, err error) {
	row := refusalOf(err)
	writeJSON(w, row.status, wireRefusal{Outcome: row.outcome, Reason: row.reason, Detail: detail(err)})
}

// detail is the error's text without the name of its type, which the reason
// tells already.
func detail(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return strings.TrimPrefix(err.Error(), typed.Type().FullName()+": ")
	}
	return err.Error()
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value) // The operator has gone; there is no one to tell.
}
