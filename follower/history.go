package follower

import (
	"cmp"
	"slices"

	"github.com/foxtailspool/foxtailspool/storer"
)

// A list of some thousand back ends changes several times a second at the target size,
// by a few entries at a time. So a node keeps the latest changes of each collection and
// sends its peers only the changes that they lack.

const (
	// maxHistoryDeltas limits the deltas that are kept. A node polls several times a
	// second, so most nodes lack only one or two of them.
	maxHistoryDeltas = 64
	// maxHistoryBytes limits the memory of the deltas, so that large ones are dropped.
	// An entry of the list of back ends has some hundred bytes, a configuration up to a
	// megabyte.
	maxHistoryBytes = 2 << 20
)

// delta is one change of a collection.
type delta struct {
	// baseDigest is the digest of the copy that the delta applies to.
	baseDigest uint64
	stored     []storer.Object
	removed    []string
}

// history holds the latest deltas of a collection, oldest first. Each applies to the
// copy that the previous one produced.
type history struct {
	deltas []delta
	bytes  int
}

// add records the difference between two copies, which must be sorted by name, and
// drops the oldest deltas beyond the limits. baseDigest is the digest of from.
func (h *history) add(baseDigest uint64, from, to []storer.Object) {
	d := delta{baseDigest: baseDigest}
	i := 0
	for _, object := range to {
		for i < len(from) && from[i].Name < object.Name {
			d.removed = append(d.removed, from[i].Name)
			i++
		}
		same := i < len(from) && from[i].Name == object.Name
		if !same || from[i].Version != object.Version {
			d.stored = append(d.stored, object)
		}
		if same {
			i++
		}
	}
	for ; i < len(from); i++ {
		d.removed = append(d.removed, from[i].Name)
	}
	h.deltas = append(h.deltas, d)
	h.bytes += d.sizeBytes()
	for len(h.deltas) > maxHistoryDeltas || h.bytes > maxHistoryBytes && len(h.deltas) > 0 {
		h.bytes -= h.deltas[0].sizeBytes()
		h.deltas[0] = delta{}
		h.deltas = h.deltas[1:]
	}
}

// sizeBytes estimates the memory of a delta.
func (d *delta) sizeBytes() int {
	const bytesPerEntry = 64
	total := bytesPerEntry * (len(d.stored) + len(d.removed))
	for _, object := range d.stored {
		total += len(object.Spec) + len(object.Status)
	}
	return total
}

// mergedSince merges all deltas since the copy with the given digest into one. It
// returns false if history does not reach back to that copy.
func (h *history) mergedSince(digest uint64) (delta, bool) {
	first := -1
	for i := len(h.deltas) - 1; i >= 0 && first < 0; i-- {
		if h.deltas[i].baseDigest == digest {
			first = i
		}
	}
	if first < 0 {
		return delta{}, false
	}
	latest := map[string]*storer.Object{}
	for i := range h.deltas[first:] {
		d := &h.deltas[first+i]
		for j := range d.stored {
			latest[d.stored[j].Name] = &d.stored[j]
		}
		for _, name := range d.removed {
			latest[name] = nil
		}
	}
	merged := delta{baseDigest: digest}
	for name, object := range latest {
		if object == nil {
			merged.removed = append(merged.removed, name)
			continue
		}
		merged.stored = append(merged.stored, *object)
	}
	sortObjects(merged.stored)
	slices.Sort(merged.removed)
	return merged, true
}

// apply returns a new slice of objects, sorted by name, with the delta applied.
func (d *delta) apply(objects []storer.Object) []storer.Object {
	changed := make(map[string]bool, len(d.stored)+len(d.removed))
	for _, object := range d.stored {
		changed[object.Name] = true
	}
	for _, name := range d.removed {
		changed[name] = true
	}
	kept := make([]storer.Object, 0, len(objects)+len(d.stored))
	for _, object := range objects {
		if !changed[object.Name] {
			kept = append(kept, object)
		}
	}
	kept = append(kept, d.stored...)
	sortObjects(kept)
	return kept
}

func sortObjects(objects []storer.Object) {
	if slices.IsSortedFunc(objects, compareNames) {
		// Sorted objects may be shared with a copy in use, so don't write to them.
		return
	}
	slices.SortFunc(objects, compareNames)
}

func compareNames(a, b storer.Object) int { return cmp.Compare(a.Name, b.Name) }
