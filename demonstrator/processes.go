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

// stopTimeout is the time that all processes together get to exit after SIGTERM.
const stopTimeout = 10 * time.Second

// process is a running or ended child process.
type process struct {
	name    string
	command *exec.Cmd
	// ended is closed once the process has exited. err must not be read earlier.
	ended chan struct{}
	err   error
}

// processes contains every child process of the demonstration.
type processes struct {
	// directory is where each process gets a log file.
	directory string
	started   []*process
}

func newProcesses(directory string) *processes {
	return &processes{directory: directory}
}

// start starts a program that writes its output to the log file of that name.
func (p *processes) start(name, program string, arguments ...string) (*process, error) {
	log, err := os.Create(filepath.Join(p.directory, name+".log")) //nolint:gosec // A file of the demonstration's own directory.
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	// No context ends the process: endAll does.
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

// endAll sends SIGTERM to every process. It kills those still running after stopTimeout.
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

// terminate sends SIGTERM. It returns nil if the process has already exited.
func (p *process) terminate() error {
	err := p.command.Process.Signal(syscall.SIGTERM)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// wait waits for the process to exit. It fails on a nonzero exit code or when ctx ends.
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

// isRunning reports whether the process has not exited yet.
func (p *process) isRunning() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}
