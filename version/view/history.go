package view

import (
	"slices"

	"github.com/landingtrail/landingtrail/version/api"
)

// Change records that the object with the key was written or removed at a revision.
type Change struct {
	Revision uint64
	Key      api.Key
}

// History is a view together with the latest changes that led to it. It is immutable
// and may be read by any number of goroutines.
type History struct {
	View *View
	// Floor is the highest revision whose changes were dropped from Changes.
	Floor uint64
	// Changes are in ascending order of revisions.
	Changes []Change
}

// DeltaSince returns the delta from a version to the history's version. It returns
// false if there is nothing to send because the revision of from is not lower than the
// history's. The delta is full if from is zero or if changes after from were dropped.
func (h History) DeltaSince(from Version) (Delta, bool) {
	to := h.View.Version
	if from.Compare(to) >= 0 {
		return Delta{}, false
	}
	if from.IsZero() || from.Revision < h.Floor {
		return h.View.Full(), true
	}
	d := Delta{From: from, To: to}
	for _, key := range h.keysSince(from.Revision) {
		if o, ok := h.View.Object(key); ok {
			d.Objects = append(d.Objects, o)
		} else {
			d.Removed = append(d.Removed, key)
		}
	}
	return d, true
}

// keysSince returns the keys that changed after a revision, sorted and without duplicates.
func (h History) keysSince(revision uint64) []api.Key {
	first, _ := slices.BinarySearchFunc(h.Changes, revision+1, func(c Change, target uint64) int {
		switch {
		case c.Revision < target:
			return -1
		case c.Revision > target:
			return 1
		}
		return 0
	})
	keys := make([]api.Key, 0, len(h.Changes)-first)
	for _, change := range h.Changes[first:] {
		keys = append(keys, change.Key)
	}
	slices.SortFunc(keys, compareKeys)
	return slices.Compact(keys)
}
