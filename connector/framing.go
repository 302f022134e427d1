package connector

import (
	"bytes"
	"sync"
)

var (
	// http10 begins each answer in HTTP/1.0.
	http10 = []byte("HTTP/1.0")
	// transferEncoding begins the line of the field.
	transferEncoding = []byte("Transfer-Encoding:")
)

// framingCheck looks for a Transfer-Encoding in the head of an answer in HTTP/1.0, as it is read.
// There the field makes the framing faulty (RFC 9112, 6.1), but net/http drops it, reads up to the
// end of the connection, and returns the lines that frame the chunks as a part of the body. Of the
// head it keeps only the beginning of a line: the size of heads is up to the servers.
type framingCheck struct {
	mutex sync.Mutex
	// scanning is set from the beginning of an answer to the end of its head, or to that of its
	// status line if it is not in HTTP/1.0.
	scanning bool
	// pastStatus is set once the status line has been read.
	pastStatus bool
	// isFaulty is set once the field has been found.
	isFaulty bool
	// line has the first length bytes of the present line.
	line   [len("Transfer-Encoding:")]byte
	length int
}

// begin notes that an answer begins, of which a part may have been read.
func (f *framingCheck) begin(buffered []byte) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.scanning, f.pastStatus, f.isFaulty, f.length = true, false, false, 0
	f.scan(buffered)
}

// add notes what has been read.
func (f *framingCheck) add(content []byte) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.scan(content)
}

// end returns InvalidAnswer if the answer is in HTTP/1.0 and has a Transfer-Encoding.
func (f *framingCheck) end() error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.scanning = false
	if f.isFaulty {
		return InvalidAnswer.New("a Transfer-Encoding in HTTP/1.0")
	}
	return nil
}

// scan reads on in the head. The caller must hold the mutex.
func (f *framingCheck) scan(content []byte) {
	for f.scanning && len(content) > 0 {
		text, rest, ended := bytes.Cut(content, []byte("\n"))
		f.length += copy(f.line[f.length:], text)
		content = rest
		if ended {
			f.endLine()
		}
	}
}

// endLine looks at a line of which all has been read. The caller must hold the mutex.
func (f *framingCheck) endLine() {
	line := bytes.TrimSuffix(f.line[:f.length], []byte("\r"))
	f.length = 0
	switch {
	case !f.pastStatus:
		f.pastStatus = true
		f.scanning = bytes.HasPrefix(line, http10)
	case len(line) == 0:
		f.scanning = false
	default:
		f.isFaulty = f.isFaulty || bytes.EqualFold(line, transferEncoding)
	}
}
