// Package excluder keeps new work away from backend servers that the platform's
// list of VMs tells as leaving, without waiting for an operator to edit a table.
//
// Only a few nodes watch the list. They tell the others by rumours, which are
// repeated while a VM leaves and expire after it has come back or is gone.
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

// Topic is the gossip topic of this package's messages.
const Topic = "excluder"

// Options sets up an excluder. Zero durations take the defaults in brackets.
type Options struct {
	// Snapshot returns the configuration in force, or nil before the first.
	Snapshot func() *tabulator.Snapshot
	// Leaving returns the addresses of the leaving VMs that this node was told
	// of by the platform itself.
	Leaving func() []identifier.Address
	// Broadcast sends a payload to every other node, best effort.
	Broadcast func(topic string, payload []byte)
	// Look is the time between two looks at Leaving [500ms].
	Look time.Duration
	// Repeat is the time between two broadcasts of an unchanged list [30s].
	Repeat time.Duration
	// Expiry is how long a VM counts as leaving after it was last told [90s].
	Expiry time.Duration
	Log    *logger.Logger
}

const (
	defaultLook   = 500 * time.Millisecond
	defaultRepeat = 30 * time.Second
	defaultExpiry = 90 * time.Second
	// maximumTold bounds the addresses of one message.
	maximumTold = 64
)

// Excluder is one node's knowledge of leaving backend servers.
type Excluder struct {
	options Options
	mutex   sync.Mutex
	// until holds the VMs that leave, by IP address, and when that expires.
	until map[string]time.Time
	// derived is the last snapshot returned; it is replaced when the
	// configuration or the leaving VMs change.
	derived atomic.Pointer[derived]
}

type derived struct {
	from, marked *tabulator.Snapshot
}

type wireLeaving struct {
	Addresses []string `json:"addresses"`
}

// New returns an excluder that knows of no leaving VM.
func New(options Options) *Excluder {
	options.Look = cmp.Or(options.Look, defaultLook)
	options.Repeat = cmp.Or(options.Repeat, defaultRepeat)
	options.Expiry = cmp.Or(options.Expiry, defaultExpiry)
	return &Excluder{options: options, until: map[string]time.Time{}}
}

// Snapshot returns the configuration in force with the members on leaving VMs
// marked as leaving.
func (e *Excluder) Snapshot() *tabulator.Snapshot {
	current := e.options.Snapshot()
	if current == nil {
		return nil
	}
	if known := e.derived.Load(); known != nil && known.from == current {
		return known.marked
	}
	return e.derive(current)
}

// derive marks a snapshot's members and keeps the result.
func (e *Excluder) derive(current *tabulator.Snapshot) *tabulator.Snapshot {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	marked := current
	if len(e.until) > 0 {
		marked = e.mark(current)
	}
	e.derived.Store(&derived{from: current, marked: marked})
	return marked
}

func (e *Excluder) mark(current *tabulator.Snapshot) *tabulator.Snapshot {
	marked := *current
	marked.Pools.Pools = append([]tabulator.Pool(nil), current.Pools.Pools...)
	for i := range marked.Pools.Pools {
		pool := &marked.Pools.Pools[i]
		pool.Members = append([]tabulator.Member(nil), pool.Members...)
		for j := range pool.Members {
			member := &pool.Members[j]
			_, leaving := e.until[hostOf(member.Address)]
			member.Leaving = member.Leaving || leaving
		}
	}
	return &marked
}

// Run tells the others of leaving VMs and forgets expired ones until ctx ends.
func (e *Excluder) Run(ctx context.Context) error {
	ticker := time.NewTicker(e.options.Look)
	defer ticker.Stop()
	var told time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if changed := e.look(now); changed || now.Sub(told) >= e.options.Repeat {
				e.tell()
				told = now
			}
		}
	}
}

// look takes over the platform's list and tells whether it names new VMs.
func (e *Excluder) look(now time.Time) bool {
	changed := false
	for _, address := range e.options.Leaving() {
		changed = e.take(hostOf(address), now) || changed
	}
	e.expire(now)
	return changed
}

// take notes a leaving VM and tells whether it was not known before.
func (e *Excluder) take(host string, now time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_, known := e.until[host]
	e.until[host] = now.Add(e.options.Expiry)
	if !known {
		e.derived.Store(nil)
		e.options.Log.Log(eventExcluded, logger.Fields{"vm": host})
	}
	return !known
}

func (e *Excluder) expire(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for host, until := range e.until {
		if now.After(until) {
			delete(e.until, host)
			e.derived.Store(nil)
			e.options.Log.Log(eventReadmitted, logger.Fields{"vm": host})
		}
	}
}

// tell broadcasts the VMs that this node itself was told of.
func (e *Excluder) tell() {
	leaving := e.options.Leaving()
	for start := 0; start < len(leaving); start += maximumTold {
		var message wireLeaving
		for _, address := range leaving[start:min(start+maximumTold, len(leaving))] {
			message.Addresses = append(message.Addresses, hostOf(address))
		}
		if payload, err := json.Marshal(message); err == nil {
			e.options.Broadcast(Topic, payload)
		}
	}
}

// Receive takes a payload that another node broadcast. One that cannot be read
// is dropped.
func (e *Excluder) Receive(payload []byte) {
	var message wireLeaving
	if json.Unmarshal(payload, &message) != nil {
		return
	}
	now := time.Now()
	for _, host := range message.Addresses[:min(len(message.Addresses), maximumTold)] {
		e.take(host, now)
	}
}

// hostOf returns the IP address of an address with or without a port.
func hostOf(address identifier.Address) string {
	host, _, err := net.SplitHostPort(string(address))
	if err != nil {
		return string(address)
	}
	return host
}
