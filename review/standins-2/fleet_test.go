package standins

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The deployment's figures, which the configuration states too.
const (
	heartbeat   = 1200 * time.Millisecond
	handleLife  = 500 * time.Millisecond
	stageSwitch = 6 * time.Second
	eventTokens = 69
	kvTokens    = 105738
	tokenBytes  = 163840
	host        = "dealers.example"
)

// A fleet is one small deployment: nodes of the system as processes, and stand-ins for the
// store and the engines.
type fleet struct {
	net     int
	dir     string
	store   *store
	engines []*engine
	nodes   []*node
	began   time.Time

	// holdOrder says of an order that has reached an engine that it gets no answer now.
	holdOrder func(e *engine, sent order) bool
	// onOrder, if set, sees each order as an engine carries it out.
	onOrder func(e *engine, sent order)

	mutex  sync.Mutex
	record *os.File
	runs   map[string][]string
}

type node struct {
	name, ip             string
	front, ready, lookup string
	settings             string
	process              *exec.Cmd
	fleet                *fleet
}

func newFleet(recordPath string) (*fleet, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{net: 20 + rand.IntN(200), dir: dir, began: time.Now(), record: record, runs: map[string][]string{}}
	f.store, err = startStore(f.freeAddress(3, 1))
	return f, err
}

// freeAddress returns a loopback address with a free port.
func (f *fleet) freeAddress(kind, number int) string {
	ip := fmt.Sprintf("127.%d.%d.%d", f.net, kind, number)
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// note writes a line of the record.
func (f *fleet) note(format string, values ...any) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(f.began).Seconds()) + fmt.Sprintf(format, values...) + "\n"
	_, _ = f.record.WriteString(line)
}

// ran records that an engine began to work on a request.
func (f *fleet) ran(e *engine, attempt string) {
	f.note("%s runs at %s", attempt, e.id)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.runs[attempt] = append(f.runs[attempt], e.id)
}

// runsOf returns the engines that ran a request.
func (f *fleet) runsOf(attempt string) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]string{}, f.runs[attempt]...)
}

func (f *fleet) obeyed(e *engine, sent order) {
	f.note("engine %s (born %d) gets the order stage=%s of holder %s with fence %d", e.id, e.born, sent.Stage, sent.Holder, sent.Fence)
	if f.onOrder != nil {
		f.onOrder(e, sent)
	}
}

func (f *fleet) at(address string) *engine {
	for _, e := range f.engines {
		if e.address == address {
			return e
		}
	}
	return nil
}

// addEngine starts an engine.
func (f *fleet) addEngine(e *engine) {
	e.fleet = f
	e.address = f.freeAddress(2, len(f.engines)+1)
	if e.id == "" {
		e.id = "i-" + randomID()[:8]
	}
	if e.link != nil {
		e.link.behind = f.freeAddress(4, len(f.engines)+1)
		if err := e.link.start(e.address); err != nil {
			panic(err)
		}
	}
	f.engines = append(f.engines, e)
	if err := e.start(); err != nil {
		panic(err)
	}
	go e.beat(heartbeat)
}

// addNodes starts count nodes with the command of the deploy file and waits until all are
// ready.
func (f *fleet) addNodes(count int) error {
	zones := []string{"plovdiv", "stara-zagora", "haskovo"}
	for i := range count {
		n := &node{name: fmt.Sprintf("front-%s-1", zones[i%3]), fleet: f}
		n.front, n.ready, n.lookup = f.freeAddress(1, i+1), f.freeAddress(1, i+1), f.freeAddress(1, i+1)
		n.ip, _, _ = net.SplitHostPort(n.front)
		_, port, _ := net.SplitHostPort(f.freeAddress(1, i+1))
		var first int
		_, _ = fmt.Sscan(port, &first)
		content, _ := json.Marshal(map[string]any{
			"nodeName": n.name, "role": "entry", "machineClass": "front", "serves": []string{"front", "directory"},
			"ip": n.ip, "zone": zones[i%3], "region": "bg-south",
			"zones":       map[string]string{"plovdiv": "bg-south", "stara-zagora": "bg-south", "haskovo": "bg-south"},
			"listenAddrs": map[string]string{"front": n.front, "ready": n.ready, "directory": n.lookup},
			"portRange":   []int{first, first + 15}, "seeds": []string{}, "firstStart": true, "inTolerance": false,
			"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 134, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"dataDir": nil, "discovery": "platform", "entry": "directory", "heartbeatMs": heartbeat.Milliseconds(),
			"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"},
			"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
			"bounds": map[string]any{
				"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
				"lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "maxStretchMs": 5000, "retryBudgetRatio": 0.2,
				"budgetWindowS": 10, "budgetSlack": 56, "recoverS": 12, "transitMs": 120, "reuseWindowS": 3.2, "fenceChecked": false,
				"leaseMs": 3000, "thawMs": 300, "ttl_max_s": 5,
			},
			"platform": map[string]any{"address": f.store.address, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
		})
		n.settings = filepath.Join(f.dir, n.name+".json")
		if err := os.WriteFile(n.settings, content, 0o600); err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, n := range f.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not become ready", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	f.note("%d nodes are ready", count)
	return nil
}

// start starts the node's process as the deploy file says: `run = "target/foxtailspool run"`.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.fleet.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.process = exec.Command("target/foxtailspool", "run")
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "FOXTAILSPOOL_SETTINGS=" + n.settings}
	n.process.Stdout, n.process.Stderr = log, log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return n.process.Start()
}

func (n *node) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+"/v1/ready", nil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// configure writes the operator's configuration with two services: one of engines, one plain.
func (f *fleet) configure(version int, model, plain string) {
	f.store.put("config", "main", map[string]any{
		"version": version,
		"limits":  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
		"services": []map[string]any{
			{"name": model, "healthPath": "/health", "engine": map[string]any{
				"slots": 32, "kvTokens": kvTokens, "kvTokenBytes": tokenBytes, "linkMbps": 11000000, "stride": eventTokens,
				"handleTtlS": handleLife.Seconds(), "stageSwitchS": stageSwitch.Seconds(),
			}},
			{"name": plain, "healthPath": "/health"},
		},
		"routes": []map[string]any{
			{"name": "quotes", "host": host, "pathPrefix": "/quotes/", "routeKind": "streaming", "timeoutMs": 14000, "targetLatencyMs": 800, "gapAimMs": 300, "priority": 0, "service": model, "maxAttempts": 1, "sticky": true},
			{"name": "bookings", "host": host, "pathPrefix": "/bookings/", "routeKind": "unsafe", "timeoutMs": 1000, "targetLatencyMs": 100, "priority": 2, "service": plain, "maxAttempts": 1},
			{"name": "lookups", "host": host, "pathPrefix": "/lookups/", "routeKind": "safe", "timeoutMs": 1000, "targetLatencyMs": 100, "priority": 2, "service": plain, "maxAttempts": 2},
		},
	})
	f.note("configuration %d is in the store", version)
}

// end ends all processes and removes the temporary files, unless KEEP names a folder for the
// logs of the nodes.
func (f *fleet) end() {
	for _, n := range f.nodes {
		if n.process != nil && n.process.Process != nil {
			_ = n.process.Process.Kill()
			_ = n.process.Wait()
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(f.dir))
	}
	_ = os.RemoveAll(f.dir)
	_ = f.record.Close()
}

// A request is one attempt of a client.
type request struct {
	method, path, body string
	deadline           time.Duration
	// counts and parts are those of a model request; counts is empty for another one.
	counts, parts string
	hint          string
}

// A result is what the client has seen of its attempt.
type result struct {
	attempt string
	status  int
	// complete is set if the answer's end arrived as HTTP says.
	complete bool
	body     string
	err      error
}

// clients are the clients of all zones. They open a connection for each request.
var clients = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}

// send sends a request to a node and reads its answer.
func (n *node) send(r request) result {
	attempt := randomID()
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	sent, err := http.NewRequestWithContext(ctx, r.method, "http://"+n.front+r.path, strings.NewReader(r.body))
	if err != nil {
		return result{attempt: attempt, err: err}
	}
	sent.Host = host
	sent.Header.Set("X-Attempt-Id", attempt)
	sent.Header.Set("X-Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	if r.counts != "" {
		sent.Header.Set("X-Model", "m")
		sent.Header.Set("X-Token-Counts", r.counts)
		sent.Header.Set("X-Prompt-Prefix", r.parts)
	}
	if r.hint != "" {
		sent.Header.Set("X-Length-Hint", r.hint)
	}
	n.fleet.note("%s sent to %s: %s %s %s", attempt, n.name, r.method, r.path, r.parts)
	got, err := clients.Do(sent)
	if err != nil {
		n.fleet.note("%s got no answer: %v", attempt, err)
		return result{attempt: attempt, err: err}
	}
	defer func() { _ = got.Body.Close() }()
	content, err := io.ReadAll(got.Body)
	n.fleet.note("%s answered with %d, %d bytes, complete %t%s", attempt, got.StatusCode, len(content), err == nil, refusalOf(got.StatusCode, content))
	return result{attempt: attempt, status: got.StatusCode, complete: err == nil, body: string(content), err: err}
}

func refusalOf(status int, content []byte) string {
	if status < 400 || len(content) > 300 {
		return ""
	}
	return ": " + string(content)
}
