package forwarder

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/foxtailspool/foxtailspool/authenticator"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/limiter"
)

// Kind states whether a route's requests may be repeated.
type Kind uint8

// Kinds of routes.
const (
	// Once: a request runs at most once.
	Once Kind = iota
	// Repeatable: a request may run again at another back end.
	Repeatable
	// Stream: a request is answered event by event and runs at most once.
	Stream
)

// Destination is one of the pools that share a route's requests.
type Destination struct {
	Pool identifier.Pool
	// Weight is the pool's relative share, positive.
	Weight float64
}

// Route sends the requests of one host and path prefix to its destinations.
type Route struct {
	Name   identifier.Route
	Host   string
	Prefix string
	Kind   Kind
	// Resumable means that a stream may continue on another engine after its last event.
	Resumable bool
	// Rank orders the routes of a pool; zero is the most urgent.
	Rank int
	// Timeout bounds the whole request; zero means no limit.
	Timeout time.Duration
	// Target is the time from arrival to the answer, or to a stream's first event.
	Target time.Duration
	// MaxEventGap is the longest allowed pause between two events of a stream.
	MaxEventGap time.Duration
	// Patience is how long a caller waits for the next event of a stream, also for the first;
	// zero means unknown.
	Patience time.Duration
	// Backends is the maximum number of back ends that may run one request, at least one.
	Backends int
	// Public means that the route's requests need no API key.
	Public bool
	// Destinations has at least one entry.
	Destinations []Destination
}

// Pool describes the back ends of a service.
type Pool struct {
	Name identifier.Pool
	// Model means that the back ends are engines with separate prefill and decode.
	// Only then are the following fields set.
	Model bool
	// Slots is how many requests an engine runs at once.
	Slots int
	// Memory is the size of an engine's KV memory.
	Memory identifier.Tokens
	// TokenBytes is the size of one token's KV cache in bytes.
	TokenBytes int64
	// LinkRate is the bandwidth of an engine's network link.
	LinkRate identifier.BytesPerSecond
	// EventTokens is the number of tokens in one stream event.
	EventTokens identifier.Tokens
	// HandleLife is how long an engine keeps a prefilled prompt to be fetched.
	HandleLife time.Duration
	// RoleChange is how long an engine takes to change its role; zero means it cannot.
	RoleChange time.Duration
}

// Configuration is the configuration that the operators applied. It is immutable.
type Configuration struct {
	// Number increases with each configuration and is never zero.
	Number identifier.Configuration
	// routesByHost has each host's routes, longest prefix first, by lower-case host.
	routesByHost map[string][]Route
	poolsByName  map[identifier.Pool]Pool
	// accounts has the client accounts; nil if there are none.
	accounts *authenticator.Authenticator
	// Limits bounds what callers may send.
	Limits Limits
}

// Limits bounds what a caller may send. A zero field means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// NewConfiguration returns a configuration with routes and pools indexed.
func NewConfiguration(number identifier.Configuration, routes []Route, pools []Pool, limits Limits) *Configuration {
	c := &Configuration{
		Number:       number,
		routesByHost: map[string][]Route{},
		poolsByName:  map[identifier.Pool]Pool{},
		Limits:       limits,
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		c.routesByHost[host] = append(c.routesByHost[host], route)
	}
	for _, list := range c.routesByHost {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, pool := range pools {
		c.poolsByName[pool.Name] = pool
	}
	return c
}

// AccountQuota returns the quota of a client account, and false if there is no such account.
func (c *Configuration) AccountQuota(account identifier.Account) (limiter.AccountQuota, bool) {
	if c == nil {
		return limiter.AccountQuota{}, false
	}
	return c.accounts.Quota(account)
}

// WithAccounts returns the configuration with client accounts.
func (c *Configuration) WithAccounts(accounts *authenticator.Authenticator) *Configuration {
	copied := *c
	copied.accounts = accounts
	return &copied
}

// Match returns the host's route with the longest prefix of path. Host is case-insensitive.
func (c *Configuration) Match(host, path string) (Route, bool) {
	for _, route := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Pool returns the pool with the given name.
func (c *Configuration) Pool(name identifier.Pool) (Pool, bool) {
	pool, ok := c.poolsByName[name]
	return pool, ok
}

// Pools returns the pools sorted by name.
func (c *Configuration) Pools() []Pool {
	list := make([]Pool, 0, len(c.poolsByName))
	for _, pool := range c.poolsByName {
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
	// Role is prefill or decode for an engine, and service for other back ends.
	Role identifier.Role
	// Slots is how many requests the back end runs at once; zero means unknown.
	Slots int
	// Leaving means that the back end finishes its requests and gets no new ones.
	Leaving bool
	// Started is when the back end's process started; zero means unknown. It changes
	// when a process restarts under the same name.
	Started time.Time
}

// Table is a configuration and the back ends to route to. It is immutable; its
// fields may be nil until they are known.
type Table struct {
	Configuration *Configuration
	// Backends is sorted by name, and names are unique.
	Backends []Backend
	// Listed is true once the list of back ends has been read.
	Listed bool
	// backendsByPool has the back ends of each pool, sorted by name.
	backendsByPool map[identifier.Pool][]Backend
}

// NewTable returns a table of a configuration and back ends. It copies the slice.
func NewTable(configuration *Configuration, backends []Backend, listed bool) *Table {
	t := &Table{Configuration: configuration, Backends: slices.Clone(backends), Listed: listed, backendsByPool: map[identifier.Pool][]Backend{}}
	slices.SortFunc(t.Backends, func(a, b Backend) int { return cmp.Compare(a.Name, b.Name) })
	for _, backend := range t.Backends {
		t.backendsByPool[backend.Pool] = append(t.backendsByPool[backend.Pool], backend)
	}
	return t
}

// Pool returns the pool's back ends that accept new requests. A non-empty role
// selects only back ends with that role.
func (t *Table) Pool(pool identifier.Pool, role identifier.Role) []Backend {
	var list []Backend
	for _, backend := range t.backendsByPool[pool] {
		if !backend.Leaving && (role == "" || backend.Role == role) {
			list = append(list, backend)
		}
	}
	return list
}

// Engines returns the back ends of all model pools.
func (t *Table) Engines() []Backend {
	var list []Backend
	for _, backend := range t.Backends {
		if backend.Role != identifier.Service {
			list = append(list, backend)
		}
	}
	return list
}

// Find returns the back end with the given name.
func (t *Table) Find(name identifier.Member) (Backend, bool) {
	i, found := slices.BinarySearchFunc(t.Backends, name, func(b Backend, n identifier.Member) int {
		return cmp.Compare(b.Name, n)
	})
	if !found {
		return Backend{}, false
	}
	return t.Backends[i], true
}
