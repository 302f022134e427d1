package publisher

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/storer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// ApplyRequest is an operator's edit of one or both tables.
type ApplyRequest struct {
	// Routes and Pools are the new tables. A nil table is left unchanged.
	Routes *tabulator.Routes
	Pools  *tabulator.Pools
	// SeenRoutes and SeenPools are the digests of the contents that the edit is
	// based on, or nil to replace any content. An edit based on a content that is
	// no longer stored has lost a race.
	SeenRoutes *tabulator.Digest
	SeenPools  *tabulator.Digest
}

// ApplyState is the result of an edit.
type ApplyState string

// The outcomes of an edit.
const (
	// ApplyAccepted means that the edit is in the numbered configuration, which
	// is in the store and on a node in every data centre that could be reached.
	ApplyAccepted ApplyState = "accepted"
	// ApplyRefused means that the tables are invalid; the configuration stays.
	ApplyRefused ApplyState = "refused"
	// ApplyRaced means that another edit was stored first; this one is not active.
	ApplyRaced ApplyState = "raced"
	// ApplyNotRun means that the store was unavailable, or another edit was in
	// progress on this node; nothing changed.
	ApplyNotRun ApplyState = "not-run"
	// ApplyUnknown means that the store became unavailable during the edit. The
	// edit may be accepted already or later; read the tables' status once the
	// store is available.
	ApplyUnknown ApplyState = "unknown"
)

// ApplyOutcome describes the result of an edit.
type ApplyOutcome struct {
	State ApplyState
	// Configuration is the number of the configuration with the edit if it was
	// accepted, otherwise the active number, or zero if that is not known.
	Configuration identifier.Configuration
	// Reasons explain why the edit was refused or did not run, or what is unknown.
	Reasons []string
	// Winner describes the content that was stored first, if State is ApplyRaced.
	Winner string
	// Reach lists the data centres with the configuration if the edit is accepted.
	Reach Reach
}

// Apply stores and publishes an operator's edit. It returns once the outcome is
// known, or with ApplyNotRun or ApplyUnknown when ApplyTimeout expires or ctx ends.
func (p *Publisher) Apply(ctx context.Context, request ApplyRequest) ApplyOutcome {
	ctx, cancel := context.WithTimeout(ctx, p.options.ApplyTimeout)
	defer cancel()
	if !p.acquireAcceptance(ctx) {
		return ApplyOutcome{State: ApplyNotRun, Reasons: []string{"another edit is under way on this node"}}
	}
	defer p.releaseAcceptance()
	operation := &applyOperation{publisher: p, request: request, writer: p.newWriter()}
	outcome := operation.run(ctx)
	p.options.Scope.Tagged(map[string]string{"outcome": string(outcome.State)}).Counter("configuration-applies").Inc(1)
	return outcome
}

// applyOperation is the state of one Apply call.
type applyOperation struct {
	publisher *Publisher
	request   ApplyRequest
	writer    writer
	// replacedVersions are the versions of the tables that this edit has
	// overwritten. A read that returns one of them is stale.
	replacedVersions []storer.Version
}

func (a *applyOperation) run(ctx context.Context) ApplyOutcome {
	tables, err := a.loadTables(ctx)
	if err != nil {
		return ApplyOutcome{State: ApplyNotRun, Reasons: []string{err.Error()}}
	}
	if winner := a.describeConflict(tables); winner != "" {
		return a.racedOutcome(tables, winner)
	}
	goal := a.joinEdit(tables)
	if len(goal.faults) > 0 {
		return a.refuse(ctx, tables, goal.faults)
	}
	if tables.haveContent(goal.content) {
		reach := a.publisher.pushToDataCentres(ctx, tables.snapshot.configuration)
		return ApplyOutcome{State: ApplyAccepted, Configuration: tables.snapshot.number(), Reach: reach}
	}
	if outcome, failed := a.writeProposals(ctx, tables, goal.content); failed {
		return outcome
	}
	return a.publish(ctx, tables, goal)
}

// loadTables reads the tables and retries with backoff until ctx ends.
func (a *applyOperation) loadTables(ctx context.Context) (Tables, error) {
	p := a.publisher
	retry := p.newBackOff()
	for {
		tables, err := p.Tables(ctx)
		if err == nil && a.isStale(tables) {
			err = storer.Unavailable.New("the store answers with tables that were replaced")
		}
		if err == nil {
			tables, err = p.writeBackToRestoredStore(ctx, tables)
		}
		if err == nil {
			return tables, nil
		}
		p.reportStoreFailure(err)
		if !retry.wait(ctx) {
			return tables, err
		}
	}
}

func (a *applyOperation) isStale(tables Tables) bool {
	wasReplaced := func(version storer.Version) bool {
		return version != "" && slices.Contains(a.replacedVersions, version)
	}
	return wasReplaced(tables.Routes.Version) || wasReplaced(tables.Pools.Version)
}

// describeConflict describes a stored content that the edit is not based on, or
// returns an empty string.
func (a *applyOperation) describeConflict(tables Tables) string {
	if !isEditBasedOn(a.request.SeenRoutes, tables.Routes, tables.snapshot.record.Routes) {
		return describeTable(RoutesName, tables.Routes)
	}
	if !isEditBasedOn(a.request.SeenPools, tables.Pools, tables.snapshot.record.Pools) {
		return describeTable(PoolsName, tables.Pools)
	}
	return ""
}

// isEditBasedOn reports whether an edit is based on the stored table, or on the
// accepted table if the stored content was refused and so is not active.
func isEditBasedOn[T tabulator.Routes | tabulator.Pools](seen *tabulator.Digest, table StoredTable[T], accepted tabulator.Digest) bool {
	return seen == nil || *seen == table.Content || table.Status.State == TableRefused && *seen == accepted
}

func describeTable[T tabulator.Routes | tabulator.Pools](name string, table StoredTable[T]) string {
	by := "an edit of the object"
	if table.Status.Node != "" {
		by = "an apply through node " + string(table.Status.Node)
	}
	text := fmt.Sprintf("%s table %s, version %s, by %s", name, table.Content, table.Version, by)
	if table.Status.State == TableAccepted {
		text += fmt.Sprintf(", accepted as configuration %d", table.Status.Configuration)
	}
	return text
}

// joinEdit joins the edit with the stored version of a table that it leaves
// unchanged, or with the accepted version if that is needed for a valid result.
func (a *applyOperation) joinEdit(tables Tables) candidate {
	edited := tables
	if a.request.Routes != nil {
		edited.Routes = StoredTable[tabulator.Routes]{Exists: true, Table: *a.request.Routes}
	}
	if a.request.Pools != nil {
		edited.Pools = StoredTable[tabulator.Pools]{Exists: true, Table: *a.request.Pools}
	}
	goal := edited.join(true, true)
	if len(goal.faults) > 0 && tables.snapshot.configuration != nil {
		withAccepted := edited.join(a.request.Routes != nil, a.request.Pools != nil)
		if len(withAccepted.faults) == 0 {
			return withAccepted
		}
	}
	return goal
}

// haveContent reports whether the snapshot and both objects have the content.
func (t Tables) haveContent(content tabulator.Content) bool {
	return t.snapshot.configuration != nil && t.snapshot.configuration.stamp.digest == content.Digest() &&
		t.Routes.Content == tabulator.DigestOf(content.Routes) &&
		t.Pools.Content == tabulator.DigestOf(content.Pools)
}

// writeProposals writes the edited tables as proposals, pools first. The
// conditional write decides between concurrent edits of a table. It returns true
// and the outcome if a write fails.
func (a *applyOperation) writeProposals(ctx context.Context, tables Tables, content tabulator.Content) (ApplyOutcome, bool) {
	proposal := TableStatus{State: TableProposed, Node: a.writer.node, Attempt: a.writer.attempt}
	routesProposal, poolsProposal := proposal, proposal
	if a.request.Routes != nil && a.request.Pools != nil {
		routesDigest, poolsDigest := tabulator.DigestOf(content.Routes), tabulator.DigestOf(content.Pools)
		routesProposal.Awaits, poolsProposal.Awaits = &poolsDigest, &routesDigest
	}
	isOwn := func(o storer.Object) bool { return attemptFromStatus(o) == a.writer.attempt }
	if a.request.Pools != nil {
		object := tables.Pools.withContent(PoolsName, content.Pools, poolsProposal)
		result, err := a.publisher.writeConditionally(ctx, object, isOwn)
		if result != writeDone {
			return a.failedProposalOutcome(ctx, result, err), true
		}
		a.replacedVersions = append(a.replacedVersions, object.Version)
	}
	if a.request.Routes != nil {
		object := tables.Routes.withContent(RoutesName, content.Routes, routesProposal)
		result, err := a.publisher.writeConditionally(ctx, object, isOwn)
		if result != writeDone {
			a.restorePools(ctx, tables)
			return a.failedProposalOutcome(ctx, result, err), true
		}
		a.replacedVersions = append(a.replacedVersions, object.Version)
	}
	return ApplyOutcome{}, false
}

// restorePools restores the previous pools table after the write of the routes
// table failed. Until then the pools proposal awaits the routes table, so it is
// not accepted.
func (a *applyOperation) restorePools(ctx context.Context, before Tables) {
	if a.request.Pools == nil || !before.Pools.Exists {
		return
	}
	p := a.publisher
	current, err := p.options.Store.Get(ctx, storer.KindTable, PoolsName)
	if err != nil || attemptFromStatus(current) != a.writer.attempt {
		return
	}
	restored := before.Pools.object
	restored.Version = current.Version
	if _, err := p.options.Store.Update(ctx, restored); err != nil {
		p.reportStoreFailure(err)
	}
}

// failedProposalOutcome returns the outcome of an edit after an unsuccessful write.
func (a *applyOperation) failedProposalOutcome(ctx context.Context, result writeResult, err error) ApplyOutcome {
	switch result {
	case writeConflicted:
		tables, _ := a.publisher.Tables(ctx)
		return a.racedOutcome(tables, a.describeWinner(tables))
	case writeFailed:
		return ApplyOutcome{State: ApplyNotRun, Reasons: []string{err.Error()}}
	default:
		return a.unknownOutcome(err)
	}
}

func (a *applyOperation) describeWinner(tables Tables) string {
	if a.request.Routes != nil && tables.Routes.Status.Attempt != a.writer.attempt {
		return describeTable(RoutesName, tables.Routes)
	}
	return describeTable(PoolsName, tables.Pools)
}

func (a *applyOperation) unknownOutcome(err error) ApplyOutcome {
	reasons := []string{"the edit may be accepted by now, or once the store is back"}
	if err != nil {
		reasons = append(reasons, err.Error())
	}
	return ApplyOutcome{State: ApplyUnknown, Configuration: a.publisher.activeStamp().number, Reasons: reasons}
}

func (a *applyOperation) racedOutcome(tables Tables, winner string) ApplyOutcome {
	a.publisher.options.Log.Log(eventRaced, logger.Fields{"winner": winner})
	return ApplyOutcome{State: ApplyRaced, Configuration: tables.snapshot.number(), Winner: winner}
}

// refuse writes the reason to the status of the tables that the edit changes.
func (a *applyOperation) refuse(ctx context.Context, tables Tables, faults []string) ApplyOutcome {
	p := a.publisher
	reason := strings.Join(faults, "; ")
	p.options.Log.Log(eventRefused, logger.Fields{"reason": reason})
	ctx, cancel := context.WithTimeout(ctx, p.options.StatusTimeout)
	defer cancel()
	if a.request.Routes != nil {
		writeRefusedApply(ctx, p, tables.Routes, reason)
	}
	if a.request.Pools != nil {
		writeRefusedApply(ctx, p, tables.Pools, reason)
	}
	return ApplyOutcome{State: ApplyRefused, Configuration: tables.snapshot.number(), Reasons: faults}
}

func writeRefusedApply[T tabulator.Routes | tabulator.Pools](ctx context.Context, p *Publisher, table StoredTable[T], reason string) {
	if !table.Exists {
		return
	}
	status := table.Status
	status.RefusedApply = time.Now().UTC().Format(time.RFC3339) + " through node " + string(p.options.Self) + ": " + reason
	if _, err := p.options.Store.Update(ctx, table.withStatus(status)); err != nil {
		p.reportStoreFailure(err)
	}
}

// publish writes the proposed tables as the next configuration. If the owner of
// the tables or another edit publishes first, it returns accepted if that
// configuration contains the proposal. Otherwise it joins the proposal with the
// tables accepted meanwhile and retries.
func (a *applyOperation) publish(ctx context.Context, tables Tables, goal candidate) ApplyOutcome {
	p := a.publisher
	for {
		published, result, err := p.publish(ctx, tables.snapshot, goal.content, a.writer)
		switch result {
		case writeDone:
			return a.finishAccepted(ctx, published.stamp.number, published)
		case writeFailed, writeUncertain:
			return a.unknownOutcome(err)
		}
		tables, err = a.loadTables(ctx)
		if err != nil {
			return a.unknownOutcome(err)
		}
		if publication, ok := tables.snapshot.findPublication(a.containsEdit(goal)); ok {
			return a.finishAccepted(ctx, publication.Number, tables.snapshot.configuration)
		}
		if !a.proposalIsStored(tables, goal) {
			return a.racedOutcome(tables, a.describeWinner(tables))
		}
		goal = a.joinEdit(tables)
		if len(goal.faults) > 0 {
			return a.refuse(ctx, tables, goal.faults)
		}
	}
}

// containsEdit returns a predicate for publications that contain the edit.
func (a *applyOperation) containsEdit(goal candidate) func(wirePublication) bool {
	routes, pools := tabulator.DigestOf(goal.content.Routes), tabulator.DigestOf(goal.content.Pools)
	return func(w wirePublication) bool {
		return (a.request.Routes == nil || w.Routes == routes) && (a.request.Pools == nil || w.Pools == pools)
	}
}

// proposalIsStored reports whether the proposal is still in the table objects.
func (a *applyOperation) proposalIsStored(tables Tables, goal candidate) bool {
	routes := a.request.Routes == nil || tables.Routes.Content == tabulator.DigestOf(goal.content.Routes)
	pools := a.request.Pools == nil || tables.Pools.Content == tabulator.DigestOf(goal.content.Pools)
	return routes && pools
}

// finishAccepted activates and pushes the configuration and writes the status.
func (a *applyOperation) finishAccepted(ctx context.Context, number identifier.Configuration, active *configuration) ApplyOutcome {
	p := a.publisher
	p.activateIfNewer(active)
	reach := p.pushToDataCentres(ctx, active)
	p.options.Log.Log(eventAccepted, logger.Fields{"configuration": number, "unreached": reach.Unreached})
	a.writeAcceptedStatus(ctx, number)
	return ApplyOutcome{State: ApplyAccepted, Configuration: number, Reach: reach}
}

func (a *applyOperation) writeAcceptedStatus(ctx context.Context, number identifier.Configuration) {
	p := a.publisher
	ctx, cancel := context.WithTimeout(ctx, p.options.StatusTimeout)
	defer cancel()
	listing, err := p.options.Store.List(ctx, storer.KindTable)
	if err != nil {
		p.reportStoreFailure(err)
		return
	}
	tables := decodeTables(listing.Objects)
	status := TableStatus{State: TableAccepted, Configuration: number}
	if tables.Routes.Status.Attempt == a.writer.attempt {
		writeTableStatus(ctx, p, tables.Routes, status)
	}
	if tables.Pools.Status.Attempt == a.writer.attempt {
		writeTableStatus(ctx, p, tables.Pools, status)
	}
}
