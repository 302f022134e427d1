package prober

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
)

// pushRounds bounds the rounds of pushed news: so many at once, and as many
// again in each interval.
const pushRounds = 4

// machine decides all of membership. Inputs come with the present time, never
// earlier than the last; what it wants done is collected in out.
type machine struct {
	options Options
	random  *rand.Rand
	out     output

	table   *table
	rumours *rumours
	// newsRecords, newsProgress and newsRumours are to be told to others.
	newsRecords  *queue[identifier.Node]
	newsProgress *queue[identifier.Node]
	newsRumours  *queue[uint64]

	// suspects holds when each suspect is dead, and deaths when each dead node is
	// forgotten. Their keys are the suspect and the dead records of the table.
	suspects map[identifier.Node]time.Time
	deaths   map[identifier.Node]time.Time

	// contacts are the exchanges that are under way; busy holds their targets.
	contacts    map[contactID]*contact
	busy        map[identifier.Node]contactID
	lastContact contactID

	// neighbours belongs to the table's generation neighboursOf.
	neighbours   []identifier.Node
	neighboursOf uint64
	turn         int

	// disagreements counts the exchanges in a row with each neighbour after which
	// the tables differed.
	disagreements map[identifier.Node]int

	// acknowledged is the revision of this node's record that each neighbour has
	// answered to.
	acknowledged map[identifier.Node]uint32

	// running is set from the first tick on.
	running     bool
	lastTick    time.Time
	nextProbe   time.Time
	nextJoin    time.Time
	nextRevive  time.Time
	nextRepair  time.Time
	nextRefute  time.Time
	joinBackoff time.Duration
	// pushes is how many rounds of pushed news may go out; hot that one is due.
	pushes float64
	hot    bool

	// started is when this machine was made.
	started time.Time
	// joined is set once a peer answered or the node goes on alone.
	joined bool
	// suspended is set from a pause of this process until a peer answered or
	// aloneAt passed.
	suspended bool
	aloneAt   deadline
}

func newMachine(options Options, random *rand.Rand, now time.Time) *machine {
	m := &machine{
		options:       options,
		random:        random,
		table:         newTable(),
		rumours:       newRumours(),
		newsRecords:   newQueue[identifier.Node](),
		newsProgress:  newQueue[identifier.Node](),
		newsRumours:   newQueue[uint64](),
		suspects:      map[identifier.Node]time.Time{},
		deaths:        map[identifier.Node]time.Time{},
		contacts:      map[contactID]*contact{},
		busy:          map[identifier.Node]contactID{},
		disagreements: map[identifier.Node]int{},
		acknowledged:  map[identifier.Node]uint32{},
		lastTick:      now,
		nextJoin:      now,
		nextProbe:     now.Add(jitter(random, options.Interval)),
		started:       now,
		nextRevive:    now.Add(jitter(random, options.ReviveAfter)),
		joinBackoff:   options.Interval / 2,
		pushes:        pushRounds,
	}
	m.table.merge(record{member: options.Self})
	return m
}

// jitter returns a duration between half of d and one and a half.
func jitter(random *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(random.Int64N(int64(d)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (m *machine) self() record {
	return m.table.records[m.options.Self.Node]
}

// take returns what was collected since the last call.
func (m *machine) take() output {
	taken := m.out
	m.out = output{}
	return taken
}

// view builds the view as of now.
func (m *machine) view() *assigner.View {
	return &assigner.View{
		Self:      m.self().viewed(),
		Members:   m.table.members(),
		Suspended: m.suspended || !m.joined,
	}
}

// tick does what is due. It is called several times an interval.
func (m *machine) tick(now time.Time) {
	gap := now.Sub(m.lastTick)
	m.lastTick = now
	if gap > m.options.Timeout {
		m.disregard(gap)
	}
	if gap > m.options.SuspendAfter {
		m.suspend(now)
	}
	m.pushes = min(pushRounds, m.pushes+pushRounds*gap.Seconds()/m.options.Interval.Seconds())
	m.join(now)
	m.resumeAlone(now)
	m.expire(now)
	if !now.Before(m.nextProbe) {
		m.nextProbe = later(m.nextProbe.Add(m.options.Interval), now)
		m.probeNext(now)
	}
	if !now.Before(m.nextRevive) {
		m.revive(now)
	}
	m.push(now)
}

// disregard takes back what this node's own standing still made of others: its
// timers ran while nobody could answer it.
func (m *machine) disregard(gap time.Duration) {
	for node, end := range m.suspects {
		m.suspects[node] = end.Add(gap)
	}
	for _, c := range m.contacts {
		c.disregarded = true
	}
}

// suspend makes the node own nothing until it has caught up.
func (m *machine) suspend(now time.Time) {
	m.aloneAt = deadline{now.Add(m.options.SuspectAfter)}
	if !m.suspended {
		m.out.note(eventSuspended, nil)
	}
	m.suspended = true
	m.out.viewChanged = true
	live := m.table.live(m.options.Self.Node)
	m.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for _, other := range live[:min(len(live), m.options.Helpers)] {
		m.abandon(other.member.Node)
		m.reach(now, contact{purpose: catchUp, method: overNew, target: other, repairs: true})
	}
	if len(live) == 0 {
		m.resume()
	}
}

func (m *machine) resume() {
	if !m.suspended {
		return
	}
	m.suspended = false
	m.aloneAt = deadline{}
	m.out.viewChanged = true
	m.out.note(eventResumed, nil)
}

func (m *machine) resumeAlone(now time.Time) {
	if m.suspended && m.aloneAt.passed(now) {
		m.resume()
	}
}

// expire declares suspects dead and forgets the dead when their time has come.
func (m *machine) expire(now time.Time) {
	for _, node := range sortedKeys(m.suspects) {
		if now.Before(m.suspects[node]) {
			continue
		}
		held := m.table.records[node]
		held.health = dead
		m.accept(now, held)
	}
	for node, end := range m.deaths {
		if !now.Before(end) {
			delete(m.deaths, node)
			m.table.forget(node)
			m.out.viewChanged = true
		}
	}
	m.rumours.expire(now)
}

// accept merges a record and follows up on what changed.
func (m *machine) accept(now time.Time, r record) {
	node := r.member.Node
	if node == m.options.Self.Node {
		m.defend(now, r)
		return
	}
	before, known := m.table.records[node]
	if !known && r.health == dead {
		// A death of a node never heard of is no news to pass on.
		m.table.merge(r)
		m.deaths[node] = now.Add(m.options.ForgetAfter)
		m.out.viewChanged = true
		return
	}
	if !m.table.merge(r) {
		m.advance(progressOf(r))
		return
	}
	if !known {
		before.health = dead
	}
	m.follow(now, before, m.table.records[node])
	m.tell(node)
	m.displace(now, m.table.records[node])
}

// follow keeps the timers of a node's new record and notes what it means.
func (m *machine) follow(now time.Time, before, after record) {
	node := after.member.Node
	delete(m.suspects, node)
	delete(m.deaths, node)
	fields := logger.Fields{"member": node, "incarnation": after.member.Incarnation}
	switch {
	case after.health == dead:
		m.deaths[node] = now.Add(m.options.ForgetAfter)
		delete(m.disagreements, node)
		delete(m.acknowledged, node)
		m.out.note(eventDead, fields)
	case after.health == suspect:
		m.suspects[node] = now.Add(m.options.SuspectAfter)
		m.out.note(eventSuspect, fields)
	case after.health == refused:
		m.suspects[node] = now.Add(m.options.RefusedAfter)
		m.out.note(eventRefusing, fields)
	case after.leaving && !before.leaving:
		m.out.note(eventLeaving, fields)
	case before.health == dead:
		m.out.note(eventMember, fields)
	}
	m.out.viewChanged = true
}

// displace declares dead whom a newer run at the same address has replaced.
func (m *machine) displace(now time.Time, by record) {
	for _, held := range m.table.displaced(by) {
		if held.member.Node == m.options.Self.Node {
			continue
		}
		m.out.note(eventDisplaced, logger.Fields{"member": held.member.Node, "by": by.member.Node})
		held.health = dead
		m.accept(now, held)
	}
}

// defend refutes what others say about this node, if it is not so.
func (m *machine) defend(now time.Time, r record) {
	own := m.self()
	if r.compare(own) <= 0 || now.Before(m.nextRefute) {
		return
	}
	// Two processes of one name would otherwise refute each other without end.
	m.nextRefute = now.Add(m.options.Interval / 4)
	if r.member.Incarnation > own.member.Incarnation {
		m.out.note(eventSameName, logger.Fields{"incarnation": r.member.Incarnation})
		own.member.Incarnation = r.member.Incarnation + 1
	} else {
		m.out.note(eventRefuted, logger.Fields{"health": r.health})
	}
	own.revision = r.revision + 1
	m.restate(own)
}

// restate replaces this node's own record and has it told.
func (m *machine) restate(own record) {
	m.table.put(own)
	m.tell(own.member.Node)
	m.out.viewChanged = true
}

// tell has a record passed on, at once if the bound on pushes allows.
func (m *machine) tell(node identifier.Node) {
	m.newsRecords.add(node)
	m.hot = true
}

func (m *machine) advance(p progress) {
	if m.table.advance(p.run, p.configuration) {
		m.newsProgress.add(m.table.runs[p.run])
		m.out.viewChanged = true
	}
}

// leave tells the others that this node takes no new work.
func (m *machine) leave(now time.Time) {
	own := m.self()
	if own.leaving {
		return
	}
	own.leaving = true
	own.revision++
	m.restate(own)
	m.push(now)
}

// end tells the neighbours that this node is gone.
func (m *machine) end(now time.Time) {
	own := m.self()
	own.health = dead
	m.restate(own)
	m.pushes = pushRounds
	m.push(now)
}

// announce sets the configuration in force here. The first one is told at once,
// because the others send no caller here before they know of it.
func (m *machine) announce(now time.Time, number identifier.Configuration) {
	first := m.self().member.Configuration == 0
	m.advance(progress{m.self().run(), number})
	if first {
		m.hot = true
		m.push(now)
	}
}

// broadcast starts a rumour of this node.
func (m *machine) broadcast(now time.Time, topic string, payload []byte) {
	m.hear(now, rumour{id: m.random.Uint64(), topic: topic, payload: payload, remaining: m.options.RumourKeep})
	m.push(now)
}

func (m *machine) hear(now time.Time, r rumour) {
	if !m.rumours.add(now, r) {
		return
	}
	m.out.heard = append(m.out.heard, r)
	m.newsRumours.add(r.id)
	m.hot = true
}

// transmissions is how often one piece of news is told by a node: enough to
// reach all others with what they pass on, logarithmic in the fleet.
func (m *machine) transmissions() int {
	return m.options.Rings + int(math.Ceil(math.Log2(float64(len(m.table.records)+1))))
}
