package router

import (
	"context"
	"sync"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// inFlightRequests holds the model requests that this node is answering. A resend
// through the same node ends the answer on the earlier connection.
type inFlightRequests struct {
	mutex    sync.Mutex
	requests map[identifier.Request]*inFlightRequest
}

type inFlightRequest struct {
	cancel context.CancelCauseFunc
}

func newInFlightRequests() *inFlightRequests {
	return &inFlightRequests{requests: map[identifier.Request]*inFlightRequest{}}
}

// add registers a request and cancels an earlier answer to the same request.
func (f *inFlightRequests) add(request identifier.Request, cancel context.CancelCauseFunc) *inFlightRequest {
	own := &inFlightRequest{cancel: cancel}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if earlier, ok := f.requests[request]; ok {
		earlier.cancel(errSuperseded)
	}
	f.requests[request] = own
	return own
}

// remove removes a request unless a resend has replaced it.
func (f *inFlightRequests) remove(request identifier.Request, own *inFlightRequest) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.requests[request] == own {
		delete(f.requests, request)
	}
}

func (f *inFlightRequests) count() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.requests)
}
