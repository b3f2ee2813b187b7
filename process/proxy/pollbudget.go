package proxy

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// cacheEventShare is the share of a lane's poll traffic that is reserved for cache events. The
// budgets are separate so that a large page of cache events does not delay load reports.
const cacheEventShare = 1.0 / 3

// typicalPollBytes is reserved before each poll. The size beyond it is charged afterwards.
const typicalPollBytes = 400

// pollBurstWindow is the time over which an unused budget accumulates. It also caps the charge for a
// large response, so that no single page stops a lane's polls for longer than this.
const pollBurstWindow = 4 * time.Second

// pollBudget limits the traffic of one kind of poll in one lane. Pollers wait in first-come order,
// so with more endpoints each is polled less often. Call resize before the first use.
type pollBudget struct{ limiter *rate.Limiter }

// resize sets the bytes per second. The first call also fills the budget, so that a proxy learns
// the state of its endpoints soon after its start.
func (b *pollBudget) resize(bytesPerSecond float64) {
	limit := rate.Limit(bytesPerSecond)
	burst := max(2*typicalPollBytes, int(bytesPerSecond*pollBurstWindow.Seconds()))
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(limit, burst)
		return
	}
	b.limiter.SetLimit(limit)
	b.limiter.SetBurst(burst)
}

// wait waits until the bytes of one poll are reserved. It returns false if ctx ends first.
func (b *pollBudget) wait(ctx context.Context) bool {
	return b.limiter.WaitN(ctx, typicalPollBytes) == nil
}

// charge deducts the bytes that a poll used beyond its reservation.
func (b *pollBudget) charge(spent int) {
	if extra := min(spent-typicalPollBytes, b.limiter.Burst()); extra > 0 {
		b.limiter.ReserveN(time.Now(), extra)
	}
}

// sharePollBudget divides the proxy's poll traffic equally among the lanes, with or without
// endpoints, so that a service with many engines does not slow down the polls of plain backends.
func (p *Proxy) sharePollBudget(lanes map[string]*lane) {
	share := p.config.Limits.PollBytes / float64(max(1, len(lanes)))
	for _, l := range lanes {
		l.cacheBudget.resize(share * cacheEventShare)
		l.loadBudget.resize(share * (1 - cacheEventShare))
	}
}

// Bytes of an HTTP message that wireBytes does not count one by one: the fixed parts of the request
// and status lines, and separators and headers that net/http adds.
const (
	requestOverheadBytes  = 25 // "GET  HTTP/1.1", "Host: " and line ends
	responseOverheadBytes = 19 // "HTTP/1.1 200 OK" and line ends
	headerOverheadBytes   = 4  // ": " and the line end
)

// wireBytes estimates the bytes that a poll sends and receives on its connection.
func wireBytes(request *http.Request, header http.Header, body int) int {
	total := requestOverheadBytes + len(request.URL.RequestURI()) + len(request.URL.Host) + responseOverheadBytes + body
	return total + headerBytes(request.Header) + headerBytes(header)
}

func headerBytes(header http.Header) int {
	total := 0
	for name, values := range header {
		for _, value := range values {
			if value != "" { // net/http omits an empty User-Agent
				total += len(name) + len(value) + headerOverheadBytes
			}
		}
	}
	return total
}
