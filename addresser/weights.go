package addresser

import (
	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// maxWeight is the largest weight of a member; the weakest has the weight 1. A strong VM can
	// carry 4 to 5 times as much as a weak one, but it also owns pools and reads the store, and
	// all its callers move when it is lost.
	maxWeight = 3.0
	// minEntries is the number of addresses to which weights may shorten an answer. A caller
	// tries other addresses of its answer until it asks again.
	minEntries = 12
	// minGroupEntries is the same for the members of the near data centre, and of the others.
	minGroupEntries = 2
)

// weigher returns the weights of members by capacity, for the members of one view.
type weigher struct {
	lowest identifier.Capacity
	// unknown is the weight of a member without a capacity: the mean, with which it is used
	// as often as without weights.
	unknown float64
}

func newWeigher(groups ...[]assigner.Member) weigher {
	w := weigher{unknown: 1}
	for _, members := range groups {
		for i := range members {
			if c := members[i].Capacity; c > 0 && (w.lowest == 0 || c < w.lowest) {
				w.lowest = c
			}
		}
	}
	total, known := 0.0, 0
	for _, members := range groups {
		for i := range members {
			if members[i].Capacity > 0 {
				total += w.weight(members[i])
				known++
			}
		}
	}
	if known > 0 {
		w.unknown = total / float64(known)
	}
	return w
}

func (w weigher) weight(member assigner.Member) float64 {
	if member.Capacity == 0 {
		return w.unknown
	}
	return min(maxWeight, float64(member.Capacity)/float64(w.lowest))
}

// sums returns the total and the largest weight of members.
func (w weigher) sums(members []assigner.Member) (total, largest float64) {
	for i := range members {
		weight := w.weight(members[i])
		total += weight
		largest = max(largest, weight)
	}
	return total, largest
}

// share returns the largest share of count entries at which each of the members can be listed
// in proportion to its weight: the one with the largest weight in every answer.
func (w weigher) share(members []assigner.Member, count int) float64 {
	total, largest := w.sums(members)
	if count == 0 || total == 0 {
		return 1
	}
	return min(1, total/largest/float64(count))
}

// sample returns count members on average, each as often as its weight over all offsets from
// 0 to 1, but at most once an answer. It keeps their order.
func (w weigher) sample(members []assigner.Member, count, offset float64) []assigner.Member {
	if count >= float64(len(members)) {
		return members
	}
	scale := w.scale(members, count)
	var sampled []assigner.Member
	at := offset
	for i := range members {
		at += min(1, scale*w.weight(members[i]))
		if at >= 1 {
			sampled = append(sampled, members[i])
			at--
		}
	}
	return sampled
}

// scale returns the factor of the weights at which the chances of members, each at most 1, add
// up to count, which is less than the number of members.
func (w weigher) scale(members []assigner.Member, count float64) float64 {
	total, _ := w.sums(members)
	scale := count / total
	for {
		// Members whose chance is 1 leave the rest of count to the others.
		left, rest := count, 0.0
		for i := range members {
			if weight := w.weight(members[i]); scale*weight >= 1 {
				left--
			} else {
				rest += weight
			}
		}
		if rest == 0 || left/rest <= scale*(1+1e-9) {
			return scale
		}
		scale = left / rest
	}
}

// sampleByWeight shortens the parts of an answer so that all answers together list members in
// proportion to their weights. The ratio of the two parts stays about the same.
func sampleByWeight(local, remote []assigner.Member, offset float64, localCount, remoteCount int) (localPart, remotePart []assigner.Member) {
	w := newWeigher(local, remote)
	share := min(w.share(local, localCount), w.share(remote, remoteCount))
	share = min(1, max(share, minEntries/float64(localCount+remoteCount)))
	part := func(members []assigner.Member, count int) []assigner.Member {
		if w.isEven(members) && share == 1 {
			return members[:count]
		}
		return w.sample(members, max(share*float64(count), float64(min(count, minGroupEntries))), offset)
	}
	return part(local, localCount), part(remote, remoteCount)
}

func (w weigher) isEven(members []assigner.Member) bool {
	total, largest := w.sums(members)
	return total >= largest*float64(len(members))*(1-1e-9)
}
