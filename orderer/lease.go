package orderer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/storer"
)

const leaseName = "engine-orders"

// leaseSpec is the spec of the lease object.
type leaseSpec struct {
	// Holder is empty after a release. A node releases the lease only when none of its
	// orders is in flight.
	Holder identifier.Node `json:"holder"`
	// Attempt is unique to each write. It tells whether a write whose answer was lost
	// took effect.
	Attempt string `json:"attempt"`
	// Fence grows with each new holder. It is at least the Unix time in seconds of the
	// acquisition, so it does not fall when the store is restored from a backup.
	Fence identifier.Fence `json:"fence"`
}

// lease is this node's view of the lease on orders. Another node's lease counts as
// expired when its object has not changed for the lease duration plus the clock margin
// by this node's own clock. Clocks of different nodes are never compared.
type lease struct {
	options *Options
	// object is the lease object as last read or written.
	object storer.Object
	spec   leaseSpec
	// versionSeenAt is when this node first saw the version of object.
	versionSeenAt time.Time
	// expiresAt is when this node's lease ends, counted from before the write that
	// renewed it. It is zero while this node does not hold the lease.
	expiresAt time.Time
	// earlierOrdersEnd is when all orders of an earlier holder that did not release the
	// lease must have ended.
	earlierOrdersEnd time.Time
	// fenceRefusals counts consecutive orders refused for their fencing number.
	fenceRefusals int
}

// isHeld reports whether this node has acquired the lease and not lost it.
func (l *lease) isHeld() bool { return !l.expiresAt.IsZero() }

// canSend reports whether an order can be sent now, given the engine's fencing check.
func (l *lease) canSend(checksFencing bool) bool {
	now := time.Now()
	if !l.isHeld() || !now.Before(l.expiresAt.Add(-l.options.SendMargin)) {
		return false
	}
	return checksFencing || !now.Before(l.earlierOrdersEnd)
}

// fence returns the fencing number of the lease that this node holds.
func (l *lease) fence() identifier.Fence { return l.spec.Fence }

// acquireOrRenew acquires the lease if it is free, or renews it if a third of its
// duration has passed. It reports whether this node holds the lease afterwards.
func (l *lease) acquireOrRenew(ctx context.Context) bool {
	const renewalsPerLease = 3
	ctx, cancel := context.WithTimeout(ctx, l.options.StoreTimeout)
	defer cancel()
	if l.isHeld() && time.Now().After(l.expiresAt) {
		l.markNotHeld("ran out")
	}
	if l.isHeld() {
		age := l.options.LeaseDuration - time.Until(l.expiresAt)
		if l.fenceRefusals > 0 {
			l.raiseFence(ctx)
		} else if age >= l.options.LeaseDuration/renewalsPerLease {
			l.write(ctx, l.options.Self, l.spec.Fence)
		}
		return l.isHeld()
	}
	if !l.readObject(ctx) || !l.isFree() {
		return false
	}
	l.acquire(ctx)
	return l.isHeld()
}

// readObject reads the lease object and records when its version was first seen. It
// returns false if the store fails.
func (l *lease) readObject(ctx context.Context) bool {
	object, err := l.options.Store.Get(ctx, storer.KindLease, leaseName)
	if err != nil && !errorx.IsOfType(err, storer.NotFound) {
		l.logFailure(err)
		return false
	}
	if err == nil && object.Version == l.object.Version {
		return true
	}
	l.setObject(object)
	return true
}

func (l *lease) setObject(object storer.Object) {
	l.object, l.versionSeenAt, l.spec = object, time.Now(), leaseSpec{}
	if len(object.Spec) > 0 && json.Unmarshal(object.Spec, &l.spec) != nil {
		l.spec = leaseSpec{Holder: "unreadable"}
	}
}

// isFree reports whether no node holds the lease.
func (l *lease) isFree() bool {
	if l.object.Version == "" || l.spec.Holder == "" {
		return true
	}
	return time.Since(l.versionSeenAt) > l.options.LeaseDuration+l.options.ClockMargin
}

// acquire makes this node the holder, with a larger fencing number.
func (l *lease) acquire(ctx context.Context) {
	released := l.object.Version == "" || l.spec.Holder == ""
	fence := max(l.spec.Fence+1, identifier.Fence(time.Now().Unix()))
	if !l.write(ctx, l.options.Self, fence) {
		return
	}
	l.earlierOrdersEnd = time.Now()
	if !released {
		l.earlierOrdersEnd = l.earlierOrdersEnd.Add(l.options.OrderTimeout + l.options.ClockMargin)
	}
	l.options.Log.Log(eventLeaseAcquired, logger.Fields{"fence": fence})
}

// raiseFence renews the lease with a larger fencing number, because an engine has seen
// a number above the current one. If a newer holder sent that number, its write of the
// lease makes this write fail. The increment doubles with each refusal, because a store
// restored from a backup may be far behind.
func (l *lease) raiseFence(ctx context.Context) {
	const maxStepExponent = 32
	step := identifier.Fence(1) << min(l.fenceRefusals, maxStepExponent)
	l.write(ctx, l.options.Self, l.spec.Fence+step)
}

// release removes the holder, so that another node can acquire the lease at once.
func (l *lease) release(ctx context.Context) {
	l.write(ctx, "", l.spec.Fence)
	l.markNotHeld("released")
}

func (l *lease) markNotHeld(reason string) {
	l.expiresAt = time.Time{}
	l.options.Log.Log(eventLeaseLost, logger.Fields{"reason": reason})
}

// reset clears the lease object, because another node owns the orders now.
func (l *lease) reset() {
	l.object, l.spec = storer.Object{}, leaseSpec{}
}

// write does one conditional write of the lease. If the answer is lost, it reads the
// object back. It reports whether the write took effect.
func (l *lease) write(ctx context.Context, holder identifier.Node, fence identifier.Fence) bool {
	began := time.Now()
	spec := leaseSpec{Holder: holder, Attempt: uuid.NewString(), Fence: fence}
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic("a lease cannot be written as JSON: " + err.Error())
	}
	object := storer.Object{Kind: storer.KindLease, Name: leaseName, Version: l.object.Version, Spec: encoded}
	if object.Version == "" {
		object, err = l.options.Store.Create(ctx, object)
	} else {
		object, err = l.options.Store.Update(ctx, object)
	}
	if err != nil {
		l.logFailure(err)
		return l.settleWrite(ctx, spec.Attempt, began)
	}
	l.setObject(object)
	l.expiresAt = began.Add(l.options.LeaseDuration)
	return true
}

// settleWrite reads the lease back after a failed write or a lost answer, and reports
// whether the write took effect. If the store is down, a held lease stays until it
// expires.
func (l *lease) settleWrite(ctx context.Context, attempt string, began time.Time) bool {
	object, err := l.options.Store.Get(ctx, storer.KindLease, leaseName)
	if err != nil {
		return false
	}
	previous := l.spec
	l.setObject(object)
	switch {
	case l.spec.Attempt == attempt:
		l.expiresAt = began.Add(l.options.LeaseDuration)
		return true
	case l.isHeld() && l.spec.Attempt != previous.Attempt:
		l.markNotHeld("taken by " + string(l.spec.Holder))
	}
	return false
}

func (l *lease) logFailure(err error) {
	l.options.Log.Log(eventLeaseFailing, logger.Fields{"error": err.Error()})
}
