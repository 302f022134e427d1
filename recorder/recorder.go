// Package recorder implements the execution ledger. Of the calls that must not run
// twice, the ledger records which were started and what they answered. Conditional
// updates of the platform's objects enforce at-most-once execution: even two nodes
// that both act as the owner of a shard cannot both start a call.
//
// A key's time of issue and hash determine the object that stores its entry. The
// owner of the key's shard batches operations for a short time and writes them in
// one conditional update. See docs/LEDGER.md for the protocol.
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

// Call is one call that must not run twice.
type Call struct {
	// Key is a UUIDv7, or any text with the time of issue in Issued. A key that ends
	// in "@node.incarnation" is bound: only that incarnation of the node may run it.
	Key identifier.Key
	// Fingerprint is a hash of the call's route, method, path and body. A claim
	// with the same key and another fingerprint is refused.
	Fingerprint uint64
	// Attempt is unique to this claim, so that a node that lost the reply to a
	// claim can read from the ledger whether it was recorded.
	Attempt identifier.Attempt
	// Node is the node that makes the attempt.
	Node identifier.Node
	// Incarnation is the incarnation of Node that makes the attempt.
	Incarnation identifier.Incarnation
	// Issued is when the caller made the key. It is part of the key's identity
	// and must be the same in every resend. It is ignored for a UUIDv7.
	Issued time.Time
	// First is set if the caller states that it has never sent the key before.
	// Only then can NotRun be reported without the ledger: no earlier send can have run.
	First bool
}

// Verdict is the ledger's decision on a claim.
type Verdict string

// The verdicts.
const (
	// Run means that the claim is recorded and the call may be sent once.
	Run Verdict = "run"
	// Answered means that the call ran and the claim result holds its answer.
	Answered Verdict = "answered"
	// AnswerDiscarded means that the call ran and was answered, but its answer was not
	// kept, in most cases because it was too large.
	AnswerDiscarded Verdict = "unkept"
	// Running means that another attempt started and has not ended.
	Running Verdict = "running"
	// Lost means that another attempt started and its outcome will never be known.
	Lost Verdict = "lost"
	// Mismatch means that the key was used for another call; this one did not run.
	Mismatch Verdict = "mismatch"
	// Malformed means that the key is empty, too long or has no time of issue. No
	// call with this key ever runs.
	Malformed Verdict = "malformed"
	// TooOld means that the key's time of issue is outside the window. The call
	// may have run before; it never runs from now on.
	TooOld Verdict = "too-old"
	// NotRun means that the call did not run, neither now nor in an earlier attempt.
	NotRun Verdict = "closed"
	// Unknown means that the ledger cannot be reached. This attempt did not run,
	// but an earlier send of the key may have run.
	Unknown Verdict = "unknown"
)

// ClaimResult is the ledger's reply to a claim.
type ClaimResult struct {
	Verdict Verdict
	// Answer is set only when Verdict is Answered.
	Answer *Answer
}

// Answer is a backend server's answer, kept to be returned to resends.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("recorder")

// The error types of the ledger. Test with errorx.IsOfType.
var (
	// BadPage means that a stored object of the ledger cannot be decoded or encoded.
	BadPage = Errors.NewType("bad-page")
	// BadKey means that a key is empty, too long or has no time of issue.
	BadKey = Errors.NewType("bad-key")
)

// Options configures a Recorder. Zero durations and counts take the defaults.
type Options struct {
	Self identifier.Node
	// Incarnation is this process's incarnation of the node.
	Incarnation identifier.Incarnation
	// Store is the platform's object API.
	Store storer.Store
	// View returns the current membership view, never nil.
	View func() *assigner.View
	// Peers carries requests to other nodes' peer addresses.
	Peers http.RoundTripper
	// Log receives this package's events.
	Log *logger.Logger
	// Scope receives this package's metrics.
	Scope tally.Scope
	// Shards is the number of shards, each of which has its own owner. Shards,
	// BucketWidth, Window and ClockSkew form the fleet's layout: the first node to
	// run stores its values, and all later nodes use them instead of their settings.
	Shards int
	// BucketWidth is the range of issue times that one page covers, a whole
	// number of milliseconds.
	BucketWidth time.Duration
	// Window is how long after its issue a key can be claimed and its answer read.
	Window time.Duration
	// ClockSkew is the largest difference between the clocks of any two nodes.
	// Pages are deleted ClockSkew after their window has passed, and keys issued
	// more than ClockSkew in the future are refused.
	ClockSkew time.Duration
	// CommitInterval is the shortest time between two writes of one page.
	CommitInterval time.Duration
	// OutcomeBatchDelay is how long an outcome may wait to be batched.
	OutcomeBatchDelay time.Duration
	// CommitTimeout bounds the commit of one batch, and the first read of the layout.
	CommitTimeout time.Duration
	// ForwardTimeout bounds one request to another node.
	ForwardTimeout time.Duration
	// AwaitPollInterval is the time between two claims that Await makes of a call.
	AwaitPollInterval time.Duration
	// OutageBackoff is how long operations fail after the store failed a batch.
	OutageBackoff time.Duration
	// DrainTimeout bounds the recording of pending outcomes when the node stops.
	DrainTimeout time.Duration
	// MaxPageEntries is the largest number of entries in one object. Together with
	// MaxInlineAnswerBytes it keeps an object below the platform's limit of 1 MB.
	MaxPageEntries int
	// MaxInlineAnswerBytes is the largest answer body kept in a page, in bytes.
	MaxInlineAnswerBytes int
	// MaxStoredAnswerBytes is the largest answer body kept in an object of its own.
	// If a body is larger, the ledger records only that the call was answered.
	MaxStoredAnswerBytes int
	// MaxPendingAnswerBytes bounds the total size of the answer bodies that wait to
	// be recorded. Answers that exceed it, as in a long store outage, are discarded.
	MaxPendingAnswerBytes int
	// MaxBoundKeys bounds the keys bound to this node that it keeps in memory.
	MaxBoundKeys int
}

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
	o.CommitInterval = cmp.Or(o.CommitInterval, defaultCommitInterval)
	o.OutcomeBatchDelay = cmp.Or(o.OutcomeBatchDelay, defaultOutcomeBatchDelay)
	o.Window = cmp.Or(o.Window, defaultWindow)
	o.ClockSkew = cmp.Or(o.ClockSkew, defaultClockSkew)
	o.CommitTimeout = cmp.Or(o.CommitTimeout, defaultCommitTimeout)
	o.ForwardTimeout = cmp.Or(o.ForwardTimeout, defaultForwardTimeout)
	o.AwaitPollInterval = cmp.Or(o.AwaitPollInterval, defaultAwaitPollInterval)
	o.OutageBackoff = cmp.Or(o.OutageBackoff, defaultOutageBackoff)
	o.DrainTimeout = cmp.Or(o.DrainTimeout, defaultDrainTimeout)
	o.MaxPageEntries = cmp.Or(o.MaxPageEntries, defaultMaxPageEntries)
	o.MaxInlineAnswerBytes = cmp.Or(o.MaxInlineAnswerBytes, defaultMaxInlineAnswerBytes)
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

// Recorder is one node's part of the ledger. It claims the calls that the node
// received, and writes the pages of the shards that the node owns.
type Recorder struct {
	options Options
	// operations passes operations to the commit loop, which applies them to pages.
	operations chan *operation
	outcomes   *outcomeQueue
	// layout is nil until it has been read from the store.
	layout  atomic.Pointer[layout]
	bound   *boundLedger
	metrics metrics
}

// New returns a Recorder. Claims that need the store block until Run is called.
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

// Claim asks for permission to run a call once. Only the verdict Run grants it.
func (r *Recorder) Claim(ctx context.Context, call Call) ClaimResult {
	claim := r.claim(ctx, call)
	r.metrics.countClaim(claim.Verdict)
	return claim
}

func (r *Recorder) claim(ctx context.Context, call Call) ClaimResult {
	key, err := parseKey(call.Key, call.Issued)
	if err != nil {
		return ClaimResult{Verdict: Malformed}
	}
	if key.bound {
		return r.claimBound(ctx, key, call)
	}
	layout, known := r.loadLayout(ctx)
	if !known {
		return r.undecidedClaim(call)
	}
	if !layout.inWindow(key.issued) {
		return ClaimResult{Verdict: TooOld}
	}
	if answer, held := r.outcomes.pendingAnswer(call); held {
		return ClaimResult{Verdict: Answered, Answer: answer}
	}
	op := newOperation(opClaim, key, call, nil)
	result := r.apply(ctx, op)
	if result.claim.Verdict == Unknown {
		if result.uncertain {
			// The claim may be recorded although its call does not run: withdraw it.
			r.outcomes.add(newOperation(opWithdraw, key, call, nil))
		}
		return r.undecidedClaim(call)
	}
	return r.withStoredAnswer(ctx, key, result)
}

// undecidedClaim returns the reply to a claim that the ledger did not decide.
func (r *Recorder) undecidedClaim(call Call) ClaimResult {
	if call.First {
		return ClaimResult{Verdict: NotRun}
	}
	return ClaimResult{Verdict: Unknown}
}

// Await claims a call. While another attempt is running, it claims the call again
// until that attempt or ctx ends. It returns Run if the other attempt did not run.
func (r *Recorder) Await(ctx context.Context, call Call) ClaimResult {
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

// Settle queues the outcome of a call that Claim allowed to run: its answer, or nil
// if it is certain that the call did not run. It returns at once. The write is
// retried until it succeeds, the key's window has passed or the node stops.
func (r *Recorder) Settle(_ context.Context, call Call, answer *Answer) {
	if answer == nil {
		r.enqueueOutcome(opWithdraw, call, nil)
		return
	}
	r.enqueueOutcome(opAnswer, call, answer)
}

// Abandon queues the outcome of a call that Claim allowed to run and that was sent, but
// whose answer will never be known. Resends get Lost and do not wait. It returns at once.
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
