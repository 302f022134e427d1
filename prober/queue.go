package prober

import (
	"cmp"
	"slices"
)

// gossipQueue holds the keys of updates to send with the next messages and how
// often each was sent. The least sent go first.
type gossipQueue[K cmp.Ordered] struct {
	transmissions map[K]int
}

func newGossipQueue[K cmp.Ordered]() *gossipQueue[K] {
	return &gossipQueue[K]{transmissions: map[K]int{}}
}

// add queues a key or resets its count of transmissions.
func (q *gossipQueue[K]) add(key K) {
	q.transmissions[key] = 0
}

// next returns up to maxKeys keys for one message and counts the transmission. A key
// is dropped after maxTransmissions; other nodes and repairs spread the update further.
func (q *gossipQueue[K]) next(maxKeys, maxTransmissions int) []K {
	keys := make([]K, 0, len(q.transmissions))
	for key := range q.transmissions {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b K) int {
		return cmp.Or(cmp.Compare(q.transmissions[a], q.transmissions[b]), cmp.Compare(a, b))
	})
	keys = keys[:min(maxKeys, len(keys))]
	for _, key := range keys {
		q.transmissions[key]++
		if q.transmissions[key] >= maxTransmissions {
			delete(q.transmissions, key)
		}
	}
	return keys
}
