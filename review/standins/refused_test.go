package standins

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["refused"] = refusedCase
}

const (
	refusedRate    = 40
	refusedTraffic = 20 * time.Second
	// greyShare and greyLength are those of srv_grey in sites/obnova-spool.toml; one of eight
	// servers is below its share of 0.14.
	greyShare  = 0.45
	greyAt     = 5 * time.Second
	greyLength = 6500 * time.Millisecond
)

// refusedCase lets one of eight servers fail part of its bookings, after it has run them, with
// a status 503 of its own that doesn't say that they have not run.
func refusedCase(f *fleet, trouble bool) (bool, string) {
	for range 8 {
		f.addEngine("wuno96b", "")
	}
	f.configure()
	for range 3 {
		f.addNode()
	}
	f.awaitReady(15 * time.Second)
	time.Sleep(stableWindow)
	began := time.Now()
	if trouble {
		grey := f.engines[0]
		grey.answer = func(w http.ResponseWriter, r *http.Request, _ []byte) bool {
			at := time.Since(began)
			if at < greyAt || at > greyAt+greyLength || rand.Float64() > greyShare {
				return false
			}
			time.Sleep(grey.work)
			f.record.say("server %s fails %s, which it has run, with 503", grey.id, r.Header.Get("X-Attempt-Id"))
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprint(w, "the till is not available")
			return true
		}
	}
	var mutex sync.Mutex
	var users sync.WaitGroup
	total, refused, twice := 0, 0, 0
	for time.Since(began) < refusedTraffic {
		time.Sleep(time.Second / refusedRate)
		users.Add(1)
		go func() {
			defer users.Done()
			ran := 0
			for range 2 {
				n := f.nodes[rand.Intn(len(f.nodes))]
				r := n.send(call{method: "POST", path: "/pule252/a", body: make([]byte, 600), deadlineMs: 1000})
				count := f.ran(r.attempt)
				ran += count
				mutex.Lock()
				total++
				if r.status == http.StatusServiceUnavailable && count > 0 {
					refused++
					f.record.say("%s: the client gets 503, which promises that it has not run; it ran %d times", r.attempt, count)
				}
				mutex.Unlock()
				if r.status != http.StatusServiceUnavailable {
					break
				}
				// The promise lets the client send the booking once more, as another attempt.
			}
			mutex.Lock()
			defer mutex.Unlock()
			if ran > 1 {
				twice++
			}
		}()
	}
	users.Wait()
	return refused > 0, fmt.Sprintf("of %d bookings sent, %d were answered 503 although they had run; %d users' bookings ran again when they were sent once more", total, refused, twice)
}
