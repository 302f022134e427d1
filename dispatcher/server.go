package dispatcher

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/twitchtv/twirp"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/dispatcher/dispatcherrpc"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// server is the owner's side: the shards that this node places for.
type server struct {
	options Options
	metrics metrics
	// mutex guards the fields below. start is nil while run is not running.
	mutex  sync.Mutex
	shards map[shardID]*shard
	start  func(*shard)
	// generation makes the grant ids of each ownership distinct.
	generation int
}

func newServer(options Options, counted metrics) *server {
	return &server{options: options, metrics: counted, shards: map[shardID]*shard{}}
}

// run takes over and drops shards as the view and the configuration change.
func (s *server) run(ctx context.Context) {
	group := newGroup()
	s.mutex.Lock()
	s.start = func(sh *shard) { group.start(ctx, sh.run) }
	s.mutex.Unlock()
	ticker := time.NewTicker(s.options.Poll)
	defer ticker.Stop()
	for ctx.Err() == nil {
		s.review()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	s.mutex.Lock()
	s.start = nil
	s.mutex.Unlock()
	group.wait()
}

// review opens the shards that this node owns now.
func (s *server) review() {
	snapshot := s.options.Snapshot()
	if snapshot == nil {
		return
	}
	view := s.options.View()
	for _, pool := range snapshot.Pools.Pools {
		if pool.Kind != tabulator.Models {
			continue
		}
		count := shardCount(pool, s.options.ShardEngines)
		for index := range uint32(count) {
			id := shardID{pool: pool.Name, index: index}
			if s.owns(view, id) {
				s.open(id, pool)
			}
		}
	}
}

func (s *server) owns(view *assigner.View, id shardID) bool {
	return view.Owner(id.String()).Node == s.options.Self
}

// open returns the shard, which it makes and starts when there is none.
func (s *server) open(id shardID, pool tabulator.Pool) *shard {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known := s.shards[id]; known != nil {
		return known
	}
	if s.start == nil {
		return nil
	}
	s.generation++
	fresh := newShard(id, s.issuer(), pool, s)
	s.shards[id] = fresh
	s.start(fresh)
	s.options.Log.Log(eventOwned, logger.Fields{"shard": id.String(), "issuer": fresh.issuer})
	return fresh
}

// issuer begins the grant ids of the present generation: a hash, since each
// renewal carries the id.
func (s *server) issuer() string {
	name := fmt.Sprintf("%s.%d.%d", s.options.Self, s.options.View().Self.Incarnation, s.generation)
	return strconv.FormatUint(xxhash.Sum64String(name), 36)
}

// drop forgets a shard that another node owns.
func (s *server) drop(id shardID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.shards, id)
	s.options.Log.Log(eventDropped, logger.Fields{"shard": id.String()})
}

// find returns the shard of a call, or the error to answer.
func (s *server) find(pool string, index uint32) (*shard, error) {
	id := shardID{pool: identifier.Pool(pool), index: index}
	snapshot := s.options.Snapshot()
	if snapshot == nil {
		return nil, twirp.NewError(twirp.Unavailable, "no configuration yet")
	}
	described, ok := snapshot.Pool(id.pool)
	if !ok || described.Kind != tabulator.Models {
		return nil, twirp.NewError(twirp.NotFound, "no such pool")
	}
	if !s.owns(s.options.View(), id) {
		return nil, twirp.NewError(twirp.Unavailable, "not the owner")
	}
	if sh := s.open(id, described); sh != nil {
		return sh, nil
	}
	return nil, twirp.NewError(twirp.Unavailable, "not running")
}

// Exchange takes in one batch of a node.
func (s *server) Exchange(_ context.Context, request *dispatcherrpc.ExchangeRequest) (*dispatcherrpc.ExchangeResponse, error) {
	sh, err := s.find(request.GetPool(), request.GetShard())
	if err != nil {
		return nil, err
	}
	return sh.exchange(time.Now(), request)
}

// Collect waits until demands of a node are decided.
func (s *server) Collect(ctx context.Context, request *dispatcherrpc.CollectRequest) (*dispatcherrpc.CollectResponse, error) {
	sh, err := s.find(request.GetPool(), request.GetShard())
	if err != nil {
		return nil, err
	}
	decisions, err := sh.collect(ctx, identifier.Node(request.GetNode()))
	if err != nil {
		return nil, err
	}
	return &dispatcherrpc.CollectResponse{Decisions: decisions}, nil
}

// placerSettings are the limits of a pool's shard.
func (s *server) placerSettings(issuer string, pool tabulator.Pool) placer.Settings {
	return placer.Settings{
		Issuer:               issuer,
		PieceTokens:          pool.PieceTokens,
		KVBytesPerToken:      pool.KVBytesPerToken,
		LesserShare:          pool.LesserShare,
		UseForecast:          pool.Foresight,
		RoleChangeTime:       pool.RoleChange,
		LocalPrefillRatio:    pool.DirectRate,
		TokensPerStreamEvent: pool.EventTokens,
		QueueLimit:           pool.QueueLimit,
		Lease:                s.options.Lease,
		OrphanGrace:          s.options.Grace,
		CancelRetry:          s.options.EngineTimeout,
		RebuildTime:          s.options.Rebuild,
	}
}
