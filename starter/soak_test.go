package starter_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
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
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
)

var (
	soakSeeds = flag.Int("soak-seeds", 2, "how many seeds the soak plays")
	soakFirst = flag.Uint64("soak-first", 1, "the first seed of the soak")
	soakNodes = flag.Int("soak-nodes", 4, "how many nodes each seed starts")
	soakRace  = flag.Bool("soak-race", false, "build the nodes with the race detector")
	soakLogs  = flag.String("soak-logs", "", "folder that keeps the nodes' logs of failed seeds")
)

// regressions are seeds that failed once, with their causes in docs/FAULTS.md. They
// are played in every run.
var regressions = []uint64{}

const (
	// soakSpan is how long faults go on for a seed, soakFaults how many there are.
	soakSpan   = 8 * time.Second
	soakFaults = 8
	// soakRecover is how soon all nodes serve everything again after the last fault.
	soakRecover = recoverBound
)

// TestSoak runs real nodes as processes before stand-ins and has faults befall them
// from outside, in an order that the seed decides. Callers hold the answers against
// what the stand-ins ran all the while.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("real processes for seconds")
	}
	binary := filepath.Join(t.TempDir(), "foxtailspool")
	arguments := []string{"build", "-o", binary}
	if *soakRace {
		arguments = append(arguments, "-race")
	}
	build := exec.CommandContext(t.Context(), "go", append(arguments, "..")...)
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	seeds := append([]uint64{}, regressions...)
	for n := range *soakSeeds {
		seeds = append(seeds, *soakFirst+uint64(n))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, binary, seed)
		})
	}
}

// soaked is one seed's deployment of real processes.
type soaked struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	binary string
	dir    string
	// fleet holds the stand-ins, the callers and the checks.
	fleet *fleet
	// storeLinks is each node's way to the store, engineLinks each back end's.
	storeLinks  []*link
	engineLinks map[string]*link
	processes   []*process
	story       []string
}

// process is one node's process.
type process struct {
	command *exec.Cmd
	ended   chan error
	// down tells that it was told to end and is not started again yet.
	down bool
}

// ip returns a loopback address of this seed, so that seeds do not meet.
func (s *soaked) ip(group, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 10+s.seed%200, group, n+1)
}

// at is a listener's address of a node.
func (s *soaked) at(n, port int) identifier.Address {
	return identifier.Address(fmt.Sprintf("%s:%d", s.ip(0, n), port))
}

func soak(t *testing.T, binary string, seed uint64) {
	s := &soaked{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), binary: binary, dir: t.TempDir(),
		engineLinks: map[string]*link{},
		fleet:       &fleet{t: t, objects: emulator.NewObjects(), instances: map[string]*emulator.Instance{}, logs: io.Discard},
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Second, DisableCompression: true}
	s.fleet.caller = &http.Client{Transport: transport, Timeout: 10 * time.Second}
	defer s.close()
	s.startStandIns()
	s.fleet.configure("desk")
	for n := range *soakNodes {
		settings := settingsOf(n)
		settings.CallerAddress = s.at(n, 8144)
		settings.ReadinessAddress = s.at(n, 8140)
		settings.DirectoryAddress = s.at(n, 8143)
		s.fleet.nodes = append(s.fleet.nodes, &node{settings: settings})
		s.processes = append(s.processes, &process{})
		s.start(n)
	}
	s.await("the nodes are ready", func() bool { return s.fleet.ready() == *soakNodes })
	ctx, stop := context.WithCancel(t.Context())
	callers := s.call(ctx)
	s.befall()
	s.await("every node serves every kind of request", s.servesAll)
	stop()
	callers.Wait()
	if t.Failed() {
		t.Logf("seed %d:\n%s", seed, strings.Join(s.story, "\n"))
	}
}

// startStandIns serves the store and the back ends, each behind a proxy.
func (s *soaked) startStandIns() {
	store := s.serve(s.ip(1, 0)+":0", s.fleet.objects)
	for n := range *soakNodes {
		l, err := newLink(s.ip(1, 10+n)+":8000", store)
		if err != nil {
			s.t.Fatal(err)
		}
		s.storeLinks = append(s.storeLinks, l)
	}
	find := func(address string) *emulator.Instance { return s.fleet.instances["i-"+address] }
	for n, kind := range []struct{ service, stage string }{
		{"llm", "prefill"},
		{"llm", "prefill"},
		{"llm", "decode"},
		{"llm", "decode"},
		{"desk", ""},
		{"desk", ""},
		{"other", ""},
	} {
		address := s.ip(2, n) + ":8080"
		id := "i-" + address
		instance := emulator.NewInstance(emulator.InstanceOptions{
			ID: id, Address: address, Stage: kind.stage, Slots: 16, Queue: 2, Memory: 40000,
			Work: 10 * time.Millisecond, Prefill: 10 * time.Microsecond, Token: time.Millisecond,
			EventTokens: 50, HandleLife: 500 * time.Millisecond, Find: find,
		})
		l, err := newLink(address, s.serve(s.ip(3, n)+":0", instance))
		if err != nil {
			s.t.Fatal(err)
		}
		s.engineLinks[id] = l
		s.fleet.instances[id] = instance
		s.fleet.objects.Put("servers", id, instance.Entry(kind.service, "south", "ready"))
	}
}

// serve runs an HTTP server until the seed's end and returns its address.
func (s *soaked) serve(address string, handler http.Handler) string {
	listener, err := (&net.ListenConfig{}).Listen(s.t.Context(), "tcp", address)
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	s.fleet.stops = append(s.fleet.stops, func() {
		_ = server.Close()
		<-served
	})
	return listener.Addr().String()
}

// start starts a node's process with a settings file in the platform's format.
func (s *soaked) start(n int) {
	ip := s.ip(0, n)
	content, err := json.Marshal(map[string]any{
		"nodeName": fmt.Sprint("front-", n), "ip": ip, "zone": "south",
		"listenAddrs": map[string]string{"front": ip + ":8144", "ready": ip + ":8140", "directory": ip + ":8143"},
		"portRange":   []int{7660, 7670},
		"limits":      map[string]any{"memoryMb": 200, "maxFds": 2000},
		"bounds":      map[string]any{"drainMs": 2000, "graceS": 8, "configApplyMs": 2000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 56, "ttl_max_s": 5},
		"platform":    map[string]any{"address": s.ip(1, 10+n) + ":8000"},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	settings := filepath.Join(s.dir, fmt.Sprint("node-", n, ".json"))
	if err := os.WriteFile(settings, content, 0o600); err != nil {
		s.t.Fatal(err)
	}
	log, err := os.OpenFile(filepath.Join(s.logs(), fmt.Sprintf("seed-%d-node-%d.log", s.seed, n)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	own := s.processes[n]
	own.command = exec.Command(s.binary, "run")
	own.command.Env = append(os.Environ(), "FOXTAILSPOOL_SETTINGS="+settings, "GOMAXPROCS=2")
	own.command.Stdout, own.command.Stderr = log, log
	if err := own.command.Start(); err != nil {
		s.t.Fatal(err)
	}
	own.ended, own.down = make(chan error, 1), false
	ended, command := own.ended, own.command
	go func() {
		err := command.Wait()
		_ = log.Close()
		ended <- err
	}()
}

func (s *soaked) logs() string {
	if *soakLogs != "" {
		return *soakLogs
	}
	return s.dir
}

// signal sends a signal to a process that this soak started.
func (s *soaked) signal(n int, signal syscall.Signal) {
	if err := s.processes[n].command.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		s.t.Errorf("signal node %d: %v", n, err)
	}
}

// tell notes what befalls, for a seed that fails.
func (s *soaked) tell(format string, a ...any) {
	s.story = append(s.story, fmt.Sprintf("%s "+format, append([]any{time.Now().Format("05.000")}, a...)...))
}

// befall plays the seed's faults one after the other, each overlapping those before
// it, and ends them all.
func (s *soaked) befall() {
	var ends []func()
	for range soakFaults {
		ends = append(ends, s.fault())
		time.Sleep(time.Duration(s.random.Int64N(int64(soakSpan / soakFaults * 2))))
		if s.random.IntN(2) == 0 {
			at := s.random.IntN(len(ends))
			ends[at]()
			ends[at] = func() {}
		}
	}
	for _, end := range ends {
		end()
	}
	s.tell("all faults end")
}

// fault begins one fault and returns what ends it.
func (s *soaked) fault() (end func()) {
	n := s.random.IntN(len(s.processes))
	id := fmt.Sprintf("i-%s:8080", s.ip(2, s.random.IntN(6)))
	engine, store := s.engineLinks[id], s.storeLinks[n]
	lasting := func(l *link, what string, fault linkFault) func() {
		s.tell("%s: %+v", what, fault)
		l.set(fault)
		return func() { l.set(linkFault{}) }
	}
	switch s.random.IntN(12) {
	case 0:
		return s.restart(n, syscall.SIGTERM)
	case 1:
		return s.restart(n, syscall.SIGKILL)
	case 2:
		s.tell("node %d is paused", n)
		s.signal(n, syscall.SIGSTOP)
		return func() { s.tell("node %d goes on", n); s.signal(n, syscall.SIGCONT) }
	case 3:
		return lasting(engine, id, linkFault{delay: 30 * time.Millisecond})
	case 4:
		return lasting(engine, id, linkFault{toServer: s.random.IntN(2) == 0, toClient: true})
	case 5:
		s.tell("%s: connections reset", id)
		engine.reset()
		return func() {}
	case 6:
		s.tell("%s: connections go silent", id)
		engine.silence()
		return func() {}
	case 7:
		return lasting(store, fmt.Sprint("store of node ", n), linkFault{toClient: true})
	case 8:
		s.tell("the store answers nobody")
		s.fleet.objects.SetFaults(emulator.ObjectFaults{Status: http.StatusServiceUnavailable})
		return func() { s.fleet.objects.SetFaults(emulator.ObjectFaults{}) }
	case 9:
		s.tell("%s crashes", id)
		s.fleet.instances[id].Crash()
		engine.reset()
		return func() {}
	case 10:
		s.tell("%s answers wrongly", id)
		s.fleet.instances[id].SetFaults(emulator.InstanceFaults{LoseAnswers: 2, Truncate: 2, Noise: 2, Extra: 2, Errors: 2, Shed: 2})
		return func() { s.fleet.instances[id].SetFaults(emulator.InstanceFaults{}) }
	default:
		s.tell("the configuration changes")
		s.fleet.configure([]string{"desk", "other"}[s.random.IntN(2)])
		return func() {}
	}
}

// restart ends a node's process by a signal; its end starts the node again. A
// process that is not gone after the grace is killed, as the platform does.
func (s *soaked) restart(n int, signal syscall.Signal) func() {
	own := s.processes[n]
	if own.down {
		return func() {}
	}
	own.down = true
	s.tell("node %d: %s", n, signal)
	s.signal(n, signal)
	return func() {
		s.signal(n, syscall.SIGCONT)
		select {
		case <-own.ended:
		case <-time.After(s.fleet.nodes[n].settings.TerminationGrace):
			s.tell("node %d is killed after its grace", n)
			s.signal(n, syscall.SIGKILL)
			<-own.ended
		}
		s.tell("node %d starts", n)
		s.start(n)
	}
}

// call sends requests through all nodes until ctx ends, and checks each answer.
// Callers keep using open connections until a process is gone.
func (s *soaked) call(ctx context.Context) *sync.WaitGroup {
	var group sync.WaitGroup
	for n := range s.processes {
		for number := range 3 {
			group.Go(func() {
				for ctx.Err() == nil {
					c := []call{booking(), lookUp(), quote()}[number]
					c.deadline = 2 * time.Second
					got := s.fleet.send(context.WithoutCancel(ctx), n, c)
					s.fleet.check(s.t, got, number != 1)
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	return &group
}

// servesAll tells whether every node answers every kind of request.
func (s *soaked) servesAll() bool {
	for n := range s.processes {
		for _, c := range []call{booking(), lookUp(), quote()} {
			if got := s.fleet.send(s.t.Context(), n, c); got.status != http.StatusOK || got.cut {
				return false
			}
		}
	}
	return true
}

// await is fleet.await with what befell before.
func (s *soaked) await(what string, holds func() bool) {
	deadline := time.Now().Add(soakRecover)
	for !holds() {
		if time.Now().After(deadline) {
			s.t.Errorf("seed %d: not within %s: %s", s.seed, soakRecover, what)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// close ends every process that this soak started, by its id.
func (s *soaked) close() {
	for n, own := range s.processes {
		if own.ended == nil {
			continue
		}
		s.signal(n, syscall.SIGCONT)
		s.signal(n, syscall.SIGKILL)
		<-own.ended
	}
	s.fleet.caller.CloseIdleConnections()
	for _, l := range s.storeLinks {
		l.close()
	}
	for _, l := range s.engineLinks {
		l.close()
	}
	for _, stop := range s.fleet.stops {
		stop()
	}
	s.crashes()
}

// crashes fails the seed where a process ended by a broken invariant or a race.
func (s *soaked) crashes() {
	files, err := filepath.Glob(filepath.Join(s.logs(), fmt.Sprintf("seed-%d-node-*.log", s.seed)))
	if err != nil {
		s.t.Error(err)
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			s.t.Error(err)
		}
		for _, sign := range []string{"panic:", "fatal error:", "DATA RACE"} {
			if at := bytes.Index(content, []byte(sign)); at >= 0 {
				s.t.Errorf("%s: %.2000s", filepath.Base(file), content[at:])
			}
		}
	}
}
