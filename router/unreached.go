package router

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/invoker"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

const (
	// unreachedRetry is the pause between two tries to connect to an engine that
	// could not be reached.
	unreachedRetry = 2 * time.Second
	// unreachedKept is when an engine is forgotten that was never reached again:
	// the next request that is granted it tells anew.
	unreachedKept = 5 * time.Minute
)

// unreached remembers the engines to which this node can open no connection, so
// that it asks for no grant on them. The owner of their shard may reach them, and
// so may other nodes.
type unreached struct {
	engines Engines

	mutex   sync.Mutex
	members map[identifier.Member]missing
}

// missing is an engine that cannot be reached, until it is forgotten.
type missing struct {
	member tabulator.Member
	until  time.Time
}

func newUnreached(engines Engines) *unreached {
	return &unreached{engines: engines, members: map[identifier.Member]missing{}}
}

// add notes that no connection to an engine could be opened.
func (u *unreached) add(member tabulator.Member) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.members[member.Name] = missing{member, time.Now().Add(unreachedKept)}
}

// list returns the engines that no grant is asked for.
func (u *unreached) list() []identifier.Member {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	var names []identifier.Member
	for name := range u.members {
		names = append(names, name)
	}
	return names
}

// run tries the engines again until ctx ends, and reports on ended.
func (u *unreached) run(ctx context.Context, ended chan<- struct{}) {
	defer close(ended)
	ticker := time.NewTicker(unreachedRetry)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			u.tryAll(ctx)
		}
	}
}

// tryAll tries all engines at once and waits for them.
func (u *unreached) tryAll(ctx context.Context) {
	waiting := u.current()
	tried := make(chan struct{}, len(waiting))
	for _, engine := range waiting {
		go func() {
			defer func() { tried <- struct{}{} }()
			u.try(ctx, engine)
		}()
	}
	for range waiting {
		<-tried
	}
}

func (u *unreached) current() []missing {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	var waiting []missing
	for _, engine := range u.members {
		waiting = append(waiting, engine)
	}
	return waiting
}

// try forgets an engine that can be reached again, or for which it is time.
func (u *unreached) try(ctx context.Context, engine missing) {
	_, err := u.engines.State(ctx, engine.member)
	away := err != nil && !errorx.IsOfType(err, invoker.AnswerLost)
	if away && !refused(err) && time.Now().Before(engine.until) {
		return
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	delete(u.members, engine.member.Name)
}

// cutOff tells whether a connection to an engine could not be opened although
// nothing refused it. That tells of the way there, and nothing of the engine.
func cutOff(err error) bool {
	return errorx.IsOfType(err, invoker.ConnectFailed) && !refused(err)
}

func refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
