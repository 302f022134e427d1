package dispatcher

import (
	"context"
	"time"

	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// pollEngines asks the shard's engines for their load until ctx ends.
func (s *shard) pollEngines(ctx context.Context) {
	ticker := time.NewTicker(s.options.Poll)
	defer ticker.Stop()
	for ctx.Err() == nil {
		s.pollAll(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// pollAll asks all engines at once and waits for them.
func (s *shard) pollAll(ctx context.Context) {
	if !s.server.owns(s.options.View(), s.id) {
		return
	}
	group := newGroup()
	for _, member := range s.currentMembers() {
		group.start(ctx, func(ctx context.Context) { s.pollOne(ctx, member) })
	}
	group.wait()
	s.signal()
}

func (s *shard) currentMembers() []tabulator.Member {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.configure()
	list := make([]tabulator.Member, 0, len(s.members))
	for _, member := range s.members {
		list = append(list, member)
	}
	return list
}

func (s *shard) pollOne(ctx context.Context, member tabulator.Member) {
	ctx, stop := context.WithTimeout(ctx, s.options.EngineTimeout)
	defer stop()
	s.mutex.Lock()
	seen := s.loads[member.Name].CachePosition
	s.mutex.Unlock()
	asked := time.Now()
	load, err := s.options.Engines.Load(ctx, s.id.pool, member, seen)
	load.TakenAt = asked.Add(-load.Age)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		s.placer.EngineUnreachable(time.Now(), member.Name)
		if !s.silent[member.Name] {
			s.silent[member.Name] = true
			s.options.Log.Log(eventLoadFailed, logger.Fields{"member": member.Name, "error": err.Error()})
		}
		return
	}
	delete(s.silent, member.Name)
	s.loads[member.Name] = load
	s.placer.ReportLoad(time.Now(), member.Name, load)
}

// sendOrders starts the cancels that the placer ordered.
func (s *shard) sendOrders(ctx context.Context, group *group) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, order := range s.orders {
		if s.sending[order.Grant] {
			continue
		}
		s.sending[order.Grant] = true
		members := s.orderedMembers(order)
		group.start(ctx, func(ctx context.Context) { s.cancel(ctx, order, members) })
	}
	s.orders = s.orders[:0]
}

func (s *shard) orderedMembers(order placer.Cancellation) []tabulator.Member {
	var list []tabulator.Member
	for _, name := range order.Members {
		if member, known := s.members[name]; known {
			list = append(list, member)
		}
	}
	return list
}

// cancel asks each engine of an order to drop the attempt. The placer repeats
// the order until all of them have confirmed.
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
	delete(s.sending, order.Grant)
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
	s.server.metrics.count("cancelled")
	s.options.Log.Log(eventCancelled, fields)
	return nil
}
