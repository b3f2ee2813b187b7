package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// counted is what a table holds of each request: how many ends, at how many moments.
func counted(table *Table, names []string) (counts [][2]int) {
	for _, name := range names {
		moments := 0
		if known := table.requests[named(name)]; known != nil {
			moments = len(known.strikes())
		}
		counts = append(counts, [2]int{table.CountEnds(named(name)), moments})
	}
	return counts
}

// What was seen is a set: tables that tell each other come to hold the same as one that saw it all,
// whoever saw what, in whatever order the words arrive, lost and repeated ones included.
func TestSightsAreAUnion(t *testing.T) {
	names := []string{"fatal", "beside", "other"}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Hour / 2
		var all []Aged
		for i := range rapid.IntRange(1, maxEnds).Draw(t, "ends") {
			replica := fmt.Sprint("r", rapid.IntRange(0, 3).Draw(t, "replica"))
			stood := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, len(names), rapid.ID).Draw(t, "stood")
			for _, name := range stood {
				seen := Evidence{Fingerprint: named(name), Replica: replica, Ran: 5 * time.Millisecond}
				all = append(all, Aged{Evidence: seen, Age: now - time.Duration(i)*time.Second})
			}
		}
		whole := NewTable()
		for _, seen := range all {
			whole.NoteAged(now, seen.Age, seen.Evidence)
		}
		tables := []*Table{NewTable(), NewTable(), NewTable()}
		for _, seen := range rapid.Permutation(all).Draw(t, "order") {
			for range rapid.IntRange(1, 2).Draw(t, "repeats") {
				told := seen
				told.Told = rapid.Bool().Draw(t, "told")
				tables[rapid.IntRange(0, 2).Draw(t, "at")].NoteAged(now, told.Age, told.Evidence)
			}
		}
		for range 2 {
			for _, from := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "from") {
				for to := range tables {
					for _, seen := range tables[from].Sights(now, maxRequests) {
						tables[to].NoteAged(now, seen.Age, seen.Evidence)
					}
				}
			}
		}
		for _, table := range tables {
			must.Eq(t, counted(whole, names), counted(table, names))
			news := table.News()
			for _, seen := range all {
				table.NoteAged(now, seen.Age, seen.Evidence)
			}
			must.Eq(t, news, table.News(), must.Sprint("nothing of it is new"))
		}
	})
}

// Of too many sights those are kept that say most, and what the record told is nobody's sight.
func TestSightsAreBounded(t *testing.T) {
	table := NewTable()
	for i := range 20 {
		endedAfter(table, time.Duration(i)*time.Second, fmt.Sprint("r", i), fmt.Sprint("once ", i))
	}
	endedAfter(table, time.Minute, "a", "fatal")
	endedAfter(table, 2*time.Minute, "b", "fatal")
	table.Recall(time.Hour/2, named("recorded"), Record{Replicas: []string{"c", "d"}})
	kept := table.Sights(3*time.Minute, 3)
	must.Eq(t, []string{"r19", "a", "b"}, replicasOf(kept))
	must.Eq(t, []time.Duration{161 * time.Second, 2 * time.Minute, time.Minute}, []time.Duration{kept[0].Age, kept[1].Age, kept[2].Age})
	must.Eq(t, []string{"a", "b"}, replicasOf(table.NotableSights(3*time.Minute, 3)))
	must.False(t, slices.Contains(replicasOf(table.Sights(3*time.Minute, 99)), "c"))
	table.Note(2*time.Minute, Evidence{Fingerprint: named("served in part"), Replica: "e", Began: true})
	must.False(t, slices.Contains(replicasOf(table.Sights(3*time.Minute, 99)), "e"), must.Sprint("it tells nothing"))
}

func replicasOf(sights []Aged) (replicas []string) {
	for _, seen := range sights {
		replicas = append(replicas, seen.Replica)
	}
	return replicas
}

// What makes room for a new end is no news, and what is dropped at once is none either.
func TestWhatAFullTableDropsIsNoNews(t *testing.T) {
	table := NewTable()
	for i := range 2 * maxEnds {
		before := table.News()
		table.Note(time.Second, Evidence{Fingerprint: named("popular"), Replica: fmt.Sprint("rack-", i), Ran: time.Second})
		must.Eq(t, i < maxEnds, table.News() != before, must.Sprint("end ", i))
	}
	for i := range 2 * maxRequests {
		before := table.News()
		endedAfter(table, time.Minute, "r", fmt.Sprint("once ", i))
		must.Eq(t, i < maxRequests-1, table.News() != before, must.Sprint("request ", i))
	}
}
