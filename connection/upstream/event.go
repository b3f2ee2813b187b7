package upstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// Errors of an EventReader.
var (
	// ErrIncompleteStream reports that the stream ended without its terminal event.
	ErrIncompleteStream = errors.New("upstream: stream ended without its terminal event")
	// ErrEventTooLarge reports an event, or a line of one, larger than the limit.
	ErrEventTooLarge = errors.New("upstream: stream event too large")
	// ErrAfterTerminal reports data after the terminal event.
	ErrAfterTerminal = errors.New("upstream: bytes after the terminal event")
)

// terminalData is the data of the event that ends a complete stream.
var terminalData = []byte("[DONE]")

// DefaultMaxEvent is the default size limit of an event in bytes.
const DefaultMaxEvent = 256 << 10

// Event is one server-sent event.
type Event struct {
	Name string // empty if the event has no name
	Data []byte // valid until the next call of Next
}

// EventReader reads server-sent events. It returns io.EOF only after the
// terminal event and the end of the stream.
type EventReader struct {
	reader *bufio.Reader
	limit  int
	data   []byte
	line   []byte
}

// NewEventReader returns a reader of events of at most limit bytes, which also limits each
// line; 0 selects DefaultMaxEvent.
func NewEventReader(source io.Reader, limit int) *EventReader {
	if limit <= 0 {
		limit = DefaultMaxEvent
	}
	return &EventReader{reader: bufio.NewReaderSize(source, defaultBufferSize), limit: limit}
}

// Next returns the next event. It returns io.EOF after the terminal event,
// ErrIncompleteStream if the stream ends before it, ErrAfterTerminal, ErrEventTooLarge, or
// the error of the source.
func (r *EventReader) Next() (Event, error) {
	var event Event
	r.data = r.data[:0]
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) > 0 {
			r.addField(line, &event)
			if len(r.data) > r.limit {
				return Event{}, ErrEventTooLarge
			}
			continue
		}
		if len(r.data) == 0 {
			event = Event{} // a comment, or an empty event
			continue
		}
		event.Data = r.data
		if event.Name == "" && bytes.Equal(event.Data, terminalData) {
			return Event{}, r.readToEnd()
		}
		return event, nil
	}
}

// readToEnd reads to the end of the stream, so that the connection can be reused. It returns
// io.EOF if only line terminators follow.
func (r *EventReader) readToEnd() error {
	for {
		next, err := r.reader.ReadByte()
		if err == io.EOF {
			return io.EOF
		}
		if err != nil {
			return errors.WithStack(err)
		}
		if next != '\n' && next != '\r' {
			return ErrAfterTerminal
		}
	}
}

// addField adds the field in line to the current event.
func (r *EventReader) addField(line []byte, event *Event) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if len(r.data) > 0 {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
	case "event":
		event.Name = string(value)
	}
}

// readLine returns the next line without its line terminator. It is valid until the next
// call.
func (r *EventReader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.reader.ReadSlice('\n')
		if len(r.line)+len(part) > r.limit {
			return nil, ErrEventTooLarge
		}
		if err == nil && len(r.line) == 0 {
			return trimLine(part), nil
		}
		r.line = append(r.line, part...)
		switch {
		case err == nil:
			return trimLine(r.line), nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF):
			return nil, ErrIncompleteStream
		default:
			return nil, errors.WithStack(err)
		}
	}
}

func trimLine(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}
