package prover

import (
	"testing"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// centreSides choose the data centre that is struck, and another one, by the
// parts that nodes play for a model request.
var centreSides = []struct {
	name   string
	choose func(r *trial) (here, there identifier.DataCentre)
}{
	{"entry", func(r *trial) (here, there identifier.DataCentre) { return r.entry.centre, r.owner.centre }},
	{"owner", func(r *trial) (here, there identifier.DataCentre) { return r.owner.centre, r.entry.centre }},
}

func init() {
	for _, fault := range centreFaults {
		for _, side := range centreSides {
			for _, step := range modelSteps {
				addCentreModel(fault, side.name, step.name, side.choose, step.reached)
			}
		}
		for _, part := range []string{"near", "far"} {
			addCentreBooking(fault, part)
			addCentreEdit(fault, part)
			addCentreOrders(fault, part)
		}
	}
}

// addCentreModel adds the cells of a model request whose entry's or owner's
// data centre is struck.
func addCentreModel(fault centreFault, side, step string, choose func(r *trial) (here, there identifier.DataCentre), reached func(r *trial) bool) {
	begin := func(t *testing.T, f *fleet, tokens int) *trial {
		r := f.try(t, completion{id: "report-1", prompt: longPrompt, tokens: tokens})
		f.waitFor(step, func() bool { return r.over() || reached(r) })
		here, there := choose(r)
		fault.inflict(f, here, there)
		if fault.blind {
			r.blind = fault.span
		}
		return r
	}
	addSized(wideShape, "whole-answer", side+"-centre-"+fault.name, step, func(t *testing.T, f *fleet) {
		begin(t, f, 60).check(t)
	})
	if step == "finish" {
		return
	}
	addSized(wideShape, "memory-freed", side+"-centre-"+fault.name, step, func(t *testing.T, f *fleet) {
		r := begin(t, f, 4000)
		r.goAway()
		r.check(t)
	})
}

// struck returns the data centre of a node, or another one, and one beside it.
func (f *fleet) struck(n *node, part string) (here, there identifier.DataCentre) {
	other := f.otherThan(n).centre
	if part == "near" {
		return n.centre, other
	}
	return other, n.centre
}

func addCentreBooking(fault centreFault, part string) {
	for _, step := range bookingSteps {
		addSized(wideShape, "at-most-once", part+"-centre-"+fault.name, step.name, func(t *testing.T, f *fleet) {
			b := f.startBooking(t)
			f.waitFor(step.name, func() bool { return b.over() || step.reached(b) })
			here, there := f.struck(b.entry, part)
			fault.inflict(f, here, there)
			b.lasts = fault.span
			b.check(t)
		})
	}
}

func addCentreEdit(fault centreFault, part string) {
	for _, step := range editSteps {
		addSized(wideShape, "in-force", part+"-centre-"+fault.name, step.name, func(t *testing.T, f *fleet) {
			e := f.startEdit(t)
			f.waitFor(step.name, func() bool { return e.over() || step.reached(e) })
			here, there := f.struck(e.node, part)
			fault.inflict(f, here, there)
			e.lasts = fault.span
			e.check(t)
		})
	}
}

func addCentreOrders(fault centreFault, part string) {
	for _, step := range orderSteps {
		for _, kind := range []string{"checked", "unchecked"} {
			addSized(wideShape, "orders-in-order", part+"-centre-"+fault.name, step.name+"-"+kind, func(t *testing.T, f *fleet) {
				o := f.startOrders(t, kind == "checked")
				f.waitFor(step.name, func() bool { return step.reached(o) })
				here, there := f.struck(o.sender, part)
				fault.inflict(f, here, there)
				o.lasts = fault.span
				o.check(t)
			})
		}
	}
}
