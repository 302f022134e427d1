// Package addresser answers callers that ask which of the fleet's addresses to
// use. No balancer stands before the nodes: callers keep the answer for a while
// and connect to its addresses themselves, first to last.
package addresser

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// AnyOrder tells that callers use the addresses in any order. Suspects are
	// then named only where there is nobody else.
	AnyOrder bool
}

// The defaults of Options.
const (
	defaultKeep  = 30 * time.Second
	defaultLimit = 8
)

// farEntries is how many addresses of an answer lie in other data centres, where
// there are any, so that a kept answer outlives the near data centre.
const farEntries = 2

// Addresser makes the answers.
type Addresser struct {
	options Options
	// answered counts the answers; each starts one member later than the last.
	answered atomic.Uint64
	// latest is the order of the last view that was answered from, or nil.
	latest atomic.Pointer[order]
}

// order holds the members of a view in an order that each answering node has for
// itself, so that the callers of a member that fails spread over all others. It
// is immutable.
type order struct {
	view    *assigner.View
	members []assigner.Member
}

func (a *Addresser) order() *order {
	view := a.options.View()
	if latest := a.latest.Load(); latest != nil && latest.view == view {
		return latest
	}
	ordered := &order{view: view, members: slices.Clone(view.Members)}
	slices.SortFunc(ordered.members, func(x, y assigner.Member) int {
		return cmp.Compare(position(view.Self.Node, x.Node), position(view.Self.Node, y.Node))
	})
	a.latest.Store(ordered)
	return ordered
}

func position(self, member identifier.Node) uint64 {
	return xxhash.Sum64String(string(self) + "/" + string(member))
}

// New returns an addresser.
func New(options Options) *Addresser {
	options.Keep = cmp.Or(options.Keep, defaultKeep)
	options.Limit = cmp.Or(options.Limit, defaultLimit)
	return &Addresser{options: options}
}

// Entry is one address of an answer.
type Entry struct {
	Address    identifier.Address
	DataCentre identifier.DataCentre
	// Node and Incarnation name the process that answers there.
	Node        identifier.Node
	Incarnation identifier.Incarnation
}

// Answer lists addresses in the order in which a caller should try them.
type Answer struct {
	// Entries holds no address of a leaving or dead member, nor of one that has
	// not told of a configuration yet. It is empty only where all live members
	// are such.
	Entries []Entry
	// Keep is how long the caller may use the answer.
	Keep time.Duration
}

// Answer chooses addresses for a caller in or near a data centre; the empty
// name stands for the node's own. Members of that data centre come first, then
// others, then suspects.
func (a *Addresser) Answer(near identifier.DataCentre) Answer {
	near = cmp.Or(near, a.options.DataCentre)
	var local, far, suspects []assigner.Member
	for _, member := range a.order().members {
		switch {
		case member.Configuration == 0:
			// It has just started, and serves nothing yet.
		case member.State == assigner.Suspect:
			suspects = append(suspects, member)
		case member.State != assigner.Alive:
		case member.DataCentre == near:
			local = append(local, member)
		default:
			far = append(far, member)
		}
	}
	if a.options.AnyOrder && len(local)+len(far) > 0 {
		suspects = nil
	}
	turn := a.answered.Add(1)
	rotate(turn, local)
	rotate(turn, far)
	rotate(turn, suspects)
	room := a.options.Limit - min(len(far), farEntries, a.options.Limit-1)
	chosen := slices.Concat(local[:min(len(local), room)], far, suspects)
	answer := Answer{Keep: a.options.Keep}
	for _, member := range chosen[:min(len(chosen), a.options.Limit)] {
		answer.Entries = append(answer.Entries, Entry{member.CallerAddress, member.DataCentre, member.Node, member.Incarnation})
	}
	return answer
}

// rotate starts members one later at each turn, so that callers spread evenly.
func rotate(turn uint64, members []assigner.Member) {
	if len(members) == 0 {
		return
	}
	start := int(turn % uint64(len(members)))
	slices.Reverse(members[:start])
	slices.Reverse(members[start:])
	slices.Reverse(members)
}
