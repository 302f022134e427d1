package placer

import (
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Element is a part of the policy that can be left out, to measure its worth.
type Element uint16

// The elements of the policy.
const (
	// JointGrant reserves decode memory before the prefill starts.
	JointGrant Element = 1 << iota
	// EarlyRefusal refuses demands whose queue will not drain in time.
	EarlyRefusal
	// Pause stops lesser streams for urgent demands about to be late.
	Pause
	// Affinity prefers prefill engines that cache a prompt's beginning.
	Affinity
	// LinkBudget plans the transfers on both engines' links.
	LinkBudget
	// Fairness puts accounts beyond their share behind the others.
	Fairness
	// ShortPrefill keeps long lesser prefills off some prefill engines.
	ShortPrefill
	// Headroom keeps memory free of lesser work for urgent bursts.
	Headroom
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
	// LinkAhead bounds how long a KV cache may wait for its link.
	LinkAhead time.Duration
	// CrossCost is the delay for which another data centre than the entry
	// node's is taken.
	CrossCost time.Duration
	// Lookahead is how many demands that fit nowhere are tried before smaller
	// ones behind them have to wait; one lets nothing pass.
	Lookahead int
	// OutputQuantile is the quantile of finished outputs that memory is
	// reserved for.
	OutputQuantile float64
	// PauseLead is how long before its last useful moment an urgent demand
	// without memory stops lesser streams.
	PauseLead time.Duration
	// PauseTokens bounds the tokens to compute once more for one pause.
	PauseTokens identifier.Tokens
	// LongPrefill is the part of the time that urgent demands can wait from
	// which on a lesser prefill is long: such ones leave some prefill engines to
	// shorter work while urgent work comes in.
	LongPrefill float64
	// SizeDelay sets a demand back in its queue for each piece that it needs.
	SizeDelay time.Duration
	// RefuseBeyond is how many times the time left a demand's expected wait
	// must be for an early refusal.
	RefuseBeyond float64
	// Headroom is how long the memory kept free of lesser work lasts for urgent
	// work at its present rate.
	Headroom time.Duration
	// Foresight grants memory by its foreseen use instead of by reservation.
	Foresight bool
	// Caution is how many spreads above its mean the foreseen use has to fit, and
	// SlotSlack how many requests more than its slots an engine may be granted,
	// which it lets in as others end.
	Caution   float64
	SlotSlack float64
	// RoleChange is how long an engine takes to change its role; zero engines keep
	// theirs.
	RoleChange time.Duration
	// DirectRate is the part of a prefill engine's rate at which a decode engine reads
	// prompts itself; zero ones do not. EventTokens is how many tokens a stream's event
	// holds.
	DirectRate  float64
	EventTokens identifier.Tokens
	// Without leaves elements out.
	Without Element
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
	orDefault(&s.LinkAhead, 100*time.Millisecond)
	orDefault(&s.CrossCost, 2*time.Millisecond)
	orDefault(&s.Lookahead, 16)
	orDefault(&s.OutputQuantile, 0.75)
	orDefault(&s.SizeDelay, 500*time.Millisecond)
	orDefault(&s.RefuseBeyond, 3)
	orDefault(&s.Headroom, 750*time.Millisecond)
	orDefault(&s.Caution, 2)
	orDefault(&s.SlotSlack, 0.5)
	orDefault(&s.PauseLead, 150*time.Millisecond)
	orDefault(&s.PauseTokens, 2250)
	orDefault(&s.LongPrefill, 0.3)
	return s
}

// enabled tells whether an element is part of the policy.
func (s *Settings) enabled(element Element) bool {
	return s.Without&element == 0
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
