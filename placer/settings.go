package placer

import (
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Settings are the limits of one shard. Zero fields take their defaults.
type Settings struct {
	// Issuer makes the ids of grants unique in the fleet.
	Issuer string
	// PieceTokens is how many tokens of KV cache a piece holds.
	PieceTokens identifier.Tokens
	// KVBytesPerToken sizes transfers.
	KVBytesPerToken int64
	// LesserShare is the least share of decode memory, from 0 to 1, that
	// lesser work keeps while it has demand.
	LesserShare float64
	// QueueLimit bounds the waiting demands of each rank.
	QueueLimit int
	// Lease is how long a grant stands without a renewal.
	Lease time.Duration
	// OrphanGrace is how long a lapsed grant waits for a later attempt of its
	// request before it is cancelled on the engines.
	OrphanGrace time.Duration
	// CancelRetry is the time between two orders to cancel the same request.
	CancelRetry time.Duration
	// Rebuild is how long after its start a placer grants only what engines
	// report as free.
	Rebuild time.Duration
	// FailureHold keeps an engine that failed a request out of new grants.
	FailureHold time.Duration
	// PrefillAhead bounds the prefill work granted ahead to one engine.
	PrefillAhead time.Duration
	// CrossCost is added to a transfer between data centres.
	CrossCost time.Duration
	// Lookahead is how many demands in a row may be passed over because they
	// fit nowhere, for a smaller one behind them.
	Lookahead int
	// OutputQuantile is the quantile of finished outputs that memory is
	// reserved for.
	OutputQuantile float64
}

// withDefaults fills the zero fields.
func (s Settings) withDefaults() Settings {
	orDefault(&s.PieceTokens, 2000)
	orDefault(&s.KVBytesPerToken, 131_072)
	orDefault(&s.QueueLimit, 1000)
	orDefault(&s.Lease, 3*time.Second)
	orDefault(&s.OrphanGrace, 2*time.Second)
	orDefault(&s.CancelRetry, time.Second)
	orDefault(&s.FailureHold, 2*time.Second)
	orDefault(&s.PrefillAhead, 100*time.Millisecond)
	orDefault(&s.CrossCost, 2*time.Millisecond)
	orDefault(&s.Lookahead, 4)
	orDefault(&s.OutputQuantile, 0.9)
	return s
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
