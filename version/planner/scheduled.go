package planner

import "time"

// ScheduleStep is a split that is wanted from a time on.
type ScheduleStep struct {
	From  time.Duration
	Split Split
}

// NewSchedule returns a planner that follows a time line of splits, sorted by
// time. It is what a search with the demand known beforehand tries out.
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
	return fit(wanted, g.capacity()), "scheduled split"
}

// fit takes engines from the most frequent roles, or adds mixed ones, until a
// split has a total.
func fit(split Split, total int) Split {
	for split.Total() > total {
		most := splitRoles[0]
		for _, role := range splitRoles {
			if split.Of(role) > split.Of(most) {
				most = role
			}
		}
		split = split.with(most, -1)
	}
	return split.with(splitRoles[0], total-split.Total())
}
