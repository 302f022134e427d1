package forwarder

import (
	"context"
	"time"

	"github.com/foxtailspool/foxtailspool/authenticator"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/router"
)

// AccountQuotas limits what each account sends to back ends through all nodes together.
type AccountQuotas interface {
	// Take takes an amount from an account's quota. If it is over the quota, Take returns how
	// long the caller should wait before a retry.
	Take(ctx context.Context, account identifier.Account, quota limiter.AccountQuota, amount limiter.Amount) (granted bool, retryAfter time.Duration)
	// Return gives back what a request took that has not run and never will. It does not block.
	Return(account identifier.Account, amount limiter.Amount)
}

// noAccountQuotas implements AccountQuotas without limits.
type noAccountQuotas struct{}

func (noAccountQuotas) Take(context.Context, identifier.Account, limiter.AccountQuota, limiter.Amount) (granted bool, retryAfter time.Duration) {
	return true, 0
}
func (noAccountQuotas) Return(identifier.Account, limiter.Amount) {}

// authenticate returns the account of a request, and the table whose configuration has it. If
// no account matches, authenticate waits for a newer table, as the key may have just been added.
// A request of a public route needs no account.
func (f *Forwarder) authenticate(ctx context.Context, request *Request, route Route, table *Table) (authenticator.Account, *Table, *router.Refusal) {
	accounts := table.Configuration.accounts
	if !accounts.Required() {
		return authenticator.Account{}, table, nil
	}
	account, failure := accounts.Authenticate(request.Credentials)
	if failure == "" || route.Public {
		return account, table, nil
	}
	if failure == authenticator.UnknownKey {
		refreshCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
		defer cancel()
		f.options.Refresh(refreshCtx)
		table = f.currentTable()
		accounts = table.Configuration.accounts
		if !accounts.Required() {
			return authenticator.Account{}, table, nil
		}
		if account, failure = accounts.Authenticate(request.Credentials); failure == "" {
			return account, table, nil
		}
	}
	f.recordUnauthenticated(request, route, failure)
	return authenticator.Account{}, table, notRunRefusal(router.Unauthenticated, 0, authenticationMessages[failure])
}

var authenticationMessages = map[authenticator.Failure]string{
	authenticator.NoKey:       "the request needs an API key",
	authenticator.SeveralKeys: "the request has more than one API key",
	authenticator.InvalidKey:  "the API key is malformed",
	authenticator.UnknownKey:  "no account has the API key",
}

func (f *Forwarder) recordUnauthenticated(request *Request, route Route, failure authenticator.Failure) {
	f.metrics.scope.Tagged(map[string]string{"reason": string(failure)}).Counter("unauthenticated").Inc(1)
	f.options.Log.Log(eventUnauthenticated, logger.Fields{fieldRequest: request.Attempt, "route": route.Name, "reason": failure})
}

// rank returns the rank of the request's account or else of its route.
func (c *call) rank() int {
	if c.account.HasRank {
		return c.account.Rank
	}
	return c.route.Rank
}

// takeAccountQuota takes the request's amount from its account's quota, or refuses it.
func (c *call) takeAccountQuota() *router.Refusal {
	quota := c.account.Quota
	if c.account.Name == "" || !quota.Limited() {
		return nil
	}
	amount := quota.AmountOf(c.request.Cost.Prompt, c.request.Cost.Limit)
	granted, retryAfter := c.options.AccountQuotas.Take(c.ctx, c.account.Name, quota, amount)
	if !granted {
		return notRunRefusal(router.OverQuota, retryAfter, "the account is over its quota")
	}
	c.quotaTaken = amount
	return nil
}

// returnAccountQuota gives the request's amount back if it has not run.
func (c *call) returnAccountQuota(refusal *router.Refusal) {
	if c.quotaTaken > 0 && refusal != nil && refusal.Outcome == router.NotRun {
		c.options.AccountQuotas.Return(c.account.Name, c.quotaTaken)
	}
	c.quotaTaken = 0
}
