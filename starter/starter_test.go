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
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		for n := range f.nodes {
			for _, c := range []request{booking(), lookUp(), quote()} {
				got := f.send(t.Context(), n, c)
				if got.status != http.StatusOK || got.truncated {
					t.Errorf("node %d, %s: %+v", n, c.path, got)
				}
				f.checkResponse(t, got, true)
				count, _, runs := f.findRuns(got.attempt)
				if count != 1 || runs[0].Method != c.method || runs[0].Target != c.path || runs[0].Body != c.body {
					t.Errorf("node %d, %s: ran %d times, %+v", n, c.path, count, runs)
				}
			}
			if got := f.send(t.Context(), n, request{method: http.MethodGet, path: "/nowhere/"}); got.status != http.StatusNotFound {
				t.Errorf("unknown path: %d", got.status)
			}
		}
		if got := f.addresses(0); len(got) != len(f.nodes) {
			t.Errorf("entries %v", got)
		}
	})
}

func TestTruncatedStreamReachesCallerAsTruncated(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, f *fleet) {
		got := f.send(t.Context(), 0, quote())
		if got.status != http.StatusOK || countEvents(got.body) != 10 {
			t.Errorf("got %d events: %+v", countEvents(got.body), got)
		}
		for _, id := range f.instanceIDs("llm", "decode") {
			f.instances[id].SetFaults(emulator.InstanceFaults{Truncate: 1})
		}
		got = f.send(t.Context(), 1, quote())
		if !got.truncated {
			t.Errorf("a truncated stream looks complete: %+v", got)
		}
		f.checkResponse(t, got, true)
	})
}

// TestBackendFaults checks, for each fault in the platform's specification, the status that
// the caller gets and that no unsafe request runs twice.
func TestBackendFaults(t *testing.T) {
	faults := map[string]struct {
		faults emulator.InstanceFaults
		// unsafeStatus and safeStatus are the expected statuses of a booking and a look-up.
		unsafeStatus, safeStatus int
	}{
		"response lost":         {emulator.InstanceFaults{LoseAnswers: 1}, http.StatusBadGateway, http.StatusOK},
		"response truncated":    {emulator.InstanceFaults{Truncate: 1}, http.StatusBadGateway, http.StatusOK},
		"garbage bytes":         {emulator.InstanceFaults{Noise: 1}, http.StatusBadGateway, http.StatusOK},
		"no signature":          {emulator.InstanceFaults{Unsigned: 1}, http.StatusBadGateway, http.StatusOK},
		"declined":              {emulator.InstanceFaults{Shed: 1}, http.StatusOK, http.StatusOK},
		"internal server error": {emulator.InstanceFaults{Errors: 1}, http.StatusInternalServerError, http.StatusOK},
		"extra response":        {emulator.InstanceFaults{Extra: 1}, http.StatusOK, http.StatusOK},
	}
	for name, test := range faults {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 1, func(t *testing.T, f *fleet) {
				injectFaults := func() {
					for _, id := range f.instanceIDs("desk", "") {
						f.instances[id].SetFaults(test.faults)
					}
				}
				injectFaults()
				got := f.send(t.Context(), 0, booking())
				f.checkResponse(t, got, true)
				if got.status != test.unsafeStatus {
					t.Errorf("booking: %d, want %d: %+v", got.status, test.unsafeStatus, got)
				}
				for _, id := range f.instanceIDs("desk", "")[:1] {
					f.instances[id].SetFaults(emulator.InstanceFaults{})
				}
				for range 4 {
					f.instances[f.instanceIDs("desk", "")[1]].SetFaults(test.faults)
					got = f.send(t.Context(), 0, lookUp())
					f.checkResponse(t, got, false)
					if got.status != test.safeStatus {
						t.Errorf("look-up: %d, want %d: %+v", got.status, test.safeStatus, got)
					}
				}
			})
		})
	}
}

func TestOverloadIsRejectedImmediately(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		for _, id := range f.instanceIDs("desk", "") {
			f.instances[id].SetFaults(emulator.InstanceFaults{Shed: 100})
		}
		began := time.Now()
		got := f.send(t.Context(), 0, booking())
		f.checkResponse(t, got, true)
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("%+v", got)
		}
		if took := time.Since(began); took > 200*time.Millisecond {
			t.Errorf("the rejection took %s", took)
		}
	})
}

// TestNodeWithoutStoreIsUpdatedByPeers makes all store calls of one node fail, in each way
// that the store can. The node must still get new configurations from the other nodes.
func TestNodeWithoutStoreIsUpdatedByPeers(t *testing.T) {
	for name, faults := range map[string]emulator.ObjectFaults{
		"silent": {Silent: true}, "503": {Status: http.StatusServiceUnavailable},
		"429": {Status: http.StatusTooManyRequests}, "reset": {Reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			for rejectedNode := range 3 {
				runFleet(t, 3, func(t *testing.T, f *fleet) {
					f.objects.SetHostFaults(f.nodes[rejectedNode].host, faults)
					time.Sleep(3 * time.Second)
					f.configure("other")
					time.Sleep(applyTimeout)
					for n := range f.nodes {
						got := f.send(t.Context(), n, booking())
						f.checkResponse(t, got, true)
						if _, ranAt, _ := f.findRuns(got.attempt); len(ranAt) != 1 || ranAt[0] != f.instanceIDs("other", "")[0] {
							t.Errorf("node %d, with node %d rejected by the store: ran at %v", n, rejectedNode, ranAt)
						}
					}
				})
			}
		})
	}
}

// TestStoreOutageLimitsCalls guards against a store outage in which all nodes poll at every
// interval, not only the two readers. Soon after the outage all nodes must be up to date.
func TestStoreOutageLimitsCalls(t *testing.T) {
	const nodeCount, outageSeconds = 10, 8
	runFleet(t, nodeCount, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		f.objects.SetFaults(emulator.ObjectFaults{Status: http.StatusServiceUnavailable})
		before := f.objects.Counts()
		time.Sleep(outageSeconds * time.Second)
		calls := f.objects.Counts().Reads - before.Reads
		// Two readers read two collections five times in two seconds.
		if maxCalls := 2*2*outageSeconds*5/2 + nodeCount*2*5; calls > maxCalls {
			t.Errorf("%d calls in %d s, want %d at most", calls, outageSeconds, maxCalls)
		}
		f.objects.SetFaults(emulator.ObjectFaults{})
		f.configure("other")
		time.Sleep(applyTimeout)
		for n := range f.nodes {
			got := f.send(t.Context(), n, booking())
			if _, ranAt, _ := f.findRuns(got.attempt); len(ranAt) != 1 || ranAt[0] != f.instanceIDs("other", "")[0] {
				t.Errorf("node %d: ran at %v", n, ranAt)
			}
		}
	})
}

// TestStoreReaderFailoverLimitsReads makes the store reject the two nodes that read it for
// the fleet. A few other nodes must take over, not all of them.
func TestStoreReaderFailoverLimitsReads(t *testing.T) {
	const nodeCount, measuredSeconds = 10, 8
	runFleet(t, nodeCount, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		for _, n := range f.findStoreReaders(t) {
			f.objects.SetHostFaults(f.nodes[n].host, emulator.ObjectFaults{Silent: true})
		}
		time.Sleep(3 * time.Second)
		before := f.objects.Counts()
		time.Sleep(measuredSeconds * time.Second)
		answeredReads := f.objects.Counts().Reads - before.Reads - (f.objects.Counts().Refused - before.Refused)
		if maxReads := 4 * 2 * measuredSeconds * 5 / 2; answeredReads > maxReads {
			t.Errorf("%d reads in %d s, want %d at most", answeredReads, measuredSeconds, maxReads)
		}
		f.configure("other")
		time.Sleep(applyTimeout)
		for n := range f.nodes {
			got := f.send(t.Context(), n, booking())
			if _, ranAt, _ := f.findRuns(got.attempt); len(ranAt) != 1 || ranAt[0] != f.instanceIDs("other", "")[0] {
				t.Errorf("node %d: ran at %v", n, ranAt)
			}
		}
	})
}

// findStoreReaders returns the nodes that poll the store. It makes the store reject one
// node at a time and counts the rejected calls.
func (f *fleet) findStoreReaders(t *testing.T) []int {
	t.Helper()
	var readers []int
	for n, node := range f.nodes {
		f.objects.SetHostFaults(node.host, emulator.ObjectFaults{Status: http.StatusServiceUnavailable})
		before := f.objects.Counts().Refused
		time.Sleep(time.Second)
		if f.objects.Counts().Refused > before {
			readers = append(readers, n)
		}
		f.objects.SetHostFaults(node.host, emulator.ObjectFaults{})
	}
	return readers
}

func TestLeavingBackendGetsNoRequests(t *testing.T) {
	runFleet(t, 3, checkLeavingBackendsGetNoRequests)
}

// TestLeavingBackendInLongList uses a list so long that nodes read and send only changes.
func TestLeavingBackendInLongList(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		for n := range 300 {
			id := fmt.Sprintf("i-bulk-%03d", n)
			f.objects.Put("servers", id, map[string]any{"service": "bulk", "address": fmt.Sprintf("10.130.0.%d:80", n%250+1), "zone": "south", "state": "ready"})
		}
		time.Sleep(applyTimeout)
		checkLeavingBackendsGetNoRequests(t, f)
		if watches := f.objects.Counts().Watches; watches == 0 {
			t.Error("no node watched the store for changes")
		}
	})
}

func checkLeavingBackendsGetNoRequests(t *testing.T, f *fleet) {
	t.Helper()
	leavingID := f.instanceIDs("desk", "")[0]
	removedID := f.instanceIDs("llm", "decode")[0]
	f.objects.Put("servers", leavingID, f.instances[leavingID].Entry("desk", "south", "draining"))
	f.objects.Remove("servers", removedID)
	time.Sleep(applyTimeout)
	before := len(f.instances[leavingID].Runs()) + len(f.instances[removedID].Runs())
	for n := range f.nodes {
		for _, c := range []request{booking(), lookUp(), quote()} {
			if got := f.send(t.Context(), n, c); got.status != http.StatusOK {
				t.Errorf("%s: %+v", c.path, got)
			}
		}
	}
	if after := len(f.instances[leavingID].Runs()) + len(f.instances[removedID].Runs()); after != before {
		t.Errorf("leaving or removed back ends ran %d requests", after-before)
	}
}

// TestBackendAddressReused lists a back end whose address another server has taken over.
// No request may run on that server.
func TestBackendAddressReused(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		ids := f.instanceIDs("desk", "")
		entry := f.instances[ids[0]].Entry("desk", "south", "ready")
		f.objects.Remove("servers", ids[0])
		f.objects.Put("servers", "i-earlier", entry)
		time.Sleep(applyTimeout)
		for range 6 {
			got := f.send(t.Context(), 0, booking())
			f.checkResponse(t, got, true)
			if _, ranAt, _ := f.findRuns(got.attempt); got.status != http.StatusOK || ranAt[0] != ids[1] {
				t.Errorf("%+v, ran at %v", got, ranAt)
			}
		}
	})
}

// TestDecodeRetryReusesPrefill lists a decode engine whose address was taken over. Another
// engine must fetch the prompt's KV cache instead of causing a second prefill.
func TestDecodeRetryReusesPrefill(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		id := f.instanceIDs("llm", "decode")[0]
		f.objects.Remove("servers", id)
		f.objects.Put("servers", "i-0-earlier", f.instances[id].Entry("llm", "south", "ready"))
		time.Sleep(applyTimeout)
		sent := 0
		for range 4 {
			got := f.send(t.Context(), 0, quote())
			f.checkResponse(t, got, true)
			if sent++; got.status != http.StatusOK {
				t.Errorf("%+v", got)
			}
		}
		prefills := 0
		for _, id := range f.instanceIDs("llm", "prefill") {
			prefills += f.instances[id].Prefills()
		}
		if prefills != sent {
			t.Errorf("%d prompts were prefilled %d times", sent, prefills)
		}
	})
}

// TestSlowPrefillEngineFailover makes a prefill engine hang. Requests must move to another
// engine. While there is room, they are served even after they missed their latency target.
func TestSlowPrefillEngineFailover(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		f.instances[f.instanceIDs("llm", "prefill")[0]].SetFaults(emulator.InstanceFaults{Slow: 1000})
		for range 3 {
			if got := f.send(t.Context(), 0, quote()); got.status != http.StatusOK {
				t.Errorf("%+v", got)
			}
		}
	})
}

// TestColdStartDuringStoreOutage restarts the whole fleet, as after a power failure, while
// the store is down. The nodes must serve again once the store is back.
func TestColdStartDuringStoreOutage(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
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
			t.Errorf("a node without a configuration returned %+v", got)
		}
		f.objects.SetFaults(emulator.ObjectFaults{})
		f.waitFor(t, recoveryTimeout-time.Since(began), "the nodes serve again", func() bool { return f.readyNodes() == 3 })
		for n := range f.nodes {
			if got := f.send(t.Context(), n, booking()); got.status != http.StatusOK {
				t.Errorf("%+v", got)
			}
		}
	})
}

// TestRestartedNodeJoinsBeforeOwningShards guards against a restarted node that places
// requests on its own before it has found the other nodes.
func TestRestartedNodeJoinsBeforeOwningShards(t *testing.T) {
	var logs logBuffer
	runFleetWithLogs(t, 3, &logs, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		for n := range f.nodes {
			f.kill(n)
			time.Sleep(5 * time.Second)
			logs.Reset()
			f.start(n)
			f.waitFor(t, recoveryTimeout, "the node is ready", func() bool { return f.readyNodes() == 3 })
			if got := f.send(t.Context(), n, quote()); got.status != http.StatusOK {
				t.Errorf("node %d: %+v", n, got)
			}
			time.Sleep(3 * time.Second)
			if ownerChanges := strings.Count(logs.String(), `"event":2000`); ownerChanges > 1 || strings.Contains(logs.String(), `"event":4001`) {
				t.Errorf("node %d: shards changed owner %d times", n, ownerChanges)
			}
		}
	})
}

// TestGracefulShutdown stops a node under load. Every request that it has read must be
// answered, and the other nodes must take over.
func TestGracefulShutdown(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		const callers = 4
		callersDone := make(chan int, callers)
		stoppingNode := f.nodes[1]
		for number := range callers {
			go func() {
				sent := 0
				for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); sent++ {
					c := booking()
					if number%2 == 0 {
						c = quote()
					}
					got := f.send(context.Background(), 1, c)
					f.checkResponse(t, got, true)
					// A request may arrive as a connection closes, or the connection may be refused;
					// in both cases no back end may have received the request.
					if count, _, _ := f.findRuns(got.attempt); got.truncated && count > 0 {
						t.Errorf("truncated: %+v", got)
					}
				}
				callersDone <- sent
			}()
		}
		time.Sleep(500 * time.Millisecond)
		began := time.Now()
		stoppingNode.stop()
		f.waitFor(t, 4*time.Second, "the stopping node is removed from address answers", func() bool {
			return f.readyNodes() == 2 && len(f.addresses(0)) == 2 && len(f.addresses(2)) == 2
		})
		for range callers {
			<-callersDone
		}
		err := <-stoppingNode.exited
		stoppingNode.exited <- err
		if took := time.Since(began); err != nil || took > stoppingNode.settings.TerminationGrace {
			t.Errorf("stopped after %s: %v", took, err)
		}
	})
}

// TestCallerDisconnectFreesEngineMemory closes a caller's connection during a request. The
// engines must stop the work and free its memory.
func TestCallerDisconnectFreesEngineMemory(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, f *fleet) {
		for _, after := range []time.Duration{10 * time.Millisecond, 200 * time.Millisecond} {
			ctx, cancel := context.WithTimeoutCause(t.Context(), after, errCallerDisconnected)
			got := f.send(ctx, 0, quote())
			cancel()
			if !got.truncated {
				t.Errorf("%+v", got)
			}
			time.Sleep(600 * time.Millisecond)
			for id, instance := range f.instances {
				if used := instance.Used(); used != 0 {
					t.Errorf("after %s: %s still uses %d tokens", after, id, used)
				}
			}
		}
	})
}

// TestRemainingDeadlineIsForwarded guards against attempts that outlive the caller's deadline.
func TestRemainingDeadlineIsForwarded(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		for _, id := range f.instanceIDs("desk", "") {
			f.instances[id].SetFaults(emulator.InstanceFaults{Slow: 100})
		}
		c := lookUp()
		c.deadline = time.Second
		began := time.Now()
		got := f.send(t.Context(), 0, c)
		if took := time.Since(began); took > 1200*time.Millisecond || got.status != http.StatusGatewayTimeout {
			t.Errorf("after %s: %+v", took, got)
		}
		_, _, runs := f.findRuns(got.attempt)
		for _, r := range runs {
			if remainingMs := r.Header.Get("X-Deadline-Ms"); len(remainingMs) > 4 || remainingMs > "1000" && len(remainingMs) == 4 {
				t.Errorf("an attempt carried %s ms of the 1000 ms deadline", remainingMs)
			}
		}
		if len(runs) < 2 {
			t.Errorf("a slow look-up had %d attempts", len(runs))
		}
	})
}

// TestInvalidStoreObjectsAreIgnored puts objects into the store that cannot be parsed. The
// last valid configuration and the valid back ends must stay in use.
func TestInvalidStoreObjectsAreIgnored(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, f *fleet) {
		for name, spec := range map[string]string{
			"a": `{"service":7}`, "b": `"text"`, "c": `{"service":"desk","address":"nowhere","state":"ready"}`,
			"d": `{"service":"desk","address":"10.128.0.99:8080","state":"melting"}`, "e": `{}`,
		} {
			f.objects.Put("servers", name, json.RawMessage(spec))
		}
		f.objects.Put("config", "main", json.RawMessage(`{"version":"new"}`))
		time.Sleep(applyTimeout)
		for range 6 {
			if got := f.send(t.Context(), 0, booking()); got.status != http.StatusOK {
				t.Errorf("%+v", got)
			}
		}
		f.configure("other")
		time.Sleep(applyTimeout)
		got := f.send(t.Context(), 1, booking())
		if _, ranAt, _ := f.findRuns(got.attempt); got.status != http.StatusOK || ranAt[0] != f.instanceIDs("other", "")[0] {
			t.Errorf("%+v, ran at %v", got, ranAt)
		}
	})
}

// TestInternalHeadersFromCallersAreDropped sends headers that only the router may set.
func TestInternalHeadersFromCallersAreDropped(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		c := booking()
		c.header = http.Header{
			"X-Kv-Hold": {"h"}, "X-Pin-Ms": {"9"}, "X-Kv-Backup": {"10.0.0.1:1"}, "X-Kv-Source": {"10.0.0.1:1/x"},
			"X-Stage": {"prefill"}, "X-Expect-Instance": {"i-other"}, "Kv-Fetch": {"10.0.0.1:1"}, "X-Own": {"kept"},
		}
		got := f.send(t.Context(), 0, c)
		_, ranAt, runs := f.findRuns(got.attempt)
		if got.status != http.StatusOK || len(runs) != 1 {
			t.Fatalf("%+v, ran at %v", got, ranAt)
		}
		for name := range c.header {
			value := runs[0].Header.Get(name)
			if name == "X-Own" && value != "kept" || name == "X-Expect-Instance" && value != ranAt[0] {
				t.Errorf("%s is %q", name, value)
			}
			if name != "X-Own" && name != "X-Expect-Instance" && value != "" {
				t.Errorf("the caller's header %s was forwarded", name)
			}
		}
	})
}

// TestBadRequests checks the status of requests that the node rejects without an attempt.
func TestBadRequests(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		oversizedBooking := booking()
		oversizedBooking.body = strings.Repeat("x", 100001)
		expiredBooking := booking()
		expiredBooking.deadline = -1
		for _, test := range []struct {
			request request
			status  int
		}{
			{oversizedBooking, http.StatusRequestEntityTooLarge},
			{expiredBooking, http.StatusServiceUnavailable},
			{request{method: http.MethodGet, path: "/"}, http.StatusNotFound},
		} {
			got := f.send(t.Context(), 0, test.request)
			if got.status != test.status {
				t.Errorf("%s: %d, want %d", test.request.path, got.status, test.status)
			}
			if count, _, _ := f.findRuns(got.attempt); count != 0 {
				t.Errorf("%s ran", test.request.path)
			}
		}
	})
}
