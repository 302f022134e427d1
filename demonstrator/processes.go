package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// stopTimeout bounds the wait for a process that was told to end.
const stopTimeout = 10 * time.Second

// process is one that the demonstration started.
type process struct {
	name    string
	command *exec.Cmd
	// ended is closed when the process has ended; err is set before.
	ended chan struct{}
	err   error
}

// processes are all that the demonstration started.
type processes struct {
	// directory takes a log file for each process.
	directory string
	started   []*process
}

func newProcesses(directory string) *processes {
	return &processes{directory: directory}
}

// start runs a program with its output in a log file.
func (p *processes) start(name, program string, arguments ...string) (*process, error) {
	log, err := os.Create(filepath.Join(p.directory, name+".log")) //nolint:gosec // A file of the demonstration's own directory.
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	// The process outlives every context: endAll ends it.
	command := exec.CommandContext(context.Background(), program, arguments...) //nolint:gosec // The project's own programs.
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, err
	}
	started := &process{name: name, command: command, ended: make(chan struct{})}
	go func() {
		started.err = command.Wait()
		close(started.ended)
	}()
	p.started = append(p.started, started)
	return started, nil
}

// endAll tells every process to end, and kills those that do not.
func (p *processes) endAll() {
	for _, started := range p.started {
		_ = started.terminate()
	}
	timeout := time.After(stopTimeout)
	for _, started := range p.started {
		select {
		case <-started.ended:
		case <-timeout:
			p.killAll()
			return
		}
	}
}

func (p *processes) killAll() {
	for _, started := range p.started {
		_ = started.command.Process.Kill()
		<-started.ended
	}
}

// terminate asks the process to end. One that has ended already is no failure.
func (p *process) terminate() error {
	err := p.command.Process.Signal(syscall.SIGTERM)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// wait returns once the process has ended by itself, with success.
func (p *process) wait(ctx context.Context) error {
	select {
	case <-p.ended:
		if p.err != nil {
			return fmt.Errorf("%s ended: %w", p.name, p.err)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%s has not ended: %w", p.name, ctx.Err())
	}
}

// alive tells whether the process still runs.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}
