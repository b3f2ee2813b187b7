package router

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/version/api"
)

func withAdapter(endpoint *Endpoint) { endpoint.Adapters = []string{"x"} }

func testRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func engine(name string, role api.EngineRole, change func(*Endpoint)) *Endpoint {
	endpoint := &Endpoint{Name: name, Role: role, Model: "m", Admits: true}
	if change != nil {
		change(endpoint)
	}
	return endpoint
}

func TestRoute(t *testing.T) {
	busy := func(e *Endpoint) { e.Load.WaitingTokens = 200000 }
	notAdmitting := func(e *Endpoint) { e.Admits = false }
	refusesClass := func(e *Endpoint) { e.Classes = func(string) bool { return false } }
	cases := []struct {
		name      string
		request   Request
		endpoints []*Endpoint
		target    string
		prefill   string
		reason    Reason
	}{
		{"no endpoints", Request{Model: "m"}, nil, "", "", ReasonUnknownModel},
		{"unknown model", Request{Model: "x"}, []*Endpoint{engine("a", api.RoleMixed, nil)}, "", "", ReasonUnknownModel},
		{"class refused", Request{Model: "m"}, []*Endpoint{engine("a", api.RoleMixed, refusesClass)}, "", "", ReasonClassRefused},
		{"no engine admits requests", Request{Model: "m"}, []*Endpoint{engine("a", api.RoleMixed, notAdmitting)}, "", "", ReasonNoEngine},
		{
			"all excluded",
			Request{Model: "m", Excluded: map[string]bool{"a": true}},
			[]*Endpoint{engine("a", api.RoleMixed, nil)}, "", "", ReasonAllExcluded,
		},
		{
			"impossible deadline",
			Request{Model: "m", OutputTokens: 1000, Deadline: time.Second},
			[]*Endpoint{engine("a", api.RoleMixed, nil)}, "", "", ReasonDeadline,
		},
		{
			"negative deadline",
			Request{Model: "m", Deadline: -1},
			[]*Endpoint{engine("a", api.RoleMixed, nil)}, "", "", ReasonDeadline,
		},
		{
			"deadline shorter than the queue",
			Request{Model: "m", PromptTokens: 10, Deadline: time.Second},
			[]*Endpoint{engine("a", api.RoleMixed, busy)}, "", "", ReasonDeadline,
		},
		{
			"prefill engine reads, mixed engine generates",
			Request{Model: "m", PromptTokens: 1000},
			[]*Endpoint{engine("p", api.RolePrefill, nil), engine("x", api.RoleMixed, func(e *Endpoint) { e.Load.WaitingTokens = 1000 })},
			"x", "p", ReasonNone,
		},
		{
			"mixed engine reads, decode engine generates",
			Request{Model: "m", PromptTokens: 1000, OutputTokens: 100},
			[]*Endpoint{engine("d", api.RoleDecode, nil), engine("x", api.RoleMixed, func(e *Endpoint) { e.Load.Running = 30 })},
			"d", "x", ReasonNone,
		},
		{
			"least loaded",
			Request{Model: "m"},
			[]*Endpoint{engine("a", api.RoleMixed, busy), engine("b", api.RoleMixed, nil)}, "b", "", ReasonNone,
		},
		{
			"split",
			Request{Model: "m", PromptTokens: 1000},
			[]*Endpoint{engine("p", api.RolePrefill, nil), engine("d", api.RoleDecode, nil)}, "d", "p", ReasonNone,
		},
		{
			"idle mixed engine rather than a busy prefill engine",
			Request{Model: "m", PromptTokens: 1000},
			[]*Endpoint{engine("p", api.RolePrefill, busy), engine("d", api.RoleDecode, nil), engine("x", api.RoleMixed, nil)}, "x", "", ReasonNone,
		},
		{
			"idle split rather than a busy mixed engine",
			Request{Model: "m", PromptTokens: 1000},
			[]*Endpoint{engine("p", api.RolePrefill, nil), engine("d", api.RoleDecode, nil), engine("x", api.RoleMixed, busy)}, "d", "p", ReasonNone,
		},
		{"only a decode engine", Request{Model: "m"}, []*Endpoint{engine("d", api.RoleDecode, nil)}, "d", "", ReasonNone},
		{
			"decode engine does not read for a full prefill engine", Request{Model: "m:x", Adapter: "x", Excluded: map[string]bool{"p": true}},
			[]*Endpoint{engine("d", api.RoleDecode, withAdapter), engine("p", api.RolePrefill, withAdapter)}, "", "", ReasonAllExcluded,
		},
		{
			"decode engine reads for a suspect prefill engine", Request{Model: "m", Excluded: map[string]bool{"p": true}},
			[]*Endpoint{engine("d", api.RoleDecode, nil), engine("p", api.RolePrefill, func(e *Endpoint) { e.Suspect = true })}, "d", "", ReasonNone,
		},
		{"only a prefill engine", Request{Model: "m"}, []*Endpoint{engine("p", api.RolePrefill, nil)}, "", "", ReasonNoEngine},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			decision, reason := New(Config{}).Route(Snapshot{Endpoints: c.endpoints}, c.request, testRandom())
			must.Eq(t, c.reason, reason)
			if reason != ReasonNone {
				must.Nil(t, decision.Target)
				return
			}
			must.Eq(t, c.target, decision.Target.Name)
			prefill := ""
			if decision.Prefill != nil {
				prefill = decision.Prefill.Name
			}
			must.Eq(t, c.prefill, prefill)
		})
	}
}

func TestRouteDoesNotChangeTheSnapshot(t *testing.T) {
	endpoints := []*Endpoint{engine("a", api.RoleMixed, func(e *Endpoint) { e.Admits = false }), engine("b", api.RoleMixed, nil)}
	snapshot := Snapshot{Endpoints: endpoints}
	_, reason := New(Config{}).Route(snapshot, Request{Model: "m"}, testRandom())
	must.Eq(t, ReasonNone, reason)
	must.Eq(t, []string{"a", "b"}, names(snapshot.Endpoints))
}

// Proxies that share a stale report must spread over engines of equal load, and count their own
// dispatches.
func TestRouteSpreads(t *testing.T) {
	router := New(Config{})
	var endpoints []*Endpoint
	for _, name := range []string{"a", "b", "c", "d"} {
		endpoints = append(endpoints, engine(name, api.RoleMixed, nil))
	}
	random := testRandom()
	counts := map[string]int{}
	for range 400 {
		decision, _ := router.Route(Snapshot{Endpoints: endpoints}, Request{Model: "m", PromptTokens: 500, OutputTokens: 100}, random)
		decision.Target.Load.OwnRunning++
		decision.Target.Load.OwnTokens += 500
		counts[decision.Target.Name]++
	}
	for _, endpoint := range endpoints {
		must.Between(t, 80, counts[endpoint.Name], 120)
	}
}

func TestRouteIsDeterministic(t *testing.T) {
	endpoints := []*Endpoint{engine("a", api.RoleMixed, nil), engine("b", api.RoleMixed, nil), engine("c", api.RoleMixed, nil)}
	first, second := testRandom(), testRandom()
	for range 50 {
		one, _ := New(Config{}).Route(Snapshot{Endpoints: endpoints}, Request{Model: "m"}, first)
		two, _ := New(Config{}).Route(Snapshot{Endpoints: endpoints}, Request{Model: "m"}, second)
		must.Eq(t, one.Target.Name, two.Target.Name)
	}
}
