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
	// reconnectInterval is the pause between two probes of an unreachable engine.
	reconnectInterval = 2 * time.Second
	// unreachableRetention is how long an engine that stays unreachable is remembered.
	// The next request that fails to connect to the engine adds it again.
	unreachableRetention = 5 * time.Minute
)

// unreachableEngines holds the engines to which this node cannot connect, so that it
// requests no grants on them. Other nodes, such as the shard's owner, may still
// reach them.
type unreachableEngines struct {
	engines Engines

	mutex   sync.Mutex
	members map[identifier.Member]unreachableEngine
}

// unreachableEngine is an unreachable engine and when to forget it.
type unreachableEngine struct {
	member tabulator.Member
	expiry time.Time
}

func newUnreachableEngines(engines Engines) *unreachableEngines {
	return &unreachableEngines{engines: engines, members: map[identifier.Member]unreachableEngine{}}
}

// add records that a connection to an engine could not be opened.
func (u *unreachableEngines) add(member tabulator.Member) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.members[member.Name] = unreachableEngine{member, time.Now().Add(unreachableRetention)}
}

func (u *unreachableEngines) names() []identifier.Member {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	var names []identifier.Member
	for name := range u.members {
		names = append(names, name)
	}
	return names
}

// run probes the engines until ctx ends, and then closes ended.
func (u *unreachableEngines) run(ctx context.Context, ended chan<- struct{}) {
	defer close(ended)
	ticker := time.NewTicker(reconnectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			u.probeAll(ctx)
		}
	}
}

// probeAll probes all engines concurrently and waits for the results.
func (u *unreachableEngines) probeAll(ctx context.Context) {
	engines := u.list()
	probed := make(chan struct{}, len(engines))
	for _, engine := range engines {
		go func() {
			defer func() { probed <- struct{}{} }()
			u.probe(ctx, engine)
		}()
	}
	for range engines {
		<-probed
	}
}

func (u *unreachableEngines) list() []unreachableEngine {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	var engines []unreachableEngine
	for _, engine := range u.members {
		engines = append(engines, engine)
	}
	return engines
}

// probe removes an engine that accepts or refuses a connection, or has expired.
func (u *unreachableEngines) probe(ctx context.Context, engine unreachableEngine) {
	_, err := u.engines.State(ctx, engine.member)
	unanswered := err != nil && !errorx.IsOfType(err, invoker.AnswerLost)
	if unanswered && !connectionRefused(err) && time.Now().Before(engine.expiry) {
		return
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	delete(u.members, engine.member.Name)
}

// networkFailed reports whether a connection failed without being refused. Such a failure
// shows a fault of the network to the engine, not of the engine.
func networkFailed(err error) bool {
	return errorx.IsOfType(err, invoker.ConnectFailed) && !connectionRefused(err)
}

func connectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
