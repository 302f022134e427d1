package follower

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// avoidSourceTime is how long a node that did not answer, or whose copies were stale,
	// is not long-polled: a long poll of it costs the time in which another node could
	// have been asked.
	avoidSourceTime = 2 * time.Second
	// peersAtOnce is how many other nodes are asked at once. Nodes that all ask that many
	// every askInterval spread a change to a hundred nodes in about half a second.
	peersAtOnce = 3
	askInterval = 100 * time.Millisecond
)

// pollBestSource long-polls the first source that is not avoided, or any node if all are.
func (f *Follower) pollBestSource(ctx context.Context, sources []assigner.Member) {
	now := time.Now()
	for _, source := range sources {
		if source.Node != f.options.Self && !f.isAvoided(source, now) {
			f.pollPeer(ctx, source, f.options.ReadInterval)
			return
		}
	}
	if peers := f.somePeers(nil); len(peers) > 0 {
		f.pollPeer(ctx, peers[0], f.options.ReadInterval)
	}
}

func (f *Follower) isAvoided(source assigner.Member, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return now.Before(f.avoidSourceUntil[source.Node])
}

// setAvoided records whether a source is to be avoided for avoidSourceTime.
func (f *Follower) setAvoided(source assigner.Member, avoided bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	maps.DeleteFunc(f.avoidSourceUntil, func(node identifier.Node, until time.Time) bool {
		return node == source.Node || now.After(until)
	})
	if avoided {
		f.avoidSourceUntil[source.Node] = now.Add(avoidSourceTime)
	}
}

// storeReader returns the function with which a node that is not a reader reads the store,
// or nil while it may not. The standbys read at once, the others only if the sources have
// nothing newer.
func (f *Follower) storeReader(sources []assigner.Member) func(context.Context) bool {
	if !f.storeReadDue(time.Now()) {
		return nil
	}
	if hasNode(sources, f.options.Self) {
		return f.readWithBackoff
	}
	return func(ctx context.Context) bool {
		asking, stop := context.WithTimeout(ctx, 2*askInterval)
		defer stop()
		f.pollAtOnce(asking, f.somePeers(sources))
		return !f.isStale() || f.readWithBackoff(ctx)
	}
}

// catchUp reads the store, unless read is nil, and meanwhile asks a few nodes every
// askInterval until the copies are fresh. One of the nodes asked is a source, if any are
// given. It returns when the read has ended, or after one question without a read.
func (f *Follower) catchUp(ctx context.Context, read func(context.Context) bool, sources []assigner.Member) {
	if read == nil {
		f.pollAtOnce(ctx, f.somePeers(sources))
		return
	}
	asking, stop := context.WithCancel(ctx)
	defer stop()
	readEnded, asked := make(chan bool, 1), make(chan struct{}, 1)
	go func() { readEnded <- read(ctx) }()
	go func() {
		f.askUntilFresh(asking, sources)
		asked <- struct{}{}
	}()
	<-readEnded
	stop()
	<-asked
}

// askUntilFresh asks a few nodes every askInterval until the copies are fresh or ctx ends.
// It does not wait for earlier questions, and returns when all have ended.
func (f *Follower) askUntilFresh(ctx context.Context, sources []assigner.Member) {
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	var rounds []chan struct{}
	for f.isStale() && ctx.Err() == nil {
		ended := make(chan struct{}, 1)
		rounds = append(rounds, ended)
		peers := f.somePeers(sources)
		go func() {
			f.pollAtOnce(ctx, peers)
			ended <- struct{}{}
		}()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	for _, ended := range rounds {
		<-ended
	}
}

// somePeers returns up to peersAtOnce other nodes, drawn at random: one of the sources, if
// any are given, and others.
func (f *Follower) somePeers(sources []assigner.Member) []assigner.Member {
	view := f.options.View()
	all := view.OwnerCandidates(string(f.options.Self), len(view.Members))
	var peers []assigner.Member
	for _, list := range [][]assigner.Member{sources, all} {
		wanted := peersAtOnce
		if len(peers) == 0 && len(sources) > 0 {
			wanted = 1
		}
		for _, at := range rand.Perm(len(list)) {
			if len(peers) >= wanted {
				break
			}
			if node := list[at].Node; node != f.options.Self && !hasNode(peers, node) {
				peers = append(peers, list[at])
			}
		}
	}
	return peers
}

// pollAtOnce polls nodes at the same time without waiting for changes. It returns once all
// have answered or failed, or the copies are fresh.
func (f *Follower) pollAtOnce(ctx context.Context, peers []assigner.Member) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	polled := make(chan struct{}, len(peers))
	for _, peer := range peers {
		go func() {
			f.pollPeer(ctx, peer, 0)
			polled <- struct{}{}
		}()
	}
	for range peers {
		<-polled
		if !f.isStale() {
			stop()
		}
	}
}
