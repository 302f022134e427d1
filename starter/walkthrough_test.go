package starter_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/explainer"
)

// TestWalkThroughs brings about the three failed requests that docs/OPERATIONS.md
// explains, and holds that the logs alone lead from the request's id to its cause.
// With -v it prints the timelines of that page.
func TestWalkThroughs(t *testing.T) {
	t.Run("refused although engines look free", func(t *testing.T) {
		walk(t, func(t *testing.T, f *fleet) string {
			return f.refusedInBurst(t)
		}, 2032, 6201)
	})
	t.Run("answer cut in the middle", func(t *testing.T) {
		walk(t, func(t *testing.T, f *fleet) string {
			for _, id := range f.backends("llm", "decode") {
				f.instances[id].SetFaults(emulator.InstanceFaults{Truncate: 1})
			}
			got := f.send(t.Context(), 0, quote())
			if !got.cut {
				t.Errorf("%+v", got)
			}
			return got.attempt
		}, 6203, 6202)
	})
	t.Run("booking reported unknown", func(t *testing.T) {
		walk(t, func(t *testing.T, f *fleet) string {
			for _, id := range f.backends("desk", "") {
				f.instances[id].SetFaults(emulator.InstanceFaults{LoseAnswers: 1})
			}
			got := f.send(t.Context(), 0, booking())
			if got.status != http.StatusBadGateway {
				t.Errorf("%+v", got)
			}
			return got.attempt
		}, 6203, 6207, 6202)
	})
}

// lines holds the logs of several nodes, which write at the same time.
type lines struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (l *lines) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(line)
}

func (l *lines) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.String()
}

func (l *lines) Reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.text.Reset()
}

// walk runs a scenario that returns a request's id, and holds the events that its
// timeline must have, in this order.
func walk(t *testing.T, scenario func(t *testing.T, f *fleet) string, events ...int) {
	t.Helper()
	var logs lines
	var request string
	runLogged(t, 2, &logs, func(t *testing.T, f *fleet) { request = scenario(t, f) })
	collector := explainer.New(request)
	if err := collector.Read(strings.NewReader(logs.String())); err != nil {
		t.Fatal(err)
	}
	timeline := collector.Timeline()
	var text strings.Builder
	if err := explainer.Print(&text, timeline); err != nil {
		t.Fatal(err)
	}
	t.Log("request " + request + "\n" + text.String())
	for _, line := range timeline {
		if len(events) > 0 && line.Event == events[0] {
			events = events[1:]
		}
	}
	if len(events) > 0 {
		t.Errorf("the timeline has no event %d in its place", events[0])
	}
}

// refusedInBurst sends more large requests at once than the engines will hold, and
// returns the last one that was refused.
func (f *fleet) refusedInBurst(t *testing.T) string {
	const burst = 20
	large := quote()
	large.header = large.header.Clone()
	large.header.Set("X-Token-Counts", "6000,1500")
	large.header.Set("X-Length-Hint", "1500")
	var mutex sync.Mutex
	var refused []string
	var group sync.WaitGroup
	for n := range burst {
		time.Sleep(10 * time.Millisecond)
		// Requests that are alike would be taken for one caller who comes back.
		own := large
		own.path = fmt.Sprintf("/quote/%d", n)
		group.Go(func() {
			got := f.send(context.Background(), n%2, own)
			f.check(t, got, true)
			mutex.Lock()
			defer mutex.Unlock()
			if got.status == http.StatusServiceUnavailable {
				refused = append(refused, got.attempt)
			}
		})
	}
	group.Wait()
	slices.Sort(refused)
	if len(refused) == 0 {
		t.Fatal("nothing was refused")
	}
	return refused[len(refused)-1]
}
