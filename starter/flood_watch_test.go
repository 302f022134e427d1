package starter_test

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// processUse is the most that a process has had at once.
type processUse struct {
	// ownBytes is the anonymous memory of the process, and bytes that with the bytes in the
	// buffers of its sockets, which count as the memory of a VM or container too.
	ownBytes, bytes int
	files           int
	// looks is how often the processes were looked at, and socketLooks how often their sockets.
	looks, socketLooks int
}

// watchProcesses looks at the nodes' processes each memoryInterval until end is called, which
// returns the peaks of all. It looks at the sockets beside that: their table is long and slow to
// read while thousands of connections are opened each second.
func (s *soakRun) watchProcesses() (end func() processUse) {
	ended := make(chan struct{})
	var group sync.WaitGroup
	var queued atomic.Pointer[map[string]int]
	var peak processUse
	look := func(at func()) {
		for {
			at()
			select {
			case <-ended:
				return
			case <-time.After(memoryInterval):
			}
		}
	}
	group.Go(func() {
		look(func() {
			found := queuedBytes()
			queued.Store(&found)
			peak.socketLooks++
		})
	})
	group.Go(func() {
		look(func() {
			var inSockets map[string]int
			if found := queued.Load(); found != nil {
				inSockets = *found
			}
			for n := range s.processes {
				use := s.processUse(n, inSockets)
				peak.ownBytes, peak.bytes, peak.files = max(peak.ownBytes, use.ownBytes), max(peak.bytes, use.bytes), max(peak.files, use.files)
			}
			peak.looks++
		})
	})
	return func() processUse {
		close(ended)
		group.Wait()
		return peak
	}
}

// processUse returns what node n's process has now, zero if it has ended.
func (s *soakRun) processUse(n int, queued map[string]int) processUse {
	process := s.processes[n]
	process.mutex.Lock()
	pid := process.command.Process.Pid
	process.mutex.Unlock()
	own := s.memory(n) << 20
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return processUse{}
	}
	return processUse{ownBytes: own, bytes: own + queued[s.ip(0, n)], files: len(descriptors)}
}

// queuedBytes returns the bytes that wait in the buffers of TCP sockets, by their own address:
// those that their process has not read, and those that the other side has not taken.
func queuedBytes() map[string]int {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	queued := map[string]int{}
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 {
			continue
		}
		address, _, _ := strings.Cut(fields[1], ":")
		octets, err := hex.DecodeString(address)
		var sent, received, state int
		if _, failure := fmt.Sscanf(fields[4]+" "+fields[3], "%x:%x %x", &sent, &received, &state); err != nil || failure != nil || state == listenState {
			continue
		}
		slices.Reverse(octets) // The kernel writes addresses in the order of a little-endian processor.
		queued[net.IP(octets).String()] += sent + received
	}
	return queued
}

// listenState is the state of a listener, whose queues are counts of connections.
const listenState = 10
