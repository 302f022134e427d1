package placer

import (
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Feature is a part of the policy that can be disabled to measure its benefit.
type Feature uint16

// The features of the policy.
const (
	// JointGrant reserves decode memory before the prefill starts.
	JointGrant Feature = 1 << iota
	// EarlyRefusal refuses demands whose expected wait is too long for their target.
	EarlyRefusal
	// Preemption preempts lesser streams for urgent demands that are about to be late.
	Preemption
	// PrefixAffinity prefers prefill engines that cache the beginning of the prompt.
	PrefixAffinity
	// LinkBudget plans KV cache transfers on the links of the prefill and decode engines.
	LinkBudget
	// Fairness queues accounts that exceed their share behind all other accounts.
	Fairness
	// LongPrefillLimit keeps some prefill engines free of long lesser prefills.
	LongPrefillLimit
	// Headroom keeps memory free of lesser work for bursts of urgent work.
	Headroom
)

// Settings are the limits of one shard. Most zero fields take a default.
type Settings struct {
	// Issuer is the prefix of grant ids. It must be unique in the fleet.
	Issuer string
	// PieceTokens is the number of KV cache tokens in one piece of engine memory.
	PieceTokens identifier.Tokens
	// KVBytesPerToken is the size of the KV cache of one token, for planning transfers.
	KVBytesPerToken int64
	// LesserShare is the minimum share of decode memory, from 0 to 1, that each rank below
	// urgent gets while it has demand.
	LesserShare float64
	// QueueLimit is the largest number of queued demands in each rank.
	QueueLimit int
	// Lease is how long a grant is valid without a renewal.
	Lease time.Duration
	// OrphanGrace is how long an expired grant stays available to a later attempt of its
	// request before it is cancelled on the engines.
	OrphanGrace time.Duration
	// CancelRetry is the time between two cancel orders for the same request.
	CancelRetry time.Duration
	// RebuildTime is how long after its start a placer grants only memory that the
	// engines report as free, because grants of an earlier owner may still be unknown.
	RebuildTime time.Duration
	// FailureCooldown is how long an engine gets no new grants after it failed a request.
	FailureCooldown time.Duration
	// MaxPrefillWait is the longest that a granted prefill may wait for its engine. A
	// demand whose prefill would have to wait longer is not granted yet.
	MaxPrefillWait time.Duration
	// MaxLinkWait is the longest that a granted prefill's KV cache may wait for the link.
	// A demand whose KV cache would have to wait longer is not granted yet.
	MaxLinkWait time.Duration
	// CrossDataCentrePenalty is how much sooner a prefill engine outside the submitting
	// node's data centre must have the prompt ready to be preferred.
	CrossDataCentrePenalty time.Duration
	// Lookahead is how many blocked demands of a queue are tried before the demands
	// behind them have to wait. One keeps strict queue order.
	Lookahead int
	// OutputQuantile is the quantile of output lengths for which memory is reserved.
	OutputQuantile float64
	// PreemptionLead is how long before an urgent demand's latest start lesser streams
	// may be preempted to free memory for it.
	PreemptionLead time.Duration
	// MaxRecomputedTokens limits how many tokens have to be recomputed because of one
	// preemption.
	MaxRecomputedTokens identifier.Tokens
	// LongPrefillRatio is a fraction of the average time that urgent demands can wait. A
	// lesser prefill that takes longer than that counts as long. While urgent work
	// arrives, some prefill engines take no long prefills.
	LongPrefillRatio float64
	// DelayPerPiece is added to a demand's deadline for each piece of memory that it
	// needs, which moves large demands back in the queue.
	DelayPerPiece time.Duration
	// RefusalWaitRatio limits the expected wait of a demand, as a multiple of its
	// FirstTokenBudget. A demand that would wait longer is refused early.
	RefusalWaitRatio float64
	// HeadroomTime sets how much memory is kept free of lesser work: as much as urgent
	// work is granted in this time at its present rate.
	HeadroomTime time.Duration
	// UseForecast grants memory by forecast use of the engines instead of by reservation.
	UseForecast bool
	// ForecastDeviations is how many standard deviations are added to the mean of the
	// forecast use when a demand is checked for fit.
	ForecastDeviations float64
	// SlotOvercommit is the number of requests that an engine may be granted beyond its
	// slots. The engine admits them as other requests end.
	SlotOvercommit float64
	// RoleChangeTime is how long a change of an engine's role takes; zero disables role
	// changes.
	RoleChangeTime time.Duration
	// LocalPrefillRatio is a decode engine's rate for reading prompts itself, as a
	// fraction of its configured prefill rate; zero disables local prefills.
	LocalPrefillRatio float64
	// TokensPerStreamEvent is the number of tokens in one event of a stream.
	TokensPerStreamEvent identifier.Tokens
	// DisabledFeatures is the set of features that the policy leaves out.
	DisabledFeatures Feature
}

func (s Settings) withDefaults() Settings {
	orDefault(&s.PieceTokens, 2000)
	orDefault(&s.KVBytesPerToken, 131_072)
	orDefault(&s.QueueLimit, 1000)
	orDefault(&s.Lease, 3*time.Second)
	orDefault(&s.OrphanGrace, 2*time.Second)
	orDefault(&s.CancelRetry, time.Second)
	orDefault(&s.FailureCooldown, 2*time.Second)
	orDefault(&s.MaxPrefillWait, 100*time.Millisecond)
	orDefault(&s.MaxLinkWait, 100*time.Millisecond)
	orDefault(&s.CrossDataCentrePenalty, 2*time.Millisecond)
	orDefault(&s.Lookahead, 16)
	orDefault(&s.OutputQuantile, 0.75)
	orDefault(&s.DelayPerPiece, 500*time.Millisecond)
	orDefault(&s.RefusalWaitRatio, 3)
	orDefault(&s.HeadroomTime, 750*time.Millisecond)
	orDefault(&s.ForecastDeviations, 2)
	orDefault(&s.SlotOvercommit, 0.5)
	orDefault(&s.PreemptionLead, 150*time.Millisecond)
	orDefault(&s.MaxRecomputedTokens, 2250)
	orDefault(&s.LongPrefillRatio, 0.3)
	return s
}

// enabled reports whether a feature is part of the policy.
func (s *Settings) enabled(feature Feature) bool {
	return s.DisabledFeatures&feature == 0
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
