package placement

import (
	"slices"
	"time"
)

// Summary is a snapshot of a service's board, with the replies to Place since the previous
// summary.
type Summary struct {
	InFlight int     // placed requests that have not ended
	Late     float64 // share of recent requests with an objective that could not be placed in time
	// Readers and Generators are the loads of the replicas of each role, without those that are
	// leaving or changing their role.
	Readers    RoleLoad
	Generators RoleLoad
	// Cold counts the replicas that have fewer than minWarmParts parts cached, Suspect those
	// that are avoided while others are left, since they gave no response or refused a request.
	// Banned counts those that get no requests, since they are no longer at their listed address, and
	// Isolated those that are set aside for requests that may crash replicas.
	Cold     int
	Suspect  int
	Banned   int
	Isolated int
	// Ramping counts the replicas whose requests in flight are limited by a ramp; see package rampup.
	Ramping int
	// Handover is the time from the end of the transfer of a prompt's KV cache to the first
	// token. It does not include the transfer, unlike the handover of router.Speed.
	Handover time.Duration
	// StaleSlowness counts the replicas in Readers and Generators whose slowness is not known, since they have reported
	// none or not recently; 0 if the service reports no slowness.
	StaleSlowness int
	Answers       Answers
}

// RoleLoad is the work of the replicas of one role.
type RoleLoad struct {
	Replicas     int
	Running      int           // requests in flight with a replica of the role as their generator
	MeanBacklog  time.Duration // mean time to read the queued prompts
	MaxBacklog   time.Duration // longest time to read the queued prompts
	ReadOverhead time.Duration // fixed time of a read
	PerToken     time.Duration // time per token of a read
	// Factors holds the factor on these times for each replica, in no particular order; empty if the
	// service reports no slowness.
	Factors []float64
}

// Answers counts the replies of a board to Place.
type Answers struct {
	Placed   int
	Split    int // of the placed: with a separate reader
	Fetched  int // of the placed: with a fetch of cached parts
	Deferred int // of the placed: deferred, that is, read after all others
	Waits    int
	Refused  int
	Unread   int // tokens of the placed requests that had to be read
	// MemoryShort counts the waits and refusals because no generator had KV memory for the request.
	MemoryShort int
}

// add counts one reply.
func (a *Answers) add(given *Answer) {
	switch {
	case given.Refused:
		a.Refused++
		return
	case given.Wait > 0:
		a.Waits++
		return
	case given.Generator == "":
		return
	}
	a.Placed++
	a.Unread += given.UnreadTokens
	a.Split += boolToInt(given.Reader != "")
	a.Fetched += boolToInt(given.FetchFrom != "")
	a.Deferred += boolToInt(given.Deferred)
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// Summarize returns a summary and resets the counts of replies.
func (b *Board) Summarize(now time.Duration) Summary {
	summary := Summary{
		InFlight: len(b.inFlight),
		Late:     b.lateness.value(now),
		Cold:     len(b.ColdReplicas()),
		Isolated: len(b.isolation.isolated),
		Ramping:  len(b.ramps.active),
		Handover: b.decodeStartTime,
		Answers:  b.answers,
	}
	b.answers = Answers{}
	for _, name := range b.names {
		known := b.replicas[name]
		summary.Suspect += boolToInt(known.isSuspected(now))
		summary.Banned += boolToInt(known.isBanned(now))
		if known.isLeaving() || b.isChanging(now, known) {
			continue
		}
		load := &summary.Generators
		if known.Role == RolePrefill {
			load = &summary.Readers
		}
		load.add(known.backlog(now, b.tokenTime(now, known), lastInQueue), len(known.running))
		if b.ReportsSlowness() {
			load.Factors = append(load.Factors, known.speed.factor(now))
			summary.StaleSlowness += boolToInt(known.speed.knownSlowness(now) == 0)
		}
	}
	b.completeLoad(&summary.Generators, RoleDecode)
	b.completeLoad(&summary.Readers, RolePrefill)
	return summary
}

// add adds one replica.
func (l *RoleLoad) add(backlog time.Duration, running int) {
	l.Replicas++
	l.Running += running
	l.MeanBacklog += backlog // a sum until completeLoad divides it
	l.MaxBacklog = max(l.MaxBacklog, backlog)
}

// FactorRange returns the lowest, the mean and the highest factor of the replicas, or 1 if there are none.
func (l *RoleLoad) FactorRange() (lowest, mean, highest float64) {
	if len(l.Factors) == 0 {
		return 1, 1, 1
	}
	for _, factor := range l.Factors {
		mean += factor / float64(len(l.Factors))
	}
	return slices.Min(l.Factors), mean, slices.Max(l.Factors)
}

// completeLoad turns the sum of backlogs into a mean and adds the read times.
func (b *Board) completeLoad(l *RoleLoad, role Role) {
	if l.Replicas > 0 {
		l.MeanBacklog /= time.Duration(l.Replicas)
	}
	l.ReadOverhead, l.PerToken = b.readTimes[role].fixed(), b.readTimes[role].perToken()
}
