package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/isolator"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/router"
)

// endingFleet is a fleet of one decode engine that fails in one way, and records what the node
// reports of it.
type endingFleet struct {
	fakeFleet
	prefillError error
	// sendError is the result of a send after sendTime.
	sendError error
	sendTime  time.Duration
	// body is the answer, and bodyError how it ends after bodyTime.
	body      string
	bodyError error
	bodyTime  time.Duration
	status    int
	// unframed means that the answer ends with its connection.
	unframed bool
	// unreachable means that the engine takes no connections.
	unreachable bool
	released    []placer.Result
}

func (f *endingFleet) Release(_ identifier.Grant, result placer.Result) {
	f.released = append(f.released, result)
}

func (f *endingFleet) Reach(context.Context, Backend) error {
	if f.unreachable {
		return Unreached.New("refused")
	}
	return nil
}

func (f *endingFleet) Prefill(ctx context.Context, _ Work) (KVSource, error) {
	if errors.Is(f.prefillError, context.DeadlineExceeded) {
		<-ctx.Done()
		return KVSource{}, Lost.Wrap(ctx.Err(), "prefill")
	}
	return KVSource{Address: "10.0.0.1:80", Handle: "h"}, f.prefillError
}

func (f *endingFleet) Send(ctx context.Context, _ Work) (*Answer, error) {
	if !waitFor(ctx, f.sendTime) {
		return nil, Lost.Wrap(ctx.Err(), "send")
	}
	if f.sendError != nil {
		return nil, f.sendError
	}
	return &Answer{Status: max(200, f.status), Length: -1, Framed: !f.unframed, Body: &endingBody{ctx, f, strings.NewReader(f.body)}}, nil
}

func waitFor(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return ctx.Err() == nil
	}
}

type endingBody struct {
	ctx   context.Context //nolint:containedctx // It is that of the request.
	fleet *endingFleet
	rest  *strings.Reader
}

func (b *endingBody) Read(buffer []byte) (int, error) {
	if b.rest.Len() > 0 {
		return b.rest.Read(buffer)
	}
	if !waitFor(b.ctx, b.fleet.bodyTime) {
		return 0, b.ctx.Err()
	}
	return 0, b.fleet.bodyError
}

func (b *endingBody) Close() {}

// TestUnframedFailureOfEndedEngine guards against a part of an engine's failure that reaches the
// caller as the whole one, because the engine crashed and its connection marks the end.
func TestUnframedFailureOfEndedEngine(t *testing.T) {
	for name, test := range map[string]struct {
		fleet    endingFleet
		answered bool
	}{
		"lives":                {endingFleet{unframed: true}, true},
		"ended":                {endingFleet{unframed: true, unreachable: true}, false},
		"ended, with a length": {endingFleet{unreachable: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := &test.fleet
				fleet.status, fleet.body, fleet.bodyError = http.StatusInternalServerError, "fault", io.EOF
				fleet.grants, fleet.table = []identifier.Member{"decode-1"}, testTable()
				f := New(Options{
					Table: func() *Table { return fleet.table }, Placer: fleet, Backends: fleet, Reacher: fleet, Stopping: t.Context(),
					Isolator: isolator.New(isolator.Options{}), Budgets: limiter.New(limiter.Options{Burst: 10}),
				})
				reply, refusal := f.Forward(t.Context(), &Request{Attempt: "a", Path: "/quote", Arrived: time.Now(), Timeout: time.Minute})
				if reply != nil {
					reply.Close()
				}
				if (reply != nil) != test.answered || !test.answered && refusal.Outcome != router.Unknown {
					t.Errorf("answered: %v, refusal %+v", reply != nil, refusal)
				}
			})
		})
	}
}

// TestEndingsOfStreams guards against an engine that breaks its streams off and is not blamed, and
// against one that is blamed for what its callers, its node or a prompt did.
func TestEndingsOfStreams(t *testing.T) {
	const one = "data: x\n\n"
	cut := errors.New("connection reset")
	for _, test := range []struct {
		name            string
		fleet           endingFleet
		timeout         time.Duration
		leavesAfter     time.Duration
		stopsAfter      time.Duration
		readsAfter      time.Duration
		engineLeaves    bool
		prefill, decode placer.Ending
	}{
		{name: "answered", fleet: endingFleet{body: one, bodyError: io.EOF}, prefill: placer.Answered, decode: placer.Answered},
		{name: "broken off", fleet: endingFleet{body: one, bodyError: cut}, prefill: placer.Answered, decode: placer.BrokenOff},
		{name: "ends inside an event", fleet: endingFleet{body: one + "data: y", bodyError: io.EOF}, prefill: placer.Answered, decode: placer.BrokenOff},
		{name: "broken off before an event", fleet: endingFleet{bodyError: cut}, prefill: placer.Answered, decode: placer.BrokenOff},
		{name: "no event in many bytes", fleet: endingFleet{body: strings.Repeat("x", 2*maxFirstEventBytes), bodyError: cut}, prefill: placer.Answered, decode: placer.Malformed},
		{name: "no answer of the protocol", fleet: endingFleet{sendError: Lost.New("the answer has no signature")}, prefill: placer.Answered, decode: placer.Malformed},
		{name: "server error", fleet: endingFleet{body: "fault", bodyError: io.EOF, status: 500}, prefill: placer.Answered, decode: placer.Malformed},
		{name: "client error", fleet: endingFleet{body: "fault", bodyError: io.EOF, status: 400}, prefill: placer.Answered},
		{name: "stalls", fleet: endingFleet{body: one, bodyTime: time.Minute}, timeout: 5 * time.Second, prefill: placer.Answered, decode: placer.NoProgress},
		{name: "never begins", fleet: endingFleet{sendTime: time.Minute}, timeout: 5 * time.Second, prefill: placer.Answered, decode: placer.NoProgress},
		{name: "prefill times out", fleet: endingFleet{prefillError: context.DeadlineExceeded}, prefill: placer.TimedOut},
		{name: "prefill without a handle", fleet: endingFleet{prefillError: Lost.New("no handle")}, prefill: placer.Malformed},
		{name: "prefill declined", fleet: endingFleet{prefillError: Declined.New("busy")}},
		{name: "declined", fleet: endingFleet{sendError: Declined.New("busy")}, prefill: placer.Answered},
		{name: "crashed or cut off", fleet: endingFleet{body: one, bodyError: cut, unreachable: true}, prefill: placer.Answered},
		{name: "node out of memory", fleet: endingFleet{sendError: Lost.Wrap(limiter.ErrNoMemory, "head")}, prefill: placer.Answered},
		{name: "deadline too short", fleet: endingFleet{sendTime: time.Minute}, timeout: 500 * time.Millisecond, prefill: placer.Answered},
		{name: "caller leaves", fleet: endingFleet{body: one, bodyTime: time.Minute}, leavesAfter: 3 * time.Second, prefill: placer.Answered},
		{name: "caller leaves before an event", fleet: endingFleet{sendTime: time.Minute}, leavesAfter: 3 * time.Second, prefill: placer.Answered},
		{name: "node drains", fleet: endingFleet{sendTime: time.Minute}, stopsAfter: 3 * time.Second, prefill: placer.Answered},
		{name: "engine drains", fleet: endingFleet{body: one, bodyError: cut, bodyTime: time.Second}, engineLeaves: true, prefill: placer.Answered},
		{name: "caller reads again", fleet: endingFleet{body: one, bodyError: cut, bodyTime: 2 * heldUpFor}, readsAfter: 4 * time.Second, timeout: time.Minute, prefill: placer.Answered, decode: placer.BrokenOff},
		{name: "caller does not read", fleet: endingFleet{body: one, bodyError: cut}, readsAfter: 4 * time.Second, prefill: placer.Answered},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := &test.fleet
				fleet.grants = []identifier.Member{"decode-1"}
				fleet.table = testTable()
				stopping, stop := context.WithCancel(t.Context())
				defer stop()
				caller, leave := context.WithCancel(t.Context())
				defer leave()
				if test.leavesAfter > 0 {
					time.AfterFunc(test.leavesAfter, leave)
				}
				if test.stopsAfter > 0 {
					time.AfterFunc(test.stopsAfter, stop)
				}
				f := New(Options{
					Table: func() *Table { return fleet.table }, Placer: fleet, Backends: fleet, Reacher: fleet, Stopping: stopping,
					Isolator: isolator.New(isolator.Options{}), Budgets: limiter.New(limiter.Options{Burst: 10}),
				})
				timeout := max(test.timeout, 0)
				if timeout == 0 {
					timeout = 30 * time.Second
				}
				reply, _ := f.Forward(caller, &Request{Attempt: "a", Path: "/quote", Arrived: time.Now(), Timeout: timeout})
				if reply != nil {
					if test.engineLeaves {
						fleet.table = testTable("decode-1")
					}
					buffer := make([]byte, 5)
					_, err := reply.Read(buffer)
					reply.AwaitCaller(func() {})
					time.Sleep(test.readsAfter)
					reply.EndAwaitCaller()
					for err == nil {
						_, err = reply.Read(buffer)
					}
					reply.Close()
				}
				if len(fleet.released) != 1 {
					t.Fatalf("%d grants were released", len(fleet.released))
				}
				if got := fleet.released[0]; got.PrefillEnding != test.prefill || got.DecodeEnding != test.decode {
					t.Errorf("prefill %s, decode %s", got.PrefillEnding, got.DecodeEnding)
				}
			})
		})
	}
}
