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

// tableShard is the shard whose owner takes up edits of the table objects.
const tableShard = "configuration-tables"

func (p *Publisher) ownsTables() bool {
	return p.options.View().Owner(tableShard).Node == p.options.Self
}

func (p *Publisher) newPublication() publication {
	return publication{node: p.options.Self, attempt: uuid.NewString()}
}

// publish writes the next configuration to the store and moves to what the
// store holds afterwards. The result tells whether that is the one given.
func (p *Publisher) publish(ctx context.Context, stored storedSnapshot, content tabulator.Content, by publication) (*edition, writeResult, error) {
	number := max(stored.number(), p.held().number) + 1
	made, err := newEdition(number, content)
	if err != nil {
		return nil, unwritten, err
	}
	return p.writeEdition(ctx, stored, made, by)
}

func (p *Publisher) writeEdition(ctx context.Context, stored storedSnapshot, made *edition, by publication) (*edition, writeResult, error) {
	isOwn := func(object storer.Object) bool {
		found, err := p.readStored(object)
		if err != nil {
			return false
		}
		_, own := found.find(func(w wirePublication) bool { return w.Attempt == by.attempt })
		return own
	}
	result, err := p.write(ctx, stored.next(made, by), isOwn)
	if result == written {
		p.offer(made)
	}
	return made, result, err
}

// settleOlderStore writes back what this node has in force to a store that holds
// less, because it was restored from a backup. Tables that are still those of
// the older snapshot are written back first; others are edits made since and
// stay. It returns the tables as they are afterwards.
func (p *Publisher) settleOlderStore(ctx context.Context, tables Tables) (Tables, error) {
	held := p.current.Load()
	stored := tables.snapshot
	if held == nil || stored.number() > held.stamp.number {
		if stored.edition != nil {
			p.offer(stored.edition)
		}
		return tables, nil
	}
	if stored.number() == held.stamp.number {
		p.noteFork(stamp{stored.record.Number, stored.record.Digest})
		return tables, nil
	}
	p.options.Log.Log(eventStoreOlder, logger.Fields{"stored": stored.number(), "held": held.stamp.number})
	by := p.newPublication()
	if err := writeBack(ctx, p, RoutesName, tables.Routes, stored.record.Routes, held.content.Routes, by); err != nil {
		return tables, err
	}
	if err := writeBack(ctx, p, PoolsName, tables.Pools, stored.record.Pools, held.content.Pools, by); err != nil {
		return tables, err
	}
	if _, result, err := p.writeEdition(ctx, stored, held, by); result != written {
		return tables, fmt.Errorf("write back configuration %d: %s: %w", held.stamp.number, result, err)
	}
	return p.Tables(ctx)
}

func writeBack[T tabulator.Routes | tabulator.Pools](ctx context.Context, p *Publisher, name string, table StoredTable[T], old tabulator.Digest, text []byte, by publication) error {
	if table.Exists && table.Content != old || table.Content == tabulator.DigestOf(text) {
		return nil
	}
	status := TableStatus{State: TableAccepted, Configuration: p.held().number, Node: by.node, Attempt: by.attempt}
	object := table.withContent(name, text, status)
	result, err := p.write(ctx, object, func(o storer.Object) bool { return attemptOf(o) == by.attempt })
	if result == unsettled || result == unwritten {
		return err
	}
	return nil
}

// candidate is one way to join the tables as they stand.
type candidate struct {
	// routes and pools tell which tables are taken from the objects; the other
	// is the accepted one.
	routes, pools bool
	content       tabulator.Content
	faults        []string
}

// candidates lists the ways to join, best first: both objects, or one of them
// with the accepted other, so that one broken table does not hold up the other.
func (t Tables) candidates() []candidate {
	made := []candidate{t.join(true, true)}
	if t.snapshot.edition != nil {
		made = append(made, t.join(true, false), t.join(false, true))
	}
	return made
}

func (t Tables) join(takeRoutes, takePools bool) candidate {
	made := candidate{routes: takeRoutes, pools: takePools}
	fault := func(text string) { made.faults = append(made.faults, text) }
	routes, pools := t.Routes.Table, t.Pools.Table
	if accepted := t.snapshot.edition; accepted != nil {
		if !takeRoutes {
			routes = accepted.snapshot.Routes
		}
		if !takePools {
			pools = accepted.snapshot.Pools
		}
	}
	made.content = tabulator.Content{Routes: tabulator.Encode(routes), Pools: tabulator.Encode(pools)}
	if takeRoutes {
		checkObject(t.Routes, RoutesName, PoolsName, tabulator.DigestOf(made.content.Pools), fault)
	}
	if takePools {
		checkObject(t.Pools, PoolsName, RoutesName, tabulator.DigestOf(made.content.Routes), fault)
	}
	if len(made.faults) == 0 {
		made.faults = tabulator.Check(routes, pools)
	}
	return made
}

func checkObject[T tabulator.Routes | tabulator.Pools](table StoredTable[T], name, other string, otherDigest tabulator.Digest, fault func(string)) {
	switch awaits := table.Status.Awaits; {
	case !table.Exists:
		fault("there is no " + name + " table")
	case table.Fault != "":
		fault(name + " table: " + table.Fault)
	case awaits != nil && *awaits != otherDigest:
		fault(name + " table: was applied together with a " + other + " table that did not arrive; apply both again")
	}
}

// takeUp accepts or refuses what stands in the table objects.
func (p *Publisher) takeUp(ctx context.Context) error {
	tables, err := p.Tables(ctx)
	if err != nil {
		return err
	}
	tables, err = p.settleOlderStore(ctx, tables)
	if err != nil {
		return err
	}
	if !tables.Routes.Exists && !tables.Pools.Exists {
		return nil
	}
	if repaired, err := p.repair(ctx, tables); repaired || err != nil {
		signal(p.reconcile)
		return err
	}
	chosen, faults := tables.choose()
	number := tables.snapshot.number()
	accepted := tables.snapshot.edition
	changes := chosen != nil && (accepted == nil || chosen.content.Digest() != accepted.stamp.digest)
	if changes || chosen != nil && p.forked.Load() {
		made, result, err := p.publish(ctx, tables.snapshot, chosen.content, p.newPublication())
		if result != written {
			signal(p.reconcile)
			return err
		}
		reach := p.spread(ctx, made)
		number = made.stamp.number
		p.options.Log.Log(eventAccepted, logger.Fields{"configuration": number, "unreached": reach.Unreached})
	}
	p.tellStatus(ctx, tables, chosen, number, faults)
	return nil
}

// choose returns the best way to join that has no fault, or nil, and the
// faults of joining both objects.
func (t Tables) choose() (*candidate, []string) {
	made := t.candidates()
	for i := range made {
		if len(made[i].faults) == 0 {
			return &made[i], made[0].faults
		}
	}
	return nil, made[0].faults
}

// tellStatus writes into each table object what became of it.
func (p *Publisher) tellStatus(ctx context.Context, tables Tables, chosen *candidate, number identifier.Configuration, faults []string) {
	ctx, cancel := context.WithTimeout(ctx, p.options.StatusTimeout)
	defer cancel()
	var routes, pools tabulator.Digest
	switch {
	case chosen != nil:
		routes, pools = tabulator.DigestOf(chosen.content.Routes), tabulator.DigestOf(chosen.content.Pools)
	case tables.snapshot.edition != nil:
		routes, pools = tables.snapshot.record.Routes, tables.snapshot.record.Pools
	}
	reason := strings.Join(faults, "; ")
	tellTable(ctx, p, tables.Routes, verdict(tables.Routes.Content == routes, number, reason))
	tellTable(ctx, p, tables.Pools, verdict(tables.Pools.Content == pools, number, reason))
}

func verdict(accepted bool, number identifier.Configuration, reason string) TableStatus {
	if accepted {
		return TableStatus{State: TableAccepted, Configuration: number}
	}
	return TableStatus{State: TableRefused, Configuration: number, Reason: reason}
}

func tellTable[T tabulator.Routes | tabulator.Pools](ctx context.Context, p *Publisher, table StoredTable[T], verdict TableStatus) {
	told := table.Status
	if !table.Exists || told.State == verdict.State && told.Reason == verdict.Reason {
		return
	}
	if verdict.State == TableRefused {
		p.options.Log.Log(eventRefused, logger.Fields{"table": table.object.Name, "reason": verdict.Reason})
	}
	verdict.Node, verdict.Attempt = told.Node, told.Attempt
	if verdict.State == TableRefused {
		verdict.Awaits = told.Awaits
	}
	if _, err := p.options.Store.Update(ctx, table.withStatus(verdict)); err != nil {
		p.storeFailed(err)
		signal(p.reconcile)
	}
}

// runOwner takes up edits of the table objects while this node owns them.
func (p *Publisher) runOwner(ctx context.Context) {
	const together = 50 * time.Millisecond
	wait := p.newBackOff()
	for {
		select {
		case <-p.reconcile:
		case <-ctx.Done():
			return
		}
		// Edits that come close together are taken up at once.
		if !pause(ctx, together) {
			return
		}
		if !p.ownsTables() || !p.acquire(ctx) {
			continue
		}
		err := p.takeUp(ctx)
		p.release()
		if err == nil {
			wait.reset()
			continue
		}
		p.storeFailed(err)
		if !wait.wait(ctx) {
			return
		}
		signal(p.reconcile)
	}
}

// acquire takes the turn to accept on this node.
func (p *Publisher) acquire(ctx context.Context) bool {
	select {
	case p.accepting <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *Publisher) release() { <-p.accepting }
