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
	Line   logline.Line
	States []State
}

// State is the latest line of one state event that the process had logged by then.
type State struct {
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

// Builder collects lines from any number of logs.
type Builder struct {
	request string
	lines   []logline.Line
	story   Story
}

// New returns a Builder for the request ID.
func New(request string) *Builder {
	return &Builder{request: request, story: Story{Request: request}}
}

// Read adds a log to those read before; source is the process name for lines that do not contain
// one. The returned error is a read error. Read is not safe for concurrent use.
func (b *Builder) Read(log io.Reader, source string) error {
	return b.story.ForEachLine(log, source, b.collect)
}

// collect keeps a line that contains the request ID or reports a state change.
func (b *Builder) collect(line logline.Line) {
	if line.Value(requestKey) == b.request || isStateEvent(line.Event) {
		b.lines = append(b.lines, line)
	}
}

func isStateEvent(number event.Number) bool {
	return slices.ContainsFunc(stateEvents, func(e event.Event) bool { return e.Number == number })
}

// Build returns the story with its entries sorted by time, which compares the clocks of different
// processes. A line with the request ID is an entry and never counts as state.
func (b *Builder) Build() Story {
	slices.SortStableFunc(b.lines, func(x, y logline.Line) int { return x.Time.Compare(y.Time) })
	story := b.story
	latest := map[string]map[event.Number]logline.Line{}
	for _, line := range b.lines {
		if line.Value(requestKey) == b.request {
			story.Entries = append(story.Entries, Entry{Line: line, States: statesAt(latest[line.Process], line.Time)})
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
func statesAt(latest map[event.Number]logline.Line, at time.Time) []State {
	states := make([]State, 0, len(latest))
	for _, line := range latest {
		states = append(states, State{Line: line, Age: at.Sub(line.Time)})
	}
	slices.SortFunc(states, func(a, b State) int {
		if a.Age != b.Age {
			return int(a.Age - b.Age)
		}
		return int(a.Line.Event - b.Line.Event)
	})
	return states
}
