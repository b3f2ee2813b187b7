// Package story puts together, from the logs of many processes, what became of
// one request: the lines that name it, and beside each of them what its process
// believed then and how old that belief was. Lines that are torn or foreign are
// passed over and counted.
package story

import (
	"io"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/logline"
)

// keyRequest is the field of a line that names its request.
const requestKey = "request"

// Entry is a line of the request with what its process believed when it wrote it.
type Entry struct {
	Line    logline.Line
	Beliefs []Belief
}

// Belief is the last line of one kind that the process wrote before.
type Belief struct {
	Line logline.Line
	Age  time.Duration
}

// Story is what the logs say of a request.
type Story struct {
	Request string
	Entries []Entry
	logline.Counts
}

// beliefs are the events by which a process changes what it believes.
var stateEvents = []event.Event{
	event.IngressStarted, event.IngressInForce, event.IngressDraining, event.FeedDisconnected, event.FeedServed,
	event.ControlLeads, event.ControlRole, event.FleetChanged, event.FleetUnusable, event.FleetReadable, event.IngressReplaced,
	event.FeedStandby, event.FeedStandbyEnded, event.LinesDropped,
}

// Teller gathers lines from any number of logs.
type Teller struct {
	request string
	lines   []logline.Line
	story   Story
}

// New returns a Teller of the request with the ID.
func New(request string) *Teller {
	return &Teller{request: request, story: Story{Request: request}}
}

// Read takes in a log; source names it where its lines do not name a process.
// The error is that of the reader.
func (t *Teller) Read(log io.Reader, source string) error {
	return t.story.Each(log, source, t.collect)
}

// take keeps a line if it names the request or changes a belief.
func (t *Teller) collect(line logline.Line) {
	if line.Value(requestKey) == t.request || isStateEvent(line.Event) {
		t.lines = append(t.lines, line)
	}
}

func isStateEvent(number event.Number) bool {
	return slices.ContainsFunc(stateEvents, func(e event.Event) bool { return e.Number == number })
}

// Tell returns the story, its entries in the order of their times.
func (t *Teller) Tell() Story {
	slices.SortStableFunc(t.lines, func(a, b logline.Line) int { return a.Time.Compare(b.Time) })
	told := t.story
	latest := map[string]map[event.Number]logline.Line{}
	for _, line := range t.lines {
		if line.Value(requestKey) == t.request {
			told.Entries = append(told.Entries, Entry{Line: line, Beliefs: statesAt(latest[line.Process], line.Time)})
			continue
		}
		if latest[line.Process] == nil {
			latest[line.Process] = map[event.Number]logline.Line{}
		}
		latest[line.Process][line.Event] = line
	}
	return told
}

// beliefsAt lists the last line of each kind, the latest first.
func statesAt(latest map[event.Number]logline.Line, now time.Time) []Belief {
	held := make([]Belief, 0, len(latest))
	for _, line := range latest {
		held = append(held, Belief{Line: line, Age: now.Sub(line.Time)})
	}
	slices.SortFunc(held, func(a, b Belief) int {
		if a.Age != b.Age {
			return int(a.Age - b.Age)
		}
		return int(a.Line.Event - b.Line.Event)
	})
	return held
}
