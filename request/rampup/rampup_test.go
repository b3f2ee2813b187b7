package rampup

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// answerAll has as many requests answered as the limit allows at once, and returns how many those were.
func answerAll(r *Ramp, now time.Duration) int {
	allowed := r.Allowed()
	for i := range allowed {
		r.Begun(now, i+1)
	}
	for range allowed {
		r.Answered(now+100*ms, 100*ms, 100*ms)
	}
	return allowed
}

// Guards against a ramp that takes too many rounds of answers, or none.
func TestLimitDoublesWithEachRoundOfGoodAnswers(t *testing.T) {
	r := Ramp{Slots: 16}
	must.Eq(t, math.MaxInt, r.Allowed(), must.Sprint("a replica without a ramp has no limit"))
	r.Begin(0, Started)
	for round, allowed := range []int{1, 2, 4, 8, 16} {
		must.Eq(t, allowed, answerAll(&r, time.Duration(round)*100*ms))
	}
	must.False(t, r.IsActive())
	must.Eq(t, 500*ms, r.Age(500*ms))
}

// Guards against a limit that rises by answers to one request at a time, which do not show that more are handled.
func TestLimitRisesOnlyWithRequestsInFlight(t *testing.T) {
	r := Ramp{Slots: 16}
	r.Begin(0, Started)
	for i := range 50 {
		now := time.Duration(i) * ms
		r.Begun(now, 1)
		r.Answered(now+ms, ms, ms)
	}
	must.Eq(t, 2, r.Allowed())
}

// Guards against a ramp that never ends where the demand does not reach the limit.
func TestRampEndsWhenDemandDoesNotReachTheLimit(t *testing.T) {
	r := Ramp{Slots: 16}
	r.Begin(0, Started)
	for now := time.Duration(0); now < 3*time.Second; now += 100 * ms {
		r.Begun(now, 1)
		r.Answered(now+ms, ms, ms)
		must.Eq(t, now+ms < quietTime, r.IsActive())
	}
}

// Guards against a slow replica, of 0.6 of the usual speed and slowed down by 2.5, being taken for an unhealthy one.
func TestSlowAnswersRaiseTheLimitSlowlyAndLateOnesHalveIt(t *testing.T) {
	r := Ramp{Slots: 16}
	r.Begin(0, Started)
	answerAll(&r, 0)
	answerAll(&r, 100*ms)
	r.Begun(300*ms, 4)
	r.Answered(400*ms, 180*ms, 100*ms)
	must.Eq(t, 5, r.Allowed(), must.Sprint("1.8 times the usual time is good"))
	r.Begin(400*ms, Started)
	answerAll(&r, 400*ms)
	answerAll(&r, 500*ms)
	r.Begun(600*ms, 4)
	for range slowAnswers - 1 {
		r.Answered(800*ms, 410*ms, 100*ms)
		must.Eq(t, 4, r.Allowed())
	}
	r.Answered(800*ms, 410*ms, 100*ms)
	must.Eq(t, 5, r.Allowed())
	for range 4 {
		r.Answered(1000*ms, 500*ms, 100*ms)
	}
	must.Eq(t, 2, r.Allowed(), must.Sprint("requests that were late together halve the limit once"))
	r.Answered(1500*ms, 500*ms, 100*ms)
	must.Eq(t, 1, r.Allowed())
	r.Answered(3*time.Second, time.Second, 100*ms)
	must.Eq(t, 1, r.Allowed(), must.Sprint("no replica is cut off"))
}

// Guards against a crash, under which all requests fail at once, and against requests begun before it lowering the
// limit after the recovery.
func TestFailureWithoutAnswersResetsTheLimit(t *testing.T) {
	r := Ramp{Slots: 16}
	r.Answered(0, ms, ms)
	for i := range 10 {
		r.Failed(2*time.Second, time.Second, 10-i)
	}
	must.Eq(t, 1, r.Allowed())
	must.Eq(t, Suspected, r.Reason())
	must.False(t, r.IsProven())
	answerAll(&r, 3*time.Second)
	answerAll(&r, 3100*ms)
	r.Failed(3300*ms, 2*time.Second, 4)
	must.Eq(t, 4, r.Allowed(), must.Sprint("the request was sent before the crash"))
}

// Guards against a replica that loses some requests and answers others being cut back to one request.
func TestFailureBesideGoodAnswersHalvesTheLimit(t *testing.T) {
	r := Ramp{Slots: 16}
	r.Answered(0, ms, ms)
	r.Failed(100*ms, 90*ms, 12)
	must.Eq(t, 6, r.Allowed())
	must.True(t, r.IsActive())
}

func TestRefusalHalvesWhatWasInFlight(t *testing.T) {
	r := Ramp{Slots: 16}
	r.Refused(0, 16)
	must.Eq(t, 8, r.Allowed())
	r.Refused(ms, 15)
	must.Eq(t, 8, r.Allowed(), must.Sprint("refused for the same cause"))
	r.Refused(lowerInterval, 1)
	must.Eq(t, 1, r.Allowed())
	must.Eq(t, Refusing, r.Reason())
}

// Under any sequence of steps, an active ramp allows from 1 to its slots, and after a reset no more than 1 + the
// number of good answers since.
func TestLimitIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Ramp{Slots: rapid.IntRange(0, 20).Draw(t, "slots")}
		slots := r.Slots
		if slots == 0 {
			slots = defaultSlots
		}
		r.Begin(0, Started)
		now, good := time.Duration(0), 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * ms
			took := time.Duration(rapid.IntRange(0, 800).Draw(t, "took")) * ms
			inFlight := rapid.IntRange(1, 30).Draw(t, "in flight")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				r.Begun(now, inFlight)
			case 2, 3:
				good++
				r.Answered(now, took, 100*ms)
			case 4:
				r.Failed(now, took, inFlight)
			case 5:
				r.Refused(now, inFlight)
			}
			if !r.IsActive() {
				r.Begin(now, Restarted)
				good = 0
			}
			must.Between(t, 1, r.Allowed(), min(slots, 1+good))
		}
	})
}

// policy is a way to limit the requests in flight, for a comparison.
type policy interface {
	begun(now time.Duration, inFlight int)
	answered(now, took, expected time.Duration)
	failed(now, ago time.Duration, inFlight int)
	allowed(now time.Duration) int
}

type additive struct{ Ramp }

func (p *additive) begun(now time.Duration, inFlight int)       { p.Begun(now, inFlight) }
func (p *additive) answered(now, took, expected time.Duration)  { p.Answered(now, took, expected) }
func (p *additive) failed(now, ago time.Duration, inFlight int) { p.Failed(now, ago, inFlight) }
func (p *additive) allowed(now time.Duration) int               { return p.Allowed() }

// fixed raises the limit in proportion to the time since the start, whatever the answers, and begins again after a
// failure.
type fixed struct {
	slots   int
	rampsIn time.Duration
	beganAt time.Duration
}

func (p *fixed) begun(time.Duration, int)                             {}
func (p *fixed) answered(time.Duration, time.Duration, time.Duration) {}
func (p *fixed) failed(now, ago time.Duration, _ int) {
	if now-ago >= p.beganAt {
		p.beganAt = now
	}
}
func (p *fixed) allowed(now time.Duration) int {
	return 1 + int(float64(p.slots)*float64(now-p.beganAt)/float64(p.rampsIn))
}

// gradient multiplies the limit by the ratio of the expected time to that of the answer, and adds the root of the
// limit for growth.
type gradient struct {
	limit     float64
	loweredAt time.Duration
}

func (p *gradient) begun(time.Duration, int) {}
func (p *gradient) answered(_, took, expected time.Duration) {
	ratio := min(max(1.5*expected.Seconds()/max(took.Seconds(), 1e-9), 0.5), 1)
	next := p.limit*ratio + math.Sqrt(p.limit)
	p.limit = max(p.limit+0.2*(next-p.limit), 1)
}
func (p *gradient) failed(now, ago time.Duration, _ int) {
	if now-ago >= p.loweredAt {
		p.limit, p.loweredAt = 1, now
	}
}
func (p *gradient) allowed(time.Duration) int { return int(p.limit) }

// course is how a replica answers in a comparison: the time that a request takes if it begins at the given time with
// the given number in flight, and whether it fails after that time.
type course func(now time.Duration, inFlight int) (took time.Duration, fails bool)

const usual = 100 * ms

func healthy(time.Duration, int) (time.Duration, bool) { return usual, false }

// disturbed has 0.6 of the usual speed and is slowed down by 2.5 for 0.15 of the time in periods of 600 ms.
func disturbed(now time.Duration, _ int) (time.Duration, bool) {
	took := usual * 5 / 3
	if now%(4*time.Second) < 600*ms {
		took = took * 5 / 2
	}
	return took, false
}

// cold takes five times as long in its first second.
func cold(now time.Duration, _ int) (time.Duration, bool) {
	if now < time.Second {
		return 5 * usual, false
	}
	return usual, false
}

// crowded serves two requests at the usual speed and slows down with each further one.
func crowded(_ time.Duration, inFlight int) (time.Duration, bool) {
	return usual * time.Duration(max(inFlight, 2)) / 2, false
}

func silent(time.Duration, int) (time.Duration, bool) { return 600 * ms, true }

// returning is silent for 1.5 s.
func returning(now time.Duration, inFlight int) (time.Duration, bool) {
	if now < 1500*ms {
		return silent(now, inFlight)
	}
	return healthy(now, inFlight)
}

// outcome is what a policy has done in the first four seconds.
type outcome struct {
	untilHalf   time.Duration // from the first good answer until half of the share is in flight
	most        int           // in flight in the first second
	served      int
	late        int // answers that took more than four times the usual time
	failed      int
	hasAnswered bool
}

const (
	compareSlots = 16
	compareShare = 12 // requests in flight that the replica gets if it is not limited
)

// compare runs a policy in steps of 1 ms.
func compare(p policy, answers course) outcome {
	type request struct {
		begun, ends time.Duration
		fails       bool
	}
	var flying []request
	result := outcome{untilHalf: -1}
	firstGood := time.Duration(-1)
	for now := time.Duration(0); now < 4*time.Second; now += ms {
		var rest []request
		left := len(flying)
		for _, r := range flying {
			switch {
			case r.ends > now:
				rest = append(rest, r)
				continue
			case r.fails:
				p.failed(now, now-r.begun, left)
				result.failed++
			default:
				p.answered(now, now-r.begun, usual)
				result.served++
				if now-r.begun > LateFactor*usual {
					result.late++
				}
				if firstGood < 0 {
					firstGood = now
				}
			}
			left--
		}
		flying = rest
		for len(flying) < min(p.allowed(now), compareShare) {
			took, fails := answers(now, len(flying)+1)
			flying = append(flying, request{now, now + took, fails})
			p.begun(now, len(flying))
		}
		if now < time.Second {
			result.most = max(result.most, len(flying))
		}
		if result.untilHalf < 0 && firstGood >= 0 && len(flying) >= compareShare/2 {
			result.untilHalf = now - firstGood
		}
	}
	result.hasAnswered = firstGood >= 0
	return result
}

// Guards the bounds of a ramp: a healthy replica reaches half of its share within 1 s of its first good answer, also if
// it is slow or was silent before; an unhealthy one never has more requests in flight than slots in its first second.
// The log compares other ways; see docs/design/ramp-up.md.
func TestRampKeepsItsBounds(t *testing.T) {
	courses := []struct {
		name    string
		answers course
		sound   bool
	}{{"healthy", healthy, true}, {"slow and disturbed", disturbed, true}, {"cold for 1 s", cold, true}, {"crowded from 3 on", crowded, false}, {"silent", silent, false}, {"silent for 1.5 s", returning, true}}
	for _, c := range courses {
		ramp := &additive{Ramp{Slots: compareSlots}}
		ramp.Begin(0, Started)
		for name, p := range map[string]policy{"additive": ramp, "fixed 1 s": &fixed{slots: compareSlots, rampsIn: time.Second}, "fixed 4 s": &fixed{slots: compareSlots, rampsIn: 4 * time.Second}, "gradient": &gradient{limit: 1}} {
			result := compare(p, c.answers)
			half := "never"
			if result.untilHalf >= 0 && result.hasAnswered {
				half = result.untilHalf.String()
			}
			t.Logf("%-20s %-10s half after %6s, most %2d, served %3d, late %3d, failed %3d", c.name, name, half, result.most, result.served, result.late, result.failed)
			if name != "additive" {
				continue
			}
			must.LessEq(t, compareSlots, result.most)
			if c.sound {
				must.Between(t, 0, result.untilHalf, time.Second, must.Sprint(fmt.Sprintf("%+v", result)))
			}
		}
	}
}
