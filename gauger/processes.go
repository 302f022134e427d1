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

// clockTicksPerSecond converts the processor times in /proc to seconds.
const clockTicksPerSecond = 100

// Failed is the error type for a measurement that did not complete.
var Failed = errorx.NewNamespace("gauger").NewType("failed")

// processOptions configures a measurement of complete nodes.
type processOptions struct {
	binaries       string
	settle, window time.Duration
}

// processFleet contains complete nodes and their stand-ins, each a separate process.
type processFleet struct {
	options           processOptions
	directory         string
	platformAddress   string
	engineAddresses   []string
	operatorAddresses []string
	nodeProcesses     []*exec.Cmd
	processes         []*exec.Cmd
}

// nodeCost is the resource use of an idle node, averaged over the nodes, and the load
// of all nodes on the store.
type nodeCost struct {
	nodes               int
	corePercent         float64
	residentMB          float64
	bytesPerSecond      float64
	storeCallsPerSecond float64
	waitingWatches      int
	propagation         time.Duration
}

func newProcessesCommand() *cobra.Command {
	var sizes []int
	var options processOptions
	command := &cobra.Command{
		Use:   "nodes",
		Short: "Measures complete nodes while idle, each in its own process",
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
					cost.residentMB, cost.bytesPerSecond, cost.storeCallsPerSecond, cost.waitingWatches, cost.propagation.Milliseconds())
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

func measureProcesses(ctx context.Context, options processOptions, nodes int) (nodeCost, error) {
	directory, err := os.MkdirTemp("", "foxtailspool-gauge")
	if err != nil {
		return nodeCost{}, err
	}
	f := &processFleet{options: options, directory: directory}
	defer f.stop()
	if err := f.start(ctx, nodes); err != nil {
		return nodeCost{}, err
	}
	cost := nodeCost{nodes: nodes}
	if cost.propagation, err = f.applyTables(ctx, newTables(f.engineAddresses)); err != nil {
		return nodeCost{}, err
	}
	time.Sleep(options.settle)
	before := f.takeSample(ctx)
	time.Sleep(options.window)
	after := f.takeSample(ctx)
	seconds := options.window.Seconds()
	cost.corePercent = (after.processorSeconds - before.processorSeconds) / seconds / float64(nodes) * 100
	cost.bytesPerSecond = (after.loopbackBytes - before.loopbackBytes) / seconds / float64(nodes)
	cost.storeCallsPerSecond = (after.storeCalls - before.storeCalls) / seconds
	cost.residentMB = after.residentBytes / float64(nodes) / 1e6
	cost.waitingWatches = after.waitingWatches
	return cost, nil
}

// start starts the stand-ins and then the nodes, without waiting until they are ready.
func (f *processFleet) start(ctx context.Context, nodes int) error {
	freeAddresses, err := allocator.New(ctx).NextN(ctx, 5+3*nodes)
	if err != nil {
		return err
	}
	f.platformAddress, f.engineAddresses = freeAddresses[0], freeAddresses[1:5]
	if err := f.startProgram("foxtailspool-standin", "platform", "--listen", f.platformAddress); err != nil {
		return err
	}
	for i, engine := range f.engineAddresses {
		if err := f.startProgram("foxtailspool-standin", "engine", "--name", fmt.Sprintf("engine-%d", i), "--listen", engine); err != nil {
			return err
		}
	}
	for i := range nodes {
		addresses := freeAddresses[5+3*i:]
		f.operatorAddresses = append(f.operatorAddresses, addresses[2])
		path := filepath.Join(f.directory, fmt.Sprintf("node-%d.toml", i))
		text := fmt.Sprintf("[node]\nname = \"node-%d\"\ndata-centre = \"dc-%d\"\n[callers]\nlisten = %q\n[peers]\nlisten = %q\n"+
			"[operators]\nlisten = %q\n[platform]\nurl = \"http://%s\"\n[membership]\nseeds = [%q, %q]\n",
			i, i%7, addresses[0], addresses[1], addresses[2], f.platformAddress, freeAddresses[6], freeAddresses[9])
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		if err := f.startProgram("foxtailspool", "serve", path); err != nil {
			return err
		}
		f.nodeProcesses = append(f.nodeProcesses, f.processes[len(f.processes)-1])
	}
	return nil
}

// startProgram starts a program that stop kills.
func (f *processFleet) startProgram(program string, arguments ...string) error {
	command := exec.CommandContext(context.Background(), filepath.Join(f.options.binaries, program), arguments...) //nolint:gosec // The project's own programs.
	if err := command.Start(); err != nil {
		return err
	}
	f.processes = append(f.processes, command)
	return nil
}

func (f *processFleet) stop() {
	for _, command := range f.processes {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
	_ = os.RemoveAll(f.directory)
}

// newTables returns tables with one pool, in which every second engine is for decode.
func newTables(engines []string) administrator.Edit {
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

// applyTables retries until the tables are accepted. It returns the time from then until
// every node has the accepted configuration, and fails after a minute in total.
func (f *processFleet) applyTables(ctx context.Context, edit administrator.Edit) (time.Duration, error) {
	var number identifier.Configuration
	timeout := time.Now().Add(time.Minute)
	for number == 0 {
		accepted, err := f.newClient(0).Apply(ctx, edit)
		if err != nil && time.Now().After(timeout) {
			return 0, Failed.Wrap(err, "apply the first tables")
		}
		number = accepted.Configuration
	}
	start := time.Now()
	for i := range f.operatorAddresses {
		for {
			status, err := f.newClient(i).Status(ctx)
			if err == nil && status.Configuration >= number {
				break
			}
			if time.Now().After(timeout) {
				return 0, Failed.New("node %d did not get the configuration in time", i)
			}
		}
	}
	return time.Since(start), nil
}

func (f *processFleet) newClient(node int) *administrator.Client {
	return administrator.NewClient(administrator.ClientOptions{
		URL: "http://" + f.operatorAddresses[node], Transport: http.DefaultTransport, Timeout: 20 * time.Second,
	})
}

// usageSample contains totals of the fleet and the loopback interface at one moment. All
// but residentBytes and waitingWatches are cumulative.
type usageSample struct {
	processorSeconds, residentBytes, loopbackBytes, storeCalls float64
	waitingWatches                                             int
}

func (f *processFleet) takeSample(ctx context.Context) usageSample {
	var s usageSample
	for _, command := range f.nodeProcesses {
		ticks, pages := readProcessStat(command.Process.Pid)
		s.processorSeconds += ticks / clockTicksPerSecond
		s.residentBytes += pages * float64(os.Getpagesize())
	}
	s.loopbackBytes = readLoopbackBytes()
	s.storeCalls, s.waitingWatches = f.readStoreCounts(ctx)
	return s
}

// readStoreCounts returns the total of calls to the platform and the number of open
// watches. It returns zeros if the platform does not answer.
func (f *processFleet) readStoreCounts(ctx context.Context) (float64, int) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.platformAddress+"/counts", nil)
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

// readProcessStat returns a process's total processor time in clock ticks and its
// resident memory in pages, or zeros if the process has ended.
func readProcessStat(pid int) (ticks, pages float64) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	// The text after the bracketed command name starts with the third field.
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	const user, system, resident = 11, 12, 21
	return parseNumber(fields[user]) + parseNumber(fields[system]), parseNumber(fields[resident])
}

// readLoopbackBytes returns the total of bytes received on the loopback interface.
func readLoopbackBytes() float64 {
	content, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if name, counts, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(name) == "lo" {
			return parseNumber(strings.Fields(counts)[0])
		}
	}
	return 0
}

func parseNumber(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return value
}
