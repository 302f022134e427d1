// Package switcher orders engines to change between the prefill and the decode role
// when the requests need a different split from the configured one.
//
// An engine must never get orders from two nodes. Two nodes may disagree for a while on
// which nodes place requests, and engines need not check fencing numbers. So each
// process of an engine gets at most one order, from the node that created the engine's
// claim in the store. There is then no lease that can expire, and no earlier order that
// can arrive after a later one. The cost is that an engine cannot change back before it
// restarts; another engine changes instead.
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

// KindClaim is the kind of the claims. Each engine process that gets an order has one.
const KindClaim storer.Kind = "foxtailspool-claims"

const (
	// checkInterval is the time between two checks for wanted role changes. It is short
	// compared to the time that a role change takes.
	checkInterval = 500 * time.Millisecond
	// storeRetryDelay is the pause after a failed call to the store, so that an
	// unavailable store is not called at each check.
	storeRetryDelay = 3 * time.Second
	// minListedTime is how long an engine must be listed before it gets an order. It
	// exceeds the time that an order to an earlier process at its address is in flight.
	minListedTime = 6 * time.Second
	// minReportedAge is the time since its reported start after which an engine needs
	// no minListedTime, so that a node that has just started can order it. It exceeds
	// the difference between clocks.
	minReportedAge = 30 * time.Second
	// claimRemovalDelay is how long an engine must be unlisted before its claim is
	// removed. Entries that expired in a store outage reappear sooner than that.
	claimRemovalDelay = time.Minute
	// orderTimeout limits one attempt to send an order. An engine answers at once.
	orderTimeout = 700 * time.Millisecond
	// orderAttempts is the maximum number of times that an order is sent. Repeating an
	// order of the same node changes nothing.
	orderAttempts = 2
)

// Placer decides which engines change their role.
type Placer interface {
	RoleChanges(now time.Time) []placer.RoleChange
	Changing(now time.Time, change placer.RoleChange)
}

// Engines sends orders to engines.
type Engines interface {
	// ChangeRole orders an engine to change its role. After any error the order may
	// have arrived.
	ChangeRole(ctx context.Context, engine forwarder.Backend, order Order) error
}

// Store stores the claims. Its methods are those of storer.Store.
type Store interface {
	Get(ctx context.Context, kind storer.Kind, name string) (storer.Object, error)
	Create(ctx context.Context, object storer.Object) (storer.Object, error)
	Delete(ctx context.Context, object storer.Object) error
}

// Order is a role that an engine must take on, with the sender and its fencing number.
type Order struct {
	Role   identifier.Role
	Holder identifier.Node
	Fence  identifier.Fence
}

// Options configures a switcher.
type Options struct {
	Self        identifier.Node
	Incarnation identifier.Incarnation
	Store       Store
	// Fence derives the fencing number from the version of a new claim.
	Fence   func(storer.Version) identifier.Fence
	Table   func() *forwarder.Table
	Placer  Placer
	Engines Engines
	Log     *logger.Logger
}

// Switcher sends engines the role changes that the placer wants.
type Switcher struct {
	options Options
	// listedSince is when each process of an engine was first listed, by claim name.
	listedSince map[string]time.Time
	// lastTable is the table that listedSince was built from. Tables are immutable, so
	// the same pointer means the same engines.
	lastTable *forwarder.Table
	// claims are this process's claims, by name.
	claims map[string]*claim
	// storeRetryAt is when the store may be called again after a failure.
	storeRetryAt time.Time
}

// claim is this process's claim on one process of an engine.
type claim struct {
	object     storer.Object
	lastListed time.Time
}

// New returns a switcher.
func New(options Options) *Switcher {
	return &Switcher{options: options, listedSince: map[string]time.Time{}, claims: map[string]*claim{}}
}

// Run checks for wanted role changes until ctx ends.
func (s *Switcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.switchRoles(ctx)
		}
	}
}

// switchRoles carries out the role changes that the placer wants.
func (s *Switcher) switchRoles(ctx context.Context) {
	table := s.options.Table()
	s.trackListed(time.Now(), table)
	s.removeStaleClaims(ctx, time.Now())
	for _, change := range s.options.Placer.RoleChanges(time.Now()) {
		engine, listed := table.Find(change.Member)
		if !listed || time.Now().Before(s.storeRetryAt) {
			continue
		}
		if time.Since(s.listedSince[claimName(engine)]) < minListedTime && time.Since(engine.Started) < minReportedAge {
			continue
		}
		s.claimAndOrder(ctx, engine, change)
	}
}

// trackListed records when engines were first listed and forgets unlisted engines.
func (s *Switcher) trackListed(now time.Time, table *forwarder.Table) {
	if table == s.lastTable {
		return
	}
	s.lastTable = table
	listed := make(map[string]time.Time, len(s.listedSince))
	for _, engine := range table.Engines() {
		name := claimName(engine)
		since, known := s.listedSince[name]
		if !known {
			since = now
		}
		listed[name] = since
	}
	s.listedSince = listed
}

// removeStaleClaims removes the claims on engines that are not listed any more. A
// failed removal is retried at a later check.
func (s *Switcher) removeStaleClaims(ctx context.Context, now time.Time) {
	for name, claimed := range s.claims {
		if _, listed := s.listedSince[name]; listed {
			claimed.lastListed = now
			continue
		}
		if now.Sub(claimed.lastListed) < claimRemovalDelay || now.Before(s.storeRetryAt) {
			continue
		}
		err := s.options.Store.Delete(ctx, claimed.object)
		if err != nil && !errorx.IsOfType(err, storer.NotFound) {
			s.storeRetryAt = now.Add(storeRetryDelay)
			s.options.Log.Log(eventClaimRemovalFailed, logger.Fields{"claim": name, "error": err.Error()})
			continue
		}
		delete(s.claims, name)
	}
}

// claimAndOrder claims an engine and, if that succeeds, orders it to change its role.
func (s *Switcher) claimAndOrder(ctx context.Context, engine forwarder.Backend, change placer.RoleChange) {
	s.logEngine(eventRoleChangeWanted, engine, logger.Fields{
		"role":       change.Role,
		"prefill-us": change.Reason.PrefillTime.Microseconds(),
		"decode-us":  change.Reason.DecodeTime.Microseconds(),
		"prefills":   change.Reason.Prefills,
		"decodes":    change.Reason.Decodes,
		"wanted":     change.Reason.BestPrefills,
	})
	fence, mine, err := s.createClaim(ctx, engine)
	if err != nil {
		s.storeRetryAt = time.Now().Add(storeRetryDelay)
		s.logEngine(eventClaimFailed, engine, logger.Fields{"error": err.Error()})
		return
	}
	// Whichever node holds the claim, this process of the engine changes its role now
	// or never, so the placer must not ask for the change again.
	s.options.Placer.Changing(time.Now(), change)
	if !mine {
		s.logEngine(eventClaimedElsewhere, engine, logger.Fields{})
		return
	}
	s.orderWithRetry(ctx, engine, Order{Role: change.Role, Holder: s.options.Self, Fence: fence})
}

// orderWithRetry sends an order up to orderAttempts times, until one attempt succeeds. It
// repeats the order after any error, because only the answer may have been lost.
func (s *Switcher) orderWithRetry(ctx context.Context, engine forwarder.Backend, order Order) {
	var err error
	for range orderAttempts {
		err = s.sendOnce(ctx, engine, order)
		if err == nil {
			s.logEngine(eventOrderAccepted, engine, logger.Fields{"role": order.Role, "fence": order.Fence})
			return
		}
	}
	s.logEngine(eventOrderFailed, engine, logger.Fields{"role": order.Role, "error": err.Error()})
}

// logEngine adds the engine's name to fields and logs an event.
func (s *Switcher) logEngine(event logger.Event, engine forwarder.Backend, fields logger.Fields) {
	fields["engine"] = engine.Name
	s.options.Log.Log(event, fields)
}

func (s *Switcher) sendOnce(ctx context.Context, engine forwarder.Backend, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return s.options.Engines.ChangeRole(ctx, engine, order)
}

// claimSpec is the content of a claim: the node process that may order the engine.
type claimSpec struct {
	Node        identifier.Node        `json:"node"`
	Incarnation identifier.Incarnation `json:"incarnation"`
}

// claimName returns the name of the claim on one process of an engine.
func claimName(engine forwarder.Backend) string {
	return string(engine.Name) + "." + strconv.FormatInt(engine.Started.UnixMilli(), 36)
}

// createClaim creates the claim on an engine. mine is true if this process holds it,
// including when the answer to an earlier attempt was lost.
func (s *Switcher) createClaim(ctx context.Context, engine forwarder.Backend) (fence identifier.Fence, mine bool, err error) {
	own := claimSpec{Node: s.options.Self, Incarnation: s.options.Incarnation}
	spec, err := json.Marshal(own)
	if err != nil {
		return 0, false, err
	}
	name := claimName(engine)
	created, err := s.options.Store.Create(ctx, storer.Object{Kind: KindClaim, Name: name, Spec: spec})
	if err == nil {
		s.claims[name] = &claim{object: created, lastListed: time.Now()}
		return s.options.Fence(created.Version), true, nil
	}
	if !errorx.IsOfType(err, storer.Conflict) {
		return 0, false, err
	}
	stored, err := s.options.Store.Get(ctx, KindClaim, name)
	if err != nil {
		return 0, false, err
	}
	var holder claimSpec
	if err := json.Unmarshal(stored.Spec, &holder); err != nil {
		// An unreadable claim may belong to another node.
		s.logEngine(eventClaimUnreadable, engine, logger.Fields{"error": err.Error()})
		holder = claimSpec{}
	}
	if holder == own {
		s.claims[name] = &claim{object: stored, lastListed: time.Now()}
	}
	return s.options.Fence(stored.Version), holder == own, nil
}
