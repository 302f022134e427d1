// Package recorder keeps the execution ledger: which calls that may not be
// repeated were started, and what they answered. It decides at-most-once
// execution by conditional updates of the platform's objects, so that two
// owners of a shard at once cannot both start a call.
package recorder

import (
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Call is one call that may not be repeated.
type Call struct {
	Key identifier.Key
	// Fingerprint is a hash of the call's route, method, path and body: a key
	// used again for another call is refused.
	Fingerprint uint64
	// Attempt is unique to this claim, so that a lost answer can be settled by
	// reading the ledger back.
	Attempt identifier.Attempt
	// Node and Incarnation own the attempt.
	Node        identifier.Node
	Incarnation identifier.Incarnation
	// Issued is when the caller made the key.
	Issued time.Time
}

// Verdict is the ledger's answer to a claim.
type Verdict string

// The verdicts.
const (
	// Run: the claim is recorded; the call may be sent once.
	Run Verdict = "run"
	// Answered: the call ran; its answer is in Claim.Answer.
	Answered Verdict = "answered"
	// Running: another attempt started and has not ended; outcome unknown.
	Running Verdict = "running"
	// Lost: another attempt started and will never tell its outcome.
	Lost Verdict = "lost"
	// Mismatch: the key was used for another call; this one did not run.
	Mismatch Verdict = "mismatch"
	// TooOld: the key is older than the window; whether it ran is unknown.
	TooOld Verdict = "too-old"
	// Closed: the ledger cannot be reached and nothing was recorded; the call
	// did not run.
	Closed Verdict = "closed"
)

// Claim answers a call.
type Claim struct {
	Verdict Verdict
	// Answer is set when Verdict is Answered.
	Answer *Answer
}

// Answer is a backend server's answer as it is kept for resends.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}
