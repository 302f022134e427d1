package prober

import (
	"cmp"
	"slices"
)

// queue holds what is to be told to others with the next messages, and how often
// it was told already. The least told goes first.
type queue[K cmp.Ordered] struct {
	told map[K]int
}

func newQueue[K cmp.Ordered]() *queue[K] {
	return &queue[K]{told: map[K]int{}}
}

// add has something told anew.
func (q *queue[K]) add(key K) {
	q.told[key] = 0
}

// next chooses up to count keys for one message. A key told limit times is
// dropped; other nodes and repairs carry it on.
func (q *queue[K]) next(count, limit int) []K {
	keys := make([]K, 0, len(q.told))
	for key := range q.told {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b K) int {
		return cmp.Or(cmp.Compare(q.told[a], q.told[b]), cmp.Compare(a, b))
	})
	keys = keys[:min(count, len(keys))]
	for _, key := range keys {
		q.told[key]++
		if q.told[key] >= limit {
			delete(q.told, key)
		}
	}
	return keys
}
