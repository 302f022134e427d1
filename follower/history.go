package follower

import (
	"cmp"
	"slices"

	"github.com/foxtailspool/foxtailspool/storer"
)

// A list of some thousand back ends changes several times a second at size, by a few
// entries at a time. A node therefore keeps the latest changes of each collection,
// and tells the others those that they lack.

const (
	// historySteps bounds the changes that are kept: a node asks several times a
	// second, so that most lack one or two.
	historySteps = 64
	// historyBytes bounds what they hold, so that large objects do not stay: an entry
	// of the list has some hundred bytes, a configuration up to a megabyte.
	historyBytes = 2 << 20
)

// step is what one change of a collection did to it.
type step struct {
	// before is the digest of the copy that the step begins at.
	before  uint64
	stored  []storer.Object
	removed []string
}

// history is the latest steps of a collection, the oldest first. Each begins at the
// copy that the one before it led to.
type history struct {
	steps []step
	bytes int
}

// add notes what changed between two copies, which are sorted by name.
func (h *history) add(before uint64, from, to []storer.Object) {
	s := step{before: before}
	i := 0
	for _, object := range to {
		for i < len(from) && from[i].Name < object.Name {
			s.removed = append(s.removed, from[i].Name)
			i++
		}
		same := i < len(from) && from[i].Name == object.Name
		if !same || from[i].Version != object.Version {
			s.stored = append(s.stored, object)
		}
		if same {
			i++
		}
	}
	for ; i < len(from); i++ {
		s.removed = append(s.removed, from[i].Name)
	}
	h.steps = append(h.steps, s)
	h.bytes += s.bytes()
	for len(h.steps) > historySteps || h.bytes > historyBytes && len(h.steps) > 0 {
		h.bytes -= h.steps[0].bytes()
		h.steps[0] = step{}
		h.steps = h.steps[1:]
	}
}

// bytes is about what a step takes.
func (s *step) bytes() int {
	const each = 64
	total := each * (len(s.stored) + len(s.removed))
	for _, object := range s.stored {
		total += len(object.Spec) + len(object.Status)
	}
	return total
}

// since joins the steps from a copy on; false where they are not known any more.
func (h *history) since(digest uint64) (step, bool) {
	first := -1
	for i := len(h.steps) - 1; i >= 0 && first < 0; i-- {
		if h.steps[i].before == digest {
			first = i
		}
	}
	if first < 0 {
		return step{}, false
	}
	latest := map[string]*storer.Object{}
	for i := range h.steps[first:] {
		s := &h.steps[first+i]
		for j := range s.stored {
			latest[s.stored[j].Name] = &s.stored[j]
		}
		for _, name := range s.removed {
			latest[name] = nil
		}
	}
	joined := step{before: digest}
	for name, object := range latest {
		if object == nil {
			joined.removed = append(joined.removed, name)
			continue
		}
		joined.stored = append(joined.stored, *object)
	}
	sortObjects(joined.stored)
	slices.Sort(joined.removed)
	return joined, true
}

// apply returns a copy, sorted by name, with a step's changes made to it.
func (s *step) apply(objects []storer.Object) []storer.Object {
	changed := make(map[string]bool, len(s.stored)+len(s.removed))
	for _, object := range s.stored {
		changed[object.Name] = true
	}
	for _, name := range s.removed {
		changed[name] = true
	}
	kept := make([]storer.Object, 0, len(objects)+len(s.stored))
	for _, object := range objects {
		if !changed[object.Name] {
			kept = append(kept, object)
		}
	}
	kept = append(kept, s.stored...)
	sortObjects(kept)
	return kept
}

func sortObjects(objects []storer.Object) {
	if slices.IsSortedFunc(objects, compareNames) {
		// The objects may be those of a copy, which is not written to.
		return
	}
	slices.SortFunc(objects, compareNames)
}

func compareNames(a, b storer.Object) int { return cmp.Compare(a.Name, b.Name) }
