package ingress

import (
	"context"
	"testing"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/shoenig/test/must"
)

// values returns the registry's counters, and the sample counts of its histograms, by name and
// label values.
func (m *metrics) values(t *testing.T) map[string]float64 {
	t.Helper()
	families, err := m.registry.Gather()
	must.NoError(t, err)
	values := map[string]float64{}
	for _, family := range families {
		for _, series := range family.GetMetric() {
			key := family.GetName()
			for _, label := range series.GetLabel() {
				key += " " + label.GetValue()
			}
			values[key] = series.GetCounter().GetValue() + float64(series.GetHistogram().GetSampleCount())
		}
	}
	return values
}

// singleAnswerPlacer answers only the first placement request.
type singleAnswerPlacer struct {
	answer   placement.Answer
	answered bool
}

func (p *singleAnswerPlacer) Place(context.Context, feed.PlaceRequest) (placement.Answer, error) {
	if p.answered {
		return placement.Answer{}, feed.ErrNotPlaced
	}
	p.answered = true
	return p.answer, nil
}

func (p *singleAnswerPlacer) RecordProgress(feed.PlacementProgress) bool { return true }

func TestEachDecisionIsCounted(t *testing.T) {
	prefiller := newFakeReplica(t, "read", answerPrefill)
	refusing := newFakeReplica(t, "make-1", refuseRun)
	decoder := newFakeReplica(t, "make-2", streamEvents(2, ""))
	env := newModelEnv(t, prefiller, refusing, decoder)
	env.ingress.placer = &singleAnswerPlacer{answer: placement.Answer{Generator: "make-1", Reader: "read", UnreadTokens: 9000}}
	must.Eq(t, eventTexts(1, 2), env.do(modelRequest).body)
	got := env.ingress.metrics.values(t)
	// When the proxy decides by itself, it may or may not choose a separate prefill, depending on
	// the prefill speed that it has measured. So the number of prefills is not fixed.
	must.Positive(t, got["landingtrail_ingress_prefills_total read model"])
	must.Eq(t, got["landingtrail_ingress_prefills_total read model"], got["landingtrail_ingress_prefill_seconds model"])
	for name, want := range map[string]float64{
		"requests_total answered model": 1,
		"request_seconds model":         1,
		"first_event_seconds model":     1,
		"attempts_total model not_run":  1,
		"attempts_total model done":     1,
		"choices_total group model":     1,
		"choices_total proxy model":     1,
		"retries_refused_total model":   0,
	} {
		must.Eq(t, want, got["landingtrail_ingress_"+name], must.Sprint(name))
	}
}
