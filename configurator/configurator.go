// Package configurator reads a node's settings from a TOML file and validates
// them strictly: it rejects unknown keys, values without a unit and values out of
// range, and reports the line and key of each.
//
// The settings cover a node's identity, addresses and limits. Routing is set in
// the routes and pools tables, which operators edit while the nodes run. Each key
// is declared once, in keys.go; docs/SETTINGS.md is generated from there.
package configurator

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Bytes is a size in bytes.
type Bytes int64

// Size units.
const (
	Byte     Bytes = 1
	Kibibyte       = 1024 * Byte
	Mebibyte       = 1024 * Kibibyte
	Gibibyte       = 1024 * Mebibyte
)

// Settings holds the validated settings of one node. Every limit is positive.
type Settings struct {
	Node       Node
	Callers    Listener
	Peers      Listener
	Operators  Listener
	Platform   Platform
	Membership Membership
	PeerCalls  Client
	Backends   Client
	Requests   Requests
	Placement  Placement
	Ledger     Ledger
	Drain      Drain
	Log        Log
	Traces     Traces
}

// Node identifies the node.
type Node struct {
	// Name is unique in the fleet and not empty.
	Name identifier.Node
	// DataCentre is not empty.
	DataCentre identifier.DataCentre
}

// TLS names the PEM files for TLS on a listener or a client. All are empty when
// TLS is off.
type TLS struct {
	// CertificateFile and KeyFile are both set or both empty.
	CertificateFile string
	KeyFile         string
	// AuthorityFile holds the CA certificates that verify the other side's one.
	AuthorityFile string
}

// Listener configures one of the node's listeners.
type Listener struct {
	// Listen is the address on which connections are accepted.
	Listen identifier.Address
	// Advertise is the address published to clients and peers; never a wildcard.
	Advertise identifier.Address
	TLS       TLS
	// ReadHeaderTimeout limits the time to read a request's header.
	ReadHeaderTimeout time.Duration
	// ReadTimeout limits the time to read a request's header and body together.
	ReadTimeout time.Duration
	// WriteTimeout limits each write, not the whole response.
	WriteTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout    time.Duration
	MaxConnections int
	// MaxStreams limits the concurrent requests on one HTTP/2 connection.
	MaxStreams    int
	MaxHeaderSize Bytes
	MaxBodySize   Bytes
}

// Platform configures the client of the platform's object API.
type Platform struct {
	// URL is the base URL, http or https.
	URL string
	TLS TLS
	// TokenFile holds a bearer token and is read for each call. Empty sends no token.
	TokenFile string
	// CallTimeout limits each call except a watch.
	CallTimeout time.Duration
	// WatchSilence is the read timeout of a watch; a bookmark counts as data.
	WatchSilence   time.Duration
	MaxConnections int
}

// Membership configures failure detection between nodes.
type Membership struct {
	// Seeds are the peer addresses that a starting node contacts first.
	Seeds         []identifier.Address
	ProbeInterval time.Duration
	// ProbeTimeout limits the wait for a probe's reply; it is below ProbeInterval.
	ProbeTimeout time.Duration
	// SuspicionTime is how long a node stays suspect before it is declared dead.
	SuspicionTime time.Duration
}

// Client configures the node's outgoing calls to peers or to back ends.
type Client struct {
	DialTimeout time.Duration
	// HeaderTimeout limits the wait for a response's header.
	HeaderTimeout time.Duration
	// ProgressTimeout is how long a response may send nothing before it is aborted.
	ProgressTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
	// CallTimeout limits a whole short call, such as a cancel or a load report.
	CallTimeout time.Duration
	// PingInterval is how long an open connection to a peer may receive nothing
	// before it is pinged. Zero, as for back ends, disables pings.
	PingInterval          time.Duration
	MaxConnectionsPerHost int
}

// Requests sets the limits and retries of callers' requests.
type Requests struct {
	// MaxHeldBodies and MaxHeldAnswers limit the bytes of all requests' bodies, and of all
	// answers of services, that the node holds at once.
	MaxHeldBodies, MaxHeldAnswers Bytes
	// MaxInFlight limits the requests in flight at the node.
	MaxInFlight int
	// MaxInFlightPerAccount limits the requests in flight of one client account,
	// from 1 to MaxInFlight.
	MaxInFlightPerAccount int
	// MaxTimeout caps every request's timeout; routes without one use it.
	MaxTimeout time.Duration
	// DefaultOutput is the output limit, in tokens, of model requests that set none.
	DefaultOutput int
	// MaxAttempts limits the attempts of one model request.
	MaxAttempts int
	// MaxResumes limits the reconnections tried for a broken stream.
	MaxResumes int
	// Linger is how long a stream is kept after its caller disconnects, so that
	// the caller can reconnect.
	Linger time.Duration
	// CancelRetry is the initial backoff between calls to cancel an attempt on an engine.
	CancelRetry time.Duration
	// CancelGiveUp is how long cancelling is retried before an unreachable engine
	// is considered gone.
	CancelGiveUp time.Duration
	// RetryRate is the retries per second that a pool admits at any load.
	RetryRate int
	// RetryBurst is the most unused retries that a pool can accumulate.
	RetryBurst int
	// RetryAfter is the retry delay sent to callers when no estimate is available.
	RetryAfter time.Duration
}

// Placement configures the dispatcher. Use the same values on every node.
type Placement struct {
	// Lease is how long a grant is valid without renewal.
	Lease time.Duration
	// Grace is how long an expired grant can be taken over.
	Grace time.Duration
	// LoadInterval is the time between load reports of an engine.
	LoadInterval time.Duration
	// FallbackAfter is how long a request waits for an unreachable shard owner
	// before the node places the request itself.
	FallbackAfter time.Duration
	// EnginesPerShard limits the engines in one shard.
	EnginesPerShard int
	// MaxBacklog limits the grant releases queued for an unreachable owner.
	MaxBacklog int
}

// Ledger configures the record of executions. Use the same values on every node.
// The first node of a fleet stores KeyWindow, ClockSkew and Shards; after that
// every node uses the stored values.
type Ledger struct {
	// KeyWindow is how long an Idempotency-Key is remembered.
	KeyWindow time.Duration
	// ClockSkew is the largest difference between the clocks of any two nodes.
	ClockSkew time.Duration
	// Shards is the number of shards of the ledger, each with its own owner.
	Shards int
	// CommitInterval is the minimum time between writes of one ledger page.
	CommitInterval time.Duration
	// MaxKeptAnswerSize limits an answer stored inside a ledger page; a larger one
	// is stored as a separate object.
	MaxKeptAnswerSize Bytes
}

// Drain configures graceful shutdown.
type Drain struct {
	// EntryKeepTime is how long callers may cache the answer of /v1/entries. A
	// leaving node accepts requests for this long.
	EntryKeepTime time.Duration
	// FinishTimeout limits the wait for open streams after EntryKeepTime.
	FinishTimeout time.Duration
}

// Log configures logging.
type Log struct {
	Level logrus.Level
}

// Traces configures trace export.
type Traces struct {
	// Endpoint is the base URL of an OTLP/HTTP collector. Empty disables export.
	Endpoint string
	// SampleRatio is the fraction of requests to trace, from 0 to 1. It applies to
	// requests for which the caller made no sampling decision.
	SampleRatio float64
}
