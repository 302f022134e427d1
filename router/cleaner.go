package router

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/invoker"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// maximumCancelPause bounds the pause between two tries to cancel an attempt.
const maximumCancelPause = 5 * time.Second

// abandoned is an attempt whose memory has to be freed.
type abandoned struct {
	attempt identifier.Attempt
	reader  uint64
	// members are the engines that may hold memory for the attempt.
	members []tabulator.Member
	grant   identifier.Grant
	result  placer.Result
	// linger delays the cancel for a caller that may come back.
	linger time.Duration
}

// cleaner cancels abandoned attempts until the engines confirm it, and only
// then gives their grants back, so that memory is not granted while it is held.
type cleaner struct {
	engines Engines
	placer  Placer
	limits  Limits
	log     *logger.Logger
	// stopping is closed when the node stops: callers cannot come back to it.
	stopping chan struct{}

	mutex sync.Mutex
	// running counts the attempts being freed. idle, once set, is closed when
	// that falls to zero.
	running int
	idle    chan struct{}
}

func newCleaner(options Options) *cleaner {
	return &cleaner{
		engines:  options.Engines,
		placer:   options.Placer,
		limits:   options.Limits,
		log:      options.Log,
		stopping: make(chan struct{}),
	}
}

// run waits for the node to stop and then for the cancels under way.
func (c *cleaner) run(ctx context.Context) error {
	<-ctx.Done()
	close(c.stopping)
	c.mutex.Lock()
	if c.running == 0 {
		c.mutex.Unlock()
		return nil
	}
	c.idle = make(chan struct{})
	c.mutex.Unlock()
	<-c.idle
	return nil
}

// abandon frees an attempt's memory in the background; run returns after the
// last one has ended.
func (c *cleaner) abandon(work abandoned) {
	c.mutex.Lock()
	c.running++
	c.mutex.Unlock()
	go func() {
		defer c.end()
		c.free(work)
	}()
}

func (c *cleaner) end() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.running--
	if c.running == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

func (c *cleaner) free(work abandoned) {
	if work.linger > 0 {
		c.linger(work.linger)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.limits.CancelGiveUp)
	defer cancel()
	for _, member := range work.members {
		c.cancel(ctx, member, work)
	}
	c.placer.Release(work.grant, work.result)
}

// linger waits for a caller to come back, but not while the node stops.
func (c *cleaner) linger(span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.stopping:
	}
}

// cancel repeats the cancel of an attempt until the engine confirms it. An
// engine that cannot be reached for long is gone, and its memory with it.
func (c *cleaner) cancel(ctx context.Context, member tabulator.Member, work abandoned) {
	wait := c.limits.CancelRetry
	for {
		err := c.engines.Cancel(ctx, member, work.attempt, work.reader)
		if err == nil || errorx.IsOfType(err, invoker.Superseded) {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			c.log.Log(cancelGivenUp, logger.Fields{"attempt": work.attempt, "member": member.Name, "error": err.Error()})
			return
		}
		wait = min(2*wait, maximumCancelPause)
	}
}
