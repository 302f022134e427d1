package standins

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// faultyEngine checks the gate: no kind of request is served less than a quarter as often as all
// requests. One of three decode engines sends bytes that are no answer after the first piece of
// each stream.
func faultyEngine(f *fleet, trouble bool) (bool, error) {
	const pieces = 130
	f.configure(3, "report-summariser", "order-desk")
	zones := []string{"plovdiv", "stara-zagora", "haskovo"}
	for i := range 5 {
		e := &engine{service: "report-summariser", stage: "decode", zone: zones[i%3], slots: 32, promptRate: 55, eventTime: 40 * time.Millisecond}
		if i < 2 {
			e.stage = "prefill"
		}
		e.endless = i == 4 && trouble
		// The faulty engine comes last by name. If it comes first, it gets a third of the streams.
		e.id = fmt.Sprintf("i-%d%s", i, randomID()[:6])
		f.addEngine(e)
	}
	for i := range 3 {
		f.addEngine(&engine{service: "order-desk", zone: zones[i], slots: 6, work: 15 * time.Millisecond})
	}
	if err := f.addNodes(3); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	var all sync.WaitGroup
	var streams, total tally
	send := func(n *node, r request, isStream bool) {
		all.Add(1)
		go func() {
			defer all.Done()
			got := n.send(r)
			served := got.status == 200 && got.complete
			if isStream {
				served = served && strings.Count(got.body, "data: "+got.attempt) == pieces
				streams.add(served)
			}
			total.add(served)
		}()
	}
	for number := range 6 * 40 {
		send(f.nodes[number%3], request{
			method: "POST", path: fmt.Sprintf("/quotes/%x", number), body: fmt.Sprintf("quote %d", number), deadline: 14 * time.Second,
			counts: fmt.Sprintf("2000,%d", pieces*eventTokens), parts: fmt.Sprintf("%s:200,e5%06x:1800", firstPart, number), hint: fmt.Sprint(pieces * eventTokens),
		}, true)
		for k := range 4 {
			send(f.nodes[(number+k)%3], request{method: "POST", path: fmt.Sprintf("/bookings/%x", 4*number+k), body: fmt.Sprintf("booking %d", 4*number+k), deadline: time.Second}, false)
		}
		time.Sleep(time.Second / 6)
	}
	all.Wait()
	f.mutex.Lock()
	at := map[string]int{}
	for _, engines := range f.runs {
		at[engines[0]]++
	}
	f.mutex.Unlock()
	for _, e := range f.engines[2:5] {
		f.note("decode engine %s, sound %t: %d streams", e.id, !e.endless, at[e.id])
	}
	f.note("%d of %d streams were served, %d of %d requests in all", streams.began, streams.sent, total.began, total.sent)
	if total.began*2 < total.sent {
		return false, fmt.Errorf("the plain requests were not served")
	}
	return 4*streams.began*total.sent >= total.began*streams.sent, nil
}
