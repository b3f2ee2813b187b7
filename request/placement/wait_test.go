package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A replica finds what it keeps of a prompt when it takes the request up. Who
// comes while the part is still read for another would read it again, wherever
// it goes, and so waits until it is read.
func TestPartsOnTheirWayAreWaitedFor(t *testing.T) {
	b := newTestBoard()
	first := b.Place(0, key(1), ask("p", 25_000, 600))
	must.NotEq(t, "", first.Generator)
	second := b.Place(100*ms, key(2), ask("p", 25_000, 600))
	must.Eq(t, "", second.Generator)
	must.Between(t, leastWait, second.Wait, first.Estimate)
	must.MapLen(t, 1, b.placed, must.Sprint("who waits takes no place"))
	run(b, 700*ms, 1, first)
	third := b.Place(700*ms, key(2), ask("p", 25_000, 600))
	must.Eq(t, 600, third.Unread)
	must.NotEq(t, "", third.Generator)
}

// What takes longer than it should is waited for no more: its proxy may be gone.
func TestOverdueReadsAreNotWaitedFor(t *testing.T) {
	b := newTestBoard()
	first := b.Place(0, key(1), ask("p", 25_000, 600))
	second := b.Place(overdueFactor*first.Estimate+overdueSlack+time.Second, key(2), ask("p", 25_000, 600))
	must.NotEq(t, "", second.Generator)
	must.Eq(t, 25_600, second.Unread)
}

func TestSuspectsAreNotWaitedFor(t *testing.T) {
	b := newTestBoard()
	first := b.Place(0, key(1), ask("p", 25_000, 600))
	b.Note(100*ms, key(9), Note{Step: StepFailed, Replica: first.Reader})
	second := b.Place(110*ms, key(2), ask("p", 25_000, 600))
	must.NotEq(t, "", second.Generator)
}

// Where the part is read only after much else, reading it oneself is sooner.
func TestLongQueuesAreNotWaitedFor(t *testing.T) {
	b := newTestBoard()
	var last Answer
	for number := range uint64(6) {
		last = b.Place(0, key(number), Ask{Prompt: 40_000, Zone: "a", Deadline: time.Minute, Parts: []Part{{ID: string('a' + rune(number)), Tokens: 40_000}}})
	}
	b.Place(0, key(8), ask("p", 2_000, 100))
	must.NotEq(t, "", last.Generator)
	b.SetReplicas(testSheet, append([]Replica{{Name: "read-3", Zone: "a", Role: RolePrefill, Slots: 64}}, listed(b)...))
	next := b.Place(0, key(9), ask("p", 2_000, 100))
	must.Eq(t, "read-3", next.Reader)
	must.Eq(t, 0, next.Wait)
}

func listed(b *Board) []Replica {
	var replicas []Replica
	for _, name := range b.names {
		replicas = append(replicas, b.replicas[name].Replica)
	}
	return replicas
}

// A short part is not worth a wait, and a request that goes on with a stream
// waits for nothing.
func TestWhatDoesNotWaitForParts(t *testing.T) {
	b := newTestBoard()
	b.Place(0, key(1), ask("p", minimumFetch/2, 20_000))
	must.NotEq(t, "", b.Place(0, key(2), ask("p", minimumFetch/2, 20_000)).Generator)
	b.Place(0, key(3), ask("q", 25_000, 600))
	continued := ask("q", 25_000, 600)
	continued.Continued = true
	must.NotEq(t, "", b.Place(100*ms, key(4), continued).Generator)
}
