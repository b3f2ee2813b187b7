package planner

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// ReplicaLoad is the role and load of one replica of a routed service: a service of the
// Ingress whose requests the control group places on replicas.
type ReplicaLoad struct {
	Name string
	Zone string
	// Prefill is true for a replica in the prefill role, which processes prompts for the
	// decode replicas, false for one in the decode role, which generates tokens.
	Prefill bool
	// Running is the number of requests in decode on the replica and Slots the
	// number it has room for, 0 if unknown. Queued is the number of prompts that
	// wait for prefill.
	Running int
	Slots   int
	Queued  int
	// Changing is true for a replica that is changing its role.
	Changing bool
	// Speed is how fast the replica works in the long run, relative to the mean of its role; 0 if unknown, which
	// counts as 1. The capacity of replicas is the sum of their speeds.
	Speed float64
}

// speed returns the speed by which the replica counts.
func (r *ReplicaLoad) speed() float64 {
	if r.Speed > 0 {
		return min(max(r.Speed, minSpeed), maxSpeed)
	}
	return 1
}

// capacity returns the sum of the speeds of the replicas.
func capacity(replicas []ReplicaLoad) float64 {
	total := 0.0
	for i := range replicas {
		total += replicas[i].speed()
	}
	return total
}

// ServiceLoad is the recent load of one service, as measured where its requests are
// placed on replicas.
type ServiceLoad struct {
	Replicas []ReplicaLoad
	// SlownessReported is true if the replicas report how long work takes on them. LateShare is then weighted by prompt tokens.
	SlownessReported bool
	// Requests is the number of recent requests with a first-token objective, as a
	// count that decays with time. LateShare is the share of them, from 0 to 1, that could
	// not be placed so that the first token was predicted to meet the objective.
	Requests  float64
	LateShare float64
	// DecodeStartShare is the time from the end of prefill and of the transfer of the KV cache
	// to the first token, as a share of the mean first-token objective.
	DecodeStartShare float64
	// ReversalAllowed is true if no replica was moved to prefill during the last ReversalPause.
	ReversalAllowed bool
}

// PrefillReplicas returns the number of prefill replicas, without those that are changing
// their role.
func (l *ServiceLoad) PrefillReplicas() int {
	return l.count(func(r ReplicaLoad) bool { return r.Prefill && !r.Changing })
}

// Changing returns the number of replicas that are changing their role.
func (l *ServiceLoad) Changing() int {
	return l.count(func(r ReplicaLoad) bool { return r.Changing })
}

func (l *ServiceLoad) count(match func(ReplicaLoad) bool) int {
	total := 0
	for _, replica := range l.Replicas {
		if match(replica) {
			total++
		}
	}
	return total
}

// RoleChange moves one replica to the other role: prefill if ToPrefill is true, else decode.
type RoleChange struct {
	Replica   string
	ToPrefill bool
}

// ReversalPause is how long after the last change to prefill no prefill replica is
// moved back for high decode occupancy. The demand varies periodically, and each change
// makes a replica unavailable for seconds. The caller of Balance applies the pause by
// ServiceLoad.ReversalAllowed.
const ReversalPause = 20 * time.Second

// Thresholds and limits of Balance.
const (
	// minRequests is the value of ServiceLoad.Requests below which Balance changes
	// nothing, because the share of late requests says little about so few.
	minRequests = 150
	// morePrefillLateShare is the minimum share of late requests at which replicas move
	// to prefill.
	morePrefillLateShare = 0.15
	// sparePrefillLateShare is the maximum share of late requests at which a prefill
	// replica may move to decode because the decode slots are occupied.
	sparePrefillLateShare = 0.02
	// slowDecodeStart is the minimum value of ServiceLoad.DecodeStartShare at which
	// requests wait too long for decode and a replica moves to decode. Replicas move to
	// prefill only while the value is at most half of it.
	slowDecodeStart = 0.6
	// busyPrefillQueue is the minimum mean number of prompts at a prefill replica, the one being
	// read included, at which more of them help. With fewer, requests are late because a single
	// read takes too long, for instance while nothing is cached.
	busyPrefillQueue = 0.5
	// minDecodeShare is the share of all replicas below which moves to prefill must not
	// reduce the decode replicas.
	minDecodeShare = 1.0 / 3
	// moreDecodeOccupancy is the occupancy of the decode slots above which a replica moves
	// to decode. Moves to prefill must not raise the occupancy of the decode replicas that
	// remain above maxDecodeOccupancyAfterChange.
	moreDecodeOccupancy           = 0.75
	maxDecodeOccupancyAfterChange = 0.5
	// maxChangingShare is the share of the replicas that may change their role at once.
	maxChangingShare = 1.0 / 4
	// minSpeed and maxSpeed limit the speeds that count, whatever was measured.
	minSpeed = 0.4
	maxSpeed = 2.5
)

// Balance decides which replicas change their role. A change makes a replica
// unavailable for seconds and loses its KV cache. A change to prefill is therefore made
// only if late requests show that prefill is the bottleneck, and one to decode only if
// slow decode starts or occupied decode slots show that decode is.
//
// Invariants: no change removes the last replica of a role from a zone or leaves fewer
// than a third of all replicas, or of their capacity, in the decode role. At most a
// quarter of the replicas and of their capacity, or one replica if that is more, change
// their role at once.
func Balance(load ServiceLoad) []RoleChange {
	if load.Requests < minRequests {
		return nil
	}
	byRole := groupByRole(load.Replicas)
	switch {
	case load.DecodeStartShare >= slowDecodeStart:
		return byRole.changeToDecode()
	case load.LateShare >= morePrefillLateShare && load.DecodeStartShare <= slowDecodeStart/2 && (!load.SlownessReported || byRole.isPrefillBusy()):
		return byRole.changesToPrefill()
	case load.ReversalAllowed && load.LateShare <= sparePrefillLateShare && byRole.decodeOccupancy(byRole.decode) > moreDecodeOccupancy:
		return byRole.changeToDecode()
	default:
		return nil
	}
}

// replicasByRole holds the replicas of one service by their roles.
type replicasByRole struct {
	total    int
	capacity float64 // of all
	changing []ReplicaLoad
	prefill  []ReplicaLoad
	decode   []ReplicaLoad
}

func groupByRole(replicas []ReplicaLoad) *replicasByRole {
	p := &replicasByRole{total: len(replicas), capacity: capacity(replicas)}
	for _, replica := range replicas {
		switch {
		case replica.Changing:
			p.changing = append(p.changing, replica)
		case replica.Prefill:
			p.prefill = append(p.prefill, replica)
		default:
			p.decode = append(p.decode, replica)
		}
	}
	return p
}

// isPrefillBusy reports whether prompts queue at the prefill replicas.
func (p *replicasByRole) isPrefillBusy() bool {
	queued := 0
	for _, replica := range p.prefill {
		queued += replica.Queued
	}
	return float64(queued) >= busyPrefillQueue*float64(len(p.prefill))
}

// changeAllowance returns how many more replicas may change their role now; negative if
// more are changing than allowed.
func (p *replicasByRole) changeAllowance() int {
	return max(int(float64(p.total)*maxChangingShare), 1) - len(p.changing)
}

// allowsDecode reports whether only the given replicas may remain in the decode role: they
// have enough of the capacity and of free slots, and the capacity that changes its role is
// not too large. That limit does not apply if only one replica changes.
func (p *replicasByRole) allowsDecode(remaining []ReplicaLoad) bool {
	left := capacity(remaining)
	unavailable := capacity(p.changing) + capacity(p.decode) - left
	if len(p.changing)+len(p.decode)-len(remaining) > 1 && unavailable > p.capacity*maxChangingShare+speedTolerance {
		return false
	}
	return left >= p.capacity*minDecodeShare-speedTolerance && p.decodeOccupancy(remaining) <= maxDecodeOccupancyAfterChange
}

// speedTolerance allows for rounding in sums of speeds.
const speedTolerance = 1e-6

// decodeOccupancy returns the share of the decode slots that would be occupied if only the
// given decode replicas remained and took over the work in proportion to their speed; 0 if
// no slots are known or none remains.
func (p *replicasByRole) decodeOccupancy(remaining []ReplicaLoad) float64 {
	running, slots := 0, 0
	for _, replica := range p.decode {
		running += replica.Running
		slots += replica.Slots
	}
	left := capacity(remaining)
	if slots == 0 || left == 0 {
		return 0
	}
	return float64(running) * capacity(p.decode) / (float64(slots) * left)
}

// changesToPrefill returns as many moves to prefill as the limits allow, unlike
// changeToDecode, which returns at most one.
func (p *replicasByRole) changesToPrefill() []RoleChange {
	minDecode := int(math.Ceil(float64(p.total) * minDecodeShare))
	var changes []RoleChange
	remaining := slices.Clone(p.decode)
	for len(changes) < p.changeAllowance() && len(remaining) > minDecode {
		chosen := leastLoadedInLargestZone(remaining, func(r ReplicaLoad) int { return r.Running })
		remaining = slices.DeleteFunc(remaining, func(r ReplicaLoad) bool { return r.Name == chosen })
		if chosen == "" || !p.allowsDecode(remaining) {
			break
		}
		changes = append(changes, RoleChange{Replica: chosen, ToPrefill: true})
	}
	return changes
}

// changeToDecode returns one move to decode, or none if the limits forbid it.
func (p *replicasByRole) changeToDecode() []RoleChange {
	if p.changeAllowance() < 1 {
		return nil
	}
	chosen := leastLoadedInLargestZone(p.prefill, func(r ReplicaLoad) int { return r.Queued })
	if chosen == "" {
		return nil
	}
	return []RoleChange{{Replica: chosen, ToPrefill: false}}
}

// leastLoadedInLargestZone returns the name of the replica with the least work, relative to
// its speed, in the zone with the largest capacity of those zones that have more than one
// replica. It returns "" if there is no such zone.
func leastLoadedInLargestZone(replicas []ReplicaLoad, workOf func(ReplicaLoad) int) string {
	inZone, capacityOf := map[string]int{}, map[string]float64{}
	for _, replica := range replicas {
		inZone[replica.Zone]++
		capacityOf[replica.Zone] += replica.speed()
	}
	movable := slices.DeleteFunc(slices.Clone(replicas), func(r ReplicaLoad) bool { return inZone[r.Zone] < 2 })
	if len(movable) == 0 {
		return ""
	}
	timeOf := func(r ReplicaLoad) float64 { return float64(workOf(r)) / r.speed() }
	return slices.MinFunc(movable, func(a, b ReplicaLoad) int {
		return cmp.Or(cmp.Compare(capacityOf[b.Zone], capacityOf[a.Zone]), cmp.Compare(timeOf(a), timeOf(b)), cmp.Compare(a.Name, b.Name))
	}).Name
}
