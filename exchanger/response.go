package exchanger

import (
	"errors"
	"io"
	"net/http"

	"github.com/foxtailspool/foxtailspool/connector"
)

// Response is an answer whose body is not read yet. The caller must close it.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes; negative means unknown until its end.
	Length int64
	// Framed reports whether the answer says where its body ends. The body of another one
	// ends with its connection, also if its server has crashed.
	Framed bool
	// Echoed reports whether the answer carries the request's id.
	Echoed bool
	// Reused reports whether the connection has carried other exchanges before, so that an
	// answer without an id may be one of theirs.
	Reused bool

	answer     *http.Response
	connection *connection
	// requestTruncated reports that the request was not written in full.
	requestTruncated bool
	// closed reports that the connection was closed or put back into the idle pool.
	closed bool
}

// Read reads the body. It returns io.EOF only once the body is complete. A truncated
// body fails with AnswerLost or InvalidAnswer.
func (r *Response) Read(buffer []byte) (int, error) {
	if r.closed {
		return 0, io.EOF
	}
	n, err := r.answer.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		// The trailer of a body in chunks has been read with its end.
		if invalid := connector.CheckFields(r.answer.Trailer); invalid != nil {
			err = invalid
		}
	}
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		r.releaseConnection()
		return n, io.EOF
	default:
		r.Close()
		return n, r.connection.classifyReadError(err)
	}
}

// errTooLong reports a body that exceeds the limit of ReadAll.
var errTooLong = errors.New("the body is too long")

// ReadAll reads the whole body. It fails with InvalidAnswer beyond limit bytes.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		r.Close()
		return nil, InvalidAnswer.Wrap(errTooLong, "answer of %s", r.connection.address)
	}
	return body, nil
}

// releaseConnection releases the connection after the body was read in full.
func (r *Response) releaseConnection() {
	r.closed = true
	if r.requestTruncated {
		r.connection.close()
		return
	}
	r.connection.release(r.answer)
}

// Close discards the answer and closes the connection unless the body was read in full.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	r.connection.close()
}
