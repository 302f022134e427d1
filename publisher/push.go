package publisher

import (
	"context"
	"encoding/binary"
	"slices"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
)

// watchShard is the shard whose owner in a data centre watches the store and is
// the first target of pushes.
const watchShard = "configuration-feed"

// Topic is the membership protocol's topic for configuration numbers.
const Topic = "configuration"

type forward struct {
	configuration *configuration
	targets       []identifier.Node
}

// Reach lists the data centres with and without a configuration after a push.
type Reach struct {
	// Reached and Unreached are sorted and disjoint.
	Reached   []identifier.DataCentre
	Unreached []identifier.DataCentre
}

// pushToDataCentres pushes a configuration to one node of each data centre,
// which forwards it to the other nodes there. It returns when each data centre
// has it or has no reachable node, at most after ReachTimeout.
func (p *Publisher) pushToDataCentres(ctx context.Context, pushed *configuration) Reach {
	p.broadcastNumber(pushed.stamp)
	ctx, cancel := context.WithTimeout(ctx, p.options.ReachTimeout)
	defer cancel()
	groups := p.peersByDataCentre(p.options.View())
	type result struct {
		dataCentre identifier.DataCentre
		reached    bool
	}
	results := make(chan result, len(groups))
	for dataCentre, group := range groups {
		go func() {
			reached := p.pushToFirstReachable(ctx, pushed, group) || dataCentre == p.options.DataCentre
			results <- result{dataCentre, reached}
		}()
	}
	reach := Reach{}
	if _, hasPeers := groups[p.options.DataCentre]; !hasPeers {
		reach.Reached = append(reach.Reached, p.options.DataCentre)
	}
	for range groups {
		if result := <-results; result.reached {
			reach.Reached = append(reach.Reached, result.dataCentre)
		} else {
			reach.Unreached = append(reach.Unreached, result.dataCentre)
		}
	}
	slices.Sort(reach.Reached)
	slices.Sort(reach.Unreached)
	return reach
}

// peersByDataCentre returns the other nodes of each data centre, the owner of
// watchShard first and the remaining nodes in random order.
func (p *Publisher) peersByDataCentre(view *assigner.View) map[identifier.DataCentre][]assigner.Member {
	groups := map[identifier.DataCentre][]assigner.Member{}
	for _, member := range p.peers(view) {
		groups[member.DataCentre] = append(groups[member.DataCentre], member)
	}
	for dataCentre, group := range groups {
		owner := view.OwnerIn(dataCentre, watchShard)
		position := slices.IndexFunc(group, func(m assigner.Member) bool { return m.Node == owner.Node })
		if position > 0 {
			group[0], group[position] = group[position], group[0]
		}
	}
	return groups
}

// peers returns the other nodes that are not dead, in random order.
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

// pushToFirstReachable tries the nodes in order until one accepts the push and
// forwards it to the later nodes. It reports whether a node accepted the push.
func (p *Publisher) pushToFirstReachable(ctx context.Context, pushed *configuration, group []assigner.Member) bool {
	for i, member := range group {
		if ctx.Err() != nil {
			return false
		}
		targets := make([]identifier.Node, 0, len(group)-i-1)
		for _, later := range group[i+1:] {
			targets = append(targets, later.Node)
		}
		err := p.push(ctx, member, pushed, targets)
		if err == nil {
			p.options.Scope.Counter("configuration-pushes").Inc(1)
			return true
		}
		p.options.Scope.Counter("configuration-push-failures").Inc(1)
		p.options.Log.Log(eventPeerFailing, logger.Fields{"peer": member.Node, "error": err.Error()})
	}
	return false
}

// enqueueForward queues a configuration for other nodes. If the queue is full it
// drops the configuration; the nodes get it by comparing with a peer later.
func (p *Publisher) enqueueForward(pushed *configuration, targets []identifier.Node) {
	if len(targets) == 0 {
		return
	}
	select {
	case p.forwardQueue <- forward{pushed, targets}:
	default:
		p.options.Scope.Counter("configuration-forwards-dropped").Inc(1)
	}
}

// runForwards forwards queued configurations to up to Degree nodes, which
// forward them to the remaining targets.
func (p *Publisher) runForwards(ctx context.Context) {
	for {
		select {
		case queued := <-p.forwardQueue:
			p.forward(ctx, queued)
		case <-ctx.Done():
			return
		}
	}
}

func (p *Publisher) forward(ctx context.Context, queued forward) {
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
			p.pushToFirstReachable(ctx, queued.configuration, group)
			ended <- struct{}{}
		}()
	}
	for range branches {
		<-ended
	}
}

// broadcastNumber announces a number through the membership protocol.
func (p *Publisher) broadcastNumber(announced stamp) {
	if p.options.Broadcast != nil {
		p.options.Broadcast(Topic, binary.BigEndian.AppendUint64(nil, uint64(announced.number)))
	}
}

// HandleBroadcast handles a broadcast payload of Topic. It requests a comparison
// with a peer if the broadcast number is larger than the active one.
func (p *Publisher) HandleBroadcast(payload []byte) {
	const numberBytes = 8
	if len(payload) != numberBytes {
		return
	}
	if identifier.Configuration(binary.BigEndian.Uint64(payload)) > p.activeStamp().number {
		signal(p.compareRequested)
	}
}
