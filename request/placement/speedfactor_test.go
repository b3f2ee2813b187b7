package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against services being placed by the speed of their replicas although none reports it.
func TestServiceReportsSlownessOnceAReplicaDoes(t *testing.T) {
	board := NewBoard()
	must.False(t, board.ReportsSlowness())
	board.RecordProgress(0, Key{Daemon: "proxy", Number: 1}, ProgressReport{Step: StepStarted, ReportedRequests: 3})
	must.False(t, board.ReportsSlowness())
	board.RecordProgress(0, Key{Daemon: "proxy", Number: 1}, ProgressReport{Step: StepStarted, ReportedSlowness: 1})
	must.True(t, board.ReportsSlowness())
}

// Guards against a choice that overlooks a replica in a small service that reports slowness, where it must equal that among all: neither
// an idle replica nor the one with the fewest requests is always the cheapest there.
func TestChoiceBySpeedEqualsExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBoard()
		b.SetReplicas(testParameters, drawReplicas(t))
		for _, name := range b.names {
			b.replicas[name].speed.learn(rapid.Float64Range(0.4, 2.5).Draw(t, "lasting"), 1, 1)
		}
		for number := range rapid.Uint64Range(0, 40).Draw(t, "requests") {
			now := time.Duration(number) * 20 * ms
			b.RecordProgress(now, key(1000), ProgressReport{
				Step: StepRefused, Replica: rapid.SampledFrom(b.names).Draw(t, "reporter"),
				ReportedSlowness: rapid.Float64Range(0, 5).Draw(t, "slowness"),
			})
			next := newRequest(rapid.SampledFrom([]string{"p", "q"}).Draw(t, "part"), 9_000, rapid.IntRange(0, 9_000).Draw(t, "own"))
			next.Zone = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
			b.expireSlowness(now)
			got, found := b.chooseNow(now, &next, b.candidates(now, &next))
			must.Eq(t, len(b.usableReplicas(now, RoleDecode, &next)) > 0, found)
			if !found {
				must.True(t, b.isMemoryShort(now, &next), must.Sprint("nothing else keeps requests off a replica"))
				continue
			}
			want := b.chooseAmongAll(now, &next)
			must.Eq(t, want.answer(), got.answer())
			if answer := b.Place(now, key(number), next); answer.Wait == 0 {
				must.Eq(t, want.answer(), answer)
			}
			if rapid.Bool().Draw(t, "starts") {
				b.RecordProgress(now+time.Duration(rapid.IntRange(0, 20).Draw(t, "took"))*ms, key(number), ProgressReport{Step: StepStarted})
			}
		}
	})
}

// readOn lets a request be read on a replica, and reports its end with the slowness at that time.
func readOn(b *Board, now time.Duration, number uint64, reader string, tokens int, took time.Duration, slowness float64) {
	placeOnReader(b, now, number, Request{PromptTokens: tokens, Deadline: time.Hour}, reader)
	b.RecordProgress(now+took, key(number), ProgressReport{Step: StepRead, ReportedSlowness: slowness})
	b.RecordProgress(now+took, key(number), ProgressReport{Step: StepEnded})
}

// The lasting factor is the ratio of the replica's times, and the slowness that the replica reports is not part of it.
// Guards against the same delay being counted twice, and against factors and estimate that drift apart.
func TestLastingFactorExcludesReportedSlowness(t *testing.T) {
	b := newTestBoard()
	now, number := time.Duration(0), uint64(0)
	for round := range 2_000 {
		now += time.Second
		slowness := 1 + 1.5*float64(round%2)
		usual := initialReadOverhead + 4_000*initialPrefillTokenTime
		readOn(b, now, number, "prefill-1", 4_000, fraction(usual, 0.75*slowness), slowness)
		readOn(b, now, number+1, "prefill-2", 4_000, fraction(usual, 1.25*slowness), slowness)
		number += 2
	}
	fast, slow := b.replicas["prefill-1"].speed.lasting, b.replicas["prefill-2"].speed.lasting
	must.Between(t, 0.7, fast, 0.8)
	must.Between(t, 1.2, slow, 1.3)
	read := b.readTimes[RolePrefill].fixed() + 4_000*b.readTimes[RolePrefill].perToken()
	must.Between(t, 118*ms, read, 132*ms)
}

// A role change keeps the lasting factor, since it is the same process; a restart discards it.
func TestLastingFactorIsKeptForTheProcess(t *testing.T) {
	b := newTestBoard()
	entry := Replica{Name: "prefill-1", Zone: "a", Role: RolePrefill, Born: 1}
	b.Put(entry)
	for number := range uint64(20) {
		readOn(b, time.Duration(number)*time.Second, number, "prefill-1", 4_000, 300*ms, 1)
	}
	learned := b.replicas["prefill-1"].speed.lasting
	must.Greater(t, 1.2, learned)
	entry.Role = RoleDecode
	b.Put(entry)
	must.Eq(t, learned, b.replicas["prefill-1"].speed.lasting)
	entry.Born = 2
	b.Put(entry)
	must.Eq(t, 1, b.replicas["prefill-1"].speed.lasting)
}

// The slowness counts while it is recent. Guards against a replica that is avoided for long after it was slowed down.
func TestReportedSlownessExpires(t *testing.T) {
	b := newTestBoard()
	at := b.replicas["prefill-1"]
	b.RecordProgress(0, key(1), ProgressReport{Step: StepRefused, Replica: "prefill-1", ReportedSlowness: 2.5})
	must.Eq(t, 2.5, at.speed.factor(slownessMaxAge-1))
	must.Eq(t, 1, at.speed.factor(slownessMaxAge))
	ranked := at.position.level
	b.expireSlowness(slownessMaxAge)
	must.Less(t, ranked, at.position.level, must.Sprint("its place in the index follows"))
	must.SliceEmpty(t, b.speedFactors.slowed)
}

// Guards against incorrect reports that change the factor without bound.
func TestFactorIsBounded(t *testing.T) {
	for _, reported := range []float64{0, 1e-9, 0.01, 1, 400, 1e9, math.Inf(1), math.NaN(), -1} {
		b := newTestBoard()
		for number := range uint64(20) {
			now := time.Duration(number) * 10 * ms
			readOn(b, now, number, "prefill-1", 4_000, time.Duration(number%3)*100*ms, reported)
			factor := b.replicas["prefill-1"].speed.factor(now)
			must.Between(t, minFactor, factor, maxFactor, must.Sprint(reported))
			must.Between(t, minLasting, b.replicas["prefill-1"].speed.lasting, maxLasting)
		}
	}
}

// Guards against a choice in a service that reports slowness that examines far more replicas, or takes far longer, than one in a
// service that reports no slowness.
func BenchmarkPlaceBySpeed(b *testing.B) {
	for _, size := range []int{9, 90, 1_000, 10_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			board := NewBoard()
			board.SetReplicas(testParameters, benchmarkReplicas(size))
			inFlight := uint64(4 * size)
			now := time.Duration(0)
			for number := uint64(0); b.Loop(); number++ {
				now += 10 * time.Microsecond
				next := newRequest(fmt.Sprint("part-", number%50), 9_000, 2_000)
				next.Deadline = time.Hour
				answer := board.Place(now, key(number), next)
				if answer.Reader != "" {
					board.RecordProgress(now, key(number), ProgressReport{Step: StepRead, ReportedSlowness: 1 + float64(number%4)})
				}
				board.RecordProgress(now, key(number), ProgressReport{Step: StepStarted, ReportedSlowness: 1 + float64(number%3)})
				if number >= inFlight {
					board.RecordProgress(now, key(number-inFlight), ProgressReport{Step: StepEnded})
				}
			}
		})
	}
}

// Guards against late long prompts that do not show in the late share, by which replicas change their roles, because
// they are few. The load is one prompt of 17,000 tokens beside each five of 400.
func TestLateShareIsWeightedByPromptTokens(t *testing.T) {
	for _, reportsSlowness := range []bool{false, true} {
		board := NewBoard()
		if reportsSlowness {
			board.enableSpeedFactors()
		}
		for range 30 {
			board.recordLateness(0, &Request{PromptTokens: 17_000}, true)
			for range 5 {
				board.recordLateness(0, &Request{PromptTokens: 400}, false)
			}
		}
		share, requests := board.LateShare(0)
		must.InDelta(t, 180, requests, 1e-6)
		if reportsSlowness {
			must.InDelta(t, 17_000.0/19_000, share, 1e-6)
		} else {
			must.InDelta(t, 1.0/6, share, 1e-6)
		}
	}
}
