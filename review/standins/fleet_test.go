package standins

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// fleet is a small deployment: a store, engines of a model service and of a plain service,
// and nodes as separate processes, each machine at a loopback address of its own.
type fleet struct {
	dir     string
	prefix  string // first three bytes of all addresses
	store   *store
	nodes   []*node
	engines []*engine
	routes  []map[string]any
	version int
	memory  int
	record  *recorder
	started time.Time
}

type node struct {
	fleet   *fleet
	name    string
	ip      string
	command *exec.Cmd
	exited  chan struct{}
}

// recorder writes record.txt.
type recorder struct {
	mutex sync.Mutex
	file  io.Writer
	start time.Time
}

func newRecorder(path string) *recorder {
	file, err := os.Create(path)
	if err != nil {
		fail(2, "%v", err)
	}
	return &recorder{file: file, start: time.Now()}
}

func (r *recorder) say(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// fail ends the run; all children end with it.
func fail(code int, format string, values ...any) {
	fmt.Printf(format+"\n", values...)
	stopAll()
	os.Exit(code)
}

var (
	childrenMutex sync.Mutex
	children      = map[*exec.Cmd]bool{}
)

func stopAll() {
	childrenMutex.Lock()
	defer childrenMutex.Unlock()
	for command := range children {
		_ = command.Process.Kill()
	}
}

func newFleet(record *recorder) *fleet {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fail(2, "%v", err)
	}
	f := &fleet{dir: dir, store: newStore(), record: record, memory: 134, started: time.Now()}
	for range 50 {
		f.prefix = fmt.Sprintf("127.%d.%d", 10+rand.Intn(200), 1+rand.Intn(250))
		if listener, err := net.Listen("tcp", f.prefix+".1:8142"); err == nil {
			go func() { _ = (&http.Server{Handler: f.store}).Serve(listener) }()
			return f
		}
	}
	fail(2, "no free addresses")
	return nil
}

func (f *fleet) ip(n int) string { return fmt.Sprintf("%s.%d", f.prefix, n) }

func (f *fleet) settings(n *node) []byte {
	content, err := json.Marshal(map[string]any{
		"nodeName": n.name, "role": "entry", "machineClass": "front", "serves": []string{"front", "directory"},
		"ip": n.ip, "zone": "plovdiv", "region": "bg-south", "zones": map[string]string{"plovdiv": "bg-south"},
		"listenAddrs": map[string]string{"front": n.ip + ":8144", "ready": n.ip + ":8140", "directory": n.ip + ":8143"},
		"portRange":   []int{7660, 7675}, "seeds": []string{}, "firstStart": true, "inTolerance": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": f.memory, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "directory", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "maxStretchMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
			"budgetSlack": 56, "recoverS": 12, "transitMs": 120, "reuseWindowS": 3.2, "fenceChecked": false, "leaseMs": 3000, "thawMs": 300, "ttl_max_s": 5,
		},
		"platform": map[string]any{"address": f.ip(1) + ":8142", "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
	})
	if err != nil {
		panic(err)
	}
	return content
}

// addNode adds a machine and starts its process.
func (f *fleet) addNode() *node {
	n := &node{fleet: f, name: fmt.Sprintf("front-plovdiv-%d", len(f.nodes)+1), ip: f.ip(20 + len(f.nodes))}
	f.nodes = append(f.nodes, n)
	n.start()
	return n
}

func (n *node) start() {
	path := filepath.Join(n.fleet.dir, n.name+".json")
	if err := os.WriteFile(path, n.fleet.settings(n), 0o600); err != nil {
		fail(2, "%v", err)
	}
	log, err := os.OpenFile(filepath.Join(n.fleet.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail(2, "%v", err)
	}
	n.command = exec.Command(os.Getenv("REVIEW_PROGRAM"), "run")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FOXTAILSPOOL_SETTINGS=" + path}
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		fail(2, "start: %v", err)
	}
	childrenMutex.Lock()
	children[n.command] = true
	childrenMutex.Unlock()
	n.fleet.record.say("%s starts (pid %d)", n.name, n.command.Process.Pid)
	command, exited := n.command, make(chan struct{})
	n.exited = exited
	go func() {
		err := command.Wait()
		n.fleet.record.say("%s ended: %v", n.name, err)
		childrenMutex.Lock()
		delete(children, command)
		childrenMutex.Unlock()
		close(exited)
	}()
}

func (n *node) signal(s syscall.Signal) {
	n.fleet.record.say("%v to %s", s, n.name)
	_ = n.command.Process.Signal(s)
}

func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// status returns a field of /proc/PID/status in kilobytes.
func (n *node) status(field string) int {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	for _, line := range strings.Split(string(content), "\n") {
		var value int
		if rest, found := strings.CutPrefix(line, field+":"); found {
			fmt.Sscan(rest, &value)
			return value
		}
	}
	return 0
}

func (n *node) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ip + ":8140/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, n := range f.nodes {
			all = all && n.ready()
		}
		if all {
			f.record.say("all nodes are ready")
			return
		}
	}
	fail(2, "the nodes did not become ready")
}

const host = "ficu95.example"

// configure writes a new version of the configuration.
func (f *fleet) configure(changes ...func(spec map[string]any)) {
	f.version += 3
	routes := []map[string]any{
		{"name": "r-quote", "host": host, "pathPrefix": "/lohu930/", "routeKind": "streaming", "timeoutMs": 14000, "targetLatencyMs": 800, "priority": 0, "service": "huvo11a", "maxAttempts": 1, "sticky": true, "resumable": false, "gapAimMs": 300},
		{"name": "r-hobby", "host": host, "pathPrefix": "/pufi791/", "routeKind": "streaming", "timeoutMs": 14000, "targetLatencyMs": 2000, "priority": 2, "service": "huvo11a", "maxAttempts": 2, "sticky": true, "resumable": true, "gapAimMs": 300},
		{"name": "r-booking", "host": host, "pathPrefix": "/pule252/", "routeKind": "unsafe", "timeoutMs": 1000, "targetLatencyMs": 100, "priority": 2, "service": "wuno96b", "maxAttempts": 1},
		{"name": "r-lookup", "host": host, "pathPrefix": "/puxa403/", "routeKind": "safe", "timeoutMs": 1000, "targetLatencyMs": 100, "priority": 2, "service": "wuno96b", "maxAttempts": 2},
	}
	spec := map[string]any{
		"version": f.version, "routes": routes,
		"services": []map[string]any{
			{"name": "huvo11a", "healthPath": "/health", "maxConns": 240, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 32, "kvTokens": 105738, "kvTokenBytes": 163840, "linkMbps": 11000000.0, "moves": true, "backups": true, "stride": 69, "most": 12, "handleTtlS": 0.5, "stageSwitchS": 6.0, "pinMs": 4000.0, "holdMs": 2000.0, "models": []map[string]string{{"name": "m"}}}},
			{"name": "wuno96b", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	for _, change := range changes {
		change(spec)
	}
	f.store.put("config", "main", spec)
	f.record.say("configuration %d is acknowledged", f.version)
}

var attempts atomic.Int64

var attemptPrefix = rand.Uint32()

func newAttempt() string {
	return fmt.Sprintf("%08x%08x", attemptPrefix, attempts.Add(1))
}

// reply is what a client got.
type reply struct {
	attempt  string
	status   int // 0: the connection ended without an answer
	seal     string
	body     []byte
	complete bool
	err      error
	took     time.Duration
}

type call struct {
	method, path string
	body         []byte
	deadlineMs   int
	header       map[string]string
	newConn      net.Conn // an open connection to use; nil opens a new one
}

// send sends one request on a new connection and reads the answer to its end.
func (n *node) send(c call) reply {
	attempt := newAttempt()
	r := reply{attempt: attempt}
	began := time.Now()
	defer func() { r.took = time.Since(began) }()
	connection, err := net.DialTimeout("tcp", n.ip+":8144", time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer connection.Close()
	_ = connection.SetDeadline(began.Add(time.Duration(c.deadlineMs) * time.Millisecond))
	r = n.exchange(connection, attempt, c)
	r.took = time.Since(began)
	return r
}

func (n *node) exchange(connection net.Conn, attempt string, c call) reply {
	r := reply{attempt: attempt}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", c.method, c.path, host, attempt, c.deadlineMs)
	for name, value := range c.header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	if c.method != "GET" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(c.body))
	}
	text.WriteString("\r\n")
	if _, err := connection.Write(append([]byte(text.String()), c.body...)); err != nil {
		r.err = err
		return r
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: c.method})
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.seal = response.StatusCode, response.Header.Get("X-Server-Seal")
	r.body, r.err = io.ReadAll(response.Body)
	r.complete = r.err == nil
	return r
}
