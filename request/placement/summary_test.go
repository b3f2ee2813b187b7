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

// Guards against factors in the summary of a service whose replicas do not report their slowness, and against missing
// ones in that of another.
func TestSummaryShowsSpeedFactors(t *testing.T) {
	b := newTestBoard()
	summary := b.Summarize(0)
	must.SliceEmpty(t, summary.Readers.Factors)
	must.Eq(t, 0, summary.StaleSlowness)
	b.RecordProgress(0, key(1), ProgressReport{Step: StepRefused, Replica: "prefill-1", ReportedSlowness: 2.5})
	summary = b.Summarize(0)
	lowest, mean, highest := summary.Readers.FactorRange()
	must.Eq(t, []float64{1, 1.75, 2.5}, []float64{lowest, mean, highest})
	must.SliceLen(t, 2, summary.Generators.Factors)
	must.Eq(t, 3, summary.StaleSlowness)
	must.Eq(t, 4, b.Summarize(slownessMaxAge).StaleSlowness)
}
