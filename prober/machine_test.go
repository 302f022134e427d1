package prober

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// TestMain fixes the seed of the property tests and keeps them from writing fail files.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// TestStateMachine runs the cases of testdata/machine, which apply faults to a fleet
// and show what the nodes see of each other.
func TestStateMachine(t *testing.T) {
	datadriven.Walk(t, "testdata/machine", func(t *testing.T, path string) {
		var f *fleet
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "fleet" {
				var size, centres int
				d.ScanArgs(t, "nodes", &size)
				d.ScanArgs(t, "centres", &centres)
				f = newFleet(size, centres, 1, Options{})
				took := f.runUntil(time.Minute, f.converged)
				return fmt.Sprintf("whole: %v after less than %v", f.converged(), took.Round(time.Second)+time.Second)
			}
			return runCommand(t, f, d)
		})
	})
}

func runCommand(t *testing.T, f *fleet, d *datadriven.TestData) string {
	first := ""
	if len(d.CmdArgs) > 0 {
		first = d.CmdArgs[0].Key
	}
	switch d.Cmd {
	case "run":
		duration, err := time.ParseDuration(first)
		if err != nil {
			t.Fatal(err)
		}
		f.run(duration)
	case "kill":
		f.node(first).killed = true
	case "start":
		f.start(first, "dc0")
	case "take-over":
		f.startAt(d.CmdArgs[1].Key, "dc0", first)
	case "twin":
		f.startAt(first, "dc0", first+"-twin")
	case "pause":
		f.pause(f.node(first))
	case "resume":
		f.resume(f.node(first))
	case "leave":
		node := f.node(first)
		f.runOn(node, func() { node.machine.announceLeaving(f.now) })
	case "end":
		node := f.node(first)
		f.runOn(node, func() { node.machine.announceEnd(f.now) })
		node.killed = true
	case "silence":
		for _, to := range f.nodes {
			f.silent[[2]identifier.Node{identifier.Node(first), to.name}] = true
		}
	case "cut":
		f.cut(d)
	case "slow":
		f.latency = func(from, to *fakeNode) time.Duration {
			if string(from.name) == first || string(to.name) == first {
				return 150 * time.Millisecond
			}
			return time.Millisecond
		}
	case "heal":
		f.blocked = func(_, _ *fakeNode) bool { return false }
	case "rumour":
		node := f.node(first)
		f.runOn(node, func() { node.machine.broadcast(f.now, "topic", []byte(d.CmdArgs[1].Key)) })
	case "announce":
		node := f.node(first)
		f.runOn(node, func() { node.machine.announceConfiguration(f.now, 7) })
	case "show":
		return f.show(d)
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return ""
}

// cut blocks one node from reaching another, in one direction, or isolates a node or a
// data centre in both directions. `cut dc1 dc0` blocks only calls from dc1 to dc0.
func (f *fleet) cut(d *datadriven.TestData) {
	first := d.CmdArgs[0].Key
	matches := func(n *fakeNode, name string) bool { return string(n.name) == name || string(n.dataCentre) == name }
	if len(d.CmdArgs) == 1 {
		f.blocked = func(from, to *fakeNode) bool { return matches(from, first) != matches(to, first) }
		return
	}
	second := d.CmdArgs[1].Key
	f.blocked = func(from, to *fakeNode) bool { return matches(from, first) && matches(to, second) }
}

// show prints how other nodes see a node, whether the fleet has converged, the events
// since they were last shown, the rumours received, or how often configuration 7 is
// known.
func (f *fleet) show(d *datadriven.TestData) string {
	var out strings.Builder
	for _, arg := range d.CmdArgs {
		switch arg.Key {
		case "whole":
			fmt.Fprintf(&out, "whole: %v\n", f.converged())
		case "heard":
			fmt.Fprintf(&out, "heard: %v\n", f.receivedRumours)
		case "events":
			fmt.Fprintf(&out, "events: %v\n", f.events)
			clear(f.events)
		case "configuration":
			count := 0
			for _, node := range f.nodes {
				for _, held := range node.machine.table.records {
					if held.member.Configuration == 7 {
						count++
					}
				}
			}
			fmt.Fprintf(&out, "configuration 7: known %d times\n", count)
		default:
			name := identifier.Node(arg.Key)
			fmt.Fprintf(&out, "%s: alive %d, suspect %d, leaving %d, dead %d; suspended %v\n", name,
				f.countSeeing(name, assigner.Alive), f.countSeeing(name, assigner.Suspect),
				f.countSeeing(name, assigner.Leaving), f.countSeeing(name, assigner.Dead),
				f.node(arg.Key).machine.view().Suspended)
		}
	}
	return out.String()
}
