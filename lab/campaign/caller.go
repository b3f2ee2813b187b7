package campaign

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/version/planner"
)

const (
	callInterval  = 150 * time.Millisecond
	callDeadline  = 12 * time.Second
	onceShare     = 0.4
	resendDelay   = 300 * time.Millisecond
	maxResends    = 4
	lateAnswer    = 500 * time.Millisecond
	modelName     = "narrator-7b"
	minimumPrompt = 20
	promptRange   = 800
	minimumOutput = 4
	longOutput    = 400
	shortOutput   = 60
	longShare     = 0.15
	// lostAnswerShare is how many marked requests are sent again though the
	// proxy has answered them.
	lostAnswerShare = 0.05
	requestTenants  = 3
)

// call is one request of a caller; a resend is a call of its own.
type call struct {
	world        *world
	id           string
	proxy        *proxyHost
	tenant       string
	key          string
	once         bool
	body         uint64
	model        string
	promptTokens int
	outputTokens int
	deadline     time.Duration
	startedAt    time.Duration
	resends      int
	answer       *response
}

// response is what the caller got.
type response struct {
	ran      attempt.Ran
	tokens   []string
	replayed string // the recorded answer of an earlier run
	whole    bool
	broken   bool // the connection to the proxy broke
}

func joinTokens(tokens []string) string { return strings.Join(tokens, " ") }

// expected is the whole answer to the call.
func (c *call) expected() string {
	tokens := make([]string, c.outputTokens)
	for i := range tokens {
		tokens[i] = enginemodel.TokenText(c.body, i)
	}
	return joinTokens(tokens)
}

// callers makes requests through the proxies.
type callers struct {
	world  *world
	random *rand.Rand
	count  int
}

func (c *callers) start(end time.Duration) {
	c.world.after(time.Duration(c.random.Int64N(int64(2*callInterval))), func() {
		if c.world.now >= end {
			return
		}
		c.next()
		c.start(end)
	})
}

func (c *callers) next() {
	c.count++
	made := &call{
		world:        c.world,
		id:           fmt.Sprintf("request-%d", c.count),
		proxy:        c.world.proxies[c.random.IntN(len(c.world.proxies))],
		tenant:       fmt.Sprintf("tenant-%d", c.random.IntN(requestTenants)),
		once:         c.random.Float64() < onceShare,
		body:         c.random.Uint64(),
		model:        modelName,
		promptTokens: minimumPrompt + c.random.IntN(promptRange),
		outputTokens: minimumOutput + c.random.IntN(shortOutput),
		deadline:     callDeadline,
	}
	if c.random.Float64() < longShare {
		made.outputTokens = longOutput
	}
	if made.once {
		made.key = fmt.Sprintf("key-%d", c.count)
	}
	made.begin()
}

func (c *call) begin() {
	c.startedAt = c.world.now
	c.world.oracle.called(c)
	if !c.proxy.up {
		c.end(response{ran: attempt.RanNo, broken: true}) // connection refused
		return
	}
	// The proxy runs beside its caller: nothing is lost between them. While it
	// is paused, the request waits in its socket.
	c.proxy.arriving = append(c.proxy.arriving, c)
	c.proxy.deliver(c.proxy.generation, c.proxy.acceptNext)
}

// end takes the answer; a caller whose marked request has no known outcome, was
// not run or was answered in vain sends it again, perhaps through another proxy.
func (c *call) end(answer response) {
	if c.answer != nil {
		c.world.oracle.violate(ruleOwnAnswer, "%s was answered twice", c.id)
		return
	}
	c.answer = &answer
	c.world.oracle.answered(c)
	lost := answer.whole && c.world.random.Float64() < lostAnswerShare
	if !c.once || answer.whole && !lost || c.resends >= maxResends {
		return
	}
	c.world.strike(strikeResend)
	again := *c
	again.answer = nil
	again.resends++
	again.id = fmt.Sprintf("%s-resend-%d", c.id, again.resends)
	again.proxy = c.world.proxies[c.world.random.IntN(len(c.world.proxies))]
	c.world.after(resendDelay, again.begin)
}

// demand is the planner's input; a campaign moves it back and forth, so that
// roles change in every run.
func (w *world) demand(intent string) planner.Demand {
	const window = 10 * time.Second
	demand := planner.Demand{Intent: intent, Window: window, Requests: 200}
	if int(w.now/(15*time.Second))%2 == 0 {
		demand.PromptTokens, demand.OutputTokens = 600_000, 20_000
	} else {
		demand.PromptTokens, demand.OutputTokens = 40_000, 90_000
	}
	return demand
}
