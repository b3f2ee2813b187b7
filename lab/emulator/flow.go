package emulator

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/lab/trace"
	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/request/limit"
	"github.com/landingtrail/landingtrail/request/retry"
	"github.com/landingtrail/landingtrail/request/router"
)

// flow is one request on its way through a proxy.
type flow struct {
	run       *run
	proxy     *proxy
	item      *trace.Item
	id        string
	number    int // position in the trace
	blocks    []uint64
	lifecycle *attempt.Lifecycle
	deadline  time.Duration
	excluded  map[string]bool
	retries   int
	stage     *stage // the open one
	stages    uint32
	runs      int // admitted by an engine that generates
	received  int // tokens of the current run
	cached    int // prompt tokens found in caches
	waiting   *limit.Waiting
	release   func() // gives back the place in the lane; nil without one
	closed    bool
}

const maxAttempts = 4

var backoff = retry.Backoff{Base: 10 * time.Millisecond, Cap: 500 * time.Millisecond}

func newFlow(r *run, number int) *flow {
	item := &r.config.Items[number]
	f := &flow{
		run:       r,
		proxy:     r.proxyOf(item.Zone),
		item:      item,
		id:        strconv.Itoa(number),
		number:    number,
		lifecycle: attempt.New(attempt.Policy{AtMostOnce: item.RepeatNever, Buffered: true, MaxAttempts: maxAttempts}),
		deadline:  r.now + item.Deadline,
	}
	f.blocks = enginemodel.SyntheticBlocks(item.Model, item.Prefix, item.PrefixTokens, uint64(number)+1,
		item.PromptTokens, r.config.Engine.BlockTokens)
	return f
}

// arrive asks for a place in the proxy's lane.
func (f *flow) arrive() {
	f.run.at(f.deadline, f.expire)
	f.run.demand.offer(f.item, f.proxy.expectedOutput(f.item.Class))
	waiting, refusal := f.proxy.queue.Enter(f.ticket())
	if refusal != nil {
		f.close(string(refusal.Reason))
		return
	}
	f.waiting = waiting
	f.proxy.waiting = append(f.proxy.waiting, f)
	f.proxy.startGranted()
}

// ticket is the request as the queue sees it.
func (f *flow) ticket() limit.Ticket {
	return limit.Ticket{
		Class:    f.item.Class,
		Priority: classPriorities[f.item.Class],
		Tenant:   f.item.Tenant,
		Weight:   tenantWeights[f.item.Tenant],
		Cost:     float64(f.item.PromptTokens + f.proxy.expectedOutput(f.item.Class)),
		Deadline: wallClock(f.deadline),
		Gate:     f.lifecycle,
	}
}

// start runs a request that was let through. A marked one waits for its claim
// to be committed.
func (f *flow) start() {
	f.release = f.waiting.Start()
	f.waiting = nil
	f.proxy.budget.Deposit()
	if f.item.RepeatNever {
		f.run.after(f.run.config.CommitLatency, f.route)
		return
	}
	f.route()
}

// route decides on the next attempt.
func (f *flow) route() {
	if f.closed {
		return
	}
	if f.lifecycle.Next().Kind != attempt.StepRun {
		f.giveUp("no attempt left")
		return
	}
	decision, reason := f.decide()
	switch reason {
	case router.ReasonNone:
		f.dispatch(decision)
	case router.ReasonNoEngine:
		f.retry(string(reason), false)
	default:
		f.giveUp(string(reason))
	}
}

func (f *flow) decide() (router.Decision, router.Reason) {
	request := router.Request{
		ID:           f.id,
		Service:      f.item.Service,
		Class:        f.item.Class,
		Tenant:       f.item.Tenant,
		Model:        f.item.Model,
		PromptTokens: f.item.PromptTokens,
		OutputTokens: f.proxy.expectedOutput(f.item.Class),
		Blocks:       f.blocks,
		Deadline:     f.deadline - f.run.now,
		Excluded:     f.excluded,
		Zone:         f.proxy.zone,
	}
	return f.run.router.Route(f.proxy.snapshot(), request, f.proxy.random)
}

// splitAgain routes a request anew whose prompt could not be read or handed
// over by way of an engine. No run was begun, so it is no retry.
func (f *flow) splitAgain(failed string) {
	f.stage = nil
	f.exclude(failed)
	decision, reason := f.decide()
	if reason != router.ReasonNone {
		f.giveUp(string(reason))
		return
	}
	f.dispatch(decision)
}

func (f *flow) dispatch(decision router.Decision) {
	generator := f.proxy.target(decision.Target)
	if !f.run.limits.permit(generator.host) {
		f.splitAgain(generator.host.name)
		return
	}
	if decision.Prefill != nil {
		reader := f.proxy.target(decision.Prefill)
		if !f.run.limits.permit(reader.host) {
			f.splitAgain(reader.host.name)
			return
		}
		f.open(&stage{flow: f, target: reader, next: generator})
		return
	}
	f.open(&stage{flow: f, target: generator})
}

// open sends a stage to its engine.
func (f *flow) open(s *stage) {
	f.stages++
	s.number = f.stages
	f.stage = s
	s.send()
}

// exclude leaves an engine out of the next attempts.
func (f *flow) exclude(name string) {
	if f.excluded == nil {
		f.excluded = map[string]bool{}
	}
	f.excluded[name] = true
}

// retry routes again after a pause, if the budget and the deadline allow it.
// After a refusal because of a planned change it is free and comes at once.
func (f *flow) retry(reason string, free bool) {
	f.stage = nil
	if f.lifecycle.Next().Kind != attempt.StepRun || f.retries >= maxAttempts {
		f.giveUp(reason)
		return
	}
	if !free && !f.proxy.budget.Withdraw() {
		f.giveUp(reason)
		return
	}
	delay, fits := backoff.Delay(f.retries, f.deadline-f.run.now, f.proxy.random)
	if !fits {
		f.giveUp(reason)
		return
	}
	f.retries++
	if free {
		delay = 0
	}
	f.run.after(delay, f.route)
}

// expire ends a request at its deadline.
func (f *flow) expire() {
	if f.closed {
		return
	}
	if f.waiting != nil {
		f.proxy.forget(f)
		f.waiting.Leave(limit.ReasonExpired)
		f.close(string(limit.ReasonExpired))
		return
	}
	f.giveUp("deadline passed")
}

// giveUp answers the request without a whole answer, at once.
func (f *flow) giveUp(reason string) {
	if f.closed {
		return
	}
	f.lifecycle.GiveUp()
	if f.stage != nil {
		f.stage.cancel()
		f.stage = nil
	}
	f.close(reason)
}

// close counts the request's end.
func (f *flow) close(reason string) {
	f.closed = true
	f.run.inFlight--
	f.run.demand.cached(f.cached)
	f.leave()
	result := f.run.result
	switch {
	case f.lifecycle.State() == attempt.Done:
		f.complete()
	case f.lifecycle.State() == attempt.Refused:
		result.Refused++
		result.Reasons[reason]++
		if f.runs > 0 {
			result.RefusedButRan++
		}
	case f.run.now >= f.deadline:
		result.Late++
	default:
		result.Unknown++
	}
	if f.item.RepeatNever && f.runs > 1 {
		result.RanTwice++
	}
}

// leave gives the place in the lane to the next request.
func (f *flow) leave() {
	if f.release == nil {
		return
	}
	f.release()
	f.proxy.startGranted()
}

func (f *flow) complete() {
	result := f.run.result
	f.proxy.answers.Learn(f.item.Class, f.item.OutputTokens)
	if f.received != f.item.OutputTokens {
		result.WrongAnswer++
	}
	if f.run.now > f.deadline {
		result.Late++
		return
	}
	tokens := int64(f.item.PromptTokens + f.item.OutputTokens)
	result.Completed++
	result.UsefulTokens += tokens
	f.run.sampleAt(f.item.At).UsefulTokens += tokens
	class := result.class(f.item.Class)
	class.Completed++
	class.Latency += f.run.now - f.item.At
}

func sortStages(stages []*stage) {
	slices.SortFunc(stages, func(a, b *stage) int {
		return cmp.Or(cmp.Compare(a.flow.number, b.flow.number), cmp.Compare(a.number, b.number))
	})
}
