package receiver

import (
	"net/http"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/router"
)

// admit lets a request in while the node answers fewer than it may.
func (r *Receiver) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		select {
		case r.places <- struct{}{}:
			defer func() { <-r.places }()
			next.ServeHTTP(w, request)
		default:
			r.options.Scope.Counter("overloaded").Inc(1)
			r.refuse(w, request, router.Overloaded, "this node answers as many requests as it may")
		}
	})
}

// admitAccount lets a request in while its account has fewer than it may. It
// goes around admit, so that a flooding account's refused requests take no place
// of the node.
func (r *Receiver) admitAccount(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		place := r.accounts.Acquire(accountOf(request.Header))
		if place == nil {
			r.options.Scope.Counter("account_limited").Inc(1)
			r.refuse(w, request, router.AccountLimit, "this node answers as many requests of the account as it may")
			return
		}
		defer place.Release()
		next.ServeHTTP(w, request)
	})
}

// unready tells why the node serves nothing yet, or is empty.
func (r *Receiver) unready() router.Reason {
	if r.options.Unready == nil {
		return ""
	}
	return r.options.Unready()
}

// refuse answers a request that was not let in.
func (r *Receiver) refuse(w http.ResponseWriter, request *http.Request, reason router.Reason, message string) {
	writeRefusal(w, "", &router.Refusal{
		Outcome:    outcomeUnread(request.Header),
		Reason:     reason,
		Message:    message,
		RetryAfter: r.options.RetryAfter,
	})
}

// outcomeUnread is the outcome of a request that is refused unread. A resend may
// have run when it was sent before, which nobody has looked up.
func outcomeUnread(header http.Header) router.Outcome {
	resentCall := header.Get(keyHeader) != "" && !firstSending(header)
	if resentCall || header.Get(lastEventHeader) != "" {
		return router.Unknown
	}
	return router.NotRun
}

// firstSending tells whether the caller says that it never sent the key before.
func firstSending(header http.Header) bool {
	return header.Get(firstHeader) == "true"
}

func accountOf(header http.Header) identifier.Account {
	return identifier.Account(header.Get(accountHeader))
}

// accountReached tells operators of an account that is refused, once until it has
// no request left.
func (r *Receiver) accountReached(account identifier.Account) {
	r.options.Log.Log(eventAccountLimited, logger.Fields{"account": account, "limit": r.options.AccountRequests})
}
