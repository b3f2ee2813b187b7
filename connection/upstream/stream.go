package upstream

import (
	"io"
	"strings"

	"github.com/pkg/errors"
	"github.com/segmentio/encoding/json"

	"github.com/landingtrail/landingtrail/connection/engineapi"
)

// Errors of a Stream.
var (
	// ErrMalformed reports an event that is not a valid StreamEvent.
	ErrMalformed = errors.New("upstream: malformed stream event")
	// ErrEngine reports that the engine ended the stream with an error event.
	ErrEngine = errors.New("upstream: engine ended the stream with an error")
)

// eventNameError is the name of error events.
const eventNameError = "error"

// Frame is one verified event of a run, which is one attempt of a request on an engine.
type Frame struct {
	Data   []byte // the event as the engine sent it; valid until the next call of Next
	Event  engineapi.StreamEvent
	Tokens int // number of tokens in the event; each word counts as one, as on the emulated engine
}

// Stream reads the events of one run and verifies that each belongs to the run.
type Stream struct {
	events   *EventReader
	identity Identity
}

// NewStream returns a Stream that reads the events of the run from source. Events are at
// most limit bytes long; 0 selects DefaultMaxEvent.
func NewStream(source io.Reader, identity Identity, limit int) *Stream {
	return &Stream{events: NewEventReader(source, limit), identity: identity}
}

// Next returns the next frame, or io.EOF after a complete stream. Other errors are
// ErrEngine, ErrMalformed, ErrUnmatchedResponse and those of EventReader.Next; the stream is
// unusable after them.
func (s *Stream) Next() (Frame, error) {
	event, err := s.events.Next()
	if err != nil {
		return Frame{}, err
	}
	if event.Name == eventNameError {
		return Frame{}, errors.Wrap(ErrEngine, engineErrorMessage(event.Data))
	}
	frame := Frame{Data: event.Data}
	if err := json.Unmarshal(event.Data, &frame.Event); err != nil {
		return Frame{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if err := s.verifyEvent(&frame.Event); err != nil {
		return Frame{}, err
	}
	frame.Tokens = countTokens(frame.Event.Choices)
	return frame, nil
}

// Buffered reports whether unread data of the stream has already arrived.
func (s *Stream) Buffered() bool { return s.events.reader.Buffered() > 0 }

// verifyEvent checks that the event belongs to the run. If no incarnation is expected yet,
// that of the event becomes the expected one.
func (s *Stream) verifyEvent(event *engineapi.StreamEvent) error {
	if s.identity.Incarnation == 0 {
		s.identity.Incarnation = event.Incarnation
	}
	got := Identity{RequestID: event.ID, Attempt: event.Attempt, Incarnation: event.Incarnation}
	if got != s.identity {
		return errors.Wrapf(ErrUnmatchedResponse, "got %s/%d/%d, want %s/%d/%d", got.RequestID, got.Attempt, got.Incarnation,
			s.identity.RequestID, s.identity.Attempt, s.identity.Incarnation)
	}
	if event.Offset < 0 {
		return errors.Wrap(ErrMalformed, "negative offset")
	}
	return nil
}

func countTokens(choices []engineapi.Choice) int {
	tokens := 0
	for i := range choices {
		tokens += countWords(choices[i].Text)
		if choices[i].Delta != nil {
			tokens += countWords(choices[i].Delta.Content)
		}
	}
	return tokens
}

func countWords(text string) int {
	count := 0
	for range strings.FieldsSeq(text) {
		count++
	}
	return count
}

// maxErrorMessage limits the length of an engine's error message in bytes.
const maxErrorMessage = 512

// engineErrorMessage returns the message of an error event, or its data if it has none.
func engineErrorMessage(data []byte) string {
	var body engineapi.ErrorBody
	if err := json.Unmarshal(data, &body); err == nil && body.Error.Message != "" {
		data = []byte(body.Error.Message)
	}
	if len(data) > maxErrorMessage {
		data = data[:maxErrorMessage]
	}
	return string(data)
}
