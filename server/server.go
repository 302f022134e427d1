// Package server assembles a node from its services and runs them. On shutdown it
// drains the node, so that no request is cut off.
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
	"github.com/foxtailspool/foxtailspool/limiter"
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

// Options configures a node.
type Options struct {
	// Settings are the node's settings, already validated.
	Settings configurator.Settings
	// Incarnation increases with each start of a node of this name.
	Incarnation identifier.Incarnation
	// Network opens all connections and listeners.
	Network connector.Network
	// Before runs on the context of each caller's request before it is handled.
	Before []kithttp.RequestFunc
	// Certificates are loaded from the files that Settings names.
	Certificates Certificates
	// Tracer records the spans of requests. nil disables tracing.
	Tracer *tracer.Tracer
	// Metrics serves the metrics to operators. nil means that they are not served.
	Metrics http.Handler
	Log     *logger.Logger
	Scope   tally.Scope
}

// Certificates are the TLS certificates of a node. A listener whose field is nil does
// not use TLS. If Platform is nil, the system's certificate authorities are trusted.
type Certificates struct {
	Callers, Peers, Operators, Platform *connector.TLS
}

// Server is one node.
type Server struct {
	options    Options
	supervisor *supervisor.Supervisor

	store               *storer.Client
	prober              *prober.Prober
	publisher           *publisher.Publisher
	dispatcher          *dispatcher.Dispatcher
	recorder            *recorder.Recorder
	isolator            *isolator.Isolator
	invoker             *invoker.Invoker
	pooledPeerTransport http.RoundTripper
	excluder            *excluder.Excluder
	orderer             *orderer.Orderer
	router              *router.Router
	addresser           *addresser.Addresser
}

// Hops whose spans this package records. The dispatcher records its own.
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

// Names under which the services are registered with the supervisor.
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

// New assembles a node. Run starts it.
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
	s.registerServices()
	return s
}

// Run runs the node until ctx ends. Then it removes the node's address from the
// answer to callers, accepts requests for as long as callers may cache that answer,
// finishes the streams in flight and returns.
func (s *Server) Run(ctx context.Context) error {
	return s.supervisor.RunDraining(ctx, s.drain)
}

// drain tells peers that the node leaves, and waits until cached addresses expire.
func (s *Server) drain(ctx context.Context) {
	s.options.Log.Log(eventLeaving, nil)
	if err := s.prober.Leave(ctx); err != nil {
		s.options.Log.Log(eventLeaveNotAnnounced, logger.Fields{"error": err.Error()})
	}
	expiry := time.NewTimer(s.options.Settings.Drain.EntryKeepTime)
	defer expiry.Stop()
	select {
	case <-expiry.C:
	case <-ctx.Done():
	}
}

func (s *Server) self() assigner.Member {
	settings := s.options.Settings
	return assigner.Member{
		Node:          settings.Node.Name,
		Incarnation:   s.options.Incarnation,
		DataCentre:    settings.Node.DataCentre,
		PeerAddress:   settings.Peers.Advertise,
		CallerAddress: settings.Callers.Advertise,
		State:         assigner.Alive,
	}
}

// registerServices registers the services in the order in which they start; they stop
// in reverse. The callers' listener is last, so that a stopping node finishes its
// callers' streams while all other services still run.
func (s *Server) registerServices() {
	settings := s.options.Settings
	peers := http.NewServeMux()
	for _, service := range []interface {
		Handler() (string, http.Handler)
	}{s.prober, s.publisher, s.dispatcher, s.recorder} {
		path, handler := service.Handler()
		peers.Handle(path, handler)
	}
	callers := receiver.New(receiver.Options{
		Router:                s.router,
		Addresser:             s.addresser,
		UnreadyReason:         s.unreadyReason,
		MaxBodyBytes:          int64(settings.Callers.MaxBodySize),
		Bodies:                limiter.NewMemory(limiter.MemoryOptions{Name: "requests", Limit: int64(settings.Requests.MaxHeldBodies), Scope: s.options.Scope}),
		Answers:               limiter.NewMemory(limiter.MemoryOptions{Name: "answers", Limit: int64(settings.Requests.MaxHeldAnswers), Scope: s.options.Scope}),
		MaxInFlight:           settings.Requests.MaxInFlight,
		MaxInFlightPerAccount: settings.Requests.MaxInFlightPerAccount,
		RetryAfter:            settings.Requests.RetryAfter,
		Before:                s.options.Before,
		Log:                   s.options.Log,
		Scope:                 s.options.Scope,
	})
	operators := administrator.NewHandler(administrator.HandlerOptions{
		Observer:  observer{s},
		Publisher: editor{s},
		Metrics:   s.options.Metrics,
		Scope:     s.options.Scope,
		Log:       s.options.Log,
	})
	tracedCallers := s.options.Tracer.Handler(hopEntry, callers)
	certificates := s.options.Certificates
	s.supervisor.Register(namePeers, s.newListener(namePeers, settings.Peers, certificates.Peers, s.options.Tracer.HandlerWithParent(hopPeer, peers)))
	s.supervisor.Register(nameProber, s.prober)
	s.supervisor.Register(namePublisher, s.publisher)
	s.supervisor.Register(nameIsolator, s.isolator)
	s.supervisor.Register(nameExcluder, s.excluder)
	s.supervisor.Register(nameOrderer, s.orderer)
	s.supervisor.Register(nameDispatcher, s.dispatcher)
	s.supervisor.Register(nameRecorder, s.recorder)
	s.supervisor.Register(nameRouter, s.router)
	s.supervisor.Register(nameOperators, s.newListener(nameOperators, settings.Operators, certificates.Operators, operators))
	s.supervisor.Register(nameCallers, s.newListener(nameCallers, settings.Callers, certificates.Callers, tracedCallers))
}

func (s *Server) newListener(name string, l configurator.Listener, certificates *connector.TLS, handler http.Handler) *connector.Server {
	return connector.NewServer(connector.ServerOptions{
		Name:    name,
		Address: l.Listen,
		Network: s.options.Network,
		TLS:     certificates,
		Handler: handler,
		Log:     s.options.Log,
		Scope:   s.options.Scope,

		RequestHeader: receiver.RequestIDHeader,
		Limits: connector.ServerLimits{
			ReadHeaderTimeout: l.ReadHeaderTimeout,
			ReadTimeout:       l.ReadTimeout,
			WriteTimeout:      l.WriteTimeout,
			IdleTimeout:       l.IdleTimeout,
			FinishTimeout:     s.options.Settings.Drain.FinishTimeout,
			MaxConnections:    l.MaxConnections,
			MaxStreams:        l.MaxStreams,
			MaxHeaderBytes:    int(l.MaxHeaderSize),
			MaxBodyBytes:      int64(l.MaxBodySize),
		},
	})
}

// Snapshot returns the configuration in force, or nil if there is none yet.
func (s *Server) Snapshot() *tabulator.Snapshot {
	return s.publisher.Snapshot()
}

// Configuration returns the number of the configuration in force, or zero if none is.
func (s *Server) Configuration() identifier.Configuration {
	if snapshot := s.publisher.Snapshot(); snapshot != nil {
		return snapshot.Number
	}
	return 0
}

// unreadyReason returns why the node does not serve callers yet, or "" if it does.
// A node that knows no other nodes would place requests for all shards, so a node must
// not serve until it has joined. Joining soon gives up on unreachable seeds. A ready
// node keeps serving when it is partitioned from all other nodes, because its
// placements remain safe.
func (s *Server) unreadyReason() router.Reason {
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

// View returns this node's view of the membership.
func (s *Server) View() *assigner.View {
	return s.prober.View()
}

// InFlight returns the number of model requests in flight at this node.
func (s *Server) InFlight() int {
	return s.router.InFlight()
}
