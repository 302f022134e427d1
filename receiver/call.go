package receiver

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/invoker"
	"github.com/foxtailspool/foxtailspool/router"
)

// connectionHeaders belong to one connection and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

type callResponse struct {
	reply   *invoker.Reply
	refusal *router.Refusal
}

func (r *Receiver) decodeCall(_ context.Context, request *http.Request) (router.Call, error) {
	body, err := r.readBody(request)
	if err != nil {
		return router.Call{}, err
	}
	key := request.Header.Get(keyHeader)
	issued, err := issuedAt(request.Header)
	if err != nil {
		return router.Call{}, err
	}
	target := request.URL.RequestURI()
	return router.Call{
		Account: accountOf(request.Header),
		Path:    request.URL.Path,
		Outgoing: invoker.Call{
			Method: request.Method,
			Target: target,
			Header: passedOn(request.Header),
			Body:   body,
			Key:    identifier.Key(key),
		},
		Issued:      issued,
		First:       firstSending(request.Header),
		Fingerprint: fingerprint(request.Method+" "+target, body),
	}, nil
}

// issuedAt reads when the caller made its key, in RFC 3339.
func issuedAt(header http.Header) (time.Time, error) {
	text := header.Get(issuedHeader)
	if text == "" {
		return time.Time{}, nil
	}
	issued, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, malformed("%s is not an RFC 3339 time", issuedHeader)
	}
	return issued, nil
}

// passedOn copies the headers that reach the other side: all but those of the
// connection and those that its Connection header names (RFC 9110, 7.6.1).
func passedOn(header http.Header) http.Header {
	kept := header.Clone()
	for _, names := range header.Values("Connection") {
		for name := range strings.SplitSeq(names, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		kept.Del(name)
	}
	return kept
}

func (r *Receiver) call(ctx context.Context, call router.Call) (callResponse, error) {
	reply, refusal := r.options.Router.Call(ctx, call)
	return callResponse{reply: reply, refusal: refusal}, nil
}

func encodeCall(_ context.Context, w http.ResponseWriter, response callResponse) error {
	if response.refusal != nil {
		writeRefusal(w, "", response.refusal)
		return nil
	}
	for name, values := range passedOn(response.reply.Header) {
		w.Header()[name] = values
	}
	w.Header().Del("Content-Length")
	w.WriteHeader(response.reply.Status)
	_, err := w.Write(response.reply.Body)
	return err
}
