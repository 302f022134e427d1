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

// fleet runs machines over a faulty network in virtual time.
type fleet struct {
	now     time.Time
	random  *rand.Rand
	options Options
	nodes   []*fakeNode
	byAddr  map[identifier.Address]*fakeNode
	pending schedule
	// blocked tells that from cannot open or use connections to another node.
	blocked func(from, to *fakeNode) bool
	// silent holds the kept connections that went silent, by both names.
	silent map[[2]identifier.Node]bool
	// latency is one way.
	latency func(from, to *fakeNode) time.Duration
	// events counts the events that the nodes noted, by number.
	events map[int]int
	heard  map[string]int
	// bytes counts the encoded messages, calls the exchanges.
	bytes, calls int
}

type fakeNode struct {
	machine *stateMachine
	name    identifier.Node
	centre  identifier.DataCentre
	killed  bool
	paused  bool
	// inbox holds what a paused node does when it goes on.
	inbox []func()
}

type scheduled struct {
	at   time.Time
	turn int
	do   func()
}

type schedule []scheduled

func (s schedule) Len() int      { return len(s) }
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(scheduled)) }
func (s schedule) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || (s[i].at.Equal(s[j].at) && s[i].turn < s[j].turn)
}

func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

var turns int

func (f *fleet) after(d time.Duration, do func()) {
	turns++
	heap.Push(&f.pending, scheduled{f.now.Add(d), turns, do})
}

// newFleet starts nodes n000 on, spread over data centres, that know n000.
func newFleet(size, centres int, seed uint64, options Options) *fleet {
	f := &fleet{
		now:     time.Unix(1_000_000, 0),
		random:  rand.New(rand.NewPCG(seed, 1)),
		options: options.withDefaults(),
		byAddr:  map[identifier.Address]*fakeNode{},
		blocked: func(_, _ *fakeNode) bool { return false },
		silent:  map[[2]identifier.Node]bool{},
		latency: func(_, _ *fakeNode) time.Duration { return time.Millisecond },
		events:  map[int]int{},
		heard:   map[string]int{},
	}
	for i := range size {
		f.start(fmt.Sprintf("n%03d", i), fmt.Sprintf("dc%d", i%centres))
	}
	return f
}

func (f *fleet) start(name, centre string) *fakeNode {
	return f.startAt(name, centre, name)
}

// startAt starts a node at the address of another.
func (f *fleet) startAt(name, centre, host string) *fakeNode {
	options := f.options
	options.Self = assigner.Member{
		Node:        identifier.Node(name),
		Incarnation: identifier.Incarnation(f.now.UnixNano()),
		DataCentre:  identifier.DataCentre(centre),
		Peers:       identifier.Address("10.0.0.1:7000/" + host),
		Callers:     identifier.Address("10.0.0.1:8000/" + name),
	}
	options.Seeds = []identifier.Address{"10.0.0.1:7000/n000", "10.0.0.1:7000/n001"}
	node := &fakeNode{name: options.Self.Node, centre: options.Self.DataCentre}
	node.machine = newStateMachine(options, rand.New(rand.NewPCG(f.random.Uint64(), 2)), f.now)
	if old := f.byAddr[options.Self.Peers]; old != nil && old.killed {
		f.nodes = slices.DeleteFunc(f.nodes, func(n *fakeNode) bool { return n == old })
	}
	f.nodes = append(f.nodes, node)
	f.byAddr[options.Self.Peers] = node
	f.tick(node, time.Duration(f.random.Int64N(int64(f.options.Interval))))
	return node
}

func (f *fleet) tick(node *fakeNode, in time.Duration) {
	f.after(in, func() {
		f.at(node, func() { node.machine.tick(f.now) })
		if !node.killed {
			f.tick(node, f.options.Interval/ticksPerInterval)
		}
	})
}

// at has a node do something, once it is not paused, and carries out what follows.
func (f *fleet) at(node *fakeNode, do func()) {
	switch {
	case node.killed:
	case node.paused:
		node.inbox = append(node.inbox, do)
	default:
		do()
		f.carryOut(node)
	}
}

func (f *fleet) carryOut(node *fakeNode) {
	out := node.machine.takeOutput()
	for _, n := range out.events {
		f.events[n.event.Number]++
	}
	for _, r := range out.newRumours {
		f.heard[string(r.payload)]++
	}
	for _, a := range out.actions {
		f.execute(node, a)
	}
}

func (f *fleet) execute(node *fakeNode, a action) {
	if a.method != viaHelper {
		f.exchange(node, a.address, a.method, a.message, func(end exchangeResult) {
			f.at(node, func() { node.machine.exchangeEnded(f.now, a.contact, end) })
		})
		return
	}
	f.call(node, a.address, overPooledConnection, 2*f.options.Timeout, func(helper *fakeNode, answer func(func())) {
		question := helper.machine.composeHelperProbe(f.now, a.target.member.Node)
		f.exchange(helper, a.target.member.Peers, overPooledConnection, question, func(end exchangeResult) {
			found := helperResult{refused: end.refused}
			f.at(helper, func() {
				found.answered = end.answer != nil && helper.machine.receiveHelperAnswer(f.now, a.target.member.Node, *end.answer)
			})
			answer(func() { node.machine.helperAnswered(f.now, a.contact, found) })
		})
	}, func(bool) { node.machine.helperAnswered(f.now, a.contact, helperResult{}) })
}

func (f *fleet) exchange(from *fakeNode, to identifier.Address, how contactMethod, question message, end func(exchangeResult)) {
	f.count(question)
	f.call(from, to, how, f.options.Timeout, func(peer *fakeNode, answer func(func())) {
		reply := peer.machine.receive(f.now, question)
		f.count(reply)
		answer(func() { end(exchangeResult{answer: &reply}) })
	}, func(refused bool) { end(exchangeResult{refused: refused}) })
}

// call makes one call: serve runs at the callee, and its answer or failed once at
// the caller.
func (f *fleet) call(
	from *fakeNode, address identifier.Address, how contactMethod, timeout time.Duration,
	serve func(peer *fakeNode, answer func(func())), failed func(refused bool),
) {
	peer := f.byAddr[address]
	over := false
	end := func(do func()) func() {
		return func() {
			if !over {
				over = true
				f.at(from, do)
			}
		}
	}
	f.after(timeout, end(func() { failed(false) }))
	switch {
	case peer == nil || f.blocked(from, peer):
	case how == overPooledConnection && f.silent[[2]identifier.Node{from.name, peer.name}]:
	case peer.killed:
		f.after(2*f.latency(from, peer), end(func() { failed(true) }))
	default:
		f.after(f.latency(from, peer), func() {
			f.at(peer, func() {
				serve(peer, func(do func()) { f.after(f.latency(peer, from), end(do)) })
			})
		})
	}
}

func (f *fleet) count(m message) {
	f.calls++
	f.bytes += proto.Size(toWire(m))
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	f.until(d, func() bool { return false })
}

// until lets time pass until a condition holds, looked at every 5 ms, and returns
// how long it took.
func (f *fleet) until(limit time.Duration, done func() bool) time.Duration {
	start, look := f.now, f.now
	for len(f.pending) > 0 && !f.pending[0].at.After(start.Add(limit)) {
		next := heap.Pop(&f.pending).(scheduled)
		f.now = next.at
		next.do()
		if f.now.Before(look) {
			continue
		}
		look = f.now.Add(5 * time.Millisecond)
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
	inbox := node.inbox
	node.inbox = nil
	f.at(node, func() { node.machine.tick(f.now) })
	for _, do := range inbox {
		f.at(node, do)
	}
}

// seen counts how many live nodes, but the node itself, see it in a state.
func (f *fleet) seen(name identifier.Node, state assigner.State) int {
	count := 0
	for _, node := range f.nodes {
		held, known := node.machine.table.records[name]
		if !node.killed && node.name != name && known && held.state() == state {
			count++
		}
	}
	return count
}

// whole tells whether every running node sees every running node alive, and no
// other.
func (f *fleet) whole() bool {
	running := 0
	for _, node := range f.nodes {
		if !node.killed {
			running++
		}
	}
	for _, node := range f.nodes {
		if !node.killed && !node.sees(running) {
			return false
		}
	}
	return true
}

func (n *fakeNode) sees(running int) bool {
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
