package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A replica that announced its shutdown gets no requests while other replicas are left, and is not
// in Occupancies, although it is not listed as leaving yet. Its requests in flight continue.
func TestReplicaThatAnnouncedLeavingIsUsedLast(t *testing.T) {
	board := NewBoard()
	entries := []Replica{{Name: "a", Role: RoleDecode}, {Name: "b", Role: RoleDecode}}
	board.SetReplicas(ServiceParameters{}, entries)
	request := Request{PromptTokens: 1000, Deadline: time.Minute}
	first := board.Place(0, Key{"d", 1}, request)
	board.RecordProgress(0, Key{"d", 0}, ProgressReport{Step: StepLeaving, Replica: first.Generator})
	must.Eq(t, 1, board.Summarize(0).InFlight)
	must.SliceLen(t, 1, board.Occupancies(0))
	board.SetReplicas(ServiceParameters{}, entries) // it is not listed as leaving yet
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
	board.SetReplicas(ServiceParameters{}, restarted)
	must.SliceLen(t, 1, board.Occupancies(0), must.Sprint("a process whose Born value becomes known is the same process"))
	for i := range restarted {
		restarted[i].Born++
	}
	board.SetReplicas(ServiceParameters{}, restarted)
	must.SliceLen(t, 2, board.Occupancies(0))
}
