package standins

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// unframedStreams checks ORDER: no stream ends as complete before its last piece. The engines
// answer without a length or chunks. One of them is cut off from the machines for 2.6 s, crashes
// behind the cut and starts again.
func unframedStreams(f *fleet, trouble bool) (bool, error) {
	const pieces = 60
	f.configure(3, "report-summariser", "order-desk")
	for i := range 4 {
		e := &engine{
			service: "report-summariser", stage: "decode", zone: []string{"plovdiv", "stara-zagora", "haskovo"}[i%3],
			slots: 32, promptRate: 55, eventTime: 50 * time.Millisecond, unframed: true, renewed: true, restart: 2 * time.Second, link: &link{},
		}
		if i < 2 {
			e.stage = "prefill"
		}
		f.addEngine(e)
	}
	if err := f.addNodes(3); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var all sync.WaitGroup
	var mutex sync.Mutex
	ended, broken := 0, 0
	for number := range 60 {
		if number == 15 && trouble {
			go f.cutAndCrash(f.engines[3], 300*time.Millisecond, 2600*time.Millisecond)
		}
		n := f.nodes[number%3]
		r := request{
			method: "POST", path: fmt.Sprintf("/quotes/%x", number), body: fmt.Sprintf("quote %d", number), deadline: 14 * time.Second,
			counts: fmt.Sprintf("2000,%d", pieces*eventTokens), parts: fmt.Sprintf("%s:200,e5%06x:1800", firstPart, number), hint: fmt.Sprint(pieces * eventTokens),
		}
		all.Add(1)
		go func() {
			defer all.Done()
			got := n.send(r)
			if got.status != 200 || !got.complete {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			ended++
			if count := strings.Count(got.body, "data: "+got.attempt); count < pieces {
				f.note("%s: the client got a stream that looks complete with %d of %d pieces", got.attempt, count, pieces)
				broken++
			}
		}()
		time.Sleep(200 * time.Millisecond)
	}
	all.Wait()
	f.note("%d streams ended as complete, %d of them before their last piece", ended, broken)
	if ended < 20 {
		return false, fmt.Errorf("too few streams to judge")
	}
	return broken == 0, nil
}

// cutAndCrash cuts an engine off, crashes it behind the cut and lets it start again there.
func (f *fleet) cutAndCrash(e *engine, crashAfter, healAfter time.Duration) {
	e.link.cut()
	f.note("engine %s is cut off", e.id)
	time.Sleep(crashAfter)
	e.crash("behind the cut")
	time.Sleep(healAfter - crashAfter)
	e.link.heal()
	f.note("the cut has healed")
}
