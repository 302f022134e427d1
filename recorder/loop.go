package recorder

import (
	"context"
	"time"

	"github.com/foxtailspool/foxtailspool/storer"
)

// loop holds the places that this node writes. Only one goroutine uses it; a
// place that is busy belongs to its commit until that reports its end.
type loop struct {
	recorder *Recorder
	places   map[location]*bucket
	// ends takes the end of each commit; busy counts those to come.
	ends chan commitEnd
	busy int
	// outUntil is when claims go to the store again after it failed a batch.
	outUntil time.Time
	timer    *time.Timer
}

// bucket is a place with its operations.
type bucket struct {
	place location
	// parts are the objects of the place in order; all but the last are full.
	parts   []*part
	pending []*operation
	// due is when pending must be written, zero without pending.
	due time.Time
	// written is when the last commit ended.
	written time.Time
	busy    bool
}

// part is one object of a place as last seen.
type part struct {
	name string
	// page is nil until the object was read or written.
	page *page
	// version is empty while the object is not known to exist.
	version storer.Version
	// seen is when the object was last read or written.
	seen time.Time
}

type commitEnd struct {
	bucket *bucket
	failed bool
}

// idleBucket is how long a place that nobody asks for stays in memory.
const idleBucket = 30 * time.Second

// runLoop carries out operations until ctx ends and all commits have.
func (r *Recorder) runLoop(ctx context.Context) error {
	l := &loop{
		recorder: r,
		places:   map[location]*bucket{},
		ends:     make(chan commitEnd),
		timer:    time.NewTimer(idleBucket),
	}
	defer l.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			l.stop()
			return nil
		case op := <-r.operations:
			l.add(op)
		case end := <-l.ends:
			l.finish(end)
		case <-l.timer.C:
		}
		l.start(ctx)
	}
}

// stop fails what has not been begun and waits for what has.
func (l *loop) stop() {
	for _, b := range l.places {
		failAll(b.pending, false)
		b.pending = nil
	}
	for l.busy > 0 {
		l.finish(<-l.ends)
	}
}

func failAll(operations []*operation, uncertain bool) {
	for _, op := range operations {
		op.results <- failedResult(uncertain)
	}
}

func (l *loop) add(op *operation) {
	options := l.recorder.options
	now := time.Now()
	if now.Before(l.outUntil) {
		op.results <- failedResult(false)
		return
	}
	p := op.key.location(l.recorder.layout.Load())
	b := l.places[p]
	if b == nil {
		b = &bucket{place: p}
		l.places[p] = b
	}
	due := now.Add(options.SettleDelay)
	if op.callerWaits() {
		due = b.written.Add(options.GroupCommit)
	}
	if len(b.pending) == 0 || due.Before(b.due) {
		b.due = due
	}
	b.pending = append(b.pending, op)
}

func (l *loop) finish(end commitEnd) {
	l.busy--
	end.bucket.busy = false
	end.bucket.written = time.Now()
	if end.failed {
		l.outUntil = time.Now().Add(l.recorder.options.OutagePause)
	}
}

// start begins the commits that are due and sets the timer for the next.
func (l *loop) start(ctx context.Context) {
	now := time.Now()
	next := now.Add(idleBucket)
	for p, b := range l.places {
		switch {
		case b.busy:
		case len(b.pending) == 0:
			if now.Sub(b.written) > idleBucket {
				delete(l.places, p)
			}
		case !b.due.After(now):
			l.commit(ctx, b)
		case b.due.Before(next):
			next = b.due
		}
	}
	l.timer.Reset(next.Sub(now))
}

func (l *loop) commit(ctx context.Context, b *bucket) {
	batch := b.pending
	b.pending, b.busy = nil, true
	l.busy++
	c := &committer{recorder: l.recorder, bucket: b, began: time.Now()}
	go func() {
		// A batch that has begun is finished also when the node stops.
		own, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.recorder.options.CommitTimeout)
		defer cancel()
		l.ends <- commitEnd{bucket: b, failed: c.commit(own, batch)}
	}()
}
