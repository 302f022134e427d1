package starter

import (
	"cmp"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/forwarder"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/platform"
	"github.com/foxtailspool/foxtailspool/storer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// pieceTokens is the unit, in tokens, in which engine memory is granted. It is small
// compared with a prompt, so that rounding wastes little memory.
const pieceTokens identifier.Tokens = 256

// lesserMemoryShare is the fraction of engine memory that lesser requests get before
// urgent ones: enough for a few at a time, so that a long flood of urgent requests
// does not starve them.
const lesserMemoryShare = 0.02

// tables builds the routing table and the dispatcher's snapshot from the
// configuration and the list of back ends that the follower reads from the store.
type tables struct {
	log      *logger.Logger
	announce func(identifier.Configuration)
	// rateOf returns the requests a second that may be placed on a back end; zero means no
	// limit. nil means that none has one.
	rateOf func(forwarder.Backend) float64
	// mutex serialises updates and guards the fields up to backendsListed; readers load
	// the two atomic pointers without it.
	mutex         sync.Mutex
	configuration *forwarder.Configuration
	backends      []forwarder.Backend
	// parsedBackends caches the objects that backends was built from, by object name.
	parsedBackends map[string]parsedBackend
	backendsListed bool
	latestTable    atomic.Pointer[forwarder.Table]
	latestSnapshot atomic.Pointer[tabulator.Snapshot]
	// emptyTable has no routes.
	emptyTable *forwarder.Table
}

func newTables(log *logger.Logger, announce func(identifier.Configuration)) *tables {
	t := &tables{log: log, announce: announce, emptyTable: forwarder.NewTable(nil, nil, false)}
	t.latestTable.Store(t.emptyTable)
	return t
}

// currentTable returns the latest routing table; it is empty before the first update.
func (t *tables) currentTable() *forwarder.Table {
	return t.latestTable.Load()
}

// currentSnapshot returns the latest snapshot of engine pools for the dispatcher. It
// is nil until both the configuration and the back ends have been read.
func (t *tables) currentSnapshot() *tabulator.Snapshot {
	return t.latestSnapshot.Load()
}

// callerLimits returns what callers may send, with defaults for what the configuration leaves
// open.
func (t *tables) callerLimits() forwarder.Limits {
	var limits forwarder.Limits
	if c := t.currentTable().Configuration; c != nil {
		limits = c.Limits
	}
	limits.BodyBytes = cmp.Or(limits.BodyBytes, defaultMaxBodyBytes)
	limits.HeaderBytes = cmp.Or(limits.HeaderBytes, maxHeaderBytes)
	limits.HeaderTimeout = cmp.Or(limits.HeaderTimeout, defaultHeaderTimeout)
	limits.IdleTimeout = cmp.Or(limits.IdleTimeout, defaultIdleTimeout)
	return limits
}

// callerTimeouts returns the timeouts of callers' connections.
func (t *tables) callerTimeouts() connector.Timeouts {
	limits := t.callerLimits()
	return connector.Timeouts{Header: limits.HeaderTimeout, Idle: limits.IdleTimeout}
}

// applyListing rebuilds the routing table and the snapshot from a newer listing of kind.
func (t *tables) applyListing(kind storer.Kind, listing storer.Listing) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch kind {
	case platform.KindConfiguration:
		t.applyConfiguration(listing)
	case platform.KindBackends:
		t.applyBackends(listing)
	}
	t.latestTable.Store(forwarder.NewTable(t.configuration, t.backends, t.backendsListed))
	if t.configuration == nil || !t.backendsListed {
		return
	}
	t.latestSnapshot.Store(t.newSnapshot())
	t.announce(t.configuration.Number)
}

// refreshSnapshot rebuilds the snapshot after the rate of a back end has changed.
func (t *tables) refreshSnapshot() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.configuration != nil && t.backendsListed {
		t.latestSnapshot.Store(t.newSnapshot())
	}
}

// applyConfiguration replaces the configuration if the listing has one with a higher
// number. An invalid one is logged and ignored. The caller must hold mutex.
func (t *tables) applyConfiguration(listing storer.Listing) {
	began := time.Now()
	configuration, err := platform.ParseConfiguration(listing)
	if err != nil {
		t.log.Log(eventConfigurationInvalid, logger.Fields{"version": listing.Version, "error": err.Error()})
		return
	}
	if configuration == nil || t.configuration != nil && configuration.Number <= t.configuration.Number {
		return
	}
	t.configuration = configuration
	t.log.Log(eventConfigurationApplied, logger.Fields{
		"configuration": configuration.Number, "version": listing.Version,
		"bytes": listing.SizeBytes(), "decode-ms": time.Since(began).Milliseconds(),
	})
}

func (t *tables) applyBackends(listing storer.Listing) {
	parsedBackends := make(map[string]parsedBackend, len(listing.Objects))
	backends := make([]forwarder.Backend, 0, len(listing.Objects))
	leavingCount := 0
	for _, object := range listing.Objects {
		earlier, known := t.parsedBackends[object.Name]
		parsed := t.parseBackend(object)
		parsedBackends[object.Name] = parsed
		if parsed.err != nil {
			if !known || earlier.version != parsed.version {
				t.log.Log(eventBackendInvalid, logger.Fields{"version": listing.Version, "error": shorten(parsed.err.Error())})
			}
			continue
		}
		backends = append(backends, parsed.backend)
		if parsed.backend.Leaving {
			leavingCount++
		}
	}
	t.parsedBackends, t.backends, t.backendsListed = parsedBackends, backends, true
	t.log.Log(eventBackendsApplied, logger.Fields{"version": listing.Version, "back-ends": len(backends), "leaving": leavingCount})
}

// maxLoggedError bounds a logged error, in bytes: it may quote an entry of any size.
const maxLoggedError = 300

func shorten(text string) string {
	if len(text) <= maxLoggedError {
		return text
	}
	return strings.ToValidUTF8(text[:maxLoggedError], "") + "..."
}

// parsedBackend is the result of parsing one version of a back end's object.
type parsedBackend struct {
	version storer.Version
	backend forwarder.Backend
	err     error
}

// parseBackend parses a back end's object. It reuses the cached result if the version
// is the same: few objects of a long list change at a time. The caller must hold mutex.
func (t *tables) parseBackend(object storer.Object) parsedBackend {
	if cached, ok := t.parsedBackends[object.Name]; ok && cached.version == object.Version {
		return cached
	}
	backend, err := platform.ParseBackend(object)
	return parsedBackend{version: object.Version, backend: backend, err: err}
}

// newSnapshot returns the engine pools for the dispatcher. The caller must hold mutex.
func (t *tables) newSnapshot() *tabulator.Snapshot {
	snapshot := &tabulator.Snapshot{Number: t.configuration.Number}
	for _, pool := range t.configuration.Pools() {
		if !pool.Model {
			continue
		}
		enginePool := tabulator.Pool{
			Name:                 pool.Name,
			Kind:                 tabulator.Models,
			PieceTokens:          pieceTokens,
			KVBytesPerToken:      pool.TokenBytes,
			UseForecast:          true,
			RoleChangeTime:       pool.RoleChange,
			LocalPrefillRatio:    directPrefillRatio,
			TokensPerStreamEvent: pool.EventTokens,
			LesserShare:          lesserMemoryShare,
		}
		for _, backend := range t.backends {
			if backend.Pool == pool.Name {
				member := newEngineMember(pool, backend)
				if t.rateOf != nil {
					member.Rate = t.rateOf(backend)
				}
				enginePool.Members = append(enginePool.Members, member)
			}
		}
		snapshot.Pools.Pools = append(snapshot.Pools.Pools, enginePool)
	}
	return snapshot
}

func newEngineMember(pool forwarder.Pool, backend forwarder.Backend) tabulator.Member {
	return tabulator.Member{
		Name:        backend.Name,
		Address:     backend.Address,
		DataCentre:  backend.DataCentre,
		Role:        backend.Role,
		Pieces:      identifier.Pieces(pool.Memory / pieceTokens),
		Concurrency: cmp.Or(backend.Slots, pool.Slots),
		LinkRate:    pool.LinkRate,
		PrefillRate: prefillTokensPerSecond,
		Leaving:     backend.Leaving,
		Started:     backend.Started,
	}
}

// prefillTokensPerSecond is the prefill rate, in prompt tokens, that planning assumes:
// a tenth below the rate that the users' data sheets give for an idle engine. It can't
// be learned: the platform does not report it, and measured prefill times include queueing.
const prefillTokensPerSecond identifier.Tokens = 50_000

// directPrefillRatio is the prefill rate of the platform's decode engines as a
// fraction of a prefill engine's rate.
const directPrefillRatio = 0.5
