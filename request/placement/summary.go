package placement

import "time"

// Summary is what a board shows of a service at one moment, and what it has
// answered since the summary before.
type Summary struct {
	InFlight int     // placed requests that are not over
	Late     float64 // share of the requests with an objective that could not be placed in time lately
	// Readers and Generators are the replicas of each role that may take requests.
	Readers    Load
	Generators Load
	// Cold counts the replicas of which next to nothing is known to be kept,
	// Suspect those that are passed over where others are left.
	Cold    int
	Suspect int
	// Handover is the time from a read prompt's move to its first token.
	Handover time.Duration
	Answers  Answers
}

// Load is the work of the replicas of one role.
type Load struct {
	Replicas int
	Running  int           // requests that run there or are meant to
	Mean     time.Duration // mean time to read what is queued
	Most     time.Duration // the longest of these
	Start    time.Duration // time to begin with a prompt
	PerToken time.Duration // time to read one token of it
}

// Answers counts what the board has answered.
type Answers struct {
	Placed   int
	Split    int // of the placed: read apart from where they run
	Fetched  int // of the placed: with a fetch of kept parts
	Deferred int // of the placed
	Waits    int
	Refused  int
	Unread   int // tokens that the placed requests had still to have read
}

// count takes in one answer.
func (a *Answers) count(given *Answer) {
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
	a.Unread += given.Unread
	a.Split += oneIf(given.Reader != "")
	a.Fetched += oneIf(given.Fetch != "")
	a.Deferred += oneIf(given.Deferred)
}

func oneIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// Summarize returns what the board shows now, and counts its answers anew.
func (b *Board) Summarize(now time.Duration) Summary {
	made := Summary{
		InFlight: len(b.placed),
		Late:     b.lateness.value(now),
		Cold:     len(b.Cold()),
		Handover: b.startTime,
		Answers:  b.answers,
	}
	b.answers = Answers{}
	for _, name := range b.names {
		known := b.replicas[name]
		made.Suspect += oneIf(known.isDoubted(now))
		if known.isLeaving() || b.isChanging(now, known) {
			continue
		}
		load := &made.Generators
		if known.Role == RolePrefill {
			load = &made.Readers
		}
		load.add(known.backlog(now, b.paces[known.Role].perToken(), leastUrgent), len(known.running))
	}
	b.finish(&made.Generators, RoleDecode)
	b.finish(&made.Readers, RolePrefill)
	return made
}

// add takes in one replica.
func (l *Load) add(backlog time.Duration, running int) {
	l.Replicas++
	l.Running += running
	l.Mean += backlog // the sum, until finish
	l.Most = max(l.Most, backlog)
}

// finish turns the sum into a mean and adds the pace.
func (b *Board) finish(l *Load, role Role) {
	if l.Replicas > 0 {
		l.Mean /= time.Duration(l.Replicas)
	}
	l.Start, l.PerToken = b.paces[role].start(), b.paces[role].perToken()
}
