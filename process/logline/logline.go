// Package logline reads the log lines that the daemons write. Lines that are torn or
// foreign are passed over and counted.
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

// maxLineBytes bounds a line; longer ones are passed over.
const maxLineBytes = 1 << 20

// Counts says how many lines were read, and how many of them were no lines of ours.
type Counts struct{ Lines, Passed int }

// Each calls take for each line of the log; source names it where its lines do not name a
// process. The error is that of the reader.
func (c *Counts) Each(log io.Reader, source string, take func(Line)) error {
	reader := bufio.NewReaderSize(log, 64<<10)
	for {
		raw, err := readLine(reader)
		if len(raw) > 0 {
			c.parseLine(raw, source, take)
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return errors.Wrap(err, "logline: read")
		}
	}
}

func (c *Counts) parseLine(raw []byte, source string, take func(Line)) {
	c.Lines++
	line, ok := parse(raw, source)
	if !ok {
		c.Passed++
		return
	}
	take(line)
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

// Keys of log lines.
const (
	keyLevel = "level"
	keyTime  = "time"
	keyEvent = "event"
	keyName  = "name"
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
