package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const poisonBody = "order 7c, poison"

// poisonQuery: a request crashes each plain server that begins to run it, and comes again with the
// same path, caller and body. Its query has a new number each time.
func poisonQuery(f *fleet, trouble bool) bool {
	const poisonGap = time.Second
	f.addServer(&server{service: "llm", stage: "prefill", slots: 12})
	f.addServer(&server{service: "llm", stage: "decode", slots: 12, events: 10, eventBytes: 360, eventGap: 20 * time.Millisecond})
	var arrivals []time.Time
	for range 3 {
		s := f.addServer(&server{service: "desk", slots: 6, work: 30 * time.Millisecond})
		s.onRun = func(r *http.Request) bool {
			if !strings.HasPrefix(r.URL.Path, "/book/7c") {
				return true
			}
			f.mutex.Lock()
			arrivals = append(arrivals, time.Now())
			f.mutex.Unlock()
			f.record.write("poison %s %s begins to run at %s", r.Header.Get("X-Attempt-Id"), r.RequestURI, s.id)
			f.crash(s)
			return false
		}
	}
	f.configure(nil)
	for range 3 {
		f.addNode(nil)
	}
	f.awaitReady()
	time.Sleep(4 * time.Second)
	var group sync.WaitGroup
	var sentBefore, servedBefore, sentAfter, servedAfter, unknown int
	began := time.Now()
	poisonFrom, end := began.Add(10*time.Second), began.Add(55*time.Second)
	nextBooking, nextPoison := began, poisonFrom
	for k := 0; time.Now().Before(end); k++ {
		time.Sleep(5 * time.Millisecond)
		now := time.Now()
		n := f.nodes[rand.IntN(len(f.nodes))]
		if !now.Before(nextBooking) {
			nextBooking = nextBooking.Add(50 * time.Millisecond)
			attempt := fmt.Sprintf("%016x", 0xb00000+k)
			group.Add(1)
			go func() {
				defer group.Done()
				status := f.post(n, attempt, "/book/2f", "order of "+attempt)
				f.mutex.Lock()
				defer f.mutex.Unlock()
				if now.Before(poisonFrom) {
					sentBefore++
					if status == http.StatusOK {
						servedBefore++
					}
					return
				}
				sentAfter++
				switch status {
				case http.StatusOK:
					servedAfter++
				case http.StatusServiceUnavailable:
				default:
					unknown++
				}
			}()
		}
		if trouble && !now.Before(nextPoison) {
			nextPoison = nextPoison.Add(poisonGap)
			target := "/book/7c"
			if os.Getenv("SAME") == "" {
				target += fmt.Sprintf("?try=%d", k)
			}
			attempt := fmt.Sprintf("%016x", 0xa00000+k)
			group.Add(1)
			go func() {
				defer group.Done()
				f.record.write("poison %s %s sent to %s, answered %d", attempt, target, n.name, f.post(n, attempt, target, poisonBody))
			}()
		}
	}
	group.Wait()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	late := 0
	if len(f.crashedAt) >= 3 {
		from := f.crashedAt[2].Add(3 * time.Second) // stableWindowMs after the third crash.
		for _, at := range arrivals {
			if at.After(from) {
				late++
			}
		}
	}
	summary := fmt.Sprintf("%d crashes, the poison request reached servers %d times later than 3 s after the third; bookings served %d of %d before, %d of %d after, %d lost", len(f.crashedAt), late, servedBefore, sentBefore, servedAfter, sentAfter, unknown)
	f.record.write("%s", summary)
	fmt.Println(summary)
	return late <= 3
}

// post sends a request on a new connection and returns the status, 0 without an answer.
func (f *fleet) post(n *node, attempt, target, body string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+n.front+target, strings.NewReader(body))
	if err != nil {
		fail("request: %v", err)
	}
	request.Host = "ficu95.example"
	request.Close = true
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("X-Deadline-Ms", "1000")
	client := http.Client{Timeout: 1100 * time.Millisecond}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
