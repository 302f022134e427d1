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

// TestMain fixes the seed of the model tests unless a flag sets it.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() == seed.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// ledgerModel models two nodes that either each act as the owner of every shard, or
// agree on one owner that they may fail to reach.
type ledgerModel struct {
	t     *testing.T
	store *fakeStore
	nodes []*modelNode
	// keys are the issued keys, in order of issue.
	keys     []*modelKey
	attempts int
	// mutex guards the fields below and the nodes' incarnations.
	mutex     sync.Mutex
	faults    []fault
	storeDown bool
	// owner owns all shards in both nodes' views. If empty, each node sees itself as owner.
	owner identifier.Node
	// dropRequests makes the network between the nodes lose requests, dropReplies replies.
	dropRequests, dropReplies bool
}

type modelNode struct {
	name        identifier.Node
	incarnation identifier.Incarnation
	recorder    *Recorder
	stop        func()
}

type modelKey struct {
	key  identifier.Key
	sent bool
	// current is the attempt that may run and is not withdrawn, or nil.
	current *modelAttempt
	// executions counts how often the backend server ran the call.
	executions int
	answer     *Answer
}

type modelAttempt struct {
	call  Call
	node  *modelNode
	sent  bool
	ended bool
}

const (
	modelWindow    = 20 * time.Second
	modelClockSkew = time.Second
)

func (m *ledgerModel) start(n *modelNode) {
	m.mutex.Lock()
	n.incarnation++
	m.mutex.Unlock()
	r, stop := startStoppable(m.t, Options{
		Self: n.name, Incarnation: n.incarnation, Store: m.store, Peers: m,
		View:   func() *assigner.View { return m.view(n) },
		Shards: 2, BucketWidth: time.Second, Window: modelWindow, ClockSkew: modelClockSkew,
		MaxPageEntries: 3, DrainTimeout: time.Second,
	})
	m.mutex.Lock()
	n.recorder, n.stop = r, stop
	m.mutex.Unlock()
}

// view returns a view of both nodes. The owner is alive. The other node is leaving, so
// that it owns nothing.
func (m *ledgerModel) view(self *modelNode) *assigner.View {
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

// RoundTrip carries a request between the nodes.
func (m *ledgerModel) RoundTrip(request *http.Request) (*http.Response, error) {
	m.mutex.Lock()
	dropRequest, dropReply := m.dropRequests, m.dropReplies
	var to *Recorder
	for _, n := range m.nodes {
		if string(n.name) == request.URL.Host {
			to = n.recorder
		}
	}
	m.mutex.Unlock()
	if dropRequest || to == nil {
		return nil, errors.New("cut")
	}
	_, handler := to.Handler()
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, request)
	if dropReply {
		return nil, errors.New("reply lost")
	}
	return response.Result(), nil
}

// changeNetwork chooses the owner and which messages between the nodes are lost.
func (m *ledgerModel) changeNetwork(t *rapid.T) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.owner = rapid.SampledFrom([]identifier.Node{"", "a", "b"}).Draw(t, "owner")
	m.dropRequests = rapid.IntRange(0, 3).Draw(t, "cut") == 0
	m.dropReplies = rapid.IntRange(0, 3).Draw(t, "deaf") == 0
}

func (m *ledgerModel) nextFault(string, string) fault {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.storeDown {
		return unavailable
	}
	if len(m.faults) == 0 {
		return noFault
	}
	next := m.faults[0]
	m.faults = m.faults[1:]
	return next
}

func (m *ledgerModel) call(k *modelKey, n *modelNode) Call {
	m.attempts++
	call := newCall(k.key, m.attempts, n.name)
	call.Incarnation = n.incarnation
	call.First = !k.sent
	k.sent = true
	return call
}

// checkVerdict compares a claim's verdict with the model and updates the model.
func (m *ledgerModel) checkVerdict(t *rapid.T, k *modelKey, n *modelNode, call Call, claim ClaimResult) {
	age := time.Since(m.issued(k))
	switch claim.Verdict {
	case Run:
		if k.current != nil || k.executions > 0 {
			t.Fatalf("%s was allowed to run again: %d executions", k.key, k.executions)
		}
		if age > modelWindow {
			t.Fatalf("%s runs at age %s", k.key, age)
		}
		k.current = &modelAttempt{call: call, node: n}
	case NotRun:
		if k.executions > 0 {
			t.Fatalf("%s ran but was reported as not run", k.key)
		}
	case Answered:
		if k.answer == nil || fmt.Sprint(*claim.Answer) != fmt.Sprint(*k.answer) {
			t.Fatalf("%s has another answer: %v, want %v", k.key, claim.Answer, k.answer)
		}
	case TooOld:
		if age <= modelWindow {
			t.Fatalf("%s too old at %s", k.key, age)
		}
	case Mismatch, Malformed, AnswerDiscarded:
		t.Fatalf("%s: verdict %s", k.key, claim.Verdict)
	case Running, Lost, Unknown:
	}
}

func (m *ledgerModel) issued(k *modelKey) time.Time {
	parsed, err := parseKey(k.key, time.Time{})
	if err != nil {
		m.t.Fatal(err)
	}
	return parsed.issued
}

func (m *ledgerModel) pickKey(t *rapid.T) *modelKey {
	return m.keys[rapid.IntRange(0, len(m.keys)-1).Draw(t, "key")]
}

func (m *ledgerModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"issue":   m.issue,
		"claim":   m.claim,
		"race":    m.claimConcurrently,
		"send":    m.send,
		"end":     m.recordOutcome,
		"advance": m.advance,
		"fault":   m.injectFaults,
		"restart": m.restart,
		"network": m.changeNetwork,
	}
}

func (m *ledgerModel) issue(*rapid.T) {
	m.keys = append(m.keys, &modelKey{key: newKey(len(m.keys), 0)})
}

func (m *ledgerModel) claim(t *rapid.T) {
	k, n := m.pickKey(t), m.pickNode(t)
	call := m.call(k, n)
	m.checkVerdict(t, k, n, call, n.recorder.Claim(m.claimContext(), call))
}

func (m *ledgerModel) pickNode(t *rapid.T) *modelNode {
	return m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")]
}

// claimContext returns a context. One in five ends before the recorder's own timeouts.
func (m *ledgerModel) claimContext() context.Context {
	limit := 5 * time.Second
	if m.attempts%5 == 0 {
		limit = 30 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// claimConcurrently claims one key on both nodes at once, one or two times on each.
func (m *ledgerModel) claimConcurrently(t *rapid.T) {
	k := m.pickKey(t)
	type claimed struct {
		node  *modelNode
		call  Call
		claim ClaimResult
	}
	var calls []claimed
	for i := range rapid.IntRange(2, 4).Draw(t, "attempts") {
		n := m.nodes[i%len(m.nodes)]
		call := m.call(k, n)
		call.First = false
		calls = append(calls, claimed{node: n, call: call})
	}
	results := make(chan claimed, len(calls))
	for _, c := range calls {
		go func() {
			c.claim = c.node.recorder.Claim(m.claimContext(), c.call)
			results <- c
		}()
	}
	for range calls {
		e := <-results
		m.checkVerdict(t, k, e.node, e.call, e.claim)
	}
}

// send makes the backend server run a claimed call.
func (m *ledgerModel) send(t *rapid.T) {
	k := m.pickKey(t)
	if k.current == nil || k.current.sent {
		t.Skip("nothing to send")
	}
	k.current.sent = true
	k.executions++
}

// recordOutcome answers a call that ran, or withdraws one that was not sent.
func (m *ledgerModel) recordOutcome(t *rapid.T) {
	k := m.pickKey(t)
	if k.current == nil || k.current.ended {
		t.Skip("no outcome to record")
	}
	if !k.current.sent {
		k.current.node.recorder.Settle(context.Background(), k.current.call, nil)
		k.current = nil
		return
	}
	k.current.ended = true
	k.answer = &Answer{Status: 200, Body: []byte(k.current.call.Attempt)}
	k.current.node.recorder.Settle(context.Background(), k.current.call, k.answer)
}

func (m *ledgerModel) advance(t *rapid.T) {
	time.Sleep(time.Duration(rapid.SampledFrom([]int{1, 100, 700, 3000, 12000}).Draw(t, "ms")) * time.Millisecond)
}

// injectFaults chooses the faults of the next calls, applies delayed writes, or
// starts or ends an outage.
func (m *ledgerModel) injectFaults(t *rapid.T) {
	switch rapid.SampledFrom([]string{"calls", "late", "out"}).Draw(t, "what") {
	case "calls":
		kinds := []fault{noFault, unavailable, replyLostNotApplied, replyLostApplied, replyLostAppliedLate}
		faults := rapid.SliceOfN(rapid.SampledFrom(kinds), 1, 6).Draw(t, "faults")
		m.mutex.Lock()
		m.faults = faults
		m.mutex.Unlock()
	case "late":
		m.store.applyDelayedWrites()
	case "out":
		m.mutex.Lock()
		m.storeDown = !m.storeDown
		m.mutex.Unlock()
	}
}

// restart replaces a process. Half of the restarts lose the pending outcomes, because
// the store is down while the process stops.
func (m *ledgerModel) restart(t *rapid.T) {
	n := m.pickNode(t)
	dies := rapid.Bool().Draw(t, "dies")
	m.mutex.Lock()
	before := m.storeDown
	m.storeDown = before || dies
	m.mutex.Unlock()
	n.stop()
	m.mutex.Lock()
	m.storeDown = before
	m.mutex.Unlock()
	m.start(n)
}

func TestAtMostOnceModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, func(rt *rapid.T) {
			m := &ledgerModel{t: t, store: newFakeStore()}
			m.store.fault = m.nextFault
			m.store.latency = 5 * time.Millisecond
			m.nodes = []*modelNode{{name: "a"}, {name: "b"}}
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
			m.checkRecovery(rt)
		})
	})
}

// checkRecovery ends all faults. Claims must then return every answer that was recorded
// by a process that still runs.
func (m *ledgerModel) checkRecovery(t *rapid.T) {
	m.mutex.Lock()
	m.storeDown, m.faults, m.dropRequests, m.dropReplies = false, nil, false, false
	m.mutex.Unlock()
	m.store.applyDelayedWrites()
	time.Sleep(4 * time.Second)
	for _, k := range m.keys {
		if time.Since(m.issued(k)) > modelWindow {
			continue
		}
		for _, n := range m.nodes {
			call := m.call(k, n)
			claim := n.recorder.Claim(context.Background(), call)
			m.checkVerdict(t, k, n, call, claim)
			if m.answerExpected(k) && claim.Verdict != Answered {
				t.Fatalf("%s: answer not returned after recovery, verdict %s", k.key, claim.Verdict)
			}
		}
	}
}

// answerExpected reports whether the call was answered and the process that recorded
// the answer still runs.
func (m *ledgerModel) answerExpected(k *modelKey) bool {
	return k.current != nil && k.current.ended && k.current.node.incarnation == k.current.call.Incarnation
}
