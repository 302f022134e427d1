package router

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/invoker"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// maxCancelBackoff is the maximum pause between two tries to cancel an attempt.
const maxCancelBackoff = 5 * time.Second

// abandonedAttempt is an attempt whose engine memory must be freed.
type abandonedAttempt struct {
	attempt identifier.Attempt
	reader  uint64
	// members lists the engines that may hold memory for the attempt.
	members []tabulator.Member
	grant   identifier.Grant
	result  placer.Result
	// linger delays the cancel, as the caller may reconnect.
	linger time.Duration
}

// cleaner cancels abandoned attempts. It releases their grants only after the engines
// confirm the cancel, so that memory in use is not granted again.
type cleaner struct {
	engines Engines
	placer  Placer
	limits  Limits
	log     *logger.Logger
	panics  tally.Counter
	// stopping is closed when the node stops, as callers cannot reconnect to it then.
	stopping chan struct{}

	mutex sync.Mutex
	// running counts the attempts being freed.
	running int
	// idle is set by run and closed when running reaches zero.
	idle chan struct{}
}

func newCleaner(options Options) *cleaner {
	return &cleaner{
		engines:  options.Engines,
		placer:   options.Placer,
		limits:   options.Limits,
		log:      options.Log,
		panics:   options.Scope.SubScope("router").Counter("panics"),
		stopping: make(chan struct{}),
	}
}

// run waits until ctx ends and then until all abandoned attempts are freed.
func (c *cleaner) run(ctx context.Context) error {
	<-ctx.Done()
	close(c.stopping)
	c.mutex.Lock()
	if c.running == 0 {
		c.mutex.Unlock()
		return nil
	}
	idle := make(chan struct{})
	c.idle = idle
	c.mutex.Unlock()
	<-idle
	return nil
}

// abandon frees an attempt's memory in the background.
func (c *cleaner) abandon(abandoned abandonedAttempt) {
	c.mutex.Lock()
	c.running++
	c.mutex.Unlock()
	go func() {
		defer c.recordFreed()
		defer func() {
			if value := recover(); value != nil {
				c.panics.Inc(1)
				c.log.Log(eventPanicked, panicFields(string(abandoned.attempt), value, debug.Stack()))
			}
		}()
		c.free(abandoned)
	}()
}

func (c *cleaner) recordFreed() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.running--
	if c.running == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

func (c *cleaner) free(abandoned abandonedAttempt) {
	// Deferred, so that a panic does not leave the grant held for good.
	defer c.placer.Release(abandoned.grant, abandoned.result)
	if abandoned.linger > 0 {
		c.waitLinger(abandoned.linger)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.limits.CancelGiveUp)
	defer cancel()
	for _, member := range abandoned.members {
		c.cancel(ctx, member, abandoned)
	}
}

// waitLinger waits for duration, so that the caller can reconnect, or until the node stops.
func (c *cleaner) waitLinger(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.stopping:
	}
}

// cancel retries the cancel of an attempt until the engine confirms it or ctx ends. An
// engine that has not confirmed by then is assumed dead, so that its memory counts as free.
func (c *cleaner) cancel(ctx context.Context, member tabulator.Member, abandoned abandonedAttempt) {
	backoff := c.limits.CancelRetry
	for {
		err := c.engines.Cancel(ctx, member, abandoned.attempt, abandoned.reader)
		if err == nil || errorx.IsOfType(err, invoker.Superseded) {
			return
		}
		timer := time.NewTimer(backoff)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			c.log.Log(eventCancelGivenUp, logger.Fields{"attempt": abandoned.attempt, "member": member.Name, "error": err.Error()})
			return
		}
		backoff = min(2*backoff, maxCancelBackoff)
	}
}
