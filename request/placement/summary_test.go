package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestSummaryCountsAnswersSinceTheLast(t *testing.T) {
	b := newTestBoard()
	long := b.Place(0, key(1), urgent(9_000, 0))
	must.NotEq(t, "", long.Reader)
	b.Place(0, key(2), short())
	shown := b.Summarize(0)
	must.Eq(t, Answers{Placed: 2, Split: 1, Unread: 9_100}, shown.Answers)
	must.Eq(t, 2, shown.InFlight)
	must.Eq(t, 2, shown.Readers.Replicas)
	must.Eq(t, 2, shown.Generators.Running)
	must.Eq(t, 4, shown.Cold)
	must.Eq(t, shown.Readers.Most/2, shown.Readers.Mean, must.Sprint("one of two readers has it all"))
	must.Greater(t, 100*time.Millisecond, shown.Readers.Most)
	must.Eq(t, Answers{}, b.Summarize(0).Answers)
}
