package recorder

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/storer"
)

// committer writes one batch of operations of one location.
type committer struct {
	recorder *Recorder
	// location is the batch's location. Only the committer uses its parts during commit.
	location *locationState
	// takenAt is when the batch was taken from the pending operations.
	takenAt time.Time
}

// The exponential backoff between two tries to write a batch.
const (
	initialCommitBackoff = 20 * time.Millisecond
	maxCommitBackoff     = 320 * time.Millisecond
)

// maxRunningPageAge is the largest age of a cached page used to report a call as running.
const maxRunningPageAge = time.Second

// commit applies a batch and delivers the result of each operation. It reports
// whether the batch failed for a reason other than BadPage.
func (c *committer) commit(ctx context.Context, batch []*operation) bool {
	for partNumber := 0; len(batch) > 0; partNumber++ {
		if partNumber == len(c.location.parts) {
			c.location.parts = append(c.location.parts, &part{name: c.location.id.objectName(partNumber)})
		}
		remaining, err := c.commitPart(ctx, c.location.parts[partNumber], batch)
		if err != nil {
			c.failBatch(remaining, err)
			return !errorx.IsOfType(err, BadPage)
		}
		batch = remaining
	}
	return false
}

func (c *committer) failBatch(batch []*operation, err error) {
	r := c.recorder
	r.metrics.commitFailed.Inc(1)
	r.options.Log.Log(eventCommitFailed, logger.Fields{
		"page": c.location.id.objectName(0), "operations": len(batch), "error": err.Error(),
	})
	failAll(batch, !errorx.IsOfType(err, storer.Unavailable))
}

// commitPart applies the operations that belong to one object and returns those that
// belong to later parts. It retries until ctx ends. On an error, it returns the whole
// batch. The error is Unavailable only if no write can have taken effect.
func (c *committer) commitPart(ctx context.Context, p *part, batch []*operation) ([]*operation, error) {
	writeUncertain := false
	for pause := initialCommitBackoff; ; pause = min(2*pause, maxCommitBackoff) {
		remaining, err := c.tryPart(ctx, p, batch)
		switch {
		case err == nil:
			return remaining, nil
		case errorx.IsOfType(err, BadPage), errorx.IsOfType(err, storer.Invalid):
			return batch, err
		case errorx.IsOfType(err, storer.Conflict), errorx.IsOfType(err, storer.NotFound):
			c.recorder.metrics.conflicts.Inc(1)
		case errorx.IsOfType(err, storer.Unavailable):
		default:
			writeUncertain = true
			c.recorder.metrics.lostReplies.Inc(1)
		}
		// Read the object again before deciding: a failed write may have taken effect.
		p.page, p.version = nil, ""
		if !sleep(ctx, pause) {
			return batch, timeoutError(err, writeUncertain)
		}
	}
}

// timeoutError returns err if it is Unavailable and writeUncertain is not set. Otherwise
// a write may have taken effect, and it returns an Uncertain error.
func timeoutError(err error, writeUncertain bool) error {
	if writeUncertain || !errorx.IsOfType(err, storer.Unavailable) {
		return storer.Uncertain.Wrap(err, "batch")
	}
	return err
}

func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// tryPart tries once to apply a batch to one part of its location. After the write has taken
// effect, it delivers the results and returns the operations that belong to later parts.
func (c *committer) tryPart(ctx context.Context, p *part, batch []*operation) ([]*operation, error) {
	if err := c.refresh(ctx, p, batch); err != nil {
		return nil, err
	}
	next, effects, changed := c.applyAll(p.page, batch)
	if changed {
		if err := c.write(ctx, p, next); err != nil {
			return nil, err
		}
	}
	return c.deliverResults(batch, effects), nil
}

func (c *committer) applyAll(seen *page, batch []*operation) (*page, []effect, bool) {
	next := seen.clone()
	effects := make([]effect, len(batch))
	changed := false
	for i, op := range batch {
		effects[i] = next.apply(op, c.recorder.options.MaxPageEntries)
		changed = changed || effects[i].changed
	}
	return next, effects, changed
}

// deliverResults delivers the results of the operations that the object decided,
// and returns the operations that belong to later parts.
func (c *committer) deliverResults(batch []*operation, effects []effect) []*operation {
	var remaining []*operation
	for i, op := range batch {
		if effects[i].inNextPart {
			remaining = append(remaining, op)
			continue
		}
		op.results <- c.checkWindow(op, effects[i].result)
	}
	return remaining
}

// checkWindow changes Run to TooOld if the key left the window before the write was
// known to have taken effect: the page, and an earlier claim in it, may have been
// deleted before the write.
func (c *committer) checkWindow(op *operation, decided result) result {
	if decided.claim.Verdict == Run && !c.recorder.layout.Load().inWindow(op.key.issued) {
		return resultWith(TooOld)
	}
	return decided
}

// refresh reads the object unless its cached page suffices for the batch.
func (c *committer) refresh(ctx context.Context, p *part, batch []*operation) error {
	if p.page != nil && !c.mustRead(p, batch) {
		return nil
	}
	object, err := c.recorder.options.Store.Get(ctx, storer.KindLedger, p.name)
	c.recorder.metrics.reads.Inc(1)
	if errorx.IsOfType(err, storer.NotFound) {
		p.page, p.version, p.syncedAt = newPage(), "", time.Now()
		return nil
	}
	if err != nil {
		return err
	}
	read, err := decodePage(object)
	if err != nil {
		return err
	}
	p.page, p.version, p.syncedAt = read, object.Version, time.Now()
	return nil
}

// mustRead reports whether the cached page is too old for the batch, because another
// node may have written the object. A page synced after the batch was taken is new
// enough. A batch that changes the page needs no read: its conditional write proves that
// the page is the latest. Otherwise, an old page suffices for entries that never change
// again and, for maxRunningPageAge, to answer that a call is running.
func (c *committer) mustRead(p *part, batch []*operation) bool {
	if p.syncedAt.After(c.takenAt) {
		return false
	}
	_, effects, changed := c.applyAll(p.page, batch)
	if changed {
		return false
	}
	for i, op := range batch {
		if !effects[i].inNextPart && c.needsLatestPage(p, op) {
			return true
		}
	}
	return false
}

// needsLatestPage reports whether an operation that changes nothing on the cached page
// may have another effect on the object's latest page.
func (c *committer) needsLatestPage(p *part, op *operation) bool {
	current := p.page.Entries[op.key.text]
	switch {
	case current == nil:
		return true
	case current.State == stateAnswered, current.State == stateLost, current.State == stateSealed:
		return false
	case op.callerWaits() && current.State == stateStarted:
		return time.Since(p.syncedAt) >= maxRunningPageAge
	default:
		return true
	}
}

// write stores next. It fails if the object changed since it was last read or written.
func (c *committer) write(ctx context.Context, p *part, next *page) error {
	spec, err := next.encode()
	if err != nil {
		return err
	}
	object := storer.Object{Kind: storer.KindLedger, Name: p.name, Version: p.version, Spec: spec}
	c.recorder.metrics.writes.Inc(1)
	c.recorder.metrics.writtenBytes.Inc(int64(len(spec)))
	var stored storer.Object
	if p.version == "" {
		stored, err = c.recorder.options.Store.Create(ctx, object)
	} else {
		stored, err = c.recorder.options.Store.Update(ctx, object)
	}
	if err != nil {
		return err
	}
	p.page, p.version, p.syncedAt = next, stored.Version, time.Now()
	return nil
}
