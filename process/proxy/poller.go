package proxy

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/connection/responsecheck"
	"github.com/landingtrail/landingtrail/connection/upstream"
	"github.com/landingtrail/landingtrail/process/pause"
)

// Errors of polls.
var (
	errUnusableResponse = errors.New("poll returned no usable response")
	errNoResponse       = errors.New("endpoint did not respond to the poll")
)

// maxReportBytes limits the size of a load report or a page of cache events.
const maxReportBytes = 4 << 20

// suspectAfterPolls is how many consecutive polls must fail before the endpoint becomes suspect.
const suspectAfterPolls = 3

// poller polls one endpoint for its load report and cache events. It uses net/http instead of
// go-zero's httpc, whose circuit breaker would stop polling a failing endpoint and so delay
// noticing its recovery.
type poller struct {
	proxy    *Proxy
	lane     *lane
	endpoint *endpoint
	stop     context.CancelFunc
}

func (p *Proxy) startPoller(l *lane, target *endpoint) *poller {
	ctx, cancel := context.WithCancel(p.background)
	started := &poller{proxy: p, lane: l, endpoint: target, stop: cancel}
	p.tasks.Go(func() { started.run(ctx) })
	return started
}

func (p *poller) run(ctx context.Context) {
	intervals := p.proxy.config.Intervals
	var cachePolledAt time.Time // when cache events were last polled
	failures := 0
	for p.waitForBudget(ctx, failures) {
		failures = p.recordResult(ctx, failures, p.pollLoad(ctx))
		// AllowN also charges the poll of cache events to their budget.
		if p.endpoint.model && time.Since(cachePolledAt) >= intervals.Cache && p.lane.cacheBudget.limiter.AllowN(time.Now(), typicalPollBytes) {
			cachePolledAt = time.Now()
			p.pollCache(ctx)
		}
		if !pause.Sleep(ctx, jitter(intervals.Load)) {
			return
		}
	}
}

// waitForBudget waits until the budget allows the next poll. It does not wait for an endpoint that
// has just failed a poll or reports that it takes no new work, so that its failure or return is
// noticed promptly however many endpoints share the budget. It returns false if ctx has ended.
func (p *poller) waitForBudget(ctx context.Context, failures int) bool {
	justFailed := failures > 0 && failures < suspectAfterPolls
	if justFailed || refusesNewWork(p.endpoint.reported().phase) {
		p.lane.loadBudget.limiter.AllowN(time.Now(), typicalPollBytes) // charge the poll if the budget allows; go ahead either way
		return ctx.Err() == nil
	}
	return p.lane.loadBudget.wait(ctx)
}

// recordResult takes the number of consecutive failed polls and the error of the next poll, and
// returns the new number. When that reaches suspectAfterPolls, the endpoint becomes suspect for a
// limited time, once for the series. From then on it is also silent, and so suspect until it
// responds, if it does not respond at all.
func (p *poller) recordResult(ctx context.Context, failures int, err error) int {
	if err == nil {
		return 0
	}
	failures++
	if failures < suspectAfterPolls || ctx.Err() != nil {
		return failures
	}
	if failures == suspectAfterPolls {
		p.endpoint.recordFailure(p.proxy.clock())
	}
	if errors.Is(err, errNoResponse) {
		p.endpoint.markSilent()
	}
	return failures
}

// jitter returns the interval with a random deviation of up to 10%, so that proxies do not poll in
// lockstep.
func jitter(interval time.Duration) time.Duration {
	return interval*9/10 + time.Duration(rand.Int64N(int64(interval/5)+1))
}

func (p *poller) pollLoad(ctx context.Context) error {
	var load engineapi.Load
	sentAt := p.proxy.clock()
	header, err := p.getJSON(ctx, p.lane.loadBudget, engineapi.PathLoad, &load)
	now := p.proxy.clock()
	if p.endpoint.isFromOtherEngine(load) {
		return errors.Wrapf(errNoResponse, "the address belongs to engine %s", load.Engine)
	}
	if header != nil {
		p.endpoint.recordHeader(sentAt, now, header)
	}
	if err != nil {
		return err
	}
	p.endpoint.recordLoad(sentAt, now, load)
	p.proxy.reportAlive(p.endpoint, sentAt)
	return nil
}

func (p *poller) pollCache(ctx context.Context) {
	p.endpoint.lock.Lock()
	after := p.endpoint.cache.lastSequence
	p.endpoint.lock.Unlock()
	var page engineapi.CacheEvents
	path := engineapi.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	if _, err := p.getJSON(ctx, p.lane.cacheBudget, path, &page); err != nil {
		return // cache events are hints; the next poll catches up
	}
	p.endpoint.lock.Lock()
	defer p.endpoint.lock.Unlock()
	if page.Incarnation != p.endpoint.incarnation {
		p.endpoint.cache.reset()
		return
	}
	p.endpoint.cache.apply(page, after)
}

// getJSON polls the path and decodes the JSON response into the value. The header is nil unless the
// endpoint responded to this poll, be it with an error.
func (p *poller) getJSON(ctx context.Context, budget *pollBudget, path string, into any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, p.proxy.config.Timeouts.Head)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.endpoint.address+path, nil)
	if err != nil {
		return nil, errors.Wrap(errUnusableResponse, err.Error())
	}
	request.Header.Set("User-Agent", "") // omitted to save bytes on every poll
	response, err := p.lane.pollPool.Do(request, newPollIdentity())
	if errors.Is(err, upstream.ErrUnmatchedResponse) || errors.Is(err, responsecheck.ErrInvalid) {
		return nil, errors.Wrap(errUnusableResponse, err.Error())
	}
	if err != nil {
		return nil, errors.Wrap(errNoResponse, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	budget.charge(wireBytes(request, response.Header, len(body)))
	if err != nil {
		return response.Header, errors.Wrap(errUnusableResponse, err.Error())
	}
	if response.StatusCode != http.StatusOK {
		return response.Header, errors.Wrapf(errUnusableResponse, "status %d", response.StatusCode)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return response.Header, errors.Wrap(errUnusableResponse, err.Error())
	}
	return response.Header, nil
}

// pollIDBits is the size of a poll's random ID: enough to tell apart all polls in flight, in only
// eight base-36 digits, since each poll carries the ID twice.
const pollIDBits = 40

// newPollIdentity returns a random identity by which the response to a poll is matched to its
// request. That costs less traffic and time than a new connection for each poll.
func newPollIdentity() upstream.Identity {
	return upstream.Identity{RequestID: strconv.FormatUint(rand.Uint64N(1<<pollIDBits), 36)}
}

// incarnationOf returns the incarnation in the header, 0 if it is absent or invalid.
func incarnationOf(header http.Header) uint64 {
	incarnation, err := strconv.ParseUint(header.Get(engineapi.HeaderIncarnation), 10, 64)
	if err != nil {
		return 0
	}
	return incarnation
}
