package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/lab/platform/labhttp"
)

const (
	streamDone   = "data: [DONE]\n\n"
	finishLength = "length"
)

// streamAnswer writes the answer from an offset on as server-sent events. A
// run that breaks ends the connection without the terminal event.
func (s *Server) streamAnswer(w http.ResponseWriter, r *http.Request, answered *run, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	if controller.Flush() != nil {
		s.detach(answered)
		return
	}
	for {
		seen, present := answered.wait(r.Context(), offset)
		if !present {
			s.detach(answered)
			return
		}
		if seen.state == runCancelled || seen.state == runBroken {
			abort()
		}
		buffer, drop := s.events(answered, offset, seen)
		_, err := w.Write(buffer)
		if err != nil || controller.Flush() != nil {
			s.detach(answered)
			return
		}
		if drop {
			s.detach(answered)
			abort()
		}
		offset = seen.generated
		if seen.state == runFinished {
			return
		}
	}
}

// events encodes the tokens from an offset on, and the end of a finished run;
// drop tells that a fault breaks the stream after them.
func (s *Server) events(answered *run, offset int, seen view) (encoded []byte, drop bool) {
	var buffer bytes.Buffer
	for i := offset; i < seen.generated; i++ {
		if s.dropsStream(i) {
			return buffer.Bytes(), true
		}
		writeEvent(&buffer, answered.token(i))
	}
	if seen.state == runFinished {
		writeEvent(&buffer, answered.lastEvent(seen.generated))
		buffer.WriteString(streamDone)
	}
	return buffer.Bytes(), false
}

func writeEvent(buffer *bytes.Buffer, event *engineapi.StreamEvent) {
	encoded, err := json.Marshal(event)
	if err != nil {
		panic(err) // a type of ours that cannot be encoded
	}
	buffer.WriteString("data: ")
	buffer.Write(encoded)
	buffer.WriteString("\n\n")
}

// event is what all events of a run have in common.
func (r *run) event(offset int) *engineapi.StreamEvent {
	object := "text_completion"
	if r.chat {
		object = "chat.completion.chunk"
	}
	return &engineapi.StreamEvent{
		ID:          r.key.ID,
		Object:      object,
		Model:       r.model,
		Attempt:     r.key.Attempt,
		Offset:      offset,
		Incarnation: r.incarnation,
	}
}

// token is the event with output token i; each token ends with a space.
func (r *run) token(i int) *engineapi.StreamEvent {
	text := enginemodel.TokenText(r.promptHash, i) + " "
	event := r.event(i)
	if r.chat {
		event.Choices = []engineapi.Choice{{Delta: &engineapi.Message{Role: "assistant", Content: text}}}
	} else {
		event.Choices = []engineapi.Choice{{Text: text}}
	}
	return event
}

// lastEvent tells why the answer ended and counts its tokens.
func (r *run) lastEvent(generated int) *engineapi.StreamEvent {
	reason := finishLength
	event := r.event(generated)
	event.Choices = []engineapi.Choice{{FinishReason: &reason}}
	if r.chat {
		event.Choices[0].Delta = &engineapi.Message{}
	}
	event.Usage = r.usage(generated)
	return event
}

func (r *run) usage(generated int) *engineapi.Usage {
	return &engineapi.Usage{
		PromptTokens:     r.promptTokens,
		CompletionTokens: generated,
		TotalTokens:      r.promptTokens + generated,
	}
}

// wholeAnswer waits for the end of the run and writes the answer as one body.
func (s *Server) wholeAnswer(w http.ResponseWriter, r *http.Request, answered *run) {
	seen, present := answered.wait(r.Context(), answered.outputTokens)
	switch {
	case !present:
		s.detach(answered)
	case seen.state == runFinished:
		labhttp.Write(w, http.StatusOK, answered.whole(seen.generated))
	case seen.state == runCancelled:
		writeError(w, http.StatusConflict, engineapi.ErrorDetail{
			Message: "cancelled",
			Type:    "cancelled",
			Code:    "cancelled",
			Ran:     "yes",
		})
	default:
		abort()
	}
}

func (r *run) whole(generated int) *engineapi.StreamEvent {
	tokens := make([]string, generated)
	for i := range tokens {
		tokens[i] = enginemodel.TokenText(r.promptHash, i)
	}
	text := strings.Join(tokens, " ") + " "
	event := r.lastEvent(generated)
	event.Offset = 0
	event.Choices[0].Delta = nil
	if r.chat {
		event.Object = "chat.completion"
		event.Choices[0].Message = &engineapi.Message{Role: "assistant", Content: text}
	} else {
		event.Choices[0].Text = text
	}
	return event
}
