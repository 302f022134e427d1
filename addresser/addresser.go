// Package addresser selects the node addresses that a caller should use. There is no
// load balancer in front of the nodes: callers cache the answer and try its addresses
// in order.
package addresser

import (
	"cmp"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// Options configures an Addresser.
type Options struct {
	// View returns the current membership.
	View func() *assigner.View
	// DataCentre is the local data centre of callers that do not name one.
	DataCentre identifier.DataCentre
	// CacheTime is how long callers may cache an answer; 30 s by default. A leaving node
	// accepts requests for at least that long.
	CacheTime time.Duration
	// MaxAddresses is the largest number of addresses in an answer; 8 by default.
	MaxAddresses int
	// AnyOrder means that callers use the addresses in any order. Suspects are then
	// returned only if no other member is available, and members of less capacity are
	// returned in fewer answers.
	AnyOrder bool
	// Scope may be nil.
	Scope tally.Scope
}

// The defaults of Options.
const (
	defaultCacheTime    = 30 * time.Second
	defaultMaxAddresses = 8
)

// remoteEntries is the number of addresses in other data centres per answer, if there
// are any, so that a cached answer stays usable when the local data centre fails.
const remoteEntries = 2

// Addresser selects addresses for callers. It is safe for concurrent use.
type Addresser struct {
	options Options
	// answerCount is the number of answers; it rotates the members.
	answerCount atomic.Uint64
	// latestOrder caches the order of the last view; nil before the first answer.
	latestOrder atomic.Pointer[memberOrder]
	// answers counts the answers by whether weights have shortened them.
	answers map[bool]tally.Counter
	// entries is the number of addresses of the latest answer.
	entries tally.Gauge
}

// memberOrder holds the members of a view in an order that differs between answering
// nodes, so that the callers of a failed member spread over all others. It is
// immutable.
type memberOrder struct {
	view    *assigner.View
	members []assigner.Member
}

func (a *Addresser) orderMembers() *memberOrder {
	view := a.options.View()
	if latest := a.latestOrder.Load(); latest != nil && latest.view == view {
		return latest
	}
	ordered := &memberOrder{view: view, members: slices.Clone(view.Members)}
	slices.SortFunc(ordered.members, func(x, y assigner.Member) int {
		return cmp.Compare(sortKey(view.Self.Node, x.Node), sortKey(view.Self.Node, y.Node))
	})
	a.latestOrder.Store(ordered)
	return ordered
}

func sortKey(self, member identifier.Node) uint64 {
	return xxhash.Sum64String(string(self) + "/" + string(member))
}

// New returns an addresser. Zero options select the defaults.
func New(options Options) *Addresser {
	options.CacheTime = cmp.Or(options.CacheTime, defaultCacheTime)
	options.MaxAddresses = cmp.Or(options.MaxAddresses, defaultMaxAddresses)
	scope := tally.NoopScope
	if options.Scope != nil {
		scope = options.Scope.SubScope("addresser")
	}
	a := &Addresser{options: options, answers: map[bool]tally.Counter{}, entries: scope.Gauge("entries")}
	for _, weighted := range []bool{false, true} {
		a.answers[weighted] = scope.Tagged(map[string]string{"weighted": strconv.FormatBool(weighted)}).Counter("answers")
	}
	return a
}

// Entry is one address of an answer.
type Entry struct {
	Address    identifier.Address
	DataCentre identifier.DataCentre
	Node       identifier.Node
	// Incarnation identifies the run of Node that listens at Address.
	Incarnation identifier.Incarnation
}

// Answer lists addresses in the order in which a caller should try them.
type Answer struct {
	// Entries excludes leaving and dead members and those without a configuration. It
	// is empty only if this excludes every member.
	Entries   []Entry
	CacheTime time.Duration
}

// Answer returns addresses for a caller in or near a data centre; an empty name means
// Options.DataCentre. Members of that data centre come first, then those of other
// data centres, then suspects.
func (a *Addresser) Answer(near identifier.DataCentre) Answer {
	near = cmp.Or(near, a.options.DataCentre)
	var local, remote, suspects []assigner.Member
	for _, member := range a.orderMembers().members {
		switch {
		case member.Configuration == 0:
			// A member without a configuration has just started and cannot serve yet.
		case member.State == assigner.Suspect:
			suspects = append(suspects, member)
		case member.State != assigner.Alive:
		case member.DataCentre == near:
			local = append(local, member)
		default:
			remote = append(remote, member)
		}
	}
	if a.options.AnyOrder && len(local)+len(remote) > 0 {
		suspects = nil
	}
	rotation := a.answerCount.Add(1)
	rotate(rotation, local)
	rotate(rotation, remote)
	rotate(rotation, suspects)
	localLimit := a.options.MaxAddresses - min(len(remote), remoteEntries, a.options.MaxAddresses-1)
	weighted := false
	if a.options.AnyOrder && len(local)+len(remote) > 0 {
		localCount := min(len(local), localLimit)
		remoteCount := min(len(remote), a.options.MaxAddresses-localCount)
		local, remote = sampleByWeight(local, remote, offsetOf(rotation), localCount, remoteCount)
		localLimit = len(local)
		weighted = len(local)+len(remote) < localCount+remoteCount
	}
	chosen := slices.Concat(local[:min(len(local), localLimit)], remote, suspects)
	answer := Answer{CacheTime: a.options.CacheTime}
	for _, member := range chosen[:min(len(chosen), a.options.MaxAddresses)] {
		answer.Entries = append(answer.Entries, Entry{member.CallerAddress, member.DataCentre, member.Node, member.Incarnation})
	}
	a.answers[weighted].Inc(1)
	a.entries.Update(float64(len(answer.Entries)))
	return answer
}

// offsetOf returns a number from 0 to 1. Those of consecutive answers are spread evenly.
func offsetOf(rotation uint64) float64 {
	const goldenRatio = 0x9E3779B97F4A7C15
	return float64((rotation*goldenRatio)>>11) / float64(1<<53)
}

// rotate rotates members left, so that consecutive answers spread callers evenly.
func rotate(rotation uint64, members []assigner.Member) {
	if len(members) == 0 {
		return
	}
	start := int(rotation % uint64(len(members)))
	slices.Reverse(members[:start])
	slices.Reverse(members[start:])
	slices.Reverse(members)
}
