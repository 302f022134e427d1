package limiter

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() == seed.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// accountsModel is the expected state of an Accounts.
type accountsModel struct {
	limit    int
	accounts *Accounts
	// held has the unreleased slots by account.
	held     map[identifier.Account][]*Slot
	released []*Slot
	// reportCount counts the calls of OnLimitReached since the account last had no slot.
	reportCount map[identifier.Account]int
}

func (m *accountsModel) acquire(t *rapid.T) {
	account := identifier.Account(rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "account"))
	slot := m.accounts.Acquire(account)
	if (slot != nil) != (len(m.held[account]) < m.limit) {
		t.Fatalf("account %q with %d of %d slots: got %v", account, len(m.held[account]), m.limit, slot)
	}
	if slot != nil {
		m.held[account] = append(m.held[account], slot)
	} else if m.reportCount[account] != 1 {
		t.Fatalf("account %q was reported %d times", account, m.reportCount[account])
	}
}

func (m *accountsModel) release(t *rapid.T) {
	account := identifier.Account(rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "account"))
	slots := m.held[account]
	if len(slots) == 0 {
		t.Skip("holds no slot")
	}
	at := rapid.IntRange(0, len(slots)-1).Draw(t, "place")
	slots[at].Release()
	m.released = append(m.released, slots[at])
	m.held[account] = append(slots[:at:at], slots[at+1:]...)
	if len(m.held[account]) == 0 {
		delete(m.held, account)
		delete(m.reportCount, account)
	}
}

func (m *accountsModel) releaseAgain(t *rapid.T) {
	if len(m.released) == 0 {
		t.Skip("no slot was released")
	}
	rapid.SampledFrom(m.released).Draw(t, "place").Release()
}

func (m *accountsModel) check(t *rapid.T) {
	if len(m.accounts.usage) != len(m.held) {
		t.Fatalf("%d accounts kept, %d have slots", len(m.accounts.usage), len(m.held))
	}
	for account, slots := range m.held {
		if use := m.accounts.usage[account]; use.running != len(slots) || use.running > m.limit {
			t.Fatalf("account %q: counted %d, has %d of %d", account, use.running, len(slots), m.limit)
		}
	}
}

// TestAccountsStateMachine checks that no account exceeds its limit and that releasing
// a slot twice counts once.
func TestAccountsStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &accountsModel{
			limit: rapid.IntRange(1, 4).Draw(t, "limit"),
			held:  map[identifier.Account][]*Slot{}, reportCount: map[identifier.Account]int{},
		}
		m.accounts = NewAccounts(AccountsOptions{Limit: m.limit, OnLimitReached: func(account identifier.Account) { m.reportCount[account]++ }})
		t.Repeat(map[string]func(*rapid.T){
			"enter": m.acquire, "leave": m.release, "leave-again": m.releaseAgain, "": m.check,
		})
	})
}

// TestIdleAccountsAreRemoved guards against a memory leak: of 14,000 accounts in turn,
// only those with a running request are kept.
func TestIdleAccountsAreRemoved(t *testing.T) {
	const accountCount, maxRunning = 14_000, 100
	accounts := NewAccounts(AccountsOptions{Limit: 1})
	var slots []*Slot
	for i := range accountCount {
		slots = append(slots, accounts.Acquire(identifier.Account(fmt.Sprintf("account-%d", i))))
		if len(slots) == maxRunning {
			slots[0].Release()
			slots = slots[1:]
		}
		if len(accounts.usage) > maxRunning {
			t.Fatalf("%d accounts kept", len(accounts.usage))
		}
	}
	for _, slot := range slots {
		slot.Release()
	}
	if len(accounts.usage) != 0 {
		t.Errorf("%d accounts kept with no request running", len(accounts.usage))
	}
}
