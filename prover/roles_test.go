package prover

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// TestDrainingEngineGetsNoWorkOfEitherRole checks that a decode engine changed to prefill
// gets no new stream, and no prefill until its streams end and it reports the new role.
func TestDrainingEngineGetsNoWorkOfEitherRole(t *testing.T) {
	runWithFleet(t, shape{nodes: 3, prefills: 1, decodes: 2, services: 1}, func(t *testing.T, f *fleet) {
		f.waitFor("the first roles", func() bool {
			return f.engines["prefill-1"].Role() == identifier.Prefill && f.engines["decode-1"].Role() == identifier.Decode
		})
		time.Sleep(2 * time.Second)
		for f.engines["decode-1"].Counts().Running == 0 {
			f.sendUntilFirstToken(time.Now().String()+longPrompt, 400)
		}
		f.setRole("decode-1", identifier.Prefill)
		time.Sleep(2 * time.Second)
		before := f.engines["decode-1"].Counts()
		for range 10 {
			f.sendUntilFirstToken(time.Now().String()+longPrompt, 1)
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
		f.sendUntilFirstToken(time.Now().String()+longPrompt, 1)
		if after := f.engines["decode-1"].Counts(); after.Prefills == 0 || after.Decodes != before.Decodes {
			t.Errorf("a prefill engine got no prefill, or a stream: %+v", after)
		}
	})
}

// sendUntilFirstToken starts a request and reports whether a first token arrived.
func (f *fleet) sendUntilFirstToken(prompt string, tokens int) bool {
	began, ended := make(chan struct{}), make(chan struct{})
	ctx, leave := context.WithCancel(context.Background())
	f.onClose(leave)
	request := completion{id: fmt.Sprintf("%x", xxhash.Sum64String(prompt+time.Now().String())), prompt: prompt, tokens: tokens}
	go func() {
		f.complete(ctx, f.running()[0], request, func(offset int) {
			if offset == 1 {
				close(began)
			}
		})
		close(ended)
	}()
	select {
	case <-began:
		return true
	case <-ended:
		return false
	}
}

// setRole sets the role of an engine in the pools table.
func (f *fleet) setRole(name string, role identifier.Role) {
	members := f.pools.Pools[0].Members
	for i := range members {
		if string(members[i].Name) == name {
			members[i].Role = role
		}
	}
	f.putTables()
}
