// Package measurer compares ways to place requests. It runs the real placement
// code in virtual time against small fake engines and counts what the users
// measure: goodput under both targets, wasted prefill, service by rank and
// what lesser work keeps in a flood. It simulates no cluster: messages are
// fixed delays, and nothing but the engines has state.
package measurer

import (
	"container/heap"
	"time"
)

// event is work due at a point of virtual time.
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

// loop runs events in order of virtual time; equal times keep their order.
type loop struct {
	now    time.Duration
	issued uint64
	events eventHeap
}

// epoch is the time of day that virtual time starts at.
var epoch = time.Unix(1_700_000_000, 0)

// clock is the virtual time as the placer takes it.
func (l *loop) clock() time.Time {
	return epoch.Add(l.now)
}

// after runs work once a delay has passed.
func (l *loop) after(delay time.Duration, run func()) {
	l.issued++
	heap.Push(&l.events, event{due: l.now + max(0, delay), order: l.issued, run: run})
}

// every runs work at an interval, first after one.
func (l *loop) every(interval time.Duration, run func()) {
	l.after(interval, func() {
		run()
		l.every(interval, run)
	})
}

// runUntil runs all events up to a point of time.
func (l *loop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].due <= end {
		next, _ := heap.Pop(&l.events).(event)
		l.now = next.due
		next.run()
	}
	l.now = end
}
