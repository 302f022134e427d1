package prover

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// A decode engine that the table makes a prefill engine gets no prefill before
// its streams have ended and it has reported the new role, and no stream any more.
func TestDrainingEngineGetsNoWorkOfEitherRole(t *testing.T) {
	run(t, shape{nodes: 3, prefills: 1, decodes: 2, services: 1}, func(t *testing.T, f *fleet) {
		f.waitFor("the first roles", func() bool {
			return f.engines["prefill-1"].Role() == identifier.Prefill && f.engines["decode-1"].Role() == identifier.Decode
		})
		time.Sleep(2 * time.Second)
		for f.engines["decode-1"].Counts().Running == 0 {
			f.start(t, longPrompt, 400)
		}
		f.setRole("decode-1", identifier.Prefill)
		time.Sleep(2 * time.Second)
		before := f.engines["decode-1"].Counts()
		for range 10 {
			f.start(t, longPrompt, 1)
			time.Sleep(200 * time.Millisecond)
		}
		during := f.engines["decode-1"].Counts()
		if during.Running == 0 {
			t.Fatal("the streams ended before the requests did")
		}
		if during.Prefills != before.Prefills || during.Decodes != before.Decodes {
			t.Errorf("a draining engine got work: %+v, before %+v", during, before)
		}
		f.waitFor("the new role", func() bool { return f.engines["decode-1"].Role() == identifier.Prefill })
		time.Sleep(2 * time.Second)
		f.start(t, longPrompt, 1)
		if after := f.engines["decode-1"].Counts(); after.Prefills == 0 || after.Decodes != before.Decodes {
			t.Errorf("a prefill engine got no prefill, or a stream: %+v", after)
		}
	})
}

// start sends a request and returns at its first token.
func (f *fleet) start(t *testing.T, prompt string, tokens int) {
	t.Helper()
	began, ended := make(chan struct{}), make(chan answer, 1)
	ctx, leave := context.WithCancel(context.Background())
	f.atEnd(leave)
	name := fmt.Sprintf("start-%d", time.Now().UnixNano())
	// No two prompts share their beginning, or affinity would choose the engine.
	request := completion{id: name, prompt: name + prompt, tokens: tokens}
	go func() {
		got := f.complete(ctx, f.node("node-1"), request, func(offset int) {
			if offset == 1 {
				close(began)
			}
		})
		ended <- got
	}()
	select {
	case <-began:
	case got := <-ended:
		t.Fatalf("no answer: %+v", got)
	}
}

// setRole makes an operator change the role of an engine.
func (f *fleet) setRole(name string, role identifier.Role) {
	members := f.pools.Pools[0].Members
	for i := range members {
		if string(members[i].Name) == name {
			members[i].Role = role
		}
	}
	f.putTables()
}
