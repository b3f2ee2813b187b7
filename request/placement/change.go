package placement

import "time"

// change is a replica that was told to take another role. Nothing is placed on
// it until it has done so; what is listed of it lags.
type change struct {
	role    Role
	readyAt time.Duration // when it has the role at the earliest
	overAt  time.Duration // when it is taken for what it is listed as
}

// Change keeps requests off a replica that is about to take the role. It takes
// so long at least; if it is not listed with the role after overAfter, it is
// taken for what it is listed as.
func (b *Board) Change(now time.Duration, name string, role Role, takes, overAfter time.Duration) {
	b.changes[name] = change{role: role, readyAt: now + takes, overAt: now + overAfter}
}

// isChanging reports whether the replica takes no requests because of a change.
func (b *Board) isChanging(now time.Duration, r *replica) bool {
	under, found := b.changes[r.Name]
	if !found {
		return false
	}
	if now < under.readyAt || r.Role != under.role && now < under.overAt {
		return true
	}
	delete(b.changes, r.Name)
	return false
}

// Occupancy is what the board knows of one replica's work.
type Occupancy struct {
	Replica
	Running  int // requests that have begun to make tokens there
	Queued   int // prompts that wait to be read there
	Changing bool
}

// Occupancies returns the work of all replicas that stay, by name.
func (b *Board) Occupancies(now time.Duration) []Occupancy {
	var all []Occupancy
	for _, name := range b.names {
		known := b.replicas[name]
		if known.isLeaving() {
			continue
		}
		shown := Occupancy{Replica: known.Replica, Queued: len(known.queue), Changing: b.isChanging(now, known)}
		for p := range known.running {
			if p.started {
				shown.Running++
			}
		}
		all = append(all, shown)
	}
	return all
}

// Idle reports whether nothing that was placed on the replica is under way.
func (b *Board) Idle(name string) bool {
	known := b.replicas[name]
	return known == nil || len(known.running)+len(known.queue) == 0
}

// objective is the mean objective of the requests placed lately.
type objective time.Duration

// objectiveWeight is the weight of the last one.
const objectiveWeight = 0.05

func (o *objective) note(next time.Duration) {
	if *o == 0 {
		*o = objective(next)
	}
	*o += objective(objectiveWeight * float64(next-time.Duration(*o)))
}

// Starting returns which part of the mean objective it takes from a read and
// moved prompt to its first token: it grows when the generators have too much to do.
func (b *Board) Starting() float64 {
	if b.objective == 0 {
		return 0
	}
	return float64(b.startTime) / float64(b.objective)
}
