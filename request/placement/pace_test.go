package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestReadTimeStartsFromInitialValues(t *testing.T) {
	initial := newReadTime(25*ms, 20*time.Microsecond)
	must.Between(t, 24*ms, initial.fixed(), 26*ms)
	must.Between(t, 19*time.Microsecond, initial.perToken(), 21*time.Microsecond)
}

// An engine ten times as fast as initially estimated is learned, even though its reads take
// less than the initial fixed time.
func TestReadTimeOfAFastEngineIsLearned(t *testing.T) {
	learned := newReadTime(60*ms, 50*time.Microsecond)
	for i := range 300 {
		tokens := 1_000 * (1 + i%9)
		learned.learn(readSample{tokens, 6*ms + time.Duration(tokens)*4*time.Microsecond, i%3 == 0}, 1)
	}
	must.Between(t, 3*time.Microsecond, learned.perToken(), 6*time.Microsecond)
	must.Between(t, 0, learned.fixed(), 12*ms)
}

// Reads that waited for something else hardly change the estimate.
func TestReadTimeToleratesOutliers(t *testing.T) {
	learned := newReadTime(20*ms, 10*time.Microsecond)
	for i := range 300 {
		tokens := 1_000 * (1 + i%9)
		took := 20*ms + time.Duration(tokens)*10*time.Microsecond
		if i%20 == 0 {
			took = 3 * time.Second
		}
		learned.learn(readSample{tokens, took, true}, 1)
	}
	must.Between(t, 8*time.Microsecond, learned.perToken(), 13*time.Microsecond)
}

func TestReadTimeStaysPositive(t *testing.T) {
	learned := newReadTime(20*ms, 10*time.Microsecond)
	for i := range 500 {
		learned.learn(readSample{1_000 * (1 + i%9), 0, true}, 1)
	}
	must.GreaterEq(t, minTokenTime, learned.perToken())
	must.GreaterEq(t, 0, learned.fixed())
}

// An overload increases the time per token only. If it increased the fixed time, waiting for a
// shared part would look more expensive than reading it again.
func TestOverloadDoesNotRaiseTheFixedTime(t *testing.T) {
	learned := newReadTime(20*ms, 10*time.Microsecond)
	for range 300 {
		learned.learn(readSample{6_000, 150 * ms, false}, 1)
	}
	must.Between(t, 19*ms, learned.fixed(), 21*ms)
	must.Between(t, 24*time.Microsecond, learned.perToken(), 26*time.Microsecond)
}

// In a large service, a short disturbance of a few replicas hardly changes the estimate.
func TestReadTimeWindowGrowsWithTheService(t *testing.T) {
	few, many := newReadTime(20*ms, 10*time.Microsecond), newReadTime(20*ms, 10*time.Microsecond)
	for range 1_500 {
		few.learn(readSample{6_000, 60 * ms, false}, 10)
		many.learn(readSample{6_000, 60 * ms, false}, 150)
	}
	for range 100 {
		few.learn(readSample{6_000, 90 * ms, false}, 10)
		many.learn(readSample{6_000, 90 * ms, false}, 150)
	}
	must.Greater(t, 12500*time.Nanosecond, few.perToken())
	must.Less(t, 10600*time.Nanosecond, many.perToken())
}

// Replicas read urgent prompts first, which the board does not model. The learned time per
// token must not depend on the order of reads.
func TestReadTimeDoesNotDependOnReadOrder(t *testing.T) {
	b := newTestBoard()
	const perToken = 30 * time.Microsecond
	now := time.Duration(0)
	for round := range uint64(60) {
		read := func(number uint64, tokens int) {
			now += time.Duration(tokens) * perToken
			b.RecordProgress(now, key(number), ProgressReport{Step: StepRead})
			b.RecordProgress(now, key(number), ProgressReport{Step: StepEnded})
		}
		for i, tokens := range []int{12_000, 1_000, 1_000, 1_000} {
			request := requestWithObjective(tokens, 0)
			request.Deadline = time.Minute
			placeOnReader(b, now, 10*round+uint64(i), request, "prefill-1")
		}
		for i := uint64(1); i < 4; i++ {
			read(10*round+i, 1_000)
		}
		read(10*round, 12_000)
	}
	must.Between(t, 25*time.Microsecond, b.readTimes[RolePrefill].perToken(), 33*time.Microsecond)
}

// placeOnReader queues the request on a given reader, whatever Place would choose.
func placeOnReader(b *Board, now time.Duration, number uint64, request Request, reader string) {
	p := &placedRequest{
		request: request, answer: Answer{Generator: "decode-1", Reader: reader}, placedAt: now, expiresAt: now + time.Hour,
		queuedOn: b.replicas[reader], runningOn: b.replicas["decode-1"], unreadTokens: request.PromptTokens,
	}
	p.queuedOn.enqueue(now, p)
	b.inFlight[key(number)] = p
}
