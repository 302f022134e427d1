package recorder

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/storer"
)

// pruner deletes the pages of the shards that this node prunes, once their window
// has passed. It derives the page names from the time, so it lists no objects. Each
// shard's cursor object tells the next node that prunes the shard where to continue.
type pruner struct {
	recorder *Recorder
	layout   *layout
	// cursors holds the cursor of each shard that this node prunes.
	cursors map[int]*cursor
}

// cursor is how far a shard has been pruned.
type cursor struct {
	// nextBucket is the first bucket that may still have pages.
	nextBucket int64
	// storedNextBucket is the next bucket in the stored cursor object.
	storedNextBucket int64
	// version is the version of the cursor object, empty if there is none.
	version storer.Version
}

type cursorObject struct {
	Next int64 `json:"next"`
}

const (
	// maxBucketsPerRound bounds the buckets of a shard that one round prunes, so that
	// a node that takes over a shard with a long backlog does not overload the store.
	maxBucketsPerRound    = 16
	bucketsPerCursorWrite = 64
)

func (r *Recorder) runPruner(ctx context.Context) error {
	p := &pruner{recorder: r, cursors: map[int]*cursor{}}
	for sleep(ctx, r.options.BucketWidth) {
		known, ok := r.loadLayout(ctx)
		if !ok {
			continue
		}
		p.layout = known
		if err := p.pruneOwnedShards(ctx); err != nil {
			r.options.Log.Log(eventPruneFailed, logger.Fields{"error": err.Error()})
		}
	}
	return nil
}

func (p *pruner) pruneOwnedShards(ctx context.Context) error {
	options := p.recorder.options
	for shard := range p.layout.Shards {
		at := location{shard: shard}
		if options.View().Owner(at.prunerKey()).Node != options.Self {
			delete(p.cursors, shard)
			continue
		}
		if err := p.pruneShard(ctx, shard); err != nil {
			return err
		}
	}
	return nil
}

// pruneShard deletes the pages of a shard's next buckets, at most maxBucketsPerRound.
func (p *pruner) pruneShard(ctx context.Context, shard int) error {
	last := p.layout.lastPrunableBucket(time.Now())
	c := p.cursors[shard]
	if c == nil {
		loaded, err := p.loadCursor(ctx, shard)
		if err != nil {
			return err
		}
		c = loaded
		p.cursors[shard] = c
	}
	for range maxBucketsPerRound {
		if c.nextBucket > last {
			break
		}
		if err := p.deletePages(ctx, location{shard: shard, bucket: c.nextBucket}); err != nil {
			return err
		}
		c.nextBucket++
	}
	if c.nextBucket-c.storedNextBucket < bucketsPerCursorWrite {
		return nil
	}
	return p.saveCursor(ctx, shard, c)
}

func cursorObjectName(shard int) string {
	return "cursor-" + strconv.Itoa(shard)
}

// loadCursor reads a shard's cursor. A shard without one has never been pruned.
func (p *pruner) loadCursor(ctx context.Context, shard int) (*cursor, error) {
	object, err := p.recorder.options.Store.Get(ctx, storer.KindLedger, cursorObjectName(shard))
	if errorx.IsOfType(err, storer.NotFound) {
		return &cursor{nextBucket: p.layout.firstBucket()}, nil
	}
	if err != nil {
		return nil, err
	}
	var wire cursorObject
	if err := json.Unmarshal(object.Spec, &wire); err != nil {
		return nil, BadPage.Wrap(err, "object %s", object.Name)
	}
	return &cursor{nextBucket: wire.Next, storedNextBucket: wire.Next, version: object.Version}, nil
}

// saveCursor stores a cursor. If that fails, as when another node stored the cursor, the
// next round reads it again. Pages that either node deleted stay deleted.
func (p *pruner) saveCursor(ctx context.Context, shard int, c *cursor) error {
	spec, err := json.Marshal(cursorObject{Next: c.nextBucket})
	if err != nil {
		return err
	}
	object := storer.Object{Kind: storer.KindLedger, Name: cursorObjectName(shard), Version: c.version, Spec: spec}
	store := p.recorder.options.Store
	var stored storer.Object
	if c.version == "" {
		stored, err = store.Create(ctx, object)
	} else {
		stored, err = store.Update(ctx, object)
	}
	if err != nil {
		delete(p.cursors, shard)
		return err
	}
	c.storedNextBucket, c.version = c.nextBucket, stored.Version
	return nil
}

// deletePages deletes the objects of a location, the last part first, so that after an
// interrupted deletion no part follows a missing one, where it would not be found.
func (p *pruner) deletePages(ctx context.Context, at location) error {
	objects, err := p.readPageObjects(ctx, at)
	if err != nil {
		return err
	}
	for i := len(objects) - 1; i >= 0; i-- {
		if page, err := decodePage(objects[i]); err == nil {
			if err := p.recorder.deleteAnswerObjects(ctx, page); err != nil {
				return err
			}
		}
		err := p.recorder.options.Store.Delete(ctx, objects[i])
		if err != nil && !errorx.IsOfType(err, storer.NotFound) {
			return err
		}
	}
	return nil
}

func (p *pruner) readPageObjects(ctx context.Context, at location) ([]storer.Object, error) {
	var objects []storer.Object
	for part := 0; ; part++ {
		object, err := p.recorder.options.Store.Get(ctx, storer.KindLedger, at.objectName(part))
		if errorx.IsOfType(err, storer.NotFound) {
			return objects, nil
		}
		if err != nil {
			return nil, err
		}
		objects = append(objects, object)
		if page, err := decodePage(object); err == nil && !page.Full {
			return objects, nil
		}
	}
}
