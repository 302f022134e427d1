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

// ticksPerInterval is how often the machine looks at its timers in an interval.
const ticksPerInterval = 5

// Prober is the membership service of one node.
type Prober struct {
	options Options
	joined  chan struct{}
	view    atomic.Pointer[assigner.View]
	// ticked is when the machine last looked at its timers, in nanoseconds of the
	// clock that the tick read.
	ticked atomic.Pointer[time.Time]
	// work holds actions for Run. What does not fit is dropped: the next interval
	// makes up for it.
	work chan action

	mutex sync.Mutex
	// machine and the slices of subscribers are guarded by mutex.
	machine     *machine
	subscribers map[string][]func([]byte)
}

// workLimit bounds the actions that wait for Run.
const workLimit = 256

// New returns a prober that knows only its own node until it runs.
func New(options Options) *Prober {
	options = options.withDefaults()
	seed := rand.NewPCG(rand.Uint64(), uint64(options.Self.Incarnation))
	now := time.Now()
	p := &Prober{
		options:     options,
		joined:      make(chan struct{}),
		work:        make(chan action, workLimit),
		machine:     newMachine(options, rand.New(seed), now),
		subscribers: map[string][]func([]byte){},
	}
	p.ticked.Store(&now)
	p.view.Store(p.machine.view())
	return p
}

// Joined is closed once a peer has answered or the node goes on alone, because
// it has no seeds or none of them answered.
func (p *Prober) Joined() <-chan struct{} {
	return p.joined
}

// View returns the membership as this node sees it now. It never changes; a
// later call returns a later view. After a pause of this process the view is
// suspended from the first call on.
func (p *Prober) View() *assigner.View {
	view := p.view.Load()
	if view.Suspended || !p.stoodStill(time.Now()) {
		return view
	}
	suspended := *view
	suspended.Suspended = true
	return &suspended
}

// stoodStill compares both clocks: the monotonic one may stop with the VM.
func (p *Prober) stoodStill(now time.Time) bool {
	ticked := *p.ticked.Load()
	gap := max(now.Sub(ticked), now.Round(0).Sub(ticked.Round(0)))
	return gap > p.options.SuspendAfter
}

// Announce tells the others which configuration is in force here.
func (p *Prober) Announce(number identifier.Configuration) {
	p.with(func(m *machine, now time.Time) { m.announce(now, number) })
}

// Broadcast passes a small message to the subscribers on every live node, this
// one among them, and on those that join while it is kept. At most 512 bytes are
// passed on; a longer message is dropped.
func (p *Prober) Broadcast(topic string, payload []byte) {
	p.with(func(m *machine, now time.Time) { m.broadcast(now, topic, payload) })
}

// Subscribe has a function called with each message of a topic, once for each.
// The function must not block. Subscribe before Run.
func (p *Prober) Subscribe(topic string, receive func(payload []byte)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.subscribers[topic] = append(p.subscribers[topic], receive)
}

// with runs one input of the machine and carries out what follows from it.
func (p *Prober) with(input func(m *machine, now time.Time)) {
	p.mutex.Lock()
	now := time.Now()
	if p.machine.running && p.stoodStill(now) {
		p.tickLocked(now)
	}
	input(p.machine, now)
	out := p.settle()
	p.mutex.Unlock()
	p.carryOut(out)
}

// settle publishes the machine's state. The mutex is held.
func (p *Prober) settle() output {
	out := p.machine.take()
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

func (p *Prober) carryOut(out output) {
	for _, n := range out.notes {
		p.options.Log.Log(n.event, n.fields)
		p.options.Scope.Tagged(map[string]string{"event": strconv.Itoa(n.event.Number)}).Counter("membership-events").Inc(1)
	}
	for _, r := range out.heard {
		p.deliver(r)
	}
	for _, a := range out.actions {
		select {
		case p.work <- a:
		default:
			p.options.Scope.Counter("membership-dropped").Inc(1)
			p.with(func(m *machine, _ time.Time) { m.dropped(a.contact) })
		}
	}
}

func (p *Prober) deliver(r rumour) {
	p.mutex.Lock()
	receivers := p.subscribers[r.topic]
	p.mutex.Unlock()
	for _, receive := range receivers {
		receive(r.payload)
	}
}

// conclude tells the machine the end of an action.
func (p *Prober) conclude(a action, end ending, found finding) {
	p.with(func(m *machine, now time.Time) {
		if a.method == through {
			m.probed(now, a.contact, found)
			return
		}
		m.concluded(now, a.contact, end)
	})
}

// Run probes until ctx ends, and then tells the neighbours that the node is gone.
func (p *Prober) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.options.Interval / ticksPerInterval)
	defer ticker.Stop()
	ended := make(chan struct{})
	running := 0
	p.tick()
	for {
		select {
		case <-ctx.Done():
			p.farewell(context.WithoutCancel(ctx), ended, running)
			return nil
		case <-ticker.C:
			p.tick()
		case a := <-p.work:
			running++
			go p.execute(ctx, a, ended)
		case <-ended:
			running--
		}
	}
}

func (p *Prober) tick() {
	p.mutex.Lock()
	now := time.Now()
	p.tickLocked(now)
	out := p.settle()
	p.mutex.Unlock()
	p.carryOut(out)
	p.options.Scope.Gauge("membership-live").Update(float64(len(p.view.Load().Live())))
}

func (p *Prober) tickLocked(now time.Time) {
	p.machine.running = true
	p.machine.tick(now)
	p.ticked.Store(&now)
}

// farewell waits for the exchanges under way and pushes the node's end.
func (p *Prober) farewell(ctx context.Context, ended chan struct{}, running int) {
	for ; running > 0; running-- {
		<-ended
	}
	p.mutex.Lock()
	p.machine.end(time.Now())
	out := p.machine.take()
	p.mutex.Unlock()
	for _, a := range out.actions {
		running++
		go p.execute(ctx, a, ended)
	}
	for ; running > 0; running-- {
		<-ended
	}
}

// Leave tells the others that the node takes no new work, and returns when its
// neighbours know, or with ctx's error.
func (p *Prober) Leave(ctx context.Context) error {
	p.with(func(m *machine, now time.Time) { m.leave(now) })
	ticker := time.NewTicker(p.options.Interval / ticksPerInterval)
	defer ticker.Stop()
	for {
		p.mutex.Lock()
		told := p.machine.leaveTold()
		p.mutex.Unlock()
		if told {
			return nil
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
}

// closer is a transport whose connections can be given up.
type closer interface {
	CloseIdleConnections()
}

// transport returns the transport for a method, and how to be done with it.
func (p *Prober) transport(how method) (http.RoundTripper, func()) {
	if how != overNew || p.options.NewPeers == nil {
		return p.options.Peers, func() {}
	}
	fresh := p.options.NewPeers()
	return fresh, func() {
		if closing, ok := fresh.(closer); ok {
			closing.CloseIdleConnections()
		}
	}
}
