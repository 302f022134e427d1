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

// maximumRequestBytes limits the body of a peer's request.
const maximumRequestBytes = 8 << 20

// Handler returns the URL path prefix and the handler for calls from peers.
func (p *Publisher) Handler() (string, http.Handler) {
	server := rpc.NewFeedServer(&feedServer{p})
	bounded := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maximumRequestBytes)
		server.ServeHTTP(w, r)
	})
	return server.PathPrefix(), bounded
}

// feedServer implements the Feed service for peers.
type feedServer struct{ publisher *Publisher }

// Latest returns the active stamp, and an update if the caller is behind.
func (s *feedServer) Latest(_ context.Context, request *rpc.LatestRequest) (*rpc.LatestResponse, error) {
	have := fromWireStamp(request.GetHave())
	active := s.publisher.active.Load()
	if active == nil {
		return &rpc.LatestResponse{Latest: &rpc.Stamp{}}, nil
	}
	if have.number > active.stamp.number {
		signal(s.publisher.compareRequested)
	}
	s.publisher.detectFork(have)
	answer := &rpc.LatestResponse{Latest: toWireStamp(active.stamp)}
	if have.number < active.stamp.number {
		answer.Update = s.publisher.updateFrom(have, active)
	}
	return answer, nil
}

// Push activates and forwards a configuration and returns the active stamp.
func (s *feedServer) Push(_ context.Context, request *rpc.PushRequest) (*rpc.PushResponse, error) {
	p := s.publisher
	pushed, err := p.decodeUpdate(request.GetUpdate())
	if err != nil {
		return nil, twirp.InvalidArgumentError("update", err.Error())
	}
	if pushed != nil {
		p.activateIfNewer(pushed)
	}
	active := p.active.Load()
	if active == nil {
		return &rpc.PushResponse{Held: &rpc.Stamp{}}, nil
	}
	if active.stamp.number >= fromWireStamp(request.GetUpdate().GetStamp()).number {
		p.enqueueForward(active, toNodes(request.GetTargets()))
	}
	return &rpc.PushResponse{Held: toWireStamp(active.stamp)}, nil
}

// updateFrom returns the steps from a configuration to the active one, or the
// archive if the steps are no longer kept or are not smaller.
func (p *Publisher) updateFrom(have stamp, active *configuration) *rpc.Update {
	steps := p.stepsBetween(have, active.stamp)
	stepBytes := 0
	for _, step := range steps {
		stepBytes += step.wireBytes()
	}
	// An archive has at least a sixteenth of the text's size, so steps below that
	// are smaller without packing the archive to compare.
	const maximumCompressionRatio = 16
	textBytes := len(active.content.Routes) + len(active.content.Pools)
	if len(steps) == 0 || stepBytes > textBytes/maximumCompressionRatio && stepBytes >= len(active.archive()) {
		return &rpc.Update{Stamp: toWireStamp(active.stamp), Archive: active.archive()}
	}
	update := &rpc.Update{Stamp: toWireStamp(active.stamp)}
	for _, step := range steps {
		update.Steps = append(update.Steps, toWireStep(step))
	}
	return update
}

// stepsBetween returns the kept steps between two configurations, or nil.
func (p *Publisher) stepsBetween(from, to stamp) []step {
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

// decodeUpdate returns the configuration of an update. It returns nil if the
// update is not newer or its steps do not start at the active configuration.
func (p *Publisher) decodeUpdate(update *rpc.Update) (*configuration, error) {
	expected := fromWireStamp(update.GetStamp())
	active := p.active.Load()
	if update == nil || active != nil && expected.number <= active.stamp.number {
		return nil, nil //nolint:nilnil // An update that is not newer is not an error.
	}
	if len(update.GetArchive()) > 0 {
		return unpackConfiguration(expected, update.GetArchive())
	}
	if active == nil {
		return nil, nil //nolint:nilnil // The sender retries with the whole configuration.
	}
	steps := make([]step, 0, len(update.GetSteps()))
	for _, sent := range update.GetSteps() {
		steps = append(steps, fromWireStep(sent))
	}
	result, _, err := applySteps(active, steps)
	return result, err
}

func (p *Publisher) client(address identifier.Address) rpc.Feed {
	return rpc.NewFeedProtobufClient("http://"+string(address), &http.Client{Transport: p.options.PeerTransport})
}

// fetch returns a peer's configuration if it is newer, and the peer's stamp.
func (p *Publisher) fetch(ctx context.Context, peer assigner.Member) (*configuration, stamp, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.PeerTimeout)
	defer cancel()
	request := &rpc.LatestRequest{Have: toWireStamp(p.activeStamp())}
	answer, err := p.client(peer.PeerAddress).Latest(ctx, request)
	if err != nil {
		return nil, stamp{}, err
	}
	latest := fromWireStamp(answer.GetLatest())
	fetched, err := p.decodeUpdate(answer.GetUpdate())
	return fetched, latest, err
}

// push sends a configuration to a peer, as the last step or, if the peer lacks the
// step's base, as an archive. It fails if the peer's active number stays smaller.
func (p *Publisher) push(ctx context.Context, peer assigner.Member, pushed *configuration, targets []identifier.Node) error {
	names := make([]string, 0, len(targets))
	for _, target := range targets {
		names = append(names, string(target))
	}
	request := &rpc.PushRequest{Update: p.lastStep(pushed), Targets: names}
	activated, err := p.pushOnce(ctx, peer, request)
	if err != nil || activated {
		return err
	}
	request.Update = &rpc.Update{Stamp: toWireStamp(pushed.stamp), Archive: pushed.archive()}
	activated, err = p.pushOnce(ctx, peer, request)
	if err == nil && !activated {
		return errUnreadable.New("peer %s did not take configuration %d", peer.Node, pushed.stamp.number)
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

// lastStep returns the update for a node that is one configuration behind.
func (p *Publisher) lastStep(pushed *configuration) *rpc.Update {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	// A step that replaces half of the text is no smaller than the archive.
	halfBytes := (len(pushed.content.Routes) + len(pushed.content.Pools)) / 2
	if last := len(p.steps) - 1; last >= 0 && p.steps[last].after == pushed.stamp && p.steps[last].wireBytes() < halfBytes {
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
