package standins

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["timeout"] = timeoutCase
}

// timeoutCase shortens a streaming route's timeout while sound engines take longer than that to
// the first event. Each request must get an answer, at the latest with its timeout.
func timeoutCase(f *fleet, trouble bool) (bool, string) {
	f.addEngine("wuno96b", "")
	f.addEngine("huvo11a", "prefill")
	for range 3 {
		e := f.addEngine("huvo11a", "decode")
		e.events = 20
		// The head of the stream comes when the engine takes the request, its first event when
		// its batch has reached it.
		e.answer = func(w http.ResponseWriter, r *http.Request, _ []byte) bool {
			w.Header().Set("Content-Type", "text/event-stream")
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
				return true
			case <-time.After(2500 * time.Millisecond):
				return false
			}
		}
	}
	f.configure()
	for range 2 {
		f.addNode()
	}
	f.awaitReady(15 * time.Second)
	time.Sleep(stableWindow)
	if trouble {
		f.configure(func(spec map[string]any) { spec["routes"].([]map[string]any)[0]["timeoutMs"] = 2000 })
	}
	time.Sleep(stableWindow)

	var mutex sync.Mutex
	var all sync.WaitGroup
	closed, unanswered, answered := 0, 0, 0
	for i := range 12 {
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(time.Duration(i) * 300 * time.Millisecond)
			n := f.nodes[i%2]
			connection, err := net.Dial("tcp", n.ip+":8144")
			if err != nil {
				fail(2, "%v", err)
			}
			defer connection.Close()
			_ = connection.SetDeadline(time.Now().Add(14 * time.Second))
			first := n.exchange(connection, newAttempt(), lookup())
			began := time.Now()
			r := n.exchange(connection, newAttempt(), quote(14000))
			took := time.Since(began)
			mutex.Lock()
			defer mutex.Unlock()
			f.record.say("%s on a kept connection (status %d before) to %s: status %d after %v, complete %v, %v, ran %d times", r.attempt, first.status, n.name, r.status, took.Round(time.Millisecond), r.complete, r.err, f.ran(r.attempt))
			switch {
			case r.status != 0:
				answered++
			case first.status == http.StatusOK && f.ran(r.attempt) > 0 && took < 13*time.Second:
				closed++
			default:
				unanswered++
			}
		}()
	}
	all.Wait()
	seen := fmt.Sprintf("of 12 requests on kept connections %d were answered, %d were passed on to a sound engine and their connection closed without an answer, %d had no answer otherwise", answered, closed, unanswered)
	return closed > 3, seen
}
