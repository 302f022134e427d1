package limiter

import (
	"context"

	"github.com/joomcode/errorx"
)

// Full is the error type of a gate with too many waiting.
var Full = errorx.NewNamespace("limiter").NewType("full")

// Gate bounds how many requests run at once and how many wait to.
type Gate struct {
	running chan struct{}
	waiting chan struct{}
}

// NewGate returns a gate for a number of running and a number of waiting requests.
func NewGate(running, waiting int) *Gate {
	return &Gate{running: make(chan struct{}, running), waiting: make(chan struct{}, running+waiting)}
}

// Enter waits for its turn and returns the function that ends it. It fails at
// once with Full when too many wait, and with the context's error.
func (g *Gate) Enter(ctx context.Context) (func(), error) {
	select {
	case g.waiting <- struct{}{}:
	default:
		return nil, Full.New("%d requests run or wait", cap(g.waiting))
	}
	select {
	case g.running <- struct{}{}:
		return g.leave, nil
	case <-ctx.Done():
		<-g.waiting
		return nil, ctx.Err()
	}
}

func (g *Gate) leave() {
	<-g.running
	<-g.waiting
}
