package publisher

import (
	"context"
	"encoding/binary"
	"slices"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
)

// feedShard is the shard whose owner in a data centre watches the store and
// gets pushes first.
const feedShard = "configuration-feed"

// Topic names this package's rumours.
const Topic = "configuration"

// forward is a configuration to pass on to nodes.
type forward struct {
	pushed  *edition
	targets []identifier.Node
}

// Reach tells which data centres hold a configuration.
type Reach struct {
	// Held and Unreached are sorted and share no data centre.
	Held      []identifier.DataCentre
	Unreached []identifier.DataCentre
}

// spread pushes a configuration to one node of each data centre, which passes
// it on inside, and waits until each has taken it or cannot be reached.
func (p *Publisher) spread(ctx context.Context, pushed *edition) Reach {
	p.rumour(pushed.stamp)
	ctx, cancel := context.WithTimeout(ctx, p.options.ReachTimeout)
	defer cancel()
	groups := p.groups(p.options.View())
	type result struct {
		dataCentre identifier.DataCentre
		held       bool
	}
	results := make(chan result, len(groups))
	for dataCentre, group := range groups {
		go func() {
			held := p.pushFirst(ctx, pushed, group) || dataCentre == p.options.DataCentre
			results <- result{dataCentre, held}
		}()
	}
	reach := Reach{}
	if _, others := groups[p.options.DataCentre]; !others {
		reach.Held = append(reach.Held, p.options.DataCentre)
	}
	for range groups {
		if got := <-results; got.held {
			reach.Held = append(reach.Held, got.dataCentre)
		} else {
			reach.Unreached = append(reach.Unreached, got.dataCentre)
		}
	}
	slices.Sort(reach.Held)
	slices.Sort(reach.Unreached)
	return reach
}

// groups lists the other nodes by data centre, the owner of the feed first and
// the rest in random order.
func (p *Publisher) groups(view *assigner.View) map[identifier.DataCentre][]assigner.Member {
	groups := map[identifier.DataCentre][]assigner.Member{}
	for _, member := range p.peers(view) {
		groups[member.DataCentre] = append(groups[member.DataCentre], member)
	}
	for dataCentre, group := range groups {
		owner := view.OwnerIn(dataCentre, feedShard)
		position := slices.IndexFunc(group, func(m assigner.Member) bool { return m.Node == owner.Node })
		if position > 0 {
			group[0], group[position] = group[position], group[0]
		}
	}
	return groups
}

// peers lists the other nodes that may answer, in random order.
func (p *Publisher) peers(view *assigner.View) []assigner.Member {
	var peers []assigner.Member
	for _, member := range view.Members {
		if member.Node != p.options.Self && member.State != assigner.Dead {
			peers = append(peers, member)
		}
	}
	p.jitter.shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	return peers
}

// pushFirst pushes to the first node of a group that takes it, which passes it
// on to the rest.
func (p *Publisher) pushFirst(ctx context.Context, pushed *edition, group []assigner.Member) bool {
	for i, member := range group {
		if ctx.Err() != nil {
			return false
		}
		rest := make([]identifier.Node, 0, len(group)-i-1)
		for _, later := range group[i+1:] {
			rest = append(rest, later.Node)
		}
		err := p.push(ctx, member, pushed, rest)
		if err == nil {
			p.options.Scope.Counter("configuration-pushes").Inc(1)
			return true
		}
		p.options.Scope.Counter("configuration-push-failures").Inc(1)
		p.options.Log.Log(eventPeerFailing, logger.Fields{"peer": member.Node, "error": err.Error()})
	}
	return false
}

// passOn queues a configuration for other nodes. When the queue is full it is
// dropped: anti-entropy brings it to them later.
func (p *Publisher) passOn(pushed *edition, targets []identifier.Node) {
	if len(targets) == 0 {
		return
	}
	select {
	case p.forwards <- forward{pushed, targets}:
	default:
		p.options.Scope.Counter("configuration-forwards-dropped").Inc(1)
	}
}

// runForwards passes queued configurations on, to a bounded number of nodes
// directly and through them to the rest.
func (p *Publisher) runForwards(ctx context.Context) {
	for {
		select {
		case queued := <-p.forwards:
			p.fanOut(ctx, queued)
		case <-ctx.Done():
			return
		}
	}
}

func (p *Publisher) fanOut(ctx context.Context, queued forward) {
	ctx, cancel := context.WithTimeout(ctx, p.options.ReachTimeout)
	defer cancel()
	view := p.options.View()
	branches := min(p.options.Degree, len(queued.targets))
	ended := make(chan struct{}, branches)
	for branch := range branches {
		var group []assigner.Member
		for i := branch; i < len(queued.targets); i += branches {
			if member, known := view.Find(queued.targets[i]); known && member.Node != p.options.Self {
				group = append(group, member)
			}
		}
		go func() {
			p.pushFirst(ctx, queued.pushed, group)
			ended <- struct{}{}
		}()
	}
	for range branches {
		<-ended
	}
}

// rumour tells the fleet of a number by the membership protocol.
func (p *Publisher) rumour(told stamp) {
	if p.options.Broadcast != nil {
		p.options.Broadcast(Topic, binary.BigEndian.AppendUint64(nil, uint64(told.number)))
	}
}

// Heard takes a rumour of the topic "configuration". A larger number than the
// node's own makes it ask a peer soon.
func (p *Publisher) Heard(payload []byte) {
	const numberBytes = 8
	if len(payload) != numberBytes {
		return
	}
	if identifier.Configuration(binary.BigEndian.Uint64(payload)) > p.held().number {
		signal(p.compare)
	}
}
