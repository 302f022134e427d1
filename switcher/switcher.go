// Package switcher orders engines to change between the prefill and the decode role
// when the requests need a different split from the configured one.
//
// An engine must never get orders from two nodes. Two nodes may disagree for a while on
// which nodes place requests, and engines need not check fencing numbers. So each
// process of an engine gets at most one order, from the node that created the engine's
// claim in the store. There is then no lease that can expire, and no earlier order that
// can arrive after a later one. The cost is that an engine cannot change back before it
// restarts; another engine changes instead.
//
// A store that is restored from a backup loses the claims that were created since the
// backup. Their holders write them again, and no node sends an order before
// claimRecoveryTime has passed since it learned of the restore. By then all orders under
// lost claims have arrived, so an order of another node under a new claim, which has a
// higher fencing number, does no harm if the former holder is gone.
package switcher

import (
	"context"
	"encoding/json"
	"strconv"
	"sync/atomic"
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
	// maxOrderDelay is the longest time after which an engine carries out an order whose
	// answer was lost, as the platform's list of faults states it.
	maxOrderDelay = 12 * time.Second
	// minHolderGap is the shortest time between orders of two nodes to one engine. It is
	// the platform's bound for holders that take turns.
	minHolderGap = 3 * time.Second
	// claimRecoveryTime is how long no order is sent after a restore of the store.
	claimRecoveryTime = maxOrderDelay + minHolderGap + orderAttempts*orderTimeout
	// firstGeneration is the generation of a store that was never restored.
	firstGeneration storer.Generation = 1
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
	Fence func(storer.Version) identifier.Fence
	// Generation returns the store's generation in which a version was read or written.
	Generation func(storer.Version) storer.Generation
	Table      func() *forwarder.Table
	Placer     Placer
	Engines    Engines
	Log        *logger.Logger
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
	// generation is the latest generation of the store that Run has handled.
	generation storer.Generation
	// resumeAt is when orders may be sent again after a restore of the store.
	resumeAt time.Time
	// reportedGeneration is the latest storer.Generation passed to StoreRestored.
	reportedGeneration atomic.Uint64
}

// claim is this process's claim on one process of an engine.
type claim struct {
	lastListed time.Time
	// generation is the generation of the store that is known to contain the claim.
	generation storer.Generation
}

// New returns a switcher.
func New(options Options) *Switcher {
	return &Switcher{
		options:     options,
		listedSince: map[string]time.Time{},
		claims:      map[string]*claim{},
		generation:  firstGeneration,
	}
}

// StoreRestored reports the generation of the store. It does not block and is safe for
// concurrent use. A generation that is not later than those reported before has no effect.
func (s *Switcher) StoreRestored(generation storer.Generation) {
	for {
		reported := s.reportedGeneration.Load()
		if uint64(generation) <= reported || s.reportedGeneration.CompareAndSwap(reported, uint64(generation)) {
			return
		}
	}
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
	s.enterGeneration(storer.Generation(s.reportedGeneration.Load()))
	s.removeStaleClaims(ctx, time.Now())
	s.restoreClaims(ctx)
	for _, change := range s.options.Placer.RoleChanges(time.Now()) {
		engine, listed := table.Find(change.Member)
		if !listed || time.Now().Before(s.storeRetryAt) || time.Now().Before(s.resumeAt) {
			continue
		}
		if time.Since(s.listedSince[claimName(engine)]) < minListedTime && time.Since(engine.Started) < minReportedAge {
			continue
		}
		s.claimAndOrder(ctx, engine, change)
	}
}

// enterGeneration suspends orders if generation is later than those seen before. A node
// that starts after a restore cannot know how long ago that was, so it waits too.
func (s *Switcher) enterGeneration(generation storer.Generation) {
	if generation <= s.generation {
		return
	}
	s.generation = generation
	s.resumeAt = time.Now().Add(claimRecoveryTime)
	s.options.Log.Log(eventOrdersSuspended, logger.Fields{
		"generation":  generation,
		"claims":      len(s.claims),
		"duration-ms": claimRecoveryTime.Milliseconds(),
	})
}

// restoreClaims writes the claims again that a restore of the store may have removed. After
// a failure it continues at a later check. A claim that another process holds by now is
// dropped.
func (s *Switcher) restoreClaims(ctx context.Context) {
	for name, claimed := range s.claims {
		if claimed.generation >= s.generation {
			continue
		}
		if time.Now().Before(s.storeRetryAt) {
			return
		}
		object, mine, err := s.createClaim(ctx, name)
		switch {
		case err != nil:
			s.storeRetryAt = time.Now().Add(storeRetryDelay)
			s.options.Log.Log(eventClaimRestoreFailed, logger.Fields{"claim": name, "error": err.Error()})
		case mine:
			s.enterGeneration(s.generationOf(object))
			claimed.generation = s.generation
			s.options.Log.Log(eventClaimRestored, logger.Fields{"claim": name, "version": object.Version})
		default:
			delete(s.claims, name)
			s.options.Log.Log(eventClaimLost, logger.Fields{"claim": name})
		}
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
		err := s.removeClaim(ctx, name)
		if err != nil {
			s.storeRetryAt = now.Add(storeRetryDelay)
			s.options.Log.Log(eventClaimRemovalFailed, logger.Fields{"claim": name, "error": err.Error()})
			continue
		}
		delete(s.claims, name)
	}
}

// removeClaim deletes a claim if this process holds it. It reads the claim first, because
// versions from before a restore of the store may belong to another node's claim by now.
func (s *Switcher) removeClaim(ctx context.Context, name string) error {
	stored, err := s.options.Store.Get(ctx, KindClaim, name)
	if err == nil && s.isOwn(stored) {
		err = s.options.Store.Delete(ctx, stored)
	}
	if errorx.IsOfType(err, storer.NotFound) {
		return nil
	}
	return err
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
	name := claimName(engine)
	object, mine, err := s.createClaim(ctx, name)
	if err != nil {
		s.storeRetryAt = time.Now().Add(storeRetryDelay)
		s.logEngine(eventClaimFailed, engine, logger.Fields{"error": err.Error()})
		return
	}
	written := s.generationOf(object)
	if mine {
		s.claims[name] = &claim{lastListed: time.Now(), generation: written}
	}
	s.enterGeneration(max(written, storer.Generation(s.reportedGeneration.Load())))
	if time.Now().Before(s.resumeAt) {
		// The store was restored just before or after it answered. The order follows
		// later if the placer still wants it.
		return
	}
	// Whichever node holds the claim, this process of the engine changes its role now
	// or never, so the placer must not ask for the change again.
	s.options.Placer.Changing(time.Now(), change)
	if !mine {
		s.logEngine(eventClaimedElsewhere, engine, logger.Fields{})
		return
	}
	s.orderWithRetry(ctx, engine, Order{Role: change.Role, Holder: s.options.Self, Fence: s.options.Fence(object.Version)})
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
	s.logEngine(eventOrderFailed, engine, logger.Fields{"role": order.Role, "fence": order.Fence, "error": err.Error()})
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

// createClaim creates a claim and returns the stored object. mine is true if this process
// holds it, including when it was created before.
func (s *Switcher) createClaim(ctx context.Context, name string) (object storer.Object, mine bool, err error) {
	spec, err := json.Marshal(s.ownSpec())
	if err != nil {
		return storer.Object{}, false, err
	}
	object, err = s.options.Store.Create(ctx, storer.Object{Kind: KindClaim, Name: name, Spec: spec})
	if !errorx.IsOfType(err, storer.Conflict) {
		return object, err == nil, err
	}
	object, err = s.options.Store.Get(ctx, KindClaim, name)
	return object, err == nil && s.isOwn(object), err
}

func (s *Switcher) ownSpec() claimSpec {
	return claimSpec{Node: s.options.Self, Incarnation: s.options.Incarnation}
}

// isOwn reports whether this process holds a stored claim. A claim that cannot be read may
// belong to another node.
func (s *Switcher) isOwn(object storer.Object) bool {
	var holder claimSpec
	if err := json.Unmarshal(object.Spec, &holder); err != nil {
		s.options.Log.Log(eventClaimUnreadable, logger.Fields{"claim": object.Name, "error": err.Error()})
		return false
	}
	return holder == s.ownSpec()
}

// generationOf returns the generation of the store that returned an object. A store that
// does not report its generation counts as never restored.
func (s *Switcher) generationOf(object storer.Object) storer.Generation {
	return max(s.options.Generation(object.Version), firstGeneration)
}
