package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Parameters of an uneven fleet in virtual time: two thirds of the replicas are readers, with speeds from 0.5 to 2, and
// each is slowed down in a seventh of its periods.
const (
	unevenPeriod       = 600 * ms
	unevenSlowdown     = 2.5
	unevenSlowShare    = 1.0 / 7
	unevenReadOverhead = 20 * ms
	unevenTokenTime    = 20 * time.Microsecond
	unevenDecodeStart  = 30 * ms
	unevenDecodeTime   = 65 * ms // from the first token to the end
	unevenMinTokens    = 2_000
	unevenMaxTokens    = 14_000
)

// unevenReplica is a replica of the fleet. It reads prompts one after the other.
type unevenReplica struct {
	name   string
	speed  float64
	offset time.Duration // of its periods
	seed   uint64
	freeAt time.Duration // when it has read all prompts that it was given
}

// slowness returns how much slower than usual the replica works at the given time, and when that changes.
func (r *unevenReplica) slowness(now time.Duration) (slowness float64, until time.Duration) {
	period := (now + r.offset) / unevenPeriod
	until = (period+1)*unevenPeriod - r.offset
	if rand.New(rand.NewPCG(r.seed, uint64(period))).Float64() < unevenSlowShare {
		return unevenSlowdown, until
	}
	return 1, until
}

// finish returns when work that takes the given time on a usual replica ends if it begins now.
func (r *unevenReplica) finish(now, work time.Duration) time.Duration {
	for {
		slowness, until := r.slowness(now)
		took := time.Duration(float64(work) * slowness / r.speed)
		if now+took <= until {
			return now + took
		}
		work -= time.Duration(float64(until-now) * r.speed / slowness)
		now = until
	}
}

// unevenFleet is a fleet with the demand for it.
type unevenFleet struct {
	readers, generators []*unevenReplica
	byName              map[string]*unevenReplica
	random              *rand.Rand
	meanPause           time.Duration // between two requests
}

// newUnevenFleet returns a fleet with demand for a share of the capacity of its readers.
func newUnevenFleet(seed uint64, size int, load float64) *unevenFleet {
	f := &unevenFleet{byName: map[string]*unevenReplica{}, random: rand.New(rand.NewPCG(seed, 1))}
	capacity := 0.0
	for i := range size {
		r := &unevenReplica{
			name: fmt.Sprintf("r-%04d", i), speed: 0.5 * math.Pow(4, f.random.Float64()),
			offset: time.Duration(f.random.Int64N(int64(unevenPeriod))), seed: f.random.Uint64(),
		}
		f.byName[r.name] = r
		if i%3 == 0 {
			f.generators = append(f.generators, r)
			continue
		}
		f.readers = append(f.readers, r)
		capacity += r.speed * (1 - unevenSlowShare + unevenSlowShare/unevenSlowdown)
	}
	f.meanPause = time.Duration(float64(readWork((unevenMinTokens+unevenMaxTokens)/2)) / capacity / load)
	return f
}

// readWork returns the time to read a prompt on a usual replica.
func readWork(tokens int) time.Duration {
	return unevenReadOverhead + time.Duration(tokens)*unevenTokenTime
}

// board returns a board of the fleet's replicas.
func (f *unevenFleet) board() *Board {
	b := NewBoard()
	var replicas []Replica
	for i, role := range []Role{RolePrefill, RoleDecode} {
		for _, r := range [][]*unevenReplica{f.readers, f.generators}[i] {
			replicas = append(replicas, Replica{Name: r.name, Zone: fmt.Sprint("zone-", r.seed%3), Role: role, Slots: 64})
		}
	}
	b.SetReplicas(testParameters, replicas)
	return b
}

// unevenEvent is a report of a replica to the board.
type unevenEvent struct {
	at     time.Duration
	number uint64
	report ProgressReport
}

type unevenEvents []unevenEvent

func (e unevenEvents) Len() int           { return len(e) }
func (e unevenEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e unevenEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *unevenEvents) Push(x any)        { *e = append(*e, x.(unevenEvent)) }
func (e *unevenEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// transferWork is the time of the transfer of a prompt in the fleet.
func transferWork(b *Board, tokens int) time.Duration {
	took, _ := b.estimateTransfer(tokens, "", "")
	return took
}

// reported returns the slowness that a replica reports; it may be incorrect.
type reported func(r *unevenReplica, slowness float64) float64

func reportedCorrectly(_ *unevenReplica, slowness float64) float64 { return slowness }

// firstTokens lets the board place the requests of the given time, and returns the times to first token of those after the
// first quarter. served, if not nil, counts the reads of each replica.
func (f *unevenFleet) firstTokens(b *Board, duration time.Duration, report reported, served map[string]int) []time.Duration {
	var took []time.Duration
	var events unevenEvents
	number := uint64(0)
	for now := time.Duration(0); now < duration; now += time.Duration(f.random.ExpFloat64() * float64(f.meanPause)) {
		for len(events) > 0 && events[0].at <= now {
			next := heap.Pop(&events).(unevenEvent)
			b.RecordProgress(next.at, key(next.number), next.report)
		}
		number++
		tokens := unevenMinTokens + f.random.IntN(unevenMaxTokens-unevenMinTokens)
		answer := b.Place(now, key(number), Request{PromptTokens: tokens, MaxOutputTokens: 13, Zone: fmt.Sprint("zone-", number%3), Deadline: time.Minute})
		readBy, generator := f.byName[answer.Reader], f.byName[answer.Generator]
		work := readWork(tokens)
		if readBy == nil {
			readBy, work = generator, 2*work // as generators read
		}
		if served != nil {
			served[readBy.name]++
		}
		send := func(at time.Duration, step Step, from *unevenReplica) {
			slowness, _ := from.slowness(at)
			heap.Push(&events, unevenEvent{at, number, ProgressReport{Step: step, ReportedSlowness: report(from, slowness)}})
		}
		readBy.freeAt = readBy.finish(max(now, readBy.freeAt), work)
		startedAt := readBy.freeAt
		if readBy != generator {
			send(readBy.freeAt, StepRead, readBy)
			startedAt = generator.finish(max(startedAt+transferWork(b, tokens), generator.freeAt), unevenDecodeStart)
		}
		send(startedAt, StepStarted, generator)
		send(generator.finish(startedAt, unevenDecodeTime), StepEnded, generator)
		if now > duration/4 {
			took = append(took, startedAt-now)
		}
	}
	return took
}

// firstTokensWithHindsight is like firstTokens with a scheduler that knows when each read and each start ends, and that
// spares no streams from reads on the same replica.
func (f *unevenFleet) firstTokensWithHindsight(b *Board, duration time.Duration) []time.Duration {
	var took []time.Duration
	for now := time.Duration(0); now < duration; now += time.Duration(f.random.ExpFloat64() * float64(f.meanPause)) {
		tokens := unevenMinTokens + f.random.IntN(unevenMaxTokens-unevenMinTokens)
		var reader *unevenReplica
		readAt := time.Duration(math.MaxInt64)
		for _, r := range f.readers {
			if max(now, r.freeAt) < readAt {
				if at := r.finish(max(now, r.freeAt), readWork(tokens)); at < readAt {
					reader, readAt = r, at
				}
			}
		}
		var direct *unevenReplica
		startedAt := time.Duration(math.MaxInt64)
		for _, r := range f.generators {
			if at := r.finish(max(readAt+transferWork(b, tokens), r.freeAt), unevenDecodeStart); at < startedAt {
				direct, startedAt = nil, at
			}
			if at := r.finish(max(now, r.freeAt), 2*readWork(tokens)); at < startedAt {
				direct, startedAt = r, at
			}
		}
		if direct != nil {
			direct.freeAt = startedAt
		} else {
			reader.freeAt = readAt
		}
		if now > duration/4 {
			took = append(took, startedAt-now)
		}
	}
	return took
}

// meanAndTail returns the mean and the 99th percentile.
func meanAndTail(times []time.Duration) (mean, tail time.Duration) {
	slices.Sort(times)
	for _, took := range times {
		mean += took / time.Duration(len(times))
	}
	return mean, times[len(times)*99/100]
}

// Guards against placements that ignore the speed of the replicas: the mean time to first token is compared with that of a
// scheduler with hindsight, and with that of a board whose replicas do not report their slowness.
func TestTimeToFirstTokenIsCloseToHindsight(t *testing.T) {
	for _, size := range []int{90, 1_000} {
		duration := 40 * time.Second
		if size == 1_000 {
			duration = 12 * time.Second
		}
		for load, limit := range map[float64]float64{0.5: 1.15, 0.8: 1.15, 0.95: 1.25} {
			measure := func(report reported) (mean, tail time.Duration) {
				fleet := newUnevenFleet(1, size, load)
				return meanAndTail(fleet.firstTokens(fleet.board(), duration, report, nil))
			}
			fleet := newUnevenFleet(1, size, load)
			best, bestTail := meanAndTail(fleet.firstTokensWithHindsight(fleet.board(), duration))
			mean, tail := measure(reportedCorrectly)
			_, tailWithoutFactors := measure(func(*unevenReplica, float64) float64 { return 0 })
			shown := must.Sprintf("%d replicas, load %.2f: mean %v of %v, 99th percentile %v of %v, %v without factors",
				size, load, mean.Round(ms), best.Round(ms), tail.Round(ms), bestTail.Round(ms), tailWithoutFactors.Round(ms))
			t.Logf("%d replicas, load %.2f: mean %.3f, 99th percentile %.3f times that with hindsight, %.3f without factors",
				size, load, float64(mean)/float64(best), float64(tail)/float64(bestTail), float64(tailWithoutFactors)/float64(bestTail))
			must.LessEq(t, fraction(best, limit), mean, shown)
			must.LessEq(t, tailWithoutFactors, tail, shown)
		}
	}
}

// Guards against replicas that attract work by incorrect reports: one of ten reports a constant figure, and together they
// read at most 1.15 times as many prompts as with correct reports.
func TestIncorrectReportsGetNoMoreThanTheirShare(t *testing.T) {
	isLying := func(r *unevenReplica) bool { return r.seed%10 == 0 }
	reads := func(report reported) (lying int) {
		fleet, served := newUnevenFleet(2, 90, 0.8), map[string]int{}
		fleet.firstTokens(fleet.board(), 20*time.Second, report, served)
		for name, count := range served {
			if isLying(fleet.byName[name]) {
				lying += count
			}
		}
		return lying
	}
	correct := reads(reportedCorrectly)
	must.Positive(t, correct)
	for _, figure := range []float64{0, 0.01, 1, 1e9} {
		wrong := reads(func(r *unevenReplica, slowness float64) float64 {
			if isLying(r) {
				return figure
			}
			return slowness
		})
		t.Logf("reporting %v: %d reads, %d with correct reports", figure, wrong, correct)
		must.LessEq(t, correct*23/20, wrong, must.Sprint("reporting ", figure))
	}
}
