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
	// peersAskedFirst is how many peers a fresh node asks at once.
	peersAskedFirst = 3
	// rumourSpread spreads the questions that follow a rumour.
	rumourSpread = 500 * time.Millisecond
)

// runComparisons fetches the first configuration and then compares numbers with
// a random peer again and again, which repairs every lost push.
func (p *Publisher) runComparisons(ctx context.Context) {
	p.fetchFirst(ctx)
	timer := time.NewTimer(p.jitter.around(p.options.CompareInterval))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-p.compare:
			if !pause(ctx, p.jitter.upTo(rumourSpread)) {
				return
			}
		case <-ctx.Done():
			return
		}
		p.comparePeer(ctx)
		timer.Reset(p.jitter.around(p.options.CompareInterval))
	}
}

// comparePeer asks one peer, mostly of the own data centre.
func (p *Publisher) comparePeer(ctx context.Context) {
	peers := p.peers(p.options.View())
	if len(peers) == 0 {
		return
	}
	chosen := peers[0]
	const oneInFar = 4
	if p.jitter.upTo(oneInFar-1) != 0 {
		for _, peer := range peers {
			if peer.DataCentre == p.options.DataCentre {
				chosen = peer
				break
			}
		}
	}
	p.options.Scope.Counter("configuration-comparisons").Inc(1)
	p.take(p.fetchFrom(ctx, chosen))
}

// take offers an edition if there is one.
func (p *Publisher) take(fetched *edition) {
	if fetched != nil {
		p.offer(fetched)
	}
}

// fetchFrom returns a peer's newer configuration, or nil.
func (p *Publisher) fetchFrom(ctx context.Context, peer assigner.Member) *edition {
	fetched, latest, err := p.fetch(ctx, peer)
	if err != nil {
		p.options.Log.Log(eventPeerFailing, logger.Fields{"peer": peer.Node, "error": err.Error()})
		return nil
	}
	p.noteFork(latest)
	return fetched
}

// fetchFirst asks several peers and the store at once and takes the largest
// number, until there is one. Peers answer while the store is down; the store
// answers while there are no peers.
func (p *Publisher) fetchFirst(ctx context.Context) {
	wait := p.newBackOff()
	for ctx.Err() == nil && p.current.Load() == nil {
		ask, cancel := context.WithTimeout(ctx, 2*p.options.PeerTimeout)
		peers := p.peers(p.options.View())
		peers = peers[:min(peersAskedFirst, len(peers))]
		answers := make(chan *edition, len(peers)+1)
		for _, peer := range peers {
			go func() { answers <- p.fetchFrom(ask, peer) }()
		}
		go func() { answers <- p.fetchStored(ask) }()
		var largest *edition
		for range len(peers) + 1 {
			answer := <-answers
			if answer != nil && (largest == nil || answer.stamp.number > largest.stamp.number) {
				largest = answer
			}
		}
		cancel()
		p.take(largest)
		if p.current.Load() == nil && !wait.wait(ctx) {
			return
		}
	}
}

// fetchStored returns the stored configuration, or nil.
func (p *Publisher) fetchStored(ctx context.Context) *edition {
	stored, err := p.loadStored(ctx)
	switch {
	case err != nil && !errorx.IsOfType(err, storer.NotFound):
		p.storeFailed(err)
		return nil
	default:
		return stored.edition
	}
}

func (p *Publisher) storeFailed(err error) {
	p.options.Scope.Counter("configuration-store-failures").Inc(1)
	p.options.Log.Log(eventStoreFailing, logger.Fields{"error": err.Error()})
}
