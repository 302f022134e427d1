package starter

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/foxtailspool/foxtailspool/accountant"
	"github.com/foxtailspool/foxtailspool/addresser"
	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/dispatcher"
	"github.com/foxtailspool/foxtailspool/exchanger"
	"github.com/foxtailspool/foxtailspool/follower"
	"github.com/foxtailspool/foxtailspool/forwarder"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/isolator"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/platform"
	"github.com/foxtailspool/foxtailspool/prober"
	"github.com/foxtailspool/foxtailspool/registrar"
	"github.com/foxtailspool/foxtailspool/storer"
	"github.com/foxtailspool/foxtailspool/switcher"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

const (
	// storeTimeout bounds one call to the store; it is some tens of times a usual answer.
	storeTimeout = 400 * time.Millisecond
	// storePageTimeout bounds the read of one page of a list: when hundreds of nodes start
	// at once and read a long list, each page takes about half a second. An object of 1 MB
	// takes 0.8 s over a link of 10 Mbit/s. A node that starts while the store is silent waits
	// as long before it tries again, and must find the others within discoveryTimeout.
	storePageTimeout = 1500 * time.Millisecond
	// maxStoreConnections lets the follower, a read on demand and the registrar use the
	// store at the same time.
	maxStoreConnections = 4
	// peerDialTimeout, peerHeaderTimeout and peerPingAfter together detect a silent
	// connection to a peer within about a second.
	peerDialTimeout    = 400 * time.Millisecond
	peerHeaderTimeout  = 1500 * time.Millisecond
	peerPingAfter      = time.Second
	peerIdleTimeout    = 30 * time.Second
	maxPeerConnections = 4
	// rewriteTime is the time in which living back ends have their entries back after an
	// outage of the store, by the platform's own statement.
	rewriteTime = 2 * time.Second
	// lapseHeartbeats is after how many silent heartbeats the platform removes an entry of the
	// list of back ends, and lapseMargin how much later it may do so.
	lapseHeartbeats = 3
	lapseMargin     = 600 * time.Millisecond
	// defaultHeartbeat is assumed if the settings have none.
	defaultHeartbeat = 1200 * time.Millisecond
	// probeInterval, probeTimeout and suspicionTimeout together detect a dead node in
	// about two seconds. The platform gives a node three seconds to learn what it must know.
	probeInterval    = 500 * time.Millisecond
	probeTimeout     = 250 * time.Millisecond
	suspicionTimeout = 1500 * time.Millisecond
	// discoveryTimeout is how long a node waits for the list of nodes before it starts
	// alone. While the store is away the node has no tables either. It leaves a third of the
	// 12 s in which the platform wants a restarted fleet to serve again.
	discoveryTimeout = 8 * time.Second
	// addressTTL is how long callers may cache an address answer. It is shorter than the
	// platform allows, so that callers leave a stopping node sooner.
	addressTTL = time.Second
	// maxAnswerAddresses is the platform's limit on the addresses in one answer.
	maxAnswerAddresses = 64
	// maxShardEngines is the largest number of engines in one shard. One owner of a
	// whole pool keeps more of the pool in use than two owners of half a pool each, and a
	// pool near the limit would get other owners whenever engines are added.
	maxShardEngines = 160
	// loadReportInterval is the time between two load reports of an engine to its shard's
	// owner. A report costs as much as a probe. Unlike grants, it shows that an engine is
	// slow or unreachable.
	loadReportInterval = time.Second
)

func (s *Starter) createStore() {
	transport := s.options.Network.Transport(connector.Limits{
		DialTimeout:           storeTimeout,
		HeaderTimeout:         storePageTimeout,
		IdleTimeout:           10 * time.Second,
		MaxConnectionsPerHost: maxStoreConnections,
	})
	s.store = platform.NewStore(platform.StoreOptions{
		Address:     s.options.Settings.StoreAddress,
		Transport:   transport,
		Timeout:     storeTimeout,
		PageTimeout: storePageTimeout,
	})
}

func (s *Starter) createMembership() {
	settings := s.options.Settings
	limits := connector.Limits{DialTimeout: peerDialTimeout, HeaderTimeout: peerHeaderTimeout, IdleTimeout: peerIdleTimeout, MaxConnectionsPerHost: maxPeerConnections}
	newUnpooledTransport := func() http.RoundTripper {
		transport := s.options.Network.Transport(limits)
		transport.DisableKeepAlives = true
		return transport
	}
	pooledLimits := limits
	pooledLimits.PingInterval = peerPingAfter
	s.unclosedPeers = s.options.Network.Transport(pooledLimits)
	s.peers = connector.CloseUnresponsive(s.unclosedPeers)
	s.registrar = registrar.New(registrar.Options{
		Node:       settings.Node,
		Address:    settings.PeerAddress,
		Store:      s.store,
		Generation: platform.GenerationOf,
		Log:        s.options.Log,
	})
	s.prober = prober.New(prober.Options{
		Self:             s.selfMember(),
		DiscoveredSeeds:  s.registrar.PeerAddresses,
		DiscoveryPending: s.registrar.DiscoveryPending,
		DiscoveryTimeout: discoveryTimeout,
		Transport:        s.peers,
		NewTransport:     newUnpooledTransport,
		Interval:         probeInterval,
		Timeout:          probeTimeout,
		SuspicionTimeout: suspicionTimeout,
		Log:              s.options.Log,
		Scope:            s.options.Scope,
	})
	s.addresser = addresser.New(addresser.Options{
		View:         s.prober.View,
		DataCentre:   settings.DataCentre,
		CacheTime:    min(addressTTL, settings.MaxAddressTTL),
		MaxAddresses: maxAnswerAddresses,
		AnyOrder:     true,
		Scope:        s.options.Scope,
	})
}

func (s *Starter) createTables() {
	s.tables = newTables(s.options.Log, func(number identifier.Configuration) { s.prober.AnnounceConfiguration(number) })
	s.follower = follower.New(follower.Options{
		Self:          s.options.Settings.Node,
		Kinds:         []storer.Kind{platform.KindConfiguration, platform.KindBackends},
		Store:         s.store,
		Compare:       platform.CompareVersions,
		GenerationOf:  platform.GenerationOf,
		OnGeneration:  s.storeRestored,
		Supersedes:    platform.Supersedes,
		RewriteTime:   rewriteTime,
		LapseTime:     lapseHeartbeats*cmp.Or(s.options.Settings.Heartbeat, defaultHeartbeat) + lapseMargin,
		View:          s.prober.View,
		Joined:        s.prober.Joined(),
		PeerTransport: s.peers,
		OnChange:      s.tables.applyListing,
		Log:           s.options.Log,
		Scope:         s.options.Scope,
	})
}

// storeRestored tells the services that keep objects in the store of its generation.
func (s *Starter) storeRestored(generation storer.Generation) {
	s.registrar.StoreRestored(generation)
	s.switcher.StoreRestored(generation)
}

func (s *Starter) createForwarding() {
	settings := s.options.Settings
	s.answers = limiter.NewMemory(limiter.MemoryOptions{Name: "answers", Limit: memoryShare(settings, answerMemoryShare), Scope: s.options.Scope})
	s.exchanger = exchanger.New(exchanger.Options{
		Dial:       s.options.Network.WithBuffers(backendBufferBytes).Dial,
		EchoHeader: platform.HeaderAttempt,
		Memory:     s.answers,
		Scope:      s.options.Scope,
	})
	s.backends = platform.NewBackends(s.exchanger)
	s.dispatcher = dispatcher.New(dispatcher.Options{
		Self:          settings.Node,
		View:          s.prober.View,
		Snapshot:      s.tables.currentSnapshot,
		PeerTransport: s.peers,
		Engines:       noopEngines{},
		LoadInterval:  loadReportInterval,
		ShardEngines:  maxShardEngines,
		Log:           s.options.Log,
		Scope:         s.options.Scope,
	})
	s.switcher = switcher.New(switcher.Options{
		Self:        settings.Node,
		Incarnation: s.options.Incarnation,
		Store:       s.store,
		Fence:       platform.FenceFromVersion,
		Generation:  platform.GenerationOf,
		Table:       s.routingTable,
		Placer:      s.dispatcher,
		Engines:     s.backends,
		Log:         s.options.Log,
	})
	s.isolator = isolator.New(isolator.Options{
		Broadcast: s.prober.Broadcast,
		Nodes:     func() int { return len(s.prober.View().Live()) },
		HasTurn:   func(key string) bool { return s.prober.View().HasTurn(key) },
		Log:       s.options.Log,
		Scope:     s.options.Scope,
	})
	s.prober.SubscribeWithAge(isolator.Topic, s.isolator.Receive)
	s.createQuotas()
	s.forwarder = forwarder.New(forwarder.Options{
		DataCentre:    settings.DataCentre,
		Table:         s.routingTable,
		Stop:          s.stopLimits,
		Stopping:      s.stopping,
		Refresh:       s.follower.Refresh,
		Placer:        s.dispatcher,
		Backends:      s.backends,
		Reacher:       s.backends,
		Isolator:      s.isolator,
		Budgets:       limiter.New(s.retryBudget(settings.RetryBudget)),
		Quotas:        s.quotas,
		AccountQuotas: s.accountant,
		RemotePrice:   s.options.RemotePrice,
		Answers:       s.answers,
		Log:           s.options.Log,
		Scope:         s.options.Scope,
	})
}

// createQuotas creates what limits the requests to back ends and those of client accounts.
func (s *Starter) createQuotas() {
	s.quotas = limiter.NewQuotas(limiter.QuotaOptions{
		View:      s.prober.View,
		Broadcast: s.prober.Broadcast,
		OnChange:  s.tables.refreshSnapshot,
		Log:       s.options.Log,
		Scope:     s.options.Scope,
	})
	s.prober.SubscribeWithAge(limiter.QuotaTopic, s.quotas.Receive)
	s.tables.rateOf = func(backend forwarder.Backend) float64 {
		return s.quotas.OwnerRate(time.Now(), backend.Name, backend.Started)
	}
	s.accountant = accountant.New(accountant.Options{
		View: s.prober.View,
		Quota: func(account identifier.Account) (limiter.AccountQuota, bool) {
			return s.tables.currentTable().Configuration.AccountQuota(account)
		},
		Listed:        s.registrar.PeerAddresses,
		PeerTransport: s.unclosedPeers,
		Bounds:        accountant.Bounds(s.options.Settings.QuotaTolerance),
		Log:           s.options.Log,
		Scope:         s.options.Scope,
	})
}

// retryBudget returns the options that split the fleet's retry budget between the nodes.
// Without one in the settings each node has the default budget.
func (s *Starter) retryBudget(fleetBudget platform.RetryBudget) limiter.Options {
	if fleetBudget.Window <= 0 {
		return limiter.Options{Scope: s.options.Scope}
	}
	return limiter.Options{
		Fleet: &limiter.FleetBudget{
			Ratio:  fleetBudget.Ratio,
			Slack:  fleetBudget.BaseRetries,
			Window: fleetBudget.Window,
			Nodes:  s.knownNodes,
		},
		Scope: s.options.Scope,
	}
}

// knownNodes returns the number of nodes that this node knows of, dead ones included: those
// may have been cut off and go on sending. The platform's list counts nodes that this node
// has never reached; complete is false until it has been read.
func (s *Starter) knownNodes() (count int, complete bool) {
	return max(len(s.prober.View().Members), len(s.registrar.PeerAddresses())), !s.registrar.DiscoveryPending()
}

// noopEngines implements dispatcher.Engines without any call to an engine.
type noopEngines struct{}

// Load reports unlimited free memory, so that only the dispatcher's own account limits grants.
func (noopEngines) Load(context.Context, identifier.Pool, tabulator.Member, placer.CachePosition) (placer.Load, error) {
	return placer.Load{Free: unlimitedFreePieces}, nil
}

// unlimitedFreePieces exceeds the memory of any engine.
const unlimitedFreePieces = 1 << 30

// Cancel does nothing: an engine drops a request when its connection closes.
func (noopEngines) Cancel(context.Context, identifier.Pool, tabulator.Member, identifier.Request, uint64, uint64) error {
	return nil
}
