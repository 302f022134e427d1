// Package recorder keeps the execution ledger: which calls that may not be
// repeated were started, and what they answered. It decides at-most-once
// execution by conditional updates of the platform's objects, so that two
// owners of a shard at once cannot both start a call.
//
// A key's time of issue and hash choose the one object that its entry is in.
// The soft owner of the key's shard collects operations for a short time and
// writes them in one conditional update. docs/LEDGER.md gives the rules.
package recorder

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/storer"
)

// Call is one call that may not be repeated.
type Call struct {
	// Key is a UUIDv7, or any text together with Issued. A key followed by
	// "@" and a node's Binding is run by that incarnation of the node or never.
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
	// Issued is when the caller made the key. It is part of the key's identity
	// and must be the same in every resend. A UUIDv7 carries its own.
	Issued time.Time
	// First tells that the caller vouches for never having sent the key before.
	// Only then does a refusal without the ledger prove that nothing ran.
	First bool
}

// Verdict is the ledger's answer to a claim.
type Verdict string

// The verdicts.
const (
	// Run: the claim is recorded; the call may be sent once.
	Run Verdict = "run"
	// Answered: the call ran; its answer is in Claim.Answer.
	Answered Verdict = "answered"
	// Unkept: the call ran and was answered; the answer was too large to keep.
	Unkept Verdict = "unkept"
	// Running: another attempt started and has not ended; outcome unknown.
	Running Verdict = "running"
	// Lost: another attempt started and will never tell its outcome.
	Lost Verdict = "lost"
	// Mismatch: the key was used for another call; this one did not run.
	Mismatch Verdict = "mismatch"
	// Malformed: the key is too long or has no time of issue; nothing with
	// this key ever runs.
	Malformed Verdict = "malformed"
	// TooOld: the key's time of issue is outside the window; whether it ran is
	// unknown, and it never runs from now on.
	TooOld Verdict = "too-old"
	// Closed: nothing is recorded as run; the call did not run.
	Closed Verdict = "closed"
	// Unknown: the ledger cannot be reached. This attempt did not run, but an
	// earlier sending of the key may have.
	Unknown Verdict = "unknown"
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

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("recorder")

// The error types of the ledger. Test with errorx.IsOfType.
var (
	// BadPage: a stored object cannot be read as a page of the ledger.
	BadPage = Errors.NewType("bad-page")
	// BadKey: a key is too long or has no time of issue.
	BadKey = Errors.NewType("bad-key")
)

// Options sets up a recorder. Zero durations and counts take the defaults.
type Options struct {
	// Self and Incarnation name this process.
	Self        identifier.Node
	Incarnation identifier.Incarnation
	// Store is the platform's object API.
	Store storer.Store
	// View returns the present membership view; never nil.
	View func() *assigner.View
	// Peers carries calls to other nodes' peer addresses.
	Peers http.RoundTripper
	// Log takes this package's events, Scope its metrics.
	Log   *logger.Logger
	Scope tally.Scope
	// Shards, BucketWidth, Window and ClockSkew are the fleet's layout: the
	// first node that runs stores its own, and that goes before the settings of
	// all later ones.
	//
	// Shards is how many owners share the ledger.
	Shards int
	// BucketWidth is how long a time of issue one page covers, a whole number
	// of milliseconds.
	BucketWidth time.Duration
	// Window is how long after its issue a key may be claimed and its answer
	// asked for.
	Window time.Duration
	// ClockSkew is the largest difference between any two clocks of nodes.
	// Pages are deleted ClockSkew after their window has passed, and keys
	// issued further ahead than it are refused.
	ClockSkew time.Duration
	// GroupCommit is the shortest time between two writes of one page.
	GroupCommit time.Duration
	// OutcomeBatchDelay is how long an answer may wait for company before its page
	// is written.
	OutcomeBatchDelay time.Duration
	// CommitTimeout bounds the work on one batch, ForwardTimeout one call to
	// another node.
	CommitTimeout  time.Duration
	ForwardTimeout time.Duration
	// AwaitPollInterval is the time between two looks at a running call.
	AwaitPollInterval time.Duration
	// OutageBackoff is how long claims are refused at once after the store
	// failed a batch.
	OutageBackoff time.Duration
	// DrainTimeout bounds the settling of answers when the node stops.
	DrainTimeout time.Duration
	// MaxPageEntries is the largest number of entries in one object, and
	// InlineAnswer the largest answer body kept inside it, in bytes. Together
	// they keep an object under the platform's megabyte.
	MaxPageEntries int
	InlineAnswer   int
	// MaxStoredAnswerBytes is the largest answer body kept in an object of its own, in
	// bytes; of larger ones only the fact is kept.
	MaxStoredAnswerBytes int
	// MaxPendingAnswerBytes bounds the answer bodies that wait to be kept, in bytes. When
	// the store is out for long, further ones are dropped.
	MaxPendingAnswerBytes int
	// MaxBoundKeys bounds the keys bound to this node that it remembers.
	MaxBoundKeys int
}

// The defaults of Options.
const (
	defaultShards                = 16
	defaultBucketWidth           = time.Second
	defaultCommitInterval        = 150 * time.Millisecond
	defaultOutcomeBatchDelay     = time.Second
	defaultWindow                = 10 * time.Minute
	defaultClockSkew             = 5 * time.Second
	defaultCommitTimeout         = 2 * time.Second
	defaultForwardTimeout        = 3 * time.Second
	defaultAwaitPollInterval     = 200 * time.Millisecond
	defaultOutageBackoff         = 500 * time.Millisecond
	defaultDrainTimeout          = 5 * time.Second
	defaultMaxPageEntries        = 200
	defaultMaxInlineAnswerBytes  = 2 << 10
	defaultMaxStoredAnswerBytes  = 256 << 10
	defaultMaxPendingAnswerBytes = 8 << 20
	defaultMaxBoundKeys          = 8192
)

func (o *Options) applyDefaults() {
	o.Shards = cmp.Or(o.Shards, defaultShards)
	o.BucketWidth = cmp.Or(o.BucketWidth, defaultBucketWidth)
	o.GroupCommit = cmp.Or(o.GroupCommit, defaultCommitInterval)
	o.OutcomeBatchDelay = cmp.Or(o.OutcomeBatchDelay, defaultOutcomeBatchDelay)
	o.Window = cmp.Or(o.Window, defaultWindow)
	o.ClockSkew = cmp.Or(o.ClockSkew, defaultClockSkew)
	o.CommitTimeout = cmp.Or(o.CommitTimeout, defaultCommitTimeout)
	o.ForwardTimeout = cmp.Or(o.ForwardTimeout, defaultForwardTimeout)
	o.AwaitPollInterval = cmp.Or(o.AwaitPollInterval, defaultAwaitPollInterval)
	o.OutageBackoff = cmp.Or(o.OutageBackoff, defaultOutageBackoff)
	o.DrainTimeout = cmp.Or(o.DrainTimeout, defaultDrainTimeout)
	o.MaxPageEntries = cmp.Or(o.MaxPageEntries, defaultMaxPageEntries)
	o.InlineAnswer = cmp.Or(o.InlineAnswer, defaultMaxInlineAnswerBytes)
	o.MaxStoredAnswerBytes = cmp.Or(o.MaxStoredAnswerBytes, defaultMaxStoredAnswerBytes)
	o.MaxPendingAnswerBytes = cmp.Or(o.MaxPendingAnswerBytes, defaultMaxPendingAnswerBytes)
	o.MaxBoundKeys = cmp.Or(o.MaxBoundKeys, defaultMaxBoundKeys)
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Log == nil {
		o.Log = logger.Discard()
	}
}

// Recorder is one node's part of the ledger: it claims for the calls that the
// node took in, and writes the pages of the shards that the node owns.
type Recorder struct {
	options Options
	// operations passes work to the loop of Run, which owns all pages.
	operations chan *operation
	outcomes   *outcomeQueue
	// layout is nil until the store has told it.
	layout  atomic.Pointer[layout]
	bound   *boundLedger
	metrics metrics
}

// New returns a recorder. Claims wait until Run runs.
func New(options Options) *Recorder {
	options.applyDefaults()
	r := &Recorder{
		options:    options,
		operations: make(chan *operation),
		bound:      newBoundLedger(options),
		metrics:    newMetrics(options.Scope),
	}
	r.outcomes = newOutcomeQueue(r)
	return r
}

// Claim asks to run a call. Only Run allows sending it, once.
func (r *Recorder) Claim(ctx context.Context, call Call) Claim {
	claim := r.claim(ctx, call)
	r.metrics.countClaim(claim.Verdict)
	return claim
}

func (r *Recorder) claim(ctx context.Context, call Call) Claim {
	key, err := parseKey(call.Key, call.Issued)
	if err != nil {
		return Claim{Verdict: Malformed}
	}
	if key.bound {
		return r.claimBound(ctx, key, call)
	}
	layout, known := r.loadLayout(ctx)
	if !known {
		return r.undecidedClaim(call)
	}
	if !layout.admits(key.issued) {
		return Claim{Verdict: TooOld}
	}
	if answer, held := r.outcomes.pendingAnswer(call); held {
		return Claim{Verdict: Answered, Answer: answer}
	}
	op := newOperation(opClaim, key, call, nil)
	result := r.apply(ctx, op)
	if result.claim.Verdict == Unknown {
		if result.uncertain {
			// The claim may be in the ledger although it will never run.
			r.outcomes.add(newOperation(opWithdraw, key, call, nil))
		}
		return r.undecidedClaim(call)
	}
	return r.withStoredAnswer(ctx, key, result)
}

// undecidedClaim answers a claim that was not decided by the ledger.
func (r *Recorder) undecidedClaim(call Call) Claim {
	if call.First {
		return Claim{Verdict: Closed}
	}
	return Claim{Verdict: Unknown}
}

// Await claims a call that another attempt runs: it waits for that attempt's
// answer, and claims the call if that attempt proves not to have run.
func (r *Recorder) Await(ctx context.Context, call Call) Claim {
	for {
		claim := r.claim(ctx, call)
		if claim.Verdict != Running {
			r.metrics.countClaim(claim.Verdict)
			return claim
		}
		select {
		case <-ctx.Done():
			return claim
		case <-time.After(r.options.AwaitPollInterval):
		}
	}
}

// Settle records the end of a call that Claim allowed to run: its answer, or
// nil where it is proven that it did not run. It returns at once; the record
// is retried until it is kept or the key's window has passed.
func (r *Recorder) Settle(_ context.Context, call Call, answer *Answer) {
	if answer == nil {
		r.enqueueOutcome(opWithdraw, call, nil)
		return
	}
	r.enqueueOutcome(opAnswer, call, answer)
}

// Abandon records that a call that Claim allowed to run was sent and that its
// outcome will never be known, so that resends need not wait for it. Like
// Settle it returns at once.
func (r *Recorder) Abandon(_ context.Context, call Call) {
	r.enqueueOutcome(opAbandon, call, nil)
}

func (r *Recorder) enqueueOutcome(kind operationKind, call Call, answer *Answer) {
	key, err := parseKey(call.Key, call.Issued)
	if err != nil {
		return
	}
	if key.bound {
		r.bound.applyOutcome(kind, key, call, answer, r.fitsInline(answer))
		if kind != opAnswer {
			return
		}
		kind = opAnswerBound
	}
	r.outcomes.add(newOperation(kind, key, call, answer))
}
