package recorder

import (
	"context"
	"time"

	"github.com/foxtailspool/foxtailspool/storer"
)

// commitLoop holds the places that this node writes. Only one goroutine uses it; a
// place that is busy belongs to its commit until that reports its end.
type commitLoop struct {
	recorder  *Recorder
	locations map[location]*locationState
	// results takes the end of each commit; busy counts those to come.
	results  chan commitResult
	inFlight int
	// outageUntil is when claims go to the store again after it failed a batch.
	outageUntil time.Time
	timer       *time.Timer
}

// locationState is a place with its operations.
type locationState struct {
	id location
	// parts are the objects of the place in order; all but the last are full.
	parts   []*part
	pending []*operation
	// due is when pending must be written, zero without pending.
	due time.Time
	// lastCommit is when the last commit ended.
	lastCommit time.Time
	committing bool
}

// part is one object of a place as last seen.
type part struct {
	name string
	// page is nil until the object was read or written.
	page *page
	// version is empty while the object is not known to exist.
	version storer.Version
	// syncedAt is when the object was last read or written.
	syncedAt time.Time
}

type commitResult struct {
	location *locationState
	failed   bool
}

// locationIdleTimeout is how long a place that nobody asks for stays in memory.
const locationIdleTimeout = 30 * time.Second

// runLoop carries out operations until ctx ends and all commits have.
func (r *Recorder) runLoop(ctx context.Context) error {
	l := &commitLoop{
		recorder:  r,
		locations: map[location]*locationState{},
		results:   make(chan commitResult),
		timer:     time.NewTimer(locationIdleTimeout),
	}
	defer l.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			l.stop()
			return nil
		case op := <-r.operations:
			l.add(op)
		case end := <-l.results:
			l.finishCommit(end)
		case <-l.timer.C:
		}
		l.startDueCommits(ctx)
	}
}

// stop fails what has not been begun and waits for what has.
func (l *commitLoop) stop() {
	for _, b := range l.locations {
		failAll(b.pending, false)
		b.pending = nil
	}
	for l.inFlight > 0 {
		l.finishCommit(<-l.results)
	}
}

func failAll(operations []*operation, uncertain bool) {
	for _, op := range operations {
		op.results <- failedResult(uncertain)
	}
}

func (l *commitLoop) add(op *operation) {
	options := l.recorder.options
	now := time.Now()
	if now.Before(l.outageUntil) {
		op.results <- failedResult(false)
		return
	}
	p := op.key.location(l.recorder.layout.Load())
	b := l.locations[p]
	if b == nil {
		b = &locationState{id: p}
		l.locations[p] = b
	}
	due := now.Add(options.OutcomeBatchDelay)
	if op.callerWaits() {
		due = b.lastCommit.Add(options.GroupCommit)
	}
	if len(b.pending) == 0 || due.Before(b.due) {
		b.due = due
	}
	b.pending = append(b.pending, op)
}

func (l *commitLoop) finishCommit(result commitResult) {
	l.inFlight--
	result.location.committing = false
	result.location.lastCommit = time.Now()
	if result.failed {
		l.outageUntil = time.Now().Add(l.recorder.options.OutageBackoff)
	}
}

// startDueCommits begins the commits that are due and sets the timer for the next.
func (l *commitLoop) startDueCommits(ctx context.Context) {
	now := time.Now()
	next := now.Add(locationIdleTimeout)
	for p, b := range l.locations {
		switch {
		case b.committing:
		case len(b.pending) == 0:
			if now.Sub(b.lastCommit) > locationIdleTimeout {
				delete(l.locations, p)
			}
		case !b.due.After(now):
			l.startCommit(ctx, b)
		case b.due.Before(next):
			next = b.due
		}
	}
	l.timer.Reset(next.Sub(now))
}

func (l *commitLoop) startCommit(ctx context.Context, b *locationState) {
	batch := b.pending
	b.pending, b.committing = nil, true
	l.inFlight++
	c := &committer{recorder: l.recorder, location: b, takenAt: time.Now()}
	go func() {
		// A batch that has begun is finished also when the node stops.
		commitContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.recorder.options.CommitTimeout)
		defer cancel()
		l.results <- commitResult{location: b, failed: c.commit(commitContext, batch)}
	}()
}
