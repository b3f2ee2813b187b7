package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A run that starts says nothing of a reader that has not read: what it was thought to
// keep was read by the generator, and its ban stays.
func TestStartSaysNothingOfAReaderThatHasNotRead(t *testing.T) {
	b := newTestBoard()
	first := b.Place(0, key(1), Ask{Prompt: 20_000, Zone: "a", Deadline: time.Hour, Parts: []Part{{ID: "p", Tokens: 20_000}}})
	must.NotEq(t, "", first.Reader)
	b.Note(10*ms, key(2), Note{Step: StepMisdirected, Replica: first.Reader})
	b.Note(11*ms, key(1), Note{Step: StepUnread, Replica: first.Reader})
	must.Eq(t, 0, b.replicas[first.Reader].cache.order.Len())
	must.MapEmpty(t, b.replicas[first.Reader].cache.pending)
	b.Note(300*ms, key(1), Note{Step: StepStarted})
	must.Eq(t, 0, b.replicas[first.Reader].cache.order.Len())
	must.Positive(t, b.replicas[first.Generator].cache.order.Len())
	must.True(t, b.replicas[first.Reader].isAbsent(310*ms))
}

// A read that failed is no end of its request: the generator reads and runs it.
func TestRunAfterAReadThatFailedIsCounted(t *testing.T) {
	for _, step := range []Step{StepFailed, StepMisdirected, StepUnread} {
		b := newTestBoard()
		b.replicas["read-1"].suspicion = firstSuspicion
		first := b.Place(0, key(1), Ask{Prompt: 20_000, Zone: "a", Deadline: time.Hour})
		must.Eq(t, "read-1", first.Reader)
		b.Note(10*ms, key(1), Note{Step: step, Replica: first.Reader})
		generator := b.replicas[first.Generator]
		must.SliceLen(t, 1, generator.queue)
		must.Eq(t, 10*ms, b.placed[key(1)].at, must.Sprint("its reading begins now, for the pace"))
		must.SliceEmpty(t, b.replicas[first.Reader].queue)
		must.Nil(t, b.replicas[first.Reader].trial, must.Sprint("the trial has ended"))
		b.Note(500*ms, key(1), Note{Step: StepStarted})
		must.SliceEmpty(t, generator.queue)
		must.MapLen(t, 1, generator.running)
		b.Note(600*ms, key(1), Note{Step: StepEnded})
		must.MapEmpty(t, generator.running)
	}
}

// A replica that changed its role since was asked for something else.
func TestMisdirectionInAnEarlierRoleIsOld(t *testing.T) {
	b := newTestBoard()
	placed := b.Place(0, key(1), Ask{Prompt: 100, Zone: "a", Deadline: time.Hour, Excluded: []string{"make-2"}})
	must.Eq(t, "make-1", placed.Generator)
	b.SetReplicas(testSheet, []Replica{
		{Name: "read-1", Zone: "a", Role: RolePrefill, Slots: 64},
		{Name: "make-1", Zone: "a", Role: RolePrefill, Slots: 64},
		{Name: "make-2", Zone: "a", Role: RoleDecode, Slots: 64},
	})
	b.Note(10*ms, key(1), Note{Step: StepMisdirected, Replica: "make-1"})
	must.False(t, b.replicas["make-1"].isAbsent(20*ms))
}

// What was placed before the last ban makes the next one no longer.
func TestMisdirectionOfARequestPlacedBeforeTheBanIsOld(t *testing.T) {
	b := newTestBoard()
	alone := Ask{Prompt: 100, Zone: "a", Deadline: time.Hour, Excluded: []string{"make-2"}}
	must.Eq(t, "make-1", b.Place(0, key(1), alone).Generator)
	b.Note(1*ms, key(9), Note{Step: StepMisdirected, Replica: "make-1"})
	b.Note(firstAbsence+2*ms, key(1), Note{Step: StepMisdirected, Replica: "make-1"})
	must.Eq(t, firstAbsence, b.replicas["make-1"].absence)
}

// Nobody waits for parts that a replica which is gone was to read.
func TestNobodyWaitsForAReplicaThatIsGone(t *testing.T) {
	for _, gone := range []bool{false, true} {
		b := newTestBoard()
		parts := func(own string) []Part { return []Part{{ID: "shared", Tokens: 40_000}, {ID: own, Tokens: 10}} }
		ask := Ask{Prompt: 40_010, Zone: "a", Deadline: time.Hour, Parts: parts("x"), Excluded: []string{"read-2"}}
		one := b.Place(0, key(1), ask)
		if gone {
			b.Note(1*ms, key(99), Note{Step: StepMisdirected, Replica: one.Reader})
		}
		ask.Parts = parts("y")
		must.Eq(t, gone, b.Place(400*ms, key(2), ask).Wait == 0)
	}
}

// What a request tells that was placed before the ban is as old where it began as where it
// was misdirected: its word may have been on the way for longer than that of the ban.
func TestStartOfARequestPlacedBeforeTheBanIsOld(t *testing.T) {
	b := newTestBoard()
	alone := Ask{Prompt: 100, Zone: "a", Deadline: time.Hour, Excluded: []string{"make-2"}}
	must.Eq(t, "make-1", b.Place(0, key(1), alone).Generator)
	b.Note(1*ms, key(9), Note{Step: StepMisdirected, Replica: "make-1"})
	b.Note(2*ms, key(1), Note{Step: StepStarted})
	must.True(t, b.replicas["make-1"].isAbsent(3*ms))
}
