package ingress

import (
	"net/http"
	"testing"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/shoenig/test/must"
)

// recordingGroup records the reports that it receives.
type recordingGroup struct{ inFlight []feed.InFlight }

func (g *recordingGroup) ReportInFlight(report feed.InFlight) bool {
	g.inFlight = append(g.inFlight, report)
	return true
}

// lastReportFor returns the requests in the last report for the service, by number.
func (g *recordingGroup) lastReportFor(service string) map[uint64]placement.InFlightRequest {
	var requests map[uint64]placement.InFlightRequest
	for _, report := range g.inFlight {
		if report.Service == service {
			requests = report.Requests
		}
	}
	return requests
}

func (g *recordingGroup) ReportCachedParts(feed.CachedParts) bool { return true }

// A new leader is told of all requests in flight, including those that this proxy placed itself,
// and of none that has ended.
func TestNewLeaderIsToldWhatIsInFlight(t *testing.T) {
	for _, test := range []struct {
		name   string
		placer *fakePlacer
	}{
		{"placed by the group", &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read", UnreadTokens: 9000}}},
		{"placed by the proxy", &fakePlacer{err: feed.ErrNotPlaced}},
	} {
		t.Run(test.name, func(t *testing.T) {
			started, proceed := make(chan struct{}, 4), make(chan struct{})
			hold := func(serve http.HandlerFunc) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					started <- struct{}{}
					<-proceed
					serve(w, r)
				}
			}
			prefiller := newFakeReplica(t, "read", hold(answerPrefill))
			decoder := newFakeReplica(t, "make", hold(streamEvents(2, "")))
			env := newModelEnv(t, prefiller, decoder, nil)
			env.ingress.placer = test.placer
			done := make(chan struct{})
			go func() {
				defer close(done)
				env.do(modelRequest)
			}()
			<-started
			var group recordingGroup
			env.ingress.reportInFlight(&group)
			must.SliceLen(t, 1, group.inFlight)
			must.MapLen(t, 1, group.inFlight[0].Requests)
			for _, request := range group.inFlight[0].Requests {
				must.Eq(t, "make", request.Answer.Generator)
				must.Eq(t, 9000, request.Ask.PromptTokens)
				must.Eq(t, placement.Step(0), request.Step)
			}
			close(proceed)
			<-done
			group = recordingGroup{}
			env.ingress.reportInFlight(&group)
			must.SliceLen(t, 1, group.inFlight)
			must.MapEmpty(t, group.inFlight[0].Requests)
		})
	}
}
