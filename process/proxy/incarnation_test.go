package proxy

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/version/api"
)

// A lagging report of the life before says nothing of the present one.
func TestReportOfAnEarlierIncarnationSaysNothing(t *testing.T) {
	e := newEndpoint("e1", "", "", true)
	e.hear(spokenWord{said: 10 * time.Second, now: 10 * time.Second, phase: api.PhaseServing, incarnation: 8})
	e.report(10100*time.Millisecond, 10101*time.Millisecond, engineapi.Load{Incarnation: 7, Phase: api.PhaseServing, Running: 50, AgeMilliseconds: 900})
	must.Eq(t, uint64(8), e.word().incarnation)
	must.Eq(t, 0, e.load.Running)
}

// An answer to an earlier question that comes late.
func TestLateAnswerOfAnEarlierIncarnationSaysNothing(t *testing.T) {
	e := newEndpoint("e1", "", "", true)
	e.hear(spokenWord{said: 10 * time.Second, now: 10 * time.Second, phase: api.PhaseServing, incarnation: 8})
	e.hear(spokenWord{said: 9 * time.Second, now: 11 * time.Second, phase: api.PhaseServing, incarnation: 7})
	must.Eq(t, uint64(8), e.word().incarnation)
}

// An address may have gone to another engine, whose report says nothing of the one that is
// looked for there. Until an engine has spoken for itself, nothing else tells the two apart.
func TestReportOfAnotherEngineSaysNothing(t *testing.T) {
	e := newEndpoint("e1", "", "", true)
	e.report(time.Second, time.Second, engineapi.Load{Engine: "e2", Incarnation: 7, Phase: api.PhaseServing, Running: 50})
	must.Eq(t, uint64(0), e.word().incarnation)
	must.False(t, e.word().heard)
	must.Eq(t, 0, e.load.Running)
}
