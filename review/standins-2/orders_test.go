package standins

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// lateOrders checks ONE: no order with a lower fencing token reaches an engine after one with
// a higher token, and no two holders take turns within leaseMs.
//
// The requests have short prompts and long answers, so that the system orders a prefill engine
// to decode. The first order gets no answer and is carried out 12 seconds later. Meanwhile the
// engine crashes and starts again under its id.
func lateOrders(f *fleet, trouble bool) (bool, error) {
	const late = 12 * time.Second
	f.configure(3, "report-summariser", "order-desk")
	for i := range 6 {
		stage := "prefill"
		if i >= 4 {
			stage = "decode"
		}
		f.addEngine(&engine{
			id: fmt.Sprintf("i-%d%s", i+1, randomID()[:6]), service: "report-summariser", stage: stage, zone: []string{"plovdiv", "stara-zagora", "haskovo"}[i%3],
			slots: 32, promptRate: 55, eventTime: 20 * time.Millisecond,
		})
	}
	var mutex sync.Mutex
	var first *engine
	var bornFirst int64
	var obeyed []received
	f.onOrder = func(e *engine, sent order) {
		mutex.Lock()
		defer mutex.Unlock()
		obeyed = append(obeyed, received{time.Now(), e.id, sent})
	}
	f.holdOrder = func(e *engine, sent order) bool {
		mutex.Lock()
		defer mutex.Unlock()
		if !trouble || first != nil && (first != e || e.born != bornFirst) {
			return false
		}
		if first == nil {
			first, bornFirst = e, e.born
			go f.crashAndReturn(e)
		}
		f.note("the order with fence %d to engine %s (born %d) gets no answer; it will be carried out in %v", sent.Fence, e.id, e.born, late)
		time.AfterFunc(late, func() { e.obey(sent) })
		return true
	}
	if err := f.addNodes(3); err != nil {
		return false, err
	}
	// Light load of 25 requests a second: each is on a decode engine for 2 s.
	var stop atomic.Bool
	var all sync.WaitGroup
	number := 0
	for began := time.Now(); time.Since(began) < 45*time.Second && !stop.Load(); number++ {
		n, r := f.nodes[number%3], request{
			method: "POST", path: fmt.Sprintf("/quotes/%x", number), body: "quote", deadline: 14 * time.Second,
			counts: "300,6900", parts: fmt.Sprintf("%s:200,e5%06x:100", firstPart, number), hint: "6900",
		}
		all.Add(1)
		go func() { defer all.Done(); n.send(r) }()
		time.Sleep(40 * time.Millisecond)
	}
	all.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	if len(obeyed) == 0 {
		return false, fmt.Errorf("no order came")
	}
	return f.ordersInTurn(obeyed), nil
}

// received is an order as an engine has carried it out.
type received struct {
	at     time.Time
	engine string
	order  order
}

// ordersInTurn judges the orders of each engine.
func (f *fleet) ordersInTurn(all []received) bool {
	held := true
	for i, later := range all {
		for _, earlier := range all[:i] {
			if earlier.engine != later.engine {
				continue
			}
			if later.order.Fence < earlier.order.Fence {
				f.note("engine %s: fence %d of %s after fence %d of %s", later.engine, later.order.Fence, later.order.Holder, earlier.order.Fence, earlier.order.Holder)
				held = false
			}
			if later.order.Holder != earlier.order.Holder && later.at.Sub(earlier.at) < 3*time.Second {
				f.note("engine %s: holder %s %v after holder %s", later.engine, later.order.Holder, later.at.Sub(earlier.at), earlier.order.Holder)
				held = false
			}
		}
	}
	return held
}

// crashAndReturn crashes an engine at once and starts it again, under its id and with the
// stage that it is set up with, when its entry has been removed.
func (f *fleet) crashAndReturn(e *engine) {
	time.Sleep(50 * time.Millisecond)
	e.crash("the test ends it")
	for listed := true; listed; time.Sleep(20 * time.Millisecond) {
		listed = false
		for _, name := range f.store.names("servers") {
			listed = listed || name == e.id
		}
	}
	f.note("the entry of engine %s is removed", e.id)
	time.Sleep(900 * time.Millisecond)
	if err := e.start(); err != nil {
		f.note("engine %s did not start: %v", e.id, err)
		return
	}
	f.note("engine %s is back under its id, born %d", e.id, e.born)
}
