package standins

import (
	"fmt"
	"sync"
	"time"
)

// Parts of the prompts: all requests of the route share the first and the third one; the
// second is of one of several collections; the last belongs to the request itself.
const (
	firstPart  = "a1a1a1a1"
	deadlyID   = "dddd0001"
	thirdPart  = "c3c3c3c3"
	soundEvery = 1500 * time.Millisecond
)

// A tally counts sound requests and those of them that began to run.
type tally struct {
	mutex       sync.Mutex
	sent, began int
}

func (t *tally) add(began bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.sent++
	if began {
		t.began++
	}
}

// deadlyPart checks LOST: while requests with a part that crashes engines still come, sound
// requests of the route with the same first part begin at their first attempt at least half as
// often as outside the disruption.
func deadlyPart(f *fleet, trouble bool) (bool, error) {
	f.configure(3, "report-summariser", "order-desk")
	for i := range 5 {
		stage := "decode"
		if i < 2 {
			stage = "prefill"
		}
		e := &engine{
			service: "report-summariser", stage: stage, zone: []string{"plovdiv", "stara-zagora", "haskovo"}[i%3],
			slots: 32, promptRate: 55, eventTime: 40 * time.Millisecond, restart: 3 * time.Second,
		}
		if trouble {
			e.deadly = deadlyID
		}
		f.addEngine(e)
	}
	if err := f.addNodes(3); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	var before, during tally
	var all sync.WaitGroup
	number := 0
	sound := func(count *tally) {
		number++
		n, r := f.nodes[number%3], quote(fmt.Sprintf("b2%06x", number%4), number)
		all.Add(1)
		go func() {
			defer all.Done()
			got := n.send(r)
			if count != nil {
				count.add(len(f.runsOf(got.attempt)) > 0)
			}
		}()
	}
	deadly := func() {
		number++
		n, r := f.nodes[number%3], quote(deadlyID, number)
		all.Add(1)
		go func() { defer all.Done(); n.send(r) }()
	}
	// Outside the disruption.
	for range 22 {
		sound(&before)
		time.Sleep(soundEvery)
	}
	// Three requests with the part come in a second, while no sound request ends.
	f.note("requests with the part %s begin to come", deadlyID)
	for range 3 {
		deadly()
		time.Sleep(400 * time.Millisecond)
	}
	lastCrash := time.Now()
	// They go on coming, one in each five seconds.
	for tick := 0; time.Since(lastCrash) < 6500*time.Millisecond+22*soundEvery; tick++ {
		if tick%3 == 2 {
			deadly()
		}
		var count *tally
		if time.Since(lastCrash) >= 6500*time.Millisecond {
			count = &during
		}
		sound(count)
		time.Sleep(soundEvery)
	}
	all.Wait()
	f.note("sound requests outside the disruption: %d of %d began; from 2 x stableWindowMs after the last crash: %d of %d", before.began, before.sent, during.began, during.sent)
	if before.sent < 20 || during.sent < 20 || before.began*2 < before.sent {
		return false, fmt.Errorf("too few requests to judge")
	}
	return 2*during.began*before.sent >= before.began*during.sent, nil
}

// quote returns a model request whose prompt has a part of its own besides the shared ones.
func quote(second string, number int) request {
	return request{
		method: "POST", path: fmt.Sprintf("/quotes/%x", number), body: fmt.Sprintf("quote %d", number), deadline: 14 * time.Second,
		counts: "2000,690", parts: fmt.Sprintf("%s:200,%s:400,%s:100,e5%06x:1300", firstPart, second, thirdPart, number), hint: "690",
	}
}
