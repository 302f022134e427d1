// Package measurer compares placement policies. It runs the real placement code
// in virtual time against simple fake engines and measures goodput within both
// latency targets, wasted prefill, service by rank and the memory that lesser work
// keeps in a flood. It simulates no cluster: messages take fixed delays, and only
// the engines have state.
package measurer

import (
	"container/heap"
	"time"
)

// event is a function to run at a point of virtual time.
type event struct {
	due   time.Duration
	order uint64
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return h[i].order < h[j].order
}

// Push adds an event for container/heap.
func (h *eventHeap) Push(x any) {
	e, _ := x.(event)
	*h = append(*h, e)
}

// Pop removes the last event for container/heap.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// loop runs events by virtual time, and those due together in order of addition.
type loop struct {
	now       time.Duration
	lastOrder uint64
	events    eventHeap
}

// epoch is the wall-clock time at virtual time zero.
var epoch = time.Unix(1_700_000_000, 0)

// clock returns the virtual time as a wall-clock time, for the placer.
func (l *loop) clock() time.Time {
	return epoch.Add(l.now)
}

// after schedules run after a delay; a negative delay counts as zero.
func (l *loop) after(delay time.Duration, run func()) {
	l.lastOrder++
	heap.Push(&l.events, event{due: l.now + max(0, delay), order: l.lastOrder, run: run})
}

// every schedules run at an interval, the first time after one interval.
func (l *loop) every(interval time.Duration, run func()) {
	l.after(interval, func() {
		run()
		l.every(interval, run)
	})
}

// runUntil runs all events due by end and sets the virtual time to end.
func (l *loop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].due <= end {
		next, _ := heap.Pop(&l.events).(event)
		l.now = next.due
		next.run()
	}
	l.now = end
}
