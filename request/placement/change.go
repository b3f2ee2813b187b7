package placement

import "time"

// roleChange is a role change that a replica was told to make. The replica gets no requests
// until the change is done, since its listed role lags behind.
type roleChange struct {
	role      Role
	readyAt   time.Duration // earliest time at which the change can be done
	expiresAt time.Duration // time from which the listed role is used in any case
}

// BeginRoleChange keeps requests off a replica that is changing to the role, for at least
// minDuration and until it is listed with the role. After timeout its listed role is used in any
// case.
func (b *Board) BeginRoleChange(now time.Duration, name string, role Role, minDuration, timeout time.Duration) {
	b.changes[name] = roleChange{role: role, readyAt: now + minDuration, expiresAt: now + timeout}
}

// isChanging reports whether the replica gets no requests because of a role change. It deletes a
// change that is done or has timed out.
func (b *Board) isChanging(now time.Duration, r *replica) bool {
	pending, found := b.changes[r.Name]
	if !found {
		return false
	}
	if now < pending.readyAt || r.Role != pending.role && now < pending.expiresAt {
		return true
	}
	delete(b.changes, r.Name)
	return false
}

// Occupancy is the work of one replica.
type Occupancy struct {
	Replica
	Running  int // requests that have had their first token, unlike Load.Running
	Queued   int // prompts in the read queue
	Changing bool
	Speed    float64 // in the long run, relative to the mean of its role; 1 if the service reports no slowness
}

// Occupancies returns the work of all replicas that are not leaving, sorted by name.
func (b *Board) Occupancies(now time.Duration) []Occupancy {
	var all []Occupancy
	for _, name := range b.names {
		known := b.replicas[name]
		if known.isLeaving() {
			continue
		}
		occupancy := Occupancy{Replica: known.Replica, Queued: len(known.queue), Changing: b.isChanging(now, known), Speed: 1}
		if b.ReportsSlowness() {
			occupancy.Speed = 1 / known.speed.lasting
		}
		for p := range known.running {
			if p.started {
				occupancy.Running++
			}
		}
		all = append(all, occupancy)
	}
	return all
}

// IsIdle reports whether the replica has no requests in flight. This is true of a replica that is
// not listed.
func (b *Board) IsIdle(name string) bool {
	known := b.replicas[name]
	return known == nil || len(known.running)+len(known.queue) == 0
}

// meanObjective is a moving average of the objectives of placed requests.
type meanObjective time.Duration

// objectiveWeight is the weight of the latest objective in the average.
const objectiveWeight = 0.05

// add adds an objective to the average; the first one becomes the average.
func (o *meanObjective) add(next time.Duration) {
	if *o == 0 {
		*o = meanObjective(next)
	}
	*o += meanObjective(objectiveWeight * float64(next-time.Duration(*o)))
}

// DecodeStartShare returns the time from the transfer of a prompt to the first token
// (decodeStartTime) as a share of the mean objective, or 0 if no request had an objective. It rises
// when the generators are overloaded.
func (b *Board) DecodeStartShare() float64 {
	if b.objective == 0 {
		return 0
	}
	return float64(b.decodeStartTime) / float64(b.objective)
}
