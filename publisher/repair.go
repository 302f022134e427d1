package publisher

import (
	"context"
	"time"

	"github.com/foxtailspool/foxtailspool/storer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// incompleteEdit is an edit of both tables of which only one was written.
type incompleteEdit struct {
	attempt string
	// firstSeen is when this node first saw the edit.
	firstSeen time.Time
}

// repairTables restores the accepted content of table objects that are stale or
// belong to an incomplete edit that timed out. It reports whether it wrote or
// deleted an object.
func (p *Publisher) repairTables(ctx context.Context, tables Tables) (bool, error) {
	writer := p.newWriter()
	routes, err := repairTable(ctx, p, RoutesName, tables.Routes, tables.Pools.Content, tables.snapshot, writer)
	if err != nil {
		return routes, err
	}
	pools, err := repairTable(ctx, p, PoolsName, tables.Pools, tables.Routes.Content, tables.snapshot, writer)
	return routes || pools, err
}

func repairTable[T tabulator.Routes | tabulator.Pools](ctx context.Context, p *Publisher, name string, table StoredTable[T], otherDigest tabulator.Digest, accepted storedSnapshot, by writer) (bool, error) {
	if !table.Exists {
		return false, nil
	}
	status := TableStatus{State: TableAccepted, Node: by.node, Attempt: by.attempt, RefusedApply: table.Status.RefusedApply}
	switch {
	case table.isStale(name, accepted):
	case table.Status.Awaits != nil && *table.Status.Awaits != otherDigest && p.otherTableOverdue(table.Status.Attempt):
		status.RefusedApply = "an apply of both tables through node " + string(table.Status.Node) +
			" was taken back: the other table did not arrive"
	default:
		return false, nil
	}
	if accepted.configuration == nil {
		return true, p.options.Store.Delete(ctx, table.object)
	}
	status.Configuration = accepted.number()
	object := table.withContent(name, accepted.tableText(name), status)
	_, err := p.writeConditionally(ctx, object, func(o storer.Object) bool { return attemptFromStatus(o) == by.attempt })
	return true, err
}

// isStale reports whether the table's content was accepted with an earlier
// configuration and differs from the content accepted now. The object then missed
// an edit; its content is not a new edit.
func (s StoredTable[T]) isStale(name string, accepted storedSnapshot) bool {
	return accepted.configuration != nil &&
		s.Status.State == TableAccepted && s.Status.Configuration < accepted.number() &&
		s.Content != tabulator.DigestOf(accepted.tableText(name))
}

// tableText returns a table's accepted content. configuration must not be nil.
func (s storedSnapshot) tableText(name string) []byte {
	if name == RoutesName {
		return s.configuration.content.Routes
	}
	return s.configuration.content.Pools
}

// otherTableOverdue reports whether the other table of an edit has been missing
// for ProposalWait. Until then the node that applies the edit may still write it.
// If that node publishes the edit after the written table was restored, the table
// is stale and gets the published content. The caller must hold acceptSemaphore.
func (p *Publisher) otherTableOverdue(attempt string) bool {
	if p.incompleteEdit.attempt != attempt {
		p.incompleteEdit = incompleteEdit{attempt: attempt, firstSeen: time.Now()}
		time.AfterFunc(p.options.ProposalWait, func() { signal(p.reconcileRequested) })
	}
	return time.Since(p.incompleteEdit.firstSeen) >= p.options.ProposalWait
}
