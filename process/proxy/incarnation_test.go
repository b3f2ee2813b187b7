package proxy

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/version/api"
)

// A load report that was delayed and comes from an earlier incarnation must not
// change the state of the current one.
func TestLoadReportFromEarlierIncarnationIsIgnored(t *testing.T) {
	e := newEndpoint("e1", "", "", true)
	e.recordState(stateReport{asOf: 10 * time.Second, now: 10 * time.Second, phase: api.PhaseServing, incarnation: 8})
	e.recordLoad(10100*time.Millisecond, 10101*time.Millisecond, engineapi.Load{Incarnation: 7, Phase: api.PhaseServing, Running: 50, AgeMilliseconds: 900})
	must.Eq(t, uint64(8), e.reported().incarnation)
	must.Eq(t, 0, e.load.Running)
}

// A response to an earlier request arrives late and comes from an earlier
// incarnation. It must not replace the current one.
func TestLateResponseFromEarlierIncarnationIsIgnored(t *testing.T) {
	e := newEndpoint("e1", "", "", true)
	e.recordState(stateReport{asOf: 10 * time.Second, now: 10 * time.Second, phase: api.PhaseServing, incarnation: 8})
	e.recordState(stateReport{asOf: 9 * time.Second, now: 11 * time.Second, phase: api.PhaseServing, incarnation: 7})
	must.Eq(t, uint64(8), e.reported().incarnation)
}

// An address may have been reassigned to another engine, whose report must not be
// taken for that of the expected one. Before the first report, only the engine's
// name in the report distinguishes them.
func TestLoadReportFromAnotherEngineIsIgnored(t *testing.T) {
	e := newEndpoint("e1", "", "", true)
	e.recordLoad(time.Second, time.Second, engineapi.Load{Engine: "e2", Incarnation: 7, Phase: api.PhaseServing, Running: 50})
	must.Eq(t, uint64(0), e.reported().incarnation)
	must.False(t, e.reported().hasReported)
	must.Eq(t, 0, e.load.Running)
}
