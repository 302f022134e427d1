package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record is the file that run.sh names, record.txt: what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		fail("record: %v", err)
	}
	return &record{file: file, began: time.Now()}
}

func (r *record) write(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// fleet is a small deployment on loopback addresses: a store, servers, and nodes that are
// processes of the deploy file's program.
type fleet struct {
	record  *record
	temp    string
	store   *store
	servers []*server
	nodes   []*node
	prefix  string
	hosts   int
	address string
	http    *http.Server
	version int
	// mutex guards crashedAt and what cases keep.
	mutex     sync.Mutex
	crashedAt []time.Time
}

type node struct {
	name, ip, front, ready, directory string
	settings                          string
	command                           *exec.Cmd
	exited                            chan struct{}
	err                               error
}

var current *fleet

func newFleet(recordPath string) *fleet {
	temp, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	f := &fleet{record: newRecord(recordPath), temp: temp, store: newStore(), version: 10}
	f.prefix = fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), rand.IntN(250))
	current = f
	listener, err := net.Listen("tcp", f.nextIP()+":0")
	if err != nil {
		fail("listen: %v", err)
	}
	f.address = listener.Addr().String()
	f.http = &http.Server{Handler: f.store}
	go func() { _ = f.http.Serve(listener) }()
	return f
}

func (f *fleet) nextIP() string {
	f.hosts++
	return fmt.Sprintf("%s%d", f.prefix, f.hosts)
}

var zones = []string{"heredia", "cartago", "alajuela"}

// addServer starts a server and registers it.
func (f *fleet) addServer(s *server) *server {
	s.record, s.zone, s.born = f.record, zones[len(f.servers)%len(zones)], time.Now().UnixMilli()
	if s.id == "" {
		s.id = fmt.Sprintf("i-%08x", rand.Uint32())
	}
	s.start(f.nextIP())
	f.servers = append(f.servers, s)
	f.store.put("servers", s.id, s.entry("ready"))
	return s
}

// configure writes a configuration with a stream route to the engines and two routes to the desk.
func (f *fleet) configure(change func(configuration map[string]any)) {
	f.version += 3
	route := func(name, kind, service string, priority, timeout, target, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "ficu95.example", "pathPrefix": "/" + name + "/", "routeKind": kind, "timeoutMs": timeout,
			"targetLatencyMs": target, "priority": priority, "service": service, "maxAttempts": attempts,
		}
	}
	report := route("report", "streaming", "llm", 0, 14_000, 800, 1)
	report["gapAimMs"], report["sticky"], report["resumable"] = 300, true, false
	summary := route("summary", "streaming", "llm", 2, 14_000, 2_000, 2)
	summary["gapAimMs"], summary["sticky"], summary["resumable"] = 300, true, true
	configuration := map[string]any{
		"version": f.version,
		"routes": []map[string]any{
			report, summary,
			route("book", "unsafe", "desk", 2, 1_000, 150, 1),
			route("look", "safe", "desk", 2, 1_000, 150, 2),
		},
		"services": []map[string]any{
			{"name": "llm", "healthPath": "/health", "maxConns": 150, "engine": map[string]any{
				"slots": 12, "kvTokens": 96693, "kvTokenBytes": 163840, "linkMbps": 7600000, "stride": 74, "handleTtlS": 0.5, "stageSwitchS": 6,
			}},
			{"name": "desk", "healthPath": "/health", "maxConns": 96},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
	}
	if change != nil {
		change(configuration)
	}
	f.store.put("config", "main", configuration)
	f.record.write("configuration %d is accepted", f.version)
}

// addNode writes a node's settings, as those of hidalgo-humedad, and starts it.
func (f *fleet) addNode(change func(settings map[string]any)) *node {
	ip := f.nextIP()
	port := 20_000 + rand.IntN(8_000)
	at := func(n int) string { return fmt.Sprintf("%s:%d", ip, port+n) }
	n := &node{name: fmt.Sprintf("front-%s-%d", zones[len(f.nodes)%len(zones)], len(f.nodes)), ip: ip, front: at(0), ready: at(1), directory: at(2)}
	settings := map[string]any{
		"nodeName": n.name, "role": "entry", "machineClass": "front", "serves": []string{"front", "directory"},
		"ip": ip, "zone": zones[len(f.nodes)%len(zones)], "region": "valle-central",
		"zones":       map[string]string{"heredia": "valle-central", "cartago": "valle-central", "alajuela": "valle-central"},
		"listenAddrs": map[string]string{"front": n.front, "ready": n.ready, "directory": n.directory},
		"portRange":   []int{port + 10, port + 25}, "seeds": []string{}, "firstStart": true, "inTolerance": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "directory", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "maxStretchMs": 5000, "retryBudgetRatio": 0.2,
			"budgetWindowS": 10, "budgetSlack": 52, "recoverS": 12, "transitMs": 120, "reuseWindowS": 4.6, "fenceChecked": false,
			"leaseMs": 3000, "thawMs": 300, "ttl_max_s": 5,
		},
		"platform": map[string]any{"address": f.address, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
	}
	if change != nil {
		change(settings)
	}
	encoded, err := json.Marshal(settings)
	if err != nil {
		fail("settings: %v", err)
	}
	n.settings = filepath.Join(f.temp, n.name+".json")
	if err := os.WriteFile(n.settings, encoded, 0o600); err != nil {
		fail("settings: %v", err)
	}
	f.nodes = append(f.nodes, n)
	f.startNode(n)
	return n
}

func (f *fleet) startNode(n *node) {
	log, err := os.OpenFile(filepath.Join(f.temp, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	n.command = exec.Command("target/foxtailspool", "run")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FOXTAILSPOOL_SETTINGS=" + n.settings}
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		fail("start: %v", err)
	}
	f.record.write("%s is started", n.name)
	exited := make(chan struct{})
	n.exited = exited
	command := n.command
	go func() {
		n.err = command.Wait()
		_ = log.Close()
		close(exited)
	}()
}

func (f *fleet) signal(n *node, s syscall.Signal) {
	f.record.write("%s gets %s", n.name, s)
	_ = n.command.Process.Signal(s)
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady() {
	for began := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		all := true
		for _, n := range f.nodes {
			all = all && n.isReady()
		}
		if all {
			f.record.write("all nodes are ready")
			return
		}
		if time.Since(began) > 25*time.Second {
			fail("the nodes are not ready")
		}
	}
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		select {
		case <-n.exited:
		default:
			_ = n.command.Process.Signal(syscall.SIGCONT)
			_ = n.command.Process.Kill()
			<-n.exited
		}
	}
	_ = f.http.Close()
	for _, s := range f.servers {
		_ = s.http.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.temp)
	} else {
		fmt.Println("logs:", f.temp)
	}
}

// fail ends a case that can't run.
func fail(format string, args ...any) {
	fmt.Printf("the case can't run: "+format+"\n", args...)
	if f := current; f != nil {
		current = nil
		f.close()
	}
	os.Exit(2)
}
