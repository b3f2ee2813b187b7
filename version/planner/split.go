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

// candidates returns the splits of the current total over the allowed roles
// that are worth a look: all of a small total, a grid of a large one, and in any
// case those that are one, two, four and so on moves from the current one. There
// are never more than a few hundred.
func candidates(current Split, allowed func(api.EngineRole) bool) []Split {
	total := current.Total()
	var splits []Split
	add := func(split Split) {
		if permitted(split, allowed) {
			splits = append(splits, split)
		}
	}
	for _, prefill := range gridPoints(total) {
		for _, decode := range gridPoints(total - prefill) {
			add(Split{Prefill: prefill, Decode: decode, Mixed: total - prefill - decode})
		}
	}
	if total > gridSteps {
		addNear(current, add)
	}
	return splits
}

// gridSteps bounds the points of a grid along one axis, but for its end.
const gridSteps = 16

// gridPoints returns numbers from 0 to a total, both included.
func gridPoints(total int) []int {
	step := max((total+gridSteps-1)/gridSteps, 1)
	var points []int
	for point := 0; point < total; point += step {
		points = append(points, point)
	}
	return append(points, total)
}

// addNear adds the splits that moves between two roles lead to.
func addNear(current Split, add func(Split)) {
	for _, from := range splitRoles {
		for _, to := range splitRoles {
			for moves := 1; from != to && moves <= current.Of(from); moves *= 2 {
				add(current.with(from, -moves).with(to, moves))
			}
		}
	}
}

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
