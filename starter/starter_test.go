package starter_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
)

func TestServesEachKindOfRequest(t *testing.T) {
	run(t, 3, func(t *testing.T, f *fleet) {
		for n := range f.nodes {
			for _, c := range []call{booking(), lookUp(), quote()} {
				got := f.send(t.Context(), n, c)
				if got.status != http.StatusOK || got.cut {
					t.Errorf("node %d, %s: %+v", n, c.path, got)
				}
				f.check(t, got, true)
				count, _, runs := f.runsOf(got.attempt)
				if count != 1 || runs[0].Method != c.method || runs[0].Target != c.path || runs[0].Body != c.body {
					t.Errorf("node %d, %s: ran %d times, %+v", n, c.path, count, runs)
				}
			}
			if got := f.send(t.Context(), n, call{method: http.MethodGet, path: "/nowhere/"}); got.status != http.StatusNotFound {
				t.Errorf("unknown path: %d", got.status)
			}
		}
		if got := f.entries(0); len(got) != len(f.nodes) {
			t.Errorf("entries %v", got)
		}
	})
}

func TestStreamsArriveWhole(t *testing.T) {
	run(t, 2, func(t *testing.T, f *fleet) {
		got := f.send(t.Context(), 0, quote())
		if got.status != http.StatusOK || events(got.body) != 10 {
			t.Errorf("got %d events: %+v", events(got.body), got)
		}
		for _, id := range f.backends("llm", "decode") {
			f.instances[id].SetFaults(emulator.InstanceFaults{Truncate: 1})
		}
		got = f.send(t.Context(), 1, quote())
		if !got.cut {
			t.Errorf("a stream that its engine cut off looks complete: %+v", got)
		}
		f.check(t, got, true)
	})
}

// TestFaultyAnswers has a server of the service answer wrongly, in every way of the
// platform's pages, and holds what the caller gets against what may have run.
func TestFaultyAnswers(t *testing.T) {
	faults := map[string]struct {
		faults emulator.InstanceFaults
		// once and repeatable are the statuses that callers may get.
		once, repeatable int
	}{
		"answer lost":        {emulator.InstanceFaults{LoseAnswers: 1}, http.StatusBadGateway, http.StatusOK},
		"answer truncated":   {emulator.InstanceFaults{Truncate: 1}, http.StatusBadGateway, http.StatusOK},
		"bytes of no answer": {emulator.InstanceFaults{Noise: 1}, http.StatusBadGateway, http.StatusOK},
		"no signature":       {emulator.InstanceFaults{Unsigned: 1}, http.StatusBadGateway, http.StatusOK},
		"declined":           {emulator.InstanceFaults{Shed: 1}, http.StatusOK, http.StatusOK},
		"fault of its own":   {emulator.InstanceFaults{Errors: 1}, http.StatusInternalServerError, http.StatusOK},
		"answer too many":    {emulator.InstanceFaults{Extra: 1}, http.StatusOK, http.StatusOK},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			run(t, 1, func(t *testing.T, f *fleet) {
				inflict := func() {
					for _, id := range f.backends("desk", "") {
						f.instances[id].SetFaults(fault.faults)
					}
				}
				inflict()
				got := f.send(t.Context(), 0, booking())
				f.check(t, got, true)
				if got.status != fault.once {
					t.Errorf("booking: %d, want %d: %+v", got.status, fault.once, got)
				}
				for _, id := range f.backends("desk", "")[:1] {
					f.instances[id].SetFaults(emulator.InstanceFaults{})
				}
				for range 4 {
					f.instances[f.backends("desk", "")[1]].SetFaults(fault.faults)
					got = f.send(t.Context(), 0, lookUp())
					f.check(t, got, false)
					if got.status != fault.repeatable {
						t.Errorf("look-up: %d, want %d: %+v", got.status, fault.repeatable, got)
					}
				}
			})
		})
	}
}

func TestFullServiceIsRefusedAtOnce(t *testing.T) {
	run(t, 1, func(t *testing.T, f *fleet) {
		for _, id := range f.backends("desk", "") {
			f.instances[id].SetFaults(emulator.InstanceFaults{Shed: 100})
		}
		began := time.Now()
		got := f.send(t.Context(), 0, booking())
		f.check(t, got, true)
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("%+v", got)
		}
		if took := time.Since(began); took > 200*time.Millisecond {
			t.Errorf("the refusal took %s", took)
		}
	})
}

// TestNodeCutFromTheStoreIsKeptCurrent has the store turn single nodes away while
// it serves the others, in each of its ways.
func TestNodeCutFromTheStoreIsKeptCurrent(t *testing.T) {
	for name, faults := range map[string]emulator.ObjectFaults{
		"silent": {Silent: true}, "503": {Status: http.StatusServiceUnavailable},
		"429": {Status: http.StatusTooManyRequests}, "reset": {Reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range 3 {
				run(t, 3, func(t *testing.T, f *fleet) {
					f.objects.SetHostFaults(f.nodes[cut].host, faults)
					time.Sleep(3 * time.Second)
					f.configure("other")
					time.Sleep(applyBound)
					for n := range f.nodes {
						got := f.send(t.Context(), n, booking())
						f.check(t, got, true)
						if _, where, _ := f.runsOf(got.attempt); len(where) != 1 || where[0] != f.backends("other", "")[0] {
							t.Errorf("node %d of which %d is cut off: ran at %v", n, cut, where)
						}
					}
				})
			}
		})
	}
}

// TestStoreAwayCostsFewCalls has the store answer nobody for a while: it is not
// asked by every node at every interval, and all nodes are current soon after.
func TestStoreAwayCostsFewCalls(t *testing.T) {
	const nodes, away = 10, 8
	run(t, nodes, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		f.objects.SetFaults(emulator.ObjectFaults{Status: http.StatusServiceUnavailable})
		before := f.objects.Counts()
		time.Sleep(away * time.Second)
		calls := f.objects.Counts().Reads - before.Reads
		// Two readers ask for two collections five times in two seconds.
		if most := 2*2*away*5/2 + nodes*2*5; calls > most {
			t.Errorf("%d calls in %d s, want %d at most", calls, away, most)
		}
		f.objects.SetFaults(emulator.ObjectFaults{})
		f.configure("other")
		time.Sleep(applyBound)
		for n := range f.nodes {
			got := f.send(t.Context(), n, booking())
			if _, where, _ := f.runsOf(got.attempt); len(where) != 1 || where[0] != f.backends("other", "")[0] {
				t.Errorf("node %d: ran at %v", n, where)
			}
		}
	})
}

// TestReadersCutOffCostFewCalls has the store turn the two nodes away that read it
// for the others: a few others read it instead, not all.
func TestReadersCutOffCostFewCalls(t *testing.T) {
	const nodes, span = 10, 8
	run(t, nodes, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		for _, n := range f.readers(t) {
			f.objects.SetHostFaults(f.nodes[n].host, emulator.ObjectFaults{Silent: true})
		}
		time.Sleep(3 * time.Second)
		before := f.objects.Counts()
		time.Sleep(span * time.Second)
		answered := f.objects.Counts().Reads - before.Reads - (f.objects.Counts().Refused - before.Refused)
		if most := 4 * 2 * span * 5 / 2; answered > most {
			t.Errorf("%d reads in %d s, want %d at most", answered, span, most)
		}
		f.configure("other")
		time.Sleep(applyBound)
		for n := range f.nodes {
			got := f.send(t.Context(), n, booking())
			if _, where, _ := f.runsOf(got.attempt); len(where) != 1 || where[0] != f.backends("other", "")[0] {
				t.Errorf("node %d: ran at %v", n, where)
			}
		}
	})
}

// readers finds the nodes that read the store, by turning one after the other away
// and looking whether it asks.
func (f *fleet) readers(t *testing.T) []int {
	t.Helper()
	var readers []int
	for n, own := range f.nodes {
		f.objects.SetHostFaults(own.host, emulator.ObjectFaults{Status: http.StatusServiceUnavailable})
		before := f.objects.Counts().Refused
		time.Sleep(time.Second)
		if f.objects.Counts().Refused > before {
			readers = append(readers, n)
		}
		f.objects.SetHostFaults(own.host, emulator.ObjectFaults{})
	}
	return readers
}

func TestLeavingBackEndGetsNothing(t *testing.T) {
	run(t, 3, leavingBackEndsGetNothing)
}

// TestLeavingBackEndOfLongList is the same where the list is so long that nodes read
// and tell its changes only.
func TestLeavingBackEndOfLongList(t *testing.T) {
	run(t, 3, func(t *testing.T, f *fleet) {
		for n := range 300 {
			id := fmt.Sprintf("i-bulk-%03d", n)
			f.objects.Put("servers", id, map[string]any{"service": "bulk", "address": fmt.Sprintf("10.130.0.%d:80", n%250+1), "zone": "south", "state": "ready"})
		}
		time.Sleep(applyBound)
		leavingBackEndsGetNothing(t, f)
		if watches := f.objects.Counts().Watches; watches == 0 {
			t.Error("no node read changes only")
		}
	})
}

func leavingBackEndsGetNothing(t *testing.T, f *fleet) {
	t.Helper()
	leaving := f.backends("desk", "")[0]
	gone := f.backends("llm", "decode")[0]
	f.objects.Put("servers", leaving, f.instances[leaving].Entry("desk", "south", "draining"))
	f.objects.Remove("servers", gone)
	time.Sleep(applyBound)
	before := len(f.instances[leaving].Runs()) + len(f.instances[gone].Runs())
	for n := range f.nodes {
		for _, c := range []call{booking(), lookUp(), quote()} {
			if got := f.send(t.Context(), n, c); got.status != http.StatusOK {
				t.Errorf("%s: %+v", c.path, got)
			}
		}
	}
	if after := len(f.instances[leaving].Runs()) + len(f.instances[gone].Runs()); after != before {
		t.Errorf("%d requests went to back ends that leave", after-before)
	}
}

// TestAddressOfAnotherBackEnd has a back end's address taken over by another
// service's before the list tells it.
func TestAddressOfAnotherBackEnd(t *testing.T) {
	run(t, 1, func(t *testing.T, f *fleet) {
		ids := f.backends("desk", "")
		entry := f.instances[ids[0]].Entry("desk", "south", "ready")
		f.objects.Remove("servers", ids[0])
		f.objects.Put("servers", "i-earlier", entry)
		time.Sleep(applyBound)
		for range 6 {
			got := f.send(t.Context(), 0, booking())
			f.check(t, got, true)
			if _, where, _ := f.runsOf(got.attempt); got.status != http.StatusOK || where[0] != ids[1] {
				t.Errorf("%+v, ran at %v", got, where)
			}
		}
	})
}

// TestPromptIsReadOnce has a decode engine's address taken over: the prompt's KV
// cache is fetched by another engine instead of being read again.
func TestPromptIsReadOnce(t *testing.T) {
	run(t, 1, func(t *testing.T, f *fleet) {
		id := f.backends("llm", "decode")[0]
		f.objects.Remove("servers", id)
		f.objects.Put("servers", "i-0-earlier", f.instances[id].Entry("llm", "south", "ready"))
		time.Sleep(applyBound)
		sent := 0
		for range 4 {
			got := f.send(t.Context(), 0, quote())
			f.check(t, got, true)
			if sent++; got.status != http.StatusOK {
				t.Errorf("%+v", got)
			}
		}
		prefills := 0
		for _, id := range f.backends("llm", "prefill") {
			prefills += f.instances[id].Prefills()
		}
		if prefills != sent {
			t.Errorf("%d prompts were read %d times", sent, prefills)
		}
	})
}

// TestLateRequestGoesOn has prefill engines hang: requests find others, and those
// that missed their target are served while there is room.
func TestLateRequestGoesOn(t *testing.T) {
	run(t, 1, func(t *testing.T, f *fleet) {
		f.instances[f.backends("llm", "prefill")[0]].SetFaults(emulator.InstanceFaults{Slow: 1000})
		for range 3 {
			if got := f.send(t.Context(), 0, quote()); got.status != http.StatusOK {
				t.Errorf("%+v", got)
			}
		}
	})
}

// TestStartsFromNothing has the whole fleet lose power while the store is away,
// and come back before it.
func TestStartsFromNothing(t *testing.T) {
	run(t, 3, func(t *testing.T, f *fleet) {
		f.configure("other")
		for n := range f.nodes {
			f.kill(n)
		}
		f.objects.SetFaults(emulator.ObjectFaults{Silent: true})
		for n := range f.nodes {
			f.start(n)
		}
		began := time.Now()
		time.Sleep(5 * time.Second)
		if got := f.send(t.Context(), 0, booking()); got.status != http.StatusServiceUnavailable {
			t.Errorf("a node without a configuration answers %+v", got)
		}
		f.objects.SetFaults(emulator.ObjectFaults{})
		f.await(t, recoverBound-time.Since(began), "the nodes serve again", func() bool { return f.ready() == 3 })
		for n := range f.nodes {
			if got := f.send(t.Context(), n, booking()); got.status != http.StatusOK {
				t.Errorf("%+v", got)
			}
		}
	})
}

// TestRestartedNodeOwnsNothingAlone has a node start again beside others: it must
// not place requests by itself before it has found them.
func TestRestartedNodeOwnsNothingAlone(t *testing.T) {
	var logs lines
	runLogged(t, 3, &logs, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		for n := range f.nodes {
			f.kill(n)
			time.Sleep(5 * time.Second)
			logs.Reset()
			f.start(n)
			f.await(t, recoverBound, "the node is ready", func() bool { return f.ready() == 3 })
			if got := f.send(t.Context(), n, quote()); got.status != http.StatusOK {
				t.Errorf("node %d: %+v", n, got)
			}
			time.Sleep(3 * time.Second)
			if owned := strings.Count(logs.String(), `"event":2000`); owned > 1 || strings.Contains(logs.String(), `"event":4001`) {
				t.Errorf("node %d: a shard changed its owner %d times", n, owned)
			}
		}
	})
}

// TestStopCutsNothing has a node stop while it is asked all the while: every
// request that it read is answered, and the others take over.
func TestStopCutsNothing(t *testing.T) {
	run(t, 3, func(t *testing.T, f *fleet) {
		const callers = 4
		ended := make(chan int, callers)
		stopping := f.nodes[1]
		for number := range callers {
			go func() {
				sent := 0
				for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); sent++ {
					c := booking()
					if number%2 == 0 {
						c = quote()
					}
					got := f.send(context.Background(), 1, c)
					f.check(t, got, true)
					// A request may cross the close of a connection, or find it refused;
					// then it was not passed on.
					if count, _, _ := f.runsOf(got.attempt); got.cut && count > 0 {
						t.Errorf("cut: %+v", got)
					}
				}
				ended <- sent
			}()
		}
		time.Sleep(500 * time.Millisecond)
		began := time.Now()
		stopping.stop()
		f.await(t, 4*time.Second, "the node leaves the answers", func() bool {
			return f.ready() == 2 && len(f.entries(0)) == 2 && len(f.entries(2)) == 2
		})
		for range callers {
			<-ended
		}
		err := <-stopping.ended
		stopping.ended <- err
		if took := time.Since(began); err != nil || took > stopping.settings.Grace {
			t.Errorf("stopped after %s: %v", took, err)
		}
	})
}

// TestCallerLeaves has a caller close its connection: the engine's work ends.
func TestCallerLeaves(t *testing.T) {
	run(t, 2, func(t *testing.T, f *fleet) {
		for _, after := range []time.Duration{10 * time.Millisecond, 200 * time.Millisecond} {
			ctx, cancel := context.WithTimeoutCause(t.Context(), after, errTest)
			got := f.send(ctx, 0, quote())
			cancel()
			if !got.cut {
				t.Errorf("%+v", got)
			}
			time.Sleep(600 * time.Millisecond)
			for id, instance := range f.instances {
				if used := instance.Used(); used != 0 {
					t.Errorf("after %s: %s still holds %d tokens", after, id, used)
				}
			}
		}
	})
}

// TestDeadlinesArePassedOnAsLeft holds each sending's time against the caller's.
func TestDeadlinesArePassedOnAsLeft(t *testing.T) {
	run(t, 1, func(t *testing.T, f *fleet) {
		for _, id := range f.backends("desk", "") {
			f.instances[id].SetFaults(emulator.InstanceFaults{Slow: 100})
		}
		c := lookUp()
		c.deadline = time.Second
		began := time.Now()
		got := f.send(t.Context(), 0, c)
		if took := time.Since(began); took > 1200*time.Millisecond || got.status != http.StatusGatewayTimeout {
			t.Errorf("after %s: %+v", took, got)
		}
		_, _, runs := f.runsOf(got.attempt)
		for _, r := range runs {
			if left := r.Header.Get("X-Deadline-Ms"); len(left) > 4 || left > "1000" && len(left) == 4 {
				t.Errorf("passed on %s of 1000 ms", left)
			}
		}
		if len(runs) < 2 {
			t.Errorf("a slow look-up was sent %d times", len(runs))
		}
	})
}

// TestUnreadableEntries has the store hold what cannot be read: the last good
// configuration and the readable entries stay in force.
func TestUnreadableEntries(t *testing.T) {
	run(t, 2, func(t *testing.T, f *fleet) {
		for name, spec := range map[string]string{
			"a": `{"service":7}`, "b": `"text"`, "c": `{"service":"desk","address":"nowhere","state":"ready"}`,
			"d": `{"service":"desk","address":"10.128.0.99:8080","state":"melting"}`, "e": `{}`,
		} {
			f.objects.Put("servers", name, json.RawMessage(spec))
		}
		f.objects.Put("config", "main", json.RawMessage(`{"version":"new"}`))
		time.Sleep(applyBound)
		for range 6 {
			if got := f.send(t.Context(), 0, booking()); got.status != http.StatusOK {
				t.Errorf("%+v", got)
			}
		}
		f.configure("other")
		time.Sleep(applyBound)
		got := f.send(t.Context(), 1, booking())
		if _, where, _ := f.runsOf(got.attempt); got.status != http.StatusOK || where[0] != f.backends("other", "")[0] {
			t.Errorf("%+v, ran at %v", got, where)
		}
	})
}

// TestSystemHeadersOfCallersAreDropped has a caller set what only the system may.
func TestSystemHeadersOfCallersAreDropped(t *testing.T) {
	run(t, 1, func(t *testing.T, f *fleet) {
		c := booking()
		c.header = http.Header{
			"X-Kv-Hold": {"h"}, "X-Pin-Ms": {"9"}, "X-Kv-Backup": {"10.0.0.1:1"}, "X-Kv-Source": {"10.0.0.1:1/x"},
			"X-Stage": {"prefill"}, "X-Expect-Instance": {"i-other"}, "Kv-Fetch": {"10.0.0.1:1"}, "X-Own": {"kept"},
		}
		got := f.send(t.Context(), 0, c)
		_, where, runs := f.runsOf(got.attempt)
		if got.status != http.StatusOK || len(runs) != 1 {
			t.Fatalf("%+v, ran at %v", got, where)
		}
		for name := range c.header {
			value := runs[0].Header.Get(name)
			if name == "X-Own" && value != "kept" || name == "X-Expect-Instance" && value != where[0] {
				t.Errorf("%s is %q", name, value)
			}
			if name != "X-Own" && name != "X-Expect-Instance" && value != "" {
				t.Errorf("%s of the caller was passed on", name)
			}
		}
	})
}

// TestBadRequests holds the door's answers to what cannot be taken.
func TestBadRequests(t *testing.T) {
	run(t, 1, func(t *testing.T, f *fleet) {
		large := booking()
		large.body = strings.Repeat("x", 100001)
		late := booking()
		late.deadline = -1
		for _, c := range []struct {
			call   call
			status int
		}{
			{large, http.StatusRequestEntityTooLarge},
			{late, http.StatusServiceUnavailable},
			{call{method: http.MethodGet, path: "/"}, http.StatusNotFound},
		} {
			got := f.send(t.Context(), 0, c.call)
			if got.status != c.status {
				t.Errorf("%s: %d, want %d", c.call.path, got.status, c.status)
			}
			if count, _, _ := f.runsOf(got.attempt); count != 0 {
				t.Errorf("%s ran", c.call.path)
			}
		}
	})
}
