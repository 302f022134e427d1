package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

// HedgeOptions sets up one idempotent look-up.
type HedgeOptions[T any] struct {
	// Send makes one try. The second try is number 1 and must use another
	// connection, and another backend server where there is one.
	Send func(ctx context.Context, try int) (T, error)
	// Discard releases the answer of a try that came second.
	Discard func(answer T)
	// Delay is how long the first try may take before the second starts; zero
	// takes the pool's own (see Budget.HedgeDelay).
	Delay time.Duration
}

type tryEnd[T any] struct {
	try    int
	answer T
	err    error
}

// Hedge sends an idempotent look-up, and once more when the first try fails or
// is slow and the budget allows. It returns the first good answer and the
// context's cancel function for it, to be called when the answer has been read.
// The other try is cancelled, and its answer is discarded.
func Hedge[T any](ctx context.Context, budget *Budget, options HedgeOptions[T]) (T, context.CancelFunc, error) {
	budget.Sent()
	if options.Delay == 0 {
		options.Delay = budget.HedgeDelay()
	}
	h := &hedge[T]{options: options, ends: make(chan tryEnd[T], 2)}
	start := time.Now()
	h.start(ctx)
	end := h.wait(ctx, budget)
	if end.err != nil {
		h.cancelAll()
		var none T
		return none, func() {}, end.err
	}
	budget.delays.add(time.Since(start))
	h.dropOthers(end.try)
	return end.answer, h.cancels[end.try], nil
}

type hedge[T any] struct {
	options HedgeOptions[T]
	// ends has room for both tries.
	ends    chan tryEnd[T]
	cancels []context.CancelFunc
	ended   int
}

func (h *hedge[T]) start(ctx context.Context) {
	own, cancel := context.WithCancel(ctx) //nolint:gosec // wait and its callers cancel each try.
	try := len(h.cancels)
	h.cancels = append(h.cancels, cancel)
	go func() {
		answer, err := h.options.Send(own, try)
		h.ends <- tryEnd[T]{try: try, answer: answer, err: err}
	}()
}

// wait returns the first good end, or the last bad one.
func (h *hedge[T]) wait(ctx context.Context, budget *Budget) tryEnd[T] {
	slow := time.NewTimer(h.options.Delay)
	defer slow.Stop()
	for {
		second := len(h.cancels) == 1
		select {
		case <-slow.C:
			if second && budget.Retry() {
				h.start(ctx)
			}
		case end := <-h.ends:
			h.ended++
			retry := end.err != nil && second && ctx.Err() == nil && budget.Retry()
			if retry {
				h.start(ctx)
			} else if end.err == nil || h.ended == len(h.cancels) {
				return end
			}
		}
	}
}

// dropOthers cancels the other try and discards its answer when it ends.
func (h *hedge[T]) dropOthers(kept int) {
	for try, cancel := range h.cancels {
		if try != kept {
			cancel()
		}
	}
	if h.ended == len(h.cancels) {
		return
	}
	go func() {
		// The try was cancelled; ends has room, so this is its owner's last read.
		if end := <-h.ends; end.err == nil && h.options.Discard != nil {
			h.options.Discard(end.answer)
		}
	}()
}

func (h *hedge[T]) cancelAll() {
	for _, cancel := range h.cancels {
		cancel()
	}
}

// delays remembers how long the look-ups of a pool took.
type delays struct {
	mutex   sync.Mutex
	sketch  *ddsketch.DDSketch
	count   int
	current time.Duration
}

const (
	// hedgeQuantile is the share of look-ups that should end without a hedge.
	hedgeQuantile = 0.95
	// delayAccuracy is the relative error of the remembered times.
	delayAccuracy = 0.02
	// delaySamples is how many look-ups one estimate is made of.
	delaySamples = 256
	firstDelay   = 100 * time.Millisecond
	leastDelay   = 2 * time.Millisecond
	mostDelay    = 2 * time.Second
)

func newDelays() *delays {
	sketch, err := ddsketch.NewDefaultDDSketch(delayAccuracy)
	if err != nil {
		panic(err) // The accuracy is a constant within its bounds.
	}
	return &delays{sketch: sketch, current: firstDelay}
}

func (d *delays) add(took time.Duration) {
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
		d.current = min(max(estimate, leastDelay), mostDelay)
	}
	d.sketch.Clear()
	d.count = 0
}

// HedgeDelay is the time after which a look-up of the pool is slow: the 95th
// percentile of the last ones.
func (b *Budget) HedgeDelay() time.Duration {
	b.delays.mutex.Lock()
	defer b.delays.mutex.Unlock()
	return b.delays.current
}
