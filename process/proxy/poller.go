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
	"github.com/landingtrail/landingtrail/connection/upstream"
	"github.com/landingtrail/landingtrail/process/pause"
)

// Errors of polls.
var (
	errPoll     = errors.New("poll failed") // the answer is of no use
	errNoAnswer = errors.New("no answer to the poll")
)

// maxReportBytes bounds a load report or a page of cache events.
const maxReportBytes = 4 << 20

// pollFailures is how many polls in a row must fail before the endpoint is suspect.
const pollFailures = 3

// poller asks one endpoint for its load and cache events. It goes by net/http
// and not by httpc: the breaker in httpc would stop the polls of an endpoint
// that fails, and with them the news that it is back.
type poller struct {
	proxy    *Proxy
	lane     *lane
	endpoint *endpoint
	stop     context.CancelFunc
}

func (p *Proxy) startPoller(l *lane, followed *endpoint) *poller {
	ctx, cancel := context.WithCancel(p.background)
	started := &poller{proxy: p, lane: l, endpoint: followed, stop: cancel}
	p.tasks.Go(func() { started.run(ctx) })
	return started
}

func (p *poller) run(ctx context.Context) {
	intervals := p.proxy.config.Intervals
	var asked time.Time // the last page of cache events
	failures := 0
	for p.mayPoll(ctx, failures) {
		failures = p.judge(ctx, failures, p.pollLoad(ctx))
		if p.endpoint.model && time.Since(asked) >= intervals.Cache && p.lane.cacheBudget.limiter.AllowN(time.Now(), typicalPollBytes) {
			asked = time.Now()
			p.pollCache(ctx)
		}
		if !pause.Sleep(ctx, jitter(intervals.Load)) {
			return
		}
	}
}

// mayPoll waits for the budget. An endpoint that has just failed to answer, or
// takes no new work by its own word, is asked again without waiting: that it is
// silent or serves again is known as soon as with few endpoints.
func (p *poller) mayPoll(ctx context.Context, failures int) bool {
	justFailed := failures > 0 && failures < pollFailures
	if justFailed || closedPhase(p.endpoint.word().phase) {
		p.lane.loadBudget.limiter.AllowN(time.Now(), typicalPollBytes) // the others have what is left
		return ctx.Err() == nil
	}
	return p.lane.loadBudget.wait(ctx)
}

// judge returns how many polls in a row have failed after one more.
func (p *poller) judge(ctx context.Context, failures int, err error) int {
	if err == nil {
		return 0
	}
	failures++
	if failures < pollFailures || ctx.Err() != nil {
		return failures
	}
	if failures == pollFailures {
		p.endpoint.fail(p.proxy.clock())
	}
	if errors.Is(err, errNoAnswer) {
		p.endpoint.markSilent()
	}
	return failures
}

// jitter spreads polls over time, so that daemons do not ask in step.
func jitter(interval time.Duration) time.Duration {
	return interval*9/10 + time.Duration(rand.Int64N(int64(interval/5)+1))
}

func (p *poller) pollLoad(ctx context.Context) error {
	var load engineapi.Load
	asked := p.proxy.clock()
	header, err := p.get(ctx, p.lane.loadBudget, engineapi.PathLoad, &load)
	now := p.proxy.clock()
	if p.endpoint.speaksForAnother(load) {
		return errors.Wrapf(errNoAnswer, "engine %s answers", load.Engine)
	}
	if header != nil {
		p.endpoint.hearHeader(asked, now, header)
	}
	if err != nil {
		return err
	}
	p.endpoint.report(asked, now, load)
	p.proxy.noteLife(p.endpoint, asked)
	return nil
}

func (p *poller) pollCache(ctx context.Context) {
	p.endpoint.lock.Lock()
	after := p.endpoint.cache.next
	p.endpoint.lock.Unlock()
	var page engineapi.CacheEvents
	path := engineapi.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	if _, err := p.get(ctx, p.lane.cacheBudget, path, &page); err != nil {
		return // cache events are hints; the next page will do
	}
	p.endpoint.lock.Lock()
	defer p.endpoint.lock.Unlock()
	if page.Incarnation != p.endpoint.incarnation {
		p.endpoint.cache.reset()
		return
	}
	p.endpoint.cache.apply(page, after)
}

// get reads one JSON answer. The header is not nil when the endpoint has
// answered at all.
func (p *poller) get(ctx context.Context, budget *pollBudget, path string, into any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, p.proxy.config.Timeouts.Head)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.endpoint.address+path, nil)
	if err != nil {
		return nil, errors.Wrap(errPoll, err.Error())
	}
	request.Header.Set("User-Agent", "") // bytes that no endpoint needs
	response, err := p.lane.polls.Do(request, newPollIdentity())
	if errors.Is(err, upstream.ErrForeign) {
		return nil, errors.Wrap(errPoll, err.Error())
	}
	if err != nil {
		return nil, errors.Wrap(errNoAnswer, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	budget.charge(wireBytes(request, response.Header, len(body)))
	if err != nil {
		return response.Header, errors.Wrap(errPoll, err.Error())
	}
	if response.StatusCode != http.StatusOK {
		return response.Header, errors.Wrapf(errPoll, "status %d", response.StatusCode)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return response.Header, errors.Wrap(errPoll, err.Error())
	}
	return response.Header, nil
}

// pollIDBits make a poll's ID differ from those of all polls whose answers can
// be under way, and keep it to eight digits: each poll carries it twice.
const pollIDBits = 40

// newPollIdentity names one poll. An identity costs fewer bytes and less time
// than a connection for each poll.
func newPollIdentity() upstream.Identity {
	return upstream.Identity{RequestID: strconv.FormatUint(rand.Uint64N(1<<pollIDBits), 36)}
}

func incarnationOf(header http.Header) uint64 {
	incarnation, err := strconv.ParseUint(header.Get(engineapi.HeaderIncarnation), 10, 64)
	if err != nil {
		return 0
	}
	return incarnation
}
