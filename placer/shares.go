package placer

import (
	"math"
	"math/bits"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Between the accounts of a rank, memory is shared by max-min fairness. The level is the use
// up to which every account can be served: the sum over the accounts of the lower of its use
// and the level is the memory that the rank can have. An account that uses less than the level
// leaves the rest to the others, and one that asks for more queues behind the others with what
// it has above the level.

const (
	// exactUses is the number of the smallest uses that have a bucket each.
	exactUses = 16
	// bucketsPerOctave is the number of buckets between a larger use and its double. It
	// bounds the error of the level to an eighth of an octave.
	bucketsPerOctave = 8
	// maxUseBits is the length of the largest use that is told apart from larger ones.
	maxUseBits = 40
	useBuckets = exactUses + (maxUseBits-4)*bucketsPerOctave
)

// useHistogram counts the accounts of one rank by the memory that they hold and queue for. The
// level follows from it in the same time for any number of accounts.
type useHistogram struct {
	accounts int
	total    identifier.Pieces
	counts   [useBuckets]int
	sums     [useBuckets]identifier.Pieces
}

// useBucket returns the bucket of a use.
func useBucket(use identifier.Pieces) int {
	if use < exactUses {
		return int(max(0, use))
	}
	length := bits.Len64(uint64(use))
	if length > maxUseBits {
		return useBuckets - 1
	}
	// The three bits after the first one number the buckets of an octave.
	step := int(uint64(use)>>(length-4)) - bucketsPerOctave
	return exactUses + (length-5)*bucketsPerOctave + step
}

// lowestUse returns the lowest use in a bucket.
func lowestUse(bucket int) identifier.Pieces {
	if bucket < exactUses {
		return identifier.Pieces(bucket)
	}
	octave, step := (bucket-exactUses)/bucketsPerOctave, (bucket-exactUses)%bucketsPerOctave
	return identifier.Pieces(bucketsPerOctave+step) << (octave + 1)
}

// change replaces one account's use. An account without any use is not counted.
func (h *useHistogram) change(from, to identifier.Pieces) {
	h.count(from, -1)
	h.count(to, 1)
}

func (h *useHistogram) count(use identifier.Pieces, change int) {
	if use <= 0 {
		return
	}
	bucket := useBucket(use)
	pieces := use * identifier.Pieces(change)
	h.accounts += change
	h.counts[bucket] += change
	h.sums[bucket] += pieces
	h.total += pieces
}

// level returns the use at which the sum over all accounts of the lower of its use and the
// level reaches the capacity. It has no limit if the capacity suffices for all.
func (h *useHistogram) level(capacity identifier.Pieces) identifier.Pieces {
	if h.total <= capacity {
		return math.MaxInt64
	}
	// limited accounts use at least the lowest use of the bucket, the others sum to below.
	limited, below := h.accounts, identifier.Pieces(0)
	for bucket := range useBuckets {
		if h.counts[bucket] == 0 {
			continue
		}
		level := (capacity - below) / identifier.Pieces(limited)
		if level < lowestUse(bucket) {
			return max(0, level)
		}
		rest := limited - h.counts[bucket]
		if rest == 0 || (capacity-below-h.sums[bucket])/identifier.Pieces(rest) < h.highestUse(bucket) {
			return level
		}
		limited, below = rest, below+h.sums[bucket]
	}
	return math.MaxInt64
}

// highestUse returns the use from which on an account is in a higher bucket.
func (h *useHistogram) highestUse(bucket int) identifier.Pieces {
	if bucket+1 == useBuckets {
		return math.MaxInt64
	}
	return lowestUse(bucket + 1)
}

// shareableMemory returns the memory that the accounts of a rank share: what more urgent work
// doesn't need and other ranks don't hold, at least the rank's minimum share. With UseForecast
// an engine holds more requests than their reservations allow, so that it is not less than what
// the rank holds.
func (p *Placer) shareableMemory(rank identifier.Rank) identifier.Pieces {
	others := p.queuedPieces(identifier.Ranks[:rank])
	for _, other := range identifier.Ranks {
		if other != rank {
			others += p.usedByRank[other]
		}
	}
	least := identifier.Pieces(0)
	if rank != identifier.Urgent {
		least = identifier.Pieces(p.settings.LesserShare * float64(p.decodeCapacity))
	}
	return max(p.decodeCapacity-others, least, p.usedByRank[rank])
}

// queuedPieces returns the memory that the queued demands of some ranks need.
func (p *Placer) queuedPieces(ranks []identifier.Rank) identifier.Pieces {
	var sum identifier.Pieces
	for _, rank := range ranks {
		sum += p.queues[rank].pieces
	}
	return sum
}

// isWithinShare reports whether an account, with one more demand, stays within the level of
// its rank. A demand without an account is always within its share, and so is the only demand of
// an account.
func (p *Placer) isWithinShare(d *Demand, need identifier.Pieces) bool {
	if d.Account == "" || !p.settings.enabled(Fairness) {
		return true
	}
	known := p.accounts[accountKey{d.Account, d.Rank}]
	if known == nil {
		return true
	}
	use, uses := known.held+known.queued, &p.uses[d.Rank]
	uses.change(use, use+need)
	defer uses.change(use+need, use)
	return use+need <= uses.level(p.shareableMemory(d.Rank))
}
