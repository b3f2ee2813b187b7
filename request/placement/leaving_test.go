package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A replica that announced that it leaves gets no requests while others are left and is not
// counted for role changes, although the list still shows it as ready. Its requests go on.
func TestReplicaThatAnnouncedLeavingIsUsedLast(t *testing.T) {
	board := NewBoard()
	entries := []Replica{{Name: "a", Role: RoleDecode}, {Name: "b", Role: RoleDecode}}
	board.SetReplicas(Sheet{}, entries)
	request := Ask{Prompt: 1000, Deadline: time.Minute}
	first := board.Place(0, Key{"d", 1}, request)
	board.Note(0, Key{"d", 0}, Note{Step: StepLeaving, Replica: first.Generator})
	must.Eq(t, 1, board.Summarize(0).InFlight)
	must.SliceLen(t, 1, board.Occupancies(0))
	board.SetReplicas(Sheet{}, entries) // the list does not show it yet
	for number := uint64(2); number < 8; number++ {
		must.NotEq(t, first.Generator, board.Place(0, Key{"d", number}, request).Generator)
	}
	other := "a"
	if first.Generator == "a" {
		other = "b"
	}
	alone := request
	alone.Excluded = []string{other}
	must.Eq(t, first.Generator, board.Place(0, Key{"d", 9}, alone).Generator, must.Sprint("no other replica is left"))
	restarted := []Replica{{Name: "a", Role: RoleDecode, Born: 7}, {Name: "b", Role: RoleDecode, Born: 7}}
	board.SetReplicas(Sheet{}, restarted)
	must.SliceLen(t, 1, board.Occupancies(0), must.Sprint("a Born value that was unknown before is that of the same process"))
	for i := range restarted {
		restarted[i].Born++
	}
	board.SetReplicas(Sheet{}, restarted)
	must.SliceLen(t, 2, board.Occupancies(0))
}
