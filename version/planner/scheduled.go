package planner

import "time"

// ScheduleStep sets the wanted split from a point in time on.
type ScheduleStep struct {
	From  time.Duration // on the clock of Input.Now
	Split Split
}

// NewSchedule returns a planner that follows a schedule of splits, sorted by time. The
// first step also applies before its From. The experiment that searches for the best
// schedule under known demand uses this planner to evaluate candidate schedules.
func NewSchedule(steps []ScheduleStep) Planner {
	return &policyPlanner{policy: schedule(steps)}
}

type schedule []ScheduleStep

func (s schedule) target(g *group) (Split, string) {
	wanted := Split{}
	for i, step := range s {
		if i == 0 || step.From <= g.now {
			wanted = step.Split
		}
	}
	return resize(wanted, g.assignableCount()), "scheduled split"
}

// resize removes engines from the largest roles, or adds mixed ones, until the split
// has the given total. It adds mixed ones even if the intent does not permit the role.
func resize(split Split, total int) Split {
	for split.Total() > total {
		largest := splitRoles[0]
		for _, role := range splitRoles {
			if split.Count(role) > split.Count(largest) {
				largest = role
			}
		}
		split = split.with(largest, -1)
	}
	return split.with(splitRoles[0], total-split.Total())
}
