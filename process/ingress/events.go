package ingress

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/landingtrail/landingtrail/connection/exchange"
	"github.com/pkg/errors"
)

// maxEventBytes limits the size of one stream event.
const maxEventBytes = 1 << 20

// errEventTruncated is returned when a stream ends inside an event.
var errEventTruncated = errors.New("ingress: stream ended inside an event")

// eventReader reads complete server-sent events and keeps their bytes unchanged.
type eventReader struct {
	source *rateCheckedReader
	reader *bufio.Reader
	event  []byte
	id     string
}

// eventBufferBytes is the size of the read buffer, enough for several events of usual size.
const eventBufferBytes = 4 << 10

func newEventReader(source io.Reader, now func() time.Duration) *eventReader {
	checked := &rateCheckedReader{source: source, now: now}
	return &eventReader{source: checked, reader: bufio.NewReaderSize(checked, eventBufferBytes)}
}

// next reads one event including the blank line that ends it. The bytes are valid until the next
// call. io.EOF is returned only between events and only if the source ended normally. The error wraps
// exchange.ErrEndless if the event does not end.
func (r *eventReader) next() (event []byte, id string, err error) {
	r.event, r.id = r.event[:0], ""
	r.source.arrival = exchange.ArrivalRate{}
	for {
		start := len(r.event)
		ended, err := r.readLine()
		if err != nil {
			if err == io.EOF && len(r.event) > 0 {
				err = errEventTruncated
			}
			return nil, "", err
		}
		line := bytes.TrimRight(r.event[start:], "\r\n")
		if ended && len(line) == 0 {
			return r.event, r.id, nil
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			r.id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}

// hasData reports whether an event has a data field. One that consists of comments has none.
func hasData(event []byte) bool {
	return bytes.HasPrefix(event, []byte("data:")) || bytes.Contains(event, []byte("\ndata:"))
}

// readLine appends one line, including its line end, to the event. ended is true if the line is
// complete.
func (r *eventReader) readLine() (ended bool, err error) {
	for {
		part, err := r.reader.ReadSlice('\n')
		r.event = append(r.event, part...)
		if len(r.event) > maxEventBytes {
			return false, errEventTooLarge
		}
		switch {
		case err == nil:
			return true, nil
		case errors.Is(err, bufio.ErrBufferFull):
		default:
			return false, err
		}
	}
}
