package limiter

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/joomcode/errorx"
)

// HedgeOptions configures one hedged call, which must be idempotent.
type HedgeOptions[T any] struct {
	// Send makes one try. Try 0 is the first; try 1 must use another connection, and
	// another backend server if there is one.
	Send func(ctx context.Context, try int) (T, error)
	// Discard releases the answer of the slower try. It may be nil.
	Discard func(answer T)
	// Unsent reports whether an error proves that the try has reached no back end. Such a try
	// costs nothing of the budget. Unsent may be nil.
	Unsent func(err error) bool
	// Delay is the time before the second try; zero takes Budget.HedgeDelay.
	Delay time.Duration
	// OnPanic is called with the value of a panic of Send or Discard and its stack, unless the
	// value is http.ErrAbortHandler; nil ignores it. It may be called concurrently.
	OnPanic func(value any, stack []byte)
}

const (
	// maxTries bounds the tries of a call, and maxSentTries those that reach a back end.
	maxTries     = 4
	maxSentTries = 2
)

// Panicked is the error type of a try whose Send panicked. The call may have been made.
var Panicked = errorx.NewNamespace("limiter").NewType("panicked")

type tryResult[T any] struct {
	try    int
	answer T
	err    error
}

// Hedge makes an idempotent call, and makes it once more if the first try fails or is
// slow and the budget allows it. After a failure it does so at once. It returns the first
// good answer and a cancel function to call when the answer has been read. The other try is
// cancelled and its answer discarded. If no try succeeds, Hedge returns the error of the
// last try to end. Hedge counts the call in the budget.
func Hedge[T any](ctx context.Context, budget *Budget, options HedgeOptions[T]) (T, context.CancelFunc, error) {
	budget.CountSend()
	if options.Delay == 0 {
		options.Delay = budget.HedgeDelay()
	}
	h := &hedge[T]{options: options, budget: budget, results: make(chan tryResult[T], maxTries)}
	start := time.Now()
	h.startTry(ctx)
	result := h.waitForAnswer(ctx)
	if result.err != nil {
		h.cancelAll()
		if h.sent == 0 {
			budget.UncountSend()
		}
		var zero T
		return zero, func() {}, result.err
	}
	budget.hedgeDelay.add(time.Since(start))
	h.cancelOther(result.try)
	return result.answer, h.cancels[result.try], nil
}

type hedge[T any] struct {
	options HedgeOptions[T]
	budget  *Budget
	// results has capacity for all tries, so that no try blocks on it.
	results  chan tryResult[T]
	cancels  []context.CancelFunc
	finished int
	// sent is the number of tries without those that have proved to be unsent. taken, the
	// retries taken from the budget, is one less, and at least zero.
	sent, taken int
}

func (h *hedge[T]) startTry(ctx context.Context) {
	tryCtx, cancel := context.WithCancel(ctx) //nolint:gosec // Hedge cancels each try or returns its cancel function.
	try := len(h.cancels)
	h.cancels = append(h.cancels, cancel)
	h.sent++
	go func() {
		result := tryResult[T]{try: try, err: Panicked.New("try %d", try)}
		defer func() { h.results <- result }()
		defer h.recoverPanic()
		result.answer, result.err = h.options.Send(tryCtx, try)
	}()
}

// startAgain starts a further try if the limits and the budget allow it. It takes nothing
// from the budget if no try has reached a back end.
func (h *hedge[T]) startAgain(ctx context.Context, cause Cause) bool {
	if len(h.cancels) >= maxTries || h.sent >= maxSentTries || ctx.Err() != nil {
		return false
	}
	if h.sent > 0 {
		if !h.budget.Take(cause) {
			return false
		}
		h.taken++
	}
	h.startTry(ctx)
	return true
}

// noteUnsent gives back what a try that has reached no back end has taken.
func (h *hedge[T]) noteUnsent() {
	h.sent--
	if h.taken > 0 {
		h.taken--
		h.budget.GiveBack()
	}
}

// recoverPanic ends a panic of the goroutine that defers it: the process would end with it.
func (h *hedge[T]) recoverPanic() {
	if value := recover(); value != nil && h.options.OnPanic != nil && value != http.ErrAbortHandler { //nolint:errorlint // net/http compares it in the same way.
		h.options.OnPanic(value, debug.Stack())
	}
}

// waitForAnswer returns the first success, or the last failure.
func (h *hedge[T]) waitForAnswer(ctx context.Context) tryResult[T] {
	slow := time.NewTimer(h.options.Delay)
	defer slow.Stop()
	for {
		select {
		case <-slow.C:
			h.startAgain(ctx, Hedged)
		case result := <-h.results:
			h.finished++
			if result.err == nil {
				return result
			}
			if h.options.Unsent != nil && h.options.Unsent(result.err) {
				h.noteUnsent()
			}
			if h.finished == len(h.cancels) && !h.startAgain(ctx, AfterError) {
				return result
			}
		}
	}
}

// cancelOther cancels the other try and discards its answer when it ends.
func (h *hedge[T]) cancelOther(kept int) {
	for try, cancel := range h.cancels {
		if try != kept {
			cancel()
		}
	}
	running := len(h.cancels) - h.finished
	if running == 0 {
		return
	}
	go func() {
		defer h.recoverPanic()
		// The cancelled tries still send their results, and nothing else reads them.
		for range running {
			if result := <-h.results; result.err == nil && h.options.Discard != nil {
				h.options.Discard(result.answer)
			}
		}
	}()
}

func (h *hedge[T]) cancelAll() {
	for _, cancel := range h.cancels {
		cancel()
	}
}

// delayEstimator estimates a percentile of a pool's call durations.
type delayEstimator struct {
	mutex   sync.Mutex
	sketch  *ddsketch.DDSketch
	count   int
	current time.Duration
}

const (
	// hedgeQuantile is the share of calls that should end without a hedge.
	hedgeQuantile = 0.95
	// delayAccuracy is the relative error of the estimated durations.
	delayAccuracy = 0.02
	// delaySamples is the number of calls that each estimate is computed from.
	delaySamples = 256
	initialDelay = 100 * time.Millisecond
	minDelay     = 2 * time.Millisecond
	maxDelay     = 2 * time.Second
)

func newDelayEstimator() *delayEstimator {
	sketch, err := ddsketch.NewDefaultDDSketch(delayAccuracy)
	if err != nil {
		panic(err) // The accuracy is a constant within its bounds.
	}
	return &delayEstimator{sketch: sketch, current: initialDelay}
}

func (d *delayEstimator) add(took time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err := d.sketch.Add(took.Seconds()); err != nil {
		return
	}
	d.count++
	if d.count < delaySamples {
		return
	}
	if seconds, err := d.sketch.GetValueAtQuantile(hedgeQuantile); err == nil {
		estimate := time.Duration(seconds * float64(time.Second))
		d.current = min(max(estimate, minDelay), maxDelay)
	}
	d.sketch.Clear()
	d.count = 0
}

// HedgeDelay returns the duration after which a call to the pool is slow: the 95th
// percentile of the latest full set of samples.
func (b *Budget) HedgeDelay() time.Duration {
	b.hedgeDelay.mutex.Lock()
	defer b.hedgeDelay.mutex.Unlock()
	return b.hedgeDelay.current
}
