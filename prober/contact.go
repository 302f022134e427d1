package prober

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
)

// purpose is why an exchange is made.
type purpose uint8

const (
	// probing checks a member and carries news.
	probing purpose = iota
	// catchUp learns what happened while this process stood still.
	catchUp
	// introduction reaches an address whose node is not a live member.
	introduction
)

// contact is one exchange from its first try to its end.
type contact struct {
	purpose purpose
	method  method
	// target is the member meant. Only its address is set for a seed.
	target record
	// told is the revision of this node's record that the exchange carries.
	told uint32
	// repairs asks the other side for all that differs.
	repairs bool
	// records, progress and rumours are told besides the news: what the other side lacks.
	records  []record
	progress []progress
	rumours  []rumour
	// stale: there is news that came after the exchange's message was composed.
	stale bool
	// pending counts the helpers that have not answered, for the method through.
	pending int
	// refused: every new connection so far was refused.
	refused bool
	// disregarded: this process stood still meanwhile, so a failure means nothing.
	disregarded bool
}

// join tries the seeds until one answers.
func (m *machine) join(now time.Time) {
	if m.joined || now.Before(m.nextJoin) {
		return
	}
	for _, c := range m.contacts {
		if c.purpose == introduction {
			return
		}
	}
	seeds := m.strangers()
	if len(seeds) == 0 {
		if m.options.Unlisted == nil || !m.options.Unlisted() || !now.Before(m.started.Add(m.options.SuspectAfter)) {
			m.goOnAlone(now)
		}
		return
	}
	m.nextJoin = now.Add(jitter(m.random, m.joinBackoff))
	m.joinBackoff = min(2*m.joinBackoff, m.options.SuspectAfter)
	m.random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, seed := range seeds[:min(len(seeds), m.options.Helpers)] {
		m.reach(now, contact{purpose: introduction, target: seed, repairs: true})
	}
}

// goOnAlone ends the start of a node that no other answered. It soon tries again.
func (m *machine) goOnAlone(now time.Time) {
	m.joined = true
	m.nextRevive = now.Add(jitter(m.random, 2*m.options.Interval))
	m.out.viewChanged = true
	if len(m.options.Seeds) > 0 {
		m.out.note(eventAlone, nil)
	}
}

// revive tries to reach nodes or addresses that are no live members, several at once:
// those that are gone for good must not use up the tries for one that came back. A
// node that is alone tries again soon: those beside it may have started alone at the
// same time, while all others cannot be reached.
func (m *machine) revive(now time.Time) {
	pause := m.options.ReviveAfter
	if len(m.currentNeighbours()) == 0 {
		pause = 2 * m.options.Interval
	}
	m.nextRevive = now.Add(jitter(m.random, pause))
	strangers := m.strangers()
	if len(strangers) == 0 {
		return
	}
	first := m.random.IntN(len(strangers))
	for i := range min(len(strangers), m.options.Helpers) {
		stranger := strangers[(first+i)%len(strangers)]
		m.reach(now, contact{purpose: introduction, method: overNew, target: stranger, repairs: true})
	}
}

// strangers returns the dead members and the seeds that are no live members.
func (m *machine) strangers() []record {
	addresses := slices.Clone(m.options.Seeds)
	if m.options.Listed != nil {
		addresses = append(addresses, m.options.Listed()...)
	}
	known := map[identifier.Address]bool{m.options.Self.PeerAddress: true}
	var strangers []record
	for _, held := range m.table.records {
		if held.health != dead {
			known[held.member.PeerAddress] = true
		}
	}
	for _, node := range sortedKeys(m.deaths) {
		held := m.table.records[node]
		if !known[held.member.PeerAddress] {
			known[held.member.PeerAddress] = true
			strangers = append(strangers, held)
		}
	}
	for _, address := range addresses {
		if !known[address] {
			known[address] = true
			var seed record
			seed.member.PeerAddress = address
			strangers = append(strangers, seed)
		}
	}
	return strangers
}

// probeNext probes the next neighbour in turn.
func (m *machine) probeNext(now time.Time) {
	neighbours := m.currentNeighbours()
	if len(neighbours) == 0 {
		return
	}
	m.turn++
	m.check(now, neighbours[m.turn%len(neighbours)])
}

func (m *machine) currentNeighbours() []identifier.Node {
	if m.neighboursOf != m.table.generation {
		m.neighboursOf = m.table.generation
		m.neighbours = m.table.successors(m.options.Self.Node, m.options.Rings)
	}
	return m.neighbours
}

// push tells news to all neighbours at once, within the bound on such rounds.
func (m *machine) push(now time.Time) {
	if !m.hot || m.pushes < 1 {
		return
	}
	m.hot = false
	m.pushes--
	for _, node := range m.currentNeighbours() {
		m.check(now, node)
	}
}

// reach starts an exchange, unless one with the same node is under way.
func (m *machine) reach(now time.Time, c contact) {
	node := c.target.member.Node
	if under, busy := m.busy[node]; busy && node != "" {
		m.contacts[under].stale = true
		return
	}
	m.lastContact++
	id := m.lastContact
	m.contacts[id] = &c
	if node != "" {
		m.busy[node] = id
	}
	m.try(now, id)
}

// check probes a member and tells it the news.
func (m *machine) check(now time.Time, node identifier.Node) {
	m.reach(now, contact{target: m.table.records[node]})
}

// abandon forgets an exchange that is under way with a node; its end is ignored.
func (m *machine) abandon(node identifier.Node) {
	if id, busy := m.busy[node]; busy {
		m.finish(id)
	}
}

func (m *machine) finish(id contactID) {
	c := m.contacts[id]
	delete(m.contacts, id)
	if m.busy[c.target.member.Node] == id {
		delete(m.busy, c.target.member.Node)
	}
}

// dropped takes back an exchange that could not be made for lack of room.
func (m *machine) dropped(id contactID) {
	if _, underWay := m.contacts[id]; underWay {
		m.finish(id)
	}
}

// try makes an exchange by the contact's method.
func (m *machine) try(now time.Time, id contactID) {
	c := m.contacts[id]
	next := action{contact: id, method: c.method, address: c.target.member.PeerAddress}
	c.told = m.self().revision
	next.message = m.compose(now, c.target.member.Node, nil)
	next.message.records = append(next.message.records, c.records...)
	next.message.progress = append(next.message.progress, c.progress...)
	next.message.rumours = append(next.message.rumours, c.rumours...)
	if c.repairs {
		next.message.repair = m.repair()
	}
	m.out.actions = append(m.out.actions, next)
}

// concluded takes the end of an exchange.
func (m *machine) concluded(now time.Time, id contactID, end ending) {
	answer := end.answer
	c, underWay := m.contacts[id]
	if !underWay {
		return
	}
	meant := c.target.member.Node
	if answer != nil && (meant == "" || answer.sender.member.Node == meant) {
		m.succeeded(now, id, *answer)
		return
	}
	if answer != nil {
		// Another node listens at the address; what it says counts, but not as an
		// answer of the one that was meant.
		m.absorb(now, *answer)
	}
	c.refused = end.refused
	m.failed(now, id)
}

func (m *machine) succeeded(now time.Time, id contactID, answer message) {
	c := m.contacts[id]
	m.finish(id)
	if c.purpose == probing && c.method == overNew {
		m.out.note(eventSilent, logger.Fields{"member": c.target.member.Node})
	}
	m.acknowledged[answer.sender.member.Node] = c.told
	m.absorb(now, answer)
	if !m.joined {
		m.joined = true
		m.out.viewChanged = true
		m.out.note(eventJoined, logger.Fields{"through": answer.sender.member.Node})
	}
	if c.purpose == catchUp {
		m.resume()
	}
	m.reconcile(now, answer)
	if c.stale {
		m.check(now, c.target.member.Node)
	}
	m.push(now)
}

// reconcile has differences repaired that the news did not settle.
func (m *machine) reconcile(now time.Time, answer message) {
	peer := answer.sender.member.Node
	held, known := m.table.records[peer]
	if !known || held.health == dead || peer == m.options.Self.Node {
		return
	}
	if answer.repair != nil {
		m.giveBack(now, held, *answer.repair)
		return
	}
	if m.agrees(now, answer) {
		delete(m.disagreements, peer)
		return
	}
	m.disagreements[peer]++
	if m.disagreements[peer] < 2 || now.Before(m.nextRepair) {
		return
	}
	delete(m.disagreements, peer)
	m.nextRepair = now.Add(jitter(m.random, m.options.RepairAfter))
	m.reach(now, contact{target: held, repairs: true})
}

// agrees tells whether another node holds the same as this one.
func (m *machine) agrees(now time.Time, answer message) bool {
	return answer.digest == m.table.buckets.sum() &&
		answer.progressDigest == m.table.progress.sum() &&
		answer.rumourDigest == m.rumours.digest(now)
}

// giveBack sends a peer what it lacks after it answered a repair.
func (m *machine) giveBack(now time.Time, peer record, asked repair) {
	records := m.table.differing(asked.buckets, repairRecords)
	lacking := m.rumours.missing(now, asked.rumours, repairRumours)
	ahead := mapped(m.table.differingProgress(asked.progress), progressOf)
	if len(records) == 0 && len(lacking) == 0 && len(ahead) == 0 {
		return
	}
	m.reach(now, contact{target: peer, records: records, progress: ahead, rumours: lacking})
}

func (m *machine) repair() *repair {
	return &repair{buckets: m.table.buckets, progress: m.table.progress, rumours: m.rumours.ids()}
}

// failed goes on to the next method, and suspects the target after the last.
func (m *machine) failed(now time.Time, id contactID) {
	c := m.contacts[id]
	if c.purpose == introduction {
		m.finish(id)
		m.introductionFailed(now)
		return
	}
	switch {
	case c.disregarded:
		m.finish(id)
	case c.method == overKept:
		c.method = overNew
		m.try(now, id)
	case c.method == overNew:
		c.method = through
		m.askHelpers(now, id)
	}
}

// introductionFailed lets the node go on alone once rounds of seeds failed for as
// long as a silent member is suspected. Nodes that all start anew find each other
// in that time.
func (m *machine) introductionFailed(now time.Time) {
	for _, c := range m.contacts {
		if c.purpose == introduction {
			return
		}
	}
	if !m.joined && !now.Before(m.started.Add(m.options.SuspectAfter)) {
		m.goOnAlone(now)
	}
}

// askHelpers has other nodes probe the target, those first that keep a
// connection to it: the target's predecessors on the rings.
func (m *machine) askHelpers(now time.Time, id contactID) {
	c := m.contacts[id]
	node := c.target.member.Node
	for _, helper := range m.helpers(node) {
		c.pending++
		m.out.actions = append(m.out.actions, action{
			contact: id, method: through, address: helper.member.PeerAddress, target: c.target,
		})
	}
	if c.pending == 0 {
		m.unreachable(now, id)
	}
}

// helpers chooses who probes a target besides this node: from as many data
// centres as can be, other than those of both, so that a cut between some of them
// leaves one that reaches it. Those that keep a connection to the target, its
// predecessors on the rings, come first.
func (m *machine) helpers(target identifier.Node) []record {
	candidates := m.table.live(m.options.Self.Node)
	m.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	keepers := m.table.predecessors(target, m.options.Rings)
	slices.SortStableFunc(candidates, func(a, b record) int {
		return place(keepers, a.member.Node) - place(keepers, b.member.Node)
	})
	seen := map[identifier.DataCentre]bool{
		m.options.Self.DataCentre:                 true,
		m.table.records[target].member.DataCentre: true,
	}
	var helpers, rest []record
	for _, candidate := range candidates {
		switch centre := candidate.member.DataCentre; {
		case candidate.health != alive || candidate.member.Node == target:
		case seen[centre]:
			rest = append(rest, candidate)
		default:
			seen[centre] = true
			helpers = append(helpers, candidate)
		}
	}
	helpers = append(helpers, rest...)
	return helpers[:min(len(helpers), m.options.Helpers)]
}

// place is the index of a node, or the number of nodes if it is not among them.
func place(nodes []identifier.Node, node identifier.Node) int {
	if i := slices.Index(nodes, node); i >= 0 {
		return i
	}
	return len(nodes)
}

// probed takes a helper's finding about a target.
func (m *machine) probed(now time.Time, id contactID, found finding) {
	c, underWay := m.contacts[id]
	if !underWay {
		return
	}
	c.pending--
	c.refused = c.refused && found.refused
	switch {
	case found.answered:
		m.finish(id)
	case c.pending == 0:
		m.unreachable(now, id)
	}
}

// unreachable suspects the target after all methods failed.
func (m *machine) unreachable(now time.Time, id contactID) {
	c := m.contacts[id]
	m.finish(id)
	held := m.table.records[c.target.member.Node]
	unchanged := held.compare(c.target) == 0
	if c.disregarded || !unchanged || held.health == dead {
		return
	}
	held.health = suspect
	if c.refused {
		held.health = refused
	}
	m.accept(now, held)
	m.push(now)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
