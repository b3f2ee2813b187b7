// Package story puts together, from the logs of many processes, what became of
// one request: the lines that name it, and beside each of them what its process
// believed then and how old that belief was. Lines that are torn or foreign are
// passed over and counted.
package story

import (
	"bufio"
	"bytes"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/pkg/errors"
)

// Line is one log line.
type Line struct {
	Time    time.Time
	Process string // who wrote it
	Event   event.Number
	Name    string
	Fields  []Field // all others, in order
}

// Field is one key with its value.
type Field struct{ Key, Value string }

// Value returns the value of a key, empty if it is not there.
func (l *Line) Value(key string) string {
	for _, field := range l.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// Entry is a line of the request with what its process believed when it wrote it.
type Entry struct {
	Line    Line
	Beliefs []Belief
}

// Belief is the last line of one kind that the process wrote before.
type Belief struct {
	Line Line
	Age  time.Duration
}

// Story is what the logs say of a request.
type Story struct {
	Request string
	Entries []Entry
	// Lines is how many lines were read, Passed how many of them were no log
	// lines of ours.
	Lines  int
	Passed int
}

// beliefs are the events by which a process changes what it believes.
var beliefs = []event.Event{
	event.IngressStarted, event.IngressInForce, event.IngressDraining, event.FeedDisconnected, event.FeedServed,
	event.ControlLeads, event.ControlRole, event.FleetChanged, event.FleetUnusable, event.FleetReadable, event.IngressReplaced,
	event.FeedStandby, event.FeedStandbyEnded, event.LinesDropped,
}

// maxLineBytes bounds a line; longer ones are passed over.
const maxLineBytes = 1 << 20

// Teller gathers lines from any number of logs.
type Teller struct {
	request string
	lines   []Line
	story   Story
}

// New returns a Teller of the request with the ID.
func New(request string) *Teller {
	return &Teller{request: request, story: Story{Request: request}}
}

// Read takes in a log; source names it where its lines do not name a process.
// The error is that of the reader.
func (t *Teller) Read(log io.Reader, source string) error {
	reader := bufio.NewReaderSize(log, 64<<10)
	for {
		raw, err := readLine(reader)
		if len(raw) > 0 {
			t.take(raw, source)
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return errors.Wrap(err, "story: read")
		}
	}
}

// readLine returns the next line without its end, cut at the bound.
func readLine(reader *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := reader.ReadSlice('\n')
		if len(line)+len(part) <= maxLineBytes {
			line = append(line, part...)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return bytes.TrimRight(line, "\r\n"), err
		}
	}
}

// take keeps a line if it names the request or changes a belief.
func (t *Teller) take(raw []byte, source string) {
	t.story.Lines++
	line, ok := parse(raw, source)
	if !ok {
		t.story.Passed++
		return
	}
	if line.Value(keyRequest) == t.request || isBelief(line.Event) {
		t.lines = append(t.lines, line)
	}
}

// Keys of log lines.
const (
	keyLevel   = "level"
	keyTime    = "time"
	keyEvent   = "event"
	keyName    = "name"
	keyRequest = "request"
)

// processKeys name the process, in the order in which they are asked for.
var processKeys = []string{"node", "member", "proxy", "relay"}

// parse reads a line. What stands before its first key, as collectors of logs put
// it there, is passed over.
func parse(raw []byte, source string) (Line, bool) {
	start := bytes.Index(raw, []byte(keyLevel+"="))
	if start < 0 {
		return Line{}, false
	}
	line := Line{Process: source}
	decoder := logfmt.NewDecoder(bytes.NewReader(raw[start:]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.set(string(decoder.Key()), string(decoder.Value()))
		}
	}
	if decoder.Err() != nil || line.Event == 0 || line.Time.IsZero() {
		return Line{}, false
	}
	for _, key := range processKeys {
		if name := line.Value(key); name != "" {
			line.Process = name
			break
		}
	}
	return line, true
}

func (l *Line) set(key, value string) {
	switch key {
	case keyLevel:
	case keyTime:
		l.Time, _ = time.Parse(time.RFC3339Nano, value)
	case keyEvent:
		number, _ := strconv.Atoi(value)
		l.Event = event.Number(number)
	case keyName:
		l.Name = value
	default:
		l.Fields = append(l.Fields, Field{Key: key, Value: value})
	}
}

func isBelief(number event.Number) bool {
	return slices.ContainsFunc(beliefs, func(e event.Event) bool { return e.Number == number })
}

// Tell returns the story, its entries in the order of their times.
func (t *Teller) Tell() Story {
	slices.SortStableFunc(t.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	told := t.story
	latest := map[string]map[event.Number]Line{}
	for _, line := range t.lines {
		if line.Value(keyRequest) == t.request {
			told.Entries = append(told.Entries, Entry{Line: line, Beliefs: beliefsAt(latest[line.Process], line.Time)})
			continue
		}
		if latest[line.Process] == nil {
			latest[line.Process] = map[event.Number]Line{}
		}
		latest[line.Process][line.Event] = line
	}
	return told
}

// beliefsAt lists the last line of each kind, the latest first.
func beliefsAt(latest map[event.Number]Line, now time.Time) []Belief {
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
