// Package selector matches labels against label selectors.
//
// An empty selector matches nothing, so an omitted selector never selects all engines.
package selector

import (
	"slices"

	"github.com/landingtrail/landingtrail/version/api"
)

// Matches reports whether the labels satisfy every requirement of the selector.
// An empty selector matches nothing. The result is unspecified for a selector
// that Validate rejects, such as one with All and other requirements. The state
// machine rejects objects with such selectors, so they are not stored.
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
		if !satisfiesRequirement(&s.MatchExpressions[i], labels) {
			return false
		}
	}
	return true
}

// Validate returns all validation errors of a selector, with fields that start with
// "selector". An empty selector is valid.
func Validate(s api.Selector) []api.FieldFault { return api.ValidateSelector("selector", s) }

// satisfiesRequirement reports whether the labels satisfy one requirement. Like
// DoesNotExist, NotIn is satisfied by labels that do not have the key.
func satisfiesRequirement(r *api.Requirement, labels api.Labels) bool {
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
