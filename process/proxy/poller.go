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
)

// errPoll is returned for an answer to a poll that is of no use.
var errPoll = errors.New("poll failed")

// maxReportBytes bounds a load report or a page of cache events.
const maxReportBytes = 4 << 20

// pollFailures is how many polls in a row must fail before the endpoint is suspect.
const pollFailures = 3

// maxRoundsPerSecond bounds the polls of a lane: with more endpoints each is
// asked less often. A proxy that follows 192 engines every 250 ms spends a
// fifth of a core on it (docs/CAPACITY.md).
const maxRoundsPerSecond = 100

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
	var sinceCache time.Duration
	failures := 0
	for {
		if p.pollLoad(ctx) == nil {
			failures = 0
		} else if failures++; failures == pollFailures && ctx.Err() == nil {
			p.endpoint.fail(p.proxy.clock())
		}
		interval := p.interval()
		if sinceCache += interval; p.endpoint.model && sinceCache >= intervals.Cache {
			sinceCache = 0
			p.pollCache(ctx)
		}
		if !sleep(ctx, jitter(interval)) {
			return
		}
	}
}

// interval is the configured one, or as long as the lane's bound makes it.
func (p *poller) interval() time.Duration {
	followed := len(*p.lane.endpoints.Load())
	return max(p.proxy.config.Intervals.Load, time.Duration(followed)*time.Second/maxRoundsPerSecond)
}

// jitter spreads polls over time, so that daemons do not ask in step.
func jitter(interval time.Duration) time.Duration {
	return interval*9/10 + time.Duration(rand.Int64N(int64(interval/5)+1))
}

// sleep returns false when ctx ended first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (p *poller) pollLoad(ctx context.Context) error {
	var load engineapi.Load
	header, err := p.get(ctx, engineapi.PathLoad, &load)
	now := p.proxy.clock()
	if header != nil {
		p.endpoint.hearHeader(now, header)
	}
	if err != nil {
		return err
	}
	p.endpoint.report(now, load)
	return nil
}

func (p *poller) pollCache(ctx context.Context) {
	p.endpoint.lock.Lock()
	after := p.endpoint.cache.next
	p.endpoint.lock.Unlock()
	var page engineapi.CacheEvents
	path := engineapi.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	if _, err := p.get(ctx, path, &page); err != nil {
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
func (p *poller) get(ctx context.Context, path string, into any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, p.proxy.config.Timeouts.Head)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.endpoint.address+path, nil)
	if err != nil {
		return nil, errors.Wrap(errPoll, err.Error())
	}
	response, err := p.lane.polls.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
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

func incarnationOf(header http.Header) uint64 {
	incarnation, err := strconv.ParseUint(header.Get(engineapi.HeaderIncarnation), 10, 64)
	if err != nil {
		return 0
	}
	return incarnation
}
