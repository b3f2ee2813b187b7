package placement

import "time"

// Large prompts take longest to read, so in an overload they are the first to miss their objective
// and would be deferred and refused before all others. Hardly any of them would then be served.
// Requests of a class are therefore grouped by size, and a size group that is served far less often
// than its class as a whole is neither deferred nor refused until it has caught up.

// Shares of the size groups in the requests of a class: the largest tenth, and the fifth below it.
const (
	largestShare = 0.1
	largeShare   = 0.3 // share of both groups together
)

// Parameters of the statistics of a class.
const (
	// A group is starved if its share of served requests is below starvedShare times that of
	// its class.
	starvedShare = 0.6
	// minGroupRequests is the number of counted requests below which a group is not considered
	// starved, since a share of so few requests is mostly chance.
	minGroupRequests = 8
	// servedTimeConstant is the time constant with which counted requests decay.
	servedTimeConstant = 20 * time.Second
	// classIdleTimeout is the time without a request after which a class is removed.
	classIdleTimeout = 10 * servedTimeConstant
	// quantileStep scales the step by which each request moves a size bound, as a share of the
	// mean size.
	quantileStep = 0.05
	// meanWeight is the weight of the latest request in the mean size.
	meanWeight = 0.02
)

// class groups the requests whose shares of served requests are compared.
type class struct {
	priority  int
	objective time.Duration
}

// class returns the class of the request.
func (a *Request) class() class { return class{priority: a.Priority, objective: a.Objective} }

// sizeGroup is a group of the requests of a class, by prompt length.
type sizeGroup uint8

// Size groups. groupAll counts all requests of the class. Requests that are neither large nor
// largest have groupAll as their group.
const (
	groupAll sizeGroup = iota
	groupLarge
	groupLargest
	sizeGroupCount // number of groups
)

// fairness holds the size bounds of one class and the shares of requests that are served in its
// groups.
type fairness struct {
	mean                     float64 // tokens
	largeBound, largestBound float64 // lower bounds of the groups, in tokens
	// served is the share of requests that reached their first token, by group.
	served        [sizeGroupCount]recentShare
	lastRequestAt time.Duration
}

func newFairness() *fairness {
	result := &fairness{}
	for group := range result.served {
		result.served[group] = newRecentShare(servedTimeConstant)
	}
	return result
}

// fairnessOf returns the statistics of the request's class, and adds them if the class is new.
// Then it also removes the classes that have had no request for classIdleTimeout, for instance
// because objectives were changed.
func (b *Board) fairnessOf(now time.Duration, request *Request) *fairness {
	statistics := b.fairness[request.class()]
	if statistics != nil {
		return statistics
	}
	for other, old := range b.fairness {
		if now-old.lastRequestAt > classIdleTimeout {
			delete(b.fairness, other)
		}
	}
	statistics = newFairness()
	statistics.lastRequestAt = now
	b.fairness[request.class()] = statistics
	return statistics
}

// group returns the size group of a prompt.
func (f *fairness) group(prompt int) sizeGroup {
	switch size := float64(prompt); {
	case f.mean == 0 || size <= f.largeBound:
		return groupAll
	case size <= f.largestBound:
		return groupLarge
	default:
		return groupLargest
	}
}

// recordRequest counts a request to be placed, and returns its group.
func (f *fairness) recordRequest(now time.Duration, prompt int) sizeGroup {
	f.lastRequestAt = now
	group := f.group(prompt)
	f.updateBounds(float64(prompt))
	f.served[groupAll].events.add(now)
	if group != groupAll {
		f.served[group].events.add(now)
	}
	return group
}

// recordStart counts a request of the group that reached its first token.
func (f *fairness) recordStart(now time.Duration, group sizeGroup) {
	f.served[groupAll].hits.add(now)
	if group != groupAll {
		f.served[group].hits.add(now)
	}
}

// isStarved reports whether the group is served far less often than its class.
func (f *fairness) isStarved(now time.Duration, group sizeGroup) bool {
	counted := &f.served[group]
	if group == groupAll || counted.events.value(now) < minGroupRequests {
		return false
	}
	return counted.value(now) < starvedShare*f.served[groupAll].value(now)
}

// updateBounds moves the size bounds so that, over many requests, a share of largeShare is above
// the lower bound and a share of largestShare above the upper one.
func (f *fairness) updateBounds(size float64) {
	if f.mean == 0 {
		f.mean, f.largeBound, f.largestBound = size, size, size
		return
	}
	f.mean += meanWeight * (size - f.mean)
	f.largeBound = updatedQuantile(f.largeBound, size, largeShare, f.mean)
	f.largestBound = max(updatedQuantile(f.largestBound, size, largestShare, f.mean), f.largeBound)
}

// updatedQuantile returns a bound moved by one more size. Over many sizes, it converges to the
// bound that the share above of them exceeds.
func updatedQuantile(bound, size, above, mean float64) float64 {
	if size > bound {
		return bound + quantileStep*mean*(1-above)
	}
	return bound - quantileStep*mean*above
}
