package connector

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"sync"
)

// http10 begins each answer in HTTP/1.0.
var http10 = []byte("HTTP/1.0")

// framingCheck keeps the head of an answer in HTTP/1.0. There Transfer-Encoding makes the framing
// faulty (RFC 9112, 6.1), but net/http drops the field, reads up to the end of the connection, and
// returns the lines that frame the chunks as a part of the body.
type framingCheck struct {
	mutex sync.Mutex
	// recording is set from the beginning of an answer until it is known that it is not in
	// HTTP/1.0, or until its head has been checked.
	recording bool
	// head has what has been read of the answer, which may include a part of its body.
	head []byte
}

// begin notes that an answer begins, of which a part may have been read.
func (f *framingCheck) begin(buffered []byte) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.recording, f.head = true, nil
	f.record(buffered)
}

// add notes what has been read.
func (f *framingCheck) add(content []byte) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.record(content)
}

// record keeps what belongs to an answer in HTTP/1.0. The caller must hold the mutex.
func (f *framingCheck) record(content []byte) {
	if !f.recording {
		return
	}
	if known := len(f.head); known < len(http10) {
		compared := min(len(content), len(http10)-known)
		if !bytes.Equal(content[:compared], http10[known:known+compared]) {
			f.recording, f.head = false, nil
			return
		}
	}
	f.head = append(f.head, content...)
}

// end returns InvalidAnswer if the answer is in HTTP/1.0 and has a Transfer-Encoding.
func (f *framingCheck) end() error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.recording {
		return nil
	}
	head := textproto.NewReader(bufio.NewReader(bytes.NewReader(f.head)))
	f.recording, f.head = false, nil
	if _, err := head.ReadLine(); err != nil {
		return InvalidAnswer.Wrap(err, "status line")
	}
	fields, err := head.ReadMIMEHeader()
	if err != nil {
		return InvalidAnswer.Wrap(err, "header")
	}
	if _, present := fields[http.CanonicalHeaderKey("Transfer-Encoding")]; present {
		return InvalidAnswer.New("a Transfer-Encoding in HTTP/1.0")
	}
	return nil
}
