package recorder

import (
	"context"
	"time"

	"github.com/foxtailspool/foxtailspool/storer"
)

// commitLoop holds the locations (a shard and a time bucket each) that this node writes.
// Only one goroutine uses it. While a location commits, only its committer uses its parts.
type commitLoop struct {
	recorder  *Recorder
	locations map[location]*locationState
	results   chan commitResult
	// inFlight counts the commits whose results have not been received.
	inFlight int
	// outageUntil is when the back-off after a store failure ends. Until then,
	// operations fail without using the store.
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

// part is one object of a location (a shard and a time bucket), as last read or written.
type part struct {
	name string
	// page is nil while the content of the object is not known.
	page *page
	// version is empty while the object is not known to exist.
	version  storer.Version
	syncedAt time.Time
}

type commitResult struct {
	location    *locationState
	storeFailed bool
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
	for _, state := range l.locations {
		failAll(state.pending, false)
		state.pending = nil
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
	at := op.key.location(l.recorder.layout.Load())
	state := l.locations[at]
	if state == nil {
		state = &locationState{id: at}
		l.locations[at] = state
	}
	due := now.Add(options.OutcomeBatchDelay)
	if op.callerWaits() {
		due = state.lastCommit.Add(options.CommitInterval)
	}
	if len(state.pending) == 0 || due.Before(state.due) {
		state.due = due
	}
	state.pending = append(state.pending, op)
}

func (l *commitLoop) finishCommit(result commitResult) {
	l.inFlight--
	result.location.committing = false
	result.location.lastCommit = time.Now()
	if result.storeFailed {
		l.outageUntil = time.Now().Add(l.recorder.options.OutageBackoff)
	}
}

// startDueCommits starts the due commits, drops idle locations and sets the timer.
func (l *commitLoop) startDueCommits(ctx context.Context) {
	now := time.Now()
	next := now.Add(locationIdleTimeout)
	for at, state := range l.locations {
		switch {
		case state.committing:
		case len(state.pending) == 0:
			if now.Sub(state.lastCommit) > locationIdleTimeout {
				delete(l.locations, at)
			}
		case !state.due.After(now):
			l.startCommit(ctx, state)
		case state.due.Before(next):
			next = state.due
		}
	}
	l.timer.Reset(next.Sub(now))
}

func (l *commitLoop) startCommit(ctx context.Context, state *locationState) {
	batch := state.pending
	state.pending, state.committing = nil, true
	l.inFlight++
	c := &committer{recorder: l.recorder, location: state, takenAt: time.Now()}
	go func() {
		// A commit in flight is finished even if the node stops.
		commitContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.recorder.options.CommitTimeout)
		defer cancel()
		l.results <- commitResult{location: state, storeFailed: c.commit(commitContext, batch)}
	}()
}
