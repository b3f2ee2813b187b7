package scale

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/process/controller"
	"github.com/landingtrail/landingtrail/request/router"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/planner"
	"github.com/landingtrail/landingtrail/version/subset"
	"github.com/landingtrail/landingtrail/version/view"
)

// The benchmarks give slopes over the number of engines.
var benchSizes = []int{2_500, 5_000, 10_000}

// benchPort stands in the addresses; nothing listens.
const benchPort = 20_000

// benchView is the view of a whole fleet that serves.
func benchView(tb testing.TB, replicas int) *view.View {
	delta := view.Delta{To: view.Version{Term: 1, Revision: 1}, Full: true, Objects: commonObjects()}
	for i := range replicas {
		object := engineObject(i, benchPort)
		object.Engine.Revision = uint64(i)
		object.Engine.Status = api.EngineStatus{Phase: api.PhaseServing, Incarnation: uint64(i) + 1, Assignment: assignmentOf(i)}
		delta.Objects = append(delta.Objects, object)
	}
	made, err := view.New().Apply(delta)
	must.NoError(tb, err)
	return made
}

func forSizes(b *testing.B, run func(b *testing.B, made *view.View)) {
	for _, replicas := range benchSizes {
		made := benchView(b, replicas)
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			b.ReportAllocs()
			run(b, made)
		})
	}
}

// BenchmarkTakeFullView decodes and applies a whole view, as a daemon does at
// its start, and reports what the view keeps in memory.
func BenchmarkTakeFullView(b *testing.B) {
	forSizes(b, func(b *testing.B, made *view.View) {
		encoded, err := made.Full().AppendBinary(nil)
		must.NoError(b, err)
		before := heapInUse()
		var kept *view.View
		for b.Loop() {
			delta, err := view.DecodeDelta(encoded)
			must.NoError(b, err)
			kept, err = view.New().Apply(delta)
			must.NoError(b, err)
		}
		b.ReportMetric(float64(heapInUse()-before), "kept-B")
		b.ReportMetric(float64(len(encoded)), "encoded-B")
		runtime.KeepAlive(kept)
	})
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkTakeDelta applies a change of one engine.
func BenchmarkTakeDelta(b *testing.B) {
	forSizes(b, func(b *testing.B, made *view.View) {
		delta := view.Delta{From: made.Version, To: view.Version{Term: 1, Revision: 2}, Objects: []api.Object{engineObject(7, benchPort)}}
		for b.Loop() {
			_, err := made.Apply(delta)
			must.NoError(b, err)
		}
	})
}

// BenchmarkChoose chooses what one daemon follows.
func BenchmarkChoose(b *testing.B) {
	forSizes(b, func(b *testing.B, made *view.View) {
		listed := (&endpointCache{}).endpoints(made)
		for b.Loop() {
			subset.Choose("hollow-00001", zoneName(1), listed, subset.DefaultSizes)
		}
	})
}

// BenchmarkReconcile is one round of the leader over engines that are as wanted.
func BenchmarkReconcile(b *testing.B) {
	forSizes(b, func(b *testing.B, made *view.View) {
		input := controller.Input{Engines: made.Engines, Observations: map[string]controller.Observation{}, ObservationMaxAge: time.Minute}
		for name, engine := range made.Engines {
			input.Observations[name] = controller.Observation{State: engineapi.State{
				Engine: name, Incarnation: engine.Status.Incarnation, Phase: engine.Status.Phase, Assignment: engine.Status.Assignment,
			}}
		}
		for b.Loop() {
			must.SliceEmpty(b, controller.Reconcile(input))
		}
	})
}

// BenchmarkPlan is one plan with demand for every intent.
func BenchmarkPlan(b *testing.B) {
	forSizes(b, func(b *testing.B, made *view.View) {
		input := planner.Input{Now: time.Hour}
		for _, object := range made.List(api.KindIntent) {
			input.Intents = append(input.Intents, object.Intent)
			input.Demand = append(input.Demand, planner.Demand{
				Intent: object.Intent.Name, Window: 10 * time.Second, Requests: 160_000, PromptTokens: 120e6, OutputTokens: 35e6,
			})
		}
		for _, object := range made.List(api.KindEngine) {
			engine := object.Engine
			input.Engines = append(input.Engines, planner.Engine{
				Name: engine.Name, Intent: "serve-" + engine.Labels[labelModel], Zone: engine.Spec.Zone,
				Phase: engine.Status.Phase, Assignment: engine.Status.Assignment, SinceChange: time.Hour,
			})
		}
		planned := planner.New(planner.Config{})
		for b.Loop() {
			input.Now += 500 * time.Millisecond
			planned.Plan(input)
		}
	})
}

// BenchmarkRoute decides about one request over what a proxy follows at the
// target's size, and over a tenth and a third of it.
func BenchmarkRoute(b *testing.B) {
	for _, followed := range []int{20, 64, 192} {
		b.Run(fmt.Sprint(followed), func(b *testing.B) {
			var snapshot router.Snapshot
			for i := range followed {
				held := assignmentOf(i)
				snapshot.Endpoints = append(snapshot.Endpoints, &router.Endpoint{
					Name: engineName(i), Zone: zoneName(i), Role: held.Role, Model: held.Model, Version: held.Version, Admits: true,
				})
			}
			request := router.Request{
				ID: "r", Service: serviceName, Class: "caption", Model: modelName(1), PromptTokens: 800, OutputTokens: 200,
				Deadline: time.Minute, Zone: zoneName(1),
			}
			random := rand.New(rand.NewPCG(1, 2))
			decides := router.New(router.Config{})
			b.ReportAllocs()
			for b.Loop() {
				_, reason := decides.Route(snapshot, request, random)
				must.Eq(b, router.ReasonNone, reason)
			}
		})
	}
}
