// Package server assembles a node from its services and runs them until the
// node is told to stop, without cutting a request.
package server

import (
	"context"
	"net/http"
	"time"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/addresser"
	"github.com/foxtailspool/foxtailspool/administrator"
	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/configurator"
	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/dispatcher"
	"github.com/foxtailspool/foxtailspool/excluder"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/invoker"
	"github.com/foxtailspool/foxtailspool/isolator"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/orderer"
	"github.com/foxtailspool/foxtailspool/prober"
	"github.com/foxtailspool/foxtailspool/publisher"
	"github.com/foxtailspool/foxtailspool/receiver"
	"github.com/foxtailspool/foxtailspool/recorder"
	"github.com/foxtailspool/foxtailspool/router"
	"github.com/foxtailspool/foxtailspool/storer"
	"github.com/foxtailspool/foxtailspool/supervisor"
	"github.com/foxtailspool/foxtailspool/tabulator"
	"github.com/foxtailspool/foxtailspool/tracer"
)

// Options sets up a node.
type Options struct {
	// Settings are the node's checked settings.
	Settings configurator.Settings
	// Incarnation is larger at each start of a node of this name.
	Incarnation identifier.Incarnation
	// Network carries all connections.
	Network connector.Network
	// Before runs before each caller's operation on its request's context.
	Before []kithttp.RequestFunc
	// Certificates are those that the settings name.
	Certificates Certificates
	// Tracer makes the spans of requests; nil makes none.
	Tracer *tracer.Tracer
	// Metrics serves the exposition to operators; nil serves none.
	Metrics http.Handler
	Log     *logger.Logger
	Scope   tally.Scope
}

// Certificates are the TLS certificates of a node; a nil one stands for no TLS
// on a listener, and for the system's authorities towards the platform.
type Certificates struct {
	Callers, Peers, Operators, Platform *connector.TLS
}

// Server is one node.
type Server struct {
	options    Options
	supervisor *supervisor.Supervisor

	store      *storer.Client
	prober     *prober.Prober
	publisher  *publisher.Publisher
	dispatcher *dispatcher.Dispatcher
	recorder   *recorder.Recorder
	isolator   *isolator.Isolator
	invoker    *invoker.Invoker
	keptPeers  http.RoundTripper
	excluder   *excluder.Excluder
	orderer    *orderer.Orderer
	router     *router.Router
	addresser  *addresser.Addresser
}

// The hops whose spans the server makes. The dispatcher makes its own.
const (
	hopEntry         tracer.Hop = "entry"
	hopPrefill       tracer.Hop = "prefill"
	hopDecode        tracer.Hop = "decode"
	hopService       tracer.Hop = "service"
	hopBackendServer tracer.Hop = "backend-server"
	hopLedger        tracer.Hop = "ledger"
	hopPeerCall      tracer.Hop = "peer-call"
	hopPeer          tracer.Hop = "peer"
)

// Names of the services that others look up.
const (
	nameProber     = "prober"
	namePublisher  = "publisher"
	nameDispatcher = "dispatcher"
	nameRecorder   = "recorder"
	nameIsolator   = "isolator"
	nameExcluder   = "excluder"
	nameOrderer    = "orderer"
	nameRouter     = "router"
	namePeers      = "peers-listener"
	nameCallers    = "callers-listener"
	nameOperators  = "operators-listener"
)

// New assembles a node that does not run yet.
func New(options Options) *Server {
	if options.Tracer == nil {
		options.Tracer = tracer.Discard()
	}
	if options.Metrics == nil {
		options.Metrics = http.NotFoundHandler()
	}
	s := &Server{options: options, supervisor: supervisor.New()}
	s.newStore()
	s.newMembership()
	s.newConfiguration()
	s.newPlacement()
	s.newOrders()
	s.newLedger()
	s.newRouter()
	s.register()
	return s
}

// Run runs the node until ctx ends. Then it leaves the address answer, takes
// requests for as long as callers keep that answer, finishes its streams, and
// returns.
func (s *Server) Run(ctx context.Context) error {
	return s.supervisor.RunDraining(ctx, s.leave)
}

// leave tells the fleet and waits until no caller holds this node's address.
func (s *Server) leave(ctx context.Context) {
	s.options.Log.Log(eventLeaving, nil)
	if err := s.prober.Leave(ctx); err != nil {
		s.options.Log.Log(eventLeaveUnheard, logger.Fields{"error": err.Error()})
	}
	keep := time.NewTimer(s.options.Settings.Drain.EntryKeepTime)
	defer keep.Stop()
	select {
	case <-keep.C:
	case <-ctx.Done():
	}
}

func (s *Server) self() assigner.Member {
	settings := s.options.Settings
	return assigner.Member{
		Node:        settings.Node.Name,
		Incarnation: s.options.Incarnation,
		DataCentre:  settings.Node.DataCentre,
		Peers:       settings.Peers.Advertise,
		Callers:     settings.Callers.Advertise,
		State:       assigner.Alive,
	}
}

// register names the services in the order in which they start. Listeners come
// last, the callers' after the peers', so that a stopping node first finishes
// its callers' streams while everything below still works.
func (s *Server) register() {
	settings := s.options.Settings
	peers := http.NewServeMux()
	for _, handler := range []interface {
		Handler() (string, http.Handler)
	}{s.prober, s.publisher, s.dispatcher, s.recorder} {
		path, serve := handler.Handler()
		peers.Handle(path, serve)
	}
	callers := receiver.New(receiver.Options{
		Router:          s.router,
		Addresser:       s.addresser,
		Unready:         s.unready,
		BodyBytes:       int64(settings.Callers.MaxBodySize),
		Requests:        settings.Requests.MaxInFlight,
		AccountRequests: settings.Requests.MaxInFlightPerAccount,
		RetryAfter:      settings.Requests.RetryAfter,
		Before:          s.options.Before,
		Log:             s.options.Log,
		Scope:           s.options.Scope,
	})
	operators := administrator.NewHandler(administrator.HandlerOptions{
		Observer:  observer{s},
		Publisher: editor{s},
		Metrics:   s.options.Metrics,
		Scope:     s.options.Scope,
		Log:       s.options.Log,
	})
	traced := s.options.Tracer.Handler(hopEntry, callers)
	certificates := s.options.Certificates
	s.supervisor.Register(namePeers, s.listener(namePeers, settings.Peers, certificates.Peers, s.options.Tracer.HandlerWithParent(hopPeer, peers)))
	s.supervisor.Register(nameProber, s.prober)
	s.supervisor.Register(namePublisher, s.publisher)
	s.supervisor.Register(nameIsolator, s.isolator)
	s.supervisor.Register(nameExcluder, s.excluder)
	s.supervisor.Register(nameOrderer, s.orderer)
	s.supervisor.Register(nameDispatcher, s.dispatcher)
	s.supervisor.Register(nameRecorder, s.recorder)
	s.supervisor.Register(nameRouter, s.router)
	s.supervisor.Register(nameOperators, s.listener(nameOperators, settings.Operators, certificates.Operators, operators))
	s.supervisor.Register(nameCallers, s.listener(nameCallers, settings.Callers, certificates.Callers, traced))
}

func (s *Server) listener(name string, l configurator.Listener, certificates *connector.TLS, handler http.Handler) *connector.Server {
	return connector.NewServer(connector.ServerOptions{
		Name:    name,
		Address: l.Listen,
		Network: s.options.Network,
		TLS:     certificates,
		Handler: handler,
		Log:     s.options.Log,
		Limits: connector.ServerLimits{
			ReadHeader:  l.ReadHeaderTimeout,
			Read:        l.ReadTimeout,
			Write:       l.WriteTimeout,
			Idle:        l.IdleTimeout,
			Finish:      s.options.Settings.Drain.FinishTimeout,
			Connections: l.MaxConnections,
			Streams:     l.MaxStreams,
			Header:      int(l.MaxHeaderSize),
			Body:        int64(l.MaxBodySize),
		},
	})
}

// Snapshot returns the configuration in force, or nil before the first.
func (s *Server) Snapshot() *tabulator.Snapshot {
	return s.publisher.Snapshot()
}

// Configuration returns the number of the configuration in force, or zero.
func (s *Server) Configuration() identifier.Configuration {
	if snapshot := s.publisher.Snapshot(); snapshot != nil {
		return snapshot.Number
	}
	return 0
}

// unready tells why the node serves no caller yet; empty once it does. It waits
// to join, because a node that knows of no other would place for all shards, and
// which seeds cannot be reached is soon known. Once it serves it goes on, also cut
// off from the others: what it places alone stays safe.
func (s *Server) unready() router.Reason {
	select {
	case <-s.prober.Joined():
	default:
		return router.NotJoined
	}
	if s.Configuration() == 0 {
		return router.NoConfiguration
	}
	return ""
}

// View returns the membership as this node sees it.
func (s *Server) View() *assigner.View {
	return s.prober.View()
}

// Running returns the number of model requests that this node is answering.
func (s *Server) Running() int {
	return s.router.Running()
}
