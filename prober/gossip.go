package prober

import (
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// compose builds a message with the news that fits. The other side's message is
// nil unless it is answered: what it just told is not told back.
func (m *machine) compose(now time.Time, to identifier.Node, answered *message) message {
	composed := message{
		sender:         m.self(),
		to:             to,
		digest:         m.table.buckets.sum(),
		progressDigest: m.table.progress.sum(),
		rumourDigest:   m.rumours.digest(now),
	}
	if held, known := m.table.records[to]; known && held.health != alive {
		// The other must learn that it is suspected, to refute it.
		composed.records = append(composed.records, held)
	}
	told := map[identifier.Node]bool{to: true, m.options.Self.Node: true}
	if answered != nil {
		for _, r := range answered.records {
			told[r.member.Node] = told[r.member.Node] || r.compare(m.table.records[r.member.Node]) == 0
		}
	}
	for _, node := range m.newsRecords.next(messageRecords, m.transmissions()) {
		if held, known := m.table.records[node]; known && !told[node] {
			composed.records = append(composed.records, held)
		}
	}
	for _, node := range m.newsProgress.next(messageProgress, progressTold) {
		held, known := m.table.records[node]
		if known && !told[node] {
			composed.progress = append(composed.progress, progressOf(held))
		}
	}
	for _, id := range m.newsRumours.next(messageRumours, m.transmissions()) {
		if r, passing := m.rumours.passing(now, id); passing {
			composed.rumours = append(composed.rumours, r)
		}
	}
	return composed
}

// receive takes another node's message and answers it.
func (m *machine) receive(now time.Time, received message) message {
	m.absorb(now, received)
	answer := m.compose(now, received.sender.member.Node, &received)
	if received.repair != nil {
		m.answerRepair(now, *received.repair, &answer)
	}
	m.push(now)
	return answer
}

// answerRepair adds what the other side lacks, and what it needs to give back.
func (m *machine) answerRepair(now time.Time, asked repair, answer *message) {
	answer.records = append(answer.records, m.table.differing(asked.buckets, repairRecords)...)
	answer.progress = append(answer.progress, mapped(m.table.differingProgress(asked.progress), progressOf)...)
	answer.rumours = append(answer.rumours, m.rumours.missing(now, asked.rumours, repairRumours)...)
	answer.repair = m.repair()
}

// absorb merges all that a message tells.
func (m *machine) absorb(now time.Time, received message) {
	m.accept(now, received.sender)
	for _, r := range received.records {
		m.accept(now, m.doubted(r))
	}
	for _, p := range received.progress {
		m.advance(p)
	}
	for _, r := range received.rumours {
		m.hear(now, r)
	}
}

// doubted turns the death of a node that is live here into a suspicion, which runs
// its full time here: nodes that were cut off from each other for long can then
// refute what each side decided. A
// node that was leaving is taken to have ended.
func (m *machine) doubted(r record) record {
	held, known := m.table.records[r.member.Node]
	if r.health == dead && known && held.health != dead && !r.leaving {
		r.health = suspect
	}
	return r
}

// assist returns what to send to a node that another asked to have probed.
func (m *machine) assist(now time.Time, target identifier.Node) message {
	return m.compose(now, target, nil)
}

// assisted takes the answer of a node that another asked to have probed, and
// tells whether it was that node.
func (m *machine) assisted(now time.Time, target identifier.Node, answer message) bool {
	m.absorb(now, answer)
	m.push(now)
	return answer.sender.member.Node == target
}
