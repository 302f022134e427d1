// Package switcher has engines change between the prefill and the decode role
// where the requests need another split than the engines were set up with.
//
// An engine must never get orders from two nodes. Which nodes place may be seen
// differently by two of them for a while, and engines need not check fencing
// numbers. So each process of an engine gets at most one order, from the node that
// created its claim in the store: there is no lease to lapse and no order that a
// later one could overtake. The price is that an engine cannot change back before
// it has restarted; another one changes instead.
package switcher

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/forwarder"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/storer"
)

// KindClaim holds an entry for each process of an engine that a node has ordered.
const KindClaim storer.Kind = "foxtailspool-claims"

const (
	// interval is the time between two looks at the splits, short beside the time
	// of a change.
	interval = 500 * time.Millisecond
	// failurePause keeps a store that is away from being asked at each look.
	failurePause = 3 * time.Second
	// leastAge is how long an engine must have been listed before it is ordered:
	// longer than an order to an earlier process at its address can be under way.
	leastAge = 6 * time.Second
	// certainAge is the age by the engine's own word from which on it counts as old
	// enough, also for a node that has just started: more than clocks differ by.
	certainAge = 30 * time.Second
	// goneTime is how long an engine must be off the list before its claim is removed:
	// longer than entries that lapsed while the store was away take to come back.
	goneTime = time.Minute
	// orderTimeout bounds one order, orderTries how often it is sent: an engine
	// answers at once, and a second order of the same node changes nothing.
	orderTimeout = 700 * time.Millisecond
	orderTries   = 2
)

// Placer decides which engines should change.
type Placer interface {
	RoleChanges(now time.Time) []placer.RoleChange
	Changing(now time.Time, change placer.RoleChange)
}

// Engines carries orders.
type Engines interface {
	// ChangeRole tells an engine to change its role. After any error the order may
	// have arrived.
	ChangeRole(ctx context.Context, engine forwarder.Backend, order Order) error
}

// Store keeps the claims; storer.Store tells what its methods do.
type Store interface {
	Get(ctx context.Context, kind storer.Kind, name string) (storer.Object, error)
	Create(ctx context.Context, object storer.Object) (storer.Object, error)
	Delete(ctx context.Context, object storer.Object) error
}

// Order tells an engine what to become, and who says so.
type Order struct {
	Role   identifier.Role
	Holder identifier.Node
	Fence  identifier.Fence
}

// Options sets up a switcher.
type Options struct {
	Self        identifier.Node
	Incarnation identifier.Incarnation
	Store       Store
	// Fence is the fencing number that the version of a new claim gives.
	Fence   func(storer.Version) identifier.Fence
	Table   func() *forwarder.Table
	Placer  Placer
	Engines Engines
	Log     *logger.Logger
}

// Switcher orders engines to change.
type Switcher struct {
	options Options
	// seen is since when each process of an engine is listed.
	seen map[string]time.Time
	// noted is the table that seen was made from; tables are swapped whole.
	noted *forwarder.Table
	// claims are this process's, by name.
	claims map[string]*claim
	// pausedUntil is when the store may be asked again after a failure.
	pausedUntil time.Time
}

// claim is this process's claim on a process of an engine.
type claim struct {
	object storer.Object
	// listed is when the engine was last on the list.
	listed time.Time
}

// New returns a switcher.
func New(options Options) *Switcher {
	return &Switcher{options: options, seen: map[string]time.Time{}, claims: map[string]*claim{}}
}

// Run looks at the splits until ctx ends.
func (s *Switcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.look(ctx)
		}
	}
}

// look carries out the changes that the placer asks for.
func (s *Switcher) look(ctx context.Context) {
	table := s.options.Table()
	s.note(time.Now(), table)
	s.removeOld(ctx, time.Now())
	for _, change := range s.options.Placer.RoleChanges(time.Now()) {
		engine, listed := table.Find(change.Member)
		if !listed || time.Now().Before(s.pausedUntil) {
			continue
		}
		if time.Since(s.seen[claimName(engine)]) < leastAge && time.Since(engine.Started) < certainAge {
			continue
		}
		s.change(ctx, engine, change)
	}
}

// note remembers since when engines are listed, and forgets those that are gone.
func (s *Switcher) note(now time.Time, table *forwarder.Table) {
	if table == s.noted {
		return
	}
	s.noted = table
	listed := make(map[string]time.Time, len(s.seen))
	for _, engine := range table.Engines() {
		name := claimName(engine)
		since, known := s.seen[name]
		if !known {
			since = now
		}
		listed[name] = since
	}
	s.seen = listed
}

// removeOld removes the claims on engines that are gone. What fails is tried again at
// a later look.
func (s *Switcher) removeOld(ctx context.Context, now time.Time) {
	for name, held := range s.claims {
		if _, listed := s.seen[name]; listed {
			held.listed = now
			continue
		}
		if now.Sub(held.listed) < goneTime || now.Before(s.pausedUntil) {
			continue
		}
		err := s.options.Store.Delete(ctx, held.object)
		if err != nil && !errorx.IsOfType(err, storer.NotFound) {
			s.pausedUntil = now.Add(failurePause)
			s.options.Log.Log(eventClaimKept, logger.Fields{"claim": name, "error": err.Error()})
			continue
		}
		delete(s.claims, name)
	}
}

// change claims an engine and tells it to change.
func (s *Switcher) change(ctx context.Context, engine forwarder.Backend, change placer.RoleChange) {
	s.log(eventWanted, engine, logger.Fields{
		"role":       change.Role,
		"prefill-us": change.Reason.PrefillTime.Microseconds(),
		"decode-us":  change.Reason.DecodeTime.Microseconds(),
		"prefills":   change.Reason.Prefills,
		"decodes":    change.Reason.Decodes,
		"wanted":     change.Reason.BestPrefills,
	})
	fence, mine, err := s.claim(ctx, engine)
	if err != nil {
		s.pausedUntil = time.Now().Add(failurePause)
		s.log(eventClaimFailed, engine, logger.Fields{"error": err.Error()})
		return
	}
	// Whoever has the claim, the engine changes now or not at all.
	s.options.Placer.Changing(time.Now(), change)
	if !mine {
		s.log(eventClaimed, engine, logger.Fields{})
		return
	}
	s.order(ctx, engine, Order{Role: change.Role, Holder: s.options.Self, Fence: fence})
}

// order sends an order, once more if its answer is lost.
func (s *Switcher) order(ctx context.Context, engine forwarder.Backend, order Order) {
	var err error
	for range orderTries {
		err = s.send(ctx, engine, order)
		if err == nil {
			s.log(eventOrdered, engine, logger.Fields{"role": order.Role, "fence": order.Fence})
			return
		}
	}
	s.log(eventOrderFailed, engine, logger.Fields{"role": order.Role, "error": err.Error()})
}

// log tells what becomes of an engine.
func (s *Switcher) log(event logger.Event, engine forwarder.Backend, fields logger.Fields) {
	fields["engine"] = engine.Name
	s.options.Log.Log(event, fields)
}

func (s *Switcher) send(ctx context.Context, engine forwarder.Backend, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return s.options.Engines.ChangeRole(ctx, engine, order)
}

// wireClaim tells which process of which node may order an engine.
type wireClaim struct {
	Node        identifier.Node        `json:"node"`
	Incarnation identifier.Incarnation `json:"incarnation"`
}

// claimName names one process of an engine.
func claimName(engine forwarder.Backend) string {
	return string(engine.Name) + "." + strconv.FormatInt(engine.Started.UnixMilli(), 36)
}

// claim creates the claim on an engine. It tells whether it is this process's, also
// where the answer of an earlier try was lost.
func (s *Switcher) claim(ctx context.Context, engine forwarder.Backend) (fence identifier.Fence, mine bool, err error) {
	own := wireClaim{Node: s.options.Self, Incarnation: s.options.Incarnation}
	spec, err := json.Marshal(own)
	if err != nil {
		return 0, false, err
	}
	name := claimName(engine)
	created, err := s.options.Store.Create(ctx, storer.Object{Kind: KindClaim, Name: name, Spec: spec})
	if err == nil {
		s.claims[name] = &claim{object: created, listed: time.Now()}
		return s.options.Fence(created.Version), true, nil
	}
	if !errorx.IsOfType(err, storer.Conflict) {
		return 0, false, err
	}
	known, err := s.options.Store.Get(ctx, KindClaim, name)
	if err != nil {
		return 0, false, err
	}
	var holder wireClaim
	if err := json.Unmarshal(known.Spec, &holder); err != nil {
		// A claim that cannot be read is somebody's.
		s.log(eventClaimUnreadable, engine, logger.Fields{"error": err.Error()})
		holder = wireClaim{}
	}
	if holder == own {
		s.claims[name] = &claim{object: known, listed: time.Now()}
	}
	return s.options.Fence(known.Version), holder == own, nil
}
