package ingress

import (
	"net/http"
	"testing"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/shoenig/test/must"
)

// toldGroup keeps what it is told.
type toldGroup struct{ inFlight []feed.InFlight }

func (g *toldGroup) ReportInFlight(told feed.InFlight) bool {
	g.inFlight = append(g.inFlight, told)
	return true
}

// of returns what it was told last of the service.
func (g *toldGroup) of(service string) map[uint64]placement.Placed {
	var requests map[uint64]placement.Placed
	for _, told := range g.inFlight {
		if told.Service == service {
			requests = told.Requests
		}
	}
	return requests
}

func (g *toldGroup) ReportKept(feed.KeptParts) bool { return true }

// What is in flight is told to whoever places from now on, also what this proxy has
// placed itself, and nothing that is over.
func TestNextLeaderIsToldWhatIsInFlight(t *testing.T) {
	for _, test := range []struct {
		name   string
		placer *fakePlacer
	}{
		{"placed by the group", &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read", Unread: 9000}}},
		{"placed by the proxy", &fakePlacer{err: feed.ErrNotPlaced}},
	} {
		t.Run(test.name, func(t *testing.T) {
			begun, goOn := make(chan struct{}, 4), make(chan struct{})
			hold := func(serve http.HandlerFunc) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					begun <- struct{}{}
					<-goOn
					serve(w, r)
				}
			}
			reader := newFakeReplica(t, "read", hold(readPrompt))
			generator := newFakeReplica(t, "make", hold(streamEvents(2, "")))
			w := newModelWorld(t, reader, generator, nil)
			w.ingress.placer = test.placer
			done := make(chan struct{})
			go func() {
				defer close(done)
				w.ask(modelRequest)
			}()
			<-begun
			var told toldGroup
			w.ingress.reportInFlight(&told)
			must.SliceLen(t, 1, told.inFlight)
			must.MapLen(t, 1, told.inFlight[0].Requests)
			for _, request := range told.inFlight[0].Requests {
				must.Eq(t, "make", request.Answer.Generator)
				must.Eq(t, 9000, request.Ask.Prompt)
				must.Eq(t, placement.Step(0), request.Step)
			}
			close(goOn)
			<-done
			told = toldGroup{}
			w.ingress.reportInFlight(&told)
			must.SliceLen(t, 1, told.inFlight)
			must.MapEmpty(t, told.inFlight[0].Requests)
		})
	}
}
