package planner

import (
	"fmt"

	"github.com/landingtrail/landingtrail/version/api"
)

// Split is a number of engines for each role.
type Split struct {
	Prefill int
	Decode  int
	Mixed   int
}

// splitRoles is the order in which roles are looked at.
var splitRoles = []api.EngineRole{api.RoleMixed, api.RolePrefill, api.RoleDecode}

// Total is the number of engines.
func (s Split) Total() int { return s.Prefill + s.Decode + s.Mixed }

// Of returns the number of engines of a role.
func (s Split) Of(role api.EngineRole) int {
	switch role {
	case api.RolePrefill:
		return s.Prefill
	case api.RoleDecode:
		return s.Decode
	case api.RoleMixed:
		return s.Mixed
	default:
		return 0
	}
}

// with returns the split with the role's number changed by delta.
func (s Split) with(role api.EngineRole, delta int) Split {
	switch role {
	case api.RolePrefill:
		s.Prefill += delta
	case api.RoleDecode:
		s.Decode += delta
	case api.RoleMixed:
		s.Mixed += delta
	}
	return s
}

// Moves is the number of role changes that lead from s to a split of the same total.
func (s Split) Moves(to Split) int {
	moves := 0
	for _, role := range splitRoles {
		moves += max(to.Of(role)-s.Of(role), 0)
	}
	return moves
}

// String returns the numbers as "2 prefill, 3 decode, 4 mixed".
func (s Split) String() string {
	return fmt.Sprintf("%d prefill, %d decode, %d mixed", s.Prefill, s.Decode, s.Mixed)
}

// enumerate returns the splits of total engines over the allowed roles. For
// large totals it looks at every step-th number only, so that there are never
// more than a few hundred.
func enumerate(total int, allowed func(api.EngineRole) bool) []Split {
	step := max(total/enumerateSteps, 1)
	var splits []Split
	for prefill := 0; prefill <= total; prefill += step {
		for decode := 0; prefill+decode <= total; decode += step {
			split := Split{Prefill: prefill, Decode: decode, Mixed: total - prefill - decode}
			if permitted(split, allowed) {
				splits = append(splits, split)
			}
		}
	}
	return splits
}

// enumerateSteps bounds the splits that are looked at along one axis.
const enumerateSteps = 16

// permitted reports whether the split uses allowed roles only and can serve a
// whole request.
func permitted(split Split, allowed func(api.EngineRole) bool) bool {
	for _, role := range splitRoles {
		if split.Of(role) > 0 && !allowed(role) {
			return false
		}
	}
	return split.serves()
}

// serves reports whether some engine can generate and some engine can read prompts.
func (s Split) serves() bool {
	return s.Total() == 0 || s.Mixed > 0 || (s.Prefill > 0 && s.Decode > 0)
}

// proportional returns the split of total engines without mixed ones whose
// prefill share is nearest to a share, with at least one of each.
func proportional(total int, share float64) Split {
	if total < 2 {
		return Split{Mixed: total}
	}
	prefill := int(share*float64(total) + 0.5)
	prefill = min(max(prefill, 1), total-1)
	return Split{Prefill: prefill, Decode: total - prefill}
}
