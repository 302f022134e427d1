// Package demonstrator runs a demonstration of foxtailspool. It starts three nodes
// and stand-ins for the platform, engines and service as separate processes on free
// loopback ports, sends requests and commands, and stops every process it started.
//
// It is a test tool. The router itself starts no processes.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/foxtailspool/foxtailspool/connector"
)

const (
	nodeCount = 3
	// readyTimeout limits each wait for the fleet to reach a state.
	readyTimeout = 20 * time.Second
	// pollInterval is the time between two checks in await.
	pollInterval = 50 * time.Millisecond
)

// Options configures a demonstration.
type Options struct {
	// Binaries is the directory with the programs foxtailspool and
	// foxtailspool-standin.
	Binaries string
	// Output receives the text of the demonstration.
	Output io.Writer
}

// Demonstrator holds the state that the steps of one demonstration share.
type Demonstrator struct {
	options Options
	// directory contains settings, tables and logs. Run removes it on success only.
	directory string
	processes *processes
	fleet     fleet
	client    *http.Client
}

// step is a numbered part of the demonstration with its printed title.
type step struct {
	title string
	run   func(*Demonstrator, context.Context) error
}

var steps = []step{
	{"A faulty settings file is refused, each fault with its line and key", (*Demonstrator).showBadSettings},
	{"Three nodes, a platform, four engines and a service start, each as a process", (*Demonstrator).start},
	{"An operator applies both tables", (*Demonstrator).applyTables},
	{"Faulty tables are refused, and the tables in force do not change", (*Demonstrator).showBadTables},
	{"A humidity log is summarised, token by token", (*Demonstrator).summarise},
	{"Bad requests get a clear refusal", (*Demonstrator).showBadRequests},
	{"A booking is executed once, and its resend gets the same answer", (*Demonstrator).bookTwice},
	{"A node drains in mid-stream, and the stream completes", (*Demonstrator).drain},
	{"All engine memory is released", (*Demonstrator).checkMemory},
	{"What a node sees", (*Demonstrator).showStatus},
}

// Run runs the steps in order and returns the error of the first that fails. It
// stops all processes in either case, and keeps their logs after a failure.
func Run(ctx context.Context, options Options) error {
	directory, err := os.MkdirTemp("", "foxtailspool-demo-")
	if err != nil {
		return err
	}
	d := &Demonstrator{
		options:   options,
		directory: directory,
		processes: newProcesses(directory),
		client: &http.Client{Transport: connector.NewNetwork().Transport(connector.Limits{
			DialTimeout: time.Second, HeaderTimeout: readyTimeout, IdleTimeout: time.Second, MaxConnectionsPerHost: 16,
		})},
	}
	err = d.runSteps(ctx)
	d.processes.endAll()
	if err != nil {
		return fmt.Errorf("%w (logs are in %s)", err, directory)
	}
	return os.RemoveAll(directory)
}

func (d *Demonstrator) runSteps(ctx context.Context) error {
	for number, step := range steps {
		d.printf("\n%d. %s\n", number+1, step.title)
		if err := step.run(d, ctx); err != nil {
			return fmt.Errorf("step %d: %w", number+1, err)
		}
	}
	return nil
}

// printf prints to Output. Write errors are ignored: there is nowhere to report them.
func (d *Demonstrator) printf(format string, a ...any) {
	_, _ = fmt.Fprintf(d.options.Output, format, a...)
}

// writeFile writes a file to the directory and returns its path.
func (d *Demonstrator) writeFile(name, content string) (string, error) {
	path := filepath.Join(d.directory, name)
	return path, os.WriteFile(path, []byte(content), 0o600)
}

// await polls until reached returns true. It fails after readyTimeout.
func await(ctx context.Context, state string, reached func(ctx context.Context) bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !reached(ctx) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%s was not reached within %s", state, readyTimeout)
		}
	}
	return nil
}
