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

// server serves the shards that this node owns.
type server struct {
	options Options
	metrics metrics
	// mutex guards the fields below.
	mutex  sync.Mutex
	shards map[shardID]*shard
	// startShard starts a shard's goroutine; it is nil while run is not running.
	startShard func(*shard)
	owners     *ownerCache
	// generation keeps grant IDs unique when a shard is opened again.
	generation int
}

func newServer(options Options, m metrics) *server {
	return &server{options: options, metrics: m, shards: map[shardID]*shard{}, owners: &ownerCache{}}
}

// run opens shards as this node becomes their owner, until ctx ends.
func (s *server) run(ctx context.Context) {
	group := newGroup()
	s.mutex.Lock()
	s.startShard = func(sh *shard) { group.start(ctx, sh.run) }
	s.mutex.Unlock()
	ticker := time.NewTicker(s.options.LoadInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		s.openOwnedShards()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	s.mutex.Lock()
	s.startShard = nil
	s.mutex.Unlock()
	group.wait()
}

func (s *server) openOwnedShards() {
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
				s.openShard(id, pool)
			}
		}
	}
}

func (s *server) owns(view *assigner.View, id shardID) bool {
	return s.owners.ownerOf(view, id).Node == s.options.Self
}

// openShard returns a shard, which it creates and starts if there is none. It
// returns nil if the server is not running.
func (s *server) openShard(id shardID, pool tabulator.Pool) *shard {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if existing := s.shards[id]; existing != nil {
		return existing
	}
	if s.startShard == nil {
		return nil
	}
	s.generation++
	created := newShard(id, s.newIssuer(), pool, s)
	s.shards[id] = created
	s.startShard(created)
	s.options.Log.Log(eventOwned, logger.Fields{"shard": id.String(), "issuer": created.issuer})
	return created
}

// newIssuer returns the prefix of grant IDs for the current generation. It is a
// hash to keep renewals small, because each one carries a grant ID.
func (s *server) newIssuer() string {
	name := fmt.Sprintf("%s.%d.%d", s.options.Self, s.options.View().Self.Incarnation, s.generation)
	return strconv.FormatUint(xxhash.Sum64String(name), 36)
}

// dropShard removes a shard that has stopped.
func (s *server) dropShard(id shardID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.shards, id)
	s.options.Log.Log(eventDropped, logger.Fields{"shard": id.String()})
}

// findOwnedShard returns the shard for an RPC, or the twirp error to return.
func (s *server) findOwnedShard(pool string, index uint32) (*shard, error) {
	id := shardID{pool: identifier.Pool(pool), index: index}
	snapshot := s.options.Snapshot()
	if snapshot == nil {
		return nil, twirp.NewError(twirp.Unavailable, "no configuration yet")
	}
	entry, ok := snapshot.Pool(id.pool)
	if !ok || entry.Kind != tabulator.Models {
		return nil, twirp.NewError(twirp.NotFound, "no such pool")
	}
	if !s.owns(s.options.View(), id) {
		return nil, twirp.NewError(twirp.Unavailable, "not the owner")
	}
	if sh := s.openShard(id, entry); sh != nil {
		return sh, nil
	}
	return nil, twirp.NewError(twirp.Unavailable, "not running")
}

// Exchange handles one batch of a node and returns the decisions so far.
func (s *server) Exchange(_ context.Context, request *dispatcherrpc.ExchangeRequest) (*dispatcherrpc.ExchangeResponse, error) {
	sh, err := s.findOwnedShard(request.GetPool(), request.GetShard())
	if err != nil {
		return nil, err
	}
	return sh.exchange(time.Now(), request)
}

// Collect waits until there are decisions for a node, for at most MaxCollectWait.
func (s *server) Collect(ctx context.Context, request *dispatcherrpc.CollectRequest) (*dispatcherrpc.CollectResponse, error) {
	sh, err := s.findOwnedShard(request.GetPool(), request.GetShard())
	if err != nil {
		return nil, err
	}
	decisions, err := sh.waitForDecisions(ctx, identifier.Node(request.GetNode()))
	if err != nil {
		return nil, err
	}
	return &dispatcherrpc.CollectResponse{Decisions: decisions}, nil
}

func (s *server) placerSettings(issuer string, pool tabulator.Pool) placer.Settings {
	settings := placer.Settings{
		Issuer:               issuer,
		PieceTokens:          pool.PieceTokens,
		KVBytesPerToken:      pool.KVBytesPerToken,
		LesserShare:          pool.LesserShare,
		UseForecast:          pool.UseForecast,
		RoleChangeTime:       pool.RoleChangeTime,
		LocalPrefillRatio:    pool.LocalPrefillRatio,
		TokensPerStreamEvent: pool.TokensPerStreamEvent,
		QueueLimit:           pool.QueueLimit,
		Lease:                s.options.Lease,
		OrphanGrace:          s.options.TakeoverGrace,
		CancelRetry:          s.options.EngineTimeout,
		RebuildTime:          s.options.RebuildPeriod,
	}
	if s.options.OnRevoked == nil {
		// No node would stop a stream whose grant is revoked.
		settings.DisabledFeatures |= placer.Preemption
	}
	return settings
}
