package calibrate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/landingtrail/landingtrail/lab/engine"
	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/version/api"
)

var held = api.Assignment{Model: "narrator", Version: "v1", Role: api.RoleMixed}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// The model in virtual time takes as long as its constants say.
func TestEmulatedTimes(t *testing.T) {
	config := enginemodel.DefaultConfig("e", 1)
	config.Assignment = held
	model := newEmulated(config)
	reading := model.run(0, Probe{Requests: []Tokens{{Prompt: config.MixedChunkTokens, Answer: 1}}})
	perToken := time.Duration(float64(time.Second) / config.PrefillTokensPerSecond)
	must.InDelta(t, (config.StepBase + time.Duration(config.MixedChunkTokens)*perToken).Seconds(), reading.Seconds(), 1e-3)
	alone := model.run(1, Probe{Requests: []Tokens{{Prompt: 1, Answer: 101}}})
	eight := model.run(2, Probe{Requests: make8(Tokens{Prompt: 1, Answer: 101})})
	must.InDelta(t, (100 * 7 * config.DecodePerSequence).Seconds(), (eight - alone).Seconds(), 0.02)
	probes := Probes(held)
	must.Eq(t, config.RoleChange, model.run(3, probes[len(probes)-2]))
	must.GreaterEq(t, config.WeightLoad, model.run(4, probes[len(probes)-1]))
}

func make8(tokens Tokens) []Tokens {
	requests := make([]Tokens, 8)
	for i := range requests {
		requests[i] = tokens
	}
	return requests
}

// A stand-in cannot be faster than its model, and how much slower it is depends
// on the machine: only the lower bound is held.
func TestRunAgainstAStandIn(t *testing.T) {
	config := enginemodel.DefaultConfig("e", 1)
	config.Assignment, config.Speed = held, 20
	server, err := engine.NewServer(engine.Config{Model: config})
	must.NoError(t, err)
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		listener.Close()
		must.NoError(t, server.Close())
	})
	outcomes, err := Run(context.Background(), listener.Listener.Addr().String(), config)
	must.NoError(t, err)
	must.Len(t, len(Probes(held)), outcomes)
	for _, outcome := range outcomes {
		must.Greater(t, 0.95, outcome.Ratio(), must.Sprint(outcome.Name, outcome.Emulated, outcome.Measured))
	}
}

func TestRunNamesTheFault(t *testing.T) {
	listener := httptest.NewServer(http.NotFoundHandler())
	defer listener.Close()
	defer http.DefaultClient.CloseIdleConnections()
	_, err := Run(context.Background(), listener.Listener.Addr().String(), enginemodel.DefaultConfig("e", 1))
	must.ErrorIs(t, err, ErrUnexpectedAnswer)
}
