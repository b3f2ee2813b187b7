package engine

import (
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/lab/engine/ledger"
	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/lab/platform/labhttp"
	"github.com/landingtrail/landingtrail/request/prefix"
)

// ownIDs numbers requests that come without an ID.
var ownIDs atomic.Uint64

// envelope is what the headers of a request say.
type envelope struct {
	key         enginemodel.RunKey
	incarnation uint64
	priority    int
	handle      string
	idempotency string
}

func readEnvelope(r *http.Request) (envelope, *labhttp.BodyError) {
	header := r.Header
	read := envelope{
		key:         enginemodel.RunKey{ID: header.Get(engineapi.HeaderRequestID)},
		handle:      header.Get(engineapi.HeaderKVHandle),
		idempotency: header.Get(ledger.HeaderIdempotency),
	}
	if read.key.ID == "" {
		read.key.ID = "own-" + strconv.FormatUint(ownIDs.Add(1), 10)
	}
	attempt, fault := numberHeader(header, engineapi.HeaderAttempt, 32)
	if fault != nil {
		return read, fault
	}
	read.key.Attempt = uint32(attempt)
	if read.incarnation, fault = numberHeader(header, engineapi.HeaderIncarnation, 64); fault != nil {
		return read, fault
	}
	if _, fault = numberHeader(header, engineapi.HeaderDeadline, 63); fault != nil {
		return read, fault
	}
	if given := header.Get(engineapi.HeaderPriority); given != "" {
		priority, err := strconv.Atoi(given)
		if err != nil {
			return read, labhttp.FieldError(engineapi.HeaderPriority, "want an integer")
		}
		read.priority = priority
	}
	return read, nil
}

// numberHeader reads a header of decimal digits; one that is not given is 0.
func numberHeader(header http.Header, name string, bits int) (uint64, *labhttp.BodyError) {
	given := header.Get(name)
	if given == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(given, 10, bits)
	if err != nil {
		return 0, labhttp.FieldError(name, "want a number")
	}
	return number, nil
}

func checkCompletion(body *engineapi.CompletionRequest, chat bool) *labhttp.BodyError {
	switch {
	case body.Model == "":
		return labhttp.FieldError("model", "must not be empty")
	case chat && len(body.Messages) == 0:
		return labhttp.FieldError("messages", "must not be empty")
	case len(prefix.Words(prefix.Text(body))) == 0:
		return labhttp.FieldError("prompt", "must hold a word")
	case body.MaxTokens < 0:
		return labhttp.FieldError("max_tokens", "must not be negative")
	}
	return nil
}

// newRun ties a request's headers and body together.
func (s *Server) newRun(envelope envelope, body *engineapi.CompletionRequest, chat bool) (*run, enginemodel.Request) {
	prompt := prefix.Text(body)
	words := prefix.Words(prompt)
	tokens := body.MaxTokens
	if tokens == 0 {
		tokens = DefaultMaxTokens
	}
	created := &run{
		key:          envelope.key,
		idempotency:  envelope.idempotency,
		model:        body.Model,
		chat:         chat,
		promptHash:   enginemodel.PromptHash(prompt),
		promptTokens: len(words),
		outputTokens: tokens,
	}
	request := enginemodel.Request{
		Model:        body.Model,
		Incarnation:  envelope.incarnation,
		Priority:     envelope.priority,
		PromptTokens: created.promptTokens,
		OutputTokens: tokens,
		Blocks:       prefix.Blocks(body.Model, words),
		PromptHash:   created.promptHash,
		Handle:       envelope.handle,
	}
	return created, request
}

// postCompletions answers a completion. Fields that the stand-in does not know
// are ignored, as callers may send all of the OpenAI parameters.
func (s *Server) postCompletions(chat bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body engineapi.CompletionRequest
		if !decode(w, r, labhttp.IgnoreUnknown, &body) {
			return
		}
		envelope, fault := readEnvelope(r)
		if fault == nil {
			fault = checkCompletion(&body, chat)
		}
		if fault != nil {
			writeFault(w, fault)
			return
		}
		created, request := s.newRun(envelope, &body, chat)
		if !s.admitOrAnswer(w, created, request) {
			return
		}
		if body.Stream {
			s.streamAnswer(w, r, created, 0)
		} else {
			s.wholeAnswer(w, r, created)
		}
	}
}

// admitOrAnswer admits a run or answers why not.
func (s *Server) admitOrAnswer(w http.ResponseWriter, created *run, request enginemodel.Request) bool {
	s.echo(w, created)
	switch refusal := s.admit(created, request); refusal {
	case enginemodel.RefusalNone:
		s.identify(w)
		w.Header().Set(engineapi.HeaderAdmitted, "yes")
		return true
	case enginemodel.RefusalDuplicate:
		writeError(w, http.StatusConflict, engineapi.ErrorDetail{
			Message: "this attempt was admitted before",
			Type:    "conflict",
			Code:    string(refusal),
			Ran:     "unknown",
		})
	default:
		s.writeRefusal(w, string(refusal))
	}
	return false
}

// echo names the run on the answer to a call that has no name.
func (s *Server) echo(w http.ResponseWriter, r *run) {
	if w.Header().Get(engineapi.HeaderRequestID) != "" {
		return
	}
	w.Header().Set(engineapi.HeaderRequestID, r.key.ID)
	w.Header().Set(engineapi.HeaderAttempt, strconv.FormatUint(uint64(r.key.Attempt), 10))
}

func (s *Server) postResume(w http.ResponseWriter, r *http.Request) {
	var request engineapi.ResumeRequest
	if !decode(w, r, labhttp.RefuseUnknown, &request) {
		return
	}
	resumed, refusal := s.resume(&request)
	if refusal != enginemodel.ResumeAllowed {
		// What became of the run itself is not known from here.
		writeError(w, http.StatusConflict, engineapi.ErrorDetail{
			Message: "cannot resume: " + string(refusal),
			Type:    "conflict",
			Code:    string(refusal),
			Ran:     "unknown",
		})
		return
	}
	s.echo(w, resumed)
	w.Header().Set(engineapi.HeaderAdmitted, "yes")
	s.streamAnswer(w, r, resumed, request.Offset)
}
