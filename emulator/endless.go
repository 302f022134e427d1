package emulator

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// EndlessForm is a form of an answer that does not end before its connection is closed.
type EndlessForm string

// The forms of endless answers. Those from EndlessBody on begin as sound answers do.
const (
	EndlessNoise       EndlessForm = "noise"
	EndlessStatusLine  EndlessForm = "status line"
	EndlessHeaderLine  EndlessForm = "header line"
	EndlessHeaderLines EndlessForm = "header lines"
	EndlessProvisional EndlessForm = "provisional answers"
	EndlessBody        EndlessForm = "body without framing"
	EndlessLength      EndlessForm = "body with a length"
	EndlessChunks      EndlessForm = "chunks"
	EndlessChunkHeader EndlessForm = "chunk header"
	EndlessTrailers    EndlessForm = "trailers"
	EndlessEvent       EndlessForm = "event"
	EndlessEvents      EndlessForm = "events"
)

// EndlessForms lists all forms.
func EndlessForms() []EndlessForm {
	return []EndlessForm{
		EndlessNoise, EndlessStatusLine, EndlessHeaderLine, EndlessHeaderLines, EndlessProvisional, EndlessBody, EndlessLength,
		EndlessChunks, EndlessChunkHeader, EndlessTrailers, EndlessEvent, EndlessEvents,
	}
}

// endlessText returns how an answer of a form begins, and the piece with the given number that
// goes on with it. head is the status line and the header of a sound answer.
func endlessText(form EndlessForm, head string) (beginning string, piece func(n int) string) {
	constant := func(text string) func(int) string {
		repeated := strings.Repeat(text, max(1, largePiece/len(text)))
		return func(int) string { return repeated }
	}
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	switch form {
	case EndlessNoise:
		return "", constant("\x00\x01\xff")
	case EndlessStatusLine:
		return "HTTP/1.1 200 ", constant("x")
	case EndlessHeaderLine:
		return head + "X-Noise: ", constant("x")
	case EndlessHeaderLines:
		return head, func(n int) string {
			var lines strings.Builder
			for line := range largePiece / 8 {
				_, _ = fmt.Fprintf(&lines, "x%x:\r\n", n*largePiece+line)
			}
			return lines.String()
		}
	case EndlessProvisional:
		return "", constant("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
	case EndlessLength:
		return head + "Content-Length: 1000000000000\r\n\r\n", constant("x")
	case EndlessChunks:
		return chunked, constant(fmt.Sprintf("%x\r\n%s\r\n", largePiece, strings.Repeat("x", largePiece)))
	case EndlessChunkHeader:
		return chunked, constant("1;x=y")
	case EndlessTrailers:
		return chunked + "0\r\n", func(n int) string { return fmt.Sprintf("X-T%d: %s\r\n", n, strings.Repeat("x", largePiece)) }
	case EndlessEvent:
		return head + "\r\ndata: ", constant("x")
	case EndlessEvents:
		return head + "\r\n", constant("data: x\n\n")
	default:
		return head + "\r\n", constant("x")
	}
}

// The pieces of endless bytes, written each millisecond.
const (
	largePiece = 4 << 10
	smallPiece = 16
)

// writeEndless answers without end if a fault says so, and reports whether one did.
func (i *Instance) writeEndless(w http.ResponseWriter, attempt string) bool {
	switch {
	case i.takeFault(func(f *InstanceFaults) *int { return &f.EndlessHeads }):
		dripRaw(w, "HTTP/1.1 200 OK\r\nNoise: ", repeated(largePiece))
	case i.takeFault(func(f *InstanceFaults) *int { return &f.EndlessRefusals }):
		dripRaw(w, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n\r\n", repeated(smallPiece))
	case i.takeFault(func(f *InstanceFaults) *int { return &f.EndlessAnswers }):
		i.mutex.Lock()
		form := i.faults.EndlessForm
		i.mutex.Unlock()
		beginning, piece := endlessText(form, i.soundHead(attempt))
		dripRaw(w, beginning, piece)
	default:
		return false
	}
	return true
}

// repeated returns pieces of a number of bytes.
func repeated(bytes int) func(int) string {
	piece := strings.Repeat("x", bytes)
	return func(int) string { return piece }
}

// dripRaw writes a beginning and then pieces without end, until the peer closes.
func dripRaw(w http.ResponseWriter, beginning string, piece func(n int) string) {
	connection := hijack(w)
	defer func() { _ = connection.Close() }()
	_, err := io.WriteString(connection, beginning)
	for n := 0; err == nil; n++ {
		time.Sleep(time.Millisecond)
		_, err = io.WriteString(connection, piece(n))
	}
}
