package gauger

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/foxtailspool/foxtailspool/administrator"
	"github.com/foxtailspool/foxtailspool/allocator"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// clockTicks is how many ticks a second /proc counts processor time in.
const clockTicks = 100

// Failed is the error type of a measurement that could not be made.
var Failed = errorx.NewNamespace("gauger").NewType("failed")

// processOptions says what is measured on whole nodes.
type processOptions struct {
	binaries       string
	settle, window time.Duration
}

// whole runs whole nodes, each a process of its own, with their stand-ins.
type whole struct {
	options   processOptions
	directory string
	platform  string
	engines   []string
	operators []string
	nodes     []*exec.Cmd
	all       []*exec.Cmd
}

// wholeCost is what a whole node spent at rest, averaged over the nodes.
type wholeCost struct {
	nodes          int
	corePercent    float64
	residentMB     float64
	bytesPerSecond float64
	storeCalls     float64
	waiting        int
	everywhere     time.Duration
}

func newProcessesCommand() *cobra.Command {
	var sizes []int
	var options processOptions
	command := &cobra.Command{
		Use:   "nodes",
		Short: "Measures whole nodes at rest, each a process of its own",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			out := command.OutOrStdout()
			_, _ = fmt.Fprintln(out, "| nodes | % of a core | resident MB | B/s | store calls/s | waiting watches | edit everywhere ms |")
			_, _ = fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- |")
			for _, size := range sizes {
				cost, err := measureProcesses(command.Context(), options, size)
				if err != nil {
					return err
				}
				_, _ = fmt.Fprintf(out, "| %d | %.2f | %.1f | %.0f | %.2f | %d | %d |\n", cost.nodes, cost.corePercent,
					cost.residentMB, cost.bytesPerSecond, cost.storeCalls, cost.waiting, cost.everywhere.Milliseconds())
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.IntSliceVar(&sizes, "nodes", []int{8, 16, 32, 64}, "sizes of the fleet to measure")
	flags.StringVar(&options.binaries, "bin", "bin", "where make build puts the programs")
	flags.DurationVar(&options.settle, "settle", 15*time.Second, "time before the measurement")
	flags.DurationVar(&options.window, "window", 20*time.Second, "length of the measurement")
	return command
}

func measureProcesses(ctx context.Context, options processOptions, nodes int) (wholeCost, error) {
	directory, err := os.MkdirTemp("", "foxtailspool-gauge")
	if err != nil {
		return wholeCost{}, err
	}
	w := &whole{options: options, directory: directory}
	defer w.end()
	if err := w.start(ctx, nodes); err != nil {
		return wholeCost{}, err
	}
	cost := wholeCost{nodes: nodes}
	if cost.everywhere, err = w.edit(ctx, tableOf(w.engines)); err != nil {
		return wholeCost{}, err
	}
	time.Sleep(options.settle)
	before := w.sample(ctx)
	time.Sleep(options.window)
	after := w.sample(ctx)
	seconds := options.window.Seconds()
	cost.corePercent = (after.processor - before.processor) / seconds / float64(nodes) * 100
	cost.bytesPerSecond = (after.loopback - before.loopback) / seconds / float64(nodes)
	cost.storeCalls = (after.calls - before.calls) / seconds
	cost.residentMB = after.resident / float64(nodes) / 1e6
	cost.waiting = after.waiting
	return cost, nil
}

// start starts the stand-ins and the nodes.
func (w *whole) start(ctx context.Context, nodes int) error {
	free, err := allocator.New(ctx).NextN(ctx, 5+3*nodes)
	if err != nil {
		return err
	}
	w.platform, w.engines = free[0], free[1:5]
	if err := w.run("foxtailspool-standin", "platform", "--listen", w.platform); err != nil {
		return err
	}
	for i, engine := range w.engines {
		if err := w.run("foxtailspool-standin", "engine", "--name", fmt.Sprintf("engine-%d", i), "--listen", engine); err != nil {
			return err
		}
	}
	for i := range nodes {
		own := free[5+3*i:]
		w.operators = append(w.operators, own[2])
		path := filepath.Join(w.directory, fmt.Sprintf("node-%d.toml", i))
		text := fmt.Sprintf("[node]\nname = \"node-%d\"\ndata-centre = \"dc-%d\"\n[callers]\nlisten = %q\n[peers]\nlisten = %q\n"+
			"[operators]\nlisten = %q\n[platform]\nurl = \"http://%s\"\n[membership]\nseeds = [%q, %q]\n",
			i, i%7, own[0], own[1], own[2], w.platform, free[6], free[9])
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		if err := w.run("foxtailspool", "serve", path); err != nil {
			return err
		}
		w.nodes = append(w.nodes, w.all[len(w.all)-1])
	}
	return nil
}

// run starts a program; end kills it.
func (w *whole) run(program string, arguments ...string) error {
	command := exec.CommandContext(context.Background(), filepath.Join(w.options.binaries, program), arguments...) //nolint:gosec // The project's own programs.
	if err := command.Start(); err != nil {
		return err
	}
	w.all = append(w.all, command)
	return nil
}

func (w *whole) end() {
	for _, command := range w.all {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
	_ = os.RemoveAll(w.directory)
}

// tableOf returns tables with one pool of two prefill and two decode engines.
func tableOf(engines []string) administrator.Edit {
	pool := tabulator.Pool{Name: "summariser", Kind: tabulator.Models, PieceTokens: 16, KVBytesPerToken: 1 << 10}
	for i, address := range engines {
		role := identifier.Prefill
		if i%2 == 1 {
			role = identifier.Decode
		}
		pool.Members = append(pool.Members, tabulator.Member{
			Name: identifier.Member(fmt.Sprintf("engine-%d", i)), Address: identifier.Address(address), Role: role, Pieces: 2000,
		})
	}
	second := tabulator.Duration(time.Second)
	return administrator.Edit{
		Routes: &tabulator.Routes{Routes: []tabulator.Route{{Name: "all", Pool: "summariser", FirstToken: second, BetweenTokens: second}}},
		Pools:  &tabulator.Pools{Pools: []tabulator.Pool{pool}},
	}
}

// edit applies tables until they are accepted, and returns how long the accepted
// configuration takes from then on to every node.
func (w *whole) edit(ctx context.Context, edit administrator.Edit) (time.Duration, error) {
	var number identifier.Configuration
	timeout := time.Now().Add(time.Minute)
	for number == 0 {
		accepted, err := w.client(0).Apply(ctx, edit)
		if err != nil && time.Now().After(timeout) {
			return 0, Failed.Wrap(err, "first edit")
		}
		number = accepted.Configuration
	}
	start := time.Now()
	for i := range w.operators {
		for {
			status, err := w.client(i).Status(ctx)
			if err == nil && status.Configuration >= number {
				break
			}
			if time.Now().After(timeout) {
				return 0, Failed.New("node %d never got the configuration", i)
			}
		}
	}
	return time.Since(start), nil
}

func (w *whole) client(node int) *administrator.Client {
	return administrator.NewClient(administrator.ClientOptions{
		URL: "http://" + w.operators[node], Transport: http.DefaultTransport, Timeout: 20 * time.Second,
	})
}

// sampled are counts up to a moment: seconds, bytes and calls.
type sampled struct {
	processor, resident, loopback, calls float64
	waiting                              int
}

func (w *whole) sample(ctx context.Context) sampled {
	var s sampled
	for _, command := range w.nodes {
		ticks, pages := readStat(command.Process.Pid)
		s.processor += ticks / clockTicks
		s.resident += pages * float64(os.Getpagesize())
	}
	s.loopback = readLoopback()
	s.calls, s.waiting = w.storeCounts(ctx)
	return s
}

// storeCounts returns the calls of the platform so far, and the waiting watches.
func (w *whole) storeCounts(ctx context.Context) (float64, int) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.platform+"/counts", nil)
	if err != nil {
		return 0, 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	var counts struct {
		Writes, Reads, Watches, Waiting int
	}
	if err := json.NewDecoder(response.Body).Decode(&counts); err != nil {
		return 0, 0
	}
	return float64(counts.Writes + counts.Reads + counts.Watches), counts.Waiting
}

// readStat returns a process's processor time in ticks and its resident pages.
func readStat(pid int) (ticks, pages float64) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	// The fields after the command's closing bracket begin with the third.
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	const user, system, resident = 11, 12, 21
	return number(fields[user]) + number(fields[system]), number(fields[resident])
}

// readLoopback returns the bytes that the loopback interface carried.
func readLoopback() float64 {
	content, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if name, counts, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(name) == "lo" {
			return number(strings.Fields(counts)[0])
		}
	}
	return 0
}

func number(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return value
}
