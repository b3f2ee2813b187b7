package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/lab/platform/labhttp"
)

const (
	// headerKVExport describes the exported cache between two engines.
	headerKVExport = "Engine-KV-Export"
	// wireBytesPerToken is what the stand-ins really send; the time of the
	// transfer is the model's.
	wireBytesPerToken = 64
)

// ErrPeer says that KV cache could not be pulled from a peer engine.
var ErrPeer = errors.New("pull KV cache from peer")

// postKVExport runs a prompt and answers with the handle of its KV cache.
func (s *Server) postKVExport(w http.ResponseWriter, r *http.Request) {
	var body engineapi.KVExportRequest
	if !decode(w, r, labhttp.IgnoreUnknown, &body) {
		return
	}
	envelope, fault := readEnvelope(r)
	if fault == nil && body.RequestID == "" {
		fault = labhttp.FieldError("requestId", "must not be empty")
	}
	if fault == nil {
		fault = checkCompletion(&body.Request, len(body.Request.Messages) > 0)
	}
	if fault != nil {
		writeFault(w, fault)
		return
	}
	envelope.key = enginemodel.RunKey{ID: body.RequestID, Attempt: body.Attempt}
	exported, request := s.newRun(envelope, &body.Request, len(body.Request.Messages) > 0)
	request.PrefillOnly = true
	if s.admitOrAnswer(w, exported, request) {
		s.answerExport(w, r, exported)
	}
}

func (s *Server) answerExport(w http.ResponseWriter, r *http.Request, exported *run) {
	seen, present := exported.wait(r.Context(), exported.outputTokens)
	switch {
	case !present:
		s.detach(exported)
	case seen.state == runFinished:
		labhttp.Write(w, http.StatusOK, s.handle(seen.handle, exported.promptTokens, exported.incarnation))
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

func (s *Server) handle(name string, tokens int, incarnation uint64) engineapi.KVHandle {
	return engineapi.KVHandle{
		Handle:      name,
		Engine:      s.config.Model.Engine,
		Address:     s.config.Model.Address,
		Incarnation: incarnation,
		Tokens:      tokens,
	}
}

// getKVBlocks sends exported KV cache to a peer engine, which then owns it.
func (s *Server) getKVBlocks(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("handle")
	s.mu.Lock()
	export, known := s.model.Export(s.now(), name)
	s.mu.Unlock()
	if !known {
		writeError(w, http.StatusNotFound, engineapi.ErrorDetail{
			Message: "no such export",
			Type:    "not_found",
			Code:    string(enginemodel.RefusalUnknownHandle),
		})
		return
	}
	described, err := json.Marshal(export)
	if err != nil {
		panic(err) // a type of ours that cannot be encoded
	}
	size := export.Tokens * wireBytesPerToken
	w.Header().Set(headerKVExport, string(described))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	if _, err := w.Write(make([]byte, size)); err != nil {
		return // the peer may ask again
	}
	s.mu.Lock()
	s.model.ReleaseExport(name)
	s.mu.Unlock()
}

// postKVImport pulls KV cache from a peer engine and answers when a request can
// decode from it.
func (s *Server) postKVImport(w http.ResponseWriter, r *http.Request) {
	var body engineapi.KVImportRequest
	if !decode(w, r, labhttp.RefuseUnknown, &body) {
		return
	}
	if body.Handle.Handle == "" || body.Handle.Address == "" {
		writeFault(w, labhttp.FieldError("handle", "needs handle and address"))
		return
	}
	export, err := s.pullKV(r.Context(), &body.Handle)
	if err != nil {
		s.writeRefusal(w, string(enginemodel.RefusalUnknownHandle))
		return
	}
	s.mu.Lock()
	ready, refusal := s.model.Import(s.now(), export)
	incarnation := s.model.Incarnation()
	s.mu.Unlock()
	if refusal != enginemodel.RefusalNone {
		s.writeRefusal(w, string(refusal))
		return
	}
	select {
	case <-r.Context().Done():
		return
	case <-time.After(ready - s.now()):
	}
	labhttp.Write(w, http.StatusOK, s.handle(export.Handle, export.Tokens, incarnation))
}

// pullKV fetches the cache and checks that it is the one the handle names.
func (s *Server) pullKV(ctx context.Context, handle *engineapi.KVHandle) (enginemodel.Export, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	address := "http://" + handle.Address + engineapi.PathKVBlocks + "?handle=" + url.QueryEscape(handle.Handle)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return enginemodel.Export{}, errors.Wrap(ErrPeer, err.Error())
	}
	response, err := s.client.Do(request)
	if err != nil {
		return enginemodel.Export{}, errors.Wrap(ErrPeer, err.Error())
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return enginemodel.Export{}, errors.Wrapf(ErrPeer, "status %d", response.StatusCode)
	}
	return readKV(response, handle)
}

func readKV(response *http.Response, handle *engineapi.KVHandle) (enginemodel.Export, error) {
	var export enginemodel.Export
	if err := json.Unmarshal([]byte(response.Header.Get(headerKVExport)), &export); err != nil {
		return export, errors.Wrap(ErrPeer, err.Error())
	}
	incarnation := strconv.FormatUint(handle.Incarnation, 10)
	if export.Handle != handle.Handle || export.Tokens != handle.Tokens || response.Header.Get(engineapi.HeaderIncarnation) != incarnation {
		return export, errors.Wrap(ErrPeer, "another export")
	}
	read, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		return export, errors.Wrap(ErrPeer, err.Error())
	}
	if read != int64(export.Tokens*wireBytesPerToken) {
		return export, errors.Wrap(ErrPeer, "cut short")
	}
	return export, nil
}
