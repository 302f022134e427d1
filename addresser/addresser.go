// Package addresser answers callers that ask which of the fleet's addresses to
// use. No balancer stands before the nodes: callers keep the answer for a while
// and connect to its addresses themselves, first to last.
package addresser

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// Options are the settings and the surroundings of an Addresser.
type Options struct {
	// View returns the membership to answer from.
	View func() *assigner.View
	// DataCentre is near to callers that do not say where they are.
	DataCentre identifier.DataCentre
	// Keep is how long callers may use an answer; 30 s by default. A leaving node
	// goes on accepting for at least that long.
	Keep time.Duration
	// Limit bounds the addresses of one answer; 8 by default.
	Limit int
}

// The defaults of Options.
const (
	defaultKeep  = 30 * time.Second
	defaultLimit = 8
)

// Addresser makes the answers.
type Addresser struct {
	options Options
}

// New returns an addresser.
func New(options Options) *Addresser {
	if options.Keep == 0 {
		options.Keep = defaultKeep
	}
	if options.Limit == 0 {
		options.Limit = defaultLimit
	}
	return &Addresser{options: options}
}

// Entry is one address of an answer.
type Entry struct {
	Address    identifier.Address
	DataCentre identifier.DataCentre
}

// Answer lists addresses in the order in which a caller should try them.
type Answer struct {
	// Entries is not empty, since a node always knows itself, unless this node
	// is leaving and alone.
	Entries []Entry
	Keep    time.Duration
}

// Answer chooses addresses for a caller in or near a data centre; the empty
// name stands for the node's own.
func (a *Addresser) Answer(near identifier.DataCentre) Answer {
	if near == "" {
		near = a.options.DataCentre
	}
	members := a.options.View().Live()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	slices.SortStableFunc(members, func(x, y assigner.Member) int {
		return preference(x, near) - preference(y, near)
	})
	answer := Answer{Keep: a.options.Keep}
	for _, member := range members {
		if member.State == assigner.Leaving || len(answer.Entries) == a.options.Limit {
			continue
		}
		answer.Entries = append(answer.Entries, Entry{member.Callers, member.DataCentre})
	}
	return answer
}

// preference is smaller for members that callers should try earlier.
func preference(m assigner.Member, near identifier.DataCentre) int {
	switch {
	case m.State == assigner.Suspect:
		return 2
	case m.DataCentre != near:
		return 1
	default:
		return 0
	}
}
