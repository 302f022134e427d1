package prober

import (
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// composeMessage returns a message with as many queued updates as fit. inReplyTo is the
// message that it answers, or nil. Records held as they are in inReplyTo are not sent back.
func (m *stateMachine) composeMessage(now time.Time, to identifier.Node, inReplyTo *message) message {
	composed := message{
		sender:              m.ownRecord(),
		recipient:           to,
		digest:              m.table.recordDigests.sum(),
		configurationDigest: m.table.configurationDigests.sum(),
		rumourDigest:        m.rumours.digest(now),
	}
	if held, known := m.table.records[to]; known && held.health != alive {
		// The recipient must learn that it is suspected or dead to refute that.
		composed.records = append(composed.records, held)
	}
	skip := map[identifier.Node]bool{to: true, m.options.Self.Node: true}
	if inReplyTo != nil {
		for _, r := range inReplyTo.records {
			skip[r.member.Node] = skip[r.member.Node] || r.compare(m.table.records[r.member.Node]) == 0
		}
	}
	for _, node := range m.recordQueue.next(maxMessageRecords, m.maxTransmissions()) {
		if held, known := m.table.records[node]; known && !skip[node] {
			composed.records = append(composed.records, held)
		}
	}
	for _, node := range m.configurationQueue.next(maxMessageConfigurations, configurationTransmissions) {
		held, known := m.table.records[node]
		if known && !skip[node] {
			composed.configurations = append(composed.configurations, runConfigurationOf(held))
		}
	}
	for _, id := range m.rumourQueue.next(maxMessageRumours, m.maxRumourTransmissions()) {
		if r, ok := m.rumours.outgoing(now, id); ok {
			composed.rumours = append(composed.rumours, r)
		}
	}
	return composed
}

// receive merges another node's message and returns the answer.
func (m *stateMachine) receive(now time.Time, received message) message {
	m.mergeMessage(now, received)
	answer := m.composeMessage(now, received.sender.member.Node, &received)
	if received.repair != nil {
		m.answerRepair(now, *received.repair, &answer)
	}
	m.pushUpdates(now)
	return answer
}

// answerRepair adds to an answer what the peer lacks, and a request for what this node
// lacks.
func (m *stateMachine) answerRepair(now time.Time, request repairRequest, answer *message) {
	answer.records = append(answer.records, m.table.differingRecords(request.recordDigests, maxRepairRecords)...)
	answer.configurations = append(answer.configurations, mapSlice(m.table.differingConfigurations(request.configurationDigests), runConfigurationOf)...)
	answer.rumours = append(answer.rumours, m.rumours.missingFrom(now, request.rumourIDs, maxRepairRumours)...)
	answer.repair = m.newRepairRequest()
}

func (m *stateMachine) mergeMessage(now time.Time, received message) {
	m.mergeRecord(now, received.sender)
	for _, r := range received.records {
		m.mergeRecord(now, m.deathAsSuspicion(r))
	}
	for _, p := range received.configurations {
		m.mergeConfiguration(p)
	}
	for _, r := range received.rumours {
		// A longer lifetime would keep rumours for weeks, in place of those of others.
		r.remaining = min(r.remaining, m.options.RumourLifetime)
		m.mergeRumour(now, r)
	}
}

// deathAsSuspicion turns the reported death of a node that is live here into a
// suspicion with the full timeout. After a long partition, a node can then refute its
// death as declared by the other side. A leaving node counts as dead at once, because it
// was about to shut down.
func (m *stateMachine) deathAsSuspicion(r record) record {
	held, known := m.table.records[r.member.Node]
	if r.health == dead && known && held.health != dead && !r.leaving {
		r.health = suspect
	}
	return r
}

// composeHelperProbe returns the message to a target probed on behalf of another node.
func (m *stateMachine) composeHelperProbe(now time.Time, target identifier.Node) message {
	return m.composeMessage(now, target, nil)
}

// receiveHelperAnswer merges the answer to a probe made for another node, and reports
// whether the target itself answered.
func (m *stateMachine) receiveHelperAnswer(now time.Time, target identifier.Node, answer message) bool {
	m.mergeMessage(now, answer)
	m.pushUpdates(now)
	return answer.sender.member.Node == target
}
