package prover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/administrator"
	"github.com/foxtailspool/foxtailspool/allocator"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// processWait bounds every wait for a condition on real processes. It is generous
// because a loaded machine is slow, and is not a latency target.
const processWait = 90 * time.Second

// processFleet is a deployment of real processes that listen on loopback.
type processFleet struct {
	t         *testing.T
	directory string
	client    *http.Client
	addresses *allocator.Allocator
	// nodes, prefills and decodes are sorted by name.
	nodes             []*processNode
	prefills, decodes []*processNode
	platform, service *processNode
	pools             tabulator.Pools
	routes            tabulator.Routes
	// settings maps a section to additional lines of each node's settings file.
	settings map[string]string
}

// processNode is the process of a node or of an emulator.
type processNode struct {
	name      string
	arguments []string
	program   string
	// callers, peers and operators are the listen addresses of a node; an emulator
	// has only callers.
	callers, peers, operators string
	command                   *exec.Cmd
}

func newProcessFleet(t *testing.T) *processFleet {
	f := newEmptyFleet(t)
	f.platform = f.startEmulator("platform", "platform")
	f.service = f.startEmulator("desk-1", "service", "--delay", "300ms")
	for i := range 2 {
		f.prefills = append(f.prefills, f.startEngine(fmt.Sprintf("prefill-%d", i+1)))
		f.decodes = append(f.decodes, f.startEngine(fmt.Sprintf("decode-%d", i+1)))
	}
	f.placeNodes()
	f.startNodes("http://" + f.platform.callers)
	f.setTables()
	return f
}

// newEmptyFleet builds the programs and returns a fleet without processes.
func newEmptyFleet(t *testing.T) *processFleet {
	f := &processFleet{t: t, addresses: allocator.New(t.Context()), directory: t.TempDir(), client: &http.Client{Transport: &http.Transport{}}}
	f.build()
	return f
}

// placeNodes allocates the listen addresses of three nodes.
func (f *processFleet) placeNodes() {
	for i := range 3 {
		f.nodes = append(f.nodes, &processNode{
			name: fmt.Sprintf("node-%d", i+1), callers: f.freeAddress(), peers: f.freeAddress(), operators: f.freeAddress(),
		})
	}
}

// startNodes starts the nodes and waits until their operators' listeners answer.
func (f *processFleet) startNodes(platform string) {
	for _, n := range f.nodes {
		f.configure(n, platform)
		f.start(n)
	}
	f.waitFor("nodes answer", func() bool { return f.allAnswer() })
}

// build compiles the router and the emulators into the fleet's directory.
func (f *processFleet) build() {
	command := exec.CommandContext(f.t.Context(), "go", "build", "-o", f.directory, "..", "../standin/foxtailspool-standin")
	if out, err := command.CombinedOutput(); err != nil {
		f.t.Fatalf("build: %v\n%s", err, out)
	}
}

// freeAddress returns an unused loopback address.
func (f *processFleet) freeAddress() string {
	f.t.Helper()
	address, err := f.addresses.Next(f.t.Context())
	if err != nil {
		f.t.Fatal(err)
	}
	return address
}

func (f *processFleet) startEmulator(name string, arguments ...string) *processNode {
	address := f.freeAddress()
	n := &processNode{
		name: name, callers: address, program: "foxtailspool-standin",
		arguments: append(arguments, "--listen", address),
	}
	f.start(n)
	return n
}

func (f *processFleet) startEngine(name string) *processNode {
	return f.startEmulator(name, "engine", "--name", name, "--pieces", "400", "--token-time", "40ms", "--prefill-rate", "8000", "--evict", "5s")
}

// configure writes a node's settings file and sets its command line.
func (f *processFleet) configure(n *processNode, platform string) {
	var seeds []string
	for _, other := range f.nodes {
		seeds = append(seeds, fmt.Sprintf("%q", other.peers))
	}
	var text strings.Builder
	for _, section := range []struct{ name, lines string }{
		{"node", fmt.Sprintf("name = %q\ndata-centre = \"south\"\n", n.name)},
		{"callers", fmt.Sprintf("listen = %q\n", n.callers)},
		{"peers", fmt.Sprintf("listen = %q\n", n.peers)},
		{"operators", fmt.Sprintf("listen = %q\n", n.operators)},
		{"platform", fmt.Sprintf("url = %q\n", platform)},
		{"membership", fmt.Sprintf("seeds = [%s]\n", strings.Join(seeds, ", "))},
		{"drain", "entry-keep-time = \"1s\"\n"},
		{"backends", "progress-timeout = \"3s\"\n"},
		{"traces", ""},
	} {
		fmt.Fprintf(&text, "[%s]\n%s%s", section.name, section.lines, f.settings[section.name])
	}
	path := filepath.Join(f.directory, n.name+".toml")
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		f.t.Fatal(err)
	}
	n.program, n.arguments = "foxtailspool", []string{"serve", path}
}

// start starts a process that is killed at the end of the test.
func (f *processFleet) start(n *processNode) {
	command := exec.CommandContext(context.Background(), filepath.Join(f.directory, n.program), n.arguments...)
	log, err := os.OpenFile(filepath.Join(f.directory, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		f.t.Fatal(err)
	}
	n.command = command
	f.t.Cleanup(func() {
		f.killCommand(command)
		_ = log.Close()
	})
}

// killCommand kills a process of the fleet and waits until it has exited.
func (f *processFleet) killCommand(command *exec.Cmd) {
	_ = command.Process.Signal(syscall.SIGCONT)
	if err := command.Process.Kill(); errors.Is(err, os.ErrProcessDone) {
		return
	}
	_ = command.Wait()
}

// kill kills the process of n and waits until it has exited.
func (f *processFleet) kill(n *processNode) { f.killCommand(n.command) }

func (f *processFleet) restart(n *processNode) {
	f.kill(n)
	f.start(n)
}

// freeze stops a process with SIGSTOP and continues it after span.
func (f *processFleet) freeze(n *processNode, span time.Duration) {
	process := n.command.Process
	_ = process.Signal(syscall.SIGSTOP)
	timer := time.AfterFunc(span, func() { _ = process.Signal(syscall.SIGCONT) })
	f.t.Cleanup(func() { timer.Stop() })
}

// waitFor polls until condition returns true; it fails after processWait.
func (f *processFleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	timeout := time.After(processWait)
	for !condition() {
		select {
		case <-ticker.C:
		case <-timeout:
			f.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// get decodes a JSON response and reports whether the request succeeded.
func get[T any](f *processFleet, url string) (T, bool) {
	var answer T
	ctx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	response, err := f.client.Do(request)
	if err != nil {
		return answer, false
	}
	defer func() { _ = response.Body.Close() }()
	return answer, json.NewDecoder(response.Body).Decode(&answer) == nil && response.StatusCode == http.StatusOK
}

func (f *processFleet) status(n *processNode) administrator.Status {
	status, _ := get[administrator.Status](f, "http://"+n.operators+"/v1/status")
	return status
}

func (f *processFleet) allAnswer() bool {
	for _, n := range f.nodes {
		if f.status(n).Node == "" {
			return false
		}
	}
	return true
}

// allHave reports whether every node has configuration number or a later one.
func (f *processFleet) allHave(number identifier.Configuration) bool {
	for _, n := range f.nodes {
		if f.status(n).Configuration < number {
			return false
		}
	}
	return true
}

// setTables applies the first tables and waits until every node has them.
func (f *processFleet) setTables() {
	models := tabulator.Pool{Name: "summariser", Kind: tabulator.Models, PieceTokens: 16, KVBytesPerToken: 1 << 10, LesserShare: 0.2, QueueLimit: 64, RepeatableOutput: true}
	add := func(role identifier.Role, engines []*processNode) {
		for _, engine := range engines {
			models.Members = append(models.Members, tabulator.Member{
				Name: identifier.Member(engine.name), Address: identifier.Address(engine.callers), DataCentre: "south",
				Role: role, Pieces: 400, PrefillRate: 8000, LinkRate: 1 << 30, ChecksFencing: true,
			})
		}
	}
	add(identifier.Prefill, f.prefills)
	add(identifier.Decode, f.decodes)
	f.pools = tabulator.Pools{Pools: []tabulator.Pool{models, {
		Name: "desk", Kind: tabulator.Services,
		Members: []tabulator.Member{{Name: "desk-1", Address: identifier.Address(f.service.callers), Role: identifier.Service}},
	}}}
	f.routes = tabulator.Routes{Routes: []tabulator.Route{
		{Name: "weekly", Model: "bitacoras", Pool: "summariser", Rank: identifier.Lesser, FirstToken: seconds(20), BetweenTokens: seconds(2), Timeout: seconds(120)},
		{Name: "booking", Path: "/bookings", Pool: "desk", Rank: identifier.Urgent, Timeout: seconds(10)},
	}}
	number := f.apply(f.nodes[0], administrator.Edit{Routes: &f.routes, Pools: &f.pools})
	f.waitFor("the first tables in force", func() bool { return f.allHave(number) })
}

// apply retries an edit through a node until it is accepted.
func (f *processFleet) apply(n *processNode, edit administrator.Edit) identifier.Configuration {
	f.t.Helper()
	client := administrator.NewClient(administrator.ClientOptions{URL: "http://" + n.operators, Transport: f.client.Transport, Timeout: 30 * time.Second})
	var accepted administrator.ApplyResult
	f.waitFor("an edit accepted", func() bool {
		var err error
		accepted, err = client.Apply(f.t.Context(), edit)
		return err == nil
	})
	return accepted.Configuration
}

// setPlatformFaults sets the faults of the platform.
func (f *processFleet) setPlatformFaults(body string) {
	request, _ := http.NewRequestWithContext(f.t.Context(), http.MethodPut, "http://"+f.platform.callers+"/faults", strings.NewReader(body))
	response, err := f.client.Do(request)
	if err != nil || response.StatusCode >= http.StatusBadRequest {
		f.t.Fatalf("faults: %v %v", response, err)
	}
	_ = response.Body.Close()
}

// allMemoryFree reports whether all engine memory is free.
func (f *processFleet) allMemoryFree() bool {
	for _, engine := range append(append([]*processNode(nil), f.prefills...), f.decodes...) {
		load, ok := get[struct {
			Free int `json:"pieces_free"`
		}](f, "http://"+engine.callers+"/v1/load")
		if !ok || load.Free != 400 {
			return false
		}
	}
	return true
}
