package control

import (
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/landingtrail/landingtrail/request/resume"
	"github.com/shoenig/test/must"
)

// Guards against a member that does not know at which software version it placed a stream, or that forgets what a proxy
// reports; and against an answer to a question about anything else.
func TestMemberKnowsTheVersionsOfStreams(t *testing.T) {
	history := ratesView()
	history.View.Replicas["r-1"].Spec.SoftwareVersion = "v1"
	history.View.Replicas["r-2"].Spec.SoftwareVersion = "v1.1"
	g := &group{
		boards: newPlacementBoards(), rates: ratelimit.NewLimiter(ratelimit.DefaultRule, 0), machine: newMachine(), metrics: newMetrics(),
		evidence: &evidence{tracker: newQuarantineTracker()}, streams: newStreamArchive(Config{}, nopLogger{}), restarts: newRestartDoubts(),
	}
	g.machine.history.Store(history)
	find := func(stream resume.Stream) (uint64, bool) {
		grant, decided := g.Charge(feed.ChargeRequest{Streams: &resume.Report{Streams: []resume.Stream{stream}}})
		must.True(t, decided)
		return uint64(grant.Left), grant.Granted
	}
	for number, stream := range []resume.Stream{70, 80, 90} {
		ask := placement.Request{PromptTokens: 10, Deadline: time.Minute, Streams: []resume.Stream{stream}}
		answer, known := g.Place("proxy-1", feed.PlaceRequest{Service: "chat", Number: uint64(number), Ask: ask})
		must.True(t, known)
		version, found := find(stream)
		must.True(t, found)
		must.Eq(t, resume.HashVersion(history.View.Replicas[answer.Generator].Spec.SoftwareVersion), version)
	}
	_, found := find(100)
	must.False(t, found)
	g.RefundCharge(feed.ChargeRequest{Streams: &resume.Report{Version: "v1.2", Streams: []resume.Stream{70, 100}}})
	for _, stream := range []resume.Stream{70, 100} {
		version, found := find(stream)
		must.True(t, found)
		must.Eq(t, resume.HashVersion("v1.2"), version)
	}
	_, decided := g.Charge(feed.ChargeRequest{Streams: &resume.Report{Streams: []resume.Stream{70, 80}}})
	must.False(t, decided)
}
