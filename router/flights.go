package router

import (
	"context"
	"sync"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// flights holds the model requests that this node is answering, so that a
// resend through the same node ends the answer to the earlier connection.
type flights struct {
	mutex   sync.Mutex
	running map[identifier.Request]*flight
}

type flight struct {
	stop context.CancelCauseFunc
}

func newFlights() *flights {
	return &flights{running: map[identifier.Request]*flight{}}
}

// begin registers a request and ends an earlier answer to the same one.
func (f *flights) begin(request identifier.Request, stop context.CancelCauseFunc) *flight {
	own := &flight{stop: stop}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if earlier, ok := f.running[request]; ok {
		earlier.stop(errSuperseded)
	}
	f.running[request] = own
	return own
}

// end removes a request unless a resend has replaced it.
func (f *flights) end(request identifier.Request, own *flight) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.running[request] == own {
		delete(f.running, request)
	}
}

func (f *flights) count() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.running)
}
