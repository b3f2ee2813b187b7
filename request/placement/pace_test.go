package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestPaceBeginsWithItsGuesses(t *testing.T) {
	guessed := newPace(25*ms, 20*time.Microsecond)
	must.Between(t, 24*ms, guessed.start(), 26*ms)
	must.Between(t, 19*time.Microsecond, guessed.perToken(), 21*time.Microsecond)
}

// An engine that is ten times as fast as guessed is known to be so, though its
// reads take less than the guessed time to begin with.
func TestPaceOfAFastEngineIsLearnt(t *testing.T) {
	learnt := newPace(60*ms, 50*time.Microsecond)
	for i := range 300 {
		tokens := 1_000 * (1 + i%9)
		learnt.learn(readSample{tokens, 6*ms + time.Duration(tokens)*4*time.Microsecond, i%3 == 0}, 1)
	}
	must.Between(t, 3*time.Microsecond, learnt.perToken(), 6*time.Microsecond)
	must.Between(t, 0, learnt.start(), 12*ms)
}

// Reads that waited for something else tell little of the pace.
func TestPaceBearsOutliers(t *testing.T) {
	learnt := newPace(20*ms, 10*time.Microsecond)
	for i := range 300 {
		tokens := 1_000 * (1 + i%9)
		took := 20*ms + time.Duration(tokens)*10*time.Microsecond
		if i%20 == 0 {
			took = 3 * time.Second
		}
		learnt.learn(readSample{tokens, took, true}, 1)
	}
	must.Between(t, 8*time.Microsecond, learnt.perToken(), 13*time.Microsecond)
}

func TestPaceIsNeverInfinite(t *testing.T) {
	learnt := newPace(20*ms, 10*time.Microsecond)
	for i := range 500 {
		learnt.learn(readSample{1_000 * (1 + i%9), 0, true}, 1)
	}
	must.GreaterEq(t, leastTokenTime, learnt.perToken())
	must.GreaterEq(t, 0, learnt.start())
}

// An overload makes tokens slower, and starts not: a start that grew with each one
// would make waiting for a shared part look dearer than reading it again.
func TestOverloadIsNotTakenForASlowStart(t *testing.T) {
	learnt := newPace(20*ms, 10*time.Microsecond)
	for range 300 {
		learnt.learn(readSample{6_000, 150 * ms, false}, 1)
	}
	must.Between(t, 19*ms, learnt.start(), 21*ms)
	must.Between(t, 24*time.Microsecond, learnt.perToken(), 26*time.Microsecond)
}

// With many replicas, what a few of them suffer for a moment is no pace of all.
func TestPaceRemembersSamplesOfEachReplica(t *testing.T) {
	few, many := newPace(20*ms, 10*time.Microsecond), newPace(20*ms, 10*time.Microsecond)
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

// Replicas read urgent prompts first, which the board does not count. What is learnt is
// what a token takes, in whatever order prompts are read.
func TestPaceDoesNotDependOnTheOrderOfReads(t *testing.T) {
	b := newTestBoard()
	const perToken = 30 * time.Microsecond
	now := time.Duration(0)
	for round := range uint64(60) {
		read := func(number uint64, tokens int) {
			now += time.Duration(tokens) * perToken
			b.Note(now, key(number), Note{Step: StepRead})
			b.Note(now, key(number), Note{Step: StepEnded})
		}
		for i, tokens := range []int{12_000, 1_000, 1_000, 1_000} {
			asked := urgent(tokens, 0)
			asked.Deadline = time.Minute
			placeAt(b, now, 10*round+uint64(i), asked, "read-1")
		}
		for i := uint64(1); i < 4; i++ {
			read(10*round+i, 1_000)
		}
		read(10*round, 12_000)
	}
	must.Between(t, 25*time.Microsecond, b.paces[RolePrefill].perToken(), 33*time.Microsecond)
}

// placeAt has one reader read the prompt, whatever would be chosen.
func placeAt(b *Board, now time.Duration, number uint64, asked Ask, reader string) {
	p := &placed{
		ask: asked, answer: Answer{Generator: "make-1", Reader: reader}, at: now, expires: now + time.Hour,
		unreadAt: b.replicas[reader], runningAt: b.replicas["make-1"], reading: asked.Prompt,
	}
	p.unreadAt.enqueue(now, p)
	b.placed[key(number)] = p
}
