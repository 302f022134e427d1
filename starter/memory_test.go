package starter_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
)

// TestStreamsDropTheirBodies guards against bodies that stay in memory for as long as their
// streams, which last much longer than their prefills.
func TestStreamsDropTheirBodies(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		f.kill(0)
		f.network.Heal()
		// Of 838 kB for requests, six have room with their bodies, and twelve without.
		f.nodes[0].settings.MemoryBytes = 4 << 20
		f.start(0)
		f.waitFor(t, recoveryTimeout, "the node is ready", func() bool { return f.readyNodes() == 1 })
		for _, id := range f.instanceIDs("llm", "decode") {
			f.instances[id].SetFaults(emulator.InstanceFaults{Slow: 4})
		}
		var group sync.WaitGroup
		for range 12 {
			group.Go(func() {
				c := quote()
				c.body, c.deadline = strings.Repeat("x", 90_000), 3*time.Second
				if got := f.send(t.Context(), 0, c); got.status != http.StatusOK || countEvents(got.body) != 10 {
					t.Errorf("status %d with %d events: %.100s", got.status, countEvents(got.body), got.body)
				}
			})
			time.Sleep(150 * time.Millisecond)
		}
		group.Wait()
	})
}

// TestStoppedBodiesMakeRoom guards against bodies that stop short of their end and keep the memory
// for requests until the deadlines that their callers name. Each of them is told that it has not
// run.
func TestStoppedBodiesMakeRoom(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		f.kill(0)
		f.network.Heal()
		f.nodes[0].settings.MemoryBytes = 4 << 20 // Of 838 kB for requests, six have room with their bodies.
		f.start(0)
		f.waitFor(t, recoveryTimeout, "the node is ready", func() bool { return f.readyNodes() == 1 })
		var group sync.WaitGroup
		statuses := make(chan int, 12)
		for n := range cap(statuses) {
			connection, err := f.network.Host(callerIP).Dial(t.Context(), "tcp", string(f.nodes[0].settings.CallerAddress))
			if err != nil {
				t.Fatal(err)
			}
			group.Go(func() {
				defer func() { _ = connection.Close() }()
				_, _ = fmt.Fprintf(connection, "POST /book/1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: stopped-%d\r\nX-Deadline-Ms: 60000\r\nContent-Length: 90000\r\n\r\n%s", routeHost, n, strings.Repeat("x", 89_999))
				if response, err := http.ReadResponse(bufio.NewReader(connection), nil); err == nil {
					statuses <- response.StatusCode
					_ = response.Body.Close()
				}
			})
		}
		time.Sleep(2 * time.Second)
		c := booking()
		c.body = strings.Repeat("x", 90_000)
		if got := f.send(t.Context(), 0, c); got.status != http.StatusOK {
			t.Errorf("a whole body beside stopped ones: status %d: %.100s", got.status, got.body)
		}
		time.Sleep(time.Minute)
		group.Wait()
		close(statuses)
		for status := range statuses {
			if status != http.StatusServiceUnavailable {
				t.Errorf("a stopped body: status %d", status)
			}
		}
		for n := range cap(statuses) {
			if ran, ids, _ := f.findRuns(fmt.Sprint("stopped-", n)); ran > 0 {
				t.Errorf("a stopped body ran at %v", ids)
			}
		}
	})
}
