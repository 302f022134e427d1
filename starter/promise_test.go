package starter_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/foxtailspool/foxtailspool/emulator"
)

// TestUnprovenPromiseIsNotPassedOn guards against a caller who is told that a request has not
// run, by a status of a back end that has run it and doesn't say otherwise: sent again, a
// booking would be charged twice.
func TestUnprovenPromiseIsNotPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			runFleet(t, 1, func(t *testing.T, f *fleet) {
				f.setFaults(emulator.InstanceFaults{Errors: 100, ErrorStatus: status})
				for _, c := range []request{booking(), lookUp(), quote()} {
					got := f.send(t.Context(), 0, c)
					if ran, _, _ := f.findRuns(got.attempt); got.status != http.StatusBadGateway || got.signature != "" || ran == 0 {
						t.Errorf("%s: status %d with signature %q after %d runs", c.path, got.status, got.signature, ran)
					}
				}
			})
		})
	}
}

// TestOtherFailuresArePassedOn checks that a back end's failure whose status promises nothing
// reaches the caller unchanged.
func TestOtherFailuresArePassedOn(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusConflict} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			runFleet(t, 1, func(t *testing.T, f *fleet) {
				f.setFaults(emulator.InstanceFaults{Errors: 100, ErrorStatus: status})
				for _, c := range []request{booking(), lookUp(), quote()} {
					if got := f.send(t.Context(), 0, c); got.status != status || got.signature == "" || got.truncated {
						t.Errorf("%s: status %d with signature %q, truncated %v", c.path, got.status, got.signature, got.truncated)
					}
				}
			})
		})
	}
}
