package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	foreignEntries = 100
	// foreignBytes stays below valueBytes, 1,048,576.
	foreignBytes = 1_000_000
	// memoryMb is that of obnova-spool's machines.
	memoryMb = 134
	// restartDelay is the "short delay" after which a process that was killed is started again.
	restartDelay = time.Second
)

// foreignEntries: another writer puts entries of its own among those of the servers. Each is as
// large as the store allows and names no server.
func foreignEntriesCase(f *fleet, trouble bool) bool {
	f.addServer(&server{service: "llm", stage: "prefill", slots: 12})
	f.addServer(&server{service: "llm", stage: "decode", slots: 12, events: 10, eventBytes: 360, eventGap: 10 * time.Millisecond})
	for range 3 {
		f.addServer(&server{service: "desk", slots: 6, work: 15 * time.Millisecond})
	}
	f.configure(nil)
	for range 3 {
		f.addNode(func(settings map[string]any) { settings["limits"].(map[string]any)["memoryMb"] = memoryMb })
	}
	f.awaitReady()
	end := time.Now().Add(50 * time.Second)
	var group sync.WaitGroup
	ends := make([]int, len(f.nodes))
	for i, n := range f.nodes {
		group.Add(1)
		go func() {
			defer group.Done()
			ends[i] = f.enforceMemory(n, end)
		}()
	}
	asked, served := make([]int, 60), make([]int, 60)
	began := time.Now()
	for i, n := range f.nodes {
		group.Add(1)
		go func() {
			defer group.Done()
			for k := 0; time.Now().Before(end); k++ {
				second := int(time.Since(began).Seconds())
				ok := f.book(n, fmt.Sprintf("%016x", 0xf000000+i<<20+k))
				f.record.mutex.Lock()
				asked[second]++
				if ok {
					served[second]++
				}
				f.record.mutex.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.Sleep(5 * time.Second)
	if trouble {
		text := strings.Repeat("x", foreignBytes)
		for i := range foreignEntries {
			f.store.put("servers", fmt.Sprintf("other-%03d", i), map[string]any{"note": text})
			time.Sleep(100 * time.Millisecond)
		}
		f.record.write("%d entries of another writer are in the store", foreignEntries)
	}
	group.Wait()
	const step = 5
	for from := 0; from < 50; from += step {
		a, s := 0, 0
		for k := from; k < from+step; k++ {
			a, s = a+asked[k], s+served[k]
		}
		f.record.write("from second %d: %d of %d bookings served", from, s, a)
	}
	often := 0
	for i, n := range f.nodes {
		f.record.write("%s was ended %d times for its memory", n.name, ends[i])
		if ends[i] >= 3 {
			often++
		}
	}
	return often < 2
}

// enforceMemory kills the node's process when it exceeds its memory, and starts it again. It
// returns how often it did so.
func (f *fleet) enforceMemory(n *node, end time.Time) (ends int) {
	for time.Now().Before(end) {
		time.Sleep(50 * time.Millisecond)
		kilobytes := anonymousMemory(n.command.Process.Pid)
		if kilobytes <= memoryMb*1024 {
			continue
		}
		ends++
		f.record.write("%s has %d KB of memory and is killed", n.name, kilobytes)
		_ = n.command.Process.Kill()
		<-n.exited
		time.Sleep(restartDelay)
		f.startNode(n)
	}
	return ends
}

// anonymousMemory returns the memory of a process without mapped files, in KB.
func anonymousMemory(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes
		}
	}
	return 0
}

// book sends a booking and reports whether it was served.
func (f *fleet) book(n *node, attempt string) bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+n.front+"/book/2f", strings.NewReader("hi"))
	if err != nil {
		fail("booking: %v", err)
	}
	request.Host = "ficu95.example"
	request.Close = true
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("X-Deadline-Ms", "1000")
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && string(body) == "answer to "+attempt
}
