package recorder

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/storer"
)

type state string

const (
	// started: an attempt may be running.
	started state = "started"
	// withdrawn: the attempt proved not to have run; another may claim.
	withdrawn state = "withdrawn"
	// sealed: a bound key that was told not run, and never runs.
	sealed state = "sealed"
	// lost: the attempt was sent and its outcome will never be known.
	lost state = "lost"
	// answered: the attempt ran and its answer is known.
	answered state = "answered"
)

var states = []state{started, withdrawn, sealed, lost, answered}

// entry is what the ledger knows of a key. It is immutable; a change puts
// another in its place.
type entry struct {
	State       state                  `json:"state"`
	Attempt     identifier.Attempt     `json:"attempt"`
	Node        identifier.Node        `json:"node"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Fingerprint uint64                 `json:"fingerprint"`
	// Answer is set in answered entries unless Unkept. It has no body when
	// Stored is set: then an object of its own has it whole.
	Answer *Answer `json:"answer,omitempty"`
	Stored bool    `json:"stored,omitempty"`
	// Unkept tells that the answer was too large to keep.
	Unkept bool `json:"unkept,omitempty"`
}

// page is the content of one object: entries by key.
type page struct {
	Entries map[string]*entry `json:"entries"`
	// Full pages get no new entries: keys that are not in them go to the next
	// part of the place. A full page never becomes open again.
	Full bool `json:"full,omitempty"`
}

func newPage() *page {
	return &page{Entries: map[string]*entry{}}
}

func decodePage(object storer.Object) (*page, error) {
	p := newPage()
	if err := json.Unmarshal(object.Spec, p); err != nil {
		return nil, BadPage.Wrap(err, "object %s", object.Name)
	}
	for key, e := range p.Entries {
		if e == nil || !slices.Contains(states, e.State) {
			return nil, BadPage.New("object %s: entry %q", object.Name, key)
		}
	}
	return p, nil
}

func (p *page) encode() (json.RawMessage, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return nil, BadPage.Wrap(err, "encode")
	}
	return data, nil
}

func (p *page) clone() *page {
	return &page{Entries: maps.Clone(p.Entries), Full: p.Full}
}

// effect is what an operation does to a page.
type effect struct {
	result result
	// changed tells that the page must be written before result holds.
	changed bool
	// elsewhere tells that the key may be in the next part of the place.
	elsewhere bool
}

// apply carries out an operation on a page that nobody else sees yet.
func (p *page) apply(op *operation, capacity int) effect {
	current := p.Entries[op.key.text]
	if current == nil {
		return p.applyNew(op, capacity)
	}
	switch op.kind {
	case opClaim, opSeal, opLook:
		return p.claimAgain(op, current)
	case opSettle, opWithdraw, opAbandon, opKeep:
		return p.end(op, current)
	}
	return effect{}
}

// applyNew carries out an operation on a key that the page does not hold.
func (p *page) applyNew(op *operation, capacity int) effect {
	if p.Full {
		return effect{elsewhere: true}
	}
	switch op.kind {
	case opClaim:
		p.put(op, &entry{State: started}, capacity)
		return effect{result: verdictOf(Run), changed: true}
	case opKeep:
		p.put(op, op.answeredEntry(), capacity)
		return effect{changed: true}
	case opSeal:
		p.put(op, &entry{State: sealed}, capacity)
		return effect{result: verdictOf(Closed), changed: true}
	case opWithdraw:
		// The claim that this follows may still be on its way.
		p.put(op, &entry{State: withdrawn}, capacity)
		return effect{changed: true}
	case opLook, opSettle, opAbandon:
	}
	return effect{result: verdictOf(Lost)}
}

func (p *page) put(op *operation, e *entry, capacity int) {
	e.Attempt = op.call.Attempt
	e.Node = op.call.Node
	e.Incarnation = op.call.Incarnation
	e.Fingerprint = op.call.Fingerprint
	p.Entries[op.key.text] = e
	if len(p.Entries) >= capacity {
		p.Full = true
	}
}

// claimAgain answers a claim for a key that has an entry.
func (p *page) claimAgain(op *operation, current *entry) effect {
	switch {
	case current.Fingerprint != op.call.Fingerprint:
		return effect{result: verdictOf(Mismatch)}
	case current.State == lost:
		return effect{result: verdictOf(Lost)}
	case current.State == answered:
		return effect{result: current.result()}
	case current.State == sealed:
		return effect{result: verdictOf(Closed)}
	case current.State == withdrawn:
		return p.takeOver(op, current)
	case op.kind == opClaim && current.Attempt == op.call.Attempt:
		// This very claim took effect although its answer was lost.
		return effect{result: verdictOf(Run)}
	default:
		return effect{result: result{claim: Claim{Verdict: Running}, node: current.Node, incarnation: current.Incarnation}}
	}
}

// takeOver claims or seals a key whose last attempt proved not to have run.
func (p *page) takeOver(op *operation, current *entry) effect {
	if op.kind == opLook || op.kind == opClaim && current.Attempt == op.call.Attempt {
		// The same attempt was given up by its node and must not come back.
		return effect{result: verdictOf(Closed)}
	}
	taken := *current
	taken.Attempt, taken.Node, taken.Incarnation = op.call.Attempt, op.call.Node, op.call.Incarnation
	taken.State = started
	decided := Run
	if op.kind == opSeal {
		taken.State, decided = sealed, Closed
	}
	p.Entries[op.key.text] = &taken
	return effect{result: verdictOf(decided), changed: true}
}

// end records how an attempt ended. Only the attempt that holds the claim may.
func (p *page) end(op *operation, current *entry) effect {
	if current.Attempt != op.call.Attempt || current.State != started {
		return effect{}
	}
	ended := *current
	switch op.kind {
	case opWithdraw:
		ended.State = withdrawn
	case opAbandon:
		ended.State = lost
	default:
		kept := op.answeredEntry()
		ended.State, ended.Answer, ended.Unkept, ended.Stored = kept.State, kept.Answer, kept.Unkept, kept.Stored
	}
	p.Entries[op.key.text] = &ended
	return effect{changed: true}
}

// result answers a claim for a call that was answered.
func (e *entry) result() result {
	if e.Unkept {
		return verdictOf(Unkept)
	}
	answer := result{claim: Claim{Verdict: Answered, Answer: e.Answer}}
	if e.Stored {
		answer.storedBy = e.Attempt
	}
	return answer
}
