package recorder

import (
	"context"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/storer"
)

// layout determines which object stores a key's entry and when that object is
// deleted. Nodes with different layouts could both run a call, so the first node
// of a fleet stores its layout, and all others use it instead of their settings.
type layout struct {
	Shards             int   `json:"shards"`
	BucketMilliseconds int64 `json:"bucket-milliseconds"`
	WindowMilliseconds int64 `json:"window-milliseconds"`
	SkewMilliseconds   int64 `json:"skew-milliseconds"`
	// SinceMilliseconds is when the layout was stored, in milliseconds since the Unix
	// epoch. Keys that had left the window by then have no page.
	SinceMilliseconds int64 `json:"since-milliseconds"`
}

// layoutObjectName is the name of the object that stores the layout.
const layoutObjectName = "layout"

func (o *Options) layout() layout {
	return layout{
		Shards:             o.Shards,
		BucketMilliseconds: o.BucketWidth.Milliseconds(),
		WindowMilliseconds: o.Window.Milliseconds(),
		SkewMilliseconds:   o.ClockSkew.Milliseconds(),
	}
}

func (l *layout) valid() bool {
	return l.Shards > 0 && l.BucketMilliseconds > 0 && l.WindowMilliseconds > 0 && l.SkewMilliseconds >= 0
}

func (l *layout) bucketWidth() time.Duration {
	return time.Duration(l.BucketMilliseconds) * time.Millisecond
}

func (l *layout) window() time.Duration {
	return time.Duration(l.WindowMilliseconds) * time.Millisecond
}

func (l *layout) clockSkew() time.Duration {
	return time.Duration(l.SkewMilliseconds) * time.Millisecond
}

// inWindow reports whether a key issued at this time can be claimed now by this node's
// clock: at most the window after its issue and at most the clock skew before it.
func (l *layout) inWindow(issued time.Time) bool {
	age := time.Since(issued)
	return age <= l.window() && age >= -l.clockSkew()
}

// lastPrunableBucket returns the last bucket whose keys have left the window on every
// node, even on a node whose clock is behind by the clock skew.
func (l *layout) lastPrunableBucket(now time.Time) int64 {
	end := now.Add(-l.window() - l.clockSkew())
	// The bucket that contains end and the bucket before it are not prunable yet.
	return end.UnixNano()/int64(l.bucketWidth()) - 2
}

// firstBucket returns the first bucket that can have a page. Earlier keys had left the
// window when the layout was stored, even on a node whose clock was behind by the skew.
func (l *layout) firstBucket() int64 {
	return (l.SinceMilliseconds-l.WindowMilliseconds-l.SkewMilliseconds)/l.BucketMilliseconds - 1
}

// loadLayout returns the fleet's layout. It reads the store on first use, and logs
// an error and returns false if that fails.
func (r *Recorder) loadLayout(ctx context.Context) (*layout, bool) {
	if known := r.layout.Load(); known != nil {
		return known, true
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.CommitTimeout)
	defer cancel()
	stored, err := r.fetchLayout(ctx)
	if err != nil {
		r.options.Log.Log(eventLayoutUnknown, logger.Fields{"error": err.Error()})
		return nil, false
	}
	own := r.options.layout()
	own.SinceMilliseconds = stored.SinceMilliseconds
	if *stored != own {
		r.options.Log.Log(eventLayoutDiffers, logger.Fields{"stored": *stored, "settings": own})
	}
	r.layout.Store(stored)
	return stored, true
}

func (r *Recorder) fetchLayout(ctx context.Context) (*layout, error) {
	object, err := r.options.Store.Get(ctx, storer.KindLedger, layoutObjectName)
	if errorx.IsOfType(err, storer.NotFound) {
		if err := r.createLayout(ctx); err != nil {
			return nil, err
		}
		object, err = r.options.Store.Get(ctx, storer.KindLedger, layoutObjectName)
	}
	if err != nil {
		return nil, err
	}
	stored := &layout{}
	if err := json.Unmarshal(object.Spec, stored); err != nil || !stored.valid() {
		return nil, BadPage.New("object %s is not a valid layout", layoutObjectName)
	}
	return stored, nil
}

// createLayout stores this node's layout unless another node already stored one.
func (r *Recorder) createLayout(ctx context.Context) error {
	own := r.options.layout()
	own.SinceMilliseconds = time.Now().UnixMilli()
	spec, err := json.Marshal(own)
	if err != nil {
		return err
	}
	_, err = r.options.Store.Create(ctx, storer.Object{Kind: storer.KindLedger, Name: layoutObjectName, Spec: spec})
	if errorx.IsOfType(err, storer.Conflict) {
		return nil
	}
	return err
}
