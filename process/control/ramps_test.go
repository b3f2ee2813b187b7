package control

import (
	"bytes"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/shoenig/test/must"
)

// Guards against ramps that neither the log nor the metrics show.
func TestRampsAreLoggedAndCounted(t *testing.T) {
	var written bytes.Buffer
	g := &group{
		boards: newPlacementBoards(), rates: ratelimit.NewLimiter(ratelimit.DefaultRule, 0), machine: newMachine(), metrics: newMetrics(),
		logger: log.NewLogfmtLogger(&written),
	}
	history := ratesView()
	g.machine.history.Store(history)
	g.boards.place(history, "proxy-1", feed.PlaceRequest{Service: "chat", Number: 1, Ask: placement.Request{PromptTokens: 10, Deadline: time.Minute}}, false, monotonic())
	report := func(step placement.Step, replica string) {
		g.RecordProgress("proxy-1", feed.PlacementProgress{Service: "chat", Number: 2, Note: placement.ProgressReport{Step: step, Replica: replica, ReportedSlowness: 1}})
	}
	report(placement.StepStarted, "")
	g.logRamps(monotonic())
	must.StrNotContains(t, written.String(), "ramp_began")
	report(placement.StepFailed, "r-1")
	g.logRamps(monotonic())
	must.StrContains(t, written.String(), "event=1242 name=ramp_began service=chat replica=r-1 role=decode reason=suspected")
	written.Reset()
	g.boards.removeReplica("r-1")
	g.logRamps(monotonic())
	must.StrContains(t, written.String(), "event=1243 name=ramp_ended service=chat replica=r-1")
}
