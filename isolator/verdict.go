package isolator

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// combination is a set of parts, sorted. A request is held to be deadly if it has all of them.
type combination []Part

// combinationKey is a hash of a combination, which is the same on all nodes.
type combinationKey uint64

func (c combination) key() combinationKey {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range c {
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(part)))
	}
	return combinationKey(digest.Sum64())
}

// isIn reports whether a prompt, sorted, has all parts of the combination.
func (c combination) isIn(prompt []Part) bool {
	for _, part := range c {
		if !hasPart(prompt, part) {
			return false
		}
	}
	return true
}

// hasPart reports whether sorted parts have one.
func hasPart(sorted []Part, part Part) bool {
	_, found := slices.BinarySearch(sorted, part)
	return found
}

const (
	// certainThreshold is the number of crashes after which parts are quarantined of which
	// one was never in a request that ran well. It is larger than poisonThreshold: many
	// requests share a part, so that one is more often in flight at a crash with another
	// cause.
	certainThreshold = 3
	// doubtfulThreshold is the number of crashes after which other parts are quarantined.
	doubtfulThreshold = 5
	// certainTrialDelay and doubtfulTrialDelay are the times after the last crash at which
	// quarantined parts are tried again. They grow by certainTrialGrowth and
	// doubtfulTrialGrowth with each crash above the threshold. The parts of a doubtful
	// verdict may be those that most sound requests have.
	certainTrialDelay   = time.Minute
	certainTrialGrowth  = 2
	doubtfulTrialDelay  = 2 * time.Second
	doubtfulTrialGrowth = 4
	// trialTimeout is the time after which a trial without an outcome is given up.
	trialTimeout = 10 * time.Second
)

// quarantine is a combination that explains crashes best.
type quarantine struct {
	parts combination
	// crashes is the number of crashes that it explains, at least the threshold.
	crashes   int
	lastCrash time.Time
	// doubtful is set if requests ran well with each of the parts before the crashes, or if
	// other combinations explain the crashes as well.
	doubtful bool
	// trialFrom is when one request with the parts may run.
	trialFrom time.Time
}

// verdict is a pure function of evidence, so that nodes with the same evidence refuse the same
// requests.
type verdict struct {
	// quarantines has no two with the same parts.
	quarantines []quarantine
	// explained has the crashes that the quarantines explain.
	explained []crash
	// suspects has the parts that may have caused a crash and never ran well.
	suspects map[Part]bool
}

// explains reports whether a process ended in a crash with a known cause.
func (v *verdict) explains(member identifier.Member, at time.Time) bool {
	return slices.ContainsFunc(v.explained, func(c crash) bool {
		ended, ok := c.ended[member]
		return ok && at.Sub(ended).Abs() < restartTime
	})
}

// judge returns the combinations to refuse. A part may have caused a crash if a request with it
// was in flight and no answer to one has begun since and run well. The part that explains most
// crashes is taken first, and crashes that it explains are no evidence against the others.
//
// Of the parts of its requests, those that explain these crashes equally are refused only
// together: sound requests lack the deadly one, so that they run and clear the rest. That a part
// ran well before the crashes clears it of nothing, as it can have become deadly, but a part that
// never did is the more likely cause.
func (e *evidence) judge() *verdict {
	crashes := e.crashes()
	v := &verdict{suspects: map[Part]bool{}}
	all := e.suspicions(crashes)
	for part, s := range all {
		if s.isNew {
			v.suspects[part] = true
		}
	}
	for {
		best := e.bestExplanations(crashes, all)
		if len(best) == 0 {
			return v
		}
		explained := map[int]bool{}
		for _, x := range best {
			v.quarantines = append(v.quarantines, e.newQuarantine(x, crashes, len(best) > 1))
			for _, n := range x.crashes {
				explained[n] = true
			}
		}
		for _, n := range slices.Sorted(maps.Keys(explained)) {
			v.explained = append(v.explained, crashes[n])
		}
		for part, suspicion := range all {
			suspicion.remove(explained)
			if len(suspicion.requests) == 0 {
				delete(all, part)
			}
		}
	}
}

// suspicion is the requests with a part that were in flight at crashes which the part may have
// caused, each as the indexes of its crash and among the requests of that.
type suspicion struct {
	requests [][2]int
	// isNew is set if the part never ran well.
	isNew bool
}

// suspicions returns the suspicion on each part.
func (e *evidence) suspicions(crashes []crash) map[Part]*suspicion {
	all := map[Part]*suspicion{}
	for n, c := range crashes {
		for m, request := range c.requests {
			for _, part := range request {
				if e.isSound(part, c.at) {
					continue
				}
				if all[part] == nil {
					all[part] = &suspicion{isNew: !e.ranWell(part)}
				}
				all[part].requests = append(all[part].requests, [2]int{n, m})
			}
		}
	}
	return all
}

// remove removes crashes that are explained.
func (s *suspicion) remove(explained map[int]bool) {
	s.requests = slices.DeleteFunc(s.requests, func(r [2]int) bool { return explained[r[0]] })
}

// crashes returns the indexes of the crashes, in order of time.
func (s *suspicion) crashes() []int {
	var indexes []int
	for _, r := range s.requests {
		if last := len(indexes) - 1; last < 0 || indexes[last] != r[0] {
			indexes = append(indexes, r[0])
		}
	}
	return indexes
}

// distinct returns one suspicion of those with the same requests, which have the same explanation:
// one on a part that never ran well if there is one.
func distinct(all map[Part]*suspicion) map[string]*suspicion {
	found := map[string]*suspicion{}
	for _, s := range all {
		key := s.key()
		if known := found[key]; known == nil || !known.isNew {
			found[key] = s
		}
	}
	return found
}

// key is the same for parts that were in the same requests.
func (s *suspicion) key() string {
	key := make([]byte, 0, 8*len(s.requests))
	for _, r := range s.requests {
		key = binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(key, uint32(r[0])), uint32(r[1]))
	}
	return string(key)
}

// explanation is a combination with the crashes that it may have caused.
type explanation struct {
	parts combination
	// isNew is set if one of the parts was never in a request that ran well, and startsNew if that
	// is one of those from which the explanation was made: the others are only in all their requests.
	isNew, startsNew bool
	// isNeeded is set if certainThreshold of the crashes can't have been caused by any part
	// that never ran well.
	isNeeded bool
	// crashes are indexes, in order of time.
	crashes []int
}

// compare orders explanations, the most likely first. In long prompts some parts that ran well are
// by chance in the requests of all crashes, with the deadly one beside them. The last criterion
// prefers the explanation that refuses fewer requests.
func (x explanation) compare(other explanation) int {
	return cmp.Or(
		trueFirst(x.isNew || x.isNeeded, other.isNew || other.isNeeded),
		cmp.Compare(len(other.crashes), len(x.crashes)),
		trueFirst(x.startsNew, other.startsNew),
		cmp.Compare(len(other.parts), len(x.parts)),
	)
}

// trueFirst orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// bestExplanations returns the most likely explanation that reaches its threshold, or several
// that explain the same crashes and are equally likely. These have to reach the higher
// threshold, as further crashes tell most of them apart.
func (e *evidence) bestExplanations(crashes []crash, all map[Part]*suspicion) []explanation {
	var found []explanation
	for _, candidate := range distinct(all) {
		explained := candidate.crashes()
		if len(explained) < certainThreshold {
			continue
		}
		x := e.explain(candidate, crashes, explained)
		if x.isNew || len(x.crashes) >= doubtfulThreshold {
			found = append(found, x)
		}
	}
	slices.SortFunc(found, func(a, b explanation) int {
		return cmp.Or(a.compare(b), slices.Compare(a.crashes, b.crashes), slices.Compare(a.parts, b.parts))
	})
	found = slices.CompactFunc(found, func(a, b explanation) bool { return slices.Equal(a.parts, b.parts) })
	undecided := map[int]bool{}
	for len(found) > 0 {
		equal := 1
		for equal < len(found) && found[equal].compare(found[0]) == 0 && slices.Equal(found[equal].crashes, found[0].crashes) {
			equal++
		}
		best := found[:equal]
		found = found[equal:]
		if slices.ContainsFunc(best[0].crashes, func(n int) bool { return undecided[n] }) {
			continue
		}
		if equal == 1 || len(best[0].crashes) >= doubtfulThreshold {
			return best
		}
		for _, n := range best[0].crashes {
			undecided[n] = true
		}
	}
	return nil
}

// explain returns the parts that all suspected requests have and that explain the same crashes.
func (e *evidence) explain(s *suspicion, crashes []crash, explained []int) explanation {
	var common []Part
	for n, r := range s.requests {
		c := crashes[r[0]]
		request := c.requests[r[1]]
		if n == 0 {
			common = slices.Clone(request)
		}
		common = slices.DeleteFunc(common, func(part Part) bool {
			return !hasPart(request, part) || e.isSound(part, c.at)
		})
	}
	isNew := slices.ContainsFunc(common, func(part Part) bool { return !e.ranWell(part) })
	withoutNew := 0
	for _, n := range explained {
		if !e.hasNew(crashes[n]) {
			withoutNew++
		}
	}
	return explanation{parts: common, isNew: isNew, startsNew: s.isNew, isNeeded: withoutNew >= certainThreshold, crashes: explained}
}

// hasNew reports whether a part that never ran well was in flight at a crash.
func (e *evidence) hasNew(c crash) bool {
	for _, request := range c.requests {
		if slices.ContainsFunc(request, func(part Part) bool { return !e.ranWell(part) }) {
			return true
		}
	}
	return false
}

func (e *evidence) newQuarantine(x explanation, crashes []crash, tied bool) quarantine {
	q := quarantine{
		parts:     x.parts,
		crashes:   len(x.crashes),
		lastCrash: crashes[x.crashes[len(x.crashes)-1]].at,
		doubtful:  tied || !x.isNew,
	}
	delay, growth, above := certainTrialDelay, certainTrialGrowth, q.crashes-certainThreshold
	if q.doubtful {
		delay, growth, above = doubtfulTrialDelay, doubtfulTrialGrowth, q.crashes-doubtfulThreshold
	}
	for range above {
		delay = min(delay*time.Duration(growth), defaultExpiry)
	}
	q.trialFrom = q.lastCrash.Add(delay)
	if t, ok := e.trials[q.parts.key()]; ok && t.startedAt.After(q.lastCrash) {
		q.trialFrom = laterOf(q.trialFrom, t.startedAt.Add(trialTimeout))
	}
	return q
}
