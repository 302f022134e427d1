// Package placer decides where a model request runs: which prefill engine,
// which decode engine and when. It is pure: state and events in, outcomes out,
// without transport, clock or goroutines.
package placer

import (
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Demand is one request that wants engine memory.
type Demand struct {
	Request identifier.Request
	// Attempt fences: a larger one of the same request replaces a smaller one.
	// It is the Unix time in milliseconds at which the attempt began, so that a
	// caller who comes back through another node gets a larger one.
	Attempt uint64
	Pool    identifier.Pool
	// Route groups requests whose outputs are alike in length; it may be empty.
	Route   identifier.Route
	Rank    identifier.Rank
	Account identifier.Account
	// Node asked and renews the grant; it stands in DataCentre.
	Node       identifier.Node
	DataCentre identifier.DataCentre
	// Prompt is the prompt's length, positive. Limit bounds the output; zero
	// is no bound.
	Prompt identifier.Tokens
	Limit  identifier.Tokens
	// Hint is the caller's estimate of the output; zero is none.
	Hint identifier.Tokens
	// Hold bounds the time in the queue; zero leaves it to Wait alone.
	Hold time.Duration
	// Late tells that the target has been missed already: the caller waits on, and a
	// late answer is better than none.
	Late bool
	// Returning identifies the request when its caller sends it again after a
	// refusal, which gives it another Request; zero is unknown.
	Returning uint64
	// Wait is how much of the first-token target is left; Between is the
	// target between tokens.
	Wait    time.Duration
	Between time.Duration
	// Prefixes are hashes of the prompt's leading blocks, shortest first.
	Prefixes []uint64
	// Fresh demands do not go on with an earlier attempt's stream: the node that
	// asks gave it up.
	Fresh bool
	// Suspect demands were in flight at a crash of an engine. No two of them
	// share an engine, so that a second crash tells which one it was.
	Suspect bool
	// Avoid lists members that this request failed on.
	Avoid []identifier.Member
}

// Placement is a granted demand.
type Placement struct {
	Grant identifier.Grant
	// Prefill is empty where the decode engine reads the prompt itself.
	Prefill identifier.Member
	Decode  identifier.Member
	// Attempt is the attempt that was granted. It is larger than the demand's
	// where an earlier attempt's node had a clock that ran ahead.
	Attempt uint64
	// Stream names the engines' stream: it is the attempt that the grant was
	// first given to. Where it is smaller than Attempt, a later attempt took the
	// grant over and should resume that stream, with Attempt as reader number.
	Stream uint64
	// Pieces is the decode memory that the grant reserves.
	Pieces identifier.Pieces
	// Lease is how long the grant stands unless it is renewed.
	Lease time.Duration
}

// Reason says why a demand was refused.
type Reason string

// The reasons of refusals.
const (
	// NoMember: no engine of a needed role takes work.
	NoMember Reason = "no-member"
	// TooLate: the targets can no longer be met.
	TooLate Reason = "too-late"
	// QueueFull: the queue of the rank is at its limit.
	QueueFull Reason = "queue-full"
	// TooLarge: no engine's memory holds the request.
	TooLarge Reason = "too-large"
	// Superseded: a later attempt of the same request took over.
	Superseded Reason = "superseded"
	// Gone: the node that asked withdrew the demand or is gone.
	Gone Reason = "gone"
)

// Refusal is a demand that is not placed. The request did not run.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	// Cause is what the placer saw when it refused.
	Cause Cause
}

// Cause is what a refusal was decided by.
type Cause struct {
	// Waiting counts the demands without a grant, Engines the decode engines that
	// take work.
	Waiting, Engines int
	// Peak is the lowest part of an engine that would be in use at its fullest
	// moment with the demand; zero where that was not foreseen.
	Peak float64
	// Lacking is what the demand had to wait for when it was last tried.
	Lacking Lack
	// Returned tells that the caller had been refused before.
	Returned bool
}

// Lack is what keeps a demand from being placed.
type Lack string

// What a demand may lack.
const (
	// LackMemory: no decode engine has the memory.
	LackMemory Lack = "decode-memory"
	// LackPrefill: every prefill engine has enough work ahead.
	LackPrefill Lack = "prefill"
	// LackTurn: others of its queue go first.
	LackTurn Lack = "turn"
)

// Outcome answers a demand: exactly one of its fields is set.
type Outcome struct {
	Placement *Placement
	Refusal   *Refusal
}

// Result is what a node reports when it gives a grant back.
type Result struct {
	// Output is how many tokens were generated.
	Output identifier.Tokens
	// Prefilled tells that the prefill ran, Decoded that its result was used.
	Prefilled bool
	Decoded   bool
	// PrefillTook is how long the prefill took; zero is unknown.
	PrefillTook time.Duration
	// Failed names a member that failed the request, or is empty.
	Failed identifier.Member
}
