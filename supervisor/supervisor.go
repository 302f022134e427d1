// Package supervisor is the micro-kernel of a node: services are registered
// and found by name, started in the order of registration and stopped together
// in the reverse order.
package supervisor

import (
	"context"
	"fmt"
	"sync"

	"github.com/joomcode/errorx"
)

// Runner is a service with work of its own. Run returns when ctx ends or on a
// failure that the node cannot go on with.
type Runner interface {
	Run(ctx context.Context) error
}

// Failed is the error type of a service that ended although nobody stopped it.
var Failed = errorx.NewNamespace("supervisor").NewType("service-failed")

// Supervisor holds the services of one process.
type Supervisor struct {
	mutex sync.RWMutex
	// services and order hold the same names.
	services map[string]any
	order    []string
}

// New returns a supervisor without services.
func New() *Supervisor {
	return &Supervisor{services: map[string]any{}}
}

// Register adds a service. A name registered twice is a broken invariant.
func (s *Supervisor) Register(name string, service any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, taken := s.services[name]; taken {
		panic(fmt.Sprintf("service %q registered twice", name))
	}
	s.services[name] = service
	s.order = append(s.order, name)
}

// Find returns the service of a name as the type its user needs.
func Find[T any](s *Supervisor, name string) (T, bool) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	service, ok := s.services[name].(T)
	return service, ok
}

type ending struct {
	name string
	err  error
}

// Run starts every registered Runner and waits until all have ended. When one
// ends or ctx does, the rest are stopped, last started first.
func (s *Supervisor) Run(ctx context.Context) error {
	runners := s.runners()
	endings := make(chan ending, len(runners))
	stops := make([]context.CancelFunc, 0, len(runners))
	for _, runner := range runners {
		// Services outlive ctx until their own turn to stop.
		own, stop := context.WithCancel(context.WithoutCancel(ctx))
		defer stop()
		stops = append(stops, stop)
		go func() { endings <- ending{runner.name, runner.service.Run(own)} }()
	}
	var failure error
	ended := 0
	select {
	case <-ctx.Done():
	case end := <-endings:
		ended++
		failure = Failed.New("service %q ended: %v", end.name, end.err)
	}
	for i := len(stops) - 1; i >= 0; i-- {
		stops[i]()
	}
	for ; ended < len(runners); ended++ {
		<-endings
	}
	return failure
}

type namedRunner struct {
	name    string
	service Runner
}

func (s *Supervisor) runners() []namedRunner {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	var runners []namedRunner
	for _, name := range s.order {
		if runner, ok := s.services[name].(Runner); ok {
			runners = append(runners, namedRunner{name, runner})
		}
	}
	return runners
}
