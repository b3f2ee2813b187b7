// Package selector matches labels against selectors.
//
// Guarantee: an empty selector matches nothing, so a forgotten one never takes the
// whole fleet.
package selector

import (
	"slices"

	"github.com/landingtrail/landingtrail/version/api"
)

// Matches reports whether the labels meet all conditions of the selector. An
// empty selector matches nothing. A selector that Validate faults may match
// anything; such selectors are refused before they are stored.
func Matches(s api.Selector, labels api.Labels) bool {
	if s.All {
		return true
	}
	if len(s.MatchLabels) == 0 && len(s.MatchExpressions) == 0 {
		return false
	}
	for key, want := range s.MatchLabels {
		if value, ok := labels[key]; !ok || value != want {
			return false
		}
	}
	for i := range s.MatchExpressions {
		if !meets(&s.MatchExpressions[i], labels) {
			return false
		}
	}
	return true
}

// Validate returns every fault of a selector; an empty one has none.
func Validate(s api.Selector) []api.FieldFault { return api.ValidateSelector("selector", s) }

// meets reports whether the labels meet one requirement. NotIn is also met by
// labels that lack the key, as DoesNotExist is.
func meets(r *api.Requirement, labels api.Labels) bool {
	value, ok := labels[r.Key]
	switch r.Operator {
	case api.OperatorIn:
		return ok && slices.Contains(r.Values, value)
	case api.OperatorNotIn:
		return !ok || !slices.Contains(r.Values, value)
	case api.OperatorExists:
		return ok
	case api.OperatorDoesNotExist:
		return !ok
	}
	return false
}
