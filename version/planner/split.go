package planner

import (
	"fmt"

	"github.com/landingtrail/landingtrail/version/api"
)

// Split is the number of engines in each role.
type Split struct {
	Prefill int
	Decode  int
	Mixed   int
}

// splitRoles lists the roles of a split. Where several roles are equally good, the
// first of them in this order is chosen.
var splitRoles = []api.EngineRole{api.RoleMixed, api.RolePrefill, api.RoleDecode}

// Total returns the number of engines.
func (s Split) Total() int { return s.Prefill + s.Decode + s.Mixed }

// Count returns the number of engines of a role.
func (s Split) Count(role api.EngineRole) int {
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

// with returns the split with delta added to the number of engines in the role.
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

// MovesTo returns the number of role changes that lead from s to a split of the same total.
func (s Split) MovesTo(to Split) int {
	moves := 0
	for _, role := range splitRoles {
		moves += max(to.Count(role)-s.Count(role), 0)
	}
	return moves
}

// String returns the numbers as "2 prefill, 3 decode, 4 mixed".
func (s Split) String() string {
	return fmt.Sprintf("%d prefill, %d decode, %d mixed", s.Prefill, s.Decode, s.Mixed)
}

// candidateSplits returns the splits of the current total over the allowed roles to
// evaluate: all of them for a total up to gridSteps; for a larger one a grid, and those
// reached from the current split by moving 1, 2, 4 and so on engines between two roles.
// There are never more than a few hundred.
func candidateSplits(current Split, allowed func(api.EngineRole) bool) []Split {
	total := current.Total()
	var splits []Split
	add := func(split Split) {
		if isPermitted(split, allowed) {
			splits = append(splits, split)
		}
	}
	for _, prefill := range gridPoints(total) {
		for _, decode := range gridPoints(total - prefill) {
			add(Split{Prefill: prefill, Decode: decode, Mixed: total - prefill - decode})
		}
	}
	if total > gridSteps {
		addNeighbors(current, add)
	}
	return splits
}

// gridSteps is the maximum number of steps between the points of a grid along one axis.
const gridSteps = 16

// gridPoints returns numbers from 0 to a total, both included, that are evenly spaced
// except that the last step may be smaller.
func gridPoints(total int) []int {
	step := max((total+gridSteps-1)/gridSteps, 1)
	var points []int
	for point := 0; point < total; point += step {
		points = append(points, point)
	}
	return append(points, total)
}

// addNeighbors adds the splits reached by moving 1, 2, 4 and so on engines between two roles.
func addNeighbors(current Split, add func(Split)) {
	for _, from := range splitRoles {
		for _, to := range splitRoles {
			for moves := 1; from != to && moves <= current.Count(from); moves *= 2 {
				add(current.with(from, -moves).with(to, moves))
			}
		}
	}
}

// isPermitted reports whether the split uses allowed roles only and canServe.
func isPermitted(split Split, allowed func(api.EngineRole) bool) bool {
	for _, role := range splitRoles {
		if split.Count(role) > 0 && !allowed(role) {
			return false
		}
	}
	return split.canServe()
}

// canServe reports whether the split has engines for both prompts and output; it is
// true for an empty split.
func (s Split) canServe() bool {
	return s.Total() == 0 || s.Mixed > 0 || (s.Prefill > 0 && s.Decode > 0)
}

// proportionalSplit returns the split of total engines into prefill and decode whose
// prefill share is nearest to the given one, with at least one engine of each. A single
// engine is mixed, even if the intent does not permit the role.
func proportionalSplit(total int, share float64) Split {
	if total < 2 {
		return Split{Mixed: total}
	}
	prefill := int(share*float64(total) + 0.5)
	prefill = min(max(prefill, 1), total-1)
	return Split{Prefill: prefill, Decode: total - prefill}
}
