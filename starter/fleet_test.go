package starter_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/platform"
	"github.com/foxtailspool/foxtailspool/starter"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const (
	storeAddress = "10.200.0.1:8000"
	callerHost   = "10.9.0.1"
	host         = "shop.example"
	// applyBound is how soon an accepted change is in force on every node.
	applyBound = 2 * time.Second
	// recoverBound is how soon a fleet serves again that lost everything.
	recoverBound = 12 * time.Second
)

// fleet is a small deployment on an in-memory network.
type fleet struct {
	t         *testing.T
	network   *emulator.Network
	objects   *emulator.Objects
	instances map[string]*emulator.Instance
	nodes     []*node
	stops     []func()
	caller    *http.Client
	sent      atomic.Int64
	version   int
	// logs takes the log of every node.
	logs io.Writer
}

// node is one node's latest process.
type node struct {
	settings platform.Settings
	host     string
	stop     context.CancelFunc
	ended    chan error
}

// run runs a scenario on a fleet of some nodes in virtual time.
func run(t *testing.T, nodes int, scenario func(t *testing.T, f *fleet)) {
	t.Helper()
	runLogged(t, nodes, io.Discard, scenario)
}

// runLogged is run with the nodes' logs.
func runLogged(t *testing.T, nodes int, logs io.Writer, scenario func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			t:         t,
			network:   emulator.NewNetwork(time.Millisecond),
			objects:   emulator.NewObjects(),
			instances: map[string]*emulator.Instance{},
			logs:      logs,
		}
		transport := f.network.Host(callerHost).Transport(connector.Limits{
			DialTimeout: time.Second, HeaderTimeout: 20 * time.Second, IdleTimeout: time.Second, MaxConnectionsPerHost: 100,
		})
		transport.DisableCompression = true
		f.caller = &http.Client{Transport: transport}
		f.serve("10.200.0.1", storeAddress, f.objects)
		f.addInstances()
		f.configure("desk")
		for n := range nodes {
			f.nodes = append(f.nodes, &node{settings: settingsOf(n), host: fmt.Sprintf("10.1.0.%d", n+1)})
			f.start(n)
		}
		defer f.close()
		f.await(t, recoverBound, "the nodes are ready", func() bool { return f.ready() == nodes })
		scenario(t, f)
	})
}

func settingsOf(n int) platform.Settings {
	at := func(port int) identifier.Address { return identifier.Address(fmt.Sprintf("10.1.0.%d:%d", n+1, port)) }
	return platform.Settings{
		Node:             identifier.Node(fmt.Sprintf("front-%d", n)),
		DataCentre:       identifier.DataCentre([]string{"south", "north"}[n%2]),
		CallerAddress:    at(8144),
		ReadinessAddress: at(8140),
		DirectoryAddress: at(8143),
		PeerAddress:      at(7660),
		StoreAddress:     storeAddress,
		MemoryBytes:      1 << 30,
		MaxOpenFiles:     4000,
		TerminationGrace: 8 * time.Second,
		MaxAddressTTL:    5 * time.Second,
		RetryBudget:      platform.RetryBudget{Ratio: 0.2, BaseRetries: 56, Window: 10 * time.Second},
	}
}

// serve runs an HTTP server of an outside system until the test's end.
func (f *fleet) serve(on, address string, handler http.Handler) {
	listener, err := f.network.Host(on).Listen(f.t.Context(), address)
	if err != nil {
		f.t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ErrorLog: nil}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	f.stops = append(f.stops, func() {
		_ = server.Close()
		<-served
	})
}

// addInstances adds two prefill and two decode engines and two servers of each
// plain service.
func (f *fleet) addInstances() {
	find := func(address string) *emulator.Instance {
		for _, i := range f.instances {
			if strings.HasSuffix(address, ":8080") && i == f.instances["i-"+address] {
				return i
			}
		}
		return nil
	}
	for n, kind := range []struct{ service, stage string }{
		{"llm", "prefill"},
		{"llm", "prefill"},
		{"llm", "decode"},
		{"llm", "decode"},
		{"desk", ""},
		{"desk", ""},
		{"other", ""},
	} {
		ip := fmt.Sprintf("10.128.0.%d", n+1)
		address := ip + ":8080"
		id := "i-" + address
		instance := emulator.NewInstance(emulator.InstanceOptions{
			ID: id, Address: address, Stage: kind.stage, Slots: 8, Queue: 2, Memory: 20000,
			Work: 15 * time.Millisecond, Prefill: 20 * time.Microsecond, Token: time.Millisecond,
			EventTokens: 50, HandleLife: 500 * time.Millisecond, Find: find, Switch: 2 * time.Second,
			Changed: func(string) { f.list(id, kind.service, n) },
		})
		f.instances[id] = instance
		f.serve(ip, address, instance)
		f.list(id, kind.service, n)
	}
}

// list writes an instance's entry.
func (f *fleet) list(id, service string, n int) {
	f.objects.Put("servers", id, f.instances[id].Entry(service, []string{"south", "north"}[n%2], "ready"))
}

// backends returns the ids of a service's instances in a stage.
func (f *fleet) backends(service, stage string) []string {
	numbers := map[string][]int{"llm/prefill": {1, 2}, "llm/decode": {3, 4}, "desk/": {5, 6}, "other/": {7}}
	var ids []string
	for _, n := range numbers[service+"/"+stage] {
		ids = append(ids, fmt.Sprintf("i-10.128.0.%d:8080", n))
	}
	return ids
}

// configure puts a newer configuration in force that sends bookings and look-ups
// to a service.
func (f *fleet) configure(service string, more ...map[string]any) {
	f.version += 3
	route := func(name, prefix, kind, to string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": 3000,
			"targetLatencyMs": 800, "priority": 0, "service": to, "maxAttempts": attempts, "gapAimMs": 300,
		}
	}
	routes := []map[string]any{
		route("quote", "/quote/", "streaming", "llm", 1),
		route("book", "/book/", "unsafe", service, 1),
		route("look", "/look/", "safe", service, 2),
	}
	f.objects.Put("config", "main", map[string]any{
		"version": f.version,
		"routes":  append(routes, more...),
		"services": []map[string]any{
			{"name": "llm", "healthPath": "/health", "maxConns": 100, "engine": map[string]any{
				"slots": 8, "kvTokens": 20000, "kvTokenBytes": 163840, "linkMbps": 11e6, "stride": 50, "handleTtlS": 0.5, "stageSwitchS": 2,
			}},
			{"name": "desk", "healthPath": "/health", "maxConns": 100},
			{"name": "other", "healthPath": "/health", "maxConns": 100},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// start starts a new process of a node.
func (f *fleet) start(n int) {
	own := f.nodes[n]
	ctx, stop := context.WithCancel(context.Background())
	own.stop, own.ended = stop, make(chan error, 1)
	started := starter.New(starter.Options{
		Settings:    own.settings,
		Incarnation: identifier.Incarnation(time.Now().UnixNano()),
		Network:     f.network.Host(own.host),
		Log:         logger.New(f.logs, logrus.InfoLevel, logger.Fields{"node": own.settings.Node}),
		Scope:       tally.NoopScope,
	})
	ended := own.ended
	go func() { ended <- started.Run(ctx) }()
}

// kill ends a node's process without a drain.
func (f *fleet) kill(n int) {
	f.network.Kill(f.nodes[n].host)
	f.nodes[n].stop()
	<-f.nodes[n].ended
}

func (f *fleet) close() {
	f.network.Heal()
	for _, n := range f.nodes {
		n.stop()
	}
	for _, n := range f.nodes {
		if err := <-n.ended; err != nil && !strings.Contains(err.Error(), "closed") {
			f.t.Log(err)
		}
	}
	f.caller.CloseIdleConnections()
	for _, stop := range f.stops {
		stop()
	}
	f.network.Close()
}

// await waits until a condition holds, within a bound.
func (f *fleet) await(t *testing.T, bound time.Duration, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(bound)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", bound, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// ready counts the nodes that say that they are.
func (f *fleet) ready() int {
	count := 0
	for _, n := range f.nodes {
		if f.ask(string(n.settings.ReadinessAddress), "/v1/ready").status == http.StatusOK {
			count++
		}
	}
	return count
}

// answer is what a caller got.
type answer struct {
	status  int
	attempt string
	seal    string
	header  http.Header
	body    string
	// cut tells that the answer broke off, or never came.
	cut bool
}

func (f *fleet) ask(address, path string) answer {
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	return f.do(request)
}

func (f *fleet) do(request *http.Request) answer {
	response, err := f.caller.Do(request)
	if err != nil {
		return answer{cut: true, body: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode,
		seal:   response.Header.Get("X-Server-Seal"),
		header: response.Header,
		body:   string(body),
		cut:    err != nil,
	}
}

// call is one request of a caller.
type call struct {
	method, path, body string
	deadline           time.Duration
	header             http.Header
}

func booking() call {
	return call{method: http.MethodPost, path: "/book/9?a=%2F..//b", body: "two chairs"}
}
func lookUp() call { return call{method: http.MethodGet, path: "/look/7"} }
func quote() call {
	return call{method: http.MethodPost, path: "/quote/1", body: strings.Repeat("x", 500), header: http.Header{
		"X-Model": {"m"}, "X-Token-Counts": {"1000,500"}, "X-Prompt-Prefix": {"5c1e:200,91bd:800"}, "X-Length-Hint": {"400"},
	}}
}

// send sends a request through a node.
func (f *fleet) send(ctx context.Context, n int, c call) answer {
	attempt := fmt.Sprintf("attempt-%d", f.sent.Add(1))
	var body io.Reader
	if c.body != "" {
		body = strings.NewReader(c.body)
	}
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+string(f.nodes[n].settings.CallerAddress)+c.path, body)
	if err != nil {
		f.t.Fatal(err)
	}
	request.Host = host
	for name, values := range c.header {
		request.Header[name] = values
	}
	request.Header.Set("X-Attempt-Id", attempt)
	if c.deadline == 0 {
		c.deadline = 2 * time.Second
	}
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	got := f.do(request)
	got.attempt = attempt
	return got
}

// runsOf returns how often and where an attempt was run.
func (f *fleet) runsOf(attempt string) (count int, where []string, runs []emulator.Run) {
	for id, instance := range f.instances {
		for _, r := range instance.Runs() {
			if r.Attempt == attempt {
				count++
				where = append(where, id)
				runs = append(runs, r)
			}
		}
	}
	return count, where, runs
}

// check holds an answer against what must be true of every one.
func (f *fleet) check(t *testing.T, got answer, once bool) {
	t.Helper()
	count, where, _ := f.runsOf(got.attempt)
	if once && count > 1 {
		t.Errorf("%s ran %d times at %v", got.attempt, count, where)
	}
	if count > 0 && once && (got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests) {
		t.Errorf("%s was told not to have run, and ran at %v", got.attempt, where)
	}
	if got.status != http.StatusOK || got.cut {
		return
	}
	if got.seal == "" {
		t.Errorf("%s got a success without a signature", got.attempt)
	}
	if !strings.Contains(got.body, got.attempt) || strings.Contains(strings.ReplaceAll(got.body, got.attempt+"\n", ""), "attempt-") && strings.HasPrefix(got.body, "id:") {
		t.Errorf("%s got the answer of another: %.80q", got.attempt, got.body)
	}
}

// events counts the events of a stream's body.
func events(body string) int { return strings.Count(body, "\n\n") }

var errTest = errors.New("the caller leaves")

// entries asks a node for addresses.
func (f *fleet) entries(n int) []string {
	var answered struct {
		Addresses []string `json:"addresses"`
	}
	got := f.ask(string(f.nodes[n].settings.DirectoryAddress), "/v1/resolve?name="+host+"&region=r&zone=south")
	if err := json.Unmarshal([]byte(got.body), &answered); err != nil {
		return nil
	}
	return answered.Addresses
}
