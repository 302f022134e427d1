// Package starter assembles a node that forwards the requests of the users'
// platform from its services, and runs it until it is told to stop, without
// cutting a request.
package starter

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/addresser"
	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/dispatcher"
	"github.com/foxtailspool/foxtailspool/exchanger"
	"github.com/foxtailspool/foxtailspool/follower"
	"github.com/foxtailspool/foxtailspool/forwarder"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/isolator"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/platform"
	"github.com/foxtailspool/foxtailspool/prober"
	"github.com/foxtailspool/foxtailspool/registrar"
	"github.com/foxtailspool/foxtailspool/supervisor"
	"github.com/foxtailspool/foxtailspool/switcher"
)

// Options sets up a node.
type Options struct {
	Settings platform.Settings
	// Incarnation is larger at each start of a node of this name.
	Incarnation identifier.Incarnation
	// Network carries all connections.
	Network connector.Network
	// Tick, if set, is called each second, to update what is counted elsewhere.
	Tick func()
	// Metrics serves the exposition; nil serves none.
	Metrics http.Handler
	Log     *logger.Logger
	Scope   tally.Scope
}

// Starter is one node.
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
	switcher   *switcher.Switcher
	forwarder  *forwarder.Forwarder
	addresser  *addresser.Addresser
	peers      http.RoundTripper
	// stopping is closed once the node was told to stop, at stopped.
	stopping chan struct{}
	stopped  atomic.Int64
}

// New assembles a node that does not run yet.
func New(options Options) *Starter {
	s := &Starter{options: options, supervisor: supervisor.New(), stopping: make(chan struct{})}
	s.newStore()
	s.newMembership()
	s.newTables()
	s.newForwarding()
	s.register()
	return s
}

// Run runs the node until ctx ends. Then it leaves the address answer, takes
// requests for as long as callers keep that answer, finishes what is open, and
// returns.
func (s *Starter) Run(ctx context.Context) error {
	return s.supervisor.RunDraining(ctx, s.leave)
}

// leave tells the fleet and waits until callers have asked for addresses anew.
func (s *Starter) leave(ctx context.Context) {
	s.stopped.Store(time.Now().UnixNano())
	close(s.stopping)
	keep := time.NewTimer(s.leaveTime())
	defer keep.Stop()
	if err := s.prober.Leave(ctx); err != nil {
		s.options.Log.Log(eventLeaveUnheard, logger.Fields{"error": err.Error()})
	}
	select {
	case <-keep.C:
	case <-ctx.Done():
	}
}

// leaving tells that the node was told to stop.
func (s *Starter) leaving() bool {
	select {
	case <-s.stopping:
		return true
	default:
		return false
	}
}

// takesStreams tells whether the node still begins streams.
func (s *Starter) takesStreams() bool {
	stopped := s.stopped.Load()
	grace := time.Duration(float64(s.options.Settings.TerminationGrace) * streamShare)
	return stopped == 0 || time.Since(time.Unix(0, stopped)) < grace
}

// table is what the node routes by: nothing until it knows whether it is alone. A
// node that does not know of the others would place for all of them.
func (s *Starter) table() *forwarder.Table {
	select {
	case <-s.prober.Joined():
		return s.tables.current()
	default:
		return s.tables.empty
	}
}

// ready tells whether callers may use the node.
func (s *Starter) ready() bool {
	table := s.table()
	return table.Configuration != nil && table.Listed && !s.leaving()
}

func (s *Starter) self() assigner.Member {
	settings := s.options.Settings
	return assigner.Member{
		Node:          settings.Node,
		Incarnation:   s.options.Incarnation,
		DataCentre:    settings.DataCentre,
		PeerAddress:   settings.PeerAddress,
		CallerAddress: settings.CallerAddress,
		State:         assigner.Alive,
	}
}

// register names the services in the order in which they start. Listeners come
// last, the callers' after the peers', so that a stopping node first finishes
// its callers' requests while everything below still works.
func (s *Starter) register() {
	settings := s.options.Settings
	peers := http.NewServeMux()
	for _, handler := range []interface {
		Handler() (string, http.Handler)
	}{s.prober, s.follower, s.dispatcher} {
		path, serve := handler.Handler()
		peers.Handle(path, serve)
	}
	callers := platform.NewCallerHandler(platform.CallerHandlerOptions{
		Forwarder:    s.forwarder,
		MaxBodyBytes: s.tables.bodyBytes,
		Draining:     s.leaving,
	})
	s.supervisor.Register("gauges", &gauges{s})
	s.supervisor.Register("peers-listener", s.listener("peers-listener", settings.PeerAddress, peers, peerLimits))
	s.supervisor.Register("registrar", s.registrar)
	s.supervisor.Register("prober", s.prober)
	s.supervisor.Register("follower", s.follower)
	s.supervisor.Register("isolator", s.isolator)
	s.supervisor.Register("exchanger", s.exchanger)
	s.supervisor.Register("dispatcher", s.dispatcher)
	s.supervisor.Register("forwarder", s.forwarder)
	s.supervisor.Register("switcher", s.switcher)
	s.supervisor.Register("readiness-listener", s.listener("readiness-listener", settings.ReadinessAddress, platform.NewReadinessHandler(s.ready), smallLimits))
	s.supervisor.Register("directory-listener", s.listener("directory-listener", settings.DirectoryAddress, platform.NewDirectoryHandler(s.addresser), smallLimits))
	s.supervisor.Register("callers-listener", s.listener("callers-listener", settings.CallerAddress, callers, callerLimits(settings)))
	if s.options.Metrics != nil {
		s.supervisor.Register("metrics-listener", s.listener("metrics-listener", metricsAddress(settings), s.options.Metrics, smallLimits))
	}
}

func (s *Starter) listener(name string, address identifier.Address, handler http.Handler, limits connector.ServerLimits) *connector.Server {
	return connector.NewServer(connector.ServerOptions{
		Name:    name,
		Address: address,
		Network: s.options.Network,
		Handler: handler,
		Log:     s.options.Log,
		Limits:  limits,
	})
}
