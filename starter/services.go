package starter

import (
	"context"
	"net/http"
	"time"

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
	// storeTimeout bounds one call to the store, some tens of usual answers long.
	storeTimeout = 400 * time.Millisecond
	// pageTimeout bounds one page of a list: when hundreds of nodes start at once and
	// read a long list, each page comes after about half a second.
	pageTimeout = 1500 * time.Millisecond
	// storeConnections is enough for the follower, a read on demand and the
	// registrar at once.
	storeConnections = 4
	// peerDial, peerHeader and peerPing find a peer's silent connection within
	// about a second.
	peerDial   = 400 * time.Millisecond
	peerHeader = 1500 * time.Millisecond
	peerPing   = time.Second
	peerIdle   = 30 * time.Second
	peerConns  = 4
	// probeInterval and the times below find a dead node in about two seconds,
	// within the platform's bound of three for what a node must know.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 250 * time.Millisecond
	suspicionTime = 1500 * time.Millisecond
	// entryKeep is how long callers may keep an address answer: shorter than the
	// platform allows, so that they leave a stopping node soon.
	entryKeep = time.Second
	// entryLimit bounds the addresses of an answer, as the platform does.
	entryLimit = 64
	// budgetShare is the part of the fleet's retry budget that is used. The rest is
	// for nodes that another node does not know of yet.
	budgetShare = 0.8
	// shardEngines bounds the engines that one owner places for: two owners of half a
	// pool each keep less of it in use than one of all.
	shardEngines = 64
	// loadInterval is the time between two reports of an engine to its pool's
	// owner. Each costs as much as a probe, and they tell what grants do not: that
	// an engine is slow or unreachable.
	loadInterval = time.Second
)

func (s *Starter) newStore() {
	transport := s.options.Network.Transport(connector.Limits{
		DialTimeout:           storeTimeout,
		HeaderTimeout:         pageTimeout,
		IdleTimeout:           10 * time.Second,
		MaxConnectionsPerHost: storeConnections,
	})
	s.store = platform.NewStore(platform.StoreOptions{
		Address:     s.options.Settings.StoreAddress,
		Transport:   transport,
		Timeout:     storeTimeout,
		PageTimeout: pageTimeout,
	})
}

func (s *Starter) newMembership() {
	settings := s.options.Settings
	limits := connector.Limits{DialTimeout: peerDial, HeaderTimeout: peerHeader, IdleTimeout: peerIdle, MaxConnectionsPerHost: peerConns}
	fresh := func() http.RoundTripper {
		transport := s.options.Network.Transport(limits)
		transport.DisableKeepAlives = true
		return transport
	}
	kept := limits
	kept.PingInterval = peerPing
	s.peers = connector.CloseUnresponsive(s.options.Network.Transport(kept))
	s.registrar = registrar.New(registrar.Options{
		Node:    settings.Node,
		Address: settings.PeerAddress,
		Store:   s.store,
		Log:     s.options.Log,
	})
	s.prober = prober.New(prober.Options{
		Self:             s.self(),
		DiscoveredSeeds:  s.registrar.PeerAddresses,
		DiscoveryPending: s.registrar.DiscoveryPending,
		Transport:        s.peers,
		NewTransport:     fresh,
		Interval:         probeInterval,
		Timeout:          probeTimeout,
		SuspicionTimeout: suspicionTime,
		Log:              s.options.Log,
		Scope:            s.options.Scope,
	})
	s.addresser = addresser.New(addresser.Options{
		View:         s.prober.View,
		DataCentre:   settings.DataCentre,
		CacheTime:    min(entryKeep, settings.MaxAddressTTL),
		MaxAddresses: entryLimit,
		AnyOrder:     true,
	})
}

func (s *Starter) newTables() {
	s.tables = newTables(s.options.Log, func(number identifier.Configuration) { s.prober.AnnounceConfiguration(number) })
	s.follower = follower.New(follower.Options{
		Self:          s.options.Settings.Node,
		Kinds:         []storer.Kind{platform.KindConfiguration, platform.KindBackends},
		Store:         s.store,
		Compare:       platform.CompareVersions,
		View:          s.prober.View,
		PeerTransport: s.peers,
		OnChange:      s.tables.changed,
		Log:           s.options.Log,
		Scope:         s.options.Scope,
	})
}

func (s *Starter) newForwarding() {
	settings := s.options.Settings
	s.exchanger = exchanger.New(exchanger.Options{
		Dial:       s.options.Network.Dial,
		EchoHeader: platform.HeaderAttempt,
		Scope:      s.options.Scope,
	})
	s.backends = platform.NewBackends(s.exchanger)
	s.dispatcher = dispatcher.New(dispatcher.Options{
		Self:          settings.Node,
		View:          s.prober.View,
		Snapshot:      s.tables.snapshot,
		PeerTransport: s.peers,
		Engines:       engines{},
		LoadInterval:  loadInterval,
		ShardEngines:  shardEngines,
		Log:           s.options.Log,
		Scope:         s.options.Scope,
	})
	s.switcher = switcher.New(switcher.Options{
		Self:        settings.Node,
		Incarnation: s.options.Incarnation,
		Store:       s.store,
		Fence:       platform.FenceFromVersion,
		Table:       s.table,
		Placer:      s.dispatcher,
		Engines:     s.backends,
		Log:         s.options.Log,
	})
	s.isolator = isolator.New(isolator.Options{
		Broadcast: s.prober.Broadcast,
		Log:       s.options.Log,
		Scope:     s.options.Scope,
	})
	s.prober.Subscribe(isolator.Topic, s.isolator.Receive)
	s.forwarder = forwarder.New(forwarder.Options{
		DataCentre:     settings.DataCentre,
		Table:          s.table,
		AcceptsStreams: s.takesStreams,
		Refresh:        s.follower.Refresh,
		Placer:         s.dispatcher,
		Backends:       s.backends,
		Reacher:        s.backends,
		Isolator:       s.isolator,
		Budgets:        limiter.New(s.budget(settings.RetryBudget)),
		Log:            s.options.Log,
		Scope:          s.options.Scope,
	})
}

// budget splits the fleet's retry budget between the live nodes. Half of the
// slack may be spent at once, the other half comes back over the window.
func (s *Starter) budget(fleet platform.RetryBudget) limiter.Options {
	return limiter.Options{
		Ratio:  fleet.Ratio * budgetShare,
		Floor:  fleet.BaseRetries * budgetShare / 2 / fleet.Window.Seconds(),
		Burst:  fleet.BaseRetries * budgetShare / 2,
		Shares: func() int { return len(s.prober.View().Live()) },
		Scope:  s.options.Scope,
	}
}

// engines tells the dispatcher of engines what is known without asking them.
type engines struct{}

// Load reports nothing beyond the dispatcher's own account.
func (engines) Load(context.Context, identifier.Pool, tabulator.Member, placer.CachePosition) (placer.Load, error) {
	return placer.Load{Free: unknownFree}, nil
}

// unknownFree is a report of free memory that leaves the account as it is.
const unknownFree = 1 << 30

// Cancel has nothing to do: an engine drops a request when its connection closes.
func (engines) Cancel(context.Context, identifier.Pool, tabulator.Member, identifier.Request, uint64, uint64) error {
	return nil
}
