package orderer

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// identity names an engine in the pools table.
type identity struct {
	pool   identifier.Pool
	member identifier.Member
}

// engine is one engine while this node sends the orders.
type engine struct {
	name identity
	// wanted is the row of the pools table.
	wanted tabulator.Member
	// state is what the engine last said; phase tells whether it said anything.
	state State
	phase Phase
	// due is when it is read next.
	due time.Time
	// ordered is when the last order that is not seen to have worked was sent;
	// zero for none.
	ordered time.Time
	// loading tells that the engine takes up one of the bounded loads.
	loading bool
}

// level tells whether the engine is what the table says.
func (e *engine) level() bool {
	return !e.needsLoad() && e.state.Role == e.wanted.Role
}

// needsLoad tells whether the engine lacks the model, adapter or version.
func (e *engine) needsLoad() bool {
	if e.wanted.Model == "" {
		return false
	}
	return e.state.Model != e.wanted.Model || e.state.Adapter != e.wanted.Adapter || e.state.Version != e.wanted.Version
}

// drains tells whether the engine must finish its requests first.
func (e *engine) drains() bool {
	return e.state.Role != e.wanted.Role && e.state.Running > 0
}

// follow takes the engines over from the configuration in force. A changed row
// makes its engine due at once.
func (o *Orderer) follow(snapshot *tabulator.Snapshot) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.loads = max(1, snapshot.Pools.ConcurrentLoads)
	wanted := map[identity]bool{}
	for _, pool := range snapshot.Pools.Pools {
		if pool.Kind != tabulator.Models {
			continue
		}
		for _, member := range pool.Members {
			if member.Leaving {
				continue
			}
			name := identity{pool.Name, member.Name}
			wanted[name] = true
			known, ok := o.engines[name]
			switch {
			case !ok || known.wanted.Address != member.Address:
				o.engines[name] = &engine{name: name, wanted: member, phase: PhaseUnread}
			case known.wanted != member:
				known.wanted, known.due, known.ordered = member, time.Time{}, time.Time{}
			}
		}
	}
	for name := range o.engines {
		if !wanted[name] {
			delete(o.engines, name)
		}
	}
}

// tend reads the engines that are due and orders those that differ, a bounded
// number at once, and waits for all calls.
func (o *Orderer) tend(ctx context.Context) {
	due := o.dueEngines()
	ended := make(chan struct{}, len(due))
	for _, engine := range due {
		go func() {
			o.read(ctx, engine)
			ended <- struct{}{}
		}()
	}
	for range due {
		<-ended
	}
	o.noteAudit()
	for _, engine := range due {
		order, ok := o.plan(engine)
		if !ok {
			ended <- struct{}{}
			continue
		}
		go func() {
			o.send(ctx, engine, order)
			ended <- struct{}{}
		}()
	}
	for range due {
		<-ended
	}
}

func (o *Orderer) dueEngines() []*engine {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := time.Now()
	var due []*engine
	for _, engine := range o.engines {
		if !now.Before(engine.due) {
			due = append(due, engine)
		}
	}
	slices.SortFunc(due, func(a, b *engine) int {
		return cmp.Or(a.due.Compare(b.due), cmp.Compare(a.name.pool, b.name.pool), cmp.Compare(a.name.member, b.name.member))
	})
	return due[:min(len(due), o.options.Calls)]
}

// read asks an engine for its state and decides its next phase.
func (o *Orderer) read(ctx context.Context, e *engine) {
	ctx, cancel := context.WithTimeout(ctx, o.options.OrderTimeout)
	defer cancel()
	state, err := o.options.Engines.State(ctx, e.wanted)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	e.due = time.Now().Add(o.options.ReadBackInterval)
	if err != nil {
		o.note(eventEngineSilent, e, logger.Fields{"error": err.Error()})
		return
	}
	e.state = state
	e.loading = state.Loading || e.loading && e.needsLoad() && !e.ordered.IsZero()
	if e.level() && !state.Loading {
		if e.phase != PhaseLevel {
			o.note(eventLevel, e, logger.Fields{"role": state.Role})
		}
		e.phase, e.ordered, e.loading = PhaseLevel, time.Time{}, false
		e.due = time.Now().Add(o.options.AuditInterval/2 + time.Duration(o.random.Int64N(int64(o.options.AuditInterval))))
		return
	}
	if e.phase == PhaseUnread || e.phase == PhaseLevel {
		e.phase = PhaseWaiting
	}
}

// noteAudit remembers when every engine has been asked once.
func (o *Orderer) noteAudit() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.audited {
		return
	}
	for _, engine := range o.engines {
		if engine.due.IsZero() {
			return
		}
	}
	o.audited = true
}

// plan returns the order that an engine needs, if one may be sent now.
func (o *Orderer) plan(e *engine) (Order, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if e.phase == PhaseUnread || e.phase == PhaseLevel || e.state.Loading {
		return Order{}, false
	}
	if !e.ordered.IsZero() {
		if time.Since(e.ordered) < o.options.EffectTimeout {
			return Order{}, false
		}
		o.note(eventOverdue, e, nil)
		e.ordered, e.loading = time.Time{}, false
	}
	if e.drains() {
		if e.phase != PhaseDraining {
			o.note(eventDraining, e, logger.Fields{"running": e.state.Running})
		}
		e.phase = PhaseDraining
		return Order{}, false
	}
	e.phase = PhaseWaiting
	if e.needsLoad() && !o.audited || e.needsLoad() && o.loadsUnderWay() >= o.loads {
		return Order{}, false
	}
	if !o.lease.maySend(e.wanted.ChecksFencing) {
		return Order{}, false
	}
	e.phase, e.ordered, e.loading = PhaseOrdered, time.Now(), e.needsLoad()
	return Order{
		Model: e.wanted.Model, Adapter: e.wanted.Adapter, Version: e.wanted.Version,
		Role: e.wanted.Role, Fence: o.lease.fence(),
	}, true
}

// loadsUnderWay counts the engines that load weights.
func (o *Orderer) loadsUnderWay() int {
	count := 0
	for _, engine := range o.engines {
		if engine.loading {
			count++
		}
	}
	return count
}

// send sends an order. Its answer is no proof of its effect, and an error none
// of its failure; both are read back.
func (o *Orderer) send(ctx context.Context, e *engine, order Order) {
	ctx, cancel := context.WithTimeout(ctx, o.options.OrderTimeout)
	defer cancel()
	if !o.lease.maySend(e.wanted.ChecksFencing) {
		// The process was paused since the order was planned.
		o.withdraw(e)
		return
	}
	o.options.Scope.Counter("orders-sent").Inc(1)
	o.note(eventOrdered, e, logger.Fields{
		"model": order.Model, "version": order.Version, "role": order.Role, "fence": order.Fence,
	})
	err := o.options.Engines.Order(ctx, e.wanted, order)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	switch {
	case err == nil:
		o.lease.refused = 0
	case errorx.IsOfType(err, Fenced):
		o.note(eventFenced, e, logger.Fields{"fence": order.Fence})
		// The next lease write carries a larger number.
		o.lease.refused++
		e.ordered, e.loading, e.phase = time.Time{}, false, PhaseWaiting
	default:
		o.unsure = time.Now()
	}
}

// withdraw forgets an order that was not sent.
func (o *Orderer) withdraw(e *engine) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	e.ordered, e.loading, e.phase = time.Time{}, false, PhaseWaiting
}

// note logs an event of an engine.
func (o *Orderer) note(event logger.Event, e *engine, fields logger.Fields) {
	named := logger.Fields{"pool": e.name.pool, "member": e.name.member}
	maps.Copy(named, fields)
	o.options.Log.Log(event, named)
}
