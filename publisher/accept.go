package publisher

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/storer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// tableShard is the shard whose owner reconciles the table objects.
const tableShard = "configuration-tables"

func (p *Publisher) ownsTables() bool {
	return p.options.View().Owner(tableShard).Node == p.options.Self
}

func (p *Publisher) newWriter() writer {
	return writer{node: p.options.Self, attempt: uuid.NewString()}
}

// publish writes content under the next number and activates it on success.
func (p *Publisher) publish(ctx context.Context, stored storedSnapshot, content tabulator.Content, by writer) (*configuration, writeResult, error) {
	number := max(stored.number(), p.activeStamp().number) + 1
	next, err := newConfiguration(number, content)
	if err != nil {
		return nil, writeFailed, err
	}
	return p.writeConfiguration(ctx, stored, next, by)
}

func (p *Publisher) writeConfiguration(ctx context.Context, stored storedSnapshot, next *configuration, by writer) (*configuration, writeResult, error) {
	isOwn := func(object storer.Object) bool {
		found, err := p.decodeStored(object)
		if err != nil {
			return false
		}
		_, ok := found.findPublication(func(w wirePublication) bool { return w.Attempt == by.attempt })
		return ok
	}
	result, err := p.writeConditionally(ctx, stored.nextObject(next, by), isOwn)
	if result == writeDone {
		p.activateIfNewer(next)
	}
	return next, result, err
}

// writeBackToRestoredStore writes the active configuration back to a store that was
// restored from a backup and has an older snapshot. It first writes back the
// tables that match the older snapshot; tables with any other content were
// edited since and stay. If the stored snapshot is newer, it activates that one
// instead. It returns the tables as stored afterwards.
func (p *Publisher) writeBackToRestoredStore(ctx context.Context, tables Tables) (Tables, error) {
	active := p.active.Load()
	stored := tables.snapshot
	if active == nil || stored.number() > active.stamp.number {
		if stored.configuration != nil {
			p.activateIfNewer(stored.configuration)
		}
		return tables, nil
	}
	if stored.number() == active.stamp.number {
		p.detectFork(stamp{stored.record.Number, stored.record.Digest})
		return tables, nil
	}
	p.options.Log.Log(eventStoreOlder, logger.Fields{"stored": stored.number(), "held": active.stamp.number})
	by := p.newWriter()
	if err := writeBackTable(ctx, p, RoutesName, tables.Routes, stored.record.Routes, active.content.Routes, by); err != nil {
		return tables, err
	}
	if err := writeBackTable(ctx, p, PoolsName, tables.Pools, stored.record.Pools, active.content.Pools, by); err != nil {
		return tables, err
	}
	if _, result, err := p.writeConfiguration(ctx, stored, active, by); result != writeDone {
		return tables, fmt.Errorf("write back configuration %d: %s: %w", active.stamp.number, result, err)
	}
	return p.Tables(ctx)
}

func writeBackTable[T tabulator.Routes | tabulator.Pools](ctx context.Context, p *Publisher, name string, table StoredTable[T], storedDigest tabulator.Digest, text []byte, by writer) error {
	if table.Exists && table.Content != storedDigest || table.Content == tabulator.DigestOf(text) {
		return nil
	}
	status := TableStatus{State: TableAccepted, Configuration: p.activeStamp().number, Node: by.node, Attempt: by.attempt}
	object := table.withContent(name, text, status)
	result, err := p.writeConditionally(ctx, object, func(o storer.Object) bool { return attemptFromStatus(o) == by.attempt })
	if result == writeUncertain || result == writeFailed {
		return err
	}
	return nil
}

// candidate is one combination of stored and accepted tables.
type candidate struct {
	// storedRoutes and storedPools select the stored table, not the accepted one.
	storedRoutes, storedPools bool
	content                   tabulator.Content
	faults                    []string
}

// candidates returns the combinations in order of preference: both stored tables,
// then each stored table with the accepted version of the other, so that an
// invalid table does not block edits of the other one.
func (t Tables) candidates() []candidate {
	list := []candidate{t.join(true, true)}
	if t.snapshot.configuration != nil {
		list = append(list, t.join(true, false), t.join(false, true))
	}
	return list
}

func (t Tables) join(useStoredRoutes, useStoredPools bool) candidate {
	joined := candidate{storedRoutes: useStoredRoutes, storedPools: useStoredPools}
	addFault := func(text string) { joined.faults = append(joined.faults, text) }
	routes, pools := t.Routes.Table, t.Pools.Table
	if accepted := t.snapshot.configuration; accepted != nil {
		if !useStoredRoutes {
			routes = accepted.snapshot.Routes
		}
		if !useStoredPools {
			pools = accepted.snapshot.Pools
		}
	}
	joined.content = tabulator.Content{Routes: tabulator.Encode(routes), Pools: tabulator.Encode(pools)}
	if useStoredRoutes {
		checkStoredTable(t.Routes, RoutesName, PoolsName, tabulator.DigestOf(joined.content.Pools), addFault)
	}
	if useStoredPools {
		checkStoredTable(t.Pools, PoolsName, RoutesName, tabulator.DigestOf(joined.content.Routes), addFault)
	}
	if len(joined.faults) == 0 {
		joined.faults = tabulator.Check(routes, pools)
	}
	return joined
}

func checkStoredTable[T tabulator.Routes | tabulator.Pools](table StoredTable[T], name, other string, otherDigest tabulator.Digest, addFault func(string)) {
	switch awaits := table.Status.Awaits; {
	case !table.Exists:
		addFault("there is no " + name + " table")
	case table.Fault != "":
		addFault(name + " table: " + table.Fault)
	case awaits != nil && *awaits != otherDigest:
		addFault(name + " table: was applied together with a " + other + " table that did not arrive; apply both again")
	}
}

// reconcileTables accepts or refuses the content of the table objects. The
// caller must hold acceptSemaphore.
func (p *Publisher) reconcileTables(ctx context.Context) error {
	tables, err := p.Tables(ctx)
	if err != nil {
		return err
	}
	tables, err = p.writeBackToRestoredStore(ctx, tables)
	if err != nil {
		return err
	}
	if !tables.Routes.Exists && !tables.Pools.Exists {
		return nil
	}
	if repaired, err := p.repairTables(ctx, tables); repaired || err != nil {
		signal(p.reconcileRequested)
		return err
	}
	chosen, faults := tables.firstValidCandidate()
	number := tables.snapshot.number()
	accepted := tables.snapshot.configuration
	changed := chosen != nil && (accepted == nil || chosen.content.Digest() != accepted.stamp.digest)
	if changed || chosen != nil && p.forked.Load() {
		published, result, err := p.publish(ctx, tables.snapshot, chosen.content, p.newWriter())
		if result != writeDone {
			signal(p.reconcileRequested)
			return err
		}
		reach := p.pushToDataCentres(ctx, published)
		number = published.stamp.number
		p.options.Log.Log(eventAccepted, logger.Fields{"configuration": number, "unreached": reach.Unreached})
	}
	p.writeTableStatuses(ctx, tables, chosen, number, faults)
	return nil
}

// firstValidCandidate returns the first candidate without faults, or nil, and the
// faults of the candidate made of both stored tables.
func (t Tables) firstValidCandidate() (*candidate, []string) {
	candidates := t.candidates()
	for i := range candidates {
		if len(candidates[i].faults) == 0 {
			return &candidates[i], candidates[0].faults
		}
	}
	return nil, candidates[0].faults
}

// writeTableStatuses sets the status of each table object to accepted or refused.
func (p *Publisher) writeTableStatuses(ctx context.Context, tables Tables, chosen *candidate, number identifier.Configuration, faults []string) {
	ctx, cancel := context.WithTimeout(ctx, p.options.StatusTimeout)
	defer cancel()
	var routes, pools tabulator.Digest
	switch {
	case chosen != nil:
		routes, pools = tabulator.DigestOf(chosen.content.Routes), tabulator.DigestOf(chosen.content.Pools)
	case tables.snapshot.configuration != nil:
		routes, pools = tables.snapshot.record.Routes, tables.snapshot.record.Pools
	}
	reason := strings.Join(faults, "; ")
	writeTableStatus(ctx, p, tables.Routes, newTableStatus(tables.Routes.Content == routes, number, reason))
	writeTableStatus(ctx, p, tables.Pools, newTableStatus(tables.Pools.Content == pools, number, reason))
}

func newTableStatus(accepted bool, number identifier.Configuration, reason string) TableStatus {
	if accepted {
		return TableStatus{State: TableAccepted, Configuration: number}
	}
	return TableStatus{State: TableRefused, Configuration: number, Reason: reason}
}

func writeTableStatus[T tabulator.Routes | tabulator.Pools](ctx context.Context, p *Publisher, table StoredTable[T], status TableStatus) {
	previous := table.Status
	if !table.Exists || previous.State == status.State && previous.Reason == status.Reason {
		return
	}
	if status.State == TableRefused {
		p.options.Log.Log(eventRefused, logger.Fields{"table": table.object.Name, "reason": status.Reason})
	}
	status.Node, status.Attempt = previous.Node, previous.Attempt
	if status.State == TableRefused {
		status.Awaits = previous.Awaits
	}
	if _, err := p.options.Store.Update(ctx, table.withStatus(status)); err != nil {
		p.reportStoreFailure(err)
		signal(p.reconcileRequested)
	}
}

// runReconciler reconciles the table objects on request while this node owns them.
func (p *Publisher) runReconciler(ctx context.Context) {
	const batchDelay = 50 * time.Millisecond
	retry := p.newBackOff()
	for {
		select {
		case <-p.reconcileRequested:
		case <-ctx.Done():
			return
		}
		// Wait briefly, so that edits in quick succession are accepted together.
		if !pause(ctx, batchDelay) {
			return
		}
		if !p.ownsTables() || !p.acquireAcceptance(ctx) {
			continue
		}
		err := p.reconcileTables(ctx)
		p.releaseAcceptance()
		if err == nil {
			retry.reset()
			continue
		}
		p.reportStoreFailure(err)
		if !retry.wait(ctx) {
			return
		}
		signal(p.reconcileRequested)
	}
}

// acquireAcceptance acquires acceptSemaphore. It returns false if ctx ends first.
func (p *Publisher) acquireAcceptance(ctx context.Context) bool {
	select {
	case p.acceptSemaphore <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *Publisher) releaseAcceptance() { <-p.acceptSemaphore }
