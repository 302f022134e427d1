package router

import (
	"fmt"
	"time"
)

// Outcome states whether an unanswered request may have run.
type Outcome string

// Outcomes of a request without an answer.
const (
	// NotRun: the request did not run and may be sent again.
	NotRun Outcome = "not-run"
	// Unknown: the request may have run.
	Unknown Outcome = "unknown"
)

// Reason is why a request was not answered.
type Reason string

// Reasons for a refusal. The placer's own reasons are used unchanged as well.
const (
	NotJoined       Reason = "not-joined"
	NoConfiguration Reason = "no-configuration"
	NoRoute         Reason = "no-route"
	Malformed       Reason = "malformed"
	TooLarge        Reason = "too-large"
	HeaderTooLarge  Reason = "header-too-large"
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
	Unauthenticated Reason = "unauthenticated"
	OverQuota       Reason = "over-quota"
	Internal        Reason = "internal"
)

// Refusal is what the caller gets in place of an answer. It is a value rather than an
// error because the caller receives all its fields.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	Message string
	// RetryAfter is how long to wait before a resend; zero means no advice.
	RetryAfter time.Duration
}

func notRunRefusal(reason Reason, retryAfter time.Duration, format string, a ...any) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, RetryAfter: retryAfter, Message: fmt.Sprintf(format, a...)}
}

func unknownRefusal(reason Reason, format string, a ...any) *Refusal {
	return &Refusal{Outcome: Unknown, Reason: reason, Message: fmt.Sprintf(format, a...)}
}
