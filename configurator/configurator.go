// Package configurator reads a node's settings from a TOML file and checks them
// strictly: unknown keys, values without a unit and values out of range are
// refused, each with its line and key.
//
// The settings say where a node stands and what it may use; which requests go
// where is in the two tables, which operators edit while the nodes run. Each key
// is declared once, in keys.go, and docs/SETTINGS.md is generated from there.
package configurator

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Bytes is a size in bytes.
type Bytes int64

// The units of sizes.
const (
	Byte     Bytes = 1
	Kibibyte       = 1024 * Byte
	Mebibyte       = 1024 * Kibibyte
	Gibibyte       = 1024 * Mebibyte
)

// Settings are the checked settings of one node. Every limit is positive.
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

// Node says which node this is.
type Node struct {
	// Name is unique in the fleet and not empty.
	Name identifier.Node
	// DataCentre is not empty.
	DataCentre identifier.DataCentre
}

// TLS names the files of a listener's or a client's TLS. All are empty where
// TLS is off.
type TLS struct {
	// CertificateFile and KeyFile are both set or both empty.
	CertificateFile string
	KeyFile         string
	// AuthorityFile holds the certificates that the other side must be signed by.
	AuthorityFile string
}

// Listener is one of the node's listeners.
type Listener struct {
	// Listen is the address to accept connections at.
	Listen identifier.Address
	// Advertise is the address that others are told; never a wildcard.
	Advertise identifier.Address
	TLS       TLS
	// ReadHeaderTimeout bounds the wait for a request's header.
	ReadHeaderTimeout time.Duration
	// ReadTimeout bounds the wait for a request's header and body together.
	ReadTimeout time.Duration
	// WriteTimeout bounds each write, not the answer as a whole.
	WriteTimeout time.Duration
	// IdleTimeout bounds how long an unused connection is kept.
	IdleTimeout time.Duration
	// MaxConnections bounds the open connections.
	MaxConnections int
	// MaxStreams bounds the requests at once on one HTTP/2 connection.
	MaxStreams int
	// MaxHeaderSize bounds a request's header.
	MaxHeaderSize Bytes
	// MaxBodySize bounds a request's body.
	MaxBodySize Bytes
}

// Platform says how to reach the platform's object API.
type Platform struct {
	// URL is the base address, http or https.
	URL string
	TLS TLS
	// TokenFile holds a bearer token, read again for each call; empty for none.
	TokenFile string
	// CallTimeout bounds one call that is not a watch.
	CallTimeout time.Duration
	// WatchSilence ends a watch that has sent nothing, not even a bookmark.
	WatchSilence time.Duration
	// MaxConnections bounds the connections to the platform.
	MaxConnections int
}

// Membership sets up the failure detection between nodes.
type Membership struct {
	// Seeds are peers' addresses that a starting node asks first.
	Seeds []identifier.Address
	// ProbeInterval is the time from one probe to the next.
	ProbeInterval time.Duration
	// ProbeTimeout bounds the wait for a probe's answer; below ProbeInterval.
	ProbeTimeout time.Duration
	// SuspicionTime is how long a silent node is suspected before it is dead.
	SuspicionTime time.Duration
}

// Client bounds the node's own calls to one kind of server.
type Client struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// HeaderTimeout bounds the wait for an answer's header.
	HeaderTimeout time.Duration
	// ProgressTimeout ends an answer that has sent nothing for so long.
	ProgressTimeout time.Duration
	// IdleTimeout bounds how long an unused connection is kept.
	IdleTimeout time.Duration
	// CallTimeout bounds a short call as a whole, such as a cancel or a load
	// report.
	CallTimeout time.Duration
	// PingInterval is how long a kept connection between nodes may receive nothing
	// before it is pinged. It is zero for calls to others, which are not pinged.
	PingInterval time.Duration
	// MaxConnectionsPerHost bounds the connections to one server.
	MaxConnectionsPerHost int
}

// Requests bounds what a node does for its callers.
type Requests struct {
	// MaxInFlight bounds the requests that the node serves at once.
	MaxInFlight int
	// MaxInFlightPerAccount bounds those of one account, from 1 to MaxInFlight.
	MaxInFlightPerAccount int
	// MaxTimeout bounds all requests, and is the timeout of routes that set none.
	MaxTimeout time.Duration
	// DefaultOutput limits the output of model requests that set no limit.
	DefaultOutput int
	// MaxAttempts bounds the attempts of one model request.
	MaxAttempts int
	// MaxResumes bounds the new connections tried for a stream that broke.
	MaxResumes int
	// Linger is how long a stream whose caller was cut off is kept for the
	// caller to come back.
	Linger time.Duration
	// CancelRetry is the first pause between two tries to cancel an attempt on
	// an engine; CancelGiveUp is when an engine that cannot be reached is taken
	// for gone.
	CancelRetry  time.Duration
	CancelGiveUp time.Duration
	// RetryRate is how many repeats a second a pool may be sent whatever its
	// load, and RetryBurst how many can be saved up.
	RetryRate  int
	RetryBurst int
	// RetryAfter is what callers are told to wait where nothing better is known.
	RetryAfter time.Duration
}

// Placement sets up the dispatcher. Every node should have the same.
type Placement struct {
	// Lease is how long a grant stands without renewal, and Grace how long a
	// lapsed one may be taken over.
	Lease time.Duration
	Grace time.Duration
	// LoadInterval is the time between two load reports of an engine.
	LoadInterval time.Duration
	// FallbackAfter is how long a request waits for an owner that cannot be
	// reached before the node places it alone.
	FallbackAfter time.Duration
	// EnginesPerShard bounds the engines that one owner places for.
	EnginesPerShard int
	// MaxBacklog bounds the releases kept for an owner that cannot be reached.
	MaxBacklog int
}

// Ledger sets up the record of executions. Every node should have the same. The
// first node of a fleet stores KeyWindow, ClockSkew and Shards, and the stored
// values are used from then on.
type Ledger struct {
	// KeyWindow is how long an Idempotency-Key is remembered.
	KeyWindow time.Duration
	// ClockSkew is the largest difference between any two clocks of nodes.
	ClockSkew time.Duration
	// Shards is how many owners share the ledger.
	Shards int
	// CommitInterval is the shortest time between two writes of one page.
	CommitInterval time.Duration
	// MaxKeptAnswerSize bounds the answer that is kept inside a page; a larger one
	// has an object of its own.
	MaxKeptAnswerSize Bytes
}

// Drain sets up the graceful shutdown.
type Drain struct {
	// EntryKeepTime is how long callers may keep the answer of /v1/entries; a
	// leaving node takes requests for as long.
	EntryKeepTime time.Duration
	// FinishTimeout bounds the wait for open streams after that.
	FinishTimeout time.Duration
}

// Log sets up the log.
type Log struct {
	Level logrus.Level
}

// Traces sets up the export of traces.
type Traces struct {
	// Endpoint is the base address of an OTLP/HTTP collector; empty for no export.
	Endpoint string
	// SampleRatio is the share of requests traced, from 0 to 1, for requests
	// that do not come with a sampling decision.
	SampleRatio float64
}
