package prober

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
)

type contactPurpose uint8

const (
	// memberProbe checks that a member is reachable and exchanges updates.
	memberProbe contactPurpose = iota
	// pauseRecovery fetches the changes that were missed during a pause of this process.
	pauseRecovery
	// discovery contacts an address whose node is not a live member.
	discovery
)

// contact is an attempt to reach one node, from the first method tried to the last.
type contact struct {
	purpose contactPurpose
	method  contactMethod
	// target is the intended member. For a seed only its address is set.
	target record
	// sentRevision is the revision of this node's own record in the message sent.
	sentRevision          uint32
	requestRepair         bool
	missingRecords        []record
	missingConfigurations []runConfiguration
	missingRumours        []rumour
	// probeAgain is set if new updates arrived after the message was composed.
	probeAgain     bool
	pendingHelpers int
	// refused is set if every new connection so far was refused.
	refused bool
	// pausedMeanwhile is set by a pause of this process; a failure is then ignored.
	pausedMeanwhile bool
}

// contactSeeds contacts seeds, with exponential backoff, until one answers.
func (m *stateMachine) contactSeeds(now time.Time) {
	if m.joined {
		return
	}
	pending := m.discoveryPending(now)
	if now.Before(m.nextJoin) {
		return
	}
	for _, c := range m.contacts {
		if c.purpose == discovery {
			return
		}
	}
	seeds := m.unreachedTargets()
	if len(seeds) == 0 {
		if !pending {
			m.startAlone(now)
		}
		return
	}
	m.nextJoin = now.Add(jitter(m.random, m.joinBackoff))
	m.joinBackoff = min(2*m.joinBackoff, m.options.SuspicionTimeout)
	m.random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, seed := range seeds[:min(len(seeds), m.options.Helpers)] {
		m.startContact(now, contact{purpose: discovery, target: seed, requestRepair: true})
	}
}

// discoveryPending reports whether the node still waits for the list of seeds, and meanwhile
// postpones mayStartAloneAt.
func (m *stateMachine) discoveryPending(now time.Time) bool {
	if m.options.DiscoveryPending == nil || !now.Before(m.startedAt.Add(m.options.DiscoveryTimeout)) || !m.options.DiscoveryPending() {
		return false
	}
	m.mayStartAloneAt = now.Add(m.options.SuspicionTimeout)
	return true
}

// startAlone marks the node as joined without any answer, and soon tries to reconnect.
func (m *stateMachine) startAlone(now time.Time) {
	m.joined = true
	m.nextReconnect = now.Add(jitter(m.random, 2*m.options.Interval))
	m.out.viewChanged = true
	if len(m.options.Seeds) > 0 {
		m.out.logEvent(eventNoSeedAnswered, nil)
	}
}

// reconnect contacts several nodes or addresses that are not live members. It tries
// several at once, so that nodes that are gone for good do not delay the contact with
// one that came back. A node without neighbours retries sooner, because nodes that it
// can reach may have started alone at the same time while all others are unreachable.
func (m *stateMachine) reconnect(now time.Time) {
	interval := m.options.ReconnectInterval
	if len(m.currentNeighbours()) == 0 {
		interval = 2 * m.options.Interval
	}
	m.nextReconnect = now.Add(jitter(m.random, interval))
	targets := m.unreachedTargets()
	if len(targets) == 0 {
		return
	}
	first := m.random.IntN(len(targets))
	for i := range min(len(targets), m.options.Helpers) {
		target := targets[(first+i)%len(targets)]
		m.startContact(now, contact{purpose: discovery, method: overNewConnection, target: target, requestRepair: true})
	}
}

// unreachedTargets returns the dead members and the seeds that are not live members.
func (m *stateMachine) unreachedTargets() []record {
	addresses := slices.Clone(m.options.Seeds)
	if m.options.DiscoveredSeeds != nil {
		addresses = append(addresses, m.options.DiscoveredSeeds()...)
	}
	known := map[identifier.Address]bool{m.options.Self.PeerAddress: true}
	var targets []record
	for _, held := range m.table.records {
		if held.health != dead {
			known[held.member.PeerAddress] = true
		}
	}
	for _, node := range sortedKeys(m.forgetTimes) {
		held := m.table.records[node]
		if !known[held.member.PeerAddress] {
			known[held.member.PeerAddress] = true
			targets = append(targets, held)
		}
	}
	for _, address := range addresses {
		if !known[address] {
			known[address] = true
			var seed record
			seed.member.PeerAddress = address
			targets = append(targets, seed)
		}
	}
	return targets
}

func (m *stateMachine) probeNextNeighbour(now time.Time) {
	neighbours := m.currentNeighbours()
	if len(neighbours) == 0 {
		return
	}
	m.probeTurn++
	m.probeNode(now, neighbours[m.probeTurn%len(neighbours)])
}

func (m *stateMachine) currentNeighbours() []identifier.Node {
	if m.neighboursGeneration != m.table.generation {
		m.neighboursGeneration = m.table.generation
		m.neighbours = m.table.successors(m.options.Self.Node, m.options.Neighbours)
	}
	return m.neighbours
}

// pushUpdates sends pending updates to all neighbours at once, if a push round is left.
func (m *stateMachine) pushUpdates(now time.Time) {
	cost := 1.0
	if !m.pushDue {
		cost = rumourPushCost
	}
	if !m.pushDue && !m.rumourPushDue || m.pushRounds < cost {
		return
	}
	m.pushDue, m.rumourPushDue = false, false
	m.pushRounds -= cost
	for _, node := range m.currentNeighbours() {
		m.probeNode(now, node)
	}
}

// startContact starts a contact. If a contact with the same node is already in flight,
// it only marks that contact for a follow-up probe.
func (m *stateMachine) startContact(now time.Time, c contact) {
	node := c.target.member.Node
	if id, inFlight := m.contactByNode[node]; inFlight && node != "" {
		m.contacts[id].probeAgain = true
		return
	}
	m.lastContact++
	id := m.lastContact
	m.contacts[id] = &c
	if node != "" {
		m.contactByNode[node] = id
	}
	m.sendMessage(now, id)
}

// probeNode probes a member and sends it the queued updates.
func (m *stateMachine) probeNode(now time.Time, node identifier.Node) {
	m.startContact(now, contact{target: m.table.records[node]})
}

// abandonContact removes the contact in flight with a node, so that its result is ignored.
func (m *stateMachine) abandonContact(node identifier.Node) {
	if id, inFlight := m.contactByNode[node]; inFlight {
		m.removeContact(id)
	}
}

func (m *stateMachine) removeContact(id contactID) {
	c := m.contacts[id]
	delete(m.contacts, id)
	if m.contactByNode[c.target.member.Node] == id {
		delete(m.contactByNode, c.target.member.Node)
	}
}

// actionDropped removes a contact whose action was dropped because the queue was full.
func (m *stateMachine) actionDropped(id contactID) {
	if _, inFlight := m.contacts[id]; inFlight {
		m.removeContact(id)
	}
}

// sendMessage adds the action that sends a message by the contact's current method.
func (m *stateMachine) sendMessage(now time.Time, id contactID) {
	c := m.contacts[id]
	next := action{contact: id, method: c.method, address: c.target.member.PeerAddress}
	c.sentRevision = m.ownRecord().revision
	next.message = m.composeMessage(now, c.target.member.Node, nil)
	next.message.records = append(next.message.records, c.missingRecords...)
	next.message.configurations = append(next.message.configurations, c.missingConfigurations...)
	next.message.rumours = append(next.message.rumours, c.missingRumours...)
	if c.requestRepair {
		next.message.repair = m.newRepairRequest()
	}
	m.out.actions = append(m.out.actions, next)
}

func (m *stateMachine) exchangeEnded(now time.Time, id contactID, result exchangeResult) {
	answer := result.answer
	c, inFlight := m.contacts[id]
	if !inFlight {
		return
	}
	intended := c.target.member.Node
	if answer != nil && (intended == "" || answer.sender.member.Node == intended) {
		m.exchangeSucceeded(now, id, *answer)
		return
	}
	if answer != nil {
		// Another node listens at the address. Its message is merged but does not count
		// as an answer from the intended node.
		m.mergeMessage(now, *answer)
	}
	c.refused = result.refused
	m.exchangeFailed(now, id)
}

func (m *stateMachine) exchangeSucceeded(now time.Time, id contactID, answer message) {
	c := m.contacts[id]
	m.removeContact(id)
	if c.purpose == memberProbe && c.method == overNewConnection {
		m.out.logEvent(eventConnectionSilent, logger.Fields{"member": c.target.member.Node})
	}
	m.acknowledgedRevisions[answer.sender.member.Node] = c.sentRevision
	m.mergeMessage(now, answer)
	if !m.joined {
		m.joined = true
		m.out.viewChanged = true
		m.out.logEvent(eventJoined, logger.Fields{"through": answer.sender.member.Node})
	}
	if c.purpose == pauseRecovery {
		m.resume()
	}
	m.reconcile(now, answer)
	if c.probeAgain {
		m.probeNode(now, c.target.member.Node)
	}
	m.pushUpdates(now)
}

// reconcile requests a repair from a peer if the digests still differ after two exchanges
// in a row. If the peer's answer itself contains a repair request, reconcile instead sends
// the records, configurations and rumours that the peer lacks.
func (m *stateMachine) reconcile(now time.Time, answer message) {
	peer := answer.sender.member.Node
	held, known := m.table.records[peer]
	if !known || held.health == dead || peer == m.options.Self.Node {
		return
	}
	if answer.repair != nil {
		m.sendMissing(now, held, *answer.repair)
		return
	}
	if m.digestsMatch(now, answer) {
		delete(m.digestMismatches, peer)
		return
	}
	m.digestMismatches[peer]++
	if m.digestMismatches[peer] < 2 || now.Before(m.nextRepair) {
		return
	}
	delete(m.digestMismatches, peer)
	m.nextRepair = now.Add(jitter(m.random, m.options.RepairInterval))
	m.startContact(now, contact{target: held, requestRepair: true})
}

func (m *stateMachine) digestsMatch(now time.Time, answer message) bool {
	return answer.digest == m.table.recordDigests.sum() &&
		answer.configurationDigest == m.table.configurationDigests.sum() &&
		answer.rumourDigest == m.rumours.digest(now)
}

// sendMissing sends a peer what it lacks according to its repair request.
func (m *stateMachine) sendMissing(now time.Time, peer record, request repairRequest) {
	missingRecords := m.table.differingRecords(request.recordDigests, maxRepairRecords)
	missingRumours := m.rumours.missingFrom(now, request.rumourIDs, maxRepairRumours)
	missingConfigurations := mapSlice(m.table.differingConfigurations(request.configurationDigests), runConfigurationOf)
	if len(missingRecords) == 0 && len(missingRumours) == 0 && len(missingConfigurations) == 0 {
		return
	}
	m.startContact(now, contact{target: peer, missingRecords: missingRecords, missingConfigurations: missingConfigurations, missingRumours: missingRumours})
}

func (m *stateMachine) newRepairRequest() *repairRequest {
	return &repairRequest{recordDigests: m.table.recordDigests, configurationDigests: m.table.configurationDigests, rumourIDs: m.rumours.ids()}
}

// exchangeFailed tries the next method of a contact. A discovery, or a contact during
// which this process was paused, ends instead.
func (m *stateMachine) exchangeFailed(now time.Time, id contactID) {
	c := m.contacts[id]
	if c.purpose == discovery {
		m.removeContact(id)
		m.discoveryFailed(now)
		return
	}
	switch {
	case c.pausedMeanwhile:
		m.removeContact(id)
	case c.method == overPooledConnection:
		c.method = overNewConnection
		m.sendMessage(now, id)
	case c.method == overNewConnection:
		c.method = viaHelper
		m.askHelpers(now, id)
	}
}

// discoveryFailed lets the node start alone if no discovery is left in flight and
// mayStartAloneAt has passed. Nodes that all restart at the same time
// find each other within that time.
func (m *stateMachine) discoveryFailed(now time.Time) {
	for _, c := range m.contacts {
		if c.purpose == discovery {
			return
		}
	}
	if !m.joined && !now.Before(m.mayStartAloneAt) {
		m.startAlone(now)
	}
}

// askHelpers asks other nodes to probe the target. Without helpers, it suspects the
// target.
func (m *stateMachine) askHelpers(now time.Time, id contactID) {
	c := m.contacts[id]
	node := c.target.member.Node
	for _, helper := range m.chooseHelpers(node) {
		c.pendingHelpers++
		m.out.actions = append(m.out.actions, action{
			contact: id, method: viaHelper, address: helper.member.PeerAddress, target: c.target,
		})
	}
	if c.pendingHelpers == 0 {
		m.suspectTarget(now, id)
	}
}

// chooseHelpers returns the nodes that probe a target on behalf of this node. It
// spreads them over as many data centres as possible, and prefers data centres other
// than those of this node and the target, so that a network cut between some data
// centres leaves a helper that reaches the target. Otherwise, nodes that probe the
// target as their neighbour come first, because they keep a connection to it.
func (m *stateMachine) chooseHelpers(target identifier.Node) []record {
	candidates := m.table.liveExcept(m.options.Self.Node)
	m.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	predecessors := m.table.predecessors(target, m.options.Neighbours)
	slices.SortStableFunc(candidates, func(a, b record) int {
		return indexOrLen(predecessors, a.member.Node) - indexOrLen(predecessors, b.member.Node)
	})
	usedDataCentres := map[identifier.DataCentre]bool{
		m.options.Self.DataCentre:                 true,
		m.table.records[target].member.DataCentre: true,
	}
	var helpers, sameDataCentre []record
	for _, candidate := range candidates {
		switch centre := candidate.member.DataCentre; {
		case candidate.health != alive || candidate.member.Node == target:
		case usedDataCentres[centre]:
			sameDataCentre = append(sameDataCentre, candidate)
		default:
			usedDataCentres[centre] = true
			helpers = append(helpers, candidate)
		}
	}
	helpers = append(helpers, sameDataCentre...)
	return helpers[:min(len(helpers), m.options.Helpers)]
}

func indexOrLen(nodes []identifier.Node, node identifier.Node) int {
	if i := slices.Index(nodes, node); i >= 0 {
		return i
	}
	return len(nodes)
}

// helperAnswered ends a contact on success, and suspects the target if all helpers failed.
func (m *stateMachine) helperAnswered(now time.Time, id contactID, result helperResult) {
	c, inFlight := m.contacts[id]
	if !inFlight {
		return
	}
	c.pendingHelpers--
	c.refused = c.refused && result.refused
	switch {
	case result.answered:
		m.removeContact(id)
	case c.pendingHelpers == 0:
		m.suspectTarget(now, id)
	}
}

// suspectTarget suspects a target that no method reached, unless its record has changed
// or this process was paused during the contact.
func (m *stateMachine) suspectTarget(now time.Time, id contactID) {
	c := m.contacts[id]
	m.removeContact(id)
	held := m.table.records[c.target.member.Node]
	unchanged := held.compare(c.target) == 0
	if c.pausedMeanwhile || !unchanged || held.health == dead {
		return
	}
	held.health = suspect
	if c.refused {
		held.health = suspectRefused
	}
	m.mergeRecord(now, held)
	m.pushUpdates(now)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
