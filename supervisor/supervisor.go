// Package supervisor is the micro-kernel of a node: services are registered
// and found by name, started in the order of registration and stopped together
// in the reverse order.
package supervisor

import (
	"context"
	"errors"
	"fmt"
	"slices"
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

// run is a service at work.
type run struct {
	name string
	stop context.CancelFunc
	// ended receives the service's result once.
	ended chan error
}

// Run starts every registered Runner and waits until all have ended. When one
// ends or ctx does, the rest are stopped, last started first. Each is stopped
// once all that were started after it have ended, so that a service can use the
// earlier ones until its end.
func (s *Supervisor) Run(ctx context.Context) error {
	runners := s.runners()
	runs := make([]run, 0, len(runners))
	// first receives the name of a service that ended; later ones are dropped.
	first := make(chan ending, 1)
	for _, runner := range runners {
		runs = append(runs, start(ctx, runner, first))
	}
	var failure error
	select {
	case <-ctx.Done():
	case end := <-first:
		failure = Failed.New("service %q ended: %v", end.name, end.err)
	}
	for _, run := range slices.Backward(runs) {
		run.stop()
		if err := <-run.ended; failed(err) && failure == nil {
			failure = Failed.Wrap(err, "service %q did not stop well", run.name)
		}
	}
	return failure
}

// RunDraining is Run for services that go on until they have left: when ctx ends,
// leave is called while they all still run, and they are stopped once it returns.
func (s *Supervisor) RunDraining(ctx context.Context, leave func(ctx context.Context)) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- s.Run(running) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	leave(running)
	stop()
	return <-ended
}

// failed tells a failure from a service that reports the end of its context.
func failed(err error) bool {
	return err != nil && !errors.Is(err, context.Canceled)
}

type ending struct {
	name string
	err  error
}

// start runs a service in a context of its own, which outlives ctx until the
// service's turn to stop.
func start(ctx context.Context, runner namedRunner, first chan<- ending) run {
	own, stop := context.WithCancel(context.WithoutCancel(ctx))
	started := run{name: runner.name, stop: stop, ended: make(chan error, 1)}
	go func() {
		err := runner.service.Run(own)
		select {
		case first <- ending{runner.name, err}:
		default:
		}
		started.ended <- err
	}()
	return started
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
