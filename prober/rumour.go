package prober

import (
	"time"
)

// The bounds of rumours on one node.
const (
	maximumRumours        = 256
	maximumRumourBytes    = 512
	rumourAfterlife       = 30 * time.Second
	shortestRumourPassing = time.Second
)

// rumour is a small message to all nodes. Its id is unique in the fleet.
type rumour struct {
	id      uint64
	topic   string
	payload []byte
	// remaining is how long the rumour still lives; no clock is shared.
	remaining time.Duration
}

type heldRumour struct {
	rumour
	// ends is when the rumour is no longer passed on. Its id is known for an
	// afterlife beyond, so that a slower node cannot bring it back.
	ends time.Time
}

// rumours holds the rumours that a node has seen.
type rumours struct {
	held map[uint64]heldRumour
}

func newRumours() *rumours {
	return &rumours{held: map[uint64]heldRumour{}}
}

// add takes a rumour in and tells whether it is new. Beyond the bound on their
// number, the one that ends first makes room.
func (s *rumours) add(now time.Time, r rumour) bool {
	if _, seen := s.held[r.id]; seen || r.remaining <= 0 || len(r.payload) > maximumRumourBytes {
		return false
	}
	if len(s.held) >= maximumRumours {
		s.dropFirst()
	}
	s.held[r.id] = heldRumour{r, now.Add(r.remaining)}
	return true
}

func (s *rumours) dropFirst() {
	var first uint64
	var ends time.Time
	for id, held := range s.held {
		if ends.IsZero() || held.ends.Before(ends) || (held.ends.Equal(ends) && id < first) {
			first, ends = id, held.ends
		}
	}
	delete(s.held, first)
}

// passing returns a rumour as it is passed on now.
func (s *rumours) passing(now time.Time, id uint64) (rumour, bool) {
	held, known := s.held[id]
	remaining := held.ends.Sub(now)
	if !known || remaining < shortestRumourPassing {
		return rumour{}, false
	}
	held.remaining = remaining
	return held.rumour, true
}

// expire drops what is past its afterlife.
func (s *rumours) expire(now time.Time) {
	for id, held := range s.held {
		if now.Sub(held.ends) > rumourAfterlife {
			delete(s.held, id)
		}
	}
}

// digest covers the rumours that are passed on for some time yet.
func (s *rumours) digest(now time.Time) uint64 {
	var sum uint64
	for id, held := range s.held {
		if held.ends.Sub(now) > rumourAfterlife {
			sum += mix(id)
		}
	}
	return sum
}

// ids lists all rumours seen, in no order.
func (s *rumours) ids() []uint64 {
	ids := make([]uint64, 0, len(s.held))
	for id := range s.held {
		ids = append(ids, id)
	}
	return ids
}

// missing returns the rumours that are not among the ids that another has seen.
func (s *rumours) missing(now time.Time, seen []uint64, limit int) []rumour {
	has := make(map[uint64]bool, len(seen))
	for _, id := range seen {
		has[id] = true
	}
	var found []rumour
	for id := range s.held {
		if r, ok := s.passing(now, id); ok && !has[id] && len(found) < limit {
			found = append(found, r)
		}
	}
	return found
}
