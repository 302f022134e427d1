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
		URL:              settings.URL,
		Transport:        transport,
		CallTimeout:      settings.CallTimeout,
		WatchIdleTimeout: settings.WatchSilence,
	})
}

// newTransport returns an HTTP/1 transport with a connection pool.
func (s *Server) newTransport(client configurator.Client, certificates *connector.TLS) *connector.Transport {
	return s.options.Network.Transport(clientLimits(client, certificates))
}

func clientLimits(client configurator.Client, certificates *connector.TLS) connector.Limits {
	return connector.Limits{
		DialTimeout:           client.DialTimeout,
		HeaderTimeout:         client.HeaderTimeout,
		IdleTimeout:           client.IdleTimeout,
		MaxConnectionsPerHost: client.MaxConnectionsPerHost,
		TLS:                   certificates,
	}
}

// newUnpooledTransport returns a transport that opens a connection for each call.
func (s *Server) newUnpooledTransport(client configurator.Client, certificates *connector.TLS) *connector.Transport {
	transport := s.newTransport(client, certificates)
	transport.DisableKeepAlives = true
	return transport
}

// peerTransport returns the transport for calls to other nodes. All services share
// its pool of HTTP/2 connections, which are checked by pings.
func (s *Server) peerTransport() http.RoundTripper {
	if s.pooledPeerTransport == nil {
		settings := s.options.Settings.PeerCalls
		limits := clientLimits(settings, s.options.Certificates.Peers)
		limits.PingInterval = settings.PingInterval
		pooled := connector.CloseUnresponsive(s.options.Network.Transport(limits))
		s.pooledPeerTransport = connector.WithStallTimeout(s.withPeerTLS(pooled), settings.ProgressTimeout)
	}
	return s.pooledPeerTransport
}

// newUnpooledPeerTransport returns a transport that opens a connection for each call
// to a peer. It uses HTTP/1, which, unlike HTTP/2, has no handshake of its own.
func (s *Server) newUnpooledPeerTransport() http.RoundTripper {
	return s.withPeerTLS(s.newUnpooledTransport(s.options.Settings.PeerCalls, s.options.Certificates.Peers))
}

// withPeerTLS makes a transport use HTTPS for "http://" URLs of other nodes if the
// peers' listener has certificates.
func (s *Server) withPeerTLS(transport http.RoundTripper) http.RoundTripper {
	if s.options.Certificates.Peers == nil {
		return transport
	}
	return connector.WithHTTPS(transport)
}

// backendTransports returns the transports for calls to backend servers.
func (s *Server) backendTransports() (pooled, unpooled http.RoundTripper) {
	settings := s.options.Settings.Backends
	traces := s.options.Tracer
	pooled = traces.Transport(hopBackendServer, s.newTransport(settings, nil))
	return pooled, traces.Transport(hopBackendServer, s.newUnpooledTransport(settings, nil))
}

func (s *Server) newMembership() {
	settings := s.options.Settings
	s.prober = prober.New(prober.Options{
		Self:             s.self(),
		Seeds:            settings.Membership.Seeds,
		Transport:        s.peerTransport(),
		NewTransport:     s.newUnpooledPeerTransport,
		DiscoveredSeeds:  s.listedNodeAddresses,
		Interval:         settings.Membership.ProbeInterval,
		Timeout:          settings.Membership.ProbeTimeout,
		SuspicionTimeout: settings.Membership.SuspicionTime,
		Log:              s.options.Log,
		Scope:            s.options.Scope,
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
		Leaving:   s.leavingBackendAddresses,
		Broadcast: s.prober.Broadcast,
		Log:       s.options.Log,
	})
	s.prober.Subscribe(excluder.Topic, s.excluder.Receive)
	s.publisher = publisher.New(publisher.Options{
		Self:          settings.Node.Name,
		DataCentre:    settings.Node.DataCentre,
		Store:         s.store,
		View:          s.prober.View,
		PeerTransport: s.peerTransport(),
		Broadcast:     s.prober.Broadcast,
		OnActivated: func(snapshot *tabulator.Snapshot) {
			s.prober.AnnounceConfiguration(snapshot.Number)
		},
		Log:   s.options.Log,
		Scope: s.options.Scope,
	})
	s.prober.Subscribe(publisher.Topic, s.publisher.HandleBroadcast)
}

// listedNodeAddresses returns the peer addresses of listed nodes that are not leaving.
func (s *Server) listedNodeAddresses() []identifier.Address {
	var addresses []identifier.Address
	for _, vm := range s.publisher.VMs() {
		if vm.Entry && !vm.Leaving {
			addresses = append(addresses, vm.Address)
		}
	}
	return addresses
}

// leavingBackendAddresses returns the addresses of the backend servers' VMs that the
// platform lists as leaving.
func (s *Server) leavingBackendAddresses() []identifier.Address {
	var addresses []identifier.Address
	for _, vm := range s.publisher.VMs() {
		if !vm.Entry && vm.Leaving {
			addresses = append(addresses, vm.Address)
		}
	}
	return addresses
}

func (s *Server) newPlacement() {
	settings := s.options.Settings
	pooled, unpooled := s.backendTransports()
	s.invoker = invoker.New(invoker.Options{
		Transport:         pooled,
		UnpooledTransport: unpooled,
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
		PeerTransport: s.peerTransport(),
		Engines:       dispatcherEngines{s.invoker},
		OnRevoked:     func(grant identifier.Grant) { s.router.Revoke(grant) },
		Lease:         settings.Placement.Lease,
		TakeoverGrace: settings.Placement.Grace,
		LoadInterval:  settings.Placement.LoadInterval,
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
		Self:                 settings.Node.Name,
		Incarnation:          s.options.Incarnation,
		Store:                s.store,
		View:                 s.prober.View,
		Peers:                s.options.Tracer.Transport(hopPeerCall, s.peerTransport()),
		Window:               settings.Ledger.KeyWindow,
		ClockSkew:            settings.Ledger.ClockSkew,
		Shards:               settings.Ledger.Shards,
		CommitInterval:       settings.Ledger.CommitInterval,
		MaxInlineAnswerBytes: int(settings.Ledger.MaxKeptAnswerSize),
		Log:                  s.options.Log,
		Scope:                s.options.Scope,
	})
	s.isolator = isolator.New(isolator.Options{
		Broadcast: s.prober.Broadcast,
		Nodes:     func() int { return len(s.prober.View().Live()) },
		Log:       s.options.Log,
		Scope:     s.options.Scope,
	})
	s.prober.SubscribeWithAge(isolator.Topic, s.isolator.Receive)
}

func (s *Server) newRouter() {
	settings := s.options.Settings
	s.router = router.New(router.Options{
		Node:        settings.Node.Name,
		Incarnation: s.options.Incarnation,
		DataCentre:  settings.Node.DataCentre,
		Snapshot:    s.excluder.Snapshot,
		Placer:      s.dispatcher,
		Engines:     tracedInvoker{s.invoker, s.options.Tracer},
		Services:    tracedInvoker{s.invoker, s.options.Tracer},
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

// dispatcherEngines implements dispatcher.Engines with an invoker.
type dispatcherEngines struct {
	invoker *invoker.Invoker
}

// Load returns an engine's load report.
func (e dispatcherEngines) Load(ctx context.Context, _ identifier.Pool, member tabulator.Member, seen placer.CachePosition) (placer.Load, error) {
	load, err := e.invoker.Load(ctx, member, invoker.CachePosition(seen))
	report := placer.Load{
		Role:            load.Role,
		Age:             load.Age,
		Free:            load.FreePieces,
		Running:         load.Running,
		StepTime:        load.StepTime,
		PrefillRate:     load.PrefillRate,
		Backlog:         load.Backlog,
		CachePosition:   placer.CachePosition(load.Cache.Position),
		CacheEventsRead: load.Cache.EventsRead,
		CacheEventsLost: load.Cache.EventsLost,
		Cached:          load.Cache.Cached,
		Evicted:         load.Cache.Evicted,
	}
	for _, held := range load.Allocations {
		request, stream, ok := invoker.ParseAttemptID(held.Attempt)
		if ok {
			report.Holding = append(report.Holding, placer.Holding{Request: request, Stream: stream, Pieces: held.Pieces})
		}
	}
	return report, err
}

// Cancel ends the stream of an attempt unless a later reader has resumed it.
func (e dispatcherEngines) Cancel(ctx context.Context, _ identifier.Pool, member tabulator.Member, request identifier.Request, stream, reader uint64) error {
	return e.invoker.Cancel(ctx, member, invoker.AttemptID(request, stream), reader)
}

func (s *Server) newOrders() {
	s.orderer = orderer.New(orderer.Options{
		Self:     s.options.Settings.Node.Name,
		Store:    s.store,
		View:     s.prober.View,
		Snapshot: s.publisher.Snapshot,
		Engines:  ordererEngines{s.invoker},
		Log:      s.options.Log,
		Scope:    s.options.Scope,
	})
}

// ordererEngines implements orderer.Engines with an invoker.
type ordererEngines struct {
	invoker *invoker.Invoker
}

// SendOrder sends an order. It returns orderer.Fenced if the fencing number is too old.
func (o ordererEngines) SendOrder(ctx context.Context, member tabulator.Member, order orderer.Order) error {
	err := o.invoker.Order(ctx, member, invoker.Order(order))
	if errorx.IsOfType(err, invoker.Superseded) {
		return orderer.Fenced.Wrap(err, "order to %s", member.Name)
	}
	return err
}

// State returns an engine's state.
func (o ordererEngines) State(ctx context.Context, member tabulator.Member) (orderer.State, error) {
	state, err := o.invoker.State(ctx, member)
	return orderer.State(state), err
}
