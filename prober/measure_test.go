package prober

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/assigner"
)

// BenchmarkFleet measures state machines in virtual time. Its reported metrics do not
// depend on the computer; ns/op means nothing.
//
//	go test -run '^$' -bench Fleet -benchtime 1x ./prober
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{8, 64, 350} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			for range b.N {
				f := newFleet(size, 7, 1, Options{})
				// 1 ms within and 40 ms between three regions.
				f.latency = func(from, to *fakeNode) time.Duration {
					if region(from) != region(to) {
						return 40 * time.Millisecond
					}
					return time.Millisecond
				}
				took := f.runUntil(time.Minute, f.converged)
				b.ReportMetric(took.Seconds(), "start-s")
				f.run(30 * time.Second)
				measureIdle(b, f)
				measureDetection(b, f)
				measureRumour(b, f)
				measureConfiguration(b, f)
				measurePacketLoss(b, f)
				measureDataCentreCut(b, f)
			}
		})
	}
}

func region(n *fakeNode) int { return int(n.dataCentre[2]-'0') % 3 }

func measureIdle(b *testing.B, f *fleet) {
	f.run(4 * time.Minute)
	f.messageBytes, f.messages = 0, 0
	f.run(time.Minute)
	seconds := 60 * float64(len(f.nodes))
	b.ReportMetric(float64(f.messageBytes)/seconds, "idle-B/node/s")
	b.ReportMetric(float64(f.messages)/2/seconds, "idle-calls/node/s")
}

// measureDetection measures how soon killed nodes, which refuse connections, and hung nodes,
// which do not answer, are seen as dead.
func measureDetection(b *testing.B, f *fleet) {
	for _, kind := range []string{"killed", "hung"} {
		var first, all []time.Duration
		for i := range 6 {
			victim := f.nodes[len(f.nodes)-1-i%4]
			victim.killed = kind == "killed"
			victim.paused = kind == "hung"
			began := f.now
			f.runUntil(time.Minute, func() bool { return f.countSeeing(victim.name, assigner.Dead) > 0 })
			first = append(first, f.now.Sub(began))
			f.runUntil(time.Minute, func() bool { return f.countSeeing(victim.name, assigner.Dead) == len(f.nodes)-1 })
			all = append(all, f.now.Sub(began))
			victim.killed = true
			f.start(string(victim.name), string(victim.dataCentre))
			f.runUntil(time.Minute, f.converged)
			f.run(10 * time.Second)
		}
		slices.Sort(first)
		slices.Sort(all)
		b.ReportMetric(first[len(first)/2].Seconds(), kind+"-first-median-s")
		b.ReportMetric(all[len(all)-1].Seconds(), kind+"-everywhere-max-s")
	}
}

func measureRumour(b *testing.B, f *fleet) {
	var worst time.Duration
	for i := range 5 {
		text := fmt.Sprint("rumour", i)
		node := f.nodes[i]
		f.runOn(node, func() { node.machine.broadcast(f.now, "topic", []byte(text)) })
		worst = max(worst, f.runUntil(time.Minute, func() bool { return f.receivedRumours[text] == len(f.nodes) }))
		f.run(5 * time.Second)
	}
	b.ReportMetric(worst.Seconds(), "rumour-max-s")
}

// measureConfiguration lets every node announce a configuration within one second.
func measureConfiguration(b *testing.B, f *fleet) {
	f.messageBytes = 0
	for _, node := range f.nodes {
		f.schedule(time.Duration(f.random.Int64N(int64(time.Second))), func() {
			f.runOn(node, func() { node.machine.announceConfiguration(f.now, 9) })
		})
	}
	took := f.runUntil(2*time.Minute, func() bool {
		for _, node := range f.nodes {
			for _, held := range node.machine.table.records {
				if held.member.Configuration != 9 {
					return false
				}
			}
		}
		return true
	})
	b.ReportMetric(took.Seconds(), "configuration-known-s")
	f.run(41*time.Second - took)
	b.ReportMetric(float64(f.messageBytes)/41/float64(len(f.nodes)), "configuration-B/node/s")
}

// measurePacketLoss blocks one call in fifty for ten minutes and counts suspicions.
func measurePacketLoss(b *testing.B, f *fleet) {
	clear(f.events)
	f.blocked = func(_, _ *fakeNode) bool { return f.random.IntN(50) == 0 }
	f.run(10 * time.Minute)
	f.blocked = func(_, _ *fakeNode) bool { return false }
	b.ReportMetric(float64(f.events[4004]), "loss-suspicions")
	b.ReportMetric(float64(f.events[4005]), "loss-deaths")
}

// measurePartialCut blocks all calls between two regions for two minutes, while both
// reach the third. Every node is healthy and reachable from some nodes.
func measurePartialCut(b *testing.B, f *fleet) {
	clear(f.events)
	f.blocked = func(from, to *fakeNode) bool {
		return region(from) != region(to) && region(from) < 2 && region(to) < 2
	}
	f.run(2 * time.Minute)
	b.ReportMetric(float64(f.events[4007]), "partial-cut-refuted")
	b.ReportMetric(float64(f.events[4005]), "partial-cut-deaths")
	f.blocked = func(_, _ *fakeNode) bool { return false }
	f.runUntil(time.Minute, f.converged)
}

// measureDataCentreCut isolates a data centre for five minutes.
func measureDataCentreCut(b *testing.B, f *fleet) {
	f.blocked = func(from, to *fakeNode) bool { return (from.dataCentre == "dc1") != (to.dataCentre == "dc1") }
	f.messageBytes = 0
	f.run(5 * time.Minute)
	b.ReportMetric(float64(f.messageBytes)/300/float64(len(f.nodes)), "cut-B/node/s")
	f.blocked = func(_, _ *fakeNode) bool { return false }
	f.messageBytes = 0
	clear(f.events)
	took := f.runUntil(5*time.Minute, f.converged)
	b.ReportMetric(float64(f.events[4005]), "heal-deaths")
	b.ReportMetric(took.Seconds(), "heal-s")
	b.ReportMetric(float64(f.messageBytes)/1000/float64(len(f.nodes)), "heal-kB/node")
}
