// Package starter assembles the services of a node that forwards requests on the
// users' platform. It runs the node until it is told to stop, and then drains it so
// that no request is cut off.
package starter

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/accountant"
	"github.com/foxtailspool/foxtailspool/addresser"
	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/dispatcher"
	"github.com/foxtailspool/foxtailspool/exchanger"
	"github.com/foxtailspool/foxtailspool/follower"
	"github.com/foxtailspool/foxtailspool/forwarder"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/isolator"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/localizer"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/platform"
	"github.com/foxtailspool/foxtailspool/prober"
	"github.com/foxtailspool/foxtailspool/registrar"
	"github.com/foxtailspool/foxtailspool/supervisor"
	"github.com/foxtailspool/foxtailspool/switcher"
)

// Options configures a node.
type Options struct {
	Settings platform.Settings
	// RemotePrice is the price of the bytes between data centres; nil means that fixed
	// preferences decide what leaves a data centre.
	RemotePrice *localizer.Price
	// Incarnation must increase with each start of the node that Settings names.
	Incarnation identifier.Incarnation
	// Network opens all listeners and connections.
	Network connector.Network
	// UpdateMetrics, if set, is called every second to update metrics of the caller's own.
	UpdateMetrics func()
	// Metrics serves the metrics endpoint; nil disables its listener.
	Metrics http.Handler
	Log     *logger.Logger
	Scope   tally.Scope
}

// Starter is one node with all its services.
type Starter struct {
	options    Options
	supervisor *supervisor.Supervisor

	store      *platform.Store
	prober     *prober.Prober
	registrar  *registrar.Registrar
	follower   *follower.Follower
	tables     *tables
	exchanger  *exchanger.Exchanger
	backends   *platform.Backends
	dispatcher *dispatcher.Dispatcher
	isolator   *isolator.Isolator
	quotas     *limiter.Quotas
	accountant *accountant.Accountant
	switcher   *switcher.Switcher
	forwarder  *forwarder.Forwarder
	addresser  *addresser.Addresser
	peers      http.RoundTripper
	// unclosedPeers uses the connections of peers, but closes none after a time-out. Queries of
	// quotas time out so soon that a busy peer would lose the calls of other services too.
	unclosedPeers http.RoundTripper
	// answers has the answers of back ends that are read whole.
	answers *limiter.Memory
	// headers has the headers of requests at all listeners.
	headers *limiter.Memory
	// callersListener is the listener for callers' requests.
	callersListener *connector.Server
	// tablesUsable is set once the node has joined the fleet and asked other nodes.
	tablesUsable atomic.Bool
	// stopRequested is closed when the node is told to stop.
	stopRequested chan struct{}
	// stoppedAt is when the node was told to stop, with the reading of the steady clock, since
	// the time of day may jump; nil before.
	stoppedAt atomic.Pointer[time.Time]
	// stopping ends when the node no longer waits for answers.
	stopping    context.Context //nolint:containedctx // It spans the node's lifetime.
	endStopping context.CancelFunc
}

// New returns a node that is not running yet.
func New(options Options) *Starter {
	s := &Starter{options: options, supervisor: supervisor.New(), stopRequested: make(chan struct{})}
	s.stopping, s.endStopping = context.WithCancel(context.Background())
	s.createStore()
	s.createMembership()
	s.createTables()
	s.createForwarding()
	s.registerServices()
	return s
}

// Run runs the node until ctx ends. It then removes the node from address answers,
// accepts requests until callers' cached answers have expired, except those that it may not
// live to answer, finishes open requests and returns.
func (s *Starter) Run(ctx context.Context) error {
	defer s.endStopping()
	return s.supervisor.RunDraining(ctx, s.drain)
}

// drain tells the other nodes that this node is leaving. It returns when ctx ends or after
// acceptPeriod; by then callers have asked for addresses again.
func (s *Starter) drain(ctx context.Context) {
	stoppedAt := time.Now()
	s.stoppedAt.Store(&stoppedAt)
	close(s.stopRequested)
	time.AfterFunc(time.Until(s.stopLimits().AnswerBy), s.endStopping)
	drainTimer := time.NewTimer(s.acceptPeriod())
	defer drainTimer.Stop()
	if err := s.prober.Leave(ctx); err != nil {
		s.options.Log.Log(eventLeaveUnconfirmed, logger.Fields{"error": err.Error()})
	}
	select {
	case <-drainTimer.C:
	case <-ctx.Done():
	}
}

// isStopping reports whether the node was told to stop.
func (s *Starter) isStopping() bool {
	select {
	case <-s.stopRequested:
		return true
	default:
		return false
	}
}

// routingTable returns the current routing table, or an empty one until the node has
// joined the fleet: until it joins, it would place requests as if it were the only node.
// After that it asks other nodes first: the store may just have been restored.
func (s *Starter) routingTable() *forwarder.Table {
	if !s.tablesUsable.Load() {
		select {
		case <-s.prober.Joined():
		default:
			return s.tables.emptyTable
		}
		if !s.follower.HasAskedPeers() && len(s.prober.View().Live()) > 1 {
			return s.tables.emptyTable
		}
		s.tablesUsable.Store(true)
	}
	return s.tables.currentTable()
}

// isReady reports whether callers may use the node.
func (s *Starter) isReady() bool {
	table := s.routingTable()
	return table.Configuration != nil && table.Listed && !s.isStopping()
}

func (s *Starter) selfMember() assigner.Member {
	settings := s.options.Settings
	return assigner.Member{
		Node:          settings.Node,
		Incarnation:   s.options.Incarnation,
		DataCentre:    settings.DataCentre,
		PeerAddress:   settings.PeerAddress,
		CallerAddress: settings.CallerAddress,
		Capacity:      ownerCapacity(settings),
		State:         assigner.Alive,
	}
}

// registerServices registers the services in the order in which they start. The
// callers' listener starts after the peers' listener and the services that it needs: a
// stopping node first finishes its callers' requests while those services still run.
func (s *Starter) registerServices() {
	settings := s.options.Settings
	peerMux := http.NewServeMux()
	for _, peerService := range []interface {
		Handler() (string, http.Handler)
	}{s.prober, s.follower, s.dispatcher, s.accountant} {
		path, handler := peerService.Handler()
		peerMux.Handle(path, handler)
	}
	s.headers = limiter.NewMemory(limiter.MemoryOptions{Name: "headers", Limit: memoryShare(settings, headerMemoryShare), Scope: s.options.Scope})
	peerBodies := limiter.NewMemory(limiter.MemoryOptions{Name: "peer-bodies", Limit: memoryShare(settings, peerBodyMemoryShare), Scope: s.options.Scope})
	auxiliary := withShare(auxiliaryLimits, settings, auxiliaryMemoryShare, auxiliaryFileShare, minAuxiliaryConnections)
	probes := withShare(auxiliaryLimits, settings, probeMemoryShare, auxiliaryFileShare, minAuxiliaryConnections)
	callerHandler := platform.NewCallerHandler(platform.CallerHandlerOptions{
		Forwarder: s.forwarder,
		Limits:    s.tables.callerLimits,
		Memory:    limiter.NewMemory(limiter.MemoryOptions{Name: "requests", Limit: memoryShare(settings, requestMemoryShare), Scope: s.options.Scope}),
		Draining:  s.isStopping,
	})
	s.callersListener = s.newListener("callers-listener", settings.CallerAddress, callerHandler, callerLimits(settings), s.tables.callerTimeouts, nil)
	s.supervisor.Register("gauges", &gaugeUpdater{s})
	s.supervisor.Register("peers-listener", s.newListener("peers-listener", settings.PeerAddress, peerMux, withShare(peerLimits, settings, peerMemoryShare, peerFileShare, minPeerConnections), nil, peerBodies))
	s.supervisor.Register("registrar", s.registrar)
	s.supervisor.Register("prober", s.prober)
	s.supervisor.Register("follower", s.follower)
	s.supervisor.Register("isolator", s.isolator)
	s.supervisor.Register("quotas", s.quotas)
	s.supervisor.Register("accountant", s.accountant)
	s.supervisor.Register("exchanger", s.exchanger)
	s.supervisor.Register("dispatcher", s.dispatcher)
	s.supervisor.Register("forwarder", s.forwarder)
	s.supervisor.Register("switcher", s.switcher)
	s.supervisor.Register("readiness-listener", s.newListener("readiness-listener", settings.ReadinessAddress, platform.NewReadinessHandler(s.isReady), probes, nil, nil))
	s.supervisor.Register("directory-listener", s.newListener("directory-listener", settings.DirectoryAddress, platform.NewDirectoryHandler(s.addresser), auxiliary, s.tables.callerTimeouts, nil))
	s.supervisor.Register("callers-listener", s.callersListener)
	if s.options.Metrics != nil {
		s.supervisor.Register("metrics-listener", s.newListener("metrics-listener", metricsAddress(settings), s.options.Metrics, probes, nil, nil))
	}
}

// newListener returns a listener. timeouts returns those of its clients, if they can change, and
// bodies bounds what its handler reads, if that does not do so itself.
func (s *Starter) newListener(name string, address identifier.Address, handler http.Handler, limits connector.ServerLimits, timeouts func() connector.Timeouts, bodies *limiter.Memory) *connector.Server {
	return connector.NewServer(connector.ServerOptions{
		Name:     name,
		Address:  address,
		Network:  s.options.Network,
		Handler:  handler,
		Log:      s.options.Log,
		Scope:    s.options.Scope,
		Limits:   limits,
		Timeouts: timeouts,
		Headers:  s.headers,
		Bodies:   bodies,

		RequestHeader: platform.HeaderAttempt,
	})
}
