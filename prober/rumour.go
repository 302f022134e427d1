package prober

import (
	"time"
)

// Limits on the rumours of one node.
const (
	maxRumours     = 1024
	maxRumourBytes = 512
	// rumourIDRetention is how long an ID is kept after its rumour expired.
	rumourIDRetention  = 30 * time.Second
	minRumourRemaining = time.Second
)

// rumour is a small message to all nodes. Its id is unique in the fleet.
type rumour struct {
	id      uint64
	topic   string
	payload []byte
	// remaining is the lifetime left, as a duration because the nodes' clocks may differ.
	remaining time.Duration
}

type storedRumour struct {
	rumour
	// expiresAt is when the rumour stops being passed on. Its ID is kept for
	// rumourIDRetention longer, so that a late copy of the rumour is not passed on again.
	expiresAt time.Time
}

// rumourStore holds at most maxRumours rumours. The IDs of those that it evicts are in
// evicted for as long as other nodes may pass them on, so that they don't come back as new.
type rumourStore struct {
	byID    map[uint64]storedRumour
	evicted map[uint64]time.Time
	// evictions is the number of rumours evicted since takeEvictions was called.
	evictions int
}

// maxEvicted limits the IDs of evicted rumours.
const maxEvicted = 8 * maxRumours

func newRumourStore() *rumourStore {
	return &rumourStore{byID: map[uint64]storedRumour{}, evicted: map[uint64]time.Time{}}
}

// add stores a rumour and reports whether it is new. It rejects expired and oversized
// rumours. A full store evicts the rumour that expires first.
func (s *rumourStore) add(now time.Time, r rumour) bool {
	_, seen := s.byID[r.id]
	_, evicted := s.evicted[r.id]
	if seen || evicted || r.remaining <= 0 || len(r.payload) > maxRumourBytes {
		return false
	}
	if len(s.byID) >= maxRumours {
		s.evictFirstToExpire()
	}
	s.byID[r.id] = storedRumour{r, now.Add(r.remaining)}
	return true
}

func (s *rumourStore) evictFirstToExpire() {
	var first uint64
	var ends time.Time
	for id, held := range s.byID {
		if ends.IsZero() || held.expiresAt.Before(ends) || (held.expiresAt.Equal(ends) && id < first) {
			first, ends = id, held.expiresAt
		}
	}
	delete(s.byID, first)
	s.evictions++
	if len(s.evicted) < maxEvicted {
		s.evicted[first] = ends
	}
}

// takeEvictions returns the number of rumours evicted since the last call.
func (s *rumourStore) takeEvictions() int {
	count := s.evictions
	s.evictions = 0
	return count
}

// outgoing returns a rumour to send, and false if it is unknown or close to its expiry.
func (s *rumourStore) outgoing(now time.Time, id uint64) (rumour, bool) {
	held, known := s.byID[id]
	remaining := held.expiresAt.Sub(now)
	if !known || remaining < minRumourRemaining {
		return rumour{}, false
	}
	held.remaining = remaining
	return held.rumour, true
}

// removeExpired removes rumours whose IDs need not be kept any more.
func (s *rumourStore) removeExpired(now time.Time) {
	for id, held := range s.byID {
		if now.Sub(held.expiresAt) > rumourIDRetention {
			delete(s.byID, id)
		}
	}
	for id, expiresAt := range s.evicted {
		if now.Sub(expiresAt) > rumourIDRetention {
			delete(s.evicted, id)
		}
	}
}

// digest returns a hash of the rumours that do not expire within rumourIDRetention.
func (s *rumourStore) digest(now time.Time) uint64 {
	var sum uint64
	for id, held := range s.byID {
		if held.expiresAt.Sub(now) > rumourIDRetention {
			sum += mixBits(id)
		}
	}
	return sum
}

func (s *rumourStore) ids() []uint64 {
	ids := make([]uint64, 0, len(s.byID)+len(s.evicted))
	for id := range s.byID {
		ids = append(ids, id)
	}
	for id := range s.evicted {
		ids = append(ids, id)
	}
	return ids
}

// missingFrom returns up to limit rumours whose IDs another node has not seen.
func (s *rumourStore) missingFrom(now time.Time, seen []uint64, limit int) []rumour {
	isSeen := make(map[uint64]bool, len(seen))
	for _, id := range seen {
		isSeen[id] = true
	}
	var found []rumour
	for id := range s.byID {
		if r, ok := s.outgoing(now, id); ok && !isSeen[id] && len(found) < limit {
			found = append(found, r)
		}
	}
	return found
}
