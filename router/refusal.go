package router

import (
	"fmt"
	"time"
)

// Outcome is what is known of a request that has no answer.
type Outcome string

// The outcomes besides an answer.
const (
	// NotRun: the request did not run and may be sent again.
	NotRun Outcome = "not-run"
	// Unknown: the request may have run.
	Unknown Outcome = "unknown"
)

// Reason says why a request has no answer.
type Reason string

// The reasons of refusals. Placement's own reasons are passed on as they are.
const (
	NotJoined       Reason = "not-joined"
	NoConfiguration Reason = "no-configuration"
	NoRoute         Reason = "no-route"
	Malformed       Reason = "malformed"
	TooLarge        Reason = "too-large"
	KeyMissing      Reason = "idempotency-key-missing"
	KeyReused       Reason = "idempotency-key-reused"
	KeyTooOld       Reason = "idempotency-key-too-old"
	LedgerClosed    Reason = "ledger-unavailable"
	Quarantined     Reason = "quarantined"
	Superseded      Reason = "superseded"
	Exhausted       Reason = "attempts-exhausted"
	RetryBudget     Reason = "retry-budget-exhausted"
	BackendDown     Reason = "backend-server-unavailable"
	AnswerLost      Reason = "answer-lost"
	StreamLost      Reason = "stream-lost"
	TimedOut        Reason = "timeout"
	Cancelled       Reason = "cancelled"
	Overloaded      Reason = "overloaded"
	AccountLimit    Reason = "account-limit"
	Leaving         Reason = "leaving"
)

// Refusal is a request without an answer. It is a value, not an error: the
// caller is told all of it.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	Message string
	// RetryAfter is when sending again makes sense, or zero.
	RetryAfter time.Duration
}

func notRun(reason Reason, retryAfter time.Duration, format string, a ...any) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, RetryAfter: retryAfter, Message: fmt.Sprintf(format, a...)}
}

func unknown(reason Reason, format string, a ...any) *Refusal {
	return &Refusal{Outcome: Unknown, Reason: reason, Message: fmt.Sprintf(format, a...)}
}
