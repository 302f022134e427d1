// Package excluder stops new work for backend servers on VMs that the platform lists
// as leaving, without waiting for an operator to edit a table.
//
// Only a few nodes watch the list. They broadcast the leaving VMs to the other nodes
// and repeat that while a VM is leaving. The information expires after the VM has
// come back or is gone.
package excluder

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// Topic is the broadcast topic of this package's messages.
const Topic = "excluder"

// Options configures an Excluder. A duration of zero means the default in brackets.
type Options struct {
	// Snapshot returns the configuration in force, or nil before the first.
	Snapshot func() *tabulator.Snapshot
	// Leaving returns the addresses of the leaving VMs that this node knows from the
	// platform itself, not from other nodes.
	Leaving func() []identifier.Address
	// Broadcast sends a payload to all other nodes on a best-effort basis.
	Broadcast func(topic string, payload []byte)
	// PollInterval is the time between two calls of Leaving [500ms].
	PollInterval time.Duration
	// RepeatInterval is the time between two broadcasts of an unchanged list [30s].
	RepeatInterval time.Duration
	// Expiry is how long a VM counts as leaving after it was last reported [90s].
	Expiry time.Duration
	Log    *logger.Logger
}

const (
	defaultPollInterval   = 500 * time.Millisecond
	defaultRepeatInterval = 30 * time.Second
	defaultExpiry         = 90 * time.Second
	// maxMessageBytes is the gossip's size limit.
	maxMessageBytes = 512
)

// Excluder tracks the leaving VMs that one node knows of.
type Excluder struct {
	options Options
	mutex   sync.Mutex
	// expiryByHost holds the time until which a VM counts as leaving, by IP address. It is
	// guarded by mutex.
	expiryByHost map[string]time.Time
	// lastMarked is the last result of Snapshot, or nil if the leaving VMs have changed
	// since.
	lastMarked atomic.Pointer[markedSnapshot]
}

type markedSnapshot struct {
	source, marked *tabulator.Snapshot
}

type leavingMessage struct {
	Addresses []string `json:"addresses"`
}

// New returns an Excluder that knows of no leaving VM.
func New(options Options) *Excluder {
	options.PollInterval = cmp.Or(options.PollInterval, defaultPollInterval)
	options.RepeatInterval = cmp.Or(options.RepeatInterval, defaultRepeatInterval)
	options.Expiry = cmp.Or(options.Expiry, defaultExpiry)
	return &Excluder{options: options, expiryByHost: map[string]time.Time{}}
}

// Snapshot returns the configuration in force with the pool members on leaving VMs marked
// as leaving, or nil before the first configuration.
func (e *Excluder) Snapshot() *tabulator.Snapshot {
	current := e.options.Snapshot()
	if current == nil {
		return nil
	}
	if last := e.lastMarked.Load(); last != nil && last.source == current {
		return last.marked
	}
	return e.markAndStore(current)
}

// markAndStore calls markLeaving if any VM is leaving, and keeps the result in lastMarked.
func (e *Excluder) markAndStore(current *tabulator.Snapshot) *tabulator.Snapshot {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	marked := current
	if len(e.expiryByHost) > 0 {
		marked = e.markLeaving(current)
	}
	e.lastMarked.Store(&markedSnapshot{source: current, marked: marked})
	return marked
}

// markLeaving returns a copy of a snapshot in which the pool members on leaving VMs are
// marked as leaving. The caller must hold the mutex.
func (e *Excluder) markLeaving(current *tabulator.Snapshot) *tabulator.Snapshot {
	marked := *current
	marked.Pools.Pools = append([]tabulator.Pool(nil), current.Pools.Pools...)
	for i := range marked.Pools.Pools {
		pool := &marked.Pools.Pools[i]
		pool.Members = append([]tabulator.Member(nil), pool.Members...)
		for j := range pool.Members {
			member := &pool.Members[j]
			_, leaving := e.expiryByHost[hostOf(member.Address)]
			member.Leaving = member.Leaving || leaving
		}
	}
	return &marked
}

// Run broadcasts the leaving VMs and removes expired ones until ctx ends.
func (e *Excluder) Run(ctx context.Context) error {
	ticker := time.NewTicker(e.options.PollInterval)
	defer ticker.Stop()
	var lastBroadcast time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if changed := e.pollLeaving(now); changed || now.Sub(lastBroadcast) >= e.options.RepeatInterval {
				e.broadcastLeaving()
				lastBroadcast = now
			}
		}
	}
}

// pollLeaving updates the leaving VMs from the platform and reports whether any is new.
func (e *Excluder) pollLeaving(now time.Time) bool {
	changed := false
	for _, address := range e.options.Leaving() {
		changed = e.addLeaving(hostOf(address), now) || changed
	}
	e.removeExpired(now)
	return changed
}

// addLeaving adds a leaving VM or extends its expiry, and reports whether it is new.
func (e *Excluder) addLeaving(host string, now time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_, known := e.expiryByHost[host]
	e.expiryByHost[host] = now.Add(e.options.Expiry)
	if !known {
		e.lastMarked.Store(nil)
		e.options.Log.Log(eventVMLeaving, logger.Fields{"vm": host})
	}
	return !known
}

func (e *Excluder) removeExpired(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for host, expiry := range e.expiryByHost {
		if now.After(expiry) {
			delete(e.expiryByHost, host)
			e.lastMarked.Store(nil)
			e.options.Log.Log(eventVMReadmitted, logger.Fields{"vm": host})
		}
	}
}

// broadcastLeaving broadcasts the leaving VMs that this node knows from the platform.
func (e *Excluder) broadcastLeaving() {
	for _, payload := range encodeLeaving(e.options.Leaving()) {
		e.options.Broadcast(Topic, payload)
	}
}

// encodeLeaving returns messages of at most maxMessageBytes with the hosts of addresses.
func encodeLeaving(addresses []identifier.Address) [][]byte {
	var payloads [][]byte
	var message leavingMessage
	for _, address := range addresses {
		message.Addresses = append(message.Addresses, hostOf(address))
		payload, err := json.Marshal(message)
		switch last := len(payloads) - 1; {
		case err != nil: // Strings can be encoded.
		case len(message.Addresses) > 1 && len(payload) <= maxMessageBytes:
			payloads[last] = payload
		default:
			message.Addresses = message.Addresses[len(message.Addresses)-1:]
			payload, _ = json.Marshal(message)
			payloads = append(payloads, payload)
		}
	}
	return payloads
}

// Receive handles another node's broadcast. It ignores a payload that it cannot decode.
func (e *Excluder) Receive(payload []byte) {
	var message leavingMessage
	if json.Unmarshal(payload, &message) != nil {
		return
	}
	now := time.Now()
	for _, host := range message.Addresses {
		e.addLeaving(host, now)
	}
}

// hostOf returns the host of an address with or without a port.
func hostOf(address identifier.Address) string {
	host, _, err := net.SplitHostPort(string(address))
	if err != nil {
		return string(address)
	}
	return host
}
