package starter_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestEngineRoleChange sends requests with answers so long that the pool's two decode
// engines are its bottleneck. One node must order one of the two prefill engines to
// decode, once. No request may fail meanwhile, and the engine must decode afterwards.
func TestEngineRoleChange(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		ctx, stop := context.WithCancel(t.Context())
		responses := make(chan clientResponse, 1000)
		senderDone := make(chan struct{})
		go func() {
			defer close(senderDone)
			f.sendQuotes(ctx, 250*time.Millisecond, responses)
		}()
		prefills := f.instanceIDs("llm", "prefill")
		switchedEngines := func() (ids []string) {
			for _, id := range prefills {
				if f.instances[id].Stage() == "decode" {
					ids = append(ids, id)
				}
			}
			return ids
		}
		f.waitFor(t, 40*time.Second, "an engine decodes", func() bool { return len(switchedEngines()) > 0 })
		switchedEngine := f.instances[switchedEngines()[0]]
		f.waitFor(t, 10*time.Second, "the engine is used", func() bool { return len(switchedEngine.Runs()) > 0 })
		time.Sleep(10 * time.Second)
		stop()
		<-senderDone
		close(responses)
		for response := range responses {
			if response.status != http.StatusOK || response.truncated {
				t.Errorf("%+v", response)
			}
		}
		for _, id := range prefills {
			orders := f.instances[id].Orders()
			if len(orders) > 1 || len(orders) == 1 && orders[0].Stage != "decode" {
				t.Errorf("%s: %+v", id, orders)
			}
		}
	})
}

// sendQuotes sends quotes to the nodes in turn until ctx ends, and waits for the responses.
func (f *fleet) sendQuotes(ctx context.Context, interval time.Duration, responses chan<- clientResponse) {
	inFlight := 0
	done := make(chan struct{}, 1000)
	for n := 0; ctx.Err() == nil; n++ {
		c := quote()
		c.path += strconv.Itoa(n)
		c.header.Set("X-Token-Counts", "1000,1500")
		c.header.Set("X-Length-Hint", "1500")
		inFlight++
		go func() {
			responses <- f.send(f.t.Context(), n%len(f.nodes), c)
			done <- struct{}{}
		}()
		time.Sleep(interval)
	}
	for range inFlight {
		<-done
	}
}

// TestNoPrefillEngineListed removes all prefill engines from the list. The decode engines
// must then prefill the prompts themselves.
func TestNoPrefillEngineListed(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, f *fleet) {
		for _, id := range f.instanceIDs("llm", "prefill") {
			f.objects.Remove("servers", id)
		}
		time.Sleep(applyTimeout)
		got := f.send(t.Context(), 0, quote())
		if got.status != http.StatusOK || got.truncated {
			t.Errorf("%+v", got)
		}
	})
}

// TestNewOwnerAvoidsEngineChangingRole kills all nodes during a role change. The new owner
// does not know of the order and must avoid the engine after one declined prompt.
func TestNewOwnerAvoidsEngineChangingRole(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, f *fleet) {
		id := f.instanceIDs("llm", "prefill")[0]
		f.orderRoleChange(t, id, "decode")
		f.kill(0)
		f.kill(1)
		f.start(0)
		f.start(1)
		f.waitFor(t, recoveryTimeout, "the nodes are ready", func() bool { return f.readyNodes() == 2 })
		before := f.instances[id].Declined()
		// The three requests end while the node still avoids the engine that declined one.
		for range 3 {
			if got := f.send(t.Context(), 0, quote()); got.status != http.StatusOK {
				t.Errorf("%+v", got)
			}
		}
		if declined := f.instances[id].Declined() - before; declined > 1 {
			t.Errorf("the engine declined %d prompts", declined)
		}
	})
}

// orderRoleChange orders an engine to change its role, as an earlier owner would.
func (f *fleet) orderRoleChange(t *testing.T, id, stage string) {
	t.Helper()
	f.instances[id].SetSwitch(time.Minute)
	address := strings.TrimPrefix(id, "i-")
	body := strings.NewReader(`{"op":"stage","stage":"` + stage + `","holder":"other","fence":1}`)
	httpRequest, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/v1/order", body)
	if err != nil {
		t.Fatal(err)
	}
	if got := f.do(httpRequest); got.status != http.StatusAccepted {
		t.Fatalf("%+v", got)
	}
}
