package recorder

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/storer"
)

// pruner deletes the pages of the shards that this node owns once their window
// has passed. Page names follow from the time, so no listing is needed.
type pruner struct {
	recorder *Recorder
	// next is the first bucket of each owned shard that may still have pages.
	next map[int]int64
}

// errFailedPrune tells that a page may be left.
var errFailedPrune = errors.New("page not deleted")

func (r *Recorder) runPruner(ctx context.Context) error {
	p := &pruner{recorder: r, next: map[int]int64{}}
	for sleep(ctx, r.options.BucketWidth) {
		if err := p.round(ctx); err != nil {
			r.options.Log.Log(eventPruneFailed, logger.Fields{"error": err.Error()})
		}
	}
	return nil
}

// prunable is the last bucket whose keys no node admits any more, whatever
// its clock says within ClockSkew.
func (r *Recorder) prunable(now time.Time) int64 {
	width := r.options.BucketWidth
	end := now.Add(-r.options.Window - r.options.ClockSkew - width)
	return end.UnixNano()/int64(width) - 1
}

func (p *pruner) round(ctx context.Context) error {
	options := p.recorder.options
	last := p.recorder.prunable(time.Now())
	for shard := range options.Shards {
		at := place{shard: shard}
		if options.View().Owner(at.ownedAs()).Node != options.Self {
			delete(p.next, shard)
			continue
		}
		if err := p.shard(ctx, shard, last); err != nil {
			return err
		}
	}
	return nil
}

// shard deletes the pages of one shard up to a bucket. A node that has just
// become the owner starts a whole window earlier.
func (p *pruner) shard(ctx context.Context, shard int, last int64) error {
	options := p.recorder.options
	if _, known := p.next[shard]; !known {
		p.next[shard] = last - int64(options.Window/options.BucketWidth)
	}
	for bucket := p.next[shard]; bucket <= last; bucket++ {
		if err := p.delete(ctx, place{shard: shard, bucket: bucket}); err != nil {
			return err
		}
		p.next[shard] = bucket + 1
	}
	return nil
}

// delete removes the objects of a place, the last part first, so that no part
// is left behind a missing one.
func (p *pruner) delete(ctx context.Context, at place) error {
	objects, err := p.objects(ctx, at)
	if err != nil {
		return err
	}
	for i := len(objects) - 1; i >= 0; i-- {
		err := p.recorder.options.Store.Delete(ctx, objects[i])
		if err != nil && !errorx.IsOfType(err, storer.NotFound) {
			return errors.Join(errFailedPrune, err)
		}
	}
	return nil
}

func (p *pruner) objects(ctx context.Context, at place) ([]storer.Object, error) {
	var objects []storer.Object
	for part := 0; ; part++ {
		object, err := p.recorder.options.Store.Get(ctx, storer.KindLedger, at.object(part))
		if errorx.IsOfType(err, storer.NotFound) {
			return objects, nil
		}
		if err != nil {
			return nil, errors.Join(errFailedPrune, err)
		}
		objects = append(objects, object)
	}
}
