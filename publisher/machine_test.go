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

// A run of the tests is always the same; longer ones name another seed and
// number of checks on the command line.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	checks := "20"
	if raceDetector {
		checks = "5"
	}
	_ = flag.Set("rapid.checks", checks)
	_ = flag.Set("rapid.nofailfile", "true")
}

// action is one step of a drawn history.
type action struct {
	kind string
	// node and other choose nodes, amount a count or a span.
	node, other, amount int
}

var actionKinds = []string{
	"edit", "edit", "edit", "edit both", "race", "race", "break", "direct edit",
	"lose answers", "late answers", "slow", "stale", "refusing", "hanging", "out after", "watches", "no faults", "no faults",
	"kill", "start", "restart", "cut", "heal", "wait", "wait",
}

// TestAcceptanceMachine draws histories of edits, faults, deaths and cuts. Each
// edit reads the pools table, adds a member of its own and applies it as made
// from what was read. So in the end the table must hold the member of every
// accepted edit and of none that was told refused, raced or not run.
func TestAcceptanceMachine(t *testing.T) {
	actions := rapid.Custom(func(t *rapid.T) action {
		return action{
			kind: rapid.SampledFrom(actionKinds).Draw(t, "kind"),
			node: rapid.IntRange(0, 3).Draw(t, "node"), other: rapid.IntRange(0, 3).Draw(t, "other"),
			amount: rapid.IntRange(1, 5).Draw(t, "amount"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		history := rapid.SliceOfN(actions, 5, 30).Draw(rt, "history")
		var faults []string
		synctest.Test(t, func(t *testing.T) {
			m := &machine{fleet: newFleet(t, 2, 2)}
			m.run(history)
			faults = m.faults
		})
		if len(faults) > 0 {
			rt.Fatalf("%s", strings.Join(faults, "\n"))
		}
	})
}

// machine carries out one history.
type machine struct {
	*fleet
	edits  int
	told   map[string]publisher.ApplyState
	faults []string
}

func (m *machine) fault(format string, a ...any) {
	m.faults = append(m.faults, fmt.Sprintf(format, a...))
}

func (m *machine) run(history []action) {
	m.told = map[string]publisher.ApplyState{}
	m.start()
	m.wantState(m.order[0].apply(routes("book", "desk"), pools("first")), publisher.ApplyAccepted)
	m.told["first"] = publisher.ApplyAccepted
	for _, step := range history {
		m.step(step)
	}
	m.platform.SetFaults(emulator.PlatformFaults{})
	m.setCut(nil)
	for _, node := range m.order {
		if !node.up {
			node.start()
		}
	}
	time.Sleep(3 * time.Minute)
	m.check()
}

func (m *machine) step(a action) {
	node, other := m.order[a.node], m.order[a.other]
	switch a.kind {
	case "edit":
		m.edit(node, false)
	case "edit both":
		m.edit(node, true)
	case "race":
		first := m.prepare(node, false)
		second := m.prepare(other, false)
		ended := make(chan struct{})
		go func() { first(); close(ended) }()
		second()
		<-ended
	case "break":
		if node.up {
			outcome := node.apply(routes("book", "nowhere"), nil)
			if outcome.State != publisher.ApplyRefused && outcome.State != publisher.ApplyNotRun {
				m.fault("a breaking edit was told %+v", outcome)
			}
		}
	case "direct edit":
		text := fmt.Sprintf(`{"routes":[{"name":"direct-%d","pool":"desk","rank":"lesser"}]}`, a.amount)
		m.platform.Put("tables", "routes", []byte(text))
	case "kill":
		node.kill()
	case "start", "restart":
		if a.kind == "restart" || !node.up {
			node.kill()
			node.start()
		}
	case "cut":
		m.setCut(func(from, to *fleetNode) bool { return from.member.DataCentre != to.member.DataCentre })
	case "heal":
		m.setCut(nil)
	case "wait":
		time.Sleep(time.Duration(a.amount*a.amount) * time.Second)
	default:
		m.platform.SetFaults(a.platformFaults())
	}
}

// fleetNode names the type node where a variable hides it.
type fleetNode = node

func (a action) platformFaults() emulator.PlatformFaults {
	switch a.kind {
	case "lose answers":
		return emulator.PlatformFaults{LoseAnswers: a.amount}
	case "late answers":
		return emulator.PlatformFaults{LateAnswers: a.amount, Late: tabulator.Duration(2 * time.Second)}
	case "slow":
		return emulator.PlatformFaults{Slow: tabulator.Duration(time.Duration(a.amount) * 250 * time.Millisecond)}
	case "stale":
		return emulator.PlatformFaults{Stale: true}
	case "refusing":
		return emulator.PlatformFaults{Down: emulator.DownRefusing}
	case "hanging":
		return emulator.PlatformFaults{Down: emulator.DownHanging}
	case "out after":
		return emulator.PlatformFaults{Down: emulator.DownCutting, DownAfter: a.amount, LoseAnswers: a.amount - 1}
	case "watches":
		modes := []emulator.WatchFault{emulator.WatchesSilent, emulator.WatchesLapse, emulator.WatchesExpire}
		return emulator.PlatformFaults{Watches: modes[a.amount%len(modes)], SkipEvents: a.amount}
	default:
		return emulator.PlatformFaults{}
	}
}

func (m *machine) edit(n *node, both bool) { m.prepare(n, both)() }

// prepare reads the tables and returns the edit made from them.
func (m *machine) prepare(n *node, both bool) func() {
	nothing := func() {}
	if !n.up {
		return nothing
	}
	tables, err := n.Tables(m.ctx)
	if err != nil || tables.Pools.Status.State != publisher.TableAccepted {
		// An edit made from a table that is not accepted takes what is in it over.
		return nothing
	}
	m.edits++
	member := fmt.Sprintf("edit-%d", m.edits)
	edited := pools(append(memberNames(tables.Pools.Table), member)...)
	request := publisher.ApplyRequest{Pools: edited, SeenPools: &tables.Pools.Content}
	if both {
		request.Routes = routes(member, "desk")
		request.SeenRoutes = &tables.Routes.Content
	}
	return func() {
		outcome := n.Apply(m.ctx, request)
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.told[member] = outcome.State
	}
}

func memberNames(table tabulator.Pools) []string {
	var names []string
	for _, member := range table.Pools[0].Members {
		names = append(names, string(member.Name))
	}
	return names
}

// check compares what was told with what every node has in force at the end.
func (m *machine) check() {
	number := m.stored()
	for _, node := range m.order {
		snapshot := node.Snapshot()
		if snapshot == nil || snapshot.Number != number {
			m.fault("node %s does not have the stored configuration %d", node.member.Node, number)
			continue
		}
		inForce := memberNames(snapshot.Pools)
		for member, state := range m.told {
			held := slices.Contains(inForce, member)
			switch {
			case state == publisher.ApplyAccepted && !held:
				m.fault("%s was accepted and is lost", member)
			case state != publisher.ApplyAccepted && state != publisher.ApplyUnknown && held:
				m.fault("%s was told %s and is in force", member, state)
			}
		}
	}
	m.faults = append(m.faults, m.falls()...)
}
