package prober

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// fleet runs state machines over a faulty network in virtual time.
type fleet struct {
	now           time.Time
	random        *rand.Rand
	options       Options
	nodes         []*fakeNode
	nodeByAddress map[identifier.Address]*fakeNode
	scheduled     eventHeap
	// blocked reports whether from cannot reach to, over pooled or new connections.
	blocked func(from, to *fakeNode) bool
	// silent holds the pooled connections that lose all messages, by the names of caller
	// and callee.
	silent map[[2]identifier.Node]bool
	// latency is the one-way delay.
	latency func(from, to *fakeNode) time.Duration
	// events counts the logged events by number.
	events map[int]int
	// receivedRumours counts the nodes that received a rumour, by its payload.
	receivedRumours        map[string]int
	messageBytes, messages int
}

type fakeNode struct {
	machine    *stateMachine
	name       identifier.Node
	dataCentre identifier.DataCentre
	killed     bool
	paused     bool
	// deferred holds the functions that a paused node runs when it resumes.
	deferred []func()
}

type scheduledEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []scheduledEvent

func (s eventHeap) Len() int      { return len(s) }
func (s eventHeap) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *eventHeap) Push(x any)   { *s = append(*s, x.(scheduledEvent)) }
func (s eventHeap) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || (s[i].at.Equal(s[j].at) && s[i].sequence < s[j].sequence)
}

func (s *eventHeap) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

var lastSequence int

func (f *fleet) schedule(d time.Duration, do func()) {
	lastSequence++
	heap.Push(&f.scheduled, scheduledEvent{f.now.Add(d), lastSequence, do})
}

// newFleet starts nodes named from n000 on, spread over data centres, with the seeds
// n000 and n001.
func newFleet(size, centres int, seed uint64, options Options) *fleet {
	f := &fleet{
		now:             time.Unix(1_000_000, 0),
		random:          rand.New(rand.NewPCG(seed, 1)),
		options:         options.withDefaults(),
		nodeByAddress:   map[identifier.Address]*fakeNode{},
		blocked:         func(_, _ *fakeNode) bool { return false },
		silent:          map[[2]identifier.Node]bool{},
		latency:         func(_, _ *fakeNode) time.Duration { return time.Millisecond },
		events:          map[int]int{},
		receivedRumours: map[string]int{},
	}
	for i := range size {
		f.start(fmt.Sprintf("n%03d", i), fmt.Sprintf("dc%d", i%centres))
	}
	return f
}

func (f *fleet) start(name, centre string) *fakeNode {
	return f.startAt(name, centre, name)
}

func (f *fleet) startAt(name, centre, host string) *fakeNode {
	options := f.options
	options.Self = assigner.Member{
		Node:          identifier.Node(name),
		Incarnation:   identifier.Incarnation(f.now.UnixNano()),
		DataCentre:    identifier.DataCentre(centre),
		PeerAddress:   identifier.Address("10.0.0.1:7000/" + host),
		CallerAddress: identifier.Address("10.0.0.1:8000/" + name),
	}
	options.Seeds = []identifier.Address{"10.0.0.1:7000/n000", "10.0.0.1:7000/n001"}
	node := &fakeNode{name: options.Self.Node, dataCentre: options.Self.DataCentre}
	node.machine = newStateMachine(options, rand.New(rand.NewPCG(f.random.Uint64(), 2)), f.now)
	if old := f.nodeByAddress[options.Self.PeerAddress]; old != nil && old.killed {
		f.nodes = slices.DeleteFunc(f.nodes, func(n *fakeNode) bool { return n == old })
	}
	f.nodes = append(f.nodes, node)
	f.nodeByAddress[options.Self.PeerAddress] = node
	f.scheduleTicks(node, time.Duration(f.random.Int64N(int64(f.options.Interval))))
	return node
}

func (f *fleet) scheduleTicks(node *fakeNode, delay time.Duration) {
	f.schedule(delay, func() {
		f.runOn(node, func() { node.machine.tick(f.now) })
		if !node.killed {
			f.scheduleTicks(node, f.options.Interval/ticksPerInterval)
		}
	})
}

// runOn runs a function on a node, deferred while the node is paused, and applies the
// node's output.
func (f *fleet) runOn(node *fakeNode, do func()) {
	switch {
	case node.killed:
	case node.paused:
		node.deferred = append(node.deferred, do)
	default:
		do()
		f.applyOutput(node)
	}
}

func (f *fleet) applyOutput(node *fakeNode) {
	out := node.machine.takeOutput()
	for _, n := range out.events {
		f.events[n.event.Number]++
	}
	for _, r := range out.newRumours {
		f.receivedRumours[string(r.payload)]++
	}
	for _, a := range out.actions {
		f.execute(node, a)
	}
}

func (f *fleet) execute(node *fakeNode, a action) {
	if a.method != viaHelper {
		f.exchange(node, a.address, a.method, a.message, func(result exchangeResult) {
			f.runOn(node, func() { node.machine.exchangeEnded(f.now, a.contact, result) })
		})
		return
	}
	f.call(node, a.address, overPooledConnection, 2*f.options.Timeout, func(helper *fakeNode, sendAnswer func(func())) {
		request := helper.machine.composeHelperProbe(f.now, a.target.member.Node)
		f.exchange(helper, a.target.member.PeerAddress, overPooledConnection, request, func(result exchangeResult) {
			toRequester := helperResult{refused: result.refused}
			f.runOn(helper, func() {
				toRequester.answered = result.answer != nil && helper.machine.receiveHelperAnswer(f.now, a.target.member.Node, *result.answer)
			})
			sendAnswer(func() { node.machine.helperAnswered(f.now, a.contact, toRequester) })
		})
	}, func(bool) { node.machine.helperAnswered(f.now, a.contact, helperResult{}) })
}

func (f *fleet) exchange(from *fakeNode, to identifier.Address, method contactMethod, request message, end func(exchangeResult)) {
	f.countMessage(request)
	f.call(from, to, method, f.options.Timeout, func(peer *fakeNode, sendAnswer func(func())) {
		reply := peer.machine.receive(f.now, request)
		f.countMessage(reply)
		sendAnswer(func() { end(exchangeResult{answer: &reply}) })
	}, func(refused bool) { end(exchangeResult{refused: refused}) })
}

// call simulates one request. serve runs at the callee and passes sendAnswer the function
// that handles the answer at the caller. Either that function or failed runs, once.
func (f *fleet) call(
	from *fakeNode, address identifier.Address, method contactMethod, timeout time.Duration,
	serve func(peer *fakeNode, sendAnswer func(func())), failed func(refused bool),
) {
	peer := f.nodeByAddress[address]
	ended := false
	end := func(do func()) func() {
		return func() {
			if !ended {
				ended = true
				f.runOn(from, do)
			}
		}
	}
	f.schedule(timeout, end(func() { failed(false) }))
	switch {
	case peer == nil || f.blocked(from, peer):
	case method == overPooledConnection && f.silent[[2]identifier.Node{from.name, peer.name}]:
	case peer.killed:
		f.schedule(2*f.latency(from, peer), end(func() { failed(true) }))
	default:
		f.schedule(f.latency(from, peer), func() {
			f.runOn(peer, func() {
				serve(peer, func(do func()) { f.schedule(f.latency(peer, from), end(do)) })
			})
		})
	}
}

func (f *fleet) countMessage(m message) {
	f.messages++
	f.messageBytes += proto.Size(toWire(m))
}

func (f *fleet) run(d time.Duration) {
	f.runUntil(d, func() bool { return false })
}

// runUntil advances the virtual time until a condition, checked every 5 ms, is true or
// the limit has passed. It returns the time taken.
func (f *fleet) runUntil(limit time.Duration, done func() bool) time.Duration {
	start, nextCheck := f.now, f.now
	for len(f.scheduled) > 0 && !f.scheduled[0].at.After(start.Add(limit)) {
		next := heap.Pop(&f.scheduled).(scheduledEvent)
		f.now = next.at
		next.run()
		if f.now.Before(nextCheck) {
			continue
		}
		nextCheck = f.now.Add(5 * time.Millisecond)
		if done() {
			return f.now.Sub(start)
		}
	}
	f.now = start.Add(limit)
	return limit
}

func (f *fleet) pause(node *fakeNode) { node.paused = true }

func (f *fleet) resume(node *fakeNode) {
	node.paused = false
	deferred := node.deferred
	node.deferred = nil
	f.runOn(node, func() { node.machine.tick(f.now) })
	for _, do := range deferred {
		f.runOn(node, do)
	}
}

// countSeeing returns how many other running nodes see the node in a state.
func (f *fleet) countSeeing(name identifier.Node, state assigner.State) int {
	count := 0
	for _, node := range f.nodes {
		held, known := node.machine.table.records[name]
		if !node.killed && node.name != name && known && held.state() == state {
			count++
		}
	}
	return count
}

// converged reports whether every running node sees exactly the running nodes as alive.
func (f *fleet) converged() bool {
	running := 0
	for _, node := range f.nodes {
		if !node.killed {
			running++
		}
	}
	for _, node := range f.nodes {
		if !node.killed && !node.seesAlive(running) {
			return false
		}
	}
	return true
}

func (n *fakeNode) seesAlive(running int) bool {
	count := 0
	for _, held := range n.machine.table.records {
		if held.health == alive {
			count++
		}
	}
	return count == running && n.machine.joined && !n.machine.suspended
}

func (f *fleet) node(name string) *fakeNode {
	i := slices.IndexFunc(f.nodes, func(n *fakeNode) bool { return string(n.name) == name })
	return f.nodes[i]
}
