package forwarder

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/isolator"
	"github.com/foxtailspool/foxtailspool/limiter"
)

// lookUpBackends is three servers of a plain service. results has the result of each send in
// turn, a status or an error; after the last one all are answered with 200.
type lookUpBackends struct {
	*fakeFleet
	mutex   sync.Mutex
	results []any
	sentTo  []identifier.Member
}

func (b *lookUpBackends) Send(_ context.Context, work Work) (*Answer, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.sentTo = append(b.sentTo, work.Backend.Name)
	var result any = 200
	if len(b.results) > 0 {
		result, b.results = b.results[0], b.results[1:]
	}
	if err, failed := result.(error); failed {
		return nil, err
	}
	status, _ := result.(int)
	return &Answer{Status: status, Length: 2, Framed: true, Body: bufferedBody{bytes.NewReader([]byte("ok"))}}, nil
}

// newLookUps returns a forwarder of look-ups for a fleet of one node whose budget allows two
// retries for ten requests.
func newLookUps(backends *lookUpBackends) (*Forwarder, *limiter.Budget) {
	configuration := NewConfiguration(1, []Route{
		{Name: "find", Prefix: "/find", Kind: Repeatable, Backends: 2, Target: 300 * time.Millisecond, Destinations: []Destination{{Pool: "desk", Weight: 1}}},
	}, []Pool{{Name: "desk"}}, Limits{})
	table := NewTable(configuration, []Backend{
		{Name: "desk-1", Pool: "desk", Role: identifier.Service},
		{Name: "desk-2", Pool: "desk", Role: identifier.Service},
		{Name: "desk-3", Pool: "desk", Role: identifier.Service},
	}, true)
	backends.fakeFleet = &fakeFleet{table: table}
	budgets := limiter.New(limiter.Options{Fleet: &limiter.FleetBudget{Ratio: 0.2, Slack: 100, Window: time.Second, Nodes: func() (int, bool) { return 1, false }}})
	return New(Options{
		Table: func() *Table { return table }, Backends: backends, Reacher: backends,
		Isolator: isolator.New(isolator.Options{}), Budgets: budgets,
	}), budgets.Pool("desk")
}

func lookUpOnce(t *testing.T, f *Forwarder) (status int) {
	t.Helper()
	reply, refusal := f.Forward(t.Context(), &Request{Attempt: "a", Path: "/find", Arrived: time.Now(), Timeout: time.Second})
	if refusal != nil {
		return 0
	}
	defer reply.Close()
	return reply.Status
}

// TestLookUpCountsOnceInBudget guards against a look-up that earned twice what it may: the
// fleet then sent more retries than its budget.
func TestLookUpCountsOnceInBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, budget := newLookUps(&lookUpBackends{})
		time.Sleep(time.Second)
		for range 11 {
			lookUpOnce(t, f)
		}
		retries := 0
		for budget.TakeRetry() {
			retries++
		}
		if retries != 2 {
			t.Errorf("11 look-ups earned %d retries", retries)
		}
	})
}

// TestLookUpResults guards against look-ups that fail though another server could answer, and
// against retries that are counted though a server was not reached.
func TestLookUpResults(t *testing.T) {
	for name, c := range map[string]struct {
		earlier int
		results []any
		sends   int
		status  int
	}{
		"error, retry saved up":          {earlier: 6, results: []any{500, 200}, sends: 2, status: 200},
		"error, none saved up":           {results: []any{500, 200}, sends: 1, status: 500},
		"unreached, none saved up":       {results: []any{Unreached.New("refused"), 200}, sends: 2, status: 200},
		"two unreached, none saved up":   {results: []any{Unreached.New("refused"), Unreached.New("refused"), 200}, sends: 3, status: 200},
		"two errors, two retries saved":  {earlier: 11, results: []any{500, 500, 200}, sends: 2, status: 500},
		"error, then one is not reached": {earlier: 6, results: []any{500, Unreached.New("refused"), 200}, sends: 3, status: 200},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backends := &lookUpBackends{}
				f, _ := newLookUps(backends)
				time.Sleep(time.Second)
				for range c.earlier {
					lookUpOnce(t, f)
				}
				backends.results, backends.sentTo = c.results, nil
				began := time.Now()
				status := lookUpOnce(t, f)
				if status != c.status || len(backends.sentTo) != c.sends || time.Since(began) != 0 {
					t.Errorf("status %d after %s, sent to %v", status, time.Since(began), backends.sentTo)
				}
				for i, member := range backends.sentTo {
					for _, other := range backends.sentTo[:i] {
						if member == other {
							t.Errorf("sent to %v", backends.sentTo)
						}
					}
				}
			})
		})
	}
}
