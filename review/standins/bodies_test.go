package standins

import (
	"bytes"
	"fmt"
	"math/rand"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["bodies"] = bodiesCase
}

const (
	// bodySize is below the configuration's maxBodyBytes of 4,194,304.
	bodySize = 4_000_000
	// bodiesRate is how many requests come each second to the whole system.
	bodiesRate = 18
	// bodiesTraffic is how long they come, and at bodiesLossAt two of the four machines are
	// removed for good.
	bodiesTraffic = 60 * time.Second
	bodiesLossAt  = 8 * time.Second
)

// bodiesCase lets users send long reports, while two machines of four are removed. Like the
// platform, it kills a process whose memory exceeds memoryMb, and starts it again a second
// later. Only anonymous memory counts here, not the program's own file.
func bodiesCase(f *fleet, trouble bool) (bool, string) {
	for range 3 {
		f.addEngine("huvo11a", "prefill")
	}
	for range 5 {
		f.addEngine("huvo11a", "decode")
	}
	f.configure()
	for range 4 {
		f.addNode()
	}
	f.awaitReady(15 * time.Second)
	time.Sleep(stableWindow)

	began := time.Now()
	lost := func(i int) bool { return trouble && i >= 2 && time.Since(began) >= bodiesLossAt }
	kills, peaks := make([]int, len(f.nodes)), make([]int, len(f.nodes))
	var watchers, users sync.WaitGroup
	for i, n := range f.nodes {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			for time.Since(began) < bodiesTraffic && !lost(i) {
				time.Sleep(10 * time.Millisecond)
				megabytes := n.status("RssAnon") / 1024
				peaks[i] = max(peaks[i], megabytes)
				if megabytes > f.memory {
					f.record.say("%s has %d MB, over its limit of %d", n.name, megabytes, f.memory)
					kills[i]++
					n.signal(syscall.SIGKILL)
					<-n.exited
					time.Sleep(time.Second)
					n.start()
				}
			}
			if lost(i) {
				f.record.say("%s is removed for good", n.name)
				n.signal(syscall.SIGKILL)
			}
		}()
	}
	body := bytes.Repeat([]byte("r"), bodySize)
	var mutex sync.Mutex
	outcomes := map[string]int{}
	addresses, resolved := f.nodes, time.Time{}
	for time.Since(began) < bodiesTraffic {
		time.Sleep(time.Second / bodiesRate)
		if time.Since(resolved) > time.Second {
			resolved = time.Now()
			if found := f.resolve(addresses); len(found) > 0 {
				addresses = found
			}
		}
		n := addresses[rand.Intn(len(addresses))]
		users.Add(1)
		go func() {
			defer users.Done()
			request := quote(14000)
			request.body = body
			r := n.send(request)
			mutex.Lock()
			defer mutex.Unlock()
			outcome := fmt.Sprintf("status %d", r.status)
			if !r.complete {
				outcome += " not whole"
			}
			outcomes[outcome]++
			f.record.say("%s at %s: %s, ran %d times, %v", r.attempt, n.name, outcome, f.ran(r.attempt), r.took.Round(time.Millisecond))
		}()
	}
	watchers.Wait()
	users.Wait()
	over := 0
	for _, count := range kills {
		if count >= 3 {
			over++
		}
	}
	return over >= 2, fmt.Sprintf("processes ended because of their memory: %v times, peaks in MB %v, answers %v", kills, peaks, outcomes)
}
