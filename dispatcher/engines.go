package dispatcher

import (
	"context"
	"time"

	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// pollEngines polls the load of the shard's engines until ctx ends.
func (s *shard) pollEngines(ctx context.Context) {
	ticker := time.NewTicker(s.options.LoadInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		s.pollAll(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// pollAll polls all engines at once and waits for them, if this node owns the shard.
func (s *shard) pollAll(ctx context.Context) {
	if !s.server.owns(s.options.View(), s.id) {
		return
	}
	group := newGroup()
	for _, member := range s.currentMembers() {
		group.start(ctx, func(ctx context.Context) { s.pollEngine(ctx, member) })
	}
	group.wait()
	s.signal()
}

func (s *shard) currentMembers() []tabulator.Member {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.applyConfiguration()
	list := make([]tabulator.Member, 0, len(s.members))
	for _, member := range s.members {
		list = append(list, member)
	}
	return list
}

func (s *shard) pollEngine(ctx context.Context, member tabulator.Member) {
	ctx, stop := context.WithTimeout(ctx, s.options.EngineTimeout)
	defer stop()
	s.mutex.Lock()
	position := s.loads[member.Name].CachePosition
	s.mutex.Unlock()
	requestedAt := time.Now()
	load, err := s.options.Engines.Load(ctx, s.id.pool, member, position)
	load.TakenAt = requestedAt.Add(-load.Age)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		s.placer.EngineUnreachable(time.Now(), member.Name)
		if !s.loadFailed[member.Name] {
			s.loadFailed[member.Name] = true
			s.options.Log.Log(eventLoadFailed, logger.Fields{"member": member.Name, "error": err.Error()})
		}
		return
	}
	delete(s.loadFailed, member.Name)
	s.loads[member.Name] = load
	s.placer.ReportLoad(time.Now(), member.Name, load)
}

// startCancels starts the ordered cancels that are not already in flight.
func (s *shard) startCancels(ctx context.Context, group *group) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, order := range s.cancelOrders {
		if s.cancelsInFlight[order.Grant] {
			continue
		}
		s.cancelsInFlight[order.Grant] = true
		members := s.cancelTargets(order)
		group.start(ctx, func(ctx context.Context) { s.cancel(ctx, order, members) })
	}
	s.cancelOrders = s.cancelOrders[:0]
}

// cancelTargets returns the members of an order that are still in the shard. The
// caller must hold the mutex.
func (s *shard) cancelTargets(order placer.Cancellation) []tabulator.Member {
	var list []tabulator.Member
	for _, name := range order.Members {
		if member, known := s.members[name]; known {
			list = append(list, member)
		}
	}
	return list
}

// cancel cancels the attempt on each engine of an order. The placer repeats the
// order until all engines have confirmed.
func (s *shard) cancel(ctx context.Context, order placer.Cancellation, members []tabulator.Member) {
	ctx, stop := context.WithTimeout(ctx, s.options.EngineTimeout)
	defer stop()
	confirmed := true
	for _, member := range members {
		if err := s.cancelOn(ctx, order, member); err != nil {
			confirmed = false
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.cancelsInFlight, order.Grant)
	if confirmed {
		s.placer.ConfirmCancel(time.Now(), order.Grant)
	}
	s.signal()
}

func (s *shard) cancelOn(ctx context.Context, order placer.Cancellation, member tabulator.Member) error {
	err := s.options.Engines.Cancel(ctx, s.id.pool, member, order.Request, order.Stream, order.Attempt)
	fields := logger.Fields{"request": order.Request, "attempt": order.Attempt, "member": member.Name}
	if err != nil {
		fields["error"] = err.Error()
		s.options.Log.Log(eventCancelFailed, fields)
		return err
	}
	s.server.metrics.increment("cancelled")
	s.options.Log.Log(eventCancelled, fields)
	return nil
}
