// Package timeline reconstructs, from the logs of all processes, how the system recovered after an
// outage of the control group. For each leadership, the period of one leader of the group, it shows
// when members and proxies started, when the leader began to serve each proxy, when it learned
// which parts of prompts the replicas keep, and when the mean time to read the queued prompts was
// back to normal.
package timeline

import (
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/logline"
)

// startWindow is the longest time between a process start and the beginning of a leadership for the
// start to count for the same outage. It is longer than any election.
const startWindow = 10 * time.Second

// normalBacklogFactor times the leadership's median read backlog is the highest backlog that counts
// as back to normal.
const normalBacklogFactor = 2

// Phase is a recovery step of several processes or replicas, with the first, median and last time
// at which one of them reached it. For an even Count, Median is the later middle time.
type Phase struct {
	Name                string
	Count               int
	First, Median, Last time.Time
}

// Leadership describes the period of one leader and the process starts around it.
type Leadership struct {
	Leader string // process name
	Term   string
	Began  time.Time
	// Phases are in recovery order, without those that have no events.
	Phases []Phase
	// BacklogNormalAt is when the read backlog was back to normal, or zero if none was logged.
	BacklogNormalAt time.Time
	// MaxBacklog is the longest mean read backlog over the replicas that the leader logged before
	// BacklogNormalAt, zero if there was none.
	MaxBacklog time.Duration
}

// Timeline is the result for all leaderships in the logs.
type Timeline struct {
	logline.Counts
	Leaderships []Leadership
}

// phases lists the event of each phase, in order. With aroundStart set, events are searched around
// the beginning of the leadership, otherwise during it.
var phases = []struct {
	name        string
	event       event.Event
	aroundStart bool
}{
	{"members start", event.ControlStarted, true},
	{"proxies start", event.IngressStarted, true},
	{"leader serves proxies", event.FeedServed, false},
	{"routes in force at proxies", event.IngressInForce, false},
	{"kept parts are known", event.KeptAsked, false},
}

// Reader collects lines from any number of logs.
type Reader struct {
	timeline Timeline
	lines    []logline.Line
}

// Read adds a log; source is the process name for lines that do not contain one. The returned error
// is a read error.
func (r *Reader) Read(log io.Reader, source string) error {
	return r.timeline.ForEachLine(log, source, r.collect)
}

// collect keeps a line that the timeline uses.
func (r *Reader) collect(line logline.Line) {
	relevant := line.Event == event.ControlLeads.Number || line.Event == event.BoardShows.Number
	for _, phase := range phases {
		relevant = relevant || line.Event == phase.event.Number
	}
	if relevant {
		r.lines = append(r.lines, line)
	}
}

// Timeline returns the timeline of all logs read.
func (r *Reader) Timeline() Timeline {
	slices.SortStableFunc(r.lines, func(a, b logline.Line) int { return a.Time.Compare(b.Time) })
	result := r.timeline
	leaderLines := r.eventLines(event.ControlLeads)
	for i, line := range leaderLines {
		end := time.Time{}
		if i+1 < len(leaderLines) {
			end = leaderLines[i+1].Time
		}
		result.Leaderships = append(result.Leaderships, r.leadership(line, end))
	}
	return result
}

// eventLines returns the collected lines of an event.
func (r *Reader) eventLines(kind event.Event) []logline.Line {
	var lines []logline.Line
	for _, line := range r.lines {
		if line.Event == kind.Number {
			lines = append(lines, line)
		}
	}
	return lines
}

// leadership returns the leadership that begins with the line start and lasts until end. A zero end
// stands for the end of the logs.
func (r *Reader) leadership(start logline.Line, end time.Time) Leadership {
	leadership := Leadership{Leader: start.Process, Term: start.Value("term"), Began: start.Time}
	for _, phase := range phases {
		from, until := start.Time, end
		if phase.aroundStart {
			from, until = start.Time.Add(-startWindow), start.Time.Add(startWindow)
		}
		if found := newPhase(phase.name, r.eventLines(phase.event), from, until); found.Count > 0 {
			leadership.Phases = append(leadership.Phases, found)
		}
	}
	leadership.findBacklogRecovery(r.eventLines(event.BoardShows), end)
	return leadership
}

// newPhase builds a phase from the first line of each pair of process and replica in [from, until).
func newPhase(name string, lines []logline.Line, from, until time.Time) Phase {
	phase := Phase{Name: name}
	seen := map[string]bool{}
	var times []time.Time
	for _, line := range lines {
		origin := line.Process + " " + line.Value("replica")
		if line.Time.Before(from) || !until.IsZero() && !line.Time.Before(until) || seen[origin] {
			continue
		}
		seen[origin] = true
		times = append(times, line.Time)
	}
	if phase.Count = len(times); phase.Count > 0 {
		phase.First, phase.Median, phase.Last = times[0], times[phase.Count/2], times[phase.Count-1]
	}
	return phase
}

// findBacklogRecovery sets BacklogNormalAt to the time of the leader's first line with a normal read
// backlog (see normalBacklogFactor), and MaxBacklog to the longest backlog before it.
func (l *Leadership) findBacklogRecovery(lines []logline.Line, end time.Time) {
	var backlogLines []logline.Line
	var backlogs []time.Duration
	for _, line := range lines {
		inLeadership := line.Process == l.Leader && !line.Time.Before(l.Began) && (end.IsZero() || line.Time.Before(end))
		if backlog, known := backlogOf(line); inLeadership && known {
			backlogLines = append(backlogLines, line)
			backlogs = append(backlogs, backlog)
		}
	}
	if len(backlogLines) == 0 {
		return
	}
	sorted := slices.Clone(backlogs)
	slices.Sort(sorted)
	for i, backlog := range backlogs {
		if backlog <= normalBacklogFactor*sorted[len(sorted)/2] {
			l.BacklogNormalAt = backlogLines[i].Time
			return
		}
		l.MaxBacklog = max(l.MaxBacklog, backlog)
	}
}

// backlogOf returns the mean read backlog of a line, logged in milliseconds as read_ms.
func backlogOf(line logline.Line) (time.Duration, bool) {
	milliseconds, err := strconv.ParseInt(line.Value("read_ms"), 10, 64)
	return time.Duration(milliseconds) * time.Millisecond, err == nil
}
