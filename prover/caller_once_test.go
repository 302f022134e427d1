package prover

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// TestCallersSendABookingOnce holds that the tests' callers send a booking once for
// each call of theirs. http.Transport sends a request with an Idempotency-Key again by
// itself when a kept connection breaks, with all its headers: what says that the key
// was never sent before would then not be true.
func TestCallersSendABookingOnce(t *testing.T) {
	var arrived atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if arrived.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for _, key := range []string{"one", "two"} {
		book(t.Context(), client, server.Listener.Addr().String(), key, "visit", true)
	}
	if got := arrived.Load(); got != 2 {
		t.Errorf("two bookings arrived as %d requests", got)
	}
}
