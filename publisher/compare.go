package publisher

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/storer"
)

const (
	// initialFetchPeers is how many peers a node asks for its first configuration.
	initialFetchPeers = 3
	// maximumBroadcastDelay is the largest random delay of a comparison after a
	// broadcast, so that the nodes do not all call their peers at once.
	maximumBroadcastDelay = 500 * time.Millisecond
)

// runComparisons fetches the first configuration and then periodically compares
// numbers with a random peer, which recovers lost pushes.
func (p *Publisher) runComparisons(ctx context.Context) {
	p.fetchInitial(ctx)
	timer := time.NewTimer(p.jitter.durationAround(p.options.CompareInterval))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-p.compareRequested:
			if !pause(ctx, p.jitter.durationUpTo(maximumBroadcastDelay)) {
				return
			}
		case <-ctx.Done():
			return
		}
		p.compareWithPeer(ctx)
		timer.Reset(p.jitter.durationAround(p.options.CompareInterval))
	}
}

// compareWithPeer activates the configuration of one random peer, usually in this
// data centre, if it is newer.
func (p *Publisher) compareWithPeer(ctx context.Context) {
	peers := p.peers(p.options.View())
	if len(peers) == 0 {
		return
	}
	chosen := peers[0]
	const anyPeerOneIn = 4
	if p.jitter.durationUpTo(anyPeerOneIn-1) != 0 {
		for _, peer := range peers {
			if peer.DataCentre == p.options.DataCentre {
				chosen = peer
				break
			}
		}
	}
	p.options.Scope.Counter("configuration-comparisons").Inc(1)
	p.activateFetched(p.fetchFromPeer(ctx, chosen))
}

// activateFetched activates a configuration if it is not nil and is newer.
func (p *Publisher) activateFetched(fetched *configuration) {
	if fetched != nil {
		p.activateIfNewer(fetched)
	}
}

// fetchFromPeer returns a peer's newer configuration, or nil if none or on failure.
func (p *Publisher) fetchFromPeer(ctx context.Context, peer assigner.Member) *configuration {
	fetched, latest, err := p.fetch(ctx, peer)
	if err != nil {
		p.options.Log.Log(eventPeerFailing, logger.Fields{"peer": peer.Node, "error": err.Error()})
		return nil
	}
	p.detectFork(latest)
	return fetched
}

// fetchInitial asks several peers and the store concurrently and activates the
// answer with the largest number. It retries until a configuration is active.
// Peers serve nodes during a store outage; the store serves a node without peers.
func (p *Publisher) fetchInitial(ctx context.Context) {
	retry := p.newBackOff()
	for ctx.Err() == nil && p.active.Load() == nil {
		fetchCtx, cancel := context.WithTimeout(ctx, 2*p.options.PeerTimeout)
		peers := p.peers(p.options.View())
		peers = peers[:min(initialFetchPeers, len(peers))]
		answers := make(chan *configuration, len(peers)+1)
		for _, peer := range peers {
			go func() { answers <- p.fetchFromPeer(fetchCtx, peer) }()
		}
		go func() { answers <- p.fetchStored(fetchCtx) }()
		var largest *configuration
		for range len(peers) + 1 {
			answer := <-answers
			if answer != nil && (largest == nil || answer.stamp.number > largest.stamp.number) {
				largest = answer
			}
		}
		cancel()
		p.activateFetched(largest)
		if p.active.Load() == nil && !retry.wait(ctx) {
			return
		}
	}
}

// fetchStored returns the stored configuration, or nil if none or on failure.
func (p *Publisher) fetchStored(ctx context.Context) *configuration {
	stored, err := p.loadStored(ctx)
	switch {
	case err != nil && !errorx.IsOfType(err, storer.NotFound):
		p.reportStoreFailure(err)
		return nil
	default:
		return stored.configuration
	}
}

func (p *Publisher) reportStoreFailure(err error) {
	p.options.Scope.Counter("configuration-store-failures").Inc(1)
	p.options.Log.Log(eventStoreFailing, logger.Fields{"error": err.Error()})
}
