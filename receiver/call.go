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

// hopByHopHeaders concern a single connection and are not forwarded.
var hopByHopHeaders = []string{
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
	issued, err := parseIssued(request.Header)
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
			Header: forwardedHeaders(request.Header),
			Body:   body,
			Key:    identifier.Key(key),
			Memory: leasesOf(request.Context()).answer,
		},
		Issued:      issued,
		First:       isFirstSend(request.Header),
		Fingerprint: fingerprint(request.Method+" "+target, body),
	}, nil
}

// parseIssued returns when the caller created its key, or zero if that is not given.
func parseIssued(header http.Header) (time.Time, error) {
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

// forwardedHeaders returns a copy of the headers without the hop-by-hop ones and
// without those that the Connection header names (RFC 9110, 7.6.1).
func forwardedHeaders(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, names := range header.Values("Connection") {
		for name := range strings.SplitSeq(names, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	return forwarded
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
	for name, values := range forwardedHeaders(response.reply.Header) {
		w.Header()[name] = values
	}
	w.Header().Del("Content-Length")
	w.WriteHeader(response.reply.Status)
	_, err := w.Write(response.reply.Body)
	return err
}
