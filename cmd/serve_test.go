package cmd

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/logger"
)

// drainingNode drains when its context ends. Run then returns the error sent to release.
type drainingNode struct {
	draining chan struct{}
	release  chan error
}

func newDrainingNode() *drainingNode {
	return &drainingNode{draining: make(chan struct{}), release: make(chan error, 1)}
}

func (n *drainingNode) Run(ctx context.Context) error {
	<-ctx.Done()
	close(n.draining)
	return <-n.release
}

func TestFirstSignalDrains(t *testing.T) {
	for _, want := range []error{nil, errors.New("cut")} {
		node := newDrainingNode()
		signals := make(chan os.Signal, 2)
		signals <- syscall.SIGTERM
		node.release <- want
		err := (&serveCommand{}).serve(t.Context(), node, signals, logger.Discard())
		if (err == nil) != (want == nil) {
			t.Errorf("node ended with %v: got %v", want, err)
		}
		<-node.draining
	}
}

func TestSecondSignalExitsImmediately(t *testing.T) {
	node := newDrainingNode()
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGTERM
	signals <- syscall.SIGTERM
	code := -1
	s := &serveCommand{exit: func(given int) { code = given }}
	err := s.serve(t.Context(), node, signals, logger.Discard())
	if code != exitFailed || !errorx.IsOfType(err, Failed) {
		t.Errorf("exit code %d, %v", code, err)
	}
	node.release <- nil
	<-node.draining
}
