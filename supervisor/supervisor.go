// Package supervisor runs the services of a node. Services are registered and looked
// up by name, started in the order of registration and stopped in reverse order.
package supervisor

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/joomcode/errorx"
)

// Runner is a service with a main loop. Run returns when ctx ends, or on a failure
// that the node cannot recover from.
type Runner interface {
	Run(ctx context.Context) error
}

// ServiceFailed is the error type of a service that returned before it was stopped, or that
// failed while stopping.
var ServiceFailed = errorx.NewNamespace("supervisor").NewType("service-failed")

// Supervisor holds the services of one process. It is safe for concurrent use.
type Supervisor struct {
	mutex sync.RWMutex
	// services holds the services by name.
	services map[string]any
	// order lists the names in the order of registration.
	order []string
}

// New returns a supervisor without services.
func New() *Supervisor {
	return &Supervisor{services: map[string]any{}}
}

// Register adds a service. It panics if the name is already registered.
func (s *Supervisor) Register(name string, service any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, taken := s.services[name]; taken {
		panic(fmt.Sprintf("service %q registered twice", name))
	}
	s.services[name] = service
	s.order = append(s.order, name)
}

// Find returns the service with a name, and false if it is missing or not a T.
func Find[T any](s *Supervisor, name string) (T, bool) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	service, ok := s.services[name].(T)
	return service, ok
}

// runningService is a started service.
type runningService struct {
	name string
	stop context.CancelFunc
	// ended receives the result of the service's Run.
	ended chan error
}

// Run starts every registered Runner and waits until all have ended. When ctx or any
// service ends, it stops the services one by one, the last started first. Each stops
// only after all later ones have ended, so that a service can use those registered
// before it until its end. Run returns ServiceFailed if a service ended before ctx or failed
// while stopping.
func (s *Supervisor) Run(ctx context.Context) error {
	runners := s.runners()
	runs := make([]runningService, 0, len(runners))
	// firstExit receives the first exit of a service; later ones are dropped.
	firstExit := make(chan serviceExit, 1)
	for _, runner := range runners {
		runs = append(runs, start(ctx, runner, firstExit))
	}
	var failure error
	select {
	case <-ctx.Done():
	case exit := <-firstExit:
		failure = ServiceFailed.New("service %q ended: %v", exit.name, exit.err)
	}
	for _, run := range slices.Backward(runs) {
		run.stop()
		if err := <-run.ended; isFailure(err) && failure == nil {
			failure = ServiceFailed.Wrap(err, "service %q failed while stopping", run.name)
		}
	}
	return failure
}

// RunDraining is like Run, but when ctx ends it first calls drain while all services
// still run, and stops them once drain has returned.
func (s *Supervisor) RunDraining(ctx context.Context, drain func(ctx context.Context)) error {
	serviceContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- s.Run(serviceContext) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	drain(serviceContext)
	stop()
	return <-ended
}

// isFailure reports whether err is more than the end of the service's context.
func isFailure(err error) bool {
	return err != nil && !errors.Is(err, context.Canceled)
}

type serviceExit struct {
	name string
	err  error
}

// start runs a service in a context that does not end with ctx, because services are
// stopped one by one.
func start(ctx context.Context, runner namedRunner, firstExit chan<- serviceExit) runningService {
	serviceContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	running := runningService{name: runner.name, stop: stop, ended: make(chan error, 1)}
	go func() {
		err := runner.service.Run(serviceContext)
		select {
		case firstExit <- serviceExit{runner.name, err}:
		default:
		}
		running.ended <- err
	}()
	return running
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
