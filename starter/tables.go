package starter

import (
	"cmp"
	"sync"
	"sync/atomic"

	"github.com/foxtailspool/foxtailspool/forwarder"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/platform"
	"github.com/foxtailspool/foxtailspool/storer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// pieceTokens is the size of the pieces that engine memory is granted in: small
// beside a prompt, so that rounding wastes little.
const pieceTokens identifier.Tokens = 256

// lesserShare is the part of the engines' memory that lesser work gets before
// urgent work: enough for a few requests at a time, so that a long flood of urgent
// ones does not starve it.
const lesserShare = 0.02

// tables makes what the node routes by from the collections that it follows.
type tables struct {
	log      *logger.Logger
	announce func(identifier.Configuration)
	// mutex orders the changes; latest and placed are swapped whole.
	mutex         sync.Mutex
	configuration *forwarder.Configuration
	backends      []forwarder.Backend
	// entries are those of the list that backends were read from.
	entries map[string]entry
	listed  bool
	latest  atomic.Pointer[forwarder.Table]
	placed  atomic.Pointer[tabulator.Snapshot]
	// empty is a table that routes nothing.
	empty *forwarder.Table
}

func newTables(log *logger.Logger, announce func(identifier.Configuration)) *tables {
	t := &tables{log: log, announce: announce, empty: forwarder.NewTable(nil, nil, false)}
	t.latest.Store(t.empty)
	return t
}

// current returns the table in force.
func (t *tables) current() *forwarder.Table {
	return t.latest.Load()
}

// snapshot returns the engines as the dispatcher knows them; nil before the first
// configuration.
func (t *tables) snapshot() *tabulator.Snapshot {
	return t.placed.Load()
}

// bodyBytes is the bound on callers' bodies in force.
func (t *tables) bodyBytes() int64 {
	if c := t.current().Configuration; c != nil && c.Limits.BodyBytes > 0 {
		return c.Limits.BodyBytes
	}
	return maximumBody
}

// changed takes a newer copy of a collection over.
func (t *tables) changed(kind storer.Kind, listing storer.Listing) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch kind {
	case platform.KindConfiguration:
		t.configure(listing)
	case platform.KindBackends:
		t.list(listing)
	}
	t.latest.Store(forwarder.NewTable(t.configuration, t.backends, t.listed))
	if t.configuration == nil || !t.listed {
		return
	}
	t.placed.Store(t.newSnapshot())
	t.announce(t.configuration.Number)
}

// configure takes a later configuration over. One that cannot be read leaves the
// one before in force.
func (t *tables) configure(listing storer.Listing) {
	configuration, err := platform.ParseConfiguration(listing)
	if err != nil {
		t.log.Log(eventConfigurationUnreadable, logger.Fields{"version": listing.Version, "error": err.Error()})
		return
	}
	if configuration == nil || t.configuration != nil && configuration.Number <= t.configuration.Number {
		return
	}
	t.configuration = configuration
	t.log.Log(eventConfigured, logger.Fields{"configuration": configuration.Number, "version": listing.Version})
}

func (t *tables) list(listing storer.Listing) {
	entries := make(map[string]entry, len(listing.Objects))
	backends := make([]forwarder.Backend, 0, len(listing.Objects))
	leaving := 0
	for _, object := range listing.Objects {
		read := t.read(object)
		entries[object.Name] = read
		if read.err != nil {
			t.log.Log(eventBackendUnreadable, logger.Fields{"version": listing.Version, "error": read.err.Error()})
			continue
		}
		backends = append(backends, read.backend)
		if read.backend.Leaving {
			leaving++
		}
	}
	t.entries, t.backends, t.listed = entries, backends, true
	t.log.Log(eventListed, logger.Fields{"version": listing.Version, "back-ends": len(backends), "leaving": leaving})
}

// entry is an entry of the list as it was read in one version.
type entry struct {
	version storer.Version
	backend forwarder.Backend
	err     error
}

// read reads an entry, unless it is the one that was read before: of a long list a
// few change at a time.
func (t *tables) read(object storer.Object) entry {
	if known, ok := t.entries[object.Name]; ok && known.version == object.Version {
		return known
	}
	backend, err := platform.ParseBackend(object)
	return entry{version: object.Version, backend: backend, err: err}
}

// newSnapshot describes the pools of engines to the dispatcher.
func (t *tables) newSnapshot() *tabulator.Snapshot {
	snapshot := &tabulator.Snapshot{Number: t.configuration.Number}
	for _, pool := range t.configuration.Pools() {
		if !pool.Model {
			continue
		}
		placed := tabulator.Pool{
			Name:                 pool.Name,
			Kind:                 tabulator.Models,
			PieceTokens:          pieceTokens,
			KVBytesPerToken:      pool.TokenBytes,
			UseForecast:          true,
			RoleChangeTime:       pool.RoleChange,
			LocalPrefillRatio:    directRate,
			TokensPerStreamEvent: pool.EventTokens,
			LesserShare:          lesserShare,
		}
		for _, backend := range t.backends {
			if backend.Pool == pool.Name {
				placed.Members = append(placed.Members, member(pool, backend))
			}
		}
		snapshot.Pools.Pools = append(snapshot.Pools.Pools, placed)
	}
	return snapshot
}

func member(pool forwarder.Pool, backend forwarder.Backend) tabulator.Member {
	return tabulator.Member{
		Name:        backend.Name,
		Address:     backend.Address,
		DataCentre:  backend.DataCentre,
		Role:        backend.Role,
		Pieces:      identifier.Pieces(pool.Memory / pieceTokens),
		Concurrency: cmp.Or(backend.Slots, pool.Slots),
		LinkRate:    pool.LinkRate,
		PrefillRate: prefillRate,
		Leaving:     backend.Leaving,
	}
}

// prefillRate is what prefills are planned with, in prompt tokens a second: a tenth
// below what the users' sheets give for an idle engine. The platform does not tell it,
// and times of prefills hold their queueing too, so that it is not learned.
const prefillRate identifier.Tokens = 50_000

// directRate is the part of a prefill engine's rate at which the platform's decode
// engines read prompts themselves.
const directRate = 0.5
