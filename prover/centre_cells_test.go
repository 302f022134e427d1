package prover

import (
	"testing"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// centreSides choose the data centre that gets the fault (here) and another one
// (there): that of the entry or that of the pool's owner.
var centreSides = []struct {
	name   string
	choose func(r *modelRequest) (here, there identifier.DataCentre)
}{
	{"entry", func(r *modelRequest) (here, there identifier.DataCentre) { return r.entry.centre, r.owner.centre }},
	{"owner", func(r *modelRequest) (here, there identifier.DataCentre) { return r.owner.centre, r.entry.centre }},
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

// addCentreModel adds the cells of a model request with a fault of the data centre
// of its entry or owner.
func addCentreModel(fault centreFault, side, step string, choose func(r *modelRequest) (here, there identifier.DataCentre), reached func(r *modelRequest) bool) {
	begin := func(t *testing.T, f *fleet, tokens int) *modelRequest {
		r := f.startRequest(t, completion{id: "report-1", prompt: longPrompt, tokens: tokens})
		f.waitFor(step, func() bool { return r.hasEnded() || reached(r) })
		here, there := choose(r)
		fault.inject(f, here, there)
		if fault.losesConfiguration {
			r.noConfigurationFor = fault.span
		}
		return r
	}
	addCellWithShape(wideShape, "whole-answer", side+"-centre-"+fault.name, step, func(t *testing.T, f *fleet) {
		begin(t, f, 60).check(t)
	})
	if step == "finish" {
		return
	}
	addCellWithShape(wideShape, "memory-freed", side+"-centre-"+fault.name, step, func(t *testing.T, f *fleet) {
		r := begin(t, f, 4000)
		r.abandon()
		r.check(t)
	})
}

// affectedCentres returns the data centre of n and of another node; swapped for "far".
func (f *fleet) affectedCentres(n *node, part string) (here, there identifier.DataCentre) {
	other := f.otherNode(n).centre
	if part == "near" {
		return n.centre, other
	}
	return other, n.centre
}

func addCentreBooking(fault centreFault, part string) {
	for _, step := range bookingSteps {
		addCellWithShape(wideShape, "at-most-once", part+"-centre-"+fault.name, step.name, func(t *testing.T, f *fleet) {
			b := f.startBooking(t)
			f.waitFor(step.name, func() bool { return b.hasEnded() || step.reached(b) })
			here, there := f.affectedCentres(b.entry, part)
			fault.inject(f, here, there)
			b.faultRemaining = fault.span
			b.check(t)
		})
	}
}

func addCentreEdit(fault centreFault, part string) {
	for _, step := range editSteps {
		addCellWithShape(wideShape, "in-force", part+"-centre-"+fault.name, step.name, func(t *testing.T, f *fleet) {
			e := f.startEdit(t)
			f.waitFor(step.name, func() bool { return e.hasEnded() || step.reached(e) })
			here, there := f.affectedCentres(e.node, part)
			fault.inject(f, here, there)
			e.faultDuration = fault.span
			e.check(t)
		})
	}
}

func addCentreOrders(fault centreFault, part string) {
	for _, step := range orderSteps {
		for _, kind := range []string{"checked", "unchecked"} {
			addCellWithShape(wideShape, "orders-in-order", part+"-centre-"+fault.name, step.name+"-"+kind, func(t *testing.T, f *fleet) {
				o := f.startOrders(t, kind == "checked")
				f.waitFor(step.name, func() bool { return step.reached(o) })
				here, there := f.affectedCentres(o.sender, part)
				fault.inject(f, here, there)
				o.faultDuration = fault.span
				o.check(t)
			})
		}
	}
}
