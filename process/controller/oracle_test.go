package controller

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "1500", "rapid.steps": "80"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestControllerAgainstEngineOracle runs current leaders, outdated leaders and engines
// with lost, delayed and duplicated requests, crashes and changing intents against the
// engine model and the real state machine.
func TestControllerAgainstEngineOracle(t *testing.T) {
	total := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		engineNames := rapid.SampledFrom([]string{"engine-0", "engine-1", "engine-2"})
		steps := map[string]func(*rapid.T){
			"round": func(t *rapid.T) { s.round(s.current(), s.plan()) },
			"old leader": func(t *rapid.T) {
				l := rapid.SampledFrom(s.leaders).Draw(t, "leader")
				s.round(l, s.plan())
			},
			"query":   func(t *rapid.T) { s.enqueue(request{leader: s.current(), engine: engineNames.Draw(t, "engine")}) },
			"advance": func(t *rapid.T) { s.advance(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond) },
			"elect":   func(t *rapid.T) { s.elect() },
			"crash":   func(t *rapid.T) { s.crash(engineNames.Draw(t, "engine")) },
			"intent": func(t *rapid.T) {
				s.rewriteIntent(rapid.SampledFrom([]string{"1", "2", badVersion}).Draw(t, "version"))
			},
			"drain": func(t *rapid.T) {
				s.rewriteEngine(engineNames.Draw(t, "engine"), func(engine *api.Engine) { engine.Spec.Drain = !engine.Spec.Drain })
			},
			"label": func(t *rapid.T) {
				s.rewriteEngine(engineNames.Draw(t, "engine"), func(engine *api.Engine) {
					engine.Labels = api.Labels{"pool": rapid.SampledFrom([]string{"a", "b"}).Draw(t, "pool")}
				})
			},
			"machine leaves": func(t *rapid.T) { s.platform = state.Machines{Leaving: []string{engineNames.Draw(t, "engine")}} },
			"machines back":  func(t *rapid.T) { s.platform = state.Machines{} },
			// rapid runs the action with the empty name after every other one.
			"": func(t *rapid.T) { s.checkOrders(t) },
		}
		// rapid draws actions uniformly, so an action under several names is drawn more
		// often.
		deliver := func(t *rapid.T) { s.deliverDrawn(t) }
		steps["deliver"], steps["deliver more"], steps["deliver most"] = deliver, deliver, deliver
		steps["round more"] = steps["round"]
		t.Repeat(steps)
		s.runUntilConverged(t)
		for kind, count := range s.counts {
			total[kind] += count
		}
	})
	t.Log(total)
	for _, kind := range []string{
		"opened", "crashed", "answer-lost", "repeated", "from-old-leader",
		fmt.Sprint("closed-", state.CloseDone), fmt.Sprint("closed-", state.CloseVoid), fmt.Sprint("closed-", state.CloseOtherIncarnation),
	} {
		must.Positive(t, total[kind], must.Sprint(kind))
	}
}

// deliverDrawn delivers a random pending request, which may stay pending to be
// delivered again.
func (s *simulation) deliverDrawn(t *rapid.T) {
	if len(s.requests) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.requests)-1).Draw(t, "message")
	r := s.requests[i]
	if rapid.IntRange(0, 3).Draw(t, "repeat") == 0 {
		s.counts["repeated"]++
	} else {
		s.requests = append(s.requests[:i:i], s.requests[i+1:]...)
	}
	s.deliver(t, r, rapid.IntRange(0, 2).Draw(t, "lose") == 0)
}
