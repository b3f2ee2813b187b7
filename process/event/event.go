// Package event numbers every event that a daemon logs. The catalogue in
// docs/EVENTS.md lists the same numbers; a test keeps the two equal.
package event

import (
	"sort"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Number identifies an event for all time; numbers are never used again.
type Number int

// Severity is how much attention an event asks for.
type Severity uint8

// Severities of events.
const (
	Debug Severity = iota
	Info
	Warn
	Error
)

// Event is one kind of log line.
type Event struct {
	Number   Number
	Name     string // short, in snake_case
	Severity Severity
	// Meaning says what happened, Action what an operator should do, if anything.
	Meaning string
	Action  string
}

var catalogue = map[Number]Event{}

// define registers an event when the process starts; a number used twice is a
// broken invariant.
func define(number Number, name string, severity Severity, meaning, action string) Event {
	if _, used := catalogue[number]; used {
		panic("event: number defined twice")
	}
	defined := Event{Number: number, Name: name, Severity: severity, Meaning: meaning, Action: action}
	catalogue[number] = defined
	return defined
}

// routine holds the numbers of events that come with every request that goes
// well. Their lines may be thinned out.
var routine = map[Number]bool{}

// defineRoutine is define for an event that comes with every request.
func defineRoutine(number Number, name, meaning string) Event {
	routine[number] = true
	return define(number, name, Info, meaning, "")
}

// IsRoutine reports whether the keys and values are those of a routine event's
// line.
func IsRoutine(keyvals []any) bool {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == "event" {
			number, ok := keyvals[i+1].(int)
			return ok && routine[Number(number)]
		}
	}
	return false
}

// Catalogue returns every event, ordered by number.
func Catalogue() []Event {
	events := make([]Event, 0, len(catalogue))
	for _, defined := range catalogue {
		events = append(events, defined)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// Log writes one line for the event with its number, name and the key-value pairs.
func (e Event) Log(logger log.Logger, keyvals ...any) {
	leveled := e.leveled(logger)
	line := append([]any{"event", int(e.Number), "name", e.Name}, keyvals...)
	// A log that cannot be written must not stop the daemon.
	_ = leveled.Log(line...)
}

func (e Event) leveled(logger log.Logger) log.Logger {
	switch e.Severity {
	case Debug:
		return level.Debug(logger)
	case Warn:
		return level.Warn(logger)
	case Error:
		return level.Error(logger)
	default:
		return level.Info(logger)
	}
}
