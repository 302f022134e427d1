package dispatcher

import (
	"context"
	"sync"
)

// group starts goroutines and waits until all of them have returned.
type group struct {
	mutex    sync.Mutex
	started  int
	finished chan struct{}
}

func newGroup() *group {
	return &group{finished: make(chan struct{})}
}

// start calls work in a new goroutine. work must return when ctx ends.
func (g *group) start(ctx context.Context, work func(context.Context)) {
	g.mutex.Lock()
	g.started++
	g.mutex.Unlock()
	go func() {
		work(ctx)
		g.finished <- struct{}{}
	}()
}

// wait blocks until all goroutines have returned. start must not be called after it.
func (g *group) wait() {
	for ended := 0; ; ended++ {
		g.mutex.Lock()
		done := ended == g.started
		g.mutex.Unlock()
		if done {
			return
		}
		<-g.finished
	}
}
