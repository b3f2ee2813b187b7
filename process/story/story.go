// Package story reconstructs the history of one request from the logs of many processes. It lists
// the lines that contain the request ID, each with the latest state that its process had logged by
// then and the age of that state. Lines that are truncated or in another format are skipped and
// counted.
package story

import (
	"io"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/logline"
)

// requestKey is the log key of the request ID.
const requestKey = "request"

// Entry is a log line of the request with the state of its process at that time, as the latest line
// of each state event, most recent first.
type Entry struct {
	Line    logline.Line
	Beliefs []Belief
}

// Belief is the latest line of one state event that the process had logged by then.
type Belief struct {
	Line logline.Line
	Age  time.Duration // from Line to the entry's line, both by the clock of the process
}

// Story is the logged history of a request.
type Story struct {
	Request string
	Entries []Entry
	logline.Counts
}

// stateEvents are the events whose latest line describes the state of a process, such as its
// configuration, role and connections.
var stateEvents = []event.Event{
	event.IngressStarted, event.IngressInForce, event.IngressDraining, event.FeedDisconnected, event.FeedServed,
	event.ControlLeads, event.ControlRole, event.FleetChanged, event.FleetUnusable, event.FleetReadable, event.IngressReplaced,
	event.FeedStandby, event.FeedStandbyEnded, event.LinesDropped,
}

// Teller collects lines from any number of logs.
type Teller struct {
	request string
	lines   []logline.Line
	story   Story
}

// New returns a Teller for the request ID.
func New(request string) *Teller {
	return &Teller{request: request, story: Story{Request: request}}
}

// Read adds a log to those read before; source is the process name for lines that do not contain
// one. The returned error is a read error. Read is not safe for concurrent use.
func (t *Teller) Read(log io.Reader, source string) error {
	return t.story.Each(log, source, t.collect)
}

// collect keeps a line that contains the request ID or reports a state change.
func (t *Teller) collect(line logline.Line) {
	if line.Value(requestKey) == t.request || isStateEvent(line.Event) {
		t.lines = append(t.lines, line)
	}
}

func isStateEvent(number event.Number) bool {
	return slices.ContainsFunc(stateEvents, func(e event.Event) bool { return e.Number == number })
}

// Tell returns the story with its entries sorted by time, which compares the clocks of different
// processes. A line with the request ID is an entry and never counts as state.
func (t *Teller) Tell() Story {
	slices.SortStableFunc(t.lines, func(a, b logline.Line) int { return a.Time.Compare(b.Time) })
	story := t.story
	latest := map[string]map[event.Number]logline.Line{}
	for _, line := range t.lines {
		if line.Value(requestKey) == t.request {
			story.Entries = append(story.Entries, Entry{Line: line, Beliefs: statesAt(latest[line.Process], line.Time)})
			continue
		}
		if latest[line.Process] == nil {
			latest[line.Process] = map[event.Number]logline.Line{}
		}
		latest[line.Process][line.Event] = line
	}
	return story
}

// statesAt returns the latest line of each state event, most recent first.
func statesAt(latest map[event.Number]logline.Line, at time.Time) []Belief {
	states := make([]Belief, 0, len(latest))
	for _, line := range latest {
		states = append(states, Belief{Line: line, Age: at.Sub(line.Time)})
	}
	slices.SortFunc(states, func(a, b Belief) int {
		if a.Age != b.Age {
			return int(a.Age - b.Age)
		}
		return int(a.Line.Event - b.Line.Event)
	})
	return states
}
