// Package demonstrator shows foxtailspool at work: it starts a small fleet with
// its surroundings, each in a process of its own on free loopback ports, runs a
// few scenes as callers and operators would, and ends every process it started.
//
// It is a test tool. The router itself starts no process.
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

// The sizes of the demonstration.
const (
	nodeCount = 3
	// readyTimeout bounds the wait for a state that the fleet should reach.
	readyTimeout = 20 * time.Second
	// pollInterval is the time between two looks at such a state.
	pollInterval = 50 * time.Millisecond
)

// Options sets up a demonstration.
type Options struct {
	// Binaries is the directory of the programs foxtailspool and
	// foxtailspool-standin.
	Binaries string
	// Output takes what is shown.
	Output io.Writer
}

// Demonstrator runs the scenes.
type Demonstrator struct {
	options Options
	// directory holds settings, tables and logs; it is removed after a success.
	directory string
	processes *processes
	fleet     fleet
	client    *http.Client
}

// scene is one part of the demonstration.
type scene struct {
	title string
	play  func(*Demonstrator, context.Context) error
}

var scenes = []scene{
	{"A faulty settings file is refused, each fault with its line and key", (*Demonstrator).showBadSettings},
	{"Three nodes, a platform, four engines and a service start, each a process", (*Demonstrator).start},
	{"An operator applies both tables", (*Demonstrator).applyTables},
	{"Faulty tables are refused, and nothing of them is in force", (*Demonstrator).showBadTables},
	{"A humidity log is summarised, token by token", (*Demonstrator).summarise},
	{"Bad requests get a clear refusal", (*Demonstrator).showBadRequests},
	{"A booking is executed once, and its resend gets the same answer", (*Demonstrator).book},
	{"A node drains in mid-stream, and nothing is cut", (*Demonstrator).drain},
	{"No engine memory stays held", (*Demonstrator).checkMemory},
	{"What a node sees", (*Demonstrator).showStatus},
}

// Run plays all scenes until one fails. Processes are ended in every case.
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
	err = d.play(ctx)
	d.processes.endAll()
	if err != nil {
		return fmt.Errorf("%w (logs are in %s)", err, directory)
	}
	return os.RemoveAll(directory)
}

func (d *Demonstrator) play(ctx context.Context) error {
	for number, scene := range scenes {
		d.printf("\n%d. %s\n", number+1, scene.title)
		if err := scene.play(d, ctx); err != nil {
			return fmt.Errorf("scene %d: %w", number+1, err)
		}
	}
	return nil
}

// printf shows a line. A lost output has nobody to tell it to.
func (d *Demonstrator) printf(format string, a ...any) {
	_, _ = fmt.Fprintf(d.options.Output, format, a...)
}

// write stores a file for the programs to read, and returns its path.
func (d *Demonstrator) write(name, content string) (string, error) {
	path := filepath.Join(d.directory, name)
	return path, os.WriteFile(path, []byte(content), 0o600)
}

// await polls until a state is reached, and fails after readyTimeout.
func await(ctx context.Context, what string, reached func(ctx context.Context) bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !reached(ctx) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%s was not reached within %s", what, readyTimeout)
		}
	}
	return nil
}
