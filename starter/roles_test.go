package starter_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestEngineChangesItsRole has answers so long that the pool's two decode engines
// are the scarce ones: one of the two prefill engines is told to decode, by one node
// and once, no request fails meanwhile, and it decodes afterwards.
func TestEngineChangesItsRole(t *testing.T) {
	run(t, 3, func(t *testing.T, f *fleet) {
		ctx, stop := context.WithCancel(t.Context())
		answers := make(chan answer, 1000)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			f.flow(ctx, 250*time.Millisecond, answers)
		}()
		prefills := f.backends("llm", "prefill")
		decoding := func() (ids []string) {
			for _, id := range prefills {
				if f.instances[id].Stage() == "decode" {
					ids = append(ids, id)
				}
			}
			return ids
		}
		f.await(t, 40*time.Second, "an engine decodes", func() bool { return len(decoding()) > 0 })
		changed := f.instances[decoding()[0]]
		f.await(t, 10*time.Second, "the engine is used", func() bool { return len(changed.Runs()) > 0 })
		time.Sleep(10 * time.Second)
		stop()
		<-ended
		close(answers)
		for a := range answers {
			if a.status != http.StatusOK || a.cut {
				t.Errorf("%+v", a)
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

// flow sends quotes through the nodes in turn until ctx ends, and waits for them.
func (f *fleet) flow(ctx context.Context, gap time.Duration, answers chan<- answer) {
	open := 0
	done := make(chan struct{}, 1000)
	for n := 0; ctx.Err() == nil; n++ {
		c := quote()
		c.path += strconv.Itoa(n)
		c.header.Set("X-Token-Counts", "1000,1500")
		c.header.Set("X-Length-Hint", "1500")
		open++
		go func() {
			answers <- f.send(f.t.Context(), n%len(f.nodes), c)
			done <- struct{}{}
		}()
		time.Sleep(gap)
	}
	for range open {
		<-done
	}
}

// TestNoPrefillEngineListed takes all prefill engines off the list: the decode engines
// read the prompts themselves.
func TestNoPrefillEngineListed(t *testing.T) {
	run(t, 2, func(t *testing.T, f *fleet) {
		for _, id := range f.backends("llm", "prefill") {
			f.objects.Remove("servers", id)
		}
		time.Sleep(applyBound)
		got := f.send(t.Context(), 0, quote())
		if got.status != http.StatusOK || got.cut {
			t.Errorf("%+v", got)
		}
	})
}

// TestNewOwnerAvoidsEngineThatChanges has all nodes killed while an engine changes its
// role: the new owner does not know of the order, and must find out at once.
func TestNewOwnerAvoidsEngineThatChanges(t *testing.T) {
	run(t, 2, func(t *testing.T, f *fleet) {
		id := f.backends("llm", "prefill")[0]
		f.order(t, id, "decode")
		f.kill(0)
		f.kill(1)
		f.start(0)
		f.start(1)
		f.await(t, recoverBound, "the nodes are ready", func() bool { return f.ready() == 2 })
		before := f.instances[id].Declined()
		// Together they take less than an engine that declined is left alone for.
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

// order tells an engine to change its role, as an earlier owner did.
func (f *fleet) order(t *testing.T, id, stage string) {
	t.Helper()
	f.instances[id].SetSwitch(time.Minute)
	address := strings.TrimPrefix(id, "i-")
	body := strings.NewReader(`{"op":"stage","stage":"` + stage + `","holder":"other","fence":1}`)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/v1/order", body)
	if err != nil {
		t.Fatal(err)
	}
	if got := f.do(request); got.status != http.StatusAccepted {
		t.Fatalf("%+v", got)
	}
}
