package publisher_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/publisher"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// The seed is fixed so that runs are reproducible. Pass another seed and number
// of checks on the command line for longer runs.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	checks := "20"
	if raceDetector {
		checks = "5"
	}
	_ = flag.Set("rapid.checks", checks)
	_ = flag.Set("rapid.nofailfile", "true")
}

// action is one step of a random history.
type action struct {
	kind string
	// node and other are node indexes. randomValue is a count, duration factor or index.
	node, other, randomValue int
}

var actionKinds = []string{
	"edit", "edit", "edit", "edit both", "race", "race", "break", "direct edit",
	"lose answers", "late answers", "slow", "stale", "refusing", "hanging", "out after", "watches", "no faults", "no faults",
	"kill", "start", "restart", "cut", "heal", "wait", "wait",
}

// TestRandomEditHistories tests random histories of edits, store faults, node
// failures and partitions. Each edit adds its own member to the pools table as it
// was read. At the end the active table must have the members of all accepted
// edits and no member of an edit that was refused, raced or not run.
func TestRandomEditHistories(t *testing.T) {
	actions := rapid.Custom(func(t *rapid.T) action {
		return action{
			kind: rapid.SampledFrom(actionKinds).Draw(t, "kind"),
			node: rapid.IntRange(0, 3).Draw(t, "node"), other: rapid.IntRange(0, 3).Draw(t, "other"),
			randomValue: rapid.IntRange(1, 5).Draw(t, "amount"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		history := rapid.SliceOfN(actions, 5, 30).Draw(rt, "history")
		var faults []string
		synctest.Test(t, func(t *testing.T) {
			m := &historyRunner{fleet: newFleet(t, 2, 2)}
			m.run(history)
			faults = m.faults
		})
		if len(faults) > 0 {
			rt.Fatalf("%s", strings.Join(faults, "\n"))
		}
	})
}

type historyRunner struct {
	*fleet
	edits    int
	outcomes map[string]publisher.ApplyState
	faults   []string
}

func (r *historyRunner) addFault(format string, a ...any) {
	r.faults = append(r.faults, fmt.Sprintf(format, a...))
}

func (r *historyRunner) run(history []action) {
	r.outcomes = map[string]publisher.ApplyState{}
	r.start()
	r.wantState(r.order[0].apply(routes("book", "desk"), pools("first")), publisher.ApplyAccepted)
	r.outcomes["first"] = publisher.ApplyAccepted
	for _, step := range history {
		r.perform(step)
	}
	r.platform.SetFaults(emulator.PlatformFaults{})
	r.setPartition(nil)
	for _, node := range r.order {
		if !node.up {
			node.start()
		}
	}
	time.Sleep(3 * time.Minute)
	r.checkOutcomes()
}

func (r *historyRunner) perform(a action) {
	node, other := r.order[a.node], r.order[a.other]
	switch a.kind {
	case "edit":
		r.edit(node, false)
	case "edit both":
		r.edit(node, true)
	case "race":
		first := r.prepareEdit(node, false)
		second := r.prepareEdit(other, false)
		ended := make(chan struct{})
		go func() { first(); close(ended) }()
		second()
		<-ended
	case "break":
		if node.up {
			outcome := node.apply(routes("book", "nowhere"), nil)
			if outcome.State != publisher.ApplyRefused && outcome.State != publisher.ApplyNotRun {
				r.addFault("an invalid edit got outcome %+v", outcome)
			}
		}
	case "direct edit":
		text := fmt.Sprintf(`{"routes":[{"name":"direct-%d","pool":"desk","rank":"lesser"}]}`, a.randomValue)
		r.platform.Put("tables", "routes", []byte(text))
	case "kill":
		node.kill()
	case "start", "restart":
		if a.kind == "restart" || !node.up {
			node.kill()
			node.start()
		}
	case "cut":
		r.setPartition(func(from, to *fleetNode) bool { return from.member.DataCentre != to.member.DataCentre })
	case "heal":
		r.setPartition(nil)
	case "wait":
		time.Sleep(time.Duration(a.randomValue*a.randomValue) * time.Second)
	default:
		r.platform.SetFaults(a.platformFaults())
	}
}

// fleetNode is an alias for code in which a variable shadows the type node.
type fleetNode = node

func (a action) platformFaults() emulator.PlatformFaults {
	switch a.kind {
	case "lose answers":
		return emulator.PlatformFaults{LoseAnswers: a.randomValue}
	case "late answers":
		return emulator.PlatformFaults{LateAnswers: a.randomValue, Late: tabulator.Duration(2 * time.Second)}
	case "slow":
		return emulator.PlatformFaults{Slow: tabulator.Duration(time.Duration(a.randomValue) * 250 * time.Millisecond)}
	case "stale":
		return emulator.PlatformFaults{Stale: true}
	case "refusing":
		return emulator.PlatformFaults{Down: emulator.DownRefusing}
	case "hanging":
		return emulator.PlatformFaults{Down: emulator.DownHanging}
	case "out after":
		return emulator.PlatformFaults{Down: emulator.DownCutting, DownAfter: a.randomValue, LoseAnswers: a.randomValue - 1}
	case "watches":
		modes := []emulator.WatchFault{emulator.WatchesSilent, emulator.WatchesLapse, emulator.WatchesExpire}
		return emulator.PlatformFaults{Watches: modes[a.randomValue%len(modes)], SkipEvents: a.randomValue}
	default:
		return emulator.PlatformFaults{}
	}
}

func (r *historyRunner) edit(n *node, both bool) { r.prepareEdit(n, both)() }

// prepareEdit reads the tables and returns a function that applies an edit of them.
func (r *historyRunner) prepareEdit(n *node, both bool) func() {
	noEdit := func() {}
	if !n.up {
		return noEdit
	}
	tables, err := n.Tables(r.ctx)
	if err != nil || tables.Pools.Status.State != publisher.TableAccepted {
		// An edit based on this table would also apply the table's unaccepted content.
		return noEdit
	}
	r.edits++
	member := fmt.Sprintf("edit-%d", r.edits)
	edited := pools(append(memberNames(tables.Pools.Table), member)...)
	request := publisher.ApplyRequest{Pools: edited, SeenPools: &tables.Pools.Content}
	if both {
		request.Routes = routes(member, "desk")
		request.SeenRoutes = &tables.Routes.Content
	}
	return func() {
		outcome := n.Apply(r.ctx, request)
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.outcomes[member] = outcome.State
	}
}

func memberNames(table tabulator.Pools) []string {
	var names []string
	for _, member := range table.Pools[0].Members {
		names = append(names, string(member.Name))
	}
	return names
}

// checkOutcomes compares the outcomes with the configuration active on each node.
func (r *historyRunner) checkOutcomes() {
	number := r.storedNumber()
	for _, node := range r.order {
		snapshot := node.Snapshot()
		if snapshot == nil || snapshot.Number != number {
			r.addFault("node %s does not have the stored configuration %d", node.member.Node, number)
			continue
		}
		activeMembers := memberNames(snapshot.Pools)
		for member, state := range r.outcomes {
			active := slices.Contains(activeMembers, member)
			switch {
			case state == publisher.ApplyAccepted && !active:
				r.addFault("%s was accepted and is lost", member)
			case state != publisher.ApplyAccepted && state != publisher.ApplyUnknown && active:
				r.addFault("%s was reported as %s and is active", member, state)
			}
		}
	}
	r.faults = append(r.faults, r.numberRegressions()...)
}
