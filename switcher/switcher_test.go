package switcher_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/forwarder"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/storer"
	"github.com/foxtailspool/foxtailspool/switcher"
)

// claims is a store of claims. The next creates fail with the errors in failures;
// an uncertain one takes effect.
type claims struct {
	held     map[string]storer.Object
	failures []*errorx.Type
	calls    int
}

func (c *claims) Create(_ context.Context, o storer.Object) (storer.Object, error) {
	c.calls++
	if _, taken := c.held[o.Name]; taken {
		return storer.Object{}, storer.Conflict.New("taken")
	}
	var failure *errorx.Type
	if len(c.failures) > 0 {
		failure, c.failures = c.failures[0], c.failures[1:]
	}
	if failure == storer.Unavailable {
		return storer.Object{}, failure.New("down")
	}
	o.Version = "7"
	c.held[o.Name] = o
	if failure != nil {
		return storer.Object{}, failure.New("answer lost")
	}
	return o, nil
}

func (c *claims) Get(_ context.Context, _ storer.Kind, name string) (storer.Object, error) {
	return c.held[name], nil
}

func (c *claims) Delete(_ context.Context, o storer.Object) error {
	delete(c.held, o.Name)
	return nil
}

// wish asks for one change until it is said to be under way.
type wish struct {
	change   placer.RoleChange
	changing int
}

func (w *wish) RoleChanges(time.Time) []placer.RoleChange {
	if w.changing > 0 {
		return nil
	}
	return []placer.RoleChange{w.change}
}

func (w *wish) Changing(time.Time, placer.RoleChange) { w.changing++ }

// orders counts what was sent; the first lost ones get no answer.
type orders struct {
	sent []switcher.Order
	lost int
}

func (o *orders) ChangeRole(_ context.Context, _ forwarder.Backend, order switcher.Order) error {
	o.sent = append(o.sent, order)
	if len(o.sent) <= o.lost {
		return forwarder.Lost.New("no answer")
	}
	return nil
}

type world struct {
	store   *claims
	wish    *wish
	orders  *orders
	backend forwarder.Backend
	// goneAfter is when the engine leaves the list; zero is never.
	goneAfter time.Duration
}

func newWorld() *world {
	engine := forwarder.Backend{Name: "e", Pool: "llm", Role: identifier.Prefill, Started: time.Now()}
	return &world{
		store:   &claims{held: map[string]storer.Object{}},
		wish:    &wish{change: placer.RoleChange{Member: "e", Role: identifier.Decode}},
		orders:  &orders{},
		backend: engine,
	}
}

// run lets one node look at the split for some time.
func (w *world) run(node identifier.Node, incarnation identifier.Incarnation, span time.Duration) {
	table := forwarder.NewTable(nil, []forwarder.Backend{w.backend}, true)
	gone := forwarder.NewTable(nil, nil, true)
	began := time.Now()
	s := switcher.New(switcher.Options{
		Self: node, Incarnation: incarnation, Store: w.store, Placer: w.wish, Engines: w.orders, Log: logger.Discard(),
		Fence: func(storer.Version) identifier.Fence { return 7 },
		Table: func() *forwarder.Table {
			if w.goneAfter > 0 && time.Since(began) > w.goneAfter {
				return gone
			}
			return table
		},
	})
	ctx, stop := context.WithTimeout(context.Background(), span)
	defer stop()
	_ = s.Run(ctx)
}

const longEnough = 20 * time.Second

func TestOrderIsSentByWhoeverHasTheClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.run("a", 1, longEnough)
		if len(w.orders.sent) != 1 || w.orders.sent[0] != (switcher.Order{Role: identifier.Decode, Holder: "a", Fence: 7}) {
			t.Fatalf("%+v", w.orders.sent)
		}
		for _, other := range []struct {
			node        identifier.Node
			incarnation identifier.Incarnation
		}{{"b", 1}, {"a", 2}} {
			w.wish.changing = 0
			w.run(other.node, other.incarnation, longEnough)
			if len(w.orders.sent) != 1 || w.wish.changing != 1 {
				t.Errorf("%v: orders %+v, changing %d", other, w.orders.sent, w.wish.changing)
			}
		}
	})
}

func TestEngineThatStartedAgainIsAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.run("a", 1, longEnough)
		w.wish.changing = 0
		w.backend.Started = time.Now()
		w.run("b", 1, longEnough)
		if len(w.orders.sent) != 2 || w.orders.sent[1].Holder != "b" {
			t.Errorf("%+v", w.orders.sent)
		}
	})
}

func TestYoungEngineGetsNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.run("a", 1, 5*time.Second)
		if len(w.orders.sent) != 0 || w.store.calls != 0 {
			t.Errorf("orders %+v, calls %d", w.orders.sent, w.store.calls)
		}
	})
}

func TestStoreAwayOrAnswerLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.store.failures = []*errorx.Type{storer.Unavailable, storer.Unavailable, storer.Uncertain}
		w.run("a", 1, longEnough)
		if len(w.orders.sent) != 1 || w.store.calls != 4 {
			t.Errorf("orders %+v, calls %d", w.orders.sent, w.store.calls)
		}
	})
}

func TestLostOrderIsSentOnceMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.orders.lost = 9
		w.run("a", 1, longEnough)
		if len(w.orders.sent) != 2 || w.orders.sent[0] != w.orders.sent[1] || w.wish.changing != 1 {
			t.Errorf("orders %+v, changing %d", w.orders.sent, w.wish.changing)
		}
	})
}

func TestClaimOnGoneEngineIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.goneAfter = longEnough
		w.run("a", 1, longEnough+30*time.Second)
		if len(w.store.held) != 1 {
			t.Error("the claim was removed while the engine may come back")
		}
		w = newWorld()
		w.goneAfter = longEnough
		w.run("a", 1, longEnough+2*time.Minute)
		if len(w.store.held) != 0 {
			t.Errorf("%v is left", w.store.held)
		}
	})
}
