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

// outbox keeps the decisions for one node until it collects them.
type outbox struct {
	incarnation identifier.Incarnation
	decisions   []*dispatcherrpc.Decision
	// reported is when the node was last sent the engines' reports.
	reported time.Time
	// filled is closed when decisions come in, and then replaced.
	filled chan struct{}
}

// shard is one owned shard: a placer with its clock, engines and outboxes.
type shard struct {
	id      shardID
	issuer  string
	server  *server
	options Options
	// wake tells run that demands wait. It holds one signal.
	wake chan struct{}
	// mutex guards the fields below.
	mutex  sync.Mutex
	placer *placer.Placer
	// configuration is the number of the snapshot that the placer has.
	configuration identifier.Configuration
	// configured is that snapshot; another of the same number differs in which
	// members leave.
	configured *tabulator.Snapshot
	members    map[identifier.Member]tabulator.Member
	outboxes   map[identifier.Node]*outbox
	// orders are the cancels for run to send; sending holds those on their way.
	orders  []placer.Cancellation
	sending map[identifier.Grant]bool
	loads   map[identifier.Member]placer.Load
	// silent are the engines whose last report failed.
	silent map[identifier.Member]bool
}

func newShard(id shardID, issuer string, pool tabulator.Pool, s *server) *shard {
	return &shard{
		id:       id,
		issuer:   issuer,
		server:   s,
		options:  s.options,
		wake:     make(chan struct{}, 1),
		placer:   placer.New(time.Now(), s.placerSettings(issuer, pool)),
		outboxes: map[identifier.Node]*outbox{},
		sending:  map[identifier.Grant]bool{},
		loads:    map[identifier.Member]placer.Load{},
		silent:   map[identifier.Member]bool{},
	}
}

// idleAdvance is the time between two advances of a shard without waiting demands.
const idleAdvance = 250 * time.Millisecond

// reportInterval is the time between two copies of the engines' reports for a node.
const reportInterval = 2 * time.Second

// run advances the placer, watches the fleet and polls the engines until ctx
// ends or another node owns the shard and no order is open.
func (s *shard) run(ctx context.Context) {
	defer s.server.drop(s.id)
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
		s.sendOrders(ctx, group)
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-s.wake:
		}
		timer.Stop()
	}
}

// advance brings the placer up to date. It returns when to do so again, and
// whether the shard is to be dropped.
func (s *shard) advance(now time.Time) (time.Duration, bool) {
	view := s.options.View()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.configure()
	s.lapseGone(now, view)
	s.placer.Advance(now)
	s.distribute()
	owned := s.server.owns(view, s.id)
	if !owned && len(s.orders) == 0 && len(s.sending) == 0 {
		return 0, true
	}
	if s.placer.QueueLength(identifier.Urgent)+s.placer.QueueLength(identifier.Lesser) > 0 {
		return s.options.Tick, false
	}
	return idleAdvance, false
}

// configure takes over a newer configuration, or the same one with other
// members leaving.
func (s *shard) configure() {
	snapshot := s.options.Snapshot()
	if snapshot == nil || snapshot == s.configured || s.members != nil && snapshot.Number < s.configuration {
		return
	}
	s.configured = snapshot
	pool, ok := snapshot.Pool(s.id.pool)
	if !ok {
		return
	}
	members := shardMembers(pool, s.id.index, s.options.ShardEngines)
	s.configuration = snapshot.Number
	s.members = map[identifier.Member]tabulator.Member{}
	for _, member := range members {
		s.members[member.Name] = member
	}
	// An engine that comes back to the table is read from the beginning.
	maps.DeleteFunc(s.loads, func(name identifier.Member, _ placer.Load) bool {
		_, known := s.members[name]
		return !known
	})
	s.placer.Configure(s.server.placerSettings(s.issuer, pool), engines(members))
}

// lapseGone gives up the nodes that the view says are dead or replaced. One that
// the view does not know yet is given up by its leases alone.
func (s *shard) lapseGone(now time.Time, view *assigner.View) {
	for node, box := range s.outboxes {
		member, known := view.Find(node)
		if !known || member.State != assigner.Dead && member.Incarnation <= box.incarnation {
			continue
		}
		s.gone(now, node)
		delete(s.outboxes, node)
	}
}

func (s *shard) gone(now time.Time, node identifier.Node) {
	s.placer.NodeFailed(now, node)
	s.options.Log.Log(eventNodeGone, logger.Fields{"node": node, "shard": s.id.String()})
}

// distribute moves the placer's decisions to the outboxes and its orders to run.
func (s *shard) distribute() {
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
		s.orders = append(s.orders, orders...)
		s.signal()
	}
}

// logRefusal tells why a demand got no grant.
func (s *shard) logRefusal(d *placer.Decision) {
	refusal := d.Outcome.Refusal
	if refusal == nil || refusal.Reason == placer.Superseded || refusal.Reason == placer.SubmitterGone {
		return
	}
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
		"configuration":  s.configuration,
	})
}

func (s *shard) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// outbox returns the outbox of a node's incarnation; nil when it was replaced.
func (s *shard) outbox(now time.Time, node identifier.Node, incarnation identifier.Incarnation) *outbox {
	box := s.outboxes[node]
	if box != nil && incarnation < box.incarnation {
		return nil
	}
	if box != nil && incarnation > box.incarnation {
		s.gone(now, node)
		box = nil
	}
	if box == nil {
		box = &outbox{incarnation: incarnation, filled: make(chan struct{})}
		s.outboxes[node] = box
	}
	return box
}

// exchange takes in one batch and answers with what is decided by then.
func (s *shard) exchange(now time.Time, request *dispatcherrpc.ExchangeRequest) (*dispatcherrpc.ExchangeResponse, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.configure()
	node := identifier.Node(request.GetNode())
	box := s.outbox(now, node, identifier.Incarnation(request.GetIncarnation()))
	if box == nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, "the node was replaced")
	}
	response := &dispatcherrpc.ExchangeResponse{}
	s.takeReleases(now, request)
	s.takeRenewals(now, node, request, response)
	s.takeDemands(now, node, request)
	s.placer.Advance(now)
	s.distribute()
	response.Decisions, box.decisions = box.decisions, nil
	if now.Sub(box.reported) >= reportInterval {
		response.Reports = s.reports()
		box.reported = now
	}
	s.signal()
	return response, nil
}

func (s *shard) takeReleases(now time.Time, request *dispatcherrpc.ExchangeRequest) {
	for _, message := range request.GetReleases() {
		grant, result := decodeRelease(message)
		s.placer.Release(now, grant, result)
	}
	for _, message := range request.GetWithdrawals() {
		s.placer.Withdraw(now, identifier.Request(message.GetRequest()), message.GetAttempt())
	}
}

func (s *shard) takeRenewals(now time.Time, node identifier.Node, request *dispatcherrpc.ExchangeRequest, response *dispatcherrpc.ExchangeResponse) {
	for _, message := range request.GetRenewals() {
		held, _ := decodeRenewal(s.id.pool, node, message)
		switch s.placer.Renew(now, held, message.GetDemand() != nil) {
		case placer.Renewed:
		case placer.Unknown:
			response.Unknown = append(response.Unknown, message.GetGrant())
		case placer.Revoked:
			response.Revoked = append(response.Revoked, message.GetGrant())
		}
	}
}

func (s *shard) takeDemands(now time.Time, node identifier.Node, request *dispatcherrpc.ExchangeRequest) {
	for _, message := range request.GetDemands() {
		if demand, ok := decodeDemand(s.id.pool, node, message); ok {
			s.placer.Submit(now, demand)
		}
	}
}

// reports passes on what a node needs to place alone: the free memory of the
// decode engines, and which engines take no new work.
func (s *shard) reports() []*dispatcherrpc.Report {
	list := make([]*dispatcherrpc.Report, 0, len(s.loads))
	for name, load := range s.loads {
		free := s.freeForNew(name, load)
		if s.members[name].Role == identifier.Decode || free == 0 {
			list = append(list, &dispatcherrpc.Report{Member: string(name), FreePieces: int64(free)})
		}
	}
	return list
}

// freeForNew is the memory that an engine has for new work: none while it has
// another role than the table's.
func (s *shard) freeForNew(name identifier.Member, load placer.Load) identifier.Pieces {
	if load.Role != "" && load.Role != s.members[name].Role {
		return 0
	}
	return load.Free
}

// collect waits until there are decisions for a node, or the hold has passed.
// A node without an outbox has to send its demands again.
func (s *shard) collect(ctx context.Context, node identifier.Node) ([]*dispatcherrpc.Decision, error) {
	ctx, stop := context.WithTimeout(ctx, s.options.CollectHold)
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
