package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// short is a request that is read where it runs.
func short() Ask { return Ask{Prompt: 100, Zone: "a", Deadline: 5 * time.Second} }

// failAt has a replica leave a request unanswered that was placed at some time.
func failAt(b *Board, placedAt, now time.Duration, number uint64, name string) {
	ask := short()
	for _, other := range []string{"make-1", "make-2"} {
		if other != name {
			ask.Excluded = append(ask.Excluded, other)
		}
	}
	b.Place(placedAt, key(number), ask)
	b.Note(now, key(number), Note{Step: StepFailed, Replica: name})
}

// A replica that loses the answers of some requests goes on answering others: it must
// not be passed over, or the rest of the fleet gets its work.
func TestSuspicionEndsWithTheNextAnswer(t *testing.T) {
	b := newTestBoard()
	only := short()
	only.Excluded = []string{"make-2"}
	b.Place(0, key(1), only)
	failAt(b, 0, 10*ms, 2, "make-1")
	must.True(t, b.replicas["make-1"].isDoubted(11*ms))
	b.Note(12*ms, key(1), Note{Step: StepStarted})
	must.False(t, b.replicas["make-1"].isDoubted(13*ms))
}

// A failure that a replica answers with shows that it is there.
func TestSuspicionEndsWithAnAnsweredFailure(t *testing.T) {
	b := newTestBoard()
	failAt(b, 0, 10*ms, 1, "make-1")
	b.Note(12*ms, key(9), Note{Step: StepErred, Replica: "make-1"})
	must.False(t, b.replicas["make-1"].isDoubted(13*ms))
	must.Greater(t, 0.0, b.replicas["make-1"].failureRate)
}

// All that a replica had when it crashed fails at once, and says so once.
func TestRequestsThatFailTogetherAreOneSuspicion(t *testing.T) {
	b := newTestBoard()
	for number := range uint64(20) {
		only := short()
		only.Excluded = []string{"make-2"}
		b.Place(0, key(number), only)
	}
	for number := range uint64(20) {
		b.Note(10*ms+time.Duration(number)*ms, key(number), Note{Step: StepFailed, Replica: "make-1"})
	}
	must.Eq(t, firstSuspicion, b.replicas["make-1"].suspicion)
	must.False(t, b.replicas["make-1"].isDoubted(10*ms+firstSuspicion))
	failAt(b, time.Second, 2*time.Second, 30, "make-1")
	must.Eq(t, 2*firstSuspicion, b.replicas["make-1"].suspicion, must.Sprint("one that was tried afterwards doubles it"))
}

// Once a suspicion is over, one request shows whether the replica is back; the others go
// elsewhere until it has ended.
func TestOneRequestTriesASuspect(t *testing.T) {
	b := newTestBoard()
	failAt(b, 0, 10*ms, 1, "make-1")
	b.replicas["make-1"].failureRate = 0 // only the suspicion is looked at
	now := 10*ms + firstSuspicion
	for number := range uint64(6) {
		b.Place(now, key(100+number), short())
	}
	must.MapLen(t, 1, b.replicas["make-1"].running)
	for number := range uint64(6) {
		b.Note(now, key(100+number), Note{Step: StepEnded})
	}
	must.False(t, b.replicas["make-1"].isDoubted(now), must.Sprint("the trial has ended without a word: the next one may go"))
	must.Eq(t, "make-1", b.Place(now, key(200), short()).Generator)
	must.True(t, b.replicas["make-1"].isDoubted(now))
	b.Note(now+50*ms, key(200), Note{Step: StepStarted})
	must.False(t, b.replicas["make-1"].isDoubted(now+50*ms))
	must.Eq(t, 0, b.replicas["make-1"].suspicion)
}
