package publisher

import (
	"context"
	"time"

	"github.com/foxtailspool/foxtailspool/storer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// stalledEdit is one half of an edit of both tables.
type stalledEdit struct {
	attempt string
	// since is when this owner first saw it.
	since time.Time
}

// repair brings table objects forward that are behind the accepted snapshot,
// and takes back halves of edits whose other half does not arrive. It tells
// whether it changed an object.
func (p *Publisher) repair(ctx context.Context, tables Tables) (bool, error) {
	by := p.newPublication()
	routes, err := repairTable(ctx, p, RoutesName, tables.Routes, tables.Pools.Content, tables.snapshot, by)
	if err != nil {
		return routes, err
	}
	pools, err := repairTable(ctx, p, PoolsName, tables.Pools, tables.Routes.Content, tables.snapshot, by)
	return routes || pools, err
}

func repairTable[T tabulator.Routes | tabulator.Pools](ctx context.Context, p *Publisher, name string, table StoredTable[T], other tabulator.Digest, accepted storedSnapshot, by publication) (bool, error) {
	if !table.Exists {
		return false, nil
	}
	status := TableStatus{State: TableAccepted, Node: by.node, Attempt: by.attempt, RefusedApply: table.Status.RefusedApply}
	switch {
	case table.behind(name, accepted):
	case table.Status.Awaits != nil && *table.Status.Awaits != other && p.waitedFor(table.Status.Attempt):
		status.RefusedApply = "an apply of both tables through node " + string(table.Status.Node) +
			" was taken back: the other table did not arrive"
	default:
		return false, nil
	}
	if accepted.edition == nil {
		return true, p.options.Store.Delete(ctx, table.object)
	}
	status.Configuration = accepted.number()
	object := table.withContent(name, accepted.text(name), status)
	_, err := p.write(ctx, object, func(o storer.Object) bool { return attemptOf(o) == by.attempt })
	return true, err
}

// behind tells that the content was accepted with an earlier configuration and
// that a later one holds another: the object missed an edit and is none itself.
func (s StoredTable[T]) behind(name string, accepted storedSnapshot) bool {
	return accepted.edition != nil &&
		s.Status.State == TableAccepted && s.Status.Configuration < accepted.number() &&
		s.Content != tabulator.DigestOf(accepted.text(name))
}

// text is the accepted content of a table.
func (s storedSnapshot) text(name string) []byte {
	if name == RoutesName {
		return s.edition.content.Routes
	}
	return s.edition.content.Pools
}

// waitedFor tells whether the other half of an edit had its time to arrive. The
// edit's own node may be at work on it until then; if it still is, its snapshot
// wins over what is taken back, because the object then is behind.
func (p *Publisher) waitedFor(attempt string) bool {
	if p.stalled.attempt != attempt {
		p.stalled = stalledEdit{attempt: attempt, since: time.Now()}
		time.AfterFunc(p.options.ProposalWait, func() { signal(p.reconcile) })
	}
	return time.Since(p.stalled.since) >= p.options.ProposalWait
}
