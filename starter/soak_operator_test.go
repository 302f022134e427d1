package starter_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
)

// operator is a stand-in for the users' operator, who writes configurations to the store.
// Every configuration has a route of its own, which all later ones keep.
type operator struct {
	fleet *fleet

	mutex sync.Mutex
	// newest is the last configuration written.
	newest map[string]any
	// acks has the acknowledged configurations, with the times at which the store held them.
	acks []configurationAck
	// isStoreDown makes the operator wait; next, if set, is the service of the configuration
	// that it then writes.
	isStoreDown bool
	next        string
	// extraRoutes is the number of routes for no request.
	extraRoutes int
	// accounts returns the accounts of a configuration; nil if there are none.
	accounts func(version int) []map[string]any
}

type configurationAck struct {
	version int
	// service is where the configuration routes bookings and look-ups.
	service string
	// from is when the store acknowledged it, until when the store lost it; zero means never.
	from, until time.Time
}

// probePrefix returns the path of the route that each configuration from version on has.
func probePrefix(version int) string { return fmt.Sprintf("/probe-%d/", version) }

// changeConfiguration writes a configuration that moves bookings and look-ups.
func (s *soakRun) changeConfiguration() {
	service := "desk"
	if s.operator.newestService() == service {
		service = "other"
	}
	if s.operator.configure(service) {
		s.logFault("the configuration changes to %d, %s", s.operator.newestVersion(), service)
	} else {
		s.logFault("the operator waits for the store to change the configuration")
	}
}

// configure writes a newer configuration that routes bookings and look-ups to service. It
// reports false if the operator has to wait for the store.
func (p *operator) configure(service string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.isStoreDown {
		p.next = service
		return false
	}
	p.write(service)
	return true
}

// write writes a newer configuration. The caller must hold the mutex.
func (p *operator) write(service string) {
	route := func(name, prefix, kind, to string, timeout time.Duration) map[string]any {
		return map[string]any{
			"name": name, "host": routeHost, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": timeout.Milliseconds(),
			"targetLatencyMs": 800, "priority": 0, "service": to, "maxAttempts": 1, "gapAimMs": 300,
		}
	}
	routes := []map[string]any{
		route("long", "/long/", "streaming", "llm", soakLongTimeout),
		route("slow", "/slow/", "unsafe", "slow", soakLongTimeout),
	}
	version := p.fleet.configurationVersion + configurationStep
	for _, ack := range append(p.acks, configurationAck{version: version}) {
		routes = append(routes, route(fmt.Sprint("probe-", ack.version), probePrefix(ack.version), "safe", "other", 3*time.Second))
	}
	routes = append(routes, manyRoutes(p.extraRoutes)...)
	p.newest = p.fleet.newConfiguration(service, routes...)
	if p.accounts != nil {
		p.newest["tenants"] = p.accounts(version)
	}
	p.fleet.objects.Put("config", "main", p.newest)
	p.acks = append(p.acks, configurationAck{version: version, service: service, from: time.Now()})
}

// setStoreDown makes the operator wait for the store.
func (p *operator) setStoreDown(isDown bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isStoreDown = isDown
}

// lose notes that the store has lost the configurations after version.
func (p *operator) lose(version int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for n := range p.acks {
		if p.acks[n].version > version && p.acks[n].until.IsZero() {
			p.acks[n].until = time.Now()
		}
	}
}

// hasLost reports whether the store has lost a configuration.
func (p *operator) hasLost() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.ContainsFunc(p.acks, func(ack configurationAck) bool { return !ack.until.IsZero() })
}

// rewrite writes the newest configuration again, or the one that had to wait.
func (p *operator) rewrite() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	last := p.acks[len(p.acks)-1]
	switch {
	case p.isStoreDown:
	case p.next != "":
		p.write(p.next)
		p.next = ""
	case !last.until.IsZero():
		p.fleet.objects.Put("config", "main", p.newest)
		p.acks = append(p.acks, configurationAck{version: last.version, service: last.service, from: time.Now()})
	}
}

func (p *operator) newestVersion() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.acks[len(p.acks)-1].version
}

func (p *operator) newestService() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.acks[len(p.acks)-1].service
}

// dueVersion returns the newest configuration that must be in force at a time, or zero.
func (p *operator) dueVersion(at time.Time) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.due(at)
}

// due is dueVersion for a caller that holds the mutex.
func (p *operator) due(at time.Time) int {
	version := 0
	for _, ack := range p.acks {
		if ack.from.Add(applyTimeout).Before(at) && (ack.until.IsZero() || ack.until.After(at)) {
			version = max(version, ack.version)
		}
	}
	return version
}

// allowedServices returns where bookings and look-ups may run that are sent and ended at
// these times.
func (p *operator) allowedServices(sent, ended time.Time) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	due := p.due(sent)
	var services []string
	for _, ack := range p.acks {
		if ack.version >= due && ack.from.Before(ended) {
			services = append(services, ack.service)
		}
	}
	return services
}

// storeCopy is a backup of the store.
type storeCopy struct {
	at     time.Time
	backup emulator.ObjectsBackup
	// version is the newest configuration in it.
	version int
}

const (
	// storeCopyInterval is the time between two backups of the store.
	storeCopyInterval = 250 * time.Millisecond
	// otherWrites is the number of writes of others between two backups, until the store is
	// first restored: it then gives out old revisions again for some time.
	otherWrites = 5
)

// keepCopies takes backups of the store until ended is closed.
func (s *soakRun) keepCopies(ended <-chan struct{}) {
	ticker := time.NewTicker(storeCopyInterval)
	defer ticker.Stop()
	for {
		s.takeCopy()
		for n := range otherWrites {
			if !s.operator.hasLost() {
				s.fleet.objects.Put("others", fmt.Sprint(n), time.Now())
			}
		}
		select {
		case <-ticker.C:
		case <-ended:
			return
		}
	}
}

func (s *soakRun) takeCopy() {
	s.operator.mutex.Lock()
	defer s.operator.mutex.Unlock()
	if s.operator.isStoreDown {
		return
	}
	version := 0
	for _, ack := range s.operator.acks {
		if ack.until.IsZero() {
			version = max(version, ack.version)
		}
	}
	copied := storeCopy{at: time.Now(), backup: s.fleet.objects.Backup(), version: version}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.copies = append(s.copies, copied)
}

// copyBefore returns the newest backup taken at a time or earlier, or the oldest of all.
func (s *soakRun) copyBefore(at time.Time) storeCopy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := s.copies[0]
	for _, copied := range s.copies {
		if !copied.at.After(at) {
			found = copied
		}
	}
	return found
}

// startRestores takes the store away and lets it come back from an older copy, at times
// twice. Then the operator and the back ends write again what was lost.
func (s *soakRun) startRestores() {
	seconds := func(from, to float64) time.Duration {
		return time.Duration((from + (to-from)*s.random.Float64()) * float64(time.Second))
	}
	type restore struct {
		away, age, operatorDelay time.Duration
		backendDelays            []time.Duration
		down                     emulator.ObjectFaults
	}
	var restores []restore
	for range 1 + s.random.IntN(2) {
		r := restore{away: seconds(0.5, 2), age: seconds(1, 9), operatorDelay: seconds(0, 2)}
		r.down = []emulator.ObjectFaults{{Status: http.StatusServiceUnavailable}, {Silent: true}, {Reset: true}}[s.random.IntN(3)]
		for range s.backends {
			r.backendDelays = append(r.backendDelays, seconds(0, 2))
		}
		restores = append(restores, r)
	}
	s.background.Go(func() {
		for _, r := range restores {
			end := s.disturb(storeKey)
			s.operator.setStoreDown(true)
			s.fleet.objects.SetFaults(r.down)
			copied := s.copyBefore(time.Now().Add(-r.age))
			s.logFault("the store is down: %+v", r.down)
			time.Sleep(r.away)
			s.operator.lose(copied.version)
			s.fleet.objects.Restore(copied.backup)
			s.fleet.objects.SetFaults(emulator.ObjectFaults{})
			s.operator.setStoreDown(false)
			end()
			s.logFault("the store is back with configuration %d, copied %s before", copied.version, time.Since(copied.at))
			var writers sync.WaitGroup
			writers.Go(func() {
				time.Sleep(r.operatorDelay)
				s.operator.rewrite()
				s.logFault("the operator has written configuration %d again", s.operator.newestVersion())
			})
			for n, backend := range s.backends {
				writers.Go(func() {
					time.Sleep(r.backendDelays[n])
					backend.writeEntry(s.fleet.objects)
				})
			}
			writers.Wait()
		}
	})
}

// soakBackend is a back end and its entry in the store.
type soakBackend struct {
	id, service string
	instance    *emulator.Instance

	mutex sync.Mutex
	// isListed is set if the back end has joined and has not left; left is when it said that
	// it leaves.
	isListed bool
	left     time.Time
}

// writeEntry writes the back end's entry, or removes it if the back end is gone.
func (b *soakBackend) writeEntry(objects *emulator.Objects) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.isListed {
		objects.Put("servers", b.id, b.entry())
	} else {
		objects.Remove("servers", b.id)
	}
}

// entry returns the back end's entry. The caller must hold the mutex.
func (b *soakBackend) entry() json.RawMessage { return b.instance.Entry(b.service, "south", "ready") }

// leave removes the back end's entry; the back end goes on serving.
func (b *soakBackend) leave(objects *emulator.Objects) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.isListed {
		b.isListed, b.left = false, time.Now()
		objects.Remove("servers", b.id)
	}
}

// join adds the back end's entry.
func (b *soakBackend) join(objects *emulator.Objects) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.left.IsZero() {
		b.isListed = true
		objects.Put("servers", b.id, b.entry())
	}
}

func (s *soakRun) serviceOf(id string) string {
	for _, backend := range s.backends {
		if backend.id == id {
			return backend.service
		}
	}
	return ""
}

// leftAt returns when a back end left, and whether it has.
func (s *soakRun) leftAt(id string) (time.Time, bool) {
	for _, backend := range s.backends {
		if backend.id == id {
			backend.mutex.Lock()
			defer backend.mutex.Unlock()
			return backend.left, !backend.left.IsZero()
		}
	}
	return time.Time{}, false
}

// changeBackends lets a back end of the service "desk" join or leave, if the store is up.
func (s *soakRun) changeBackends() {
	s.operator.mutex.Lock()
	defer s.operator.mutex.Unlock()
	if s.operator.isStoreDown {
		return
	}
	var desks []*soakBackend
	for _, backend := range s.backends {
		if backend.service == "desk" {
			desks = append(desks, backend)
		}
	}
	joining, leaving := desks[len(desks)-1], desks[0]
	if s.random.IntN(2) == 0 {
		s.logFault("%s joins", joining.id)
		joining.join(s.fleet.objects)
		return
	}
	s.logFault("%s leaves", leaving.id)
	leaving.leave(s.fleet.objects)
}
