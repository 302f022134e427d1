package limiter

import (
	"sync"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// AccountsOptions configures the limit on each account's running requests.
type AccountsOptions struct {
	// Limit is the maximum number of running requests of one account, at least one.
	Limit int
	// OnLimitReached is called on an account's first refusal since it last had no running
	// request. It may be nil.
	OnLimitReached func(account identifier.Account)
}

// Accounts limits the running requests of each account, so that a flood from one
// account leaves capacity for the others. It is safe for concurrent use.
type Accounts struct {
	options AccountsOptions
	mutex   sync.Mutex
	// usage has only accounts with a running request, so that the number of the
	// node's requests bounds its size.
	usage map[identifier.Account]*accountUsage
}

type accountUsage struct {
	// running is from 1 to Limit.
	running       int
	limitReported bool
}

// NewAccounts returns a limit with no running requests.
func NewAccounts(options AccountsOptions) *Accounts {
	return &Accounts{options: options, usage: map[identifier.Account]*accountUsage{}}
}

// Slot is one running request's share of its account's limit.
type Slot struct {
	accounts *Accounts
	account  identifier.Account
	once     sync.Once
}

// Acquire counts a request as running until Slot.Release. It returns nil if the
// account is at its limit.
func (a *Accounts) Acquire(account identifier.Account) *Slot {
	acquired, firstRefusal := a.tryAcquire(account)
	if acquired {
		return &Slot{accounts: a, account: account}
	}
	if firstRefusal && a.options.OnLimitReached != nil {
		a.options.OnLimitReached(account)
	}
	return nil
}

// tryAcquire counts a request as running, or returns whether to call OnLimitReached.
func (a *Accounts) tryAcquire(account identifier.Account) (acquired, firstRefusal bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	use := a.usage[account]
	if use == nil {
		use = &accountUsage{}
		a.usage[account] = use
	}
	if use.running >= a.options.Limit {
		firstRefusal = !use.limitReported
		use.limitReported = true
		return false, firstRefusal
	}
	use.running++
	return true, false
}

// Release stops counting the request as running. Further calls do nothing.
func (s *Slot) Release() {
	s.once.Do(func() { s.accounts.release(s.account) })
}

func (a *Accounts) release(account identifier.Account) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	use := a.usage[account]
	use.running--
	if use.running == 0 {
		delete(a.usage, account)
	}
}
