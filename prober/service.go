package prober

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// ticksPerInterval is how often the timers are checked per Interval.
const ticksPerInterval = 5

// Prober is the membership service of one node. It is safe for concurrent use.
type Prober struct {
	options Options
	joined  chan struct{}
	view    atomic.Pointer[assigner.View]
	// lastTick is when the timers were last checked, by the wall and monotonic clocks.
	lastTick atomic.Pointer[time.Time]
	// actions holds work for Run. Actions that do not fit are dropped, because later
	// probes contact the same nodes again.
	actions chan action

	mutex sync.Mutex
	// machine is guarded by mutex.
	machine *stateMachine
	// subscribers, and the slices in it, are guarded by mutex.
	subscribers map[string][]func([]byte, time.Duration)
}

// maxQueuedActions limits the actions that wait for Run.
const maxQueuedActions = 256

// New returns a prober that knows only its own node until Run is called.
func New(options Options) *Prober {
	options = options.withDefaults()
	seed := rand.NewPCG(rand.Uint64(), uint64(options.Self.Incarnation))
	now := time.Now()
	p := &Prober{
		options:     options,
		joined:      make(chan struct{}),
		actions:     make(chan action, maxQueuedActions),
		machine:     newStateMachine(options, rand.New(seed), now),
		subscribers: map[string][]func([]byte, time.Duration){},
	}
	p.lastTick.Store(&now)
	p.view.Store(p.machine.view())
	return p
}

// Joined returns a channel that is closed once a peer has answered or the node starts
// alone, because it has no seeds or none of them answered.
func (p *Prober) Joined() <-chan struct{} {
	return p.joined
}

// View returns the membership as this node sees it now. The returned view is immutable.
// After a pause of this process, even the view from the first call is suspended.
func (p *Prober) View() *assigner.View {
	view := p.view.Load()
	if view.Suspended || !p.paused(time.Now()) {
		return view
	}
	suspended := *view
	suspended.Suspended = true
	return &suspended
}

// paused reports whether this process was paused for longer than SuspendAfter before
// now. It checks the wall clock too, because the monotonic clock may stop with the VM.
func (p *Prober) paused(now time.Time) bool {
	ticked := *p.lastTick.Load()
	gap := max(now.Sub(ticked), now.Round(0).Sub(ticked.Round(0)))
	return gap > p.options.SuspendAfter
}

// AnnounceConfiguration tells the other nodes which configuration is in force on this
// node.
func (p *Prober) AnnounceConfiguration(number identifier.Configuration) {
	p.runInput(func(m *stateMachine, now time.Time) { m.announceConfiguration(now, number) })
}

// Broadcast sends a small message to the subscribers on every live node, including this
// one, and on nodes that join within Options.RumourLifetime after the call. A payload of
// more than 512 bytes is dropped, which is logged and counted.
func (p *Prober) Broadcast(topic string, payload []byte) {
	p.runInput(func(m *stateMachine, now time.Time) { m.broadcast(now, topic, payload) })
}

// Subscribe registers a function that is called once with each message of a topic. The
// function must not block. Call Subscribe before Run.
func (p *Prober) Subscribe(topic string, receive func(payload []byte)) {
	p.SubscribeWithAge(topic, func(payload []byte, _ time.Duration) { receive(payload) })
}

// SubscribeWithAge is like Subscribe, for a function that also gets the time since the
// broadcast. The age lacks the time that the message spent between nodes, and a node that
// joins gets messages that are minutes old.
func (p *Prober) SubscribeWithAge(topic string, receive func(payload []byte, age time.Duration)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.subscribers[topic] = append(p.subscribers[topic], receive)
}

// runInput passes one input to the state machine and applies the output. After a pause
// it runs a tick first. The caller must not hold the mutex.
func (p *Prober) runInput(input func(m *stateMachine, now time.Time)) {
	p.mutex.Lock()
	now := time.Now()
	if p.machine.running && p.paused(now) {
		p.tickLocked(now)
	}
	input(p.machine, now)
	out := p.publishLocked()
	p.mutex.Unlock()
	p.applyOutput(out)
}

// publishLocked publishes the view if it changed, closes joined once the node has joined,
// and returns the collected output. The caller must hold the mutex.
func (p *Prober) publishLocked() output {
	out := p.machine.takeOutput()
	if out.viewChanged {
		p.view.Store(p.machine.view())
	}
	if p.machine.joined {
		select {
		case <-p.joined:
		default:
			close(p.joined)
		}
	}
	return out
}

func (p *Prober) applyOutput(out output) {
	for _, n := range out.events {
		p.options.Log.Log(n.event, n.fields)
		p.options.Scope.Tagged(map[string]string{"event": strconv.Itoa(n.event.Number)}).Counter("membership-events").Inc(1)
	}
	for _, r := range out.newRumours {
		p.deliver(r)
	}
	for _, a := range out.actions {
		select {
		case p.actions <- a:
		default:
			p.options.Scope.Counter("membership-dropped").Inc(1)
			p.runInput(func(m *stateMachine, _ time.Time) { m.actionDropped(a.contact) })
		}
	}
}

func (p *Prober) deliver(r rumour) {
	p.mutex.Lock()
	receivers := p.subscribers[r.topic]
	p.mutex.Unlock()
	age := max(0, p.options.RumourLifetime-r.remaining)
	for _, receive := range receivers {
		receive(r.payload, age)
	}
}

func (p *Prober) reportResult(a action, result exchangeResult, fromHelper helperResult) {
	p.runInput(func(m *stateMachine, now time.Time) {
		if a.method == viaHelper {
			m.helperAnswered(now, a.contact, fromHelper)
			return
		}
		m.exchangeEnded(now, a.contact, result)
	})
}

// Run probes until ctx ends, then tells the neighbours that this node has ended.
func (p *Prober) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.options.Interval / ticksPerInterval)
	defer ticker.Stop()
	ended := make(chan struct{})
	runningActions := 0
	p.tick()
	for {
		select {
		case <-ctx.Done():
			p.announceExit(context.WithoutCancel(ctx), ended, runningActions)
			return nil
		case <-ticker.C:
			p.tick()
		case a := <-p.actions:
			runningActions++
			go p.execute(ctx, a, ended)
		case <-ended:
			runningActions--
		}
	}
}

func (p *Prober) tick() {
	p.mutex.Lock()
	now := time.Now()
	p.tickLocked(now)
	out := p.publishLocked()
	p.mutex.Unlock()
	p.applyOutput(out)
	p.options.Scope.Gauge("membership-live").Update(float64(len(p.view.Load().Live())))
}

func (p *Prober) tickLocked(now time.Time) {
	p.machine.running = true
	p.machine.tick(now)
	p.lastTick.Store(&now)
}

// announceExit waits for the running actions, tells the neighbours that this node has
// ended, and waits until those requests have ended.
func (p *Prober) announceExit(ctx context.Context, ended chan struct{}, runningActions int) {
	for ; runningActions > 0; runningActions-- {
		<-ended
	}
	p.mutex.Lock()
	p.machine.announceEnd(time.Now())
	out := p.machine.takeOutput()
	p.mutex.Unlock()
	for _, a := range out.actions {
		runningActions++
		go p.execute(ctx, a, ended)
	}
	for ; runningActions > 0; runningActions-- {
		<-ended
	}
}

// Leave tells the other nodes that this node takes no new work. It returns nil when all
// neighbours have acknowledged the message, or the cause if ctx ends first.
func (p *Prober) Leave(ctx context.Context) error {
	p.runInput(func(m *stateMachine, now time.Time) { m.announceLeaving(now) })
	ticker := time.NewTicker(p.options.Interval / ticksPerInterval)
	defer ticker.Stop()
	for {
		p.mutex.Lock()
		acknowledged := p.machine.leavingAcknowledged()
		p.mutex.Unlock()
		if acknowledged {
			return nil
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
}

type idleCloser interface {
	CloseIdleConnections()
}

// transport returns the transport for a method and a function that releases it.
func (p *Prober) transport(method contactMethod) (http.RoundTripper, func()) {
	if method != overNewConnection || p.options.NewTransport == nil {
		return p.options.Transport, func() {}
	}
	transport := p.options.NewTransport()
	return transport, func() {
		if closable, ok := transport.(idleCloser); ok {
			closable.CloseIdleConnections()
		}
	}
}
