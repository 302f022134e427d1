package server

import (
	"context"
	"net/http"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/addresser"
	"github.com/foxtailspool/foxtailspool/configurator"
	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/dispatcher"
	"github.com/foxtailspool/foxtailspool/excluder"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/invoker"
	"github.com/foxtailspool/foxtailspool/isolator"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/orderer"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/prober"
	"github.com/foxtailspool/foxtailspool/publisher"
	"github.com/foxtailspool/foxtailspool/recorder"
	"github.com/foxtailspool/foxtailspool/router"
	"github.com/foxtailspool/foxtailspool/storer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

func (s *Server) newStore() {
	settings := s.options.Settings.Platform
	var transport http.RoundTripper = s.options.Network.Transport(connector.Limits{
		DialTimeout:           settings.CallTimeout,
		IdleTimeout:           settings.WatchSilence,
		MaxConnectionsPerHost: settings.MaxConnections,
		TLS:                   s.options.Certificates.Platform,
	})
	if settings.TokenFile != "" {
		transport = connector.WithBearerToken(transport, settings.TokenFile)
	}
	s.store = storer.NewClient(storer.ClientOptions{
		URL:          settings.URL,
		Transport:    transport,
		CallTimeout:  settings.CallTimeout,
		WatchSilence: settings.WatchSilence,
	})
}

// transport returns a transport for the node's own calls over HTTP/1.
func (s *Server) transport(client configurator.Client, certificates *connector.TLS) *http.Transport {
	return s.options.Network.Transport(limitsOf(client, certificates))
}

func limitsOf(client configurator.Client, certificates *connector.TLS) connector.Limits {
	return connector.Limits{
		DialTimeout:           client.DialTimeout,
		HeaderTimeout:         client.HeaderTimeout,
		IdleTimeout:           client.IdleTimeout,
		MaxConnectionsPerHost: client.MaxConnectionsPerHost,
		TLS:                   certificates,
	}
}

// fresh returns a transport that opens a connection for each call.
func (s *Server) fresh(client configurator.Client, certificates *connector.TLS) *http.Transport {
	transport := s.transport(client, certificates)
	transport.DisableKeepAlives = true
	return transport
}

// peers returns the transport of calls to other nodes. All services share its
// kept connections, which are HTTP/2 and pinged.
func (s *Server) peers() http.RoundTripper {
	if s.keptPeers == nil {
		settings := s.options.Settings.PeerCalls
		limits := limitsOf(settings, s.options.Certificates.Peers)
		limits.PingInterval = settings.PingInterval
		kept := connector.CloseUnresponsive(s.options.Network.Transport(limits))
		s.keptPeers = connector.WithStallTimeout(s.secure(kept), settings.ProgressTimeout)
	}
	return s.keptPeers
}

// newPeers returns a transport that opens a connection for each call. It speaks
// HTTP/1, which needs no handshake of its own for a single call.
func (s *Server) newPeers() http.RoundTripper {
	return s.secure(s.fresh(s.options.Settings.PeerCalls, s.options.Certificates.Peers))
}

// secure turns calls to other nodes, whose addresses come as "http://", into
// https where the peers' listener has certificates.
func (s *Server) secure(transport http.RoundTripper) http.RoundTripper {
	if s.options.Certificates.Peers == nil {
		return transport
	}
	return connector.WithHTTPS(transport)
}

// backends returns the transports of calls to backend servers, kept and fresh.
func (s *Server) backends() (kept, fresh http.RoundTripper) {
	settings := s.options.Settings.Backends
	traces := s.options.Tracer
	kept = traces.Transport(hopBackendServer, s.transport(settings, nil))
	return kept, traces.Transport(hopBackendServer, s.fresh(settings, nil))
}

func (s *Server) newMembership() {
	settings := s.options.Settings
	s.prober = prober.New(prober.Options{
		Self:         s.self(),
		Seeds:        settings.Membership.Seeds,
		Peers:        s.peers(),
		NewPeers:     s.newPeers,
		Listed:       s.listedNodes,
		Interval:     settings.Membership.ProbeInterval,
		Timeout:      settings.Membership.ProbeTimeout,
		SuspectAfter: settings.Membership.SuspicionTime,
		Log:          s.options.Log,
		Scope:        s.options.Scope,
	})
	s.addresser = addresser.New(addresser.Options{
		View:       s.prober.View,
		DataCentre: settings.Node.DataCentre,
		CacheTime:  settings.Drain.EntryKeepTime,
	})
}

func (s *Server) newConfiguration() {
	settings := s.options.Settings
	s.excluder = excluder.New(excluder.Options{
		Snapshot:  func() *tabulator.Snapshot { return s.publisher.Snapshot() },
		Leaving:   s.leavingBackends,
		Broadcast: s.prober.Broadcast,
		Log:       s.options.Log,
	})
	s.prober.Subscribe(excluder.Topic, s.excluder.Receive)
	s.publisher = publisher.New(publisher.Options{
		Self:       settings.Node.Name,
		DataCentre: settings.Node.DataCentre,
		Store:      s.store,
		View:       s.prober.View,
		Peers:      s.peers(),
		Broadcast:  s.prober.Broadcast,
		InForce: func(snapshot *tabulator.Snapshot) {
			s.prober.Announce(snapshot.Number)
		},
		Log:   s.options.Log,
		Scope: s.options.Scope,
	})
	s.prober.Subscribe(publisher.Topic, s.publisher.Heard)
}

// listedNodes returns the peer addresses of the nodes in the platform's list.
func (s *Server) listedNodes() []identifier.Address {
	var addresses []identifier.Address
	for _, vm := range s.publisher.Listed() {
		if vm.Entry && !vm.Leaving {
			addresses = append(addresses, vm.Address)
		}
	}
	return addresses
}

// leavingBackends returns the addresses of the backend servers' VMs that the
// platform lists as leaving.
func (s *Server) leavingBackends() []identifier.Address {
	var addresses []identifier.Address
	for _, vm := range s.publisher.Listed() {
		if !vm.Entry && vm.Leaving {
			addresses = append(addresses, vm.Address)
		}
	}
	return addresses
}

func (s *Server) newPlacement() {
	settings := s.options.Settings
	kept, fresh := s.backends()
	s.invoker = invoker.New(invoker.Options{
		Transport:         kept,
		UnpooledTransport: fresh,
		CallTimeout:       settings.Backends.CallTimeout,
		PrefillTimeout:    settings.Backends.HeaderTimeout,
		ImportTimeout:     settings.Backends.HeaderTimeout,
		ProgressTimeout:   settings.Backends.ProgressTimeout,
		MaxAnswerBytes:    int64(settings.Callers.MaxBodySize),
	})
	s.dispatcher = dispatcher.New(dispatcher.Options{
		Self:          settings.Node.Name,
		View:          s.prober.View,
		Snapshot:      s.excluder.Snapshot,
		Peers:         s.peers(),
		Engines:       engines{s.invoker},
		Revoked:       func(grant identifier.Grant) { s.router.Revoke(grant) },
		Lease:         settings.Placement.Lease,
		Grace:         settings.Placement.Grace,
		Poll:          settings.Placement.LoadInterval,
		EngineTimeout: settings.Backends.CallTimeout,
		FallbackAfter: settings.Placement.FallbackAfter,
		ShardEngines:  settings.Placement.EnginesPerShard,
		BacklogLimit:  settings.Placement.MaxBacklog,
		Log:           s.options.Log,
		Scope:         s.options.Scope,
	})
}

func (s *Server) newLedger() {
	settings := s.options.Settings
	s.recorder = recorder.New(recorder.Options{
		Self:         settings.Node.Name,
		Incarnation:  s.options.Incarnation,
		Store:        s.store,
		View:         s.prober.View,
		Peers:        s.options.Tracer.Transport(hopPeerCall, s.peers()),
		Window:       settings.Ledger.KeyWindow,
		ClockSkew:    settings.Ledger.ClockSkew,
		Shards:       settings.Ledger.Shards,
		GroupCommit:  settings.Ledger.CommitInterval,
		InlineAnswer: int(settings.Ledger.MaxKeptAnswerSize),
		Log:          s.options.Log,
		Scope:        s.options.Scope,
	})
	s.isolator = isolator.New(isolator.Options{
		Broadcast: s.prober.Broadcast,
		Log:       s.options.Log,
		Scope:     s.options.Scope,
	})
	s.prober.Subscribe(isolator.Topic, s.isolator.Receive)
}

func (s *Server) newRouter() {
	settings := s.options.Settings
	s.router = router.New(router.Options{
		Node:        settings.Node.Name,
		Incarnation: s.options.Incarnation,
		DataCentre:  settings.Node.DataCentre,
		Snapshot:    s.excluder.Snapshot,
		Placer:      s.dispatcher,
		Engines:     traced{s.invoker, s.options.Tracer},
		Services:    traced{s.invoker, s.options.Tracer},
		Ledger:      tracedLedger{s.recorder, s.options.Tracer},
		Isolator:    s.isolator,
		Budgets: limiter.New(limiter.Options{
			Floor: float64(settings.Requests.RetryRate),
			Burst: float64(settings.Requests.RetryBurst),
			Scope: s.options.Scope,
		}),
		Limits: router.Limits{
			Attempts:      settings.Requests.MaxAttempts,
			Resumes:       settings.Requests.MaxResumes,
			Linger:        settings.Requests.Linger,
			DefaultTokens: identifier.Tokens(settings.Requests.DefaultOutput),
			CancelRetry:   settings.Requests.CancelRetry,
			CancelGiveUp:  settings.Requests.CancelGiveUp,
			Timeout:       settings.Requests.MaxTimeout,
			RetryAfter:    settings.Requests.RetryAfter,
		},
		Log:   s.options.Log,
		Scope: s.options.Scope,
	})
}

// engines adapts the invoker to what the dispatcher asks of engines.
type engines struct {
	invoker *invoker.Invoker
}

// Load asks an engine for its report.
func (e engines) Load(ctx context.Context, _ identifier.Pool, member tabulator.Member, seen placer.CachePosition) (placer.Load, error) {
	load, err := e.invoker.Load(ctx, member, invoker.CachePosition(seen))
	report := placer.Load{
		Role:          load.Role,
		Age:           load.Age,
		Free:          load.FreePieces,
		Running:       load.Running,
		Step:          load.StepTime,
		PrefillRate:   load.PrefillRate,
		Backlog:       load.Backlog,
		CachePosition: placer.CachePosition(load.Cache.Position),
		CacheKnown:    load.Cache.EventsRead,
		CacheLost:     load.Cache.EventsLost,
		Cached:        load.Cache.Cached,
		Evicted:       load.Cache.Evicted,
	}
	for _, held := range load.Allocations {
		request, stream, ok := invoker.ParseAttemptID(held.Attempt)
		if ok {
			report.Holding = append(report.Holding, placer.Holding{Request: request, Stream: stream, Pieces: held.Pieces})
		}
	}
	return report, err
}

// Cancel ends the stream of an attempt unless a later reader went on with it.
func (e engines) Cancel(ctx context.Context, _ identifier.Pool, member tabulator.Member, request identifier.Request, stream, reader uint64) error {
	return e.invoker.Cancel(ctx, member, invoker.AttemptID(request, stream), reader)
}

func (s *Server) newOrders() {
	s.orderer = orderer.New(orderer.Options{
		Self:     s.options.Settings.Node.Name,
		Store:    s.store,
		View:     s.prober.View,
		Snapshot: s.publisher.Snapshot,
		Engines:  ordered{s.invoker},
		Log:      s.options.Log,
		Scope:    s.options.Scope,
	})
}

// ordered adapts the invoker to what the orderer asks of engines.
type ordered struct {
	invoker *invoker.Invoker
}

// Order sends an order; orderer.Fenced tells that its fencing number was old.
func (o ordered) Order(ctx context.Context, member tabulator.Member, order orderer.Order) error {
	err := o.invoker.Order(ctx, member, invoker.Order(order))
	if errorx.IsOfType(err, invoker.Superseded) {
		return orderer.Fenced.Wrap(err, "order to %s", member.Name)
	}
	return err
}

// State reads what an engine serves.
func (o ordered) State(ctx context.Context, member tabulator.Member) (orderer.State, error) {
	state, err := o.invoker.State(ctx, member)
	return orderer.State(state), err
}
