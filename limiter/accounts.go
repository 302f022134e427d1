package limiter

import (
	"sync"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// AccountsOptions sets up the bound on each account's requests.
type AccountsOptions struct {
	// Limit is the most requests of one account at once, at least one.
	Limit int
	// Reached is told of an account's first refusal since it last had no request
	// running. May be nil.
	Reached func(account identifier.Account)
}

// Accounts bounds the requests that each account has running, so that one
// account's flood leaves room for the others.
type Accounts struct {
	options AccountsOptions
	mutex   sync.Mutex
	// running holds only accounts with a request running, so that its size is
	// bounded by the requests that the node takes.
	running map[identifier.Account]*accountUse
}

// accountUse counts the requests of one account.
type accountUse struct {
	// places is from 1 to Limit.
	places int
	// refused tells that Reached knows of the account.
	refused bool
}

// NewAccounts returns the bound with no request running.
func NewAccounts(options AccountsOptions) *Accounts {
	return &Accounts{options: options, running: map[identifier.Account]*accountUse{}}
}

// Place is the place of one running request.
type Place struct {
	accounts *Accounts
	account  identifier.Account
	once     sync.Once
}

// Enter takes a place for a request, or returns nil where the account has as
// many as it may.
func (a *Accounts) Enter(account identifier.Account) *Place {
	taken, first := a.take(account)
	if taken {
		return &Place{accounts: a, account: account}
	}
	if first && a.options.Reached != nil {
		a.options.Reached(account)
	}
	return nil
}

// take counts a request in, or tells whether it is the account's first refusal.
func (a *Accounts) take(account identifier.Account) (taken, first bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	use := a.running[account]
	if use == nil {
		use = &accountUse{}
		a.running[account] = use
	}
	if use.places >= a.options.Limit {
		first = !use.refused
		use.refused = true
		return false, first
	}
	use.places++
	return true, false
}

// Leave gives the place back. Only the first call does.
func (p *Place) Leave() {
	p.once.Do(func() { p.accounts.giveBack(p.account) })
}

func (a *Accounts) giveBack(account identifier.Account) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	use := a.running[account]
	use.places--
	if use.places == 0 {
		delete(a.running, account)
	}
}
