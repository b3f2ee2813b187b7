package campaign

import (
	"time"

	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/request/router"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
)

// pendingRequest is one request in one proxy.
type pendingRequest struct {
	call      *call
	lifecycle *attempt.Lifecycle
	nonce     uint64
	// claimedAgain tells that a claim without an answer was sent once more.
	claimedAgain bool
	claimed      bool
	settled      bool
	endpoint     *engineHost
	activity     time.Duration // of the open attempt
	answered     bool
	tokens       []string
}

// acceptNext takes the next request out of the socket.
func (p *proxyHost) acceptNext() {
	next := p.arriving[0]
	p.arriving = p.arriving[1:]
	p.accept(next)
}

// accept takes a caller's request.
func (p *proxyHost) accept(c *call) {
	request := &pendingRequest{
		call:      c,
		lifecycle: attempt.New(attempt.Policy{AtMostOnce: c.once, MaxAttempts: maxAttempts, MaxResumes: maxResumes}),
	}
	p.requests = append(p.requests, request)
	p.after(c.deadline, func() { p.expire(request) })
	if !c.once {
		p.dispatch(request)
		return
	}
	request.nonce = p.random.Uint64()
	p.claim(request)
	p.after(claimTimeout, func() {
		if request.lifecycle.Expire() {
			p.settle(request, api.RunNotRun)
			p.answer(request, attempt.RanNo)
		}
	})
}

// expire gives a request up at its deadline.
func (p *proxyHost) expire(request *pendingRequest) {
	if request.answered {
		return
	}
	if request.lifecycle.Expire() {
		p.settle(request, api.RunNotRun)
		p.answer(request, attempt.RanNo)
		return
	}
	p.giveUp(request)
}

func (p *proxyHost) giveUp(request *pendingRequest) {
	ran := request.lifecycle.GiveUp()
	if ran == attempt.RanNo {
		p.settle(request, api.RunNotRun)
	} else {
		p.settle(request, api.RunUnknown)
	}
	p.answer(request, ran)
}

// claim asks the leader for the right to run a marked request.
func (p *proxyHost) claim(request *pendingRequest) {
	c := request.call
	command := state.Command{Kind: state.CommandClaim, Claim: &state.ClaimRequest{
		Tenant: c.tenant, Key: c.key, BodyHash: c.body, Attempt: 1, Proxy: p.daemon, Nonce: request.nonce,
		Retention: retention.Milliseconds(),
	}}
	p.propose(command, func(result any, known bool) {
		claimed, ok := result.(api.ClaimResult)
		if known && ok {
			p.claimedResult(request, claimed)
			return
		}
		p.claimAgain(request)
	}, func() { p.refuseClaim(request) })
}

// claimAgain asks once more after a leader stepped down in the middle of a
// claim. The same nonce gets the same answer, so asking again is safe.
func (p *proxyHost) claimAgain(request *pendingRequest) {
	if request.answered || request.claimedAgain {
		return
	}
	request.claimedAgain = true
	p.after(claimRetry, func() {
		if !request.answered && request.lifecycle.State() == attempt.Queued {
			p.claim(request)
		}
	})
}

// refuseClaim answers a request that no leader could claim, at once.
func (p *proxyHost) refuseClaim(request *pendingRequest) {
	if request.lifecycle.Expire() {
		p.answer(request, attempt.RanNo)
	}
}

func (p *proxyHost) claimedResult(request *pendingRequest, result api.ClaimResult) {
	if request.answered {
		return
	}
	if result.Code == api.ClaimGranted {
		request.claimed = true
		p.dispatch(request)
		return
	}
	if !request.lifecycle.Expire() {
		return
	}
	request.settled = true // the claim is another request's
	if result.Code == api.ClaimDone && result.Claim.Outcome == api.RunCompleted {
		p.reply(request, response{ran: attempt.RanYes, replayed: string(result.Claim.Answer), whole: true})
		return
	}
	p.reply(request, response{ran: attempt.RanUnknown})
}

// dispatch takes the request out of the queue and runs its first attempt.
func (p *proxyHost) dispatch(request *pendingRequest) {
	if request.lifecycle.Dispatch() {
		p.advance(request)
	}
}

// advance does what may be done next for the request.
func (p *proxyHost) advance(request *pendingRequest) {
	if request.answered {
		return
	}
	next := request.lifecycle.Next()
	switch next.Kind {
	case attempt.StepRun:
		p.run(request)
	case attempt.StepResume:
		p.resume(request, next)
	case attempt.StepStop:
		if !request.lifecycle.Done() {
			p.giveUp(request)
		}
	}
}

// run chooses an engine and sends the request to it.
func (p *proxyHost) run(request *pendingRequest) {
	current := p.holder.Load()
	c := request.call
	if c.once && !p.holder.Valid(p.clock()) {
		p.later(request)
		return
	}
	decision, reason := p.router.Route(p.snapshot(current), router.Request{
		ID: c.id, Model: c.model, PromptTokens: c.promptTokens, OutputTokens: c.outputTokens,
		Deadline: c.deadline, Zone: p.zone,
	}, p.random)
	if reason != router.ReasonNone {
		p.later(request)
		return
	}
	host := p.world.engineByName(decision.Target.Name)
	number, err := request.lifecycle.Begin(host.name, decision.Target.Incarnation)
	if err != nil {
		p.giveUp(request)
		return
	}
	p.world.oracle.dispatched(p, host, current.Version)
	p.sendRun(request, host, number, decision.Target.Incarnation)
}

// later tries again soon, as the proxy's queue does, until the deadline.
func (p *proxyHost) later(request *pendingRequest) {
	p.after(retryDelay, func() { p.advance(request) })
}

func (p *proxyHost) sendRun(request *pendingRequest, host *engineHost, number uint32, incarnation uint64) {
	c := request.call
	request.endpoint = host
	request.activity = p.clock()
	request.tokens = nil
	request.lifecycle.Wrote(number)
	run := enginemodel.Request{
		Key:          enginemodel.RunKey{ID: c.id, Attempt: number},
		Model:        c.model,
		Incarnation:  incarnation,
		PromptTokens: c.promptTokens,
		OutputTokens: c.outputTokens,
		PromptHash:   c.body,
		Context:      &stream{proxy: p, request: request, number: number},
	}
	p.world.network.send(&p.process, &host.process, func() {
		admission := host.admit(run, p, request)
		incarnation := host.incarnation()
		phase := host.model.State().Phase
		p.world.network.send(&host.process, &p.process, func() {
			p.hear(host.name, phase, incarnation, p.clock())
			p.admitted(request, number, host, incarnation, admission)
		})
	})
	p.after(admitTimeout, func() { p.checkStall(request, number, admitTimeout) })
}

func (p *proxyHost) admitted(request *pendingRequest, number uint32, host *engineHost, incarnation uint64, admission enginemodel.Admission) {
	request.activity = p.clock()
	if admission.Admitted {
		request.lifecycle.Admit(number, incarnation)
		return
	}
	fault := attempt.FaultRefused
	if admission.Refusal == enginemodel.RefusalDuplicate {
		fault = attempt.FaultBroken
	}
	p.word(host.name).refusedTill = p.clock() + refusalMemory
	request.lifecycle.Fail(number, fault)
	p.later(request)
}

// frame takes one event of a stream.
func (p *proxyHost) frame(request *pendingRequest, number uint32, f frame) {
	request.activity = p.clock()
	if request.answered {
		return
	}
	if f.last {
		if f.offset == len(request.tokens) && request.lifecycle.Finish(number) {
			p.complete(request)
		}
		return
	}
	switch request.lifecycle.Accept(number, f.offset, 1) {
	case attempt.VerdictPass:
		request.tokens = append(request.tokens, f.text)
	case attempt.VerdictLate, attempt.VerdictDuplicate:
		p.world.strike(strikeLateFrame)
	case attempt.VerdictGap:
		request.lifecycle.Fail(number, attempt.FaultBroken)
		p.later(request)
	}
}

// complete records the outcome of a marked request before its answer ends.
func (p *proxyHost) complete(request *pendingRequest) {
	p.settle(request, api.RunCompleted)
	p.reply(request, response{ran: attempt.RanYes, tokens: request.tokens, whole: true})
}

func (p *proxyHost) checkStall(request *pendingRequest, number uint32, silence time.Duration) {
	if request.answered || request.lifecycle.Next().Kind != attempt.StepWait {
		return
	}
	records := request.lifecycle.Attempts()
	if records[len(records)-1].Number != number {
		return
	}
	if p.clock()-request.activity >= silence {
		p.world.strike(strikeStall)
		request.lifecycle.Fail(number, attempt.FaultBroken)
		p.advance(request)
		return
	}
	p.after(stallTimeout/4, func() { p.checkStall(request, number, stallTimeout) })
}

// resume takes the stream of the last attempt up again.
func (p *proxyHost) resume(request *pendingRequest, step attempt.Step) {
	host := p.world.engineByName(step.Endpoint)
	if request.lifecycle.Resume(step.Number) != nil {
		p.later(request)
		return
	}
	request.activity = p.clock()
	key := enginemodel.RunKey{ID: request.call.id, Attempt: step.Number}
	to := &stream{proxy: p, request: request, number: step.Number}
	p.world.network.send(&p.process, &host.process, func() {
		allowed := host.resume(key, step.Incarnation, step.Offset, to)
		p.world.network.send(&host.process, &p.process, func() {
			if allowed {
				p.world.strike(strikeResume)
				return
			}
			request.lifecycle.Fail(step.Number, attempt.FaultBroken)
			request.lifecycle.AbandonResume(step.Number)
			p.advance(request)
		})
	})
	p.after(stallTimeout, func() { p.checkStall(request, step.Number, stallTimeout) })
}

// settle records what became of a marked request, until a leader has taken it.
func (p *proxyHost) settle(request *pendingRequest, outcome api.RunOutcome) {
	if !request.call.once || request.settled || request.nonce == 0 {
		return
	}
	record := state.RunOutcome{Tenant: request.call.tenant, Key: request.call.key, Nonce: request.nonce, Outcome: outcome}
	if outcome == api.RunCompleted {
		record.Answer = []byte(joinTokens(request.tokens))
	}
	p.propose(state.Command{Kind: state.CommandRunOutcome, RunOutcome: &record}, func(_ any, known bool) {
		request.settled = request.settled || known
	}, func() {})
	p.after(outcomeInterval, func() { p.settle(request, outcome) })
}

func (p *proxyHost) answer(request *pendingRequest, ran attempt.Ran) {
	p.reply(request, response{ran: ran})
}

func (p *proxyHost) reply(request *pendingRequest, answer response) {
	if request.answered {
		return
	}
	request.answered = true
	request.call.end(answer)
}

// sweep forgets requests that are over.
func (p *proxyHost) sweep() {
	open := p.requests[:0]
	for _, request := range p.requests {
		if !request.answered {
			open = append(open, request)
		}
	}
	p.requests = open
}
