package receiver

import (
	"context"
	"net/http"
	"time"

	"github.com/foxtailspool/foxtailspool/limiter"
)

// leases are what a request has of Options.Bodies and Options.Answers.
type leases struct {
	body, answer *limiter.Lease
}

type leasesKey struct{}

// withLeases gives a request leases, and releases them when it has been answered.
func (r *Receiver) withLeases(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		held := leases{body: r.options.Bodies.NewLease(), answer: r.options.Answers.NewLease()}
		defer held.body.Release()
		defer held.answer.Release()
		controller := http.NewResponseController(w)
		held.body.Await(func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) })
		next.ServeHTTP(w, request.WithContext(context.WithValue(request.Context(), leasesKey{}, held)))
	})
}

// leasesOf returns the leases of the request with a context; they have no limit without one.
func leasesOf(ctx context.Context) leases {
	held, _ := ctx.Value(leasesKey{}).(leases)
	return held
}
