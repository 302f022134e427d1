// Package authenticator finds the client account that an API key belongs to. It is a pure
// function of the configuration in force: adding or removing a key is a new configuration.
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/limiter"
)

// Digest is the SHA-256 hash of an API key. Nothing but digests is kept of keys.
type Digest [sha256.Size]byte

// NewDigest returns the digest of a key.
func NewDigest(key string) Digest { return sha256.Sum256([]byte(key)) }

// Account is a client account.
type Account struct {
	Name identifier.Account
	// Keys are the digests of the account's API keys.
	Keys []Digest
	// Rank replaces the rank of the routes that the account uses if HasRank is set.
	Rank    int
	HasRank bool
	Quota   limiter.AccountQuota
}

// Authenticator maps API keys to accounts. It is immutable. The zero Authenticator has no
// accounts, and no request needs a key.
type Authenticator struct {
	accounts []Account
	// accountByPrefix has the indexes of the accounts by the beginning of their keys' digests.
	// A lookup by a part of a digest tells nothing of the key, and the rest is compared in
	// constant time.
	accountByPrefix map[prefix][]entry
	// accountByName has the indexes of the accounts by their names.
	accountByName map[identifier.Account]int
}

type prefix [8]byte

type entry struct {
	digest  Digest
	account int
}

// New returns an authenticator of accounts.
func New(accounts []Account) *Authenticator {
	a := &Authenticator{accounts: accounts, accountByPrefix: map[prefix][]entry{}, accountByName: make(map[identifier.Account]int, len(accounts))}
	for i := range accounts {
		a.accountByName[accounts[i].Name] = i
		for _, digest := range accounts[i].Keys {
			at := prefix(digest[:len(prefix{})])
			a.accountByPrefix[at] = append(a.accountByPrefix[at], entry{digest, i})
		}
	}
	return a
}

// Required reports whether requests need a key.
func (a *Authenticator) Required() bool { return a != nil && len(a.accounts) > 0 }

// Quota returns the quota of an account, and false if there is no such account.
func (a *Authenticator) Quota(account identifier.Account) (limiter.AccountQuota, bool) {
	if a == nil {
		return limiter.AccountQuota{}, false
	}
	i, known := a.accountByName[account]
	if !known {
		return limiter.AccountQuota{}, false
	}
	return a.accounts[i].Quota, true
}

// Failure is why credentials name no account; the empty Failure means that they do.
type Failure string

// The values of Failure.
const (
	NoKey       Failure = "no-key"
	SeveralKeys Failure = "several-keys"
	InvalidKey  Failure = "invalid-key"
	UnknownKey  Failure = "unknown-key"
)

// maxKeyBytes bounds the keys that are looked at; longer ones are invalid.
const maxKeyBytes = 1024

// Authenticate returns the account whose key is the only one of credentials. Keys are compared
// byte by byte: white space and case matter.
func (a *Authenticator) Authenticate(credentials []string) (Account, Failure) {
	switch {
	case len(credentials) == 0:
		return Account{}, NoKey
	case len(credentials) > 1:
		return Account{}, SeveralKeys
	case credentials[0] == "" || len(credentials[0]) > maxKeyBytes || strings.ContainsAny(credentials[0], " \t,"):
		return Account{}, InvalidKey
	}
	digest := NewDigest(credentials[0])
	for _, known := range a.accountByPrefix[prefix(digest[:len(prefix{})])] {
		if subtle.ConstantTimeCompare(known.digest[:], digest[:]) == 1 {
			return a.accounts[known.account], ""
		}
	}
	return Account{}, UnknownKey
}
