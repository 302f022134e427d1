package receiver

import (
	"net/http"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/router"
)

// limitInFlight refuses a request while the node has Options.MaxInFlight in flight.
func (r *Receiver) limitInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		select {
		case r.slots <- struct{}{}:
			defer func() { <-r.slots }()
			next.ServeHTTP(w, request)
		default:
			r.options.Scope.Counter("overloaded").Inc(1)
			r.refuse(w, request, router.Overloaded, "this node answers as many requests as it may")
		}
	})
}

// limitAccountInFlight refuses a request while its account has
// Options.MaxInFlightPerAccount in flight. It wraps limitInFlight, so that the
// refused requests of a flooding account take no slots of the node.
func (r *Receiver) limitAccountInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		slot := r.accounts.Acquire(accountOf(request.Header))
		if slot == nil {
			r.options.Scope.Counter("account_limited").Inc(1)
			r.refuse(w, request, router.AccountLimit, "this node answers as many requests of the account as it may")
			return
		}
		defer slot.Release()
		next.ServeHTTP(w, request)
	})
}

// unreadyReason returns why the node does not serve requests yet, or "" if it does.
func (r *Receiver) unreadyReason() router.Reason {
	if r.options.UnreadyReason == nil {
		return ""
	}
	return r.options.UnreadyReason()
}

// refuse answers a request that is refused before its body is read.
func (r *Receiver) refuse(w http.ResponseWriter, request *http.Request, reason router.Reason, message string) {
	writeRefusal(w, "", &router.Refusal{
		Outcome:    outcomeFromHeader(request.Header),
		Reason:     reason,
		Message:    message,
		RetryAfter: r.options.RetryAfter,
	})
}

// outcomeFromHeader returns the outcome of a request refused before its body is read.
// A resend is Unknown: an earlier send may have run, and the ledger has not been asked.
func outcomeFromHeader(header http.Header) router.Outcome {
	resentCall := header.Get(keyHeader) != "" && !isFirstSend(header)
	if resentCall || header.Get(lastEventHeader) != "" {
		return router.Unknown
	}
	return router.NotRun
}

// isFirstSend reports whether the caller states that it has not sent the key before.
func isFirstSend(header http.Header) bool {
	return header.Get(firstHeader) == "true"
}

func accountOf(header http.Header) identifier.Account {
	return identifier.Account(header.Get(accountHeader))
}

// logAccountLimit logs that an account's requests are refused. The limiter calls it
// again only after the account has had no request in flight.
func (r *Receiver) logAccountLimit(account identifier.Account) {
	r.options.Log.Log(eventAccountLimited, logger.Fields{"account": account, "limit": r.options.MaxInFlightPerAccount})
}
