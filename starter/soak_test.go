package starter_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
)

var (
	soakSeeds     = flag.Int("soak-seeds", int(earlierKindCount), "number of seeds to run")
	soakFirstSeed = flag.Uint64("soak-first", 1, "first seed to run")
	soakNodes     = flag.Int("soak-nodes", 4, "number of nodes for each seed")
	soakRace      = flag.Bool("soak-race", false, "build the nodes with the race detector")
	soakLogs      = flag.String("soak-logs", "", "folder for the nodes' logs")
)

// regressionSeeds once failed; docs/FAULTS.md gives the causes. TestSoak always runs them.
var regressionSeeds = []uint64{23050, 23051, 23052, 23053, 23054, 23057, 23060, 23062, 23063, 23065, 23068, 23080, 23086, 23098, 29002}

const (
	// soakDuration is the mean duration of the fault injection for each seed.
	soakDuration = 8 * time.Second
	// soakFaultCount is the number of faults for each seed.
	soakFaultCount = 8
	// soakEventTokens is the number of tokens in each event of a stream.
	soakEventTokens = 50
	// soakRecoveryTimeout is how soon after the last fault all nodes must serve all requests.
	soakRecoveryTimeout = recoveryTimeout
)

// soakKind says which faults a seed injects.
type soakKind uint64

const (
	// mixedSoak injects all faults but a store that comes back from a copy.
	mixedSoak soakKind = iota
	// plannedSoak injects planned work only: signals to stop and to reload, and configurations.
	// Every request must get an answer or a refusal.
	plannedSoak
	// restoredSoak lets the store come back from older copies, beside ends of nodes, planned
	// work and back ends that join and leave.
	restoredSoak
	// limitedSoak lets back ends name rates and the configuration grow by many routes, beside
	// ends of nodes, planned work and back ends that join and leave.
	limitedSoak
	// strainedSoak lets back ends fail with statuses that promise that a request has not run,
	// send heads before events and bytes without end, and callers stay idle or send large
	// bodies, beside ends of nodes and planned work.
	strainedSoak
	// deadlySoak lets requests with one part in their prompts crash the engines that answer
	// them, beside ends of nodes and planned work.
	deadlySoak
	// accountSoak takes keys away while one account sends more than its quota, beside ends and
	// pauses of nodes, planned work and a store that turns nodes away.
	accountSoak
	// invalidSoak lets back ends give answers that are not valid HTTP or are broken off while the
	// request is still sent, beside ends of nodes and planned work.
	invalidSoak
	soakKindCount
	// earlierKindCount is the number of kinds of the seeds below firstLimitedSeed,
	// unstrainedKindCount that of those below firstStrainedSeed, unharmedKindCount that of those
	// below firstDeadlySeed, anonymousKindCount that of those below firstAccountSeed, and
	// validKindCount that of those below firstInvalidSeed.
	earlierKindCount    = limitedSoak
	unstrainedKindCount = strainedSoak
	unharmedKindCount   = deadlySoak
	anonymousKindCount  = accountSoak
	validKindCount      = invalidSoak
)

// firstLimitedSeed, firstStrainedSeed, firstDeadlySeed, firstAccountSeed and firstInvalidSeed are
// the first seeds that may be of a kind from limitedSoak, strainedSoak, deadlySoak, accountSoak or
// invalidSoak on: earlier seeds keep the kind with which they were run.
const (
	firstLimitedSeed  = 300_000
	firstStrainedSeed = 400_000
	firstDeadlySeed   = 500_000
	firstAccountSeed  = 600_000
	firstInvalidSeed  = 700_000
)

// coverageSeeds run always: the first of each kind that the default seeds do not have.
var coverageSeeds = []uint64{firstLimitedSeed + 3, firstStrainedSeed + 4, firstDeadlySeed + 3, firstAccountSeed + 4, firstInvalidSeed + 7}

func kindOfSeed(seed uint64) soakKind {
	switch {
	case seed < firstLimitedSeed:
		return soakKind(seed) % earlierKindCount
	case seed < firstStrainedSeed:
		return soakKind(seed) % unstrainedKindCount
	case seed < firstDeadlySeed:
		return soakKind(seed) % unharmedKindCount
	case seed < firstAccountSeed:
		return soakKind(seed) % anonymousKindCount
	case seed < firstInvalidSeed:
		return soakKind(seed) % validKindCount
	default:
		return soakKind(seed) % soakKindCount
	}
}

// TestSoak runs real node processes against an emulated store and back ends and injects
// external faults, in an order given by the seed. Meanwhile callers compare the responses
// with what the back ends ran.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes and takes several seconds")
	}
	binary := buildBinary(t)
	seeds := slices.Concat(regressionSeeds, coverageSeeds)
	for n := range *soakSeeds {
		if seed := *soakFirstSeed + uint64(n); !slices.Contains(seeds, seed) {
			seeds = append(seeds, seed)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			addresses := &soakAddresses[seed%soakNetworks]
			addresses.Lock()
			defer addresses.Unlock()
			runSoak(t, binary, seed)
		})
	}
}

// soakNetworks is the number of loopback networks, which the seeds share.
const soakNetworks = 200

// soakAddresses has a mutex for each network, held while a seed uses it.
var soakAddresses [soakNetworks]sync.Mutex

// buildBinary builds the program, with the race detector if the flag says so, and returns its
// path.
func buildBinary(t *testing.T) string {
	t.Helper()
	return buildProgram(t, *soakRace)
}

// buildProgram builds the program with or without the race detector and returns its path.
func buildProgram(t *testing.T, withRace bool) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "foxtailspool")
	arguments := []string{"build", "-o", binary}
	if withRace {
		arguments = append(arguments, "-race")
	}
	build := exec.CommandContext(t.Context(), "go", append(arguments, "..")...)
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return binary
}

// soakRun is one seed's deployment of real processes.
type soakRun struct {
	t      *testing.T
	seed   uint64
	kind   soakKind
	random *rand.Rand
	binary string
	dir    string
	// fleet holds the emulators, the client and the checks.
	fleet    *fleet
	operator *operator
	// storeProxies has each node's proxy to the store.
	storeProxies []*proxy
	backends     []*soakBackend
	// backendProxies has each back end's proxy, by instance ID.
	backendProxies map[string]*proxy
	processes      []*process
	// background holds the faults that go on beside others.
	background sync.WaitGroup

	mutex    sync.Mutex
	faultLog []string
	// failures counts the failed requests by kind of failure.
	failures map[string]int
	// disturbances has the times without the guarantees of the rules, by node or storeKey.
	disturbances map[string][]*disturbance
	// copies has the backups of the store, oldest first.
	copies []storeCopy
	// limits has the rates that back ends have named.
	limits map[*soakBackend]float64
	// withRace is set if the nodes are built with the race detector.
	withRace bool
	// peakMemory is the most memory of a process that watchMemory has seen, in megabytes.
	peakMemory int
	// memoryMb and maxFiles are the limits in the nodes' settings.
	memoryMb, maxFiles int
	// crowded is set while idle callers crowd a node.
	crowded bool
}

// disturbance is a time during which a node or the store is disturbed.
type disturbance struct {
	// until is zero while it lasts.
	from, until time.Time
}

// storeKey is the key of the store's disturbances.
const storeKey = "store"

func nodeKey(n int) string { return fmt.Sprint("node ", n) }

// disturb notes that a node or the store is disturbed until end is called.
func (s *soakRun) disturb(key string) (end func()) {
	added := &disturbance{from: time.Now()}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.disturbances[key] = append(s.disturbances[key], added)
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if added.until.IsZero() {
			added.until = time.Now()
		}
	}
}

// isDisturbed reports whether node n or the store was disturbed between two times.
func (s *soakRun) isDisturbed(n int, from, until time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, d := range slices.Concat(s.disturbances[storeKey], s.disturbances[nodeKey(n)]) {
		if d.from.Before(until) && (d.until.IsZero() || d.until.After(from)) {
			return true
		}
	}
	return false
}

// process is one node's process.
type process struct {
	mutex sync.Mutex
	processState
	command *exec.Cmd
	// exited is closed when the command has ended.
	exited chan struct{}
	// logOffset is the size of the log when the process started.
	logOffset int64
	// isStopped is set from the signal that ends the process until its next start, isKilled
	// if that is SIGKILL.
	isStopped, isKilled bool
	// seenVersion is the newest configuration that the process has used, since seenAt.
	seenVersion int
	seenAt      time.Time
}

// processState tells a node's processes apart.
type processState struct {
	// starts is the number of starts so far, started the time of the last.
	starts  int
	started time.Time
	// terminated is when one of the processes last got SIGTERM, zero if none did.
	terminated time.Time
}

func (p *process) state() processState {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.processState
}

// ip returns a loopback address that no seed running at the same time uses.
func (s *soakRun) ip(group, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 10+s.seed%soakNetworks, group, n+1)
}

func (s *soakRun) nodeAddress(n, port int) identifier.Address {
	return identifier.Address(fmt.Sprintf("%s:%d", s.ip(0, n), port))
}

func runSoak(t *testing.T, binary string, seed uint64) {
	s := newSoakRun(t, binary, seed)
	defer s.close()
	s.startNodes()
	ctx, stop := context.WithCancel(t.Context())
	callerGroup := s.startCallers(ctx)
	if s.kind == accountSoak {
		callerGroup.Go(func() { s.sendHot(ctx) })
	}
	copier := make(chan struct{})
	s.takeCopy()
	s.background.Go(func() { s.keepCopies(copier) })
	s.background.Go(func() { s.watchMemory(copier) })
	s.injectFaults()
	close(copier)
	s.background.Wait()
	s.logFault("all faults have ended")
	s.waitFor("every node serves every kind of request", s.allNodesServe)
	stop()
	callerGroup.Wait()
	if t.Failed() {
		t.Logf("seed %d: failures %v\n%s", seed, s.failures, strings.Join(s.faultLog, "\n"))
	}
}

func newSoakRun(t *testing.T, binary string, seed uint64) *soakRun {
	s := &soakRun{
		t: t, seed: seed, kind: kindOfSeed(seed), withRace: *soakRace, disturbances: map[string][]*disturbance{}, limits: map[*soakBackend]float64{}, failures: map[string]int{}, random: rand.New(rand.NewPCG(seed, 7)), binary: binary, dir: t.TempDir(),
		backendProxies: map[string]*proxy{}, memoryMb: soakMemoryMb, maxFiles: soakMaxFiles,
		fleet: &fleet{t: t, objects: emulator.NewObjects(), instances: map[string]*emulator.Instance{}, logs: io.Discard, capacity: soakCapacity()},
	}
	if s.kind == strainedSoak || s.kind == invalidSoak {
		s.fleet.maxBodyBytes = soakMaxBodyBytes
	}
	s.operator = &operator{fleet: s.fleet}
	if s.kind == accountSoak {
		s.operator.accounts, s.fleet.apiKey = soakAccounts, soakKey
	}
	s.fleet.extraServices = []map[string]any{{"name": "slow", "healthPath": "/health", "maxConns": 100 * s.fleet.capacity}}
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Second, DisableCompression: true}
	s.fleet.client = &http.Client{Transport: transport, Timeout: 10 * time.Second}
	return s
}

// soakCapacity returns the factor by which the back ends grow with the number of nodes,
// and so of callers.
func soakCapacity() int { return max(1, *soakNodes/4) }

// startNodes starts the emulators and the nodes and waits until the nodes are ready.
func (s *soakRun) startNodes() {
	s.startEmulators()
	s.operator.configure("desk")
	for n := range *soakNodes {
		settings := nodeSettings(n)
		settings.CallerAddress = s.nodeAddress(n, 8144)
		settings.ReadinessAddress = s.nodeAddress(n, 8140)
		settings.DirectoryAddress = s.nodeAddress(n, 8143)
		s.fleet.nodes = append(s.fleet.nodes, &testNode{settings: settings})
		s.processes = append(s.processes, &process{})
		s.start(n)
	}
	s.waitFor("the nodes are ready", func() bool { return s.fleet.readyNodes() == *soakNodes })
}

// startEmulators starts the store and the back ends, each behind a proxy.
func (s *soakRun) startEmulators() {
	store := s.serve(s.ip(1, 0)+":0", s.fleet.objects)
	for n := range *soakNodes {
		storeProxy, err := newProxy(s.ip(1, 10+n)+":8000", store)
		if err != nil {
			s.t.Fatal(err)
		}
		s.storeProxies = append(s.storeProxies, storeProxy)
	}
	findInstance := func(address string) *emulator.Instance { return s.fleet.instances["i-"+address] }
	const work = 10 * time.Millisecond
	for n, kind := range []struct {
		service, stage string
		work           time.Duration
	}{
		{"llm", "prefill", 0},
		{"llm", "prefill", 0},
		{"llm", "decode", 0},
		{"llm", "decode", 0},
		{"desk", "", work},
		{"desk", "", work},
		{"other", "", work},
		{"slow", "", 150 * work},
		{"slow", "", 450 * work},
		{"desk", "", work},
	} {
		address := s.ip(2, n) + ":8080"
		id := "i-" + address
		backend := &soakBackend{id: id, service: kind.service}
		backend.instance = emulator.NewInstance(emulator.InstanceOptions{
			ID: id, Address: address, Stage: kind.stage,
			Slots: 16 * s.fleet.capacity, Queue: 2 * s.fleet.capacity, Memory: 40000 * s.fleet.capacity,
			Work: kind.work, Prefill: 10 * time.Microsecond, Token: time.Millisecond,
			EventTokens: soakEventTokens, HandleLife: 500 * time.Millisecond, Find: findInstance,
			Switch: 2 * time.Second, Changed: func(string) { backend.writeEntry(s.fleet.objects) },
			Crashed: func() { s.restartBackend(id) },
		})
		backendProxy, err := newProxy(address, s.serve(s.ip(3, n)+":0", backend.instance))
		if err != nil {
			s.t.Fatal(err)
		}
		s.backendProxies[id] = backendProxy
		s.fleet.instances[id] = backend.instance
		s.backends = append(s.backends, backend)
	}
	for _, backend := range s.backends[:len(s.backends)-1] {
		backend.join(s.fleet.objects)
	}
}

// serve runs an HTTP server until the seed ends and returns its address.
func (s *soakRun) serve(address string, handler http.Handler) string {
	listener, err := (&net.ListenConfig{}).Listen(s.t.Context(), "tcp", address)
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	s.fleet.cleanups = append(s.fleet.cleanups, func() {
		_ = server.Close()
		<-served
	})
	return listener.Addr().String()
}

func (s *soakRun) logDir() string {
	if *soakLogs != "" {
		return *soakLogs
	}
	return s.dir
}

// logFault adds a fault and its time to faultLog, which is printed if the seed's test fails.
func (s *soakRun) logFault(format string, arguments ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faultLog = append(s.faultLog, fmt.Sprintf("%s "+format, append([]any{time.Now().Format("05.000")}, arguments...)...))
}

// injectFaults starts the seed's faults one after the other. They overlap, and some end
// early. When it returns, only those in background still go on.
func (s *soakRun) injectFaults() {
	if s.kind == deadlySoak {
		s.startDeadlyTraffic()
	}
	var endFaults []func()
	restoreFault := 2 + s.random.IntN(soakFaultCount-2)
	for fault := range soakFaultCount {
		if s.kind == restoredSoak && fault == restoreFault {
			s.changeConfiguration()
			s.startRestores()
		}
		endFaults = append(endFaults, s.startFault())
		time.Sleep(time.Duration(s.random.Int64N(int64(soakDuration / soakFaultCount * 2))))
		if s.random.IntN(2) == 0 {
			index := s.random.IntN(len(endFaults))
			endFaults[index]()
			endFaults[index] = func() {}
		}
	}
	for _, end := range endFaults {
		end()
	}
}

// startFault starts one random fault of the seed's kind and returns the function that ends it.
func (s *soakRun) startFault() (end func()) {
	switch chance := s.random.IntN(6); {
	case s.kind == restoredSoak && chance < 2:
		s.changeConfiguration()
		return func() {}
	case s.kind == restoredSoak && chance == 2:
		s.changeBackends()
		return func() {}
	case s.kind == restoredSoak && chance == 3:
		s.kill(s.random.IntN(len(s.processes)))
		return func() {}
	case s.kind == limitedSoak && chance < 4:
		return s.startLimit()
	case s.kind == strainedSoak && chance < 5:
		return s.startStrain()
	case s.kind == deadlySoak && chance < 2:
		s.kill(s.random.IntN(len(s.processes)))
		return func() {}
	case s.kind == accountSoak && chance < 4:
		return s.startAccountFault()
	case s.kind == invalidSoak && chance < 5:
		return s.startInvalidAnswers()
	case s.kind == mixedSoak && chance < 4:
		return s.startOutage()
	default:
		return s.startPlannedWork()
	}
}

// startPlannedWork stops or reloads nodes, or changes the configuration.
func (s *soakRun) startPlannedWork() (end func()) {
	n := s.random.IntN(len(s.processes))
	switch s.random.IntN(5) {
	case 0, 1:
		s.terminate(n)
		return func() {}
	case 2:
		return s.changeSettings(n)
	case 3:
		s.reloadSeveral()
		return func() {}
	default:
		s.changeConfiguration()
		return func() {}
	}
}

// startOutage starts a fault that is not planned.
func (s *soakRun) startOutage() (end func()) {
	n := s.random.IntN(len(s.processes))
	backend := s.backends[s.random.IntN(len(s.backends))]
	id, instance := backend.id, backend.instance
	backendProxy, storeProxy := s.backendProxies[id], s.storeProxies[n]
	setProxyFault := func(p *proxy, description string, fault proxyFault) func() {
		s.logFault("%s: %+v", description, fault)
		p.setFault(fault)
		return func() { p.setFault(proxyFault{}) }
	}
	switch s.random.IntN(10) {
	case 0:
		s.kill(n)
		return func() {}
	case 1:
		return s.pause(n)
	case 2:
		return setProxyFault(backendProxy, id, proxyFault{chunkDelay: 30 * time.Millisecond})
	case 3:
		return setProxyFault(backendProxy, id, proxyFault{blockToServer: s.random.IntN(2) == 0, blockToClient: true})
	case 4:
		s.logFault("%s: connections reset", id)
		backendProxy.resetConnections()
		return func() {}
	case 5:
		s.logFault("%s: connections go silent", id)
		backendProxy.silenceConnections()
		return func() {}
	case 6:
		endDisturbance := s.disturb(nodeKey(n))
		endFault := setProxyFault(storeProxy, fmt.Sprint("store of node ", n), proxyFault{blockToClient: true})
		return func() { endFault(); endDisturbance() }
	case 7:
		s.logFault("the store rejects all calls")
		endDisturbance := s.disturb(storeKey)
		s.fleet.objects.SetFaults(emulator.ObjectFaults{Status: http.StatusServiceUnavailable})
		return func() { s.fleet.objects.SetFaults(emulator.ObjectFaults{}); endDisturbance() }
	case 8:
		s.logFault("%s crashes", id)
		instance.Crash()
		backendProxy.resetConnections()
		return func() {}
	default:
		s.logFault("%s returns faulty responses", id)
		instance.SetFaults(emulator.InstanceFaults{LoseAnswers: 2, Truncate: 2, Noise: 2, Extra: 2, Errors: 2, Shed: 2})
		return func() { instance.SetFaults(emulator.InstanceFaults{}) }
	}
}

// allNodesServe reports whether every node answers every kind of request, with the newest
// configuration.
func (s *soakRun) allNodesServe() bool {
	var group sync.WaitGroup
	var failures atomic.Int64
	probe := request{method: http.MethodGet, path: probePrefix(s.operator.newestVersion())}
	for n := range s.processes {
		group.Go(func() {
			for _, c := range []request{booking(), lookUp(), quote(), probe} {
				if got := s.fleet.send(s.t.Context(), n, c); got.status != http.StatusOK || got.truncated {
					failures.Add(1)
				}
			}
		})
	}
	group.Wait()
	return failures.Load() == 0
}

// waitFor polls until condition is true and fails the seed's test after soakRecoveryTimeout.
func (s *soakRun) waitFor(description string, condition func() bool) {
	deadline := time.Now().Add(soakRecoveryTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			s.t.Errorf("seed %d: timed out after %s waiting for: %s", s.seed, soakRecoveryTimeout, description)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// close kills the processes that this soak started, each by its ID, and checks their logs.
func (s *soakRun) close() {
	s.background.Wait()
	for n, process := range s.processes {
		if process.exited == nil {
			continue
		}
		process.mutex.Lock()
		process.isStopped, process.isKilled = true, true
		process.mutex.Unlock()
		s.signal(n, syscall.SIGCONT)
		s.signal(n, syscall.SIGKILL)
		<-process.exited
	}
	s.fleet.client.CloseIdleConnections()
	for _, storeProxy := range s.storeProxies {
		storeProxy.close()
	}
	for _, backendProxy := range s.backendProxies {
		backendProxy.close()
	}
	for _, cleanUp := range s.fleet.cleanups {
		cleanUp()
	}
	s.checkLogsForCrashes()
	s.checkLimits()
}

// checkLogsForCrashes fails the seed's test if a node panicked, crashed or had a data race.
func (s *soakRun) checkLogsForCrashes() {
	files, err := filepath.Glob(filepath.Join(s.logDir(), fmt.Sprintf("seed-%d-node-*.log", s.seed)))
	if err != nil {
		s.t.Error(err)
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			s.t.Error(err)
		}
		for _, marker := range []string{"panic:", "fatal error:", "DATA RACE"} {
			if offset := bytes.Index(content, []byte(marker)); offset >= 0 {
				s.t.Errorf("%s: %.2000s", filepath.Base(file), content[offset:])
			}
		}
	}
}
