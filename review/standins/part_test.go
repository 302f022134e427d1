package standins

import (
	"fmt"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["part"] = partCase
}

const (
	// partRate is how many sound requests come each second.
	partRate = 3
	// Sound requests ask for short answers first, and for long ones from partLongFrom on.
	partLongFrom = 10 * time.Second
	// Requests with the part that crashes engines come each two seconds from partFrom on.
	partFrom    = 14 * time.Second
	partEvery   = 2
	partTraffic = 55 * time.Second
	// partRestart is after how long an engine that has crashed is back.
	partRestart = 3 * time.Second
	firstPart   = "5c1e07a2:200"
	deadlyPart  = "dead0001:300"
)

// partCase lets requests come of which one part crashes each engine that begins to answer. Sound
// requests share their first part and must go on to begin.
func partCase(f *fleet, trouble bool) (bool, string) {
	for range 2 {
		f.addEngine("huvo11a", "prefill")
	}
	var mutex sync.Mutex
	var crashes []time.Time
	down := map[string]bool{}
	for range 2 {
		e := f.addEngine("huvo11a", "decode")
		e.answer = func(w http.ResponseWriter, r *http.Request, _ []byte) bool {
			if strings.Contains(r.Header.Get("X-Prompt-Prefix"), deadlyPart) {
				mutex.Lock()
				defer mutex.Unlock()
				if !down[e.id] {
					down[e.id] = true
					crashes = append(crashes, time.Now())
					go func() {
						e.crash()
						time.Sleep(partRestart)
						mutex.Lock()
						down[e.id] = false
						mutex.Unlock()
						e.born = time.Now().UnixMilli()
						e.listen()
						f.record.say("engine %s is back", e.id)
					}()
				}
				return true
			}
			_, output, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
			tokens, _ := strconv.Atoi(output)
			w.Header().Set("Content-Type", "text/event-stream")
			for i := range tokens / 69 {
				time.Sleep(100 * time.Millisecond)
				if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, r.Header.Get("X-Attempt-Id")); err != nil || r.Context().Err() != nil {
					return true
				}
				_ = http.NewResponseController(w).Flush()
			}
			return true
		}
	}
	f.configure()
	for range 6 {
		f.addNode()
	}
	f.awaitReady(15 * time.Second)
	time.Sleep(stableWindow)

	type request struct {
		at    time.Time
		began bool
	}
	var sound []*request
	var users sync.WaitGroup
	began := time.Now()
	send := func(n int, parts string, tokens int, result *request) {
		users.Add(1)
		go func() {
			defer users.Done()
			r := f.nodes[rand.Intn(len(f.nodes))].send(call{method: "POST", path: "/lohu930/" + strconv.Itoa(n), body: []byte(strings.Repeat("r", 2000+n)), deadlineMs: 14000, header: map[string]string{
				"X-Model": "m", "X-Token-Counts": fmt.Sprintf("2000,%d", tokens), "X-Prompt-Prefix": fmt.Sprintf("%s,%x:1500", parts, rand.Uint32()),
			}})
			ran := f.ran(r.attempt)
			f.record.say("%s with %s: status %d, whole %v, ran %d times, %v", r.attempt, parts, r.status, r.complete, ran, r.took.Round(time.Millisecond))
			if result != nil {
				mutex.Lock()
				result.began = ran > 0
				mutex.Unlock()
			}
		}()
	}
	poisoned := 0
	for n := 0; time.Since(began) < partTraffic; n++ {
		tokens := 20 * 69
		if time.Since(began) >= partLongFrom {
			tokens = 120 * 69
		}
		result := &request{at: time.Now()}
		sound = append(sound, result)
		send(n, firstPart, tokens, result)
		if trouble && time.Since(began) >= partFrom && n%(partEvery*partRate) == 0 {
			poisoned++
			send(1000+n, firstPart+","+deadlyPart, tokens, nil)
		}
		time.Sleep(time.Second / partRate)
	}
	users.Wait()

	mutex.Lock()
	defer mutex.Unlock()
	from := began.Add(partFrom)
	if len(crashes) > 0 {
		from = crashes[min(len(crashes), 5)-1].Add(2 * stableWindow)
	}
	var before, beganBefore, after, beganAfter int
	for _, r := range sound {
		switch {
		case r.at.Before(began.Add(partFrom)):
			before++
			if r.began {
				beganBefore++
			}
		case r.at.After(from):
			after++
			if r.began {
				beganAfter++
			}
		}
	}
	seen := fmt.Sprintf("%d crashes by %d requests with the deadly part; sound requests that began: %d of %d before, %d of %d from %.1f s on", len(crashes), poisoned, beganBefore, before, beganAfter, after, from.Sub(began).Seconds())
	if before < 20 || after < 20 {
		return false, "too few requests: " + seen
	}
	return float64(beganAfter)/float64(after) < float64(beganBefore)/float64(before)/2, seen
}
