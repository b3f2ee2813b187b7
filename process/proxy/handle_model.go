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

// serveCompletion answers POST /v1/chat/completions and /v1/completions.
func (p *Proxy) serveCompletion(w http.ResponseWriter, r *http.Request) {
	p.prepare(w)
	held, failed := p.readBody(w, r, &p.modelBodies)
	if failed != nil {
		failed.write(w)
		return
	}
	defer held.release()
	parsed, failed := parseCompletion(r.URL.Path, held.data)
	if failed != nil {
		failed.write(w)
		return
	}
	made, failed := p.newCall(w, r, parsed)
	if failed != nil {
		failed.write(w)
		return
	}
	started := time.Now()
	made.offer()
	failed = made.serve(r.Context(), w, hashBody(r.Method, r.URL.Path, held.data))
	made.account(failed, time.Since(started))
}

// prepare sets the headers that every answer has.
func (p *Proxy) prepare(w http.ResponseWriter) {
	if p.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
}

// newCall checks a request against the view.
func (p *Proxy) newCall(w http.ResponseWriter, r *http.Request, parsed *completion) (*call, *failure) {
	read, failed := readEnvelope(r.Header)
	if failed != nil {
		return nil, failed
	}
	s := p.standing()
	if failed := p.refuseLost(&s, api.ServiceModel); failed != nil {
		return nil, failed
	}
	if !s.catalog.knowsModel(parsed.request.Model) {
		return nil, notFound(codeUnknownModel, "no intent serves the model")
	}
	class, failed := s.catalog.modelClass(read.class, parsed.request.Model)
	if failed != nil {
		return nil, failed
	}
	if failed := p.settle(&read, class); failed != nil {
		return nil, failed
	}
	if failed := p.refuseLate(read.left); failed != nil {
		return nil, failed
	}
	found := p.lanes.find(class.Spec.Service)
	if found == nil || found.kind != api.ServiceModel {
		return nil, invalid(codeUnknownClass, "the class is not one of a model service")
	}
	made := &call{
		proxy:    p,
		lane:     found,
		id:       p.newID(),
		parsed:   parsed,
		envelope: read,
		priority: class.Spec.Priority,
		expected: p.answers.Expect(read.class, parsed.outputTokens()),
		endsAt:   p.clock() + read.left,
		random:   newRandom(),
		excluded: map[string]bool{},
	}
	made.life = attempt.New(attempt.Policy{
		Once:     read.never,
		Buffered: !parsed.request.Stream,
		Attempts: p.config.Limits.Attempts,
		Resumes:  p.config.Limits.Resumes,
	})
	made.sink = p.newSink(w, made)
	w.Header().Set(HeaderRequest, made.id)
	return made, nil
}

func notFound(code, message string) *failure {
	return &failure{status: http.StatusNotFound, kind: typeInvalid, code: code, message: message, ran: attempt.RanNo}
}

func (p *Proxy) newSink(w http.ResponseWriter, made *call) sink {
	if !made.parsed.request.Stream {
		kept := newAssembler(made.parsed.chat, p.config.Limits.AnswerBytes)
		return &wholeSink{writer: w, timeout: p.config.Timeouts.Write, kept: kept}
	}
	var kept *assembler
	if made.envelope.never {
		kept = newAssembler(made.parsed.chat, state.MaxAnswerBytes)
	}
	return newStreamSink(w, p.config.Timeouts.Write, kept)
}

// modelClass returns the class that a caller named, or the default one.
func (c *catalog) modelClass(name, model string) (*api.Class, *failure) {
	if name == "" {
		if class := c.defaultModelClass(model); class != nil {
			return class, nil
		}
		return nil, invalid(codeUnknownClass, "no class is served by the model")
	}
	class := c.view.Classes[name]
	if class == nil {
		return nil, invalid(codeUnknownClass, "no such class")
	}
	return class, nil
}

// serve admits, claims and runs the request and answers the caller. It returns
// nil after a whole answer.
func (c *call) serve(ctx context.Context, w http.ResponseWriter, bodyHash uint64) *failure {
	defer c.proxy.running.add(&entry{
		id:      c.id,
		service: c.lane.service,
		class:   c.envelope.class,
		tenant:  c.envelope.tenant,
		started: time.Now(),
		life:    c.life,
		model:   c.parsed.request.Model,
		tokens:  c.parsed.promptTokens,
	})()
	release, failed := c.proxy.admit(ctx, c.lane, c.ticket())
	if failed != nil {
		c.sink.fail(failed)
		return failed
	}
	defer release()
	c.lane.budget.Deposit()
	if c.envelope.never {
		// A marked run goes on without its caller, who may ask again for the
		// recorded answer.
		ctx = context.WithoutCancel(ctx)
		answer := c.proxy.claimRun(ctx, &c.envelope, bodyHash)
		if answer.granted == nil {
			return c.answerClaimed(w, answer)
		}
		c.claim = answer.granted
	}
	ctx, cancel := context.WithTimeout(ctx, c.left())
	defer cancel()
	return c.conclude(c.run(ctx))
}

// ticket is the request as the queue sees it.
func (c *call) ticket() limit.Ticket {
	return limit.Ticket{
		Class:    c.envelope.class,
		Priority: c.priority,
		Tenant:   c.envelope.tenant,
		Cost:     float64(c.parsed.promptTokens + c.parsed.outputTokens()),
		Deadline: time.Now().Add(c.left()),
		Gate:     c.life,
	}
}

// conclude tells the caller how the run ended and records it. That a marked
// request was not run is recorded before its caller is told so, so that the key
// is free when the caller asks again; an unknown outcome is told first, since a
// request that is given up gets its answer at once.
func (c *call) conclude(failed *failure) *failure {
	if c.life.Done() {
		c.proxy.settleClaim(c.claim, api.RunCompleted, recordWhole(c.sink.held()))
		return failed
	}
	outcome := outcomeOf(failed.ran)
	if outcome == api.RunNotRun {
		c.proxy.settleClaim(c.claim, outcome, nil)
		c.sink.fail(failed)
		return failed
	}
	c.sink.fail(failed)
	c.proxy.settleClaim(c.claim, outcome, nil)
	return failed
}

// recordWhole returns the answer as it is kept with its claim, or nil.
func recordWhole(body []byte) *recorded {
	if body == nil {
		return nil
	}
	return &recorded{Status: http.StatusOK, ContentType: contentTypeJSON, Body: body}
}

// answerClaimed answers a marked request that may not run now.
func (c *call) answerClaimed(w http.ResponseWriter, answer claimed) *failure {
	c.life.GiveUp()
	if answer.failed != nil {
		c.sink.fail(answer.failed)
		return answer.failed
	}
	w.Header().Set("Landingtrail-Replayed", "true")
	if c.parsed.request.Stream {
		replayStream(newStreamSink(w, c.proxy.config.Timeouts.Write, nil), answer.answer.Body)
		return nil
	}
	_ = writeWhole(w, c.proxy.config.Timeouts.Write, answer.answer.Body) // the caller may be gone
	return nil
}

// demandKey is what the request's demand is counted under.
func (c *call) demandKey() demandKey {
	known := c.proxy.lanes.catalog.Load()
	return demandKey{intent: known.intentFor(c.parsed.request.Model, c.envelope.class), class: c.envelope.class}
}

// offer counts the request for the planner when it comes: what is counted at
// the end is late by the time of a run, and short of all that was never served.
func (c *call) offer() {
	c.proxy.demand.add(c.demandKey(), func(demand *feed.Demand) {
		demand.Requests++
		demand.PromptTokens += float64(c.parsed.promptTokens)
		demand.OutputTokens += float64(c.expected)
	})
}

// account counts the request's end for the planner and the metrics.
func (c *call) account(failed *failure, took time.Duration) {
	c.proxy.metrics.ended(c.lane.service, c.envelope.class, failed, took)
	if failed == nil {
		c.proxy.answers.Learn(c.envelope.class, c.life.Passed())
	}
	c.proxy.demand.add(c.demandKey(), func(demand *feed.Demand) {
		demand.CachedPromptTokens += float64(c.cached)
		if failed == nil {
			return
		}
		switch failed.code {
		case codeQueueFull, codeNoEngine, codeDeadlineShort:
			demand.Refused++
		case codeDeadlineExceeded:
			demand.Late++
		}
	})
}

// serveModels answers GET /v1/models.
func (p *Proxy) serveModels(w http.ResponseWriter, _ *http.Request) {
	p.prepare(w)
	s := p.standing()
	if failed := p.refuseLost(&s, api.ServiceModel); failed != nil {
		failed.write(w)
		return
	}
	names := s.catalog.models()
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
