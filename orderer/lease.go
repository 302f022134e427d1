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

// leaseName names the lease object.
const leaseName = "engine-orders"

// wireLease is the spec of the lease object.
type wireLease struct {
	// Holder is empty after a release, when no order of the last holder is
	// under way any more.
	Holder identifier.Node `json:"holder"`
	// Attempt is unique to each write, to settle lost answers.
	Attempt string `json:"attempt"`
	// Fence grows with each new holder, and by the clock as well, so that it
	// does not fall when the store is restored from a backup.
	Fence identifier.Fence `json:"fence"`
}

// lease is this node's side of the lease on orders. A lease of another node
// has run out when its object did not change for the lease duration and the
// clock margin by this node's own clock; clocks are not compared.
type lease struct {
	options *Options
	// seen is the object as last read or written, and seenAt when it was first
	// seen at that version.
	seen   storer.Object
	spec   wireLease
	seenAt time.Time
	// until is when the own lease ends, counted from before the write that
	// renewed it. It is zero when this node holds none.
	until time.Time
	// waitOut is when the orders of an earlier holder that did not release have
	// run out.
	waitOut time.Time
	// refused is how often in a row engines refused the fencing number.
	refused int
}

// held tells whether this node has taken the lease and not lost it.
func (l *lease) held() bool { return !l.until.IsZero() }

// maySend tells whether an order may go out now.
func (l *lease) maySend(checksFencing bool) bool {
	now := time.Now()
	if !l.held() || !now.Before(l.until.Add(-l.options.SendMargin)) {
		return false
	}
	return checksFencing || !now.Before(l.waitOut)
}

// fence is the fencing number of the lease held.
func (l *lease) fence() identifier.Fence { return l.spec.Fence }

// keep takes or renews the lease as far as needed and tells whether this node
// holds it.
func (l *lease) keep(ctx context.Context) bool {
	const renewals = 3
	ctx, cancel := context.WithTimeout(ctx, l.options.StoreTimeout)
	defer cancel()
	if l.held() && time.Now().After(l.until) {
		l.lose("ran out")
	}
	if l.held() {
		age := l.options.LeaseDuration - time.Until(l.until)
		if l.refused > 0 {
			l.raise(ctx)
		} else if age >= l.options.LeaseDuration/renewals {
			l.write(ctx, l.options.Self, l.spec.Fence)
		}
		return l.held()
	}
	if !l.observe(ctx) || !l.free() {
		return false
	}
	l.take(ctx)
	return l.held()
}

// observe reads the object and notes when its version was first seen.
func (l *lease) observe(ctx context.Context) bool {
	object, err := l.options.Store.Get(ctx, storer.KindLease, leaseName)
	if err != nil && !errorx.IsOfType(err, storer.NotFound) {
		l.failed(err)
		return false
	}
	if err == nil && object.Version == l.seen.Version {
		return true
	}
	l.note(object)
	return true
}

func (l *lease) note(object storer.Object) {
	l.seen, l.seenAt, l.spec = object, time.Now(), wireLease{}
	if len(object.Spec) > 0 && json.Unmarshal(object.Spec, &l.spec) != nil {
		l.spec = wireLease{Holder: "unreadable"}
	}
}

// free tells whether nobody holds the lease.
func (l *lease) free() bool {
	if l.seen.Version == "" || l.spec.Holder == "" {
		return true
	}
	return time.Since(l.seenAt) > l.options.LeaseDuration+l.options.ClockMargin
}

// take makes this node the holder with a larger fencing number.
func (l *lease) take(ctx context.Context) {
	released := l.seen.Version == "" || l.spec.Holder == ""
	fence := max(l.spec.Fence+1, identifier.Fence(time.Now().Unix()))
	if !l.write(ctx, l.options.Self, fence) {
		return
	}
	l.waitOut = time.Now()
	if !released {
		l.waitOut = l.waitOut.Add(l.options.OrderTimeout + l.options.ClockMargin)
	}
	l.options.Log.Log(eventLeading, logger.Fields{"fence": fence})
}

// raise renews the lease with a larger fencing number, because an engine has
// seen one larger than this. If that came from a newer holder, its write of the
// lease makes this one fail. The steps double, because a store restored from a
// backup may be far behind.
func (l *lease) raise(ctx context.Context) {
	const largestStep = 32
	step := identifier.Fence(1) << min(l.refused, largestStep)
	l.write(ctx, l.options.Self, l.spec.Fence+step)
}

// release lets another node take the lease at once.
func (l *lease) release(ctx context.Context) {
	l.write(ctx, "", l.spec.Fence)
	l.lose("released")
}

func (l *lease) lose(reason string) {
	l.until = time.Time{}
	l.options.Log.Log(eventStopped, logger.Fields{"reason": reason})
}

// forget drops what was seen, because another node owns the orders now.
func (l *lease) forget() {
	l.seen, l.spec = storer.Object{}, wireLease{}
}

// write makes one conditional write of the lease and settles a lost answer by
// reading back. It tells whether the write took effect.
func (l *lease) write(ctx context.Context, holder identifier.Node, fence identifier.Fence) bool {
	began := time.Now()
	spec := wireLease{Holder: holder, Attempt: uuid.NewString(), Fence: fence}
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic("a lease cannot be written as JSON: " + err.Error())
	}
	object := storer.Object{Kind: storer.KindLease, Name: leaseName, Version: l.seen.Version, Spec: encoded}
	if object.Version == "" {
		object, err = l.options.Store.Create(ctx, object)
	} else {
		object, err = l.options.Store.Update(ctx, object)
	}
	if err != nil {
		l.failed(err)
		return l.readBack(ctx, spec.Attempt, began)
	}
	l.note(object)
	l.until = began.Add(l.options.LeaseDuration)
	return true
}

// readBack settles a write whose answer says or leaves open that it failed.
// While the store does not answer, a lease that is held stands until its end.
func (l *lease) readBack(ctx context.Context, attempt string, began time.Time) bool {
	object, err := l.options.Store.Get(ctx, storer.KindLease, leaseName)
	if err != nil {
		return false
	}
	previous := l.spec
	l.note(object)
	switch {
	case l.spec.Attempt == attempt:
		l.until = began.Add(l.options.LeaseDuration)
		return true
	case l.held() && l.spec.Attempt != previous.Attempt:
		l.lose("taken by " + string(l.spec.Holder))
	}
	return false
}

func (l *lease) failed(err error) {
	l.options.Log.Log(eventLeaseFailing, logger.Fields{"error": err.Error()})
}
