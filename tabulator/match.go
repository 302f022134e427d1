package tabulator

import (
	"slices"
	"strings"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// index finds the routes that may match an account without a walk through the
// whole table. Positions are those of the routes table and ascend.
type index struct {
	// byAccount lists the routes that name an account, open those that name none.
	byAccount map[identifier.Account][]int32
	open      []int32
	pools     map[identifier.Pool]int32
}

func newIndex(routes Routes, pools Pools) *index {
	made := &index{
		byAccount: map[identifier.Account][]int32{},
		pools:     make(map[identifier.Pool]int32, len(pools.Pools)),
	}
	for position, route := range routes.Routes {
		accounts := route.accounts()
		if len(accounts) == 0 {
			made.open = append(made.open, int32(position))
		}
		for _, account := range accounts {
			made.byAccount[account] = append(made.byAccount[account], int32(position))
		}
	}
	for position, pool := range pools.Pools {
		made.pools[pool.Name] = int32(position)
	}
	return made
}

// accounts lists the accounts that a route names; none means all.
func (r Route) accounts() []identifier.Account {
	if r.Account == "" {
		return r.Accounts
	}
	return append([]identifier.Account{r.Account}, r.Accounts...)
}

// Match returns the first route that matches and its pool.
func (s *Snapshot) Match(q Query) (Route, Pool, bool) {
	if s.index == nil {
		return s.scan(q)
	}
	named, open := s.index.byAccount[q.Account], s.index.open
	for len(named)+len(open) > 0 {
		var position int32
		if len(open) == 0 || len(named) > 0 && named[0] < open[0] {
			position, named = named[0], named[1:]
		} else {
			position, open = open[0], open[1:]
		}
		if route := &s.Routes.Routes[position]; route.matchesRequest(q) {
			pool, ok := s.Pool(route.Pool)
			return *route, pool, ok
		}
	}
	return Route{}, Pool{}, false
}

// scan matches in a snapshot that was not made by Join.
func (s *Snapshot) scan(q Query) (Route, Pool, bool) {
	for _, route := range s.Routes.Routes {
		accounts := route.accounts()
		ofAccount := len(accounts) == 0 || slices.Contains(accounts, q.Account)
		if ofAccount && route.matchesRequest(q) {
			pool, ok := s.Pool(route.Pool)
			return route, pool, ok
		}
	}
	return Route{}, Pool{}, false
}

// matchesRequest tells whether the route matches apart from the account.
func (r *Route) matchesRequest(q Query) bool {
	if r.Model != "" && r.Model != q.Model {
		return false
	}
	if r.Method != "" && r.Method != q.Method {
		return false
	}
	return strings.HasPrefix(q.Path, r.Path)
}

// Pool returns the pool of a name.
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

// MarshalText writes the duration as text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}
