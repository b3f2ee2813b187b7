package ingress

import (
	"context"
	"io"
	"math"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/holdoff"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// fakePlacer gives every placement request the same answer and records the progress reports.
type fakePlacer struct {
	answer placement.Answer
	err    error

	lock     sync.Mutex
	requests []placement.Request
	reports  []placement.ProgressReport
}

func (p *fakePlacer) Place(_ context.Context, request feed.PlaceRequest) (placement.Answer, error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.requests = append(p.requests, request.Ask)
	return p.answer, p.err
}

func (p *fakePlacer) RecordProgress(progress feed.PlacementProgress) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.reports = append(p.reports, progress.Note)
	return true
}

func (p *fakePlacer) steps() []placement.Step {
	p.lock.Lock()
	defer p.lock.Unlock()
	var steps []placement.Step
	for _, report := range p.reports {
		steps = append(steps, report.Step)
	}
	return steps
}

// answerPrefill answers a prefill with a handle.
func answerPrefill(w http.ResponseWriter, r *http.Request) {
	writeGenuine(w, r)
	_, _ = io.WriteString(w, `"handle-7"`)
}

// newModelEnv returns an environment with a prefill replica and up to two decode replicas of the
// model service.
func newModelEnv(t *testing.T, prefiller, first, second *fakeReplica) *testEnv {
	env := newTestEnv(t)
	env.views.set(func(v *view.View) {
		v.Replicas = map[string]*api.Replica{
			prefiller.name: replicaObject(prefiller, "model", api.RolePrefill),
			first.name:     replicaObject(first, "model", api.RoleDecode),
		}
		if second != nil {
			v.Replicas[second.name] = replicaObject(second, "model", api.RoleDecode)
		}
	})
	return env
}

var modelRequest = testRequest{method: "POST", target: "/model/", id: "q", fields: map[string]string{testTokens: "9000"}}

func TestPromptIsPrefilledWhereTheGroupSays(t *testing.T) {
	prefiller := newFakeReplica(t, "read", answerPrefill)
	decoder := newFakeReplica(t, "make", streamEvents(2, ""))
	env := newModelEnv(t, prefiller, decoder, nil)
	placer := &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read", UnreadTokens: 9000}}
	env.ingress.placer = placer
	got := env.do(modelRequest)
	must.NoError(t, got.err)
	must.Eq(t, eventTexts(1, 2), got.body)
	must.Eq(t, "1", prefiller.requests[0].Header.Get(testPrefill))
	must.Eq(t, prefiller.address()+"/handle-7", decoder.requests[0].Header.Get(testSource))
	must.Eq(t, "", decoder.requests[0].Header.Get(testPrefill))
	must.Eq(t, 9000, placer.requests[0].PromptTokens)
	must.Eq(t, []placement.Step{placement.StepRead, placement.StepStarted, placement.StepEnded}, placer.steps())
}

// A prefill is not a run of the request, which is served whichever way the prefill fails.
func TestDecodeReplicaPrefillsAfterFailedPrefill(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"connection closed": closeConnection, "refused": refuseRun, "failed": answerStatus(500), "no handle": answerOK, "misdirected": answerMisdirected,
		"handle without a request ID": answerUnnamed, "another request's answer": answerUnmatched,
	} {
		t.Run(name, func(t *testing.T) {
			prefiller := newFakeReplica(t, "read", handler)
			decoder := newFakeReplica(t, "make", streamEvents(2, ""))
			env := newModelEnv(t, prefiller, decoder, nil)
			env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
			got := env.do(modelRequest)
			must.NoError(t, got.err)
			must.Eq(t, eventTexts(1, 2), got.body)
			must.Eq(t, "", decoder.requests[0].Header.Get(testSource))
		})
	}
}

// A replica that starts to leave during the prefill receives nothing new.
func TestDecodeReplicaThatLeavesDuringPrefillGetsNothing(t *testing.T) {
	leaving := newFakeReplica(t, "make-1", streamEvents(2, ""))
	staying := newFakeReplica(t, "make-2", streamEvents(2, ""))
	prefiller := newFakeReplica(t, "read", answerPrefill)
	env := newModelEnv(t, prefiller, leaving, staying)
	prefiller.server.Config.Handler = callFirst(prefiller.server.Config.Handler, func() {
		env.views.set(func(v *view.View) {
			entry := replicaObject(leaving, "model", api.RoleDecode)
			entry.Spec.Leaving = true
			v.Replicas = map[string]*api.Replica{"read": v.Replicas["read"], "make-1": entry, "make-2": v.Replicas["make-2"]}
		})
	})
	env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make-1", Reader: "read"}}
	must.Eq(t, eventTexts(1, 2), env.do(modelRequest).body)
	must.Eq(t, 0, leaving.count())
	must.Eq(t, 1, staying.count())
}

// The member that places a request may not know yet that a replica is leaving, while the proxy
// does.
func TestLeavingReplicaNamedByPlacementIsNotUsed(t *testing.T) {
	cases := []struct {
		name   string
		answer placement.Answer
	}{
		{"generator", placement.Answer{Generator: "make-1"}},
		{"reader", placement.Answer{Generator: "make-2", Reader: "read"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			leaving := newFakeReplica(t, "make-1", streamEvents(2, ""))
			staying := newFakeReplica(t, "make-2", streamEvents(2, ""))
			prefiller := newFakeReplica(t, "read", answerPrefill)
			env := newModelEnv(t, prefiller, leaving, staying)
			env.views.set(func(v *view.View) {
				leavingDecoder := replicaObject(leaving, "model", api.RoleDecode)
				leavingDecoder.Spec.Leaving = true
				leavingPrefiller := replicaObject(prefiller, "model", api.RolePrefill)
				leavingPrefiller.Spec.Leaving = true
				v.Replicas = map[string]*api.Replica{"read": leavingPrefiller, "make-1": leavingDecoder, "make-2": v.Replicas["make-2"]}
			})
			env.ingress.placer = &fakePlacer{answer: test.answer}
			must.Eq(t, eventTexts(1, 2), env.do(modelRequest).body)
			must.Eq(t, 0, leaving.count())
			must.Eq(t, 0, prefiller.count())
			must.Eq(t, 1, staying.count())
		})
	}
}

func TestProxyPlacesRequestsWithoutTheGroup(t *testing.T) {
	for name, placer := range map[string]Placer{
		"no group":        nil,
		"no answer":       &fakePlacer{err: feed.ErrNotPlaced},
		"unknown replica": &fakePlacer{answer: placement.Answer{Generator: "gone"}},
	} {
		t.Run(name, func(t *testing.T) {
			prefiller := newFakeReplica(t, "read", answerPrefill)
			decoder := newFakeReplica(t, "make", streamEvents(2, ""))
			env := newModelEnv(t, prefiller, decoder, nil)
			env.ingress.placer = placer
			must.Eq(t, eventTexts(1, 2), env.do(modelRequest).body)
			must.Eq(t, 1, decoder.count())
		})
	}
}

// waitingPlacer answers the first waits placement requests with a wait.
type waitingPlacer struct {
	fakePlacer
	waits int
}

func (p *waitingPlacer) Place(ctx context.Context, request feed.PlaceRequest) (placement.Answer, error) {
	answer, err := p.fakePlacer.Place(ctx, request)
	p.lock.Lock()
	defer p.lock.Unlock()
	if len(p.requests) <= p.waits {
		return placement.Answer{Wait: time.Millisecond}, nil
	}
	return answer, err
}

func TestRequestIsPlacedAgainAfterAWait(t *testing.T) {
	decoder := newFakeReplica(t, "make", streamEvents(2, ""))
	env := newModelEnv(t, newFakeReplica(t, "read", answerPrefill), decoder, nil)
	placer := &waitingPlacer{fakePlacer: fakePlacer{answer: placement.Answer{Generator: "make"}}, waits: 3}
	env.ingress.placer = placer
	must.Eq(t, eventTexts(1, 2), env.do(modelRequest).body)
	must.SliceLen(t, 4, placer.requests)
	must.Eq(t, 1, decoder.count())
}

// A request whose deadline passes during a wait was sent to no replica, and its caller is told
// so.
func TestRequestWhoseTimeEndsDuringAWaitIsRefused(t *testing.T) {
	decoder := newFakeReplica(t, "make", streamEvents(2, ""))
	env := newModelEnv(t, newFakeReplica(t, "read", answerPrefill), decoder, nil)
	env.ingress.placer = &waitingPlacer{waits: math.MaxInt}
	request := modelRequest
	request.fields = map[string]string{testTokens: "9000", testWithin: "100"}
	got := env.do(request)
	must.NoError(t, got.err)
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.Eq(t, 0, decoder.count())
}

// A proxy knows the relay addresses of the other proxies and leaves out its own.
func TestRelaysAreTheOtherProxies(t *testing.T) {
	proxy := func(name, address string) *api.Proxy {
		return &api.Proxy{Metadata: api.Metadata{Name: name}, Spec: api.ProxySpec{Address: address}}
	}
	current := &view.View{Proxies: map[string]*api.Proxy{"self": proxy("self", "a"), "other": proxy("other", "b"), "odd": proxy("odd", "")}}
	config := Config{Name: "self"}
	i := &Ingress{config: config}
	must.SliceEmpty(t, i.relays(current))
	i.config.RelayAddressOf = func(address string) string {
		if address == "" {
			return ""
		}
		return "relay-" + address
	}
	must.Eq(t, []string{"relay-b"}, i.relays(current))
}

func TestTheGroupIsToldOfFailures(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		step    placement.Step
	}{
		{"no answer", closeConnection, placement.StepFailed},
		{"failure", answerStatus(500), placement.StepAnsweredError},
		{"refusal", refuseRun, placement.StepRefused},
		{"another replica at the address", answerMisdirected, placement.StepMisdirected},
		{"another request's answer", answerUnmatched, placement.StepAnsweredError},
		{"connection refused", nil, placement.StepUnreachable},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			decoder := newFakeReplica(t, "make", test.handler)
			env := newModelEnv(t, newFakeReplica(t, "read", answerPrefill), decoder, nil)
			if test.handler == nil {
				decoder.server.Close()
			}
			placer := &fakePlacer{answer: placement.Answer{Generator: "make"}}
			env.ingress.placer = placer
			env.do(modelRequest)
			must.Eq(t, test.step, placer.steps()[0])
			must.Eq(t, "make", placer.reports[0].Replica)
		})
	}
}

func TestCachedPartsAreReportedOldestFirst(t *testing.T) {
	current := newReplica("r", api.ReplicaSpec{}, &holdoff.Replica{})
	current.noteCachedParts([]Part{{ID: "a", Tokens: 1}, {ID: "b", Tokens: 2}})
	current.noteCachedParts([]Part{{ID: "a", Tokens: 1}})
	must.Eq(t, []placement.Part{{ID: "b", Tokens: 2}, {ID: "a", Tokens: 1}}, current.cachedParts())
	must.Eq(t, 3, current.cachedTokens([]Part{{ID: "a", Tokens: 1}, {ID: "b", Tokens: 2}, {ID: "c", Tokens: 9}}))
}

// The placement board assumes that a separate prefill is done when the run starts. So it is told
// if a prefill failed or was not sent, for any reason. The request is then placed again without one, and
// stays in flight.
func TestTheGroupIsToldOfFailedPrefills(t *testing.T) {
	for name, test := range map[string]struct {
		handler http.HandlerFunc
		step    placement.Step
	}{
		"refused":     {refuseRun, placement.StepReadSkipped},
		"failed":      {answerStatus(500), placement.StepReadSkipped},
		"unmatched":   {answerUnmatched, placement.StepReadSkipped},
		"no handle":   {answerOK, placement.StepReadSkipped},
		"no answer":   {closeConnection, placement.StepFailed},
		"misdirected": {answerMisdirected, placement.StepMisdirected},
		"not sent":    {nil, placement.StepReadSkipped},
	} {
		t.Run(name, func(t *testing.T) {
			prefiller := newFakeReplica(t, "read", test.handler)
			decoder := newFakeReplica(t, "make", streamEvents(2, ""))
			env := newModelEnv(t, prefiller, decoder, nil)
			placer := &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read", UnreadTokens: 9000}}
			env.ingress.placer = placer
			if test.handler == nil {
				env.withReserve(0)
			}
			inFlight := 0
			decoder.server.Config.Handler = callFirst(decoder.server.Config.Handler, func() {
				var group recordingGroup
				env.ingress.reportInFlight(&group)
				inFlight = len(group.lastReportFor("model"))
			})
			must.NoError(t, env.do(modelRequest).err)
			expected := []placement.Step{test.step, placement.StepEnded, placement.StepReadSkipped, placement.StepStarted, placement.StepEnded}
			if test.handler == nil { // it was placed without a prefill at once
				expected = []placement.Step{test.step, placement.StepStarted, placement.StepEnded}
			}
			must.Eq(t, expected, placer.steps())
			must.Eq(t, "read", placer.reports[0].Replica)
			must.Eq(t, 1, inFlight)
		})
	}
}

// When a replica's address changes, connections to the former address are no longer used.
func TestConnectionsToAFormerAddressAreDropped(t *testing.T) {
	before, now := newFakeReplica(t, "r-1", answerOK), newFakeReplica(t, "r-1", answerOK)
	env := newTestEnv(t, before)
	must.Eq(t, http.StatusOK, env.do(testRequest{method: "GET", target: "/safe/", id: "q-1"}).status)
	upstream := env.ingress.upstreams.get("plain")
	must.True(t, upstream.pool.HasIdle(before.address()))
	env.setReplicas(now)
	must.Eq(t, http.StatusOK, env.do(testRequest{method: "GET", target: "/safe/", id: "q-2"}).status)
	must.False(t, upstream.pool.HasIdle(before.address()))
	must.Eq(t, 1, now.count())
}

// A handle is released by the name of its replica, since another replica may have taken over the
// address.
func TestHandleIsReleasedByReplicaName(t *testing.T) {
	prefiller := newFakeReplica(t, "read", answerOK)
	env := newTestEnv(t)
	freeing := session{ingress: env.ingress, upstream: env.ingress.upstreams.get("model")}
	freeing.release(Source{Replica: "read", Address: prefiller.address(), Handle: "h"})
	eventually(t, "the release request arrives", func() bool { return prefiller.count() == 1 })
	must.Eq(t, "read", prefiller.requests[0].Header.Get(testReplica))
	must.Eq(t, "/handle/h", prefiller.requests[0].URL.Path)
}
