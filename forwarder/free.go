package forwarder

import (
	"context"
	"errors"
	"time"

	"github.com/foxtailspool/foxtailspool/logger"
)

const (
	// freeTimeout bounds the call that frees a KV cache. On failure the engine frees
	// it when the handle expires.
	freeTimeout = 500 * time.Millisecond
	// maxQueuedFrees bounds the KV caches waiting to be freed.
	maxQueuedFrees = 64
)

var errFreeQueueFull = errors.New("too many KV caches wait to be freed")

// Run frees KV caches that no engine will fetch, until ctx ends.
func (f *Forwarder) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case source := <-f.freeQueue:
			f.freeKV(ctx, source)
		}
	}
}

func (f *Forwarder) freeKV(ctx context.Context, source KVSource) {
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()
	if err := f.options.Backends.FreeKV(ctx, source); err != nil {
		f.options.Log.Log(eventFreeFailed, logger.Fields{"address": source.Address, "error": err.Error()})
	}
}
