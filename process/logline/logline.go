// Package logline parses the log lines that the daemons write: logfmt with at least the keys level,
// time and event. Lines that are truncated or in another format are skipped and counted.
package logline

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/pkg/errors"
)

// Line is one log line.
type Line struct {
	Time    time.Time
	Process string // the process that wrote the line
	Event   event.Number
	Name    string  // the event's name
	Fields  []Field // the other keys, in the order of the line; includes the process keys
}

// Field is a key with its value.
type Field struct{ Key, Value string }

// Value returns the value of a key, or an empty string if the line does not have it.
func (l *Line) Value(key string) string {
	for _, field := range l.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// maxLineBytes limits the bytes kept of a line; the rest is discarded.
const maxLineBytes = 1 << 20

// Counts holds the number of lines read and of those skipped as not parseable.
type Counts struct{ Lines, Skipped int }

// ForEachLine calls handle for each parsed line of the log and adds to the counts; source is the process
// name for lines that do not contain one. The returned error is a read error.
func (c *Counts) ForEachLine(log io.Reader, source string, handle func(Line)) error {
	reader := bufio.NewReaderSize(log, 64<<10)
	for {
		raw, err := readLine(reader)
		if len(raw) > 0 {
			c.handleLine(raw, source, handle)
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return errors.Wrap(err, "logline: read")
		}
	}
}

func (c *Counts) handleLine(raw []byte, source string, handle func(Line)) {
	c.Lines++
	line, ok := parse(raw, source)
	if !ok {
		c.Skipped++
		return
	}
	handle(line)
}

// readLine returns the next line without its line ending, limited to maxLineBytes.
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

// Keys that have a field in Line or, as the level, are ignored.
const (
	keyLevel = "level"
	keyTime  = "time"
	keyEvent = "event"
	keyName  = "name"
)

// processKeys are the keys that may hold the process name, in order of precedence.
var processKeys = []string{"node", "member", "proxy", "relay"}

// parse parses a line. It ignores anything before the level key, such as a prefix that a log
// collector added. It returns false for a line without a level, a valid time and event number, or
// with invalid logfmt.
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

// set stores a key's value. A time or event number that cannot be parsed stays zero, which parse
// rejects; the level is not kept.
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
