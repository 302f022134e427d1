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

// ApplyRequest is an operator's edit of one table or both.
type ApplyRequest struct {
	// Routes and Pools are the new tables. A nil one stays as it is.
	Routes *tabulator.Routes
	Pools  *tabulator.Pools
	// SeenRoutes and SeenPools are the contents that the edit was made from, or
	// nil to replace whatever is there. An edit made from another content than
	// the stored one has lost a race.
	SeenRoutes *tabulator.Digest
	SeenPools  *tabulator.Digest
}

// ApplyState says what became of an edit.
type ApplyState string

// The outcomes of an edit.
const (
	// ApplyAccepted: the edit is in the numbered configuration, which is in the
	// store and held by a node in every data centre that could be reached.
	ApplyAccepted ApplyState = "accepted"
	// ApplyRefused: the tables do not fit; nothing changed.
	ApplyRefused ApplyState = "refused"
	// ApplyRaced: another edit came first; this one is not in force.
	ApplyRaced ApplyState = "raced"
	// ApplyNotRun: the store could not be reached; nothing changed.
	ApplyNotRun ApplyState = "not-run"
	// ApplyUnknown: the store went out in the middle. The edit may be accepted
	// by now or once the store is back; read the tables' status then.
	ApplyUnknown ApplyState = "unknown"
)

// ApplyOutcome answers an edit.
type ApplyOutcome struct {
	State ApplyState
	// Configuration is the number that holds the edit when accepted, and the
	// number in force otherwise, as far as it is known.
	Configuration identifier.Configuration
	// Reasons tell why the edit was refused or what is not known.
	Reasons []string
	// Winner names what came first when raced.
	Winner string
	// Reach tells where the configuration was held when it was told as accepted.
	Reach Reach
}

// Apply brings an operator's edit into force. It returns once the outcome is
// settled, or as unknown when ApplyTimeout or ctx ends.
func (p *Publisher) Apply(ctx context.Context, request ApplyRequest) ApplyOutcome {
	ctx, cancel := context.WithTimeout(ctx, p.options.ApplyTimeout)
	defer cancel()
	if !p.acquire(ctx) {
		return ApplyOutcome{State: ApplyNotRun, Reasons: []string{"another edit is under way on this node"}}
	}
	defer p.release()
	edit := &application{publisher: p, request: request, by: p.newPublication()}
	outcome := edit.run(ctx)
	p.options.Scope.Tagged(map[string]string{"outcome": string(outcome.State)}).Counter("configuration-applies").Inc(1)
	return outcome
}

// application is one edit under way.
type application struct {
	publisher *Publisher
	request   ApplyRequest
	by        publication
	// replaced are the versions of the tables that this edit has overwritten. A
	// read that shows one of them is out of date.
	replaced []storer.Version
}

func (a *application) run(ctx context.Context) ApplyOutcome {
	tables, err := a.load(ctx)
	if err != nil {
		return ApplyOutcome{State: ApplyNotRun, Reasons: []string{err.Error()}}
	}
	if winner := a.overtaken(tables); winner != "" {
		return a.raced(tables, winner)
	}
	goal := a.join(tables)
	if len(goal.faults) > 0 {
		return a.refuse(ctx, tables, goal.faults)
	}
	if tables.holds(goal.content) {
		reach := a.publisher.spread(ctx, tables.snapshot.edition)
		return ApplyOutcome{State: ApplyAccepted, Configuration: tables.snapshot.number(), Reach: reach}
	}
	if outcome, failed := a.writeTables(ctx, tables, goal.content); failed {
		return outcome
	}
	return a.publish(ctx, tables, goal)
}

// load reads the store, with repeats while it fails.
func (a *application) load(ctx context.Context) (Tables, error) {
	p := a.publisher
	wait := p.newBackOff()
	for {
		tables, err := p.Tables(ctx)
		if err == nil && a.outOfDate(tables) {
			err = storer.Unavailable.New("the store answers with tables that were replaced")
		}
		if err == nil {
			tables, err = p.settleOlderStore(ctx, tables)
		}
		if err == nil {
			return tables, nil
		}
		p.storeFailed(err)
		if !wait.wait(ctx) {
			return tables, err
		}
	}
}

func (a *application) outOfDate(tables Tables) bool {
	replaced := func(version storer.Version) bool { return version != "" && slices.Contains(a.replaced, version) }
	return replaced(tables.Routes.Version) || replaced(tables.Pools.Version)
}

// overtaken names the content that came before the edit, or is empty.
func (a *application) overtaken(tables Tables) string {
	if !sees(a.request.SeenRoutes, tables.Routes, tables.snapshot.record.Routes) {
		return describe(RoutesName, tables.Routes)
	}
	if !sees(a.request.SeenPools, tables.Pools, tables.snapshot.record.Pools) {
		return describe(PoolsName, tables.Pools)
	}
	return ""
}

// sees tells whether an edit was made from a table as it stands, or from the
// accepted one where the stored content was refused and so is not in force.
func sees[T tabulator.Routes | tabulator.Pools](seen *tabulator.Digest, table StoredTable[T], accepted tabulator.Digest) bool {
	return seen == nil || *seen == table.Content || table.Status.State == TableRefused && *seen == accepted
}

func describe[T tabulator.Routes | tabulator.Pools](name string, table StoredTable[T]) string {
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

// join puts the edit in the place of the stored tables. The table that the edit
// leaves alone is the stored one, or the accepted one where the stored one does
// not fit.
func (a *application) join(tables Tables) candidate {
	edited := tables
	if a.request.Routes != nil {
		edited.Routes = StoredTable[tabulator.Routes]{Exists: true, Table: *a.request.Routes}
	}
	if a.request.Pools != nil {
		edited.Pools = StoredTable[tabulator.Pools]{Exists: true, Table: *a.request.Pools}
	}
	goal := edited.join(true, true)
	if len(goal.faults) > 0 && tables.snapshot.edition != nil {
		alone := edited.join(a.request.Routes != nil, a.request.Pools != nil)
		if len(alone.faults) == 0 {
			return alone
		}
	}
	return goal
}

// holds tells whether both the snapshot and the objects have a content already.
func (t Tables) holds(content tabulator.Content) bool {
	return t.snapshot.edition != nil && t.snapshot.edition.stamp.digest == content.Digest() &&
		t.Routes.Content == tabulator.DigestOf(content.Routes) &&
		t.Pools.Content == tabulator.DigestOf(content.Pools)
}

// writeTables writes the edited tables as proposals. The write of the first
// decides between racing edits of a table.
func (a *application) writeTables(ctx context.Context, tables Tables, content tabulator.Content) (ApplyOutcome, bool) {
	proposal := TableStatus{State: TableProposed, Node: a.by.node, Attempt: a.by.attempt}
	routesProposal, poolsProposal := proposal, proposal
	if a.request.Routes != nil && a.request.Pools != nil {
		routesDigest, poolsDigest := tabulator.DigestOf(content.Routes), tabulator.DigestOf(content.Pools)
		routesProposal.Awaits, poolsProposal.Awaits = &poolsDigest, &routesDigest
	}
	isOwn := func(o storer.Object) bool { return attemptOf(o) == a.by.attempt }
	if a.request.Pools != nil {
		object := tables.Pools.withContent(PoolsName, content.Pools, poolsProposal)
		result, err := a.publisher.write(ctx, object, isOwn)
		if result != written {
			return a.unproposed(ctx, result, err), true
		}
		a.replaced = append(a.replaced, object.Version)
	}
	if a.request.Routes != nil {
		object := tables.Routes.withContent(RoutesName, content.Routes, routesProposal)
		result, err := a.publisher.write(ctx, object, isOwn)
		if result != written {
			a.withdraw(ctx, tables)
			return a.unproposed(ctx, result, err), true
		}
		a.replaced = append(a.replaced, object.Version)
	}
	return ApplyOutcome{}, false
}

// withdraw puts the pools table back after the routes table was lost to
// another edit. Until then the proposal waits for its other half and is not
// joined.
func (a *application) withdraw(ctx context.Context, before Tables) {
	if a.request.Pools == nil || !before.Pools.Exists {
		return
	}
	p := a.publisher
	now, err := p.options.Store.Get(ctx, storer.KindTable, PoolsName)
	if err != nil || attemptOf(now) != a.by.attempt {
		return
	}
	old := before.Pools.object
	old.Version = now.Version
	if _, err := p.options.Store.Update(ctx, old); err != nil {
		p.storeFailed(err)
	}
}

// unproposed is the outcome of an edit whose table could not be written.
func (a *application) unproposed(ctx context.Context, result writeResult, err error) ApplyOutcome {
	switch result {
	case overtaken:
		tables, _ := a.publisher.Tables(ctx)
		return a.raced(tables, a.winner(tables))
	case unwritten:
		return ApplyOutcome{State: ApplyNotRun, Reasons: []string{err.Error()}}
	default:
		return a.unknown(err)
	}
}

func (a *application) winner(tables Tables) string {
	if a.request.Routes != nil && tables.Routes.Status.Attempt != a.by.attempt {
		return describe(RoutesName, tables.Routes)
	}
	return describe(PoolsName, tables.Pools)
}

func (a *application) unknown(err error) ApplyOutcome {
	reasons := []string{"the edit may be accepted by now, or once the store is back"}
	if err != nil {
		reasons = append(reasons, err.Error())
	}
	return ApplyOutcome{State: ApplyUnknown, Configuration: a.publisher.held().number, Reasons: reasons}
}

func (a *application) raced(tables Tables, winner string) ApplyOutcome {
	a.publisher.options.Log.Log(eventRaced, logger.Fields{"winner": winner})
	return ApplyOutcome{State: ApplyRaced, Configuration: tables.snapshot.number(), Winner: winner}
}

// refuse notes the reason in the status of the tables that the edit names.
func (a *application) refuse(ctx context.Context, tables Tables, faults []string) ApplyOutcome {
	p := a.publisher
	reason := strings.Join(faults, "; ")
	p.options.Log.Log(eventRefused, logger.Fields{"reason": reason})
	ctx, cancel := context.WithTimeout(ctx, p.options.StatusTimeout)
	defer cancel()
	if a.request.Routes != nil {
		noteRefusal(ctx, p, tables.Routes, reason)
	}
	if a.request.Pools != nil {
		noteRefusal(ctx, p, tables.Pools, reason)
	}
	return ApplyOutcome{State: ApplyRefused, Configuration: tables.snapshot.number(), Reasons: faults}
}

func noteRefusal[T tabulator.Routes | tabulator.Pools](ctx context.Context, p *Publisher, table StoredTable[T], reason string) {
	if !table.Exists {
		return
	}
	status := table.Status
	status.RefusedApply = time.Now().UTC().Format(time.RFC3339) + " through node " + string(p.options.Self) + ": " + reason
	if _, err := p.options.Store.Update(ctx, table.withStatus(status)); err != nil {
		p.storeFailed(err)
	}
}

// publish brings the proposed tables into a snapshot. The owner of the tables
// or another edit may come first; the proposal then is in their snapshot, or is
// joined anew with what they accepted.
func (a *application) publish(ctx context.Context, tables Tables, goal candidate) ApplyOutcome {
	p := a.publisher
	for {
		made, result, err := p.publish(ctx, tables.snapshot, goal.content, a.by)
		switch result {
		case written:
			return a.accepted(ctx, made.stamp.number, made)
		case unwritten, unsettled:
			return a.unknown(err)
		}
		tables, err = a.load(ctx)
		if err != nil {
			return a.unknown(err)
		}
		if publication, ok := tables.snapshot.find(a.contained(goal)); ok {
			return a.accepted(ctx, publication.Number, tables.snapshot.edition)
		}
		if !a.stands(tables, goal) {
			return a.raced(tables, a.winner(tables))
		}
		goal = a.join(tables)
		if len(goal.faults) > 0 {
			return a.refuse(ctx, tables, goal.faults)
		}
	}
}

// contained recognises a publication that holds the edit.
func (a *application) contained(goal candidate) func(wirePublication) bool {
	routes, pools := tabulator.DigestOf(goal.content.Routes), tabulator.DigestOf(goal.content.Pools)
	return func(w wirePublication) bool {
		return (a.request.Routes == nil || w.Routes == routes) && (a.request.Pools == nil || w.Pools == pools)
	}
}

// stands tells whether the proposal is still in the table objects.
func (a *application) stands(tables Tables, goal candidate) bool {
	routes := a.request.Routes == nil || tables.Routes.Content == tabulator.DigestOf(goal.content.Routes)
	pools := a.request.Pools == nil || tables.Pools.Content == tabulator.DigestOf(goal.content.Pools)
	return routes && pools
}

// accepted passes the configuration on, tells the status and then the operator.
func (a *application) accepted(ctx context.Context, number identifier.Configuration, held *edition) ApplyOutcome {
	p := a.publisher
	p.offer(held)
	reach := p.spread(ctx, held)
	p.options.Log.Log(eventAccepted, logger.Fields{"configuration": number, "unreached": reach.Unreached})
	a.tellAccepted(ctx, number)
	return ApplyOutcome{State: ApplyAccepted, Configuration: number, Reach: reach}
}

func (a *application) tellAccepted(ctx context.Context, number identifier.Configuration) {
	p := a.publisher
	ctx, cancel := context.WithTimeout(ctx, p.options.StatusTimeout)
	defer cancel()
	listing, err := p.options.Store.List(ctx, storer.KindTable)
	if err != nil {
		p.storeFailed(err)
		return
	}
	tables := readTables(listing.Objects)
	status := TableStatus{State: TableAccepted, Configuration: number}
	if tables.Routes.Status.Attempt == a.by.attempt {
		tellTable(ctx, p, tables.Routes, status)
	}
	if tables.Pools.Status.Attempt == a.by.attempt {
		tellTable(ctx, p, tables.Pools, status)
	}
}
