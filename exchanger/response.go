package exchanger

import (
	"errors"
	"io"
	"net/http"
)

// Response is an answer whose body is still to be read. It has to be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length, or negative where it is not known before
	// its end.
	Length int64
	// Echoed tells that the answer names the request that it belongs to.
	Echoed bool

	answer *http.Response
	owner  *connection
	// broken tells that the request was not written in full.
	broken bool
	// ended tells that the connection was given up or kept.
	ended bool
}

// Read reads the body. It returns io.EOF only after the body's proper end; a
// body that was cut off fails with Lost or Garbled.
func (r *Response) Read(buffer []byte) (int, error) {
	if r.ended {
		return 0, io.EOF
	}
	n, err := r.answer.Body.Read(buffer)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		r.end()
		return n, io.EOF
	default:
		r.Close()
		return n, r.owner.classify(err)
	}
}

// errTooLong fails a body that is longer than its reader takes.
var errTooLong = errors.New("the body is too long")

// ReadAll reads the whole body, up to a limit.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		r.Close()
		return nil, Garbled.Wrap(errTooLong, "answer of %s", r.owner.address)
	}
	return body, nil
}

// end keeps the connection of a body that was read in full.
func (r *Response) end() {
	r.ended = true
	if r.broken {
		r.owner.close()
		return
	}
	r.owner.finish(r.answer)
}

// Close gives the answer up. The connection is closed unless the body was read
// in full.
func (r *Response) Close() {
	if r.ended {
		return
	}
	r.ended = true
	r.owner.close()
}
