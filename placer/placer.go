// Package placer decides where and when a model request runs: it queues demands for
// engine memory, and grants each one a prefill engine and a decode engine, or refuses it.
// It has no transport, clock or goroutines: callers pass in events and the current time,
// and collect the decisions.
//
// Demands wait in one queue for each rank. Urgent demands go first, but every other rank
// keeps a minimum share of the decode memory. In a queue, accounts within their fair share go
// first, then earlier deadlines. A grant is a lease that its node renews, and a later
// attempt of the same request can take it over.
package placer

import (
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Demand is one request that needs engine memory.
type Demand struct {
	Request identifier.Request
	// Attempt is the fencing number of the request: a larger attempt replaces a smaller
	// one. It is the Unix time in milliseconds at which the attempt began, so that a
	// caller who retries through another node gets a larger number.
	Attempt uint64
	Pool    identifier.Pool
	// Route groups requests with outputs of similar length; it may be empty.
	Route   identifier.Route
	Rank    identifier.Rank
	Account identifier.Account
	// Node submitted the demand and renews its grant.
	Node identifier.Node
	// DataCentre is where Node runs.
	DataCentre identifier.DataCentre
	// Prompt is the length of the prompt. It must be positive.
	Prompt identifier.Tokens
	// MaxOutput is the largest output that the caller accepts; zero means no limit.
	MaxOutput identifier.Tokens
	// OutputHint is the caller's estimate of the output length; zero means no estimate.
	OutputHint identifier.Tokens
	// QueueTimeout limits the time in the queue; zero means only FirstTokenBudget does.
	QueueTimeout time.Duration
	// TimeLeft is how long the caller still waits for the complete answer; zero means unknown.
	TimeLeft time.Duration
	// FirstTokenTimeLeft is how long the caller still waits for the first token; zero means unknown.
	// It is longer than FirstTokenBudget, after which the answer is late.
	FirstTokenTimeLeft time.Duration
	// TargetMissed marks a demand that already missed its first-token target while its
	// caller still waits. A late answer is better than none.
	TargetMissed bool
	// RetryKey identifies the caller's request across retries after a refusal, each of
	// which has a new Request. Zero means unknown.
	RetryKey uint64
	// FirstTokenBudget is the time left until the first token is due.
	FirstTokenBudget time.Duration
	// MaxTokenInterval is the target for the time between two tokens; zero means no
	// target.
	MaxTokenInterval time.Duration
	// Prefixes are hashes of the prompt's leading blocks, the shortest prefix first.
	Prefixes []uint64
	// NoResume demands must not resume the stream of an earlier attempt, because the node
	// that submits them has given that stream up.
	NoResume bool
	// Suspect demands were in flight when an engine crashed. No two of them share an
	// engine, so that a second crash identifies the demand that caused it.
	Suspect bool
	// Avoid lists the members on which this request already failed.
	Avoid []identifier.Member
}

// Placement describes the grant that a demand received.
type Placement struct {
	Grant identifier.Grant
	// Prefill is empty if the decode engine reads the prompt itself.
	Prefill identifier.Member
	Decode  identifier.Member
	// Attempt is the granted attempt. It is larger than the demand's attempt if the
	// request's earlier attempt came from a node whose clock was ahead.
	Attempt uint64
	// Stream identifies the stream on the engines by the attempt that first received the
	// grant. If it is smaller than Attempt, this attempt took over the grant and should
	// resume that stream, with Attempt as its reader number.
	Stream uint64
	// Pieces is the decode memory that the grant reserves.
	Pieces identifier.Pieces
	// Lease is how long the grant is valid without a renewal.
	Lease time.Duration
	// Alone means that the node placed the demand without the owner of the shard, which
	// keeps to the engines' rates.
	Alone bool
}

// Reason tells why a demand was refused.
type Reason string

// The values of Reason.
const (
	// NoMember means that no engine of a required role accepts the demand.
	NoMember Reason = "no-member"
	// TooLate means that the first-token target can no longer be met.
	TooLate Reason = "too-late"
	// QueueFull means that the queue of the demand's rank has reached its limit.
	QueueFull Reason = "queue-full"
	// TooLarge means that the request fits into no engine's memory.
	TooLarge Reason = "too-large"
	// Superseded means that a later attempt of the same request took over.
	Superseded Reason = "superseded"
	// SubmitterGone means that the submitting node withdrew the demand or is down.
	SubmitterGone Reason = "gone"
)

// Refusal tells why a demand was not placed. The request did not run.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	// Cause describes the state of the shard at the refusal.
	Cause Cause
}

// Cause is the state of the shard that led to a refusal.
type Cause struct {
	// Waiting is the number of queued demands of all ranks.
	// Engines is the number of decode engines that are neither leaving nor removed.
	Waiting, Engines int
	// LowestPeakUse is the lowest forecast peak use among the decode engines, as a
	// fraction of an engine's capacity. Each engine's forecast includes the last demand
	// that was tried on it. Zero means that there was no forecast.
	LowestPeakUse float64
	// BlockedBy is what blocked the demand at its last try.
	BlockedBy Blocker
	// IsRetry reports whether the caller had been refused before.
	IsRetry bool
	// BeyondShare reports whether the demand's account was beyond its share of the memory
	// when the demand came, so that the demand waited behind those of other accounts.
	BeyondShare bool
}

// Blocker is what keeps a demand from being placed.
type Blocker string

// The values of Blocker.
const (
	// BlockerMemory means that no decode engine has enough free memory.
	BlockerMemory Blocker = "decode-memory"
	// BlockerPrefill means that no prefill engine can take the prompt soon enough.
	BlockerPrefill Blocker = "prefill"
	// BlockerTurn means that other demands go first or too many long lesser prefills run.
	BlockerTurn Blocker = "turn"
)

// Outcome is the answer to a demand: exactly one field is set.
type Outcome struct {
	Placement *Placement
	Refusal   *Refusal
}

// Result is what a node reports when it releases a grant.
type Result struct {
	// Output is the number of generated tokens.
	Output identifier.Tokens
	// Prefilled reports whether the prefill ran.
	Prefilled bool
	// Decoded reports whether the decode engine used the prefill's result.
	Decoded bool
	// PrefillTime is how long the prefill took; zero means unknown.
	PrefillTime time.Duration
	// FailedMember is the member that failed the request, or empty.
	FailedMember identifier.Member
	// PrefillEnding and DecodeEnding tell how the parts of the engines ended.
	PrefillEnding Ending
	DecodeEnding  Ending
}
