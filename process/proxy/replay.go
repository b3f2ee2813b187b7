package proxy

import (
	"encoding/json"
	"net/http"

	"github.com/landingtrail/landingtrail/connection/engineapi"
)

// replayStream sends a recorded response as a stream with one event for each
// choice.
func replayStream(out *streamSink, body []byte) {
	var response completionResponse
	if err := json.Unmarshal(body, &response); err != nil {
		out.fail(conflictFailure(codeKeyDone, "the recorded answer cannot be read", "yes"))
		return
	}
	object := response.Object
	if object == "chat.completion" {
		object = "chat.completion.chunk"
	}
	for _, choice := range response.Choices {
		if choice.Message != nil {
			choice.Delta, choice.Message = choice.Message, nil
		}
		encoded, err := json.Marshal(engineapi.StreamEvent{
			ID:      response.ID,
			Object:  object,
			Model:   response.Model,
			Choices: []engineapi.Choice{choice},
			Usage:   response.Usage,
		})
		if err != nil {
			panic(err) // programming error: the type always encodes
		}
		out.writeEvent("", encoded)
	}
	_ = out.finish() // the caller may have disconnected
}

// writeJSON sends the body as a JSON response.
func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err) // programming error: the type always encodes
	}
	w.Header().Set("Content-Type", contentTypeJSON)
	w.WriteHeader(status)
	_, _ = w.Write(append(encoded, '\n')) // the caller may have disconnected
}
