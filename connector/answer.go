package connector

import (
	"net"
	"net/http"
	"net/http/httptrace"
)

// InvalidAnswer is the error type of an answer that net/http reads though it is not valid HTTP.
var InvalidAnswer = Errors.NewType("invalid-answer")

// The range of the statuses of HTTP (RFC 9110, 15).
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns InvalidAnswer if the head of an answer, or of a provisional one, is not valid
// HTTP.
func CheckHead(response *http.Response) error {
	switch status := response.StatusCode; {
	case status < minStatus || status > maxStatus:
		return InvalidAnswer.New("status %03d is not one of HTTP", status)
	case status == http.StatusSwitchingProtocols:
		return InvalidAnswer.New("a switch of protocols that was not asked for")
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
		response, err := t.Transport.RoundTrip(request)
		return checkAnswer(response, err, nil)
	}
	var connection net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { connection = info.Conn }}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	return checkAnswer(response, err, connection)
}

// checkAnswer returns the result of a call if its answer is valid. Otherwise it closes the answer
// and its connection, on which nothing that follows can be trusted; nil leaves the connection open.
func checkAnswer(response *http.Response, err error, connection net.Conn) (*http.Response, error) {
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		if connection != nil {
			_ = connection.Close()
		}
		return nil, err
	}
	return response, nil
}
