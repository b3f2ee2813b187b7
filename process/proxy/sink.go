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
	// errCallerGone means that the caller disconnected or stopped reading.
	errCallerGone = errors.New("caller disconnected")
	// errResponseTooLarge means that a buffered response exceeds its size limit.
	errResponseTooLarge = errors.New("response too large to buffer")
)

// sink delivers a response to the caller.
type sink interface {
	// send delivers the next frame; more means that another frame has already been received.
	send(frame *upstream.Frame, more bool) error
	// discard drops the buffered frames before the next attempt. It is called
	// only while nothing has been sent to the caller.
	discard()
	// finish ends a complete response.
	finish() error
	// fail ends the response with a failure that the caller cannot mistake for a
	// complete response.
	fail(failed *failure)
	// recorded returns the complete response, or nil if it was not kept.
	recorded() []byte
}

// streamSink sends frames as server-sent events. Unwritten data is bounded by
// maxBufferedBytes, one frame and the buffers of the connection. If the caller
// stops reading, the write deadline fails the request.
type streamSink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration // of each write
	buffer     bytes.Buffer
	headerSent bool
	callerGone bool
	assembled  *assembler // nil unless the response is recorded with its claim
}

func newStreamSink(w http.ResponseWriter, timeout time.Duration, assembled *assembler) *streamSink {
	return &streamSink{writer: w, controller: http.NewResponseController(w), timeout: timeout, assembled: assembled}
}

func (s *streamSink) send(frame *upstream.Frame, more bool) error {
	if s.assembled != nil {
		s.assembled.add(frame)
	}
	s.writeEvent("", frame.Data)
	if more && s.buffer.Len() < maxBufferedBytes {
		return nil
	}
	return s.flush()
}

// maxBufferedBytes is the number of buffered bytes from which frames are written.
const maxBufferedBytes = 16 << 10

func (s *streamSink) writeEvent(name string, data []byte) {
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
	if s.callerGone {
		return s.disconnectError()
	}
	if !s.headerSent {
		s.headerSent = true
		header := s.writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
		s.writer.WriteHeader(http.StatusOK)
	}
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.timeout)) // a writer in a test may not support it
	_, err := s.writer.Write(s.buffer.Bytes())
	s.buffer.Reset()
	if err == nil {
		err = s.controller.Flush()
	}
	if err != nil {
		s.callerGone = true
		return s.disconnectError()
	}
	return nil
}

// disconnectError drops the unwritten data and returns the error after the caller has disconnected,
// or nil if the response is recorded with its claim, so that the run continues.
func (s *streamSink) disconnectError() error {
	s.buffer.Reset()
	if s.assembled != nil {
		return nil
	}
	return errCallerGone
}

func (s *streamSink) discard() {
	s.buffer.Reset()
	if s.assembled != nil {
		s.assembled.reset()
	}
}

func (s *streamSink) finish() error {
	s.writeEvent("", []byte("[DONE]"))
	return s.flush()
}

func (s *streamSink) fail(failed *failure) {
	if !s.headerSent {
		failed.write(s.writer)
		return
	}
	s.writeEvent("error", failed.encode())
	_ = s.flush() // the caller may have disconnected
}

func (s *streamSink) recorded() []byte {
	if s.assembled == nil || s.assembled.overflowed() {
		return nil
	}
	return s.assembled.encode()
}

// bufferedSink collects the frames until the response is complete.
type bufferedSink struct {
	writer    http.ResponseWriter
	timeout   time.Duration
	assembled *assembler
}

func (s *bufferedSink) send(frame *upstream.Frame, _ bool) error {
	s.assembled.add(frame)
	if s.assembled.overflowed() {
		return errResponseTooLarge
	}
	return nil
}

func (s *bufferedSink) discard() { s.assembled.reset() }

func (s *bufferedSink) finish() error {
	return writeJSONResponse(s.writer, s.timeout, s.assembled.encode())
}

func writeJSONResponse(w http.ResponseWriter, timeout time.Duration, body []byte) error {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
	w.Header().Set("Content-Type", contentTypeJSON)
	w.WriteHeader(http.StatusOK)
	if _, err := w.Write(body); err != nil {
		return errCallerGone
	}
	return nil
}

func (s *bufferedSink) fail(failed *failure) { failed.write(s.writer) }

func (s *bufferedSink) recorded() []byte { return s.assembled.encode() }

// assembler combines frames into a complete response.
type assembler struct {
	chat    bool
	created int64
	id      string
	model   string
	choices []*assembledChoice
	usage   *engineapi.Usage
	size    int64 // bytes of text
	limit   int64 // maximum of size; text beyond it is dropped
}

type assembledChoice struct {
	role   string
	text   strings.Builder
	finish *string
}

func newAssembler(chat bool, limit int64) *assembler {
	return &assembler{chat: chat, created: time.Now().Unix(), limit: limit}
}

// overflowed reports whether the response exceeds the limit.
func (a *assembler) overflowed() bool { return a.size > a.limit }

func (a *assembler) reset() {
	a.choices = nil
	a.usage = nil
	a.size = 0
}

// maxChoices is the maximum number of choices in a response; further ones are dropped.
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

// completionResponse is a non-streamed completion in the format of the OpenAI
// API.
type completionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []engineapi.Choice `json:"choices"`
	Usage   *engineapi.Usage   `json:"usage,omitempty"`
}

func (a *assembler) encode() []byte {
	response := completionResponse{ID: a.id, Object: "text_completion", Created: a.created, Model: a.model, Usage: a.usage}
	if a.chat {
		response.Object = "chat.completion"
	}
	response.Choices = make([]engineapi.Choice, len(a.choices))
	for i, choice := range a.choices {
		response.Choices[i] = engineapi.Choice{Index: i, FinishReason: choice.finish}
		if a.chat {
			role := choice.role
			role = cmp.Or(role, "assistant")
			response.Choices[i].Message = &engineapi.Message{Role: role, Content: choice.text.String()}
		} else {
			response.Choices[i].Text = choice.text.String()
		}
	}
	encoded, err := json.Marshal(response)
	if err != nil {
		panic(err) // programming error: the type always encodes
	}
	return encoded
}
