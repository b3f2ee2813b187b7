package proxy

import (
	"bytes"
	"cmp"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/connection/upstream"
)

// Errors of a sink.
var (
	// errCaller means that the caller went away or stopped reading.
	errCaller = errors.New("caller is gone")
	// errAnswerTooLarge means that a held answer is past its bound.
	errAnswerTooLarge = errors.New("answer too large")
)

// sink takes an answer to the caller.
type sink interface {
	// pass takes the next frame; more says that another one is at hand.
	pass(frame *upstream.Frame, more bool) error
	// restart throws away what was held. It is called only while nothing
	// reached the caller.
	restart()
	// finish ends the whole answer.
	finish() error
	// fail ends the answer with a failure that cannot be taken for a clean end.
	fail(failed *failure)
	// held returns the whole answer, or nil when it was not kept.
	held() []byte
}

// streamSink passes frames on as server-sent events. What is not yet written
// is bounded: one frame here, and the buffers of the connection. A caller that
// stops reading fails the write deadline.
type streamSink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	buffer     bytes.Buffer
	sent       bool
	gone       bool
	kept       *assembler // nil unless the answer is kept for its claim
}

func newStreamSink(w http.ResponseWriter, timeout time.Duration, kept *assembler) *streamSink {
	return &streamSink{writer: w, controller: http.NewResponseController(w), timeout: timeout, kept: kept}
}

func (s *streamSink) pass(frame *upstream.Frame, more bool) error {
	if s.kept != nil {
		s.kept.add(frame)
	}
	s.event("", frame.Data)
	if more && s.buffer.Len() < maxBufferedFrames {
		return nil
	}
	return s.flush()
}

// maxBufferedFrames bounds in bytes the frames that are written at once.
const maxBufferedFrames = 16 << 10

func (s *streamSink) event(name string, data []byte) {
	if name != "" {
		s.buffer.WriteString("event: ")
		s.buffer.WriteString(name)
		s.buffer.WriteByte('\n')
	}
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		s.buffer.WriteString("data: ")
		s.buffer.Write(line)
		s.buffer.WriteByte('\n')
	}
	s.buffer.WriteByte('\n')
}

func (s *streamSink) flush() error {
	if s.gone {
		return s.lost()
	}
	if !s.sent {
		s.sent = true
		header := s.writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
		s.writer.WriteHeader(http.StatusOK)
	}
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.timeout)) // a test's writer may have none
	_, err := s.writer.Write(s.buffer.Bytes())
	s.buffer.Reset()
	if err == nil {
		err = s.controller.Flush()
	}
	if err != nil {
		s.gone = true
		return s.lost()
	}
	return nil
}

// lost is the error after the caller went away. An answer that is kept for its
// claim goes on without the caller.
func (s *streamSink) lost() error {
	s.buffer.Reset()
	if s.kept != nil {
		return nil
	}
	return errCaller
}

func (s *streamSink) restart() {
	s.buffer.Reset()
	if s.kept != nil {
		s.kept.reset()
	}
}

func (s *streamSink) finish() error {
	s.event("", []byte("[DONE]"))
	return s.flush()
}

func (s *streamSink) fail(failed *failure) {
	if !s.sent {
		failed.write(s.writer)
		return
	}
	s.event("error", failed.encode())
	_ = s.flush() // the caller may be gone
}

func (s *streamSink) held() []byte {
	if s.kept == nil || s.kept.overflowed() {
		return nil
	}
	return s.kept.encode()
}

// wholeSink holds the frames until the answer is whole.
type wholeSink struct {
	writer  http.ResponseWriter
	timeout time.Duration
	kept    *assembler
}

func (s *wholeSink) pass(frame *upstream.Frame, _ bool) error {
	s.kept.add(frame)
	if s.kept.overflowed() {
		return errAnswerTooLarge
	}
	return nil
}

func (s *wholeSink) restart() { s.kept.reset() }

func (s *wholeSink) finish() error {
	return writeWhole(s.writer, s.timeout, s.kept.encode())
}

func writeWhole(w http.ResponseWriter, timeout time.Duration, body []byte) error {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
	w.Header().Set("Content-Type", contentTypeJSON)
	w.WriteHeader(http.StatusOK)
	if _, err := w.Write(body); err != nil {
		return errCaller
	}
	return nil
}

func (s *wholeSink) fail(failed *failure) { failed.write(s.writer) }

func (s *wholeSink) held() []byte { return s.kept.encode() }

// assembler puts frames together to a whole answer.
type assembler struct {
	chat    bool
	created int64
	id      string
	model   string
	choices []*assembledChoice
	usage   *engineapi.Usage
	size    int64
	limit   int64 // of size; what comes past it is dropped
}

type assembledChoice struct {
	role   string
	text   strings.Builder
	finish *string
}

func newAssembler(chat bool, limit int64) *assembler {
	return &assembler{chat: chat, created: time.Now().Unix(), limit: limit}
}

// overflowed reports whether the answer is larger than the limit.
func (a *assembler) overflowed() bool { return a.size > a.limit }

func (a *assembler) reset() {
	a.choices = nil
	a.usage = nil
	a.size = 0
}

// maxChoices bounds the choices of one answer.
const maxChoices = 128

func (a *assembler) add(frame *upstream.Frame) {
	a.id = frame.Event.ID
	a.model = frame.Event.Model
	if frame.Event.Usage != nil {
		a.usage = frame.Event.Usage
	}
	for i := range frame.Event.Choices {
		a.addChoice(&frame.Event.Choices[i])
	}
}

func (a *assembler) addChoice(part *engineapi.Choice) {
	if part.Index < 0 || part.Index >= maxChoices {
		return
	}
	for len(a.choices) <= part.Index {
		a.choices = append(a.choices, &assembledChoice{})
	}
	choice := a.choices[part.Index]
	text := part.Text
	if part.Delta != nil {
		text += part.Delta.Content
		if part.Delta.Role != "" {
			choice.role = part.Delta.Role
		}
	}
	a.size += int64(len(text))
	if !a.overflowed() {
		choice.text.WriteString(text)
	}
	if part.FinishReason != nil {
		choice.finish = part.FinishReason
	}
}

// wholeAnswer is a whole completion as OpenAI's clients know it.
type wholeAnswer struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []engineapi.Choice `json:"choices"`
	Usage   *engineapi.Usage   `json:"usage,omitempty"`
}

func (a *assembler) encode() []byte {
	answer := wholeAnswer{ID: a.id, Object: "text_completion", Created: a.created, Model: a.model, Usage: a.usage}
	if a.chat {
		answer.Object = "chat.completion"
	}
	answer.Choices = make([]engineapi.Choice, len(a.choices))
	for i, choice := range a.choices {
		answer.Choices[i] = engineapi.Choice{Index: i, FinishReason: choice.finish}
		if a.chat {
			role := choice.role
			role = cmp.Or(role, "assistant")
			answer.Choices[i].Message = &engineapi.Message{Role: role, Content: choice.text.String()}
		} else {
			answer.Choices[i].Text = choice.text.String()
		}
	}
	encoded, err := json.Marshal(answer)
	if err != nil {
		panic(err) // a type of ours that cannot be encoded
	}
	return encoded
}
