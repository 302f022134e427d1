package dispatcher

import (
	"context"
	"sync"
)

// group is a set of goroutines that stop together. Each reports its end.
type group struct {
	mutex   sync.Mutex
	started int
	ends    chan struct{}
}

func newGroup() *group {
	return &group{ends: make(chan struct{})}
}

// start runs work in a goroutine of its own until ctx ends.
func (g *group) start(ctx context.Context, work func(context.Context)) {
	g.mutex.Lock()
	g.started++
	g.mutex.Unlock()
	go func() {
		work(ctx)
		g.ends <- struct{}{}
	}()
}

// wait reads the ends of all goroutines. None may be started after it returns.
func (g *group) wait() {
	for ended := 0; ; ended++ {
		g.mutex.Lock()
		done := ended == g.started
		g.mutex.Unlock()
		if done {
			return
		}
		<-g.ends
	}
}
