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

// engineKey identifies an engine in the pools table.
type engineKey struct {
	pool   identifier.Pool
	member identifier.Member
}

// engine is the record of one engine while this node holds the lease.
type engine struct {
	key engineKey
	// wanted is the engine's row of the pools table.
	wanted tabulator.Member
	// state is what the engine last reported. It is unset in PhaseUnread.
	state    State
	phase    Phase
	nextRead time.Time
	// orderedAt is when the last order was sent, or zero if its effect has been seen or
	// no order is outstanding.
	orderedAt time.Time
	// countsAsLoad is true while the engine counts towards maxLoads.
	countsAsLoad bool
}

// matchesTable reports whether the engine matches its row of the table.
func (e *engine) matchesTable() bool {
	return !e.needsLoad() && e.state.Role == e.wanted.Role
}

// needsLoad reports whether the engine lacks the wanted model, adapter or version.
func (e *engine) needsLoad() bool {
	if e.wanted.Model == "" {
		return false
	}
	return e.state.Model != e.wanted.Model || e.state.Adapter != e.wanted.Adapter || e.state.Version != e.wanted.Version
}

// mustDrain reports whether running requests must finish before the role changes.
func (e *engine) mustDrain() bool {
	return e.state.Role != e.wanted.Role && e.state.Running > 0
}

// syncEngines updates the engine records from the configuration in force. A changed row
// makes its engine due at once.
func (o *Orderer) syncEngines(snapshot *tabulator.Snapshot) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.maxLoads = max(1, snapshot.Pools.ConcurrentLoads)
	wanted := map[engineKey]bool{}
	for _, pool := range snapshot.Pools.Pools {
		if pool.Kind != tabulator.Models {
			continue
		}
		for _, member := range pool.Members {
			if member.Leaving {
				continue
			}
			key := engineKey{pool.Name, member.Name}
			wanted[key] = true
			known, ok := o.engines[key]
			switch {
			case !ok || known.wanted.Address != member.Address:
				o.engines[key] = &engine{key: key, wanted: member, phase: PhaseUnread}
			case known.wanted != member:
				known.wanted, known.nextRead, known.orderedAt = member, time.Time{}, time.Time{}
			}
		}
	}
	for key := range o.engines {
		if !wanted[key] {
			delete(o.engines, key)
		}
	}
}

// reconcile reads the engines that are due and sends orders to those that do not match
// the table. It makes at most MaxCalls calls concurrently and waits for all of them.
func (o *Orderer) reconcile(ctx context.Context) {
	due := o.dueEngines()
	ended := make(chan struct{}, len(due))
	for _, engine := range due {
		go func() {
			o.readState(ctx, engine)
			ended <- struct{}{}
		}()
	}
	for range due {
		<-ended
	}
	o.updateAllRead()
	for _, engine := range due {
		order, ok := o.planOrder(engine)
		if !ok {
			ended <- struct{}{}
			continue
		}
		go func() {
			o.sendOrder(ctx, engine, order)
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
		if !now.Before(engine.nextRead) {
			due = append(due, engine)
		}
	}
	slices.SortFunc(due, func(a, b *engine) int {
		return cmp.Or(a.nextRead.Compare(b.nextRead), cmp.Compare(a.key.pool, b.key.pool), cmp.Compare(a.key.member, b.key.member))
	})
	return due[:min(len(due), o.options.MaxCalls)]
}

// readState reads an engine's state and updates its record and phase.
func (o *Orderer) readState(ctx context.Context, e *engine) {
	ctx, cancel := context.WithTimeout(ctx, o.options.OrderTimeout)
	defer cancel()
	state, err := o.options.Engines.State(ctx, e.wanted)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	e.nextRead = time.Now().Add(o.options.ReadBackInterval)
	if err != nil {
		o.logEngine(eventStateReadFailed, e, logger.Fields{"error": err.Error()})
		return
	}
	e.state = state
	e.countsAsLoad = state.Loading || e.countsAsLoad && e.needsLoad() && !e.orderedAt.IsZero()
	if e.matchesTable() && !state.Loading {
		if e.phase != PhaseMatching {
			o.logEngine(eventMatches, e, logger.Fields{"role": state.Role})
		}
		e.phase, e.orderedAt, e.countsAsLoad = PhaseMatching, time.Time{}, false
		e.nextRead = time.Now().Add(o.options.AuditInterval/2 + time.Duration(o.random.Int64N(int64(o.options.AuditInterval))))
		return
	}
	if e.phase == PhaseUnread || e.phase == PhaseMatching {
		e.phase = PhaseWaiting
	}
}

// updateAllRead sets allRead once every engine has been read or has failed to answer.
func (o *Orderer) updateAllRead() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.allRead {
		return
	}
	for _, engine := range o.engines {
		if engine.nextRead.IsZero() {
			return
		}
	}
	o.allRead = true
}

// planOrder returns and records the order that an engine needs, if one can be sent now.
func (o *Orderer) planOrder(e *engine) (Order, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if e.phase == PhaseUnread || e.phase == PhaseMatching || e.state.Loading {
		return Order{}, false
	}
	if !e.orderedAt.IsZero() {
		if time.Since(e.orderedAt) < o.options.EffectTimeout {
			return Order{}, false
		}
		o.logEngine(eventNoEffect, e, nil)
		e.orderedAt, e.countsAsLoad = time.Time{}, false
	}
	if e.mustDrain() {
		if e.phase != PhaseDraining {
			o.logEngine(eventDraining, e, logger.Fields{"running": e.state.Running})
		}
		e.phase = PhaseDraining
		return Order{}, false
	}
	e.phase = PhaseWaiting
	if e.needsLoad() && !o.allRead || e.needsLoad() && o.countLoads() >= o.maxLoads {
		return Order{}, false
	}
	if !o.lease.canSend(e.wanted.ChecksFencing) {
		return Order{}, false
	}
	e.phase, e.orderedAt, e.countsAsLoad = PhaseOrdered, time.Now(), e.needsLoad()
	return Order{
		Model: e.wanted.Model, Adapter: e.wanted.Adapter, Version: e.wanted.Version,
		Role: e.wanted.Role, Fence: o.lease.fence(),
	}, true
}

// countLoads counts the engines that load weights. The caller must hold the mutex.
func (o *Orderer) countLoads() int {
	count := 0
	for _, engine := range o.engines {
		if engine.countsAsLoad {
			count++
		}
	}
	return count
}

// sendOrder sends an order. A success does not prove that the order took effect, and an
// error does not prove that it failed, so readState later checks the engine's state.
func (o *Orderer) sendOrder(ctx context.Context, e *engine, order Order) {
	ctx, cancel := context.WithTimeout(ctx, o.options.OrderTimeout)
	defer cancel()
	if !o.lease.canSend(e.wanted.ChecksFencing) {
		// The lease may have expired if the process was paused after planning.
		o.cancelOrder(e)
		return
	}
	o.options.Scope.Counter("orders-sent").Inc(1)
	o.logEngine(eventOrderSent, e, logger.Fields{
		"model": order.Model, "version": order.Version, "role": order.Role, "fence": order.Fence,
	})
	err := o.options.Engines.SendOrder(ctx, e.wanted, order)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	switch {
	case err == nil:
		o.lease.fenceRefusals = 0
	case errorx.IsOfType(err, Fenced):
		o.logEngine(eventFenced, e, logger.Fields{"fence": order.Fence})
		// The next write of the lease carries a larger fencing number.
		o.lease.fenceRefusals++
		e.orderedAt, e.countsAsLoad, e.phase = time.Time{}, false, PhaseWaiting
	default:
		o.lastUncertainOrder = time.Now()
	}
}

// cancelOrder resets the record of an order that was planned but not sent.
func (o *Orderer) cancelOrder(e *engine) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	e.orderedAt, e.countsAsLoad, e.phase = time.Time{}, false, PhaseWaiting
}

// logEngine logs an event with the engine's pool and member.
func (o *Orderer) logEngine(event logger.Event, e *engine, fields logger.Fields) {
	allFields := logger.Fields{"pool": e.key.pool, "member": e.key.member}
	maps.Copy(allFields, fields)
	o.options.Log.Log(event, allFields)
}
