package tabulator

import (
	"slices"
	"strings"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// index finds the routes that may match an account without scanning the whole
// table. Positions are ascending indexes into the routes or pools table.
type index struct {
	// byAccount lists the routes that name an account.
	byAccount map[identifier.Account][]int32
	// anyAccount lists the routes that name no account.
	anyAccount []int32
	pools      map[identifier.Pool]int32
}

func newIndex(routes Routes, pools Pools) *index {
	built := &index{
		byAccount: map[identifier.Account][]int32{},
		pools:     make(map[identifier.Pool]int32, len(pools.Pools)),
	}
	for position, route := range routes.Routes {
		accounts := route.accounts()
		if len(accounts) == 0 {
			built.anyAccount = append(built.anyAccount, int32(position))
		}
		for _, account := range accounts {
			built.byAccount[account] = append(built.byAccount[account], int32(position))
		}
	}
	for position, pool := range pools.Pools {
		built.pools[pool.Name] = int32(position)
	}
	return built
}

// accounts returns the accounts that a route names. Empty means all accounts.
func (r Route) accounts() []identifier.Account {
	if r.Account == "" {
		return r.Accounts
	}
	return append([]identifier.Account{r.Account}, r.Accounts...)
}

// Match returns the first matching route and its pool, or false if none matches.
func (s *Snapshot) Match(q Query) (Route, Pool, bool) {
	if s.index == nil {
		return s.matchLinear(q)
	}
	named, anyAccount := s.index.byAccount[q.Account], s.index.anyAccount
	for len(named)+len(anyAccount) > 0 {
		var position int32
		if len(anyAccount) == 0 || len(named) > 0 && named[0] < anyAccount[0] {
			position, named = named[0], named[1:]
		} else {
			position, anyAccount = anyAccount[0], anyAccount[1:]
		}
		if route := &s.Routes.Routes[position]; route.matchesExceptAccount(q) {
			pool, ok := s.Pool(route.Pool)
			return *route, pool, ok
		}
	}
	return Route{}, Pool{}, false
}

// matchLinear is Match for a snapshot without an index.
func (s *Snapshot) matchLinear(q Query) (Route, Pool, bool) {
	for _, route := range s.Routes.Routes {
		accounts := route.accounts()
		accountMatches := len(accounts) == 0 || slices.Contains(accounts, q.Account)
		if accountMatches && route.matchesExceptAccount(q) {
			pool, ok := s.Pool(route.Pool)
			return route, pool, ok
		}
	}
	return Route{}, Pool{}, false
}

// matchesExceptAccount reports whether all match fields but the account match.
func (r *Route) matchesExceptAccount(q Query) bool {
	if r.Model != "" && r.Model != q.Model {
		return false
	}
	if r.Method != "" && r.Method != q.Method {
		return false
	}
	return strings.HasPrefix(q.Path, r.Path)
}

// Pool returns the pool with a name, or false if there is none.
func (s *Snapshot) Pool(name identifier.Pool) (Pool, bool) {
	if s.index != nil {
		position, ok := s.index.pools[name]
		if !ok {
			return Pool{}, false
		}
		return s.Pools.Pools[position], true
	}
	for _, pool := range s.Pools.Pools {
		if pool.Name == name {
			return pool, true
		}
	}
	return Pool{}, false
}

// MarshalText encodes the duration as text with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText decodes a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}
