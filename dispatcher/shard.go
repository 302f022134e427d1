package dispatcher

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/dispatcher/dispatcherrpc"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// outbox queues the decisions for one node until the node fetches them.
type outbox struct {
	incarnation identifier.Incarnation
	decisions   []*dispatcherrpc.Decision
	// reportsSentAt is when engine reports were last sent to the node.
	reportsSentAt time.Time
	// filled is closed and replaced when a decision is added.
	filled chan struct{}
}

// shard runs the placer of one owned shard. It polls the engines, sends cancels
// and keeps an outbox for each node.
type shard struct {
	id      shardID
	issuer  string
	server  *server
	options Options
	// wake, of capacity 1, makes run advance the placer at once.
	wake chan struct{}
	// mutex guards the fields below.
	mutex  sync.Mutex
	placer *placer.Placer
	// configurationNumber is the number of the snapshot that the placer uses.
	configurationNumber identifier.Configuration
	// snapshot is the last snapshot seen. Snapshots with the same number can
	// differ in which members are leaving.
	snapshot *tabulator.Snapshot
	members  map[identifier.Member]tabulator.Member
	outboxes map[identifier.Node]*outbox
	// nextPlacing is when the placer may be advanced again. It keeps placing, which takes
	// longest when the engines are full, to a part of the node's processor time, so that
	// the owner answers the other nodes even then.
	nextPlacing time.Time
	// cancelOrders are the cancels that run has not started yet.
	cancelOrders    []placer.Cancellation
	cancelsInFlight map[identifier.Grant]bool
	loads           map[identifier.Member]placer.Load
	// loadFailed is the set of engines whose last load report failed.
	loadFailed map[identifier.Member]bool
	// limitedEngines is the latest value of the gauge of engines limited to probes.
	limitedEngines int
}

func newShard(id shardID, issuer string, pool tabulator.Pool, s *server) *shard {
	return &shard{
		id:              id,
		issuer:          issuer,
		server:          s,
		options:         s.options,
		wake:            make(chan struct{}, 1),
		placer:          placer.New(time.Now(), s.placerSettings(issuer, pool)),
		outboxes:        map[identifier.Node]*outbox{},
		cancelsInFlight: map[identifier.Grant]bool{},
		loads:           map[identifier.Member]placer.Load{},
		loadFailed:      map[identifier.Member]bool{},
	}
}

// idleAdvanceInterval is how often a placer without waiting demands is advanced.
const idleAdvanceInterval = 250 * time.Millisecond

// reportInterval is the minimum interval between engine reports to one node.
const reportInterval = 2 * time.Second

// run advances the placer, polls the engines and sends cancels. It returns when
// ctx ends, or when another node owns the shard and no cancel is pending.
func (s *shard) run(ctx context.Context) {
	defer s.server.dropShard(s.id)
	group := newGroup()
	defer group.wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group.start(ctx, s.pollEngines)
	for ctx.Err() == nil {
		interval, done := s.advance(time.Now())
		if done {
			return
		}
		s.startCancels(ctx, group)
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-s.wake:
		}
		timer.Stop()
	}
}

// advance updates the placer to the current view, configuration and time. It
// returns the time until the next advance, and whether to drop the shard.
func (s *shard) advance(now time.Time) (time.Duration, bool) {
	view := s.options.View()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.applyConfiguration()
	s.expireLostNodes(now, view)
	s.place(now)
	owned := s.server.owns(view, s.id)
	if !owned && len(s.cancelOrders) == 0 && len(s.cancelsInFlight) == 0 {
		return 0, true
	}
	if s.placer.Waiting() > 0 {
		return max(s.options.Tick, time.Until(s.nextPlacing)), false
	}
	return idleAdvanceInterval, false
}

// placingShare is the largest part of the time in which an owner places demands.
const placingShare = 0.25

// place advances the placer and passes on its decisions. The caller must hold the mutex.
func (s *shard) place(now time.Time) {
	began := time.Now()
	s.placer.Advance(now)
	s.distribute()
	took := time.Since(began)
	s.nextPlacing = now.Add(time.Duration(float64(took) / placingShare))
}

// applyConfiguration applies the current snapshot unless it is older than the
// one in use. The caller must hold the mutex.
func (s *shard) applyConfiguration() {
	snapshot := s.options.Snapshot()
	if snapshot == nil || snapshot == s.snapshot || s.members != nil && snapshot.Number < s.configurationNumber {
		return
	}
	s.snapshot = snapshot
	pool, ok := snapshot.Pool(s.id.pool)
	if !ok {
		return
	}
	members := shardMembers(pool, s.id.index, s.options.ShardEngines)
	s.configurationNumber = snapshot.Number
	s.members = map[identifier.Member]tabulator.Member{}
	for _, member := range members {
		s.members[member.Name] = member
	}
	// If a removed engine returns, its cache events are read from the start again.
	maps.DeleteFunc(s.loads, func(name identifier.Member, _ placer.Load) bool {
		_, known := s.members[name]
		return !known
	})
	s.placer.Configure(s.server.placerSettings(s.issuer, pool), placerEngines(members))
}

// expireLostNodes expires the grants of nodes that are dead or replaced in the view.
// A node that is not in the view yet keeps its grants until their leases expire.
// The caller must hold the mutex.
func (s *shard) expireLostNodes(now time.Time, view *assigner.View) {
	for node, box := range s.outboxes {
		member, known := view.Find(node)
		if !known || member.State != assigner.Dead && member.Incarnation <= box.incarnation {
			continue
		}
		s.expireGrantsOf(now, node)
		delete(s.outboxes, node)
	}
}

func (s *shard) expireGrantsOf(now time.Time, node identifier.Node) {
	s.placer.NodeFailed(now, node)
	s.options.Log.Log(eventNodeGone, logger.Fields{"node": node, "shard": s.id.String()})
}

// distribute moves the placer's decisions to the outboxes and its cancel orders to
// cancelOrders. The caller must hold the mutex.
func (s *shard) distribute() {
	s.logOutcomeChanges()
	decisions, orders := s.placer.TakeDecisions()
	for i := range decisions {
		s.logRefusal(&decisions[i])
		box := s.outboxes[decisions[i].Node]
		if box == nil {
			continue
		}
		box.decisions = append(box.decisions, encodeDecision(&decisions[i]))
		close(box.filled)
		box.filled = make(chan struct{})
	}
	if len(orders) > 0 {
		s.cancelOrders = append(s.cancelOrders, orders...)
		s.signal()
	}
}

// logRefusal logs why a demand was refused, unless it was superseded or withdrawn.
func (s *shard) logRefusal(d *placer.Decision) {
	refusal := d.Outcome.Refusal
	if refusal == nil || refusal.Reason == placer.Superseded || refusal.Reason == placer.SubmitterGone {
		return
	}
	s.server.metrics.recordRefusal(refusal)
	s.options.Log.Log(eventRefused, logger.Fields{
		"request":        d.Request,
		"asking-node":    d.Node,
		"shard":          s.id.String(),
		"reason":         refusal.Reason,
		"retry-after-ms": refusal.RetryAfter.Milliseconds(),
		"waiting":        refusal.Cause.Waiting,
		"engines":        refusal.Cause.Engines,
		"lowest-peak":    refusal.Cause.LowestPeakUse,
		"lacking":        refusal.Cause.BlockedBy,
		"returned":       refusal.Cause.IsRetry,
		"beyond-share":   refusal.Cause.BeyondShare,
		"configuration":  s.configurationNumber,
	})
}

func (s *shard) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// outboxFor returns the outbox of a node, or nil if a later incarnation of the node
// is known. The first call for a new incarnation expires the grants of the old one.
// The caller must hold the mutex.
func (s *shard) outboxFor(now time.Time, node identifier.Node, incarnation identifier.Incarnation) *outbox {
	box := s.outboxes[node]
	if box != nil && incarnation < box.incarnation {
		return nil
	}
	if box != nil && incarnation > box.incarnation {
		s.expireGrantsOf(now, node)
		box = nil
	}
	if box == nil {
		box = &outbox{incarnation: incarnation, filled: make(chan struct{})}
		s.outboxes[node] = box
	}
	return box
}

// exchange applies one batch and returns the decisions made so far. It fails if
// the node's incarnation was replaced by a later one.
func (s *shard) exchange(now time.Time, request *dispatcherrpc.ExchangeRequest) (*dispatcherrpc.ExchangeResponse, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.applyConfiguration()
	node := identifier.Node(request.GetNode())
	box := s.outboxFor(now, node, identifier.Incarnation(request.GetIncarnation()))
	if box == nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, "the node was replaced")
	}
	response := &dispatcherrpc.ExchangeResponse{}
	idle := s.placer.Waiting() == 0
	s.inheritOutcomes(now, node, request)
	s.applyReleases(now, request)
	s.applyRenewals(now, node, request, response)
	s.submitDemands(now, node, request)
	if !now.Before(s.nextPlacing) {
		s.place(now)
	}
	if idle && s.placer.Waiting() > 0 {
		// From now on, run has to advance the placer more often.
		s.signal()
	}
	response.Decisions, box.decisions = box.decisions, nil
	if now.Sub(box.reportsSentAt) >= reportInterval {
		response.Reports = s.memoryReports()
		box.reportsSentAt = now
	}
	return response, nil
}

func (s *shard) applyReleases(now time.Time, request *dispatcherrpc.ExchangeRequest) {
	for _, message := range request.GetReleases() {
		grant, result := decodeRelease(message)
		s.placer.Release(now, grant, result)
	}
	for _, message := range request.GetWithdrawals() {
		s.placer.Withdraw(now, identifier.Request(message.GetRequest()), message.GetAttempt())
	}
}

func (s *shard) applyRenewals(now time.Time, node identifier.Node, request *dispatcherrpc.ExchangeRequest, response *dispatcherrpc.ExchangeResponse) {
	for _, message := range request.GetRenewals() {
		held := decodeRenewal(s.id.pool, node, message)
		switch s.placer.Renew(now, held, message.GetDemand() != nil) {
		case placer.Renewed:
		case placer.Unknown:
			response.Unknown = append(response.Unknown, message.GetGrant())
		case placer.Revoked:
			response.Revoked = append(response.Revoked, message.GetGrant())
		}
	}
}

func (s *shard) submitDemands(now time.Time, node identifier.Node, request *dispatcherrpc.ExchangeRequest) {
	for _, message := range request.GetDemands() {
		s.placer.Submit(now, decodeDemand(s.id.pool, node, message))
	}
}

// memoryReports returns what a node needs to place requests without the owner: the
// free memory of the decode engines, and which engines take no new work.
func (s *shard) memoryReports() []*dispatcherrpc.Report {
	list := make([]*dispatcherrpc.Report, 0, len(s.loads))
	for name, load := range s.loads {
		free := s.freePieces(name, load)
		if s.members[name].Role == identifier.Decode || free == 0 {
			list = append(list, &dispatcherrpc.Report{Member: string(name), FreePieces: int64(free)})
		}
	}
	return list
}

// freePieces returns an engine's free memory for new work: what it reports, or what the
// grants leave if that is less. It is zero while the engine's role differs from the role in
// the pools table.
func (s *shard) freePieces(name identifier.Member, load placer.Load) identifier.Pieces {
	if load.Role != "" && load.Role != s.members[name].Role {
		return 0
	}
	return min(load.Free, s.placer.UnreservedPieces(name))
}

// waitForDecisions waits up to MaxCollectWait for decisions for a node. It fails
// if the node has no outbox; the node then has to send its demands again.
func (s *shard) waitForDecisions(ctx context.Context, node identifier.Node) ([]*dispatcherrpc.Decision, error) {
	ctx, stop := context.WithTimeout(ctx, s.options.MaxCollectWait)
	defer stop()
	for {
		decisions, filled := s.takeDecisions(node)
		if filled == nil {
			return nil, twirp.NewError(twirp.FailedPrecondition, "the node's demands are not known")
		}
		if len(decisions) > 0 {
			return decisions, nil
		}
		select {
		case <-filled:
		case <-ctx.Done():
			return nil, nil
		}
	}
}

func (s *shard) takeDecisions(node identifier.Node) ([]*dispatcherrpc.Decision, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	box := s.outboxes[node]
	if box == nil {
		return nil, nil
	}
	decisions := box.decisions
	box.decisions = nil
	return decisions, box.filled
}
