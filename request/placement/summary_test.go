package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestSummaryResetsAnswerCounts(t *testing.T) {
	b := newTestBoard()
	long := b.Place(0, key(1), requestWithObjective(9_000, 0))
	must.NotEq(t, "", long.Reader)
	b.Place(0, key(2), shortRequest())
	summary := b.Summarize(0)
	must.Eq(t, Answers{Placed: 2, Split: 1, Unread: 9_100}, summary.Answers)
	must.Eq(t, 2, summary.InFlight)
	must.Eq(t, 2, summary.Readers.Replicas)
	must.Eq(t, 2, summary.Generators.Running)
	must.Eq(t, 4, summary.Cold)
	must.Eq(t, summary.Readers.MaxBacklog/2, summary.Readers.MeanBacklog, must.Sprint("one of two readers has the whole backlog"))
	must.Greater(t, 100*time.Millisecond, summary.Readers.MaxBacklog)
	must.Eq(t, Answers{}, b.Summarize(0).Answers)
}
