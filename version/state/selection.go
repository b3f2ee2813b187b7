package state

import (
	"slices"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/selector"
)

// selection is an index, in both directions, of which intents select which engines. It
// is derived from the stored objects and updated by transactions, so that a change of
// one engine's labels or of one intent does not evaluate the selectors of all intents
// for all engines.
type selection struct {
	intents map[string][]string            // sorted names by engine; slices are immutable once stored
	engines map[string]map[string]struct{} // names by intent
}

func newSelection() selection {
	return selection{intents: map[string][]string{}, engines: map[string]map[string]struct{}{}}
}

// set replaces the names of the intents that select an engine, which must be sorted.
func (s *selection) set(engine string, intents []string) {
	for _, intent := range s.intents[engine] {
		delete(s.engines[intent], engine)
	}
	for _, intent := range intents {
		if s.engines[intent] == nil {
			s.engines[intent] = map[string]struct{}{}
		}
		s.engines[intent][engine] = struct{}{}
	}
	if len(intents) == 0 {
		delete(s.intents, engine)
		return
	}
	s.intents[engine] = intents
}

// rebuild recomputes the index from the stored objects.
func (s *selection) rebuild(intents map[string]*api.Intent, engines map[string]*api.Engine) {
	*s = newSelection()
	for name, engine := range engines {
		s.set(name, selectingIntents(intents, engine))
	}
}

// selectingIntents returns the sorted names of the intents whose selectors match the
// engine's labels.
func selectingIntents(intents map[string]*api.Intent, engine *api.Engine) []string {
	var names []string
	for name, intent := range intents {
		if selector.Matches(intent.Spec.Engines, engine.Labels) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// withName returns the sorted list with the name if present is true, and without it
// otherwise. It does not modify the list.
func withName(sorted []string, name string, present bool) []string {
	i, found := slices.BinarySearch(sorted, name)
	switch {
	case found == present:
		return sorted
	case present:
		return slices.Insert(slices.Clone(sorted), i, name)
	}
	return slices.Delete(slices.Clone(sorted), i, i+1)
}

// sameDesired reports whether two intents specify the same desired state (model,
// version, adapters and roles) for an engine that both select.
func sameDesired(a, b *api.IntentSpec) bool {
	return a.Model == b.Model &&
		a.Version == b.Version &&
		equalSets(a.Adapters, b.Adapters) &&
		equalSets(a.Roles, b.Roles)
}

func equalSets[T ~string](a, b []T) bool {
	if slices.Equal(a, b) {
		return true
	}
	if len(a) != len(b) {
		return false
	}
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}
