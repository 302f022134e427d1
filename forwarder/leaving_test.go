package forwarder

import (
	"bytes"
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/isolator"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/placer"
)

// fakeFleet implements Placer, Backends and Reacher. It answers at once, unless a hook
// says otherwise, and records the back ends to which requests were sent.
type fakeFleet struct {
	table *Table
	// grants are the decode engines that the owner grants, in turn.
	grants  []identifier.Member
	demands []placer.Demand
	sentTo  []identifier.Member
	// onPrefill runs during a prefill, onSend during a send; an error is its result.
	onPrefill func()
	onSend    func(backend Backend) error
}

func (f *fakeFleet) Acquire(_ context.Context, demand placer.Demand) placer.Outcome {
	f.demands = append(f.demands, demand)
	if len(f.grants) == 0 {
		return placer.Outcome{Refusal: &placer.Refusal{Reason: placer.NoMember}}
	}
	granted := f.grants[0]
	f.grants = f.grants[1:]
	return placer.Outcome{Placement: &placer.Placement{Grant: "g", Prefill: "prefill", Decode: granted}}
}
func (f *fakeFleet) Progress(identifier.Grant, identifier.Tokens, bool) {}
func (f *fakeFleet) Release(identifier.Grant, placer.Result)            {}
func (f *fakeFleet) Prefilled(identifier.Grant, time.Duration)          {}
func (f *fakeFleet) FreeKV(context.Context, KVSource) error             { return nil }
func (f *fakeFleet) Reach(context.Context, Backend) error               { return nil }
func (f *fakeFleet) Prefill(context.Context, Work) (KVSource, error) {
	if f.onPrefill != nil {
		f.onPrefill()
	}
	return KVSource{Address: "10.0.0.1:80", Handle: "h"}, nil
}

func (f *fakeFleet) Send(_ context.Context, work Work) (*Answer, error) {
	f.sentTo = append(f.sentTo, work.Backend.Name)
	if f.onSend != nil {
		if err := f.onSend(work.Backend); err != nil {
			return nil, err
		}
	}
	body := "data: x\n\n"
	return &Answer{Status: 200, Length: int64(len(body)), Framed: true, Body: bufferedBody{bytes.NewReader([]byte(body))}}, nil
}

// forward forwards one request to the route that its path names.
func (f *fakeFleet) forward(t *testing.T, path string) bool {
	t.Helper()
	forwarder := New(Options{
		Table: func() *Table { return f.table }, Placer: f, Backends: f, Reacher: f,
		Isolator: isolator.New(isolator.Options{}), Budgets: limiter.New(limiter.Options{Burst: 10}),
	})
	reply, refusal := forwarder.Forward(t.Context(), &Request{Attempt: "a", Path: path, Arrived: time.Now(), Timeout: 10 * time.Second})
	if refusal != nil {
		return false
	}
	reply.Close()
	return true
}

// testTable returns a table with a model pool and a service; the members named leave.
func testTable(leaving ...identifier.Member) *Table {
	configuration := NewConfiguration(1, []Route{
		{Name: "quote", Prefix: "/quote", Kind: Stream, Backends: 1, Target: time.Second, Destinations: []Destination{{Pool: "llm", Weight: 1}}},
		{Name: "book", Prefix: "/book", Kind: Once, Backends: 1, Target: time.Second, Destinations: []Destination{{Pool: "desk", Weight: 1}}},
	}, []Pool{{Name: "llm", Model: true, HandleLife: time.Second}, {Name: "desk"}}, Limits{})
	backends := []Backend{
		{Name: "prefill", Pool: "llm", Role: identifier.Prefill},
		{Name: "decode-1", Pool: "llm", Role: identifier.Decode},
		{Name: "decode-2", Pool: "llm", Role: identifier.Decode},
		{Name: "desk-1", Pool: "desk", Role: identifier.Service},
		{Name: "desk-2", Pool: "desk", Role: identifier.Service},
		{Name: "desk-3", Pool: "desk", Role: identifier.Service},
	}
	for i := range backends {
		backends[i].Leaving = slices.Contains(leaving, backends[i].Name)
	}
	return NewTable(configuration, backends, true)
}

// TestEngineThatLeavesDuringPrefillGetsNoRequest guards against a request that reaches an
// engine long after this node learned that the engine leaves: the request must not use the
// list of its arrival.
func TestEngineThatLeavesDuringPrefillGetsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{table: testTable(), grants: []identifier.Member{"decode-1", "decode-2"}}
		f.onPrefill = func() { f.table = testTable("decode-1") }
		if !f.forward(t, "/quote") || !slices.Equal(f.sentTo, []identifier.Member{"decode-2"}) {
			t.Errorf("sent to %v", f.sentTo)
		}
		if last := f.demands[len(f.demands)-1]; !slices.Contains(last.Avoid, "decode-1") {
			t.Errorf("the second demand avoids %v", last.Avoid)
		}
	})
}

// TestGrantOfLeavingEngineIsNotUsed guards against an owner whose list of back ends is
// older than this node's: what it grants may have left.
func TestGrantOfLeavingEngineIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{table: testTable("decode-1"), grants: []identifier.Member{"decode-1", "decode-2"}}
		if !f.forward(t, "/quote") || !slices.Equal(f.sentTo, []identifier.Member{"decode-2"}) {
			t.Errorf("sent to %v", f.sentTo)
		}
	})
}

// TestSilentBackendIsAvoided guards against a back end that takes requests and never answers:
// a node used to learn nothing from requests that ended at their deadline. A caller that leaves
// early says nothing about the back end.
func TestSilentBackendIsAvoided(t *testing.T) {
	for _, test := range []struct {
		waited  time.Duration
		avoided bool
	}{{time.Second, false}, {3 * time.Second, true}} {
		f := &fakeFleet{table: testTable()}
		forwarder := New(Options{Table: func() *Table { return f.table }, Backends: f, Reacher: f, Isolator: isolator.New(isolator.Options{})})
		route, _ := f.table.Configuration.Match("", "/book")
		c := &call{Forwarder: forwarder, request: &Request{Attempt: "a", Arrived: time.Now()}, route: route, table: f.table}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		desks := f.table.Pool("desk", "")
		forwarder.balancer.countSent(desks[0])
		c.recordResult(ctx, desks[0], nil, Lost.New("deadline"), test.waited)
		picked := map[identifier.Member]bool{}
		for rotation := range uint64(20) {
			backend, _ := forwarder.balancer.pick(time.Now(), desks, nil, "", rotation)
			picked[backend.Name] = true
		}
		if picked[desks[0].Name] == test.avoided {
			t.Errorf("after %s without an answer, picked %v", test.waited, picked)
		}
	}
}

// TestRetryUsesLatestList guards against a retry at a back end that has left since the
// request arrived.
func TestRetryUsesLatestList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{table: testTable("desk-3")}
		var first identifier.Member
		f.onSend = func(backend Backend) error {
			if first != "" {
				return nil
			}
			first = backend.Name
			other := map[identifier.Member]identifier.Member{"desk-1": "desk-2", "desk-2": "desk-1"}[first]
			f.table = testTable(other)
			return Declined.New("declined")
		}
		if !f.forward(t, "/book") || !slices.Equal(f.sentTo, []identifier.Member{first, "desk-3"}) {
			t.Errorf("sent to %v", f.sentTo)
		}
	})
}
