package connector

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"

	"github.com/joomcode/errorx"
	"golang.org/x/net/http/httpguts"
)

// InvalidAnswer is the error type of an answer that net/http reads though it is not valid HTTP.
var InvalidAnswer = Errors.NewType("invalid-answer")

// The range of the statuses of HTTP (RFC 9110, 15).
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns InvalidAnswer if the head of an answer, or of a provisional one, is not valid
// HTTP/1.
func CheckHead(response *http.Response) error {
	_, reason, _ := strings.Cut(response.Status, " ")
	switch {
	case response.ProtoMajor != 1:
		return InvalidAnswer.New("version %d.%d of HTTP on a connection of HTTP/1", response.ProtoMajor, response.ProtoMinor)
	case !httpguts.ValidHeaderFieldValue(reason):
		return InvalidAnswer.New("the status line has control characters")
	}
	if err := checkStatus(response.StatusCode); err != nil {
		return err
	}
	return CheckFields(response.Header)
}

func checkStatus(status int) error {
	switch {
	case status < minStatus || status > maxStatus:
		return InvalidAnswer.New("status %03d is not one of HTTP", status)
	case status == http.StatusSwitchingProtocols:
		return InvalidAnswer.New("a switch of protocols that was not asked for")
	default:
		return nil
	}
}

// maxLoggedName bounds what an error has of an invalid name, in bytes.
const maxLoggedName = 40

// CheckFields returns InvalidAnswer if a name in a header or a trailer is not a token. net/http
// accepts names with blanks, and doesn't recognise the field that such a name is meant for, which
// may be the one that says where the answer ends.
func CheckFields(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return InvalidAnswer.New("the field name %q is not a token", name[:min(len(name), maxLoggedName)])
		}
	}
	return nil
}

// Transport is an HTTP transport that fails with InvalidAnswer in place of returning an answer
// that is not valid HTTP.
type Transport struct {
	*http.Transport
	// http2 is set if connections carry several exchanges at once.
	http2 bool
}

// RoundTrip sends a request and returns its answer.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	if t.http2 {
		return t.roundTripHTTP2(request)
	}
	var connection net.Conn
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connection = info.Conn
			if exchange, ok := connection.(*exchangeConn); ok {
				exchange.BeginAnswer(nil)
			}
		},
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			return CheckFields(http.Header(header))
		},
	}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		// net/http wraps the error of a provisional answer.
		if invalid := (*errorx.Error)(nil); errors.As(err, &invalid) && invalid.IsOfType(InvalidAnswer) {
			return nil, invalid
		}
		return nil, err
	}
	err = CheckHead(response)
	if exchange, ok := connection.(*exchangeConn); err == nil && ok {
		err = exchange.CheckFraming()
	}
	if err != nil {
		_ = response.Body.Close()
		// What follows on the connection may be no answer either.
		_ = connection.Close()
		return nil, err
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = trailedBody{response.Body, response}
	}
	return response, nil
}

// roundTripHTTP2 is RoundTrip for HTTP/2, of which net/http checks all but the status.
func (t *Transport) roundTripHTTP2(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkStatus(response.StatusCode); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// trailedBody is the body of an answer in chunks, which may end with a trailer.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read reads the body. It returns io.EOF only if the trailer is valid.
func (b trailedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		if invalid := CheckFields(b.response.Trailer); invalid != nil {
			err = invalid
		}
	}
	return n, err
}
