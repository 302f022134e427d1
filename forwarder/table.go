package forwarder

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

// The kinds of routes.
const (
	// Once requests run at most once.
	Once Kind = iota
	// Repeatable requests may run again at another back end.
	Repeatable
	// Stream requests are answered piece by piece and run at most once.
	Stream
)

// Destination is one of the pools that a route's requests are spread over.
type Destination struct {
	Pool identifier.Pool
	// Weight is the pool's part, positive.
	Weight float64
}

// Route sends the requests of one host and path prefix to its destinations.
type Route struct {
	Name   identifier.Route
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another engine after their last event.
	Resumable bool
	// Rank orders the routes of a pool, zero first.
	Rank int
	// Timeout bounds a request as a whole; zero is no bound.
	Timeout time.Duration
	// Target is when an answer, or the first event of a stream, is due.
	Target time.Duration
	// Gap is the longest pause between two events of a stream that is on time.
	Gap time.Duration
	// Backends is how many back ends may run one request, at least one.
	Backends int
	// Destinations is not empty.
	Destinations []Destination
}

// Pool describes the back ends of a service.
type Pool struct {
	Name identifier.Pool
	// Model tells that the pool's back ends are engines with prefill and decode
	// apart; the fields below are theirs.
	Model bool
	// Slots is how many requests an engine runs at once.
	Slots int
	// Memory is an engine's memory, and TokenBytes what a token's KV cache takes.
	Memory     identifier.Tokens
	TokenBytes int64
	// LinkRate is the rate of an engine's link.
	LinkRate identifier.BytesPerSecond
	// EventTokens is how many tokens one event of a stream holds.
	EventTokens identifier.Tokens
	// HandleLife is how long a prefilled prompt waits to be fetched.
	HandleLife time.Duration
	// RoleChange is how long an engine takes to change its role; zero engines
	// cannot.
	RoleChange time.Duration
}

// Configuration is what the operators have put in force. It is immutable.
type Configuration struct {
	// Number grows with each configuration and is never zero.
	Number identifier.Configuration
	// hosts holds the routes of each host, the longest prefix first.
	hosts map[string][]Route
	pools map[identifier.Pool]Pool
	// Limits bound what callers may send.
	Limits Limits
}

// Limits bound what a caller may send. Zero fields are no bounds.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// NewConfiguration indexes routes and pools.
func NewConfiguration(number identifier.Configuration, routes []Route, pools []Pool, limits Limits) *Configuration {
	c := &Configuration{
		Number: number,
		hosts:  map[string][]Route{},
		pools:  map[identifier.Pool]Pool{},
		Limits: limits,
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		c.hosts[host] = append(c.hosts[host], route)
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, pool := range pools {
		c.pools[pool.Name] = pool
	}
	return c
}

// Match returns the route of a host with the longest prefix that begins a path.
func (c *Configuration) Match(host, path string) (Route, bool) {
	for _, route := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Pool returns the pool of a name.
func (c *Configuration) Pool(name identifier.Pool) (Pool, bool) {
	pool, ok := c.pools[name]
	return pool, ok
}

// Pools lists the pools by name.
func (c *Configuration) Pools() []Pool {
	list := make([]Pool, 0, len(c.pools))
	for _, pool := range c.pools {
		list = append(list, pool)
	}
	slices.SortFunc(list, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Backend is one back end as it announced itself.
type Backend struct {
	Name       identifier.Member
	Pool       identifier.Pool
	Address    identifier.Address
	DataCentre identifier.DataCentre
	// Role is prefill or decode for engines, and service for the others.
	Role identifier.Role
	// Slots is how many requests it runs at once; zero is unknown.
	Slots int
	// Leaving back ends finish what they run and get no new work.
	Leaving bool
	// Started is when the back end's process began; zero is unknown. A back end
	// that starts again under its name has another.
	Started time.Time
}

// Table is what a node routes by: a configuration and the back ends. It is
// immutable; the fields may be nil until they are known.
type Table struct {
	Configuration *Configuration
	// Backends is sorted by name and holds each name once.
	Backends []Backend
	// Listed tells that the list of back ends has been read at least once.
	Listed bool
	// pools holds the back ends of each pool, in the order of their names.
	pools map[identifier.Pool][]Backend
}

// NewTable joins a configuration with the back ends.
func NewTable(configuration *Configuration, backends []Backend, listed bool) *Table {
	t := &Table{Configuration: configuration, Backends: slices.Clone(backends), Listed: listed, pools: map[identifier.Pool][]Backend{}}
	slices.SortFunc(t.Backends, func(a, b Backend) int { return cmp.Compare(a.Name, b.Name) })
	for _, backend := range t.Backends {
		t.pools[backend.Pool] = append(t.pools[backend.Pool], backend)
	}
	return t
}

// Pool returns the back ends of a pool that take new work, in a role where one
// is named.
func (t *Table) Pool(pool identifier.Pool, role identifier.Role) []Backend {
	var list []Backend
	for _, backend := range t.pools[pool] {
		if !backend.Leaving && (role == "" || backend.Role == role) {
			list = append(list, backend)
		}
	}
	return list
}

// Engines lists the back ends with a role in a pool of models.
func (t *Table) Engines() []Backend {
	var list []Backend
	for _, backend := range t.Backends {
		if backend.Role != identifier.Service {
			list = append(list, backend)
		}
	}
	return list
}

// Find returns the back end of a name.
func (t *Table) Find(name identifier.Member) (Backend, bool) {
	i, found := slices.BinarySearchFunc(t.Backends, name, func(b Backend, n identifier.Member) int {
		return cmp.Compare(b.Name, n)
	})
	if !found {
		return Backend{}, false
	}
	return t.Backends[i], true
}
