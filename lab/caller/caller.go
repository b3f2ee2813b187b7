// Package caller plays a trace against a proxy in real time, as the callers of a
// deployment would, and checks every answer: that it is whole and that it
// belongs to its own request.
package caller

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/lab/trace"
	"github.com/landingtrail/landingtrail/process/pause"
)

// Headers of the product that a caller sends.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerRepeat         = "Landingtrail-Repeat"
	headerDeadline       = "Landingtrail-Deadline" // milliseconds left
	headerClass          = "Landingtrail-Class"
	headerTenant         = "Landingtrail-Tenant"
)

// deadlineUnit is what headerDeadline is rounded down to.
const deadlineUnit = time.Millisecond

// Defaults of a Config.
const (
	DefaultConcurrency = 2048
	// DefaultPatience is how long after its deadline a caller still waits for
	// an answer before it counts the request as lost.
	DefaultPatience = 2 * time.Second
)

// Config is what a player is made of.
type Config struct {
	Proxy string // IP and port
	Items []trace.Item
	// Zone plays the items of one zone only; "" plays all.
	Zone string
	// Name tells the prompts of players apart that play the same trace.
	Name string
	// Speed divides the times at which items are sent; 0 is 1. Deadlines keep
	// their length.
	Speed float64
	// Concurrency bounds the requests in flight; an item that finds none free
	// is not sent and counted as such. 0 is DefaultConcurrency.
	Concurrency int
	// RetryRefused sends a request that was surely not run again, after the
	// answer's Retry-After, while its deadline allows.
	RetryRefused bool
	Patience     time.Duration // 0 is DefaultPatience
	// Observe is called with the outcome of every item, from many goroutines;
	// nil is not called.
	Observe func(Observation)
}

// Observation is the outcome of one item, to be compared with the ledgers of
// engines and back ends.
type Observation struct {
	Item    *trace.Item
	Outcome Outcome
	// PromptHash is the one in the ledgers of engines (the prompt's) and back
	// ends (the path's, without the proxy's prefix).
	PromptHash uint64
	Latency    time.Duration
	RetryAfter time.Duration
	Detail     string // what was said of a failure
}

// player is one run of Play.
type player struct {
	config  Config
	client  *http.Client
	report  *recorder
	started time.Time
	slots   chan struct{}
	flights sync.WaitGroup
}

// Play sends every item at its time and returns when all have their outcome, or
// after ctx ended: items not sent by then are not counted, and those in flight
// count as interrupted.
func Play(ctx context.Context, config Config) Report {
	if config.Speed <= 0 {
		config.Speed = 1
	}
	if config.Concurrency <= 0 {
		config.Concurrency = DefaultConcurrency
	}
	if config.Patience <= 0 {
		config.Patience = DefaultPatience
	}
	transport := &http.Transport{MaxIdleConnsPerHost: config.Concurrency}
	defer transport.CloseIdleConnections()
	p := &player{
		config:  config,
		client:  &http.Client{Transport: transport, CheckRedirect: keepRedirect},
		report:  newRecorder(),
		started: time.Now(),
		slots:   make(chan struct{}, config.Concurrency),
	}
	p.sendAll(ctx)
	p.flights.Wait()
	return p.report.finish(time.Since(p.started))
}

// keepRedirect makes a redirect an answer like any other, so that no request is
// ever sent twice unseen.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (p *player) sendAll(ctx context.Context) {
	for i := range p.config.Items {
		item := &p.config.Items[i]
		if p.config.Zone != "" && item.Zone != p.config.Zone {
			continue
		}
		if !p.sleepUntil(ctx, item.At) {
			return
		}
		select {
		case p.slots <- struct{}{}:
		default:
			p.end(newCall(item, p.unique(i)), outcome{kind: OutcomeNotSent})
			continue
		}
		p.flights.Add(1)
		go p.fly(ctx, newCall(item, p.unique(i)))
	}
}

// sleepUntil waits for an item's time; false if ctx ended first.
func (p *player) sleepUntil(ctx context.Context, at time.Duration) bool {
	due := time.Duration(float64(at) / p.config.Speed)
	timer := time.NewTimer(due - time.Since(p.started))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// unique tells an item from others with the same content.
func (p *player) unique(index int) string { return p.config.Name + "-" + strconv.Itoa(index) }

// fly carries one call to its outcome.
func (p *player) fly(ctx context.Context, call *call) {
	defer p.flights.Done()
	defer func() { <-p.slots }()
	sent := time.Now()
	ended := p.attempt(ctx, call, sent)
	for p.config.RetryRefused && ended.kind == OutcomeRefused && ended.retryAfter > 0 {
		if time.Since(sent)+ended.retryAfter >= call.item.Deadline || !pause.Sleep(ctx, ended.retryAfter) {
			break
		}
		p.report.class(call.item).addRetry()
		ended = p.attempt(ctx, call, sent)
	}
	ended.latency = time.Since(sent)
	p.end(call, ended)
}

// end counts an outcome.
func (p *player) end(call *call, ended outcome) {
	p.report.class(call.item).add(ended)
	if p.config.Observe == nil {
		return
	}
	p.config.Observe(Observation{
		Item:       call.item,
		Outcome:    ended.kind,
		PromptHash: call.hash(),
		Latency:    ended.latency,
		RetryAfter: ended.retryAfter,
		Detail:     ended.detail,
	})
}

// attempt sends a call once and judges the answer.
func (p *player) attempt(ctx context.Context, call *call, sent time.Time) outcome {
	left := call.item.Deadline - time.Since(sent)
	limited, cancel := context.WithTimeout(ctx, left+p.config.Patience)
	defer cancel()
	request, err := call.request(limited, p.config.Proxy, left)
	if err != nil {
		panic(err) // built from constants and numbers alone
	}
	ended := p.exchange(request, call, sent)
	ended.judgeDeadline(time.Since(sent)+deadlineUnit >= call.item.Deadline)
	switch {
	case ended.final():
	case ctx.Err() != nil:
		ended.kind = OutcomeInterrupted
	case limited.Err() != nil:
		ended.kind = OutcomeGaveUp
	}
	return ended
}

func (p *player) exchange(request *http.Request, call *call, sent time.Time) outcome {
	response, err := p.client.Do(request)
	if err != nil {
		return outcome{kind: OutcomeUnknown, detail: err.Error()}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return judgeError(response)
	}
	if call.item.Model == "" {
		return judgeBody(response.Body, call)
	}
	return judgeStream(response.Body, call, sent)
}
