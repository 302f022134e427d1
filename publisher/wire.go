package publisher

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	rpc "github.com/foxtailspool/foxtailspool/publisher/publisherrpc"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// maximumRequestBytes bounds a request of a peer.
const maximumRequestBytes = 8 << 20

// Handler returns the peers' protocol and the path it answers under.
func (p *Publisher) Handler() (string, http.Handler) {
	server := rpc.NewFeedServer(&feedServer{p})
	bounded := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maximumRequestBytes)
		server.ServeHTTP(w, r)
	})
	return server.PathPrefix(), bounded
}

// feedServer answers peers.
type feedServer struct{ publisher *Publisher }

// Latest returns what the asking node lacks.
func (s *feedServer) Latest(_ context.Context, request *rpc.LatestRequest) (*rpc.LatestResponse, error) {
	have := fromWireStamp(request.GetHave())
	held := s.publisher.current.Load()
	if held == nil {
		return &rpc.LatestResponse{Latest: &rpc.Stamp{}}, nil
	}
	if have.number > held.stamp.number {
		signal(s.publisher.compare)
	}
	s.publisher.noteFork(have)
	answer := &rpc.LatestResponse{Latest: toWireStamp(held.stamp)}
	if have.number < held.stamp.number {
		answer.Update = s.publisher.updateFrom(have, held)
	}
	return answer, nil
}

// Push takes a configuration and passes it on.
func (s *feedServer) Push(_ context.Context, request *rpc.PushRequest) (*rpc.PushResponse, error) {
	p := s.publisher
	pushed, err := p.read(request.GetUpdate())
	if err != nil {
		return nil, twirp.InvalidArgumentError("update", err.Error())
	}
	if pushed != nil {
		p.offer(pushed)
	}
	held := p.current.Load()
	if held == nil {
		return &rpc.PushResponse{Held: &rpc.Stamp{}}, nil
	}
	if held.stamp.number >= fromWireStamp(request.GetUpdate().GetStamp()).number {
		p.passOn(held, toNodes(request.GetTargets()))
	}
	return &rpc.PushResponse{Held: toWireStamp(held.stamp)}, nil
}

// updateFrom returns the steps that lead from a configuration to the one held,
// or the whole where they are not kept or not shorter.
func (p *Publisher) updateFrom(have stamp, held *edition) *rpc.Update {
	steps := p.stepsFrom(have, held.stamp)
	total := 0
	for _, kept := range steps {
		total += kept.bytes()
	}
	// An archive is at least a sixteenth of the text, so that short steps need
	// no packing to compare with.
	const leastPacking = 16
	text := len(held.content.Routes) + len(held.content.Pools)
	if len(steps) == 0 || total > text/leastPacking && total >= len(held.archive()) {
		return &rpc.Update{Stamp: toWireStamp(held.stamp), Archive: held.archive()}
	}
	update := &rpc.Update{Stamp: toWireStamp(held.stamp)}
	for _, kept := range steps {
		update.Steps = append(update.Steps, toWireStep(kept))
	}
	return update
}

// stepsFrom returns the kept steps between two configurations, or none.
func (p *Publisher) stepsFrom(from, to stamp) []step {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.steps) == 0 || p.steps[len(p.steps)-1].after != to {
		return nil
	}
	for i, kept := range p.steps {
		if kept.before == from {
			return p.steps[i:len(p.steps):len(p.steps)]
		}
	}
	return nil
}

// read makes an edition of an update. It returns nil when the update is not
// newer or its steps do not begin at the configuration held.
func (p *Publisher) read(update *rpc.Update) (*edition, error) {
	expected := fromWireStamp(update.GetStamp())
	held := p.current.Load()
	if update == nil || held != nil && expected.number <= held.stamp.number {
		return nil, nil //nolint:nilnil // Nothing newer is not a failure.
	}
	if len(update.GetArchive()) > 0 {
		return unpackEdition(expected, update.GetArchive())
	}
	if held == nil {
		return nil, nil //nolint:nilnil // The sender will send the whole.
	}
	steps := make([]step, 0, len(update.GetSteps()))
	for _, sent := range update.GetSteps() {
		steps = append(steps, fromWireStep(sent))
	}
	made, _, err := follow(held, steps)
	return made, err
}

func (p *Publisher) client(address identifier.Address) rpc.Feed {
	return rpc.NewFeedProtobufClient("http://"+string(address), &http.Client{Transport: p.options.Peers})
}

// fetch asks a peer for what it holds beyond this node's configuration.
func (p *Publisher) fetch(ctx context.Context, peer assigner.Member) (*edition, stamp, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.PeerTimeout)
	defer cancel()
	request := &rpc.LatestRequest{Have: toWireStamp(p.held())}
	answer, err := p.client(peer.PeerAddress).Latest(ctx, request)
	if err != nil {
		return nil, stamp{}, err
	}
	latest := fromWireStamp(answer.GetLatest())
	made, err := p.read(answer.GetUpdate())
	return made, latest, err
}

// push hands a configuration to a peer, first as steps and, if they do not fit
// what the peer has, whole.
func (p *Publisher) push(ctx context.Context, peer assigner.Member, pushed *edition, targets []identifier.Node) error {
	names := make([]string, 0, len(targets))
	for _, target := range targets {
		names = append(names, string(target))
	}
	request := &rpc.PushRequest{Update: p.lastStep(pushed), Targets: names}
	taken, err := p.pushOnce(ctx, peer, request)
	if err != nil || taken {
		return err
	}
	request.Update = &rpc.Update{Stamp: toWireStamp(pushed.stamp), Archive: pushed.archive()}
	taken, err = p.pushOnce(ctx, peer, request)
	if err == nil && !taken {
		return unreadable.New("peer %s did not take configuration %d", peer.Node, pushed.stamp.number)
	}
	return err
}

func (p *Publisher) pushOnce(ctx context.Context, peer assigner.Member, request *rpc.PushRequest) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.PeerTimeout)
	defer cancel()
	answer, err := p.client(peer.PeerAddress).Push(ctx, request)
	if err != nil {
		return false, err
	}
	return answer.GetHeld().GetNumber() >= request.GetUpdate().GetStamp().GetNumber(), nil
}

// lastStep is the update that a node one configuration behind needs.
func (p *Publisher) lastStep(pushed *edition) *rpc.Update {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	// A step that replaces half of the text is no shorter than the archive.
	half := (len(pushed.content.Routes) + len(pushed.content.Pools)) / 2
	if last := len(p.steps) - 1; last >= 0 && p.steps[last].after == pushed.stamp && p.steps[last].bytes() < half {
		return &rpc.Update{Stamp: toWireStamp(pushed.stamp), Steps: []*rpc.Step{toWireStep(p.steps[last])}}
	}
	return &rpc.Update{Stamp: toWireStamp(pushed.stamp), Archive: pushed.archive()}
}

func toNodes(names []string) []identifier.Node {
	nodes := make([]identifier.Node, 0, len(names))
	for _, name := range names {
		nodes = append(nodes, identifier.Node(name))
	}
	return nodes
}

func toWireStamp(s stamp) *rpc.Stamp {
	return &rpc.Stamp{Number: uint64(s.number), Digest: uint64(s.digest)}
}

func fromWireStamp(s *rpc.Stamp) stamp {
	return stamp{number: identifier.Configuration(s.GetNumber()), digest: tabulator.Digest(s.GetDigest())}
}

func toWireStep(s step) *rpc.Step {
	return &rpc.Step{
		Before: toWireStamp(s.before),
		After:  toWireStamp(s.after),
		Routes: toWirePatch(s.routes),
		Pools:  toWirePatch(s.pools),
	}
}

func fromWireStep(s *rpc.Step) step {
	return step{
		before: fromWireStamp(s.GetBefore()),
		after:  fromWireStamp(s.GetAfter()),
		routes: fromWirePatch(s.GetRoutes()),
		pools:  fromWirePatch(s.GetPools()),
	}
}

func toWirePatch(d tabulator.Delta) *rpc.Patch {
	return &rpc.Patch{Prefix: uint32(d.Prefix), Suffix: uint32(d.Suffix), Middle: d.Middle}
}

func fromWirePatch(p *rpc.Patch) tabulator.Delta {
	return tabulator.Delta{Prefix: int(p.GetPrefix()), Suffix: int(p.GetSuffix()), Middle: p.GetMiddle()}
}
