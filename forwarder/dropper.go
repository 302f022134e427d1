package forwarder

import (
	"context"
	"errors"
	"time"

	"github.com/foxtailspool/foxtailspool/logger"
)

const (
	// dropTimeout bounds the call that frees a prompt; its engine frees it by itself
	// soon after.
	dropTimeout = 500 * time.Millisecond
	// dropLimit bounds the prompts that wait to be freed.
	dropLimit = 64
)

// errDropsWaiting tells that too many prompts wait to be freed.
var errDropsWaiting = errors.New("too many prompts wait to be freed")

// Run frees the KV caches of prompts that nobody will fetch, until ctx ends.
func (f *Forwarder) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case source := <-f.drops:
			f.drop(ctx, source)
		}
	}
}

func (f *Forwarder) drop(ctx context.Context, source Source) {
	ctx, cancel := context.WithTimeout(ctx, dropTimeout)
	defer cancel()
	if err := f.options.Backends.Drop(ctx, source); err != nil {
		f.options.Log.Log(eventDrop, logger.Fields{"address": source.Address, "error": err.Error()})
	}
}
