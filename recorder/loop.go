package recorder

import (
	"context"
	"time"

	"github.com/foxtailspool/foxtailspool/storer"
)

// commitLoop holds the locations that this node writes. Only one goroutine uses it.
// A location that is committing belongs to its committer until that is done.
type commitLoop struct {
	recorder  *Recorder
	locations map[location]*locationState
	results   chan commitResult
	// inFlight counts the commits whose results have not been received.
	inFlight int
	// outageUntil is when operations use the store again after it failed a batch.
	outageUntil time.Time
	timer       *time.Timer
}

// locationState holds the objects and the pending operations of a location.
type locationState struct {
	id location
	// parts are the location's objects in order. All but the last are full.
	parts   []*part
	pending []*operation
	// due is when pending must be written. It is unused while pending is empty.
	due        time.Time
	lastCommit time.Time
	committing bool
}

// part is one object of a location, as last read or written.
type part struct {
	name string
	// page is nil while the content of the object is not known.
	page *page
	// version is empty while the object is not known to exist.
	version  storer.Version
	syncedAt time.Time
}

type commitResult struct {
	location *locationState
	storeOut bool
}

// locationIdleTimeout is how long a location without operations stays in memory.
const locationIdleTimeout = 30 * time.Second

// runLoop applies operations until ctx ends and the commits in flight are done.
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

// stop fails the pending operations and waits for the commits in flight.
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
		due = b.lastCommit.Add(options.CommitInterval)
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
	if result.storeOut {
		l.outageUntil = time.Now().Add(l.recorder.options.OutageBackoff)
	}
}

// startDueCommits starts commits, forgets idle locations and sets the timer.
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
		// A commit in flight is finished even if the node stops.
		commitContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.recorder.options.CommitTimeout)
		defer cancel()
		l.results <- commitResult{location: b, storeOut: c.commit(commitContext, batch)}
	}()
}
