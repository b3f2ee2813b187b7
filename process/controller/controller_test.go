package controller

import (
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/planner"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/shoenig/test/must"
)

var (
	initialAssignment = api.Assignment{Model: "storm", Version: "1", Role: api.RoleMixed}
	newAssignment     = api.Assignment{Model: "storm", Version: "2", Role: api.RoleMixed}
	orderFence        = api.Fence{Term: 2, Index: 10}
	higherFence       = api.Fence{Term: 2, Index: 11}
	lowerFence        = api.Fence{Term: 1, Index: 99}
)

// engineWith returns the committed engine "e" of incarnation 7, with initialAssignment, after
// applying change.
func engineWith(change func(*api.Engine)) *api.Engine {
	engine := &api.Engine{
		Metadata: api.Metadata{Name: "e"},
		Spec:     api.EngineSpec{Address: "10.0.0.1:1"},
		Status:   api.EngineStatus{Phase: api.PhaseServing, Incarnation: 7, Assignment: initialAssignment, Fence: lowerFence},
	}
	change(engine)
	return engine
}

func openOrder(engine *api.Engine) {
	engine.Status.OpenOrder = &api.Order{Fence: orderFence, Engine: "e", Incarnation: 7, Assignment: newAssignment}
}

func unchangedEngine(*api.Engine) {}

// stateWith returns an observation of engine "e" that equals the committed state, after
// applying change.
func stateWith(change func(*engineapi.State)) Observation {
	seen := engineapi.State{Engine: "e", Incarnation: 7, Phase: api.PhaseServing, Assignment: initialAssignment, Fence: lowerFence}
	change(&seen)
	return Observation{State: seen, QueriedAt: time.Minute}
}

func unchangedState(*engineapi.State) {}

func TestReconcileOneEngine(t *testing.T) {
	decision := []planner.Decision{{Engine: "e", Assignment: newAssignment, Reason: "load"}}
	cases := map[string]struct {
		engine    *api.Engine
		seen      Observation
		decisions []planner.Decision
		adjust    func(*Input)
		want      string
	}{
		"silent": {engine: engineWith(openOrder), want: "query"},
		"stale observation": {
			engine: engineWith(openOrder), seen: stateWith(unchangedState),
			adjust: func(input *Input) { input.Now += time.Hour }, want: "query",
		},
		"another engine at the address": {
			engine: engineWith(openOrder),
			seen:   stateWith(func(s *engineapi.State) { s.Engine = "other"; s.Fence = higherFence }), want: "query",
		},
		"order not received":     {engine: engineWith(openOrder), seen: stateWith(unchangedState), want: "send"},
		"order resent unchanged": {engine: engineWith(openOrder), seen: stateWith(unchangedState), decisions: decision, want: "send"},
		"order being carried out": {
			engine: engineWith(openOrder),
			seen: stateWith(func(s *engineapi.State) {
				s.Fence, s.Phase, s.Order = orderFence, api.PhaseDraining, &api.Order{Fence: orderFence}
			}),
			want: "query",
		},
		"another order being carried out": {
			engine: engineWith(openOrder),
			seen: stateWith(func(s *engineapi.State) {
				s.Fence, s.Phase, s.Order = higherFence, api.PhaseDraining, &api.Order{Fence: higherFence}
			}),
			want: "query",
		},
		"busy without an open order": {
			engine:    engineWith(func(e *api.Engine) { e.Status.Phase = api.PhaseChanging }),
			seen:      stateWith(func(s *engineapi.State) { s.Phase = api.PhaseChanging }),
			decisions: decision, want: "",
		},
		"still changing": {
			engine: engineWith(openOrder),
			seen:   stateWith(func(s *engineapi.State) { s.Fence, s.Phase = orderFence, api.PhaseChanging }), want: "query",
		},
		"done": {
			engine: engineWith(openOrder),
			seen:   stateWith(func(s *engineapi.State) { s.Fence, s.Assignment = orderFence, newAssignment }), want: "close done",
		},
		"ended without the assignment": {
			engine: engineWith(openOrder),
			seen:   stateWith(func(s *engineapi.State) { s.Fence = orderFence }), want: "void",
		},
		"rejected as invalid": {
			engine: engineWith(openOrder),
			seen: func() Observation {
				seen := stateWith(unchangedState)
				seen.RejectedFence = orderFence
				return seen
			}(),
			want: "void",
		},
		"an earlier order was rejected as invalid": {
			engine: engineWith(openOrder),
			seen: func() Observation {
				seen := stateWith(unchangedState)
				seen.RejectedFence = lowerFence
				return seen
			}(),
			want: "send",
		},
		"confirmed at a higher fence": {
			engine: engineWith(openOrder),
			seen:   stateWith(func(s *engineapi.State) { s.Fence = higherFence }), want: "close void",
		},
		"new incarnation without its fence": {
			engine: engineWith(openOrder),
			seen: stateWith(func(s *engineapi.State) {
				*s = engineapi.State{Engine: "e", Incarnation: 8, Phase: api.PhaseIdle}
			}),
			decisions: decision, want: "close other incarnation",
		},
		"incarnation unknown": {
			engine: engineWith(openOrder),
			seen:   stateWith(func(s *engineapi.State) { s.Incarnation = 0 }), want: "query",
		},
		"nothing to do":         {engine: engineWith(unchangedEngine), seen: stateWith(unchangedState), want: ""},
		"decision":              {engine: engineWith(unchangedEngine), seen: stateWith(unchangedState), decisions: decision, want: "open 2"},
		"decision already held": {engine: engineWith(unchangedEngine), seen: stateWith(unchangedState), decisions: []planner.Decision{{Engine: "e", Assignment: initialAssignment}}, want: ""},
		"report before order": {
			engine: engineWith(unchangedEngine), decisions: decision,
			seen: stateWith(func(s *engineapi.State) { s.Incarnation = 8 }), want: "report",
		},
		"no intent matches": {
			engine: engineWith(func(e *api.Engine) { e.Status.UnmatchedSince = 5 }),
			seen:   stateWith(unchangedState), decisions: decision, want: "",
		},
		"drain": {
			engine: engineWith(func(e *api.Engine) { e.Spec.Drain = true }),
			seen:   stateWith(unchangedState), decisions: decision, want: "open ",
		},
		"drained": {
			engine: engineWith(func(e *api.Engine) {
				e.Spec.Drain = true
				e.Status.Assignment, e.Status.Phase = api.Assignment{}, api.PhaseIdle
			}),
			seen:      stateWith(func(s *engineapi.State) { s.Assignment, s.Phase = api.Assignment{}, api.PhaseIdle }),
			decisions: decision, want: "",
		},
		"machine is leaving": {
			engine: engineWith(func(e *api.Engine) { e.Status.Phase, e.Status.MachinePhase = api.PhaseLeaving, api.PhaseLeaving }),
			seen:   stateWith(unchangedState), decisions: decision, want: "",
		},
		"failed recently": {
			engine: engineWith(unchangedEngine), seen: stateWith(unchangedState), decisions: decision,
			adjust: func(input *Input) {
				input.Failures = map[string]Failure{"e": {Assignment: newAssignment, At: input.Now}}
			},
			want: "",
		},
		"failed long ago": {
			engine: engineWith(unchangedEngine), seen: stateWith(unchangedState), decisions: decision,
			adjust: func(input *Input) { input.Failures = map[string]Failure{"e": {Assignment: newAssignment}} },
			want:   "open 2",
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			input := Input{
				Now:               time.Minute,
				Engines:           map[string]*api.Engine{"e": test.engine},
				Observations:      map[string]Observation{},
				Decisions:         test.decisions,
				ObservationMaxAge: time.Second,
				FailurePause:      30 * time.Second,
			}
			if test.seen.State.Engine != "" {
				input.Observations["e"] = test.seen
			}
			if test.adjust != nil {
				test.adjust(&input)
			}
			must.Eq(t, test.want, describeAction(t, Reconcile(input)))
		})
	}
}

// describeAction returns a short description of the only action, or "" if there is none.
func describeAction(t *testing.T, actions []Action) string {
	if len(actions) == 0 {
		return ""
	}
	must.Len(t, 1, actions)
	switch action := actions[0].(type) {
	case Send:
		must.Eq(t, orderFence, action.Order.Fence)
		return "send"
	case Void:
		must.Eq(t, orderFence, action.Command().VoidOrder.Fence)
		return "void"
	case Query:
		return "query"
	case Propose:
		return describeCommand(action.Command)
	default:
		return "unknown"
	}
}

func describeCommand(command state.Command) string {
	switch command.Kind {
	case state.CommandReportEngine:
		return "report"
	case state.CommandOpenOrder:
		return "open " + command.OpenOrder.Assignment.Version
	case state.CommandCloseOrder:
		return "close " + map[state.CloseReason]string{
			state.CloseDone: "done", state.CloseVoid: "void", state.CloseOtherIncarnation: "other incarnation",
		}[command.CloseOrder.Reason]
	default:
		return "unknown"
	}
}

func TestChangedMachineListIsProposed(t *testing.T) {
	listed := state.Machines{Leaving: []string{"b", "a", "b"}, Gone: []string{"c"}}
	cases := map[string]struct {
		platform, committed *state.Machines
		proposed            bool
	}{
		"never read":        {nil, nil, false},
		"first list":        {&listed, nil, true},
		"same in any order": {&listed, &state.Machines{Leaving: []string{"a", "b"}, Gone: []string{"c"}}, false},
		"one has returned":  {&state.Machines{Gone: []string{"c"}}, &listed, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			actions := Reconcile(Input{Platform: test.platform, Machines: test.committed})
			must.Eq(t, test.proposed, len(actions) == 1)
		})
	}
}
