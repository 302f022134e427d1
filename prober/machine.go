package prober

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
)

const (
	// maxPushRounds is how many rounds of pushed updates may start in a burst, and how many
	// more are allowed per Options.Interval.
	maxPushRounds = 4
	// rumourPushCost is for how many of them a round counts that only rumours have caused. A
	// round calls all neighbours, and rumours come by the hundred when engines crash.
	rumourPushCost = 2.5
)

// stateMachine makes all membership decisions. Its methods take the current time, which
// must never decrease. They collect the resulting actions and events in out. stateMachine
// is not safe for concurrent use.
type stateMachine struct {
	options Options
	random  *rand.Rand
	out     output

	table              *table
	rumours            *rumourStore
	recordQueue        *gossipQueue[identifier.Node]
	configurationQueue *gossipQueue[identifier.Node]
	rumourQueue        *gossipQueue[uint64]

	// suspicionDeadlines holds when a suspect is declared dead, for every suspect in
	// the table.
	suspicionDeadlines map[identifier.Node]time.Time
	// forgetTimes holds when a dead node is forgotten, for every dead node in the table.
	forgetTimes map[identifier.Node]time.Time

	// contacts are the contacts in flight.
	contacts      map[contactID]*contact
	contactByNode map[identifier.Node]contactID
	lastContact   contactID

	// neighbours is valid while the table's generation equals neighboursGeneration.
	neighbours           []identifier.Node
	neighboursGeneration uint64
	probeTurn            int

	// digestMismatches counts, for each node, the consecutive exchanges after which the
	// digests still differed.
	digestMismatches map[identifier.Node]int

	// acknowledgedRevisions holds, for each other node, the revision of this node's own
	// record in the last message that the other node answered.
	acknowledgedRevisions map[identifier.Node]uint32

	// running is set from the first tick on.
	running       bool
	lastTick      time.Time
	nextProbe     time.Time
	nextJoin      time.Time
	nextReconnect time.Time
	nextRepair    time.Time
	nextRefute    time.Time
	joinBackoff   time.Duration
	// pushRounds is how many rounds of pushed updates may start now.
	pushRounds float64
	pushDue    bool
	// rumourPushDue is set while rumours, and nothing else, wait to be pushed.
	rumourPushDue bool

	startedAt time.Time
	// mayStartAloneAt is when the node may start alone although seeds have not answered:
	// SuspicionTimeout after its start or, if later, after it had the list of seeds.
	mayStartAloneAt time.Time
	// joined is set once a peer has answered or the node starts alone.
	joined bool
	// suspended is set after a pause of this process, until a peer has answered or
	// resumeDeadline has passed.
	suspended      bool
	resumeDeadline deadline
}

func newStateMachine(options Options, random *rand.Rand, now time.Time) *stateMachine {
	m := &stateMachine{
		options:               options,
		random:                random,
		table:                 newTable(),
		rumours:               newRumourStore(),
		recordQueue:           newGossipQueue[identifier.Node](),
		configurationQueue:    newGossipQueue[identifier.Node](),
		rumourQueue:           newGossipQueue[uint64](),
		suspicionDeadlines:    map[identifier.Node]time.Time{},
		forgetTimes:           map[identifier.Node]time.Time{},
		contacts:              map[contactID]*contact{},
		contactByNode:         map[identifier.Node]contactID{},
		digestMismatches:      map[identifier.Node]int{},
		acknowledgedRevisions: map[identifier.Node]uint32{},
		lastTick:              now,
		nextJoin:              now,
		nextProbe:             now.Add(jitter(random, options.Interval)),
		startedAt:             now,
		mayStartAloneAt:       now.Add(options.SuspicionTimeout),
		nextReconnect:         now.Add(jitter(random, options.ReconnectInterval)),
		joinBackoff:           options.Interval / 2,
		pushRounds:            maxPushRounds,
	}
	m.table.merge(record{member: options.Self})
	return m
}

// jitter returns a random duration from 0.5 d to 1.5 d.
func jitter(random *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(random.Int64N(int64(d)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (m *stateMachine) ownRecord() record {
	return m.table.records[m.options.Self.Node]
}

// takeOutput returns and clears the output collected so far.
func (m *stateMachine) takeOutput() output {
	taken := m.out
	m.out = output{}
	return taken
}

func (m *stateMachine) view() *assigner.View {
	return &assigner.View{
		Self:      m.ownRecord().toMember(),
		Members:   m.table.members(),
		Suspended: m.suspended || !m.joined,
	}
}

// tick runs all timers that are due. Call it several times per Options.Interval: a gap of
// more than Options.Timeout between two ticks counts as a pause of this process.
func (m *stateMachine) tick(now time.Time) {
	gap := now.Sub(m.lastTick)
	m.lastTick = now
	if gap > m.options.Timeout {
		m.compensatePause(gap)
	}
	if gap > m.options.SuspendAfter {
		m.suspend(now)
	}
	m.pushRounds = min(maxPushRounds, m.pushRounds+maxPushRounds*gap.Seconds()/m.options.Interval.Seconds())
	m.contactSeeds(now)
	m.resumeAfterDeadline(now)
	m.expireTimers(now)
	if !now.Before(m.nextProbe) {
		m.nextProbe = later(m.nextProbe.Add(m.options.Interval), now)
		m.probeNextNeighbour(now)
		if evicted := m.rumours.takeEvictions(); evicted > 0 {
			m.out.logEvent(eventMessagesEvicted, logger.Fields{"evicted": evicted})
		}
	}
	if !now.Before(m.nextReconnect) {
		m.reconnect(now)
	}
	m.pushUpdates(now)
}

// compensatePause extends the suspicion deadlines by the length of a pause and sets
// pausedMeanwhile on the contacts in flight, because a paused process receives no messages.
func (m *stateMachine) compensatePause(gap time.Duration) {
	for node, end := range m.suspicionDeadlines {
		m.suspicionDeadlines[node] = end.Add(gap)
	}
	for _, c := range m.contacts {
		c.pausedMeanwhile = true
	}
}

// suspend makes the node own no shards until it has fetched the membership from a peer.
// Without live peers it resumes at once.
func (m *stateMachine) suspend(now time.Time) {
	m.resumeDeadline = deadline{now.Add(m.options.SuspicionTimeout)}
	if !m.suspended {
		m.out.logEvent(eventSuspended, nil)
	}
	m.suspended = true
	m.out.viewChanged = true
	live := m.table.liveExcept(m.options.Self.Node)
	m.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for _, other := range live[:min(len(live), m.options.Helpers)] {
		m.abandonContact(other.member.Node)
		m.startContact(now, contact{purpose: pauseRecovery, method: overNewConnection, target: other, requestRepair: true})
	}
	if len(live) == 0 {
		m.resume()
	}
}

func (m *stateMachine) resume() {
	if !m.suspended {
		return
	}
	m.suspended = false
	m.resumeDeadline = deadline{}
	m.out.viewChanged = true
	m.out.logEvent(eventResumed, nil)
}

func (m *stateMachine) resumeAfterDeadline(now time.Time) {
	if m.suspended && m.resumeDeadline.passed(now) {
		m.resume()
	}
}

func (m *stateMachine) expireTimers(now time.Time) {
	for _, node := range sortedKeys(m.suspicionDeadlines) {
		if now.Before(m.suspicionDeadlines[node]) {
			continue
		}
		held := m.table.records[node]
		held.health = dead
		m.mergeRecord(now, held)
	}
	for node, end := range m.forgetTimes {
		if !now.Before(end) {
			delete(m.forgetTimes, node)
			m.table.forget(node)
			m.out.viewChanged = true
		}
	}
	m.rumours.removeExpired(now)
}

// mergeRecord merges a record of another node, or refutes a newer record of this node.
func (m *stateMachine) mergeRecord(now time.Time, r record) {
	node := r.member.Node
	if node == m.options.Self.Node {
		m.refute(now, r)
		return
	}
	before, known := m.table.records[node]
	if !known && r.health == dead {
		// The death of an unknown node is recorded but not passed on.
		m.table.merge(r)
		m.forgetTimes[node] = now.Add(m.options.ForgetAfter)
		m.out.viewChanged = true
		return
	}
	if !m.table.merge(r) {
		m.mergeConfiguration(runConfigurationOf(r))
		return
	}
	if !known {
		before.health = dead
	}
	m.recordChanged(now, before, m.table.records[node])
	m.queueRecord(node)
	m.declareReplacedNodesDead(now, m.table.records[node])
}

// recordChanged updates the timers for a node's new record and logs the change.
func (m *stateMachine) recordChanged(now time.Time, before, after record) {
	node := after.member.Node
	delete(m.suspicionDeadlines, node)
	delete(m.forgetTimes, node)
	fields := logger.Fields{"member": node, "incarnation": after.member.Incarnation}
	switch {
	case after.health == dead:
		m.forgetTimes[node] = now.Add(m.options.ForgetAfter)
		delete(m.digestMismatches, node)
		delete(m.acknowledgedRevisions, node)
		m.out.logEvent(eventDead, fields)
	case after.health == suspect:
		m.suspicionDeadlines[node] = now.Add(m.options.SuspicionTimeout)
		m.out.logEvent(eventSuspect, fields)
	case after.health == suspectRefused:
		m.suspicionDeadlines[node] = now.Add(m.options.RefusedSuspicionTimeout)
		m.out.logEvent(eventRefusesConnections, fields)
	case after.leaving && !before.leaving:
		m.out.logEvent(eventLeaving, fields)
	case before.health == dead:
		m.out.logEvent(eventLive, fields)
	}
	m.out.viewChanged = true
}

// declareReplacedNodesDead declares nodes dead whose address a newer run uses.
func (m *stateMachine) declareReplacedNodesDead(now time.Time, changed record) {
	for _, held := range m.table.replacedRuns(changed) {
		if held.member.Node == m.options.Self.Node {
			continue
		}
		m.out.logEvent(eventAddressReused, logger.Fields{"member": held.member.Node, "by": changed.member.Node})
		held.health = dead
		m.mergeRecord(now, held)
	}
}

// refute makes this node's own record newer than r, if r is a newer record of this node.
func (m *stateMachine) refute(now time.Time, r record) {
	own := m.ownRecord()
	if r.compare(own) <= 0 || now.Before(m.nextRefute) {
		return
	}
	// The rate is limited, because two processes with the same name refute each
	// other endlessly.
	m.nextRefute = now.Add(m.options.Interval / 4)
	if r.member.Incarnation > own.member.Incarnation {
		m.out.logEvent(eventNameConflict, logger.Fields{"incarnation": r.member.Incarnation})
		own.member.Incarnation = r.member.Incarnation + 1
	} else {
		m.out.logEvent(eventSuspicionRefuted, logger.Fields{"health": r.health})
	}
	own.revision = r.revision + 1
	m.replaceOwnRecord(own)
}

func (m *stateMachine) replaceOwnRecord(own record) {
	m.table.put(own)
	m.queueRecord(own.member.Node)
	m.out.viewChanged = true
}

// queueRecord queues a record for sending and requests a push.
func (m *stateMachine) queueRecord(node identifier.Node) {
	m.recordQueue.add(node)
	m.pushDue = true
}

func (m *stateMachine) mergeConfiguration(p runConfiguration) {
	if m.table.raiseConfiguration(p.run, p.configuration) {
		m.configurationQueue.add(m.table.nodeByRun[p.run])
		m.out.viewChanged = true
	}
}

// announceLeaving tells the other nodes that this node takes no new work.
func (m *stateMachine) announceLeaving(now time.Time) {
	own := m.ownRecord()
	if own.leaving {
		return
	}
	own.leaving = true
	own.revision++
	m.replaceOwnRecord(own)
	m.pushUpdates(now)
}

// announceEnd tells the neighbours that this node has ended, ignoring the push limit.
func (m *stateMachine) announceEnd(now time.Time) {
	own := m.ownRecord()
	own.health = dead
	m.replaceOwnRecord(own)
	m.pushRounds = maxPushRounds
	m.pushUpdates(now)
}

// announceConfiguration publishes the number of this node's configuration in force. It pushes
// the first number at once: other nodes send callers only to nodes whose number they know.
func (m *stateMachine) announceConfiguration(now time.Time, number identifier.Configuration) {
	first := m.ownRecord().member.Configuration == 0
	m.mergeConfiguration(runConfiguration{m.ownRecord().runID(), number})
	if first {
		m.pushDue = true
		m.pushUpdates(now)
	}
}

func (m *stateMachine) broadcast(now time.Time, topic string, payload []byte) {
	if len(payload) > maxRumourBytes {
		m.out.logEvent(eventMessageTooLong, logger.Fields{"topic": topic, "bytes": len(payload)})
		return
	}
	m.mergeRumour(now, rumour{id: m.random.Uint64(), topic: topic, payload: payload, remaining: m.options.RumourLifetime})
	m.pushUpdates(now)
}

func (m *stateMachine) mergeRumour(now time.Time, r rumour) {
	if !m.rumours.add(now, r) {
		return
	}
	m.out.newRumours = append(m.out.newRumours, r)
	m.rumourQueue.add(r.id)
	m.rumourPushDue = true
}

// maxRumourTransmissions returns how many messages of this node carry one rumour: one to each
// neighbour and some more. Rumours come by the hundred when engines crash, and a comparison of
// digests repairs what gets lost.
func (m *stateMachine) maxRumourTransmissions() int {
	return m.options.Neighbours + 2
}

// maxTransmissions returns how many messages of this node carry one update. It grows
// logarithmically with the size of the fleet. That is enough to reach all nodes, because
// each node that receives the update passes it on as often.
func (m *stateMachine) maxTransmissions() int {
	return m.options.Neighbours + int(math.Ceil(math.Log2(float64(len(m.table.records)+1))))
}
