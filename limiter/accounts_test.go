package limiter

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// TestMain fixes the seed of all state machines.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() == seed.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// accountsModel is what should be held.
type accountsModel struct {
	limit    int
	accounts *Accounts
	// held are the places not left, by account; left were given back.
	held map[identifier.Account][]*Place
	left []*Place
	// told are the accounts that Reached was told of since they had no place.
	told map[identifier.Account]int
}

func (m *accountsModel) enter(t *rapid.T) {
	account := identifier.Account(rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "account"))
	place := m.accounts.Enter(account)
	if (place != nil) != (len(m.held[account]) < m.limit) {
		t.Fatalf("account %q with %d of %d places: got %v", account, len(m.held[account]), m.limit, place)
	}
	if place != nil {
		m.held[account] = append(m.held[account], place)
	} else if m.told[account] != 1 {
		t.Fatalf("account %q was told of %d times", account, m.told[account])
	}
}

func (m *accountsModel) leave(t *rapid.T) {
	account := identifier.Account(rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "account"))
	places := m.held[account]
	if len(places) == 0 {
		t.Skip("holds no place")
	}
	at := rapid.IntRange(0, len(places)-1).Draw(t, "place")
	places[at].Leave()
	m.left = append(m.left, places[at])
	m.held[account] = append(places[:at:at], places[at+1:]...)
	if len(m.held[account]) == 0 {
		delete(m.held, account)
		delete(m.told, account)
	}
}

func (m *accountsModel) leaveAgain(t *rapid.T) {
	if len(m.left) == 0 {
		t.Skip("no place was left")
	}
	rapid.SampledFrom(m.left).Draw(t, "place").Leave()
}

func (m *accountsModel) check(t *rapid.T) {
	if len(m.accounts.running) != len(m.held) {
		t.Fatalf("remembers %d accounts, %d have places", len(m.accounts.running), len(m.held))
	}
	for account, places := range m.held {
		if use := m.accounts.running[account]; use.places != len(places) || use.places > m.limit {
			t.Fatalf("account %q: counted %d, has %d of %d", account, use.places, len(places), m.limit)
		}
	}
}

// No account is ever over its bound, and each place is given back exactly once.
func TestAccountsMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &accountsModel{
			limit: rapid.IntRange(1, 4).Draw(t, "limit"),
			held:  map[identifier.Account][]*Place{}, told: map[identifier.Account]int{},
		}
		m.accounts = NewAccounts(AccountsOptions{Limit: m.limit, Reached: func(account identifier.Account) { m.told[account]++ }})
		t.Repeat(map[string]func(*rapid.T){
			"enter": m.enter, "leave": m.leave, "leave-again": m.leaveAgain, "": m.check,
		})
	})
}

// Accounts that are gone take no memory: of 14,000 in turn, those with a request
// running are remembered.
func TestAccountsForgotten(t *testing.T) {
	const all, atOnce = 14_000, 100
	accounts := NewAccounts(AccountsOptions{Limit: 1})
	var places []*Place
	for i := range all {
		places = append(places, accounts.Enter(identifier.Account(fmt.Sprintf("account-%d", i))))
		if len(places) == atOnce {
			places[0].Leave()
			places = places[1:]
		}
		if len(accounts.running) > atOnce {
			t.Fatalf("remembers %d accounts", len(accounts.running))
		}
	}
	for _, place := range places {
		place.Leave()
	}
	if len(accounts.running) != 0 {
		t.Errorf("remembers %d accounts with no request", len(accounts.running))
	}
}
