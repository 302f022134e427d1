package main

import (
	"fmt"
	"sync"
	"time"
)

// hugeLimit checks Fault: processes of the system do not end by themselves three times on two
// machines. One plain server names in its answers a Server-Limit that is far above its load.
func hugeLimit(f *fleet, trouble bool) (bool, error) {
	f.configure(3, "report-summariser", "order-desk")
	zones := []string{"plovdiv", "stara-zagora", "haskovo"}
	for i := range 3 {
		e := &engine{service: "order-desk", zone: zones[i], slots: 6, work: 15 * time.Millisecond, errorEvery: 7}
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
	var mutex sync.Mutex
	ends := map[string]int{}
	f.keepRunning(func(n *node) {
		mutex.Lock()
		defer mutex.Unlock()
		ends[n.name]++
	})
	time.Sleep(time.Second)
	var all sync.WaitGroup
	var answered, failed tally
	for number := range 60 * 20 {
		n := f.nodes[number%3]
		r := request{method: "GET", path: fmt.Sprintf("/lookups/%x", number), deadline: time.Second}
		if number%3 != 0 {
			r = request{method: "POST", path: fmt.Sprintf("/bookings/%x", number), body: fmt.Sprintf("booking %d", number), deadline: time.Second}
		}
		all.Add(1)
		go func() {
			defer all.Done()
			got := n.send(r)
			answered.add(got.status == 200)
			failed.add(got.status == 0)
		}()
		time.Sleep(50 * time.Millisecond)
	}
	all.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	machines := 0
	for name, count := range ends {
		f.note("the process on %s ended by itself %d times", name, count)
		if count >= 3 {
			machines++
		}
	}
	f.note("%d of %d requests got a success, %d got no answer at all", answered.began, answered.sent, failed.began)
	return machines < 2, nil
}
