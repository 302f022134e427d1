package standins

import (
	"fmt"
	"sync"
	"time"
)

// hugeLimit checks the gate: refused and failed requests are at most 60% of those owed. One of
// three plain servers says in its answers that it takes very many requests a second.
func hugeLimit(f *fleet, trouble bool) (bool, error) {
	f.configure(3, "report-summariser", "order-desk")
	zones := []string{"plovdiv", "stara-zagora", "haskovo"}
	for i := range 3 {
		e := &engine{service: "order-desk", zone: zones[i], slots: 6, work: 15 * time.Millisecond}
		if i == 0 && trouble {
			e.extra = "Server-Limit: 18446744073709551615"
		}
		f.addEngine(e)
	}
	for i := range 2 {
		f.addEngine(&engine{service: "report-summariser", stage: []string{"prefill", "decode"}[i], zone: zones[i], slots: 32, promptRate: 55, eventTime: 20 * time.Millisecond})
	}
	if err := f.addNodes(3); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	var all sync.WaitGroup
	var served, unanswered tally
	for number := range 20 * 40 {
		n := f.nodes[number%3]
		r := request{method: "GET", path: fmt.Sprintf("/lookups/%x", number), deadline: time.Second}
		if number%3 != 0 {
			r = request{method: "POST", path: fmt.Sprintf("/bookings/%x", number), body: fmt.Sprintf("booking %d", number), deadline: time.Second}
		}
		all.Add(1)
		go func() {
			defer all.Done()
			got := n.send(r)
			served.add(got.status == 200 && got.complete)
			unanswered.add(got.status == 0)
		}()
		time.Sleep(50 * time.Millisecond)
	}
	all.Wait()
	f.note("%d of %d requests were served, %d got no answer at all", served.began, served.sent, unanswered.began)
	return 10*served.began >= 4*served.sent, nil
}
