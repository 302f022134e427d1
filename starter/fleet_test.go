package starter_test

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
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
	callerIP     = "10.9.0.1"
	routeHost    = "shop.example"
	// configurationStep is the difference between two versions of a configuration.
	configurationStep = 3
	// applyTimeout is how soon every node must use an accepted change.
	applyTimeout = 2 * time.Second
	// recoveryTimeout is how soon a fleet must serve again after it lost all state.
	recoveryTimeout = 12 * time.Second
)

// fleet is a small deployment on an emulated in-memory network.
type fleet struct {
	t                    *testing.T
	network              *emulator.Network
	objects              *emulator.Objects
	instances            map[string]*emulator.Instance
	nodes                []*testNode
	cleanupsMutex        sync.Mutex
	cleanups             []func()
	client               *http.Client
	sentCount            atomic.Int64
	configurationVersion int
	// capacity multiplies the capacity that a configuration gives the back ends; zero means one.
	capacity int
	// maxBodyBytes is the limit on bodies of each configuration; zero means 100,000.
	maxBodyBytes int
	// apiKey is the key of requests that have none of their own; empty means none.
	apiKey string
	// extraServices are further services of each configuration.
	extraServices []map[string]any
	// configuration is the latest configuration that was stored.
	configuration map[string]any
	// logs receives the logs of all nodes.
	logs io.Writer
	// restarts are the instances that start again.
	restarts sync.WaitGroup
}

// testNode is a node of the fleet and its latest process.
type testNode struct {
	settings platform.Settings
	host     string
	stop     context.CancelFunc
	exited   chan error
}

// runFleet runs a scenario on a fleet of nodeCount nodes in virtual time.
func runFleet(t *testing.T, nodeCount int, scenario func(t *testing.T, f *fleet)) {
	t.Helper()
	runFleetWithLogs(t, nodeCount, io.Discard, scenario)
}

// runFleetWithLogs is like runFleet and writes the nodes' logs to logs.
func runFleetWithLogs(t *testing.T, nodeCount int, logs io.Writer, scenario func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			t:         t,
			network:   emulator.NewNetwork(time.Millisecond),
			objects:   emulator.NewObjects(),
			instances: map[string]*emulator.Instance{},
			logs:      logs,
		}
		transport := f.network.Host(callerIP).Transport(connector.Limits{
			DialTimeout: time.Second, HeaderTimeout: 20 * time.Second, IdleTimeout: time.Second, MaxConnectionsPerHost: 100,
		})
		transport.DisableCompression = true
		f.client = &http.Client{Transport: transport}
		f.serve("10.200.0.1", storeAddress, f.objects)
		f.addInstances()
		f.configure("desk")
		for n := range nodeCount {
			f.nodes = append(f.nodes, &testNode{settings: nodeSettings(n), host: fmt.Sprintf("10.1.0.%d", n+1)})
			f.start(n)
		}
		defer f.close()
		f.waitFor(t, recoveryTimeout, "the nodes are ready", func() bool { return f.readyNodes() == nodeCount })
		scenario(t, f)
	})
}

func nodeSettings(n int) platform.Settings {
	address := func(port int) identifier.Address { return identifier.Address(fmt.Sprintf("10.1.0.%d:%d", n+1, port)) }
	return platform.Settings{
		Node:             identifier.Node(fmt.Sprintf("front-%d", n)),
		DataCentre:       identifier.DataCentre([]string{"south", "north"}[n%2]),
		CallerAddress:    address(8144),
		ReadinessAddress: address(8140),
		DirectoryAddress: address(8143),
		PeerAddress:      address(7660),
		StoreAddress:     storeAddress,
		MemoryBytes:      1 << 30,
		MaxOpenFiles:     4000,
		TerminationGrace: 8 * time.Second,
		MaxAddressTTL:    5 * time.Second,
		RetryBudget:      platform.RetryBudget{Ratio: 0.2, BaseRetries: 56, Window: 10 * time.Second},
		QuotaTolerance:   platform.QuotaTolerance{Window: 8 * time.Second, Over: 0.1, Slack: 3000},
	}
}

// serve runs an HTTP server of an emulated external system until the fleet is closed.
func (f *fleet) serve(hostIP, address string, handler http.Handler) {
	listener, err := f.network.Host(hostIP).Listen(f.t.Context(), address)
	if err != nil {
		f.t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ErrorLog: nil}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	f.cleanupsMutex.Lock()
	defer f.cleanupsMutex.Unlock()
	f.cleanups = append(f.cleanups, func() {
		_ = server.Close()
		<-served
	})
}

// addInstances starts two prefill and two decode engines, two servers of the service
// "desk" and one server of the service "other".
func (f *fleet) addInstances() {
	findInstance := func(address string) *emulator.Instance {
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
			EventTokens: 50, HandleLife: 500 * time.Millisecond, Find: findInstance, Switch: 2 * time.Second,
			Changed: func(string) { f.putBackend(id, kind.service, n) },
			Crashed: func() { f.restartInstance(ip, id) },
		})
		f.instances[id] = instance
		f.serve(ip, address, instance)
		f.putBackend(id, kind.service, n)
	}
}

// instanceRestartTime is how long a crashed instance refuses connections.
const instanceRestartTime = 2 * time.Second

// restartInstance ends an instance's process and starts it again after a while.
func (f *fleet) restartInstance(ip, id string) {
	f.network.Kill(ip)
	f.restarts.Go(func() {
		time.Sleep(instanceRestartTime)
		f.instances[id].Restart()
		f.serve(ip, strings.TrimPrefix(id, "i-"), f.instances[id])
	})
}

func (f *fleet) putBackend(id, service string, n int) {
	f.objects.Put("servers", id, f.instances[id].Entry(service, []string{"south", "north"}[n%2], "ready"))
}

// instanceIDs returns the IDs of the service's instances whose initial stage is stage.
func (f *fleet) instanceIDs(service, stage string) []string {
	ipSuffixes := map[string][]int{"llm/prefill": {1, 2}, "llm/decode": {3, 4}, "desk/": {5, 6}, "other/": {7}}
	var ids []string
	for _, n := range ipSuffixes[service+"/"+stage] {
		ids = append(ids, fmt.Sprintf("i-10.128.0.%d:8080", n))
	}
	return ids
}

// configure stores a newer configuration that routes bookings and look-ups to service.
func (f *fleet) configure(service string, extraRoutes ...map[string]any) {
	f.configuration = f.newConfiguration(service, extraRoutes...)
	f.objects.Put("config", "main", f.configuration)
}

// newConfiguration returns a newer configuration.
func (f *fleet) newConfiguration(service string, extraRoutes ...map[string]any) map[string]any {
	f.configurationVersion += configurationStep
	capacity := max(1, f.capacity)
	route := func(name, prefix, kind, to string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": routeHost, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": 3000,
			"targetLatencyMs": 800, "priority": 0, "service": to, "maxAttempts": attempts, "gapAimMs": 300,
		}
	}
	routes := []map[string]any{
		route("quote", "/quote/", "streaming", "llm", 1),
		route("book", "/book/", "unsafe", service, 1),
		route("look", "/look/", "safe", service, 2),
	}
	return map[string]any{
		"version": f.configurationVersion,
		"routes":  append(routes, extraRoutes...),
		"services": append([]map[string]any{
			{"name": "llm", "healthPath": "/health", "maxConns": 100 * capacity, "engine": map[string]any{
				"slots": 8 * capacity, "kvTokens": 20000 * capacity, "kvTokenBytes": 163840, "linkMbps": 11e6, "stride": 50, "handleTtlS": 0.5, "stageSwitchS": 2,
			}},
			{"name": "desk", "healthPath": "/health", "maxConns": 100 * capacity},
			{"name": "other", "healthPath": "/health", "maxConns": 100 * capacity},
		}, f.extraServices...),
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": cmp.Or(f.maxBodyBytes, 100000), "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// start starts a new process of node n.
func (f *fleet) start(n int) {
	node := f.nodes[n]
	ctx, stop := context.WithCancel(context.Background())
	node.stop, node.exited = stop, make(chan error, 1)
	started := starter.New(starter.Options{
		Settings:    node.settings,
		Incarnation: identifier.Incarnation(time.Now().UnixNano()),
		Network:     f.network.Host(node.host),
		Log:         logger.New(f.logs, logrus.InfoLevel, logger.Fields{"node": node.settings.Node}),
		Scope:       tally.NoopScope,
	})
	exited := node.exited
	go func() { exited <- started.Run(ctx) }()
}

// kill ends the process of node n without draining it.
func (f *fleet) kill(n int) {
	f.network.Kill(f.nodes[n].host)
	f.nodes[n].stop()
	<-f.nodes[n].exited
}

func (f *fleet) close() {
	f.restarts.Wait()
	f.network.Heal()
	for _, n := range f.nodes {
		n.stop()
	}
	for _, n := range f.nodes {
		if err := <-n.exited; err != nil && !strings.Contains(err.Error(), "closed") {
			f.t.Log(err)
		}
	}
	f.client.CloseIdleConnections()
	for _, cleanUp := range f.cleanups {
		cleanUp()
	}
	f.network.Close()
}

// waitFor polls until condition is true and fails the test after timeout.
func (f *fleet) waitFor(t *testing.T, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %s waiting for: %s", timeout, description)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// readyNodes returns the number of nodes whose readiness check succeeds.
func (f *fleet) readyNodes() int {
	count := 0
	for _, n := range f.nodes {
		if f.get(string(n.settings.ReadinessAddress), "/v1/ready").status == http.StatusOK {
			count++
		}
	}
	return count
}

// clientResponse is the response that a caller got.
type clientResponse struct {
	status    int
	attempt   string
	signature string
	header    http.Header
	body      string
	// truncated is set if the response ended early or never came.
	truncated bool
}

func (f *fleet) get(address, path string) clientResponse {
	httpRequest, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	return f.do(httpRequest)
}

func (f *fleet) do(httpRequest *http.Request) clientResponse {
	httpResponse, err := f.client.Do(httpRequest)
	if err != nil {
		return clientResponse{truncated: true, body: err.Error()}
	}
	defer func() { _ = httpResponse.Body.Close() }()
	body, err := io.ReadAll(httpResponse.Body)
	return clientResponse{
		status:    httpResponse.StatusCode,
		signature: httpResponse.Header.Get("X-Server-Seal"),
		header:    httpResponse.Header,
		body:      string(body),
		truncated: err != nil,
	}
}

// request describes a caller's request; deadline zero means two seconds.
type request struct {
	method, path, body string
	deadline           time.Duration
	header             http.Header
}

func booking() request {
	return request{method: http.MethodPost, path: "/book/9?a=%2F..//b", body: "two chairs"}
}
func lookUp() request { return request{method: http.MethodGet, path: "/look/7"} }
func quote() request {
	return request{method: http.MethodPost, path: "/quote/1", body: strings.Repeat("x", 500), header: http.Header{
		"X-Model": {"m"}, "X-Token-Counts": {"1000,500"}, "X-Prompt-Prefix": {"5c1e:200,91bd:800"}, "X-Length-Hint": {"400"},
	}}
}

// newRequest returns a request to node n with a new attempt ID, which it also returns.
func (f *fleet) newRequest(ctx context.Context, n int, c request) (httpRequest *http.Request, attempt string) {
	attempt = fmt.Sprintf("attempt-%d", f.sentCount.Add(1))
	var body io.Reader
	if c.body != "" {
		body = strings.NewReader(c.body)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, c.method, "http://"+string(f.nodes[n].settings.CallerAddress)+c.path, body)
	if err != nil {
		f.t.Fatal(err)
	}
	httpRequest.Host = routeHost
	for name, values := range c.header {
		httpRequest.Header[name] = values
	}
	httpRequest.Header.Set("X-Attempt-Id", attempt)
	if c.deadline == 0 {
		c.deadline = 2 * time.Second
	}
	httpRequest.Header.Set("X-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	if f.apiKey != "" && httpRequest.Header.Get("Api-Key") == "" {
		httpRequest.Header.Set("Api-Key", f.apiKey)
	}
	return httpRequest, attempt
}

// send sends a request through node n under a new attempt ID.
func (f *fleet) send(ctx context.Context, n int, c request) clientResponse {
	httpRequest, attempt := f.newRequest(ctx, n, c)
	got := f.do(httpRequest)
	got.attempt = attempt
	return got
}

// findRuns returns how often an attempt ran, the IDs of its instances, and the runs.
func (f *fleet) findRuns(attempt string) (count int, ids []string, runs []emulator.Run) {
	for id, instance := range f.instances {
		found, _ := instance.RunsOf(attempt)
		for _, r := range found {
			count++
			ids = append(ids, id)
			runs = append(runs, r)
		}
	}
	return count, ids, runs
}

// checkResponse checks that a success is signed and answers this attempt. If atMostOnce
// is set, the attempt must not run twice, nor at all if it was rejected.
func (f *fleet) checkResponse(t *testing.T, got clientResponse, atMostOnce bool) {
	t.Helper()
	count, ids, _ := f.findRuns(got.attempt)
	if atMostOnce && count > 1 {
		t.Errorf("%s ran %d times at %v", got.attempt, count, ids)
	}
	if count > 0 && atMostOnce && (got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests) {
		t.Errorf("%s was rejected, but ran at %v", got.attempt, ids)
	}
	if got.status != http.StatusOK || got.truncated {
		return
	}
	if got.signature == "" {
		t.Errorf("%s got a success response without a signature", got.attempt)
	}
	if !strings.Contains(got.body, got.attempt) || strings.Contains(strings.ReplaceAll(got.body, got.attempt+"\n", ""), "attempt-") && strings.HasPrefix(got.body, "id:") {
		t.Errorf("%s got the response to another request: %.80q", got.attempt, got.body)
	}
}

func countEvents(body string) int { return strings.Count(body, "\n\n") }

var errCallerDisconnected = errors.New("the caller disconnected")

// addresses returns the addresses that node n gives to callers, or nil if it gives none.
func (f *fleet) addresses(n int) []string {
	var resolved struct {
		Addresses []string `json:"addresses"`
	}
	got := f.get(string(f.nodes[n].settings.DirectoryAddress), "/v1/resolve?name="+routeHost+"&region=r&zone=south")
	if err := json.Unmarshal([]byte(got.body), &resolved); err != nil {
		return nil
	}
	return resolved.Addresses
}
