package recorder

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// TestMain fixes the seed of all state machines.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() == seed.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// machine is the model of two nodes that both own every shard, or agree on one
// owner that they may not reach.
type machine struct {
	t     *testing.T
	store *fakeStore
	nodes []*machineNode
	// keys are the model's knowledge, by position.
	keys     []*modelKey
	attempts int
	// mutex guards the faults to come and the nodes' incarnations.
	mutex  sync.Mutex
	faults []fault
	out    bool
	// owner is the node that both take for the owner, or empty.
	owner identifier.Node
	// cut loses calls between nodes, deaf their answers.
	cut, deaf bool
}

type machineNode struct {
	name        identifier.Node
	incarnation identifier.Incarnation
	recorder    *Recorder
	stop        func()
}

type modelKey struct {
	key  identifier.Key
	sent bool
	// live is the attempt that was allowed to run and not withdrawn; nil none.
	live *modelAttempt
	// executions counts what the backend server ran.
	executions int
	answer     *Answer
}

type modelAttempt struct {
	call  Call
	node  *machineNode
	sent  bool
	ended bool
}

const (
	machineWindow = 20 * time.Second
	machineSkew   = time.Second
)

func (m *machine) start(n *machineNode) {
	m.mutex.Lock()
	n.incarnation++
	m.mutex.Unlock()
	r, stop := runUntil(m.t, Options{
		Self: n.name, Incarnation: n.incarnation, Store: m.store, Peers: m,
		View:   func() *assigner.View { return m.view(n) },
		Shards: 2, BucketWidth: time.Second, Window: machineWindow, ClockSkew: machineSkew,
		MaxPageEntries: 3, DrainTimeout: time.Second,
	})
	m.mutex.Lock()
	n.recorder, n.stop = r, stop
	m.mutex.Unlock()
}

// view shows both nodes, one of them as the owner of everything: the other is
// leaving.
func (m *machine) view(self *machineNode) *assigner.View {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	view := &assigner.View{}
	for _, n := range m.nodes {
		member := memberOf(n.name, n.incarnation, assigner.Leaving)
		if n.name == m.owner || m.owner == "" && n == self {
			member.State = assigner.Alive
		}
		if n == self {
			view.Self = member
		}
		view.Members = append(view.Members, member)
	}
	return view
}

// RoundTrip carries a call between the nodes.
func (m *machine) RoundTrip(request *http.Request) (*http.Response, error) {
	m.mutex.Lock()
	cut, deaf := m.cut, m.deaf
	var to *Recorder
	for _, n := range m.nodes {
		if string(n.name) == request.URL.Host {
			to = n.recorder
		}
	}
	m.mutex.Unlock()
	if cut || to == nil {
		return nil, errors.New("cut")
	}
	_, handler := to.Handler()
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, request)
	if deaf {
		return nil, errors.New("answer lost")
	}
	return response.Result(), nil
}

// network chooses the owner and what happens to calls between the nodes.
func (m *machine) network(t *rapid.T) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.owner = rapid.SampledFrom([]identifier.Node{"", "a", "b"}).Draw(t, "owner")
	m.cut = rapid.IntRange(0, 3).Draw(t, "cut") == 0
	m.deaf = rapid.IntRange(0, 3).Draw(t, "deaf") == 0
}

func (m *machine) nextFault(string, string) fault {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.out {
		return refused
	}
	if len(m.faults) == 0 {
		return healthy
	}
	next := m.faults[0]
	m.faults = m.faults[1:]
	return next
}

func (m *machine) call(k *modelKey, n *machineNode) Call {
	m.attempts++
	call := callOf(k.key, m.attempts, n.name)
	call.Incarnation = n.incarnation
	call.First = !k.sent
	k.sent = true
	return call
}

// check compares a claim's verdict with the model.
func (m *machine) check(t *rapid.T, k *modelKey, n *machineNode, call Call, claim Claim) {
	age := time.Since(m.issued(k))
	switch claim.Verdict {
	case Run:
		if k.live != nil || k.executions > 0 {
			t.Fatalf("%s may run again: %d executions", k.key, k.executions)
		}
		if age > machineWindow {
			t.Fatalf("%s runs at age %s", k.key, age)
		}
		k.live = &modelAttempt{call: call, node: n}
	case Closed:
		if k.executions > 0 {
			t.Fatalf("%s ran and is told not run", k.key)
		}
	case Answered:
		if k.answer == nil || fmt.Sprint(*claim.Answer) != fmt.Sprint(*k.answer) {
			t.Fatalf("%s has another answer: %v, want %v", k.key, claim.Answer, k.answer)
		}
	case TooOld:
		if age <= machineWindow {
			t.Fatalf("%s too old at %s", k.key, age)
		}
	case Mismatch, Malformed, Unkept:
		t.Fatalf("%s: verdict %s", k.key, claim.Verdict)
	case Running, Lost, Unknown:
	}
}

func (m *machine) issued(k *modelKey) time.Time {
	parsed, err := parseKey(k.key, time.Time{})
	if err != nil {
		m.t.Fatal(err)
	}
	return parsed.issued
}

func (m *machine) pickKey(t *rapid.T) *modelKey {
	return m.keys[rapid.IntRange(0, len(m.keys)-1).Draw(t, "key")]
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"issue":   m.issue,
		"claim":   m.claim,
		"race":    m.race,
		"send":    m.send,
		"end":     m.end,
		"advance": m.advance,
		"fault":   m.breakStore,
		"restart": m.restart,
		"network": m.network,
	}
}

func (m *machine) issue(*rapid.T) {
	m.keys = append(m.keys, &modelKey{key: newKey(len(m.keys), 0)})
}

func (m *machine) claim(t *rapid.T) {
	k, n := m.pickKey(t), m.pickNode(t)
	call := m.call(k, n)
	m.check(t, k, n, call, n.recorder.Claim(m.patience(), call))
}

func (m *machine) pickNode(t *rapid.T) *machineNode {
	return m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")]
}

// patience ends before the recorder's own limits now and then.
func (m *machine) patience() context.Context {
	limit := 5 * time.Second
	if m.attempts%5 == 0 {
		limit = 30 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// race claims one key at both nodes at once, with one or two attempts each.
func (m *machine) race(t *rapid.T) {
	k := m.pickKey(t)
	type end struct {
		node  *machineNode
		call  Call
		claim Claim
	}
	var calls []end
	for i := range rapid.IntRange(2, 4).Draw(t, "attempts") {
		n := m.nodes[i%len(m.nodes)]
		call := m.call(k, n)
		call.First = false
		calls = append(calls, end{node: n, call: call})
	}
	ends := make(chan end, len(calls))
	for _, c := range calls {
		go func() {
			c.claim = c.node.recorder.Claim(m.patience(), c.call)
			ends <- c
		}()
	}
	for range calls {
		e := <-ends
		m.check(t, k, e.node, e.call, e.claim)
	}
}

// send lets the backend server run a claimed call.
func (m *machine) send(t *rapid.T) {
	k := m.pickKey(t)
	if k.live == nil || k.live.sent {
		t.Skip("nothing to send")
	}
	k.live.sent = true
	k.executions++
}

// end settles a call that ran, or withdraws one that was not sent.
func (m *machine) end(t *rapid.T) {
	k := m.pickKey(t)
	if k.live == nil || k.live.ended {
		t.Skip("nothing to end")
	}
	if !k.live.sent {
		k.live.node.recorder.Settle(context.Background(), k.live.call, nil)
		k.live = nil
		return
	}
	k.live.ended = true
	k.answer = &Answer{Status: 200, Body: []byte(k.live.call.Attempt)}
	k.live.node.recorder.Settle(context.Background(), k.live.call, k.answer)
}

func (m *machine) advance(t *rapid.T) {
	time.Sleep(time.Duration(rapid.SampledFrom([]int{1, 100, 700, 3000, 12000}).Draw(t, "ms")) * time.Millisecond)
}

// breakStore chooses the faults of the next calls, lets late writes take
// effect, or begins or ends an outage.
func (m *machine) breakStore(t *rapid.T) {
	switch rapid.SampledFrom([]string{"calls", "late", "out"}).Draw(t, "what") {
	case "calls":
		kinds := []fault{healthy, refused, lostBefore, lostAfter, lateEffect}
		faults := rapid.SliceOfN(rapid.SampledFrom(kinds), 1, 6).Draw(t, "faults")
		m.mutex.Lock()
		m.faults = faults
		m.mutex.Unlock()
	case "late":
		m.store.release()
	case "out":
		m.mutex.Lock()
		m.out = !m.out
		m.mutex.Unlock()
	}
}

// restart replaces a process. Half of them die with their answers: the store
// is out for them while they stop.
func (m *machine) restart(t *rapid.T) {
	n := m.pickNode(t)
	dies := rapid.Bool().Draw(t, "dies")
	m.mutex.Lock()
	before := m.out
	m.out = before || dies
	m.mutex.Unlock()
	n.stop()
	m.mutex.Lock()
	m.out = before
	m.mutex.Unlock()
	m.start(n)
}

func TestLedgerKeepsItsPromises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, func(rt *rapid.T) {
			m := &machine{t: t, store: newFakeStore()}
			m.store.fault = m.nextFault
			m.store.latency = 5 * time.Millisecond
			m.nodes = []*machineNode{{name: "a"}, {name: "b"}}
			for _, n := range m.nodes {
				m.start(n)
			}
			defer func() {
				for _, n := range m.nodes {
					n.stop()
				}
			}()
			m.issue(rt)
			rt.Repeat(m.actions())
			m.recovers(rt)
		})
	})
}

// recovers ends all faults: every answer whose node lives on must then be told.
func (m *machine) recovers(t *rapid.T) {
	m.mutex.Lock()
	m.out, m.faults, m.cut, m.deaf = false, nil, false, false
	m.mutex.Unlock()
	m.store.release()
	time.Sleep(4 * time.Second)
	for _, k := range m.keys {
		if time.Since(m.issued(k)) > machineWindow {
			continue
		}
		for _, n := range m.nodes {
			call := m.call(k, n)
			claim := n.recorder.Claim(context.Background(), call)
			m.check(t, k, n, call, claim)
			if m.mustAnswer(k) && claim.Verdict != Answered {
				t.Fatalf("%s: answer not told after recovery, verdict %s", k.key, claim.Verdict)
			}
		}
	}
}

// mustAnswer tells whether the node that settled a call is the one that ran it
// and still runs.
func (m *machine) mustAnswer(k *modelKey) bool {
	return k.live != nil && k.live.ended && k.live.node.incarnation == k.live.call.Incarnation
}
