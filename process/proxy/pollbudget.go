package proxy

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// cacheShare is the share of a model lane's bytes that its cache events get.
// Apart from the load reports, a large page delays no report.
const cacheShare = 1.0 / 3

// typicalPollBytes is set aside before a poll; what it really took is charged
// after it.
const typicalPollBytes = 400

// pollBurst is how long a budget's bytes may be saved up, and how much of a
// large answer is charged: no single page silences a lane for longer.
const pollBurst = 4 * time.Second

// pollBudget bounds the bytes of one kind of poll of one lane. Pollers wait in
// the order in which they ask, so that with more endpoints each is asked less
// often. It must be resized before its first use.
type pollBudget struct{ limiter *rate.Limiter }

// resize sets the bytes a second. The first time it also fills the budget, so
// that a proxy knows its endpoints soon after its start.
func (b *pollBudget) resize(bytesPerSecond float64) {
	limit := rate.Limit(bytesPerSecond)
	burst := max(2*typicalPollBytes, int(bytesPerSecond*pollBurst.Seconds()))
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(limit, burst)
		return
	}
	b.limiter.SetLimit(limit)
	b.limiter.SetBurst(burst)
}

// wait sets the bytes of one poll aside; false when ctx ended first.
func (b *pollBudget) wait(ctx context.Context) bool {
	return b.limiter.WaitN(ctx, typicalPollBytes) == nil
}

// charge takes what a poll cost beyond what was set aside.
func (b *pollBudget) charge(spent int) {
	if extra := min(spent-typicalPollBytes, b.limiter.Burst()); extra > 0 {
		b.limiter.ReserveN(time.Now(), extra)
	}
}

// sharePolls gives each lane the same share of the proxy's bytes for polls, so
// that many engines do not slow down the reports of tile and portal back ends.
func (p *Proxy) sharePolls(lanes map[string]*lane) {
	share := p.config.Limits.PollBytes / float64(max(1, len(lanes)))
	for _, one := range lanes {
		one.cacheBudget.resize(share * cacheShare)
		one.loadBudget.resize(share * (1 - cacheShare))
	}
}

// Bytes of an HTTP message besides what is counted: the lines, and the headers
// that net/http adds.
const (
	requestOverheadBytes = 25
	answerOverheadBytes  = 19
	headerOverheadBytes  = 4
)

// wireBytes estimates the bytes of a poll on its connection.
func wireBytes(request *http.Request, header http.Header, body int) int {
	total := requestOverheadBytes + len(request.URL.RequestURI()) + len(request.URL.Host) + answerOverheadBytes + body
	return total + headerBytes(request.Header) + headerBytes(header)
}

func headerBytes(header http.Header) int {
	total := 0
	for name, values := range header {
		for _, value := range values {
			if value != "" { // net/http leaves an empty User-Agent out
				total += len(name) + len(value) + headerOverheadBytes
			}
		}
	}
	return total
}
