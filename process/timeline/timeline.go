// Package timeline tells from the logs of all processes where the time went after an
// outage of the control group: for each leadership, when its members and proxies came up,
// when the leader served each proxy, when it knew what replicas keep, and when what it had
// to place was done again as fast as usual.
package timeline

import (
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/logline"
)

// startWindow is how long before a leadership a start still belongs to the same outage:
// longer than any election takes.
const startWindowBeforeElection = 10 * time.Second

// calmFactor is how many times its median over the leadership the backlog of reads may be
// where the backlog of an outage counts as gone.
const normalBacklogFactor = 2

// Phase is what happened to several processes or replicas: the first, the middle and the
// last one.
type Phase struct {
	Name                string
	Count               int
	First, Median, Last time.Time
}

// Leadership is one leader's time, and what led to it.
type Leadership struct {
	Leader string
	Term   string
	Began  time.Time
	// Phases come in the order of an outage; those in which nothing happened are left out.
	Phases []Phase
	// Calm is when the backlog of reads was no more than usual, zero if it never was.
	Calm time.Time
	// Worst is the longest mean backlog of reads that a line of the board shows before.
	Worst time.Duration
}

// Timeline is what the logs tell.
type Timeline struct {
	logline.Counts
	Leaderships []Leadership
}

// phases are the events that make a phase, in order; before says that they are looked
// for before the leadership, else during it.
var phases = []struct {
	name   string
	event  event.Event
	before bool
}{
	{"members start", event.ControlStarted, true},
	{"proxies start", event.IngressStarted, true},
	{"leader serves proxies", event.FeedServed, false},
	{"routes in force at proxies", event.IngressInForce, false},
	{"kept parts are known", event.KeptAsked, false},
}

// Reader gathers lines from any number of logs.
type Reader struct {
	timeline Timeline
	lines    []logline.Line
}

// Read takes in a log; source names it where its lines do not name a process.
// The error is that of the reader.
func (r *Reader) Read(log io.Reader, source string) error {
	return r.timeline.Each(log, source, r.collect)
}

func (r *Reader) collect(line logline.Line) {
	wanted := line.Event == event.ControlLeads.Number || line.Event == event.BoardShows.Number
	for _, phase := range phases {
		wanted = wanted || line.Event == phase.event.Number
	}
	if wanted {
		r.lines = append(r.lines, line)
	}
}

// Tell returns the timeline.
func (r *Reader) Tell() Timeline {
	slices.SortStableFunc(r.lines, func(a, b logline.Line) int { return a.Time.Compare(b.Time) })
	told := r.timeline
	leads := r.eventLines(event.ControlLeads)
	for i, line := range leads {
		end := time.Time{}
		if i+1 < len(leads) {
			end = leads[i+1].Time
		}
		told.Leaderships = append(told.Leaderships, r.leadership(line, end))
	}
	return told
}

func (r *Reader) eventLines(kind event.Event) []logline.Line {
	var lines []logline.Line
	for _, line := range r.lines {
		if line.Event == kind.Number {
			lines = append(lines, line)
		}
	}
	return lines
}

// leadership tells of the leader of the line, until end, zero for the end of the logs.
func (r *Reader) leadership(leads logline.Line, end time.Time) Leadership {
	made := Leadership{Leader: leads.Process, Term: leads.Value("term"), Began: leads.Time}
	for _, phase := range phases {
		from, until := leads.Time, end
		if phase.before {
			from, until = leads.Time.Add(-startWindowBeforeElection), leads.Time.Add(startWindowBeforeElection)
		}
		if found := phaseOf(phase.name, r.eventLines(phase.event), from, until); found.Count > 0 {
			made.Phases = append(made.Phases, found)
		}
	}
	made.findBacklogRecovery(r.eventLines(event.BoardShows), end)
	return made
}

// phaseOf gathers the first line of each process, or replica, between two times.
func phaseOf(name string, lines []logline.Line, from, until time.Time) Phase {
	made := Phase{Name: name}
	seen := map[string]bool{}
	var times []time.Time
	for _, line := range lines {
		who := line.Process + " " + line.Value("replica")
		if line.Time.Before(from) || !until.IsZero() && !line.Time.Before(until) || seen[who] {
			continue
		}
		seen[who] = true
		times = append(times, line.Time)
	}
	if made.Count = len(times); made.Count > 0 {
		made.First, made.Median, made.Last = times[0], times[made.Count/2], times[made.Count-1]
	}
	return made
}

// calm looks for the first line of the leader's board with a backlog no longer than
// usual, and for the longest before it.
func (l *Leadership) findBacklogRecovery(lines []logline.Line, end time.Time) {
	var shown []logline.Line
	var backlogs []time.Duration
	for _, line := range lines {
		inside := line.Process == l.Leader && !line.Time.Before(l.Began) && (end.IsZero() || line.Time.Before(end))
		if backlog, known := backlogOf(line); inside && known {
			shown = append(shown, line)
			backlogs = append(backlogs, backlog)
		}
	}
	if len(shown) == 0 {
		return
	}
	usual := slices.Clone(backlogs)
	slices.Sort(usual)
	for i, backlog := range backlogs {
		if backlog <= normalBacklogFactor*usual[len(usual)/2] {
			l.Calm = shown[i].Time
			return
		}
		l.Worst = max(l.Worst, backlog)
	}
}

func backlogOf(line logline.Line) (time.Duration, bool) {
	milliseconds, err := strconv.ParseInt(line.Value("read_ms"), 10, 64)
	return time.Duration(milliseconds) * time.Millisecond, err == nil
}
