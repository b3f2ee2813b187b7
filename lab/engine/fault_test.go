package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/lab/engine/ledger"
	"github.com/landingtrail/landingtrail/lab/platform"
	"github.com/landingtrail/landingtrail/version/api"
)

func (f *fixture) fault(body string) {
	f.t.Helper()
	must.Eq(f.t, http.StatusOK, f.do(http.MethodPost, PathFault, body, nil).status)
}

func TestCrashBreaksStreamsAndForgets(t *testing.T) {
	f := newFixture(t, nil)
	answers := f.background(engineapi.PathChatCompletions, chat("storm", 20_000), nil)
	f.await(func() bool { return f.server.state().Running == 1 })
	f.fault(`{"kind":"crash"}`)
	cut := <-answers
	must.Error(t, cut.err)
	must.False(t, parseStream(t, cut.body).done)
	must.Len(t, 1, f.ledgerEvents(ledger.EventCrashed))
	state := f.server.state()
	must.NotEq(t, uint64(testIncarnation), state.Incarnation)
	must.Eq(t, api.PhaseIdle, state.Phase)
}

func TestDownEngineBreaksConnections(t *testing.T) {
	f := newFixture(t, nil)
	f.fault(`{"kind":"crash","downMilliseconds":3600000}`)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, f.http.URL+engineapi.PathState, nil)
	must.NoError(t, err)
	response, err := f.client.Do(request)
	if err == nil {
		must.NoError(t, response.Body.Close())
	}
	must.Error(t, err)
}

func TestHungEngineAnswersAfterTheFault(t *testing.T) {
	f := newFixture(t, nil)
	f.fault(`{"kind":"hang"}`)
	answers := f.background(engineapi.PathChatCompletions, chat("storm", 5), nil)
	must.Eq(t, http.StatusOK, f.do(http.MethodGet, engineapi.PathState, "", nil).status)
	must.SliceEmpty(t, f.ledgerEvents(ledger.EventStarted))
	f.fault(`{"kind":"none"}`)
	must.True(t, parseStream(t, (<-answers).body).done)
}

func TestRefuseFault(t *testing.T) {
	f := newFixture(t, nil)
	f.fault(`{"kind":"refuse"}`)
	a := f.do(http.MethodPost, engineapi.PathChatCompletions, chat("storm", 5), nil)
	must.Eq(t, http.StatusServiceUnavailable, a.status)
	must.Eq(t, "no", a.header.Get(engineapi.HeaderAdmitted))
	must.SliceEmpty(t, f.ledgerEvents(ledger.EventStarted))
}

func TestSlowFaultSlowsTheModel(t *testing.T) {
	f := newFixture(t, nil)
	f.fault(`{"kind":"slow","factor":1000000}`)
	f.background(engineapi.PathChatCompletions, chat("storm", 5), nil)
	f.await(func() bool { return f.server.state().Running == 1 })
	f.fault(`{"kind":"crash"}`)
	must.Len(t, 1, f.ledgerEvents(ledger.EventCrashed))
}

func TestLeavingByThePlatformAndByHand(t *testing.T) {
	machines := platform.NewServer(platform.Config{Machines: []platform.Machine{{Name: "narrator-1", Address: "127.0.0.1:1"}}})
	server := httptest.NewServer(machines.Handler())
	defer server.Close()
	f := newFixture(t, func(c *Config) { c.Platform = server.Listener.Addr().String() })
	say := func(state string) {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL+"/lab/machines/narrator-1", strings.NewReader(`{"state":"`+state+`"}`))
		must.NoError(t, err)
		response, err := server.Client().Do(request)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
	}
	f.do(http.MethodPost, PathLeave, `{"leaving":true}`, nil)
	must.Eq(t, api.PhaseLeaving, f.server.state().Phase)
	say("leaving")
	f.await(func() bool {
		f.server.mu.Lock()
		defer f.server.mu.Unlock()
		return f.server.leaving[leaveMachine]
	})
	f.do(http.MethodPost, PathLeave, `{"leaving":false}`, nil)
	must.Eq(t, api.PhaseLeaving, f.server.state().Phase)
	a := f.do(http.MethodPost, engineapi.PathChatCompletions, chat("storm", 5), nil)
	must.Eq(t, "no", a.header.Get(engineapi.HeaderAdmitted))
	must.Eq(t, "leaving", a.header.Get(engineapi.HeaderPhase))
	say("live")
	f.await(func() bool { return f.server.state().Phase == api.PhaseServing })
}
