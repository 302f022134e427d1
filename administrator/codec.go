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

// outcome says whether a failed call may have taken effect.
type outcome string

const (
	notRun  outcome = "not-run"
	unknown outcome = "unknown"
)

// errorBody is the response body of a failed call.
type errorBody struct {
	Outcome outcome `json:"outcome"`
	Reason  string  `json:"reason"`
	Detail  string  `json:"detail"`
}

// errorMapping maps an error type to its HTTP status, outcome and reason.
type errorMapping struct {
	errorType *errorx.Type
	status    int
	outcome   outcome
	reason    string
}

// errorMappings is used by handlers to encode and by the client to decode errors.
var errorMappings = []errorMapping{
	{Refused, http.StatusUnprocessableEntity, notRun, "tables-refused"},
	{Raced, http.StatusConflict, notRun, "raced"},
	{Unavailable, http.StatusServiceUnavailable, notRun, "unavailable"},
	{Malformed, http.StatusBadRequest, notRun, "malformed"},
	{Unknown, http.StatusGatewayTimeout, unknown, "unknown"},
}

// mappingOf returns the mapping of an error; that of Unknown for other types.
func mappingOf(err error) errorMapping {
	for _, mapping := range errorMappings {
		if errorx.IsOfType(err, mapping.errorType) {
			return mapping
		}
	}
	return errorMappings[len(errorMappings)-1]
}

// decodeError returns the error that a response body describes.
func decodeError(answer errorBody, status int) error {
	for _, mapping := range errorMappings {
		if mapping.reason == answer.Reason {
			return mapping.errorType.New("%s", answer.Detail)
		}
	}
	return Unknown.New("status %d, reason %q: %s", status, answer.Reason, answer.Detail)
}

// newEndpoint returns a go-kit endpoint that calls a typed function.
func newEndpoint[Request, Response any](call func(context.Context, Request) (Response, error)) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return call(ctx, request.(Request))
	}
}

// noParameters is the request of calls without parameters.
type noParameters struct{}

func decodeNoParameters(*http.Request) (noParameters, error) {
	return noParameters{}, nil
}

// decodeJSON decodes a request body. It fails with Malformed on unknown keys,
// trailing text and a body over the size limit.
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

// newHandler returns an HTTP handler that writes an endpoint's response as JSON.
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
	mapping := mappingOf(err)
	writeJSON(w, mapping.status, errorBody{Outcome: mapping.outcome, Reason: mapping.reason, Detail: errorDetail(err)})
}

// errorDetail returns the error's text without the name of its type, which the
// reason already gives.
func errorDetail(err error) string {
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
	_ = encoder.Encode(value) // A failed write means that the operator has disconnected.
}
