package proxy

import (
	"context"
	"net/http"
	"sort"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/request/limit"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
)

// serveCompletion handles POST /v1/chat/completions and /v1/completions.
func (p *Proxy) serveCompletion(w http.ResponseWriter, r *http.Request) {
	p.setCommonHeaders(w)
	body, failed := p.readBody(w, r, &p.modelBodies)
	if failed != nil {
		failed.write(w)
		return
	}
	defer body.release()
	parsed, failed := parseCompletion(r.URL.Path, body.data)
	if failed != nil {
		failed.write(w)
		return
	}
	c, failed := p.newCall(w, r, parsed)
	if failed != nil {
		failed.write(w)
		return
	}
	started := time.Now()
	c.countOffered()
	failed = c.serve(r.Context(), w, hashRequest(r.Method, r.URL.Path, body.data))
	c.countEnded(failed, time.Since(started))
}

// setCommonHeaders asks callers to close their connections during a planned stop.
func (p *Proxy) setCommonHeaders(w http.ResponseWriter) {
	if p.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
}

// newCall validates a request against the view, returns its call and sets the response header with
// its ID.
func (p *Proxy) newCall(w http.ResponseWriter, r *http.Request, parsed *completionRequest) (*modelCall, *failure) {
	headers, failed := parseHeaders(r.Header)
	if failed != nil {
		return nil, failed
	}
	s := p.viewState()
	if failed := p.refuseWithoutControl(&s, api.ServiceModel); failed != nil {
		return nil, failed
	}
	if !s.catalog.servesModel(parsed.request.Model) {
		return nil, notFoundFailure(codeUnknownModel, "no intent serves the model")
	}
	class, failed := s.catalog.modelClass(headers.class, parsed.request.Model)
	if failed != nil {
		return nil, failed
	}
	if failed := p.applyClass(&headers, class); failed != nil {
		return nil, failed
	}
	if failed := p.refuseBeyondDrain(headers.timeLeft); failed != nil {
		return nil, failed
	}
	found := p.lanes.find(class.Spec.Service)
	if found == nil || found.kind != api.ServiceModel {
		return nil, invalidFailure(codeUnknownClass, "the class is not one of a model service")
	}
	c := &modelCall{
		proxy:          p,
		lane:           found,
		id:             p.newID(),
		parsed:         parsed,
		headers:        headers,
		priority:       class.Spec.Priority,
		expectedTokens: p.answerLengths.Expect(headers.class, parsed.outputTokens()),
		deadline:       p.clock() + headers.timeLeft,
		rng:            newRandom(),
		excluded:       map[string]bool{},
	}
	c.attempts = attempt.New(attempt.Policy{
		AtMostOnce:  headers.atMostOnce,
		Buffered:    !parsed.request.Stream,
		MaxAttempts: p.config.Limits.Attempts,
		MaxResumes:  p.config.Limits.Resumes,
	})
	c.sink = p.newSink(w, c)
	w.Header().Set(HeaderRequestID, c.id)
	return c, nil
}

func notFoundFailure(code, message string) *failure {
	return &failure{status: http.StatusNotFound, errorType: typeInvalid, code: code, message: message, runState: attempt.RanNo}
}

func (p *Proxy) newSink(w http.ResponseWriter, c *modelCall) sink {
	if !c.parsed.request.Stream {
		assembled := newAssembler(c.parsed.chat, p.config.Limits.AnswerBytes)
		return &bufferedSink{writer: w, timeout: p.config.Timeouts.Write, assembled: assembled}
	}
	var assembled *assembler
	if c.headers.atMostOnce {
		assembled = newAssembler(c.parsed.chat, state.MaxAnswerBytes)
	}
	return newStreamSink(w, p.config.Timeouts.Write, assembled)
}

// modelClass returns the class of the given name, or the model's default class
// if the name is empty.
func (c *catalog) modelClass(name, model string) (*api.Class, *failure) {
	if name == "" {
		if class := c.defaultModelClass(model); class != nil {
			return class, nil
		}
		return nil, invalidFailure(codeUnknownClass, "no class is served by the model")
	}
	class := c.view.Classes[name]
	if class == nil {
		return nil, invalidFailure(codeUnknownClass, "no such class")
	}
	return class, nil
}

// serve admits, claims and runs the request and sends the response. It returns
// nil after a complete response.
func (c *modelCall) serve(ctx context.Context, w http.ResponseWriter, bodyHash uint64) *failure {
	defer c.proxy.inFlight.add(&entry{
		id:           c.id,
		service:      c.lane.service,
		class:        c.headers.class,
		tenant:       c.headers.tenant,
		started:      time.Now(),
		attempts:     c.attempts,
		model:        c.parsed.request.Model,
		promptTokens: c.parsed.promptTokens,
	})()
	release, failed := c.proxy.admit(ctx, c.lane, c.queueTicket())
	if failed != nil {
		c.sink.fail(failed)
		return failed
	}
	defer release()
	c.lane.budget.Deposit()
	if c.headers.atMostOnce {
		// An at-most-once run continues after its caller disconnects. The caller
		// may send the request again to get the recorded response.
		ctx = context.WithoutCancel(ctx)
		claimed := c.proxy.acquireClaim(ctx, &c.headers, bodyHash)
		if claimed.granted == nil {
			return c.respondFromClaim(w, claimed)
		}
		c.claim = claimed.granted
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeLeft())
	defer cancel()
	return c.endRequest(c.run(ctx))
}

// queueTicket describes the request to the queue.
func (c *modelCall) queueTicket() limit.Ticket {
	return limit.Ticket{
		Class:    c.headers.class,
		Priority: c.priority,
		Tenant:   c.headers.tenant,
		Cost:     float64(c.parsed.promptTokens + c.parsed.outputTokens()),
		Deadline: time.Now().Add(c.timeLeft()),
		Gate:     c.attempts,
	}
}

// endRequest reports the result to the caller and records the outcome. A not-run
// outcome is recorded before it is reported, so that the key is free when the
// caller retries. An unknown outcome is reported first, so that the response is
// not delayed by the recording.
func (c *modelCall) endRequest(failed *failure) *failure {
	if c.attempts.Done() {
		c.proxy.finishClaim(c.claim, api.RunCompleted, newRecordedResponse(c.sink.recorded()))
		return failed
	}
	outcome := outcomeFor(failed.runState)
	if outcome == api.RunNotRun {
		c.proxy.finishClaim(c.claim, outcome, nil)
		c.sink.fail(failed)
		return failed
	}
	c.sink.fail(failed)
	c.proxy.finishClaim(c.claim, outcome, nil)
	return failed
}

// newRecordedResponse returns the response to store with the claim, or nil if
// there is no body.
func newRecordedResponse(body []byte) *recordedResponse {
	if body == nil {
		return nil
	}
	return &recordedResponse{Status: http.StatusOK, ContentType: contentTypeJSON, Body: body}
}

// respondFromClaim responds to an at-most-once request without running it: with the recorded response
// or with a failure.
func (c *modelCall) respondFromClaim(w http.ResponseWriter, claimed claimResult) *failure {
	c.attempts.GiveUp()
	if claimed.failed != nil {
		c.sink.fail(claimed.failed)
		return claimed.failed
	}
	w.Header().Set("Landingtrail-Replayed", "true")
	if c.parsed.request.Stream {
		replayStream(newStreamSink(w, c.proxy.config.Timeouts.Write, nil), claimed.response.Body)
		return nil
	}
	_ = writeJSONResponse(w, c.proxy.config.Timeouts.Write, claimed.response.Body) // the caller may have disconnected
	return nil
}

// demandKey returns the key under which the request's demand is counted.
func (c *modelCall) demandKey() demandKey {
	current := c.proxy.lanes.catalog.Load()
	return demandKey{intent: current.intentFor(c.parsed.request.Model, c.headers.class), class: c.headers.class}
}

// countOffered counts the request as demand on arrival: at the end it would be late by the duration
// of the run, and requests that are never served would be missed.
func (c *modelCall) countOffered() {
	c.proxy.demand.add(c.demandKey(), func(demand *feed.Demand) {
		demand.Requests++
		demand.PromptTokens += float64(c.parsed.promptTokens)
		demand.OutputTokens += float64(c.expectedTokens)
	})
}

// countEnded counts the end of the request in the demand and the metrics, and learns the length of a
// complete response.
func (c *modelCall) countEnded(failed *failure, took time.Duration) {
	c.proxy.metrics.observeEnd(c.lane.service, c.headers.class, failed, took)
	if failed == nil {
		c.proxy.answerLengths.Learn(c.headers.class, c.attempts.Forwarded())
	}
	c.proxy.demand.add(c.demandKey(), func(demand *feed.Demand) {
		demand.CachedPromptTokens += float64(c.cachedTokens)
		if failed == nil {
			return
		}
		switch failed.code {
		case codeQueueFull, codeNoEngine, codeDeadlineTooShort:
			demand.Refused++
		case codeDeadlineExceeded:
			demand.Late++
		}
	})
}

// serveModels handles GET /v1/models.
func (p *Proxy) serveModels(w http.ResponseWriter, _ *http.Request) {
	p.setCommonHeaders(w)
	s := p.viewState()
	if failed := p.refuseWithoutControl(&s, api.ServiceModel); failed != nil {
		failed.write(w)
		return
	}
	names := s.catalog.modelNames()
	sort.Strings(names)
	list := modelList{Object: "list", Data: make([]modelEntry, len(names))}
	for i, name := range names {
		list.Data[i] = modelEntry{ID: name, Object: "model", OwnedBy: "landingtrail"}
	}
	writeJSON(w, http.StatusOK, list)
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
