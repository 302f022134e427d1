package dispatcher

import (
	"math/rand/v2"
	"time"

	"github.com/foxtailspool/foxtailspool/dispatcher/dispatcherrpc"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// outcomes is what one node has seen of the engines of a shard: it uses it when it places
// requests without the owner, and sends it to a new owner. It is guarded by the mutex of its
// shardClient.
type outcomes struct {
	records map[identifier.Member]*engineRecord
	// unsent is set while the owner may be a new one.
	unsent bool
}

// engineRecord is the record of one process of an engine.
type engineRecord struct {
	process time.Time
	placer.OutcomeRecord
	// limitedSince is when this node began to use the engine for probes only; zero means that it
	// does not. Up to suspectUntil one failure is enough to do so again.
	limitedSince time.Time
	suspectUntil time.Time
	// failedAt is when the engine last failed.
	failedAt time.Time
}

// suspectTime is how long after a successful probe one failure limits an engine again.
const suspectTime = 8 * time.Second

// add counts the outcome of a grant of a given time.
func (r *engineRecord) add(now, grantedAt time.Time, ending placer.Ending) {
	isProbe := !r.limitedSince.IsZero() && grantedAt.After(r.limitedSince)
	if ending.Failed() {
		r.failedAt = now
	}
	if isProbe && ending == placer.Answered {
		r.OutcomeRecord = placer.NewOutcomeRecord(now, 1, 1)
		r.limitedSince, r.failedAt, r.suspectUntil = time.Time{}, time.Time{}, now.Add(suspectTime)
		return
	}
	r.freeze(now)
	r.Add(now, ending)
}

// freeze keeps what led to a limit until a probe succeeds.
func (r *engineRecord) freeze(now time.Time) {
	if !r.limitedSince.IsZero() {
		r.Freeze(now)
	}
}

// evidence returns the record for placer.LimitEngines.
func (r *engineRecord) evidence(now time.Time) placer.Evidence {
	r.freeze(now)
	e := placer.Evidence{Suspect: !r.limitedSince.IsZero() || now.Before(r.suspectUntil) && !r.failedAt.IsZero()}
	e.Failures, e.Answers = r.Counts(now)
	return e
}

// recordOutcome records how a grant ended. The caller must hold the mutex.
func (c *shardClient) recordOutcome(now time.Time, h *heldGrant, result *placer.Result) {
	c.outcomes.add(now, h.acquiredAt, c.processOf(h.Prefill), h.Prefill, result.PrefillEnding)
	c.outcomes.add(now, h.acquiredAt, c.processOf(h.Decode), h.Decode, result.DecodeEnding)
}

// processOf returns the start of an engine's present process; zero means unknown.
func (c *shardClient) processOf(member identifier.Member) time.Time {
	snapshot := c.options.Snapshot()
	if snapshot == nil {
		return time.Time{}
	}
	pool, _ := snapshot.Pool(c.id.pool)
	for i := range pool.Members {
		if pool.Members[i].Name == member {
			return pool.Members[i].Started
		}
	}
	return time.Time{}
}

// add counts the outcome of a grant.
func (o *outcomes) add(now, grantedAt, process time.Time, member identifier.Member, ending placer.Ending) {
	if member == "" || ending == placer.EndingUnknown {
		return
	}
	known := o.records[member]
	if known != nil && !known.process.Equal(process) {
		known = nil
	}
	if known == nil {
		if len(o.records) >= maxEngineRecords {
			o.encode(now)
		}
		if len(o.records) >= maxEngineRecords {
			return
		}
		known = &engineRecord{process: process}
		o.records[member] = known
	}
	known.add(now, grantedAt, ending)
}

// minSentFailures is the decayed count of failures below which a record is not sent.
const minSentFailures = 0.5

// encode returns the records with failures, and drops those of which hardly anything is left.
func (o *outcomes) encode(now time.Time) []*dispatcherrpc.EngineRecord {
	var list []*dispatcherrpc.EngineRecord
	for member, known := range o.records {
		known.freeze(now)
		failures, answers := known.Counts(now)
		if failures+answers < minSentFailures {
			delete(o.records, member)
		}
		if failures >= minSentFailures {
			list = append(list, &dispatcherrpc.EngineRecord{
				Member: string(member), ProcessMilliseconds: known.process.UnixMilli(), Failures: failures, Answers: answers,
			})
		}
	}
	return list
}

// probeShare is how often this node, placing by itself, uses engines that fail.
const probeShare = 1.0 / 20

// limited returns the engines that this node has seen failing clearly more than the others of
// their role. Now and then it returns none, so that one that is sound again is found.
func (o *outcomes) limited(now time.Time, members []tabulator.Member) map[identifier.Member]bool {
	if len(o.records) == 0 || rand.Float64() < probeShare {
		return nil
	}
	limited := map[identifier.Member]bool{}
	for _, role := range [...]identifier.Role{identifier.Prefill, identifier.Decode} {
		var names []identifier.Member
		var evidence []placer.Evidence
		for i := range members {
			if members[i].Role != role || members[i].Leaving {
				continue
			}
			var e placer.Evidence
			if known := o.records[members[i].Name]; known != nil && known.process.Equal(members[i].Started) {
				e = known.evidence(now)
			}
			e.Tie = rand.Uint64()
			names, evidence = append(names, members[i].Name), append(evidence, e)
		}
		for i, is := range placer.LimitEngines(evidence) {
			known := o.records[names[i]]
			switch {
			case is:
				limited[names[i]] = true
				if known.limitedSince.IsZero() {
					known.limitedSince = now
				}
			case known != nil:
				known.limitedSince = time.Time{}
			}
		}
	}
	return limited
}

// maxEngineRecords bounds the records that a node keeps, and that an owner takes from one
// message. A shard has far fewer engines.
const maxEngineRecords = 1024

// inheritOutcomes takes over what a node has seen before this one was the owner. The caller
// must hold the mutex.
func (s *shard) inheritOutcomes(now time.Time, node identifier.Node, request *dispatcherrpc.ExchangeRequest) {
	records := request.GetEngineRecords()
	if len(records) == 0 {
		return
	}
	for _, record := range records[:min(len(records), maxEngineRecords)] {
		s.placer.InheritOutcomes(now, node, identifier.Member(record.GetMember()), time.UnixMilli(record.GetProcessMilliseconds()),
			placer.NewOutcomeRecord(now, record.GetFailures(), record.GetAnswers()))
	}
	s.options.Log.Log(eventInherited, logger.Fields{"shard": s.id.String(), "asking-node": node, "engines": len(records)})
}

// logOutcomeChanges logs which engines were limited to probes, and counts them. The caller
// must hold the mutex.
func (s *shard) logOutcomeChanges() {
	changes := s.placer.TakeOutcomeChanges()
	for _, change := range changes {
		event, name := eventUnlimited, "engine-unlimited"
		if change.Limited {
			event, name = eventLimited, "engine-limited"
		}
		s.server.metrics.increment(name)
		s.options.Log.Log(event, logger.Fields{
			"shard": s.id.String(), "member": change.Member, "role": change.Role, "since": change.Since,
			"failures": roundTenth(change.Failures), "answers": roundTenth(change.Answers),
		})
	}
	if len(changes) == 0 && s.limitedEngines == 0 {
		return
	}
	if limited := s.placer.LimitedEngines(); limited != s.limitedEngines {
		s.limitedEngines = limited
		s.server.metrics.scope.Tagged(map[string]string{"shard": s.id.String()}).Gauge("engines-limited").Update(float64(limited))
	}
}

func roundTenth(n float64) float64 { return float64(int(n*10+0.5)) / 10 }
