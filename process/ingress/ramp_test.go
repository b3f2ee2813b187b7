package ingress

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/rampup"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// rampProxies are proxies in virtual time that choose the replicas of one service by themselves: those of a plain
// service, or of a model service while they reach no member.
type rampProxies struct {
	now      time.Duration
	random   *rand.Rand
	model    bool
	proxies  []*upstreams
	revision uint64
	replicas []*api.Replica
	states   map[string]*rampReplica
	flying   []*rampSend
	begun    int
}

// rampReplica is a replica as it is.
type rampReplica struct {
	takes     time.Duration
	silent    bool
	inFlight  int
	most      int // largest inFlight
	begun     []time.Duration
	firstGood time.Duration // 0 for none
}

type rampSend struct {
	at     *replica
	state  *rampReplica
	sent   *send
	endsAt time.Duration
	silent bool
}

const (
	rampTestSlots   = 6
	rampTestTakes   = 20 * time.Millisecond
	rampTestTimeout = 800 * time.Millisecond
	rampPerProxy    = 3 // requests per second
)

func newRampProxies(proxies, replicas int, model bool, seed uint64) *rampProxies {
	f := &rampProxies{random: rand.New(rand.NewPCG(seed, uint64(proxies))), model: model, states: map[string]*rampReplica{}}
	for i := range replicas {
		name := fmt.Sprintf("r-%d", i)
		role := api.RoleNone
		if model {
			role = api.RoleMixed
		}
		f.replicas = append(f.replicas, &api.Replica{Metadata: api.Metadata{Name: name}, Spec: api.ReplicaSpec{Service: "service", Address: name + ":1", Slots: rampTestSlots, Zone: "a", Born: 1, Role: role}})
		f.states[name] = &rampReplica{takes: rampTestTakes}
	}
	for i := range proxies {
		f.proxies = append(f.proxies, newUpstreams(Config{Name: fmt.Sprintf("proxy-%d", i)}.WithDefaults(), func() time.Duration { return f.now }))
	}
	f.relist()
	for _, proxy := range f.proxies {
		for _, r := range proxy.get("service").fleet.choices(0) {
			r.noteAnswer(&Load{Slots: rampTestSlots, Slowness: 1}, 0)
			r.noteSlowness(1, 0)
		}
	}
	return f
}

// relist sends all proxies a view with the replicas.
func (f *rampProxies) relist() {
	f.revision++
	current := &view.View{Version: view.Version{Revision: f.revision}, Proxies: map[string]*api.Proxy{}, Replicas: map[string]*api.Replica{}}
	for i := range f.proxies {
		current.Proxies[fmt.Sprintf("proxy-%d", i)] = &api.Proxy{}
	}
	for _, r := range f.replicas {
		current.Replicas[r.Name] = r
	}
	for _, proxy := range f.proxies {
		proxy.update(current, f.now)
	}
}

// restart replaces a replica by a new process.
func (f *rampProxies) restart(i int, silent bool) *rampReplica {
	next := *f.replicas[i]
	next.Spec.Born = int64(f.now) + 2
	f.replicas[i] = &next
	f.states[next.Name] = &rampReplica{takes: rampTestTakes, silent: silent}
	f.relist()
	return f.states[next.Name]
}

// run steps until the given time.
func (f *rampProxies) run(until time.Duration) {
	for ; f.now < until; f.now += time.Millisecond {
		var rest []*rampSend
		for _, s := range f.flying {
			if s.endsAt > f.now {
				rest = append(rest, s)
				continue
			}
			s.state.inFlight--
			s.at.endSend(s.sent)
			if s.silent {
				s.at.suspect(f.now)
				continue
			}
			s.at.noteAnswer(&Load{Running: s.state.inFlight, Slots: rampTestSlots, Slowness: 1}, f.now)
			s.at.noteSlowness(1, f.now)
			s.at.noteSuccess()
			s.at.noteServed(f.now, f.now-s.sent.at, rampTestTakes)
			if s.state.firstGood == 0 {
				s.state.firstGood = f.now
			}
		}
		f.flying = rest
		for _, proxy := range f.proxies {
			if f.random.Float64() < float64(rampPerProxy)/1000 {
				f.send(proxy.get("service"))
			}
		}
	}
}

func (f *rampProxies) send(to *upstream) {
	chosen := to.pickPlain("a", &replicaFilter{}, f.now, f.random)
	if f.model {
		next, _ := to.pickModel(&replicaFilter{roles: []api.EngineRole{api.RoleMixed}}, &Call{Work: Work{PromptTokens: 100}}, "a", 20*time.Microsecond, f.now, f.random)
		chosen = next.replica
	}
	if chosen == nil {
		return
	}
	f.begun++
	state := f.states[chosen.name]
	s := &rampSend{at: chosen, state: state, sent: chosen.beginSend(f.now, 0), endsAt: f.now + state.takes, silent: state.silent}
	if state.silent {
		s.endsAt = f.now + rampTestTimeout
	}
	state.inFlight++
	state.most = max(state.most, state.inFlight)
	state.begun = append(state.begun, f.now)
	f.flying = append(f.flying, s)
}

// Guards against proxies that each send a request at the same moment to a replica that has restarted and gives no
// answer, also where no member places the requests of a model service.
func TestProxiesKeepToTheSlotsOfARestartedReplica(t *testing.T) {
	for _, model := range []bool{false, true} {
		for _, proxies := range []int{1, 5, 67, 300} {
			most := 0
			for seed := range uint64(5) {
				f := newRampProxies(proxies, 4, model, seed)
				f.run(time.Second)
				state := f.restart(0, true)
				f.run(2 * time.Second)
				must.LessEq(t, rampTestSlots, state.most)
				most = max(most, state.most)
			}
			t.Logf("model %v, %d proxies: at most %d in flight", model, proxies, most)
		}
	}
}

// Guards against a healthy replica that is left idle because each proxy sends it little.
func TestProxiesUseARestartedReplica(t *testing.T) {
	for _, model := range []bool{false, true} {
		for _, size := range []struct {
			proxies int
			after   time.Duration // the first good answer
		}{{1, time.Second}, {5, time.Second}, {67, time.Second}, {300, 1500 * time.Millisecond}} {
			sum, first := 0.0, time.Duration(0)
			const seeds = 10
			for seed := range uint64(seeds) {
				f := newRampProxies(size.proxies, 4, model, seed)
				f.run(time.Second)
				state := f.restart(0, false)
				f.run(4 * time.Second)
				count := 0
				for _, at := range state.begun {
					if at > state.firstGood+size.after-300*time.Millisecond && at <= state.firstGood+size.after {
						count++
					}
				}
				sum += float64(count) / (0.3 * rampPerProxy * float64(size.proxies) / 4)
				first += state.firstGood - time.Second
			}
			t.Logf("model %v, %d proxies: first good answer after %v, %.2f of its share in 0.3 s before %v after it", model, size.proxies, (first / seeds).Round(time.Millisecond), sum/seeds, size.after)
			must.Greater(t, 0.5, sum/seeds)
		}
	}
}

// Guards against requests without a replica where all replicas restart at once, or the only one does.
func TestRestartedReplicasAreUsedWhereThereAreNoOthers(t *testing.T) {
	for _, replicas := range []int{1, 4} {
		f := newRampProxies(67, replicas, false, 1)
		f.run(time.Second)
		before := f.begun
		for i := range replicas {
			f.restart(i, false)
		}
		f.run(2 * time.Second)
		must.Greater(t, before*9/10, f.begun-before)
		for _, state := range f.states {
			must.Positive(t, len(state.begun))
		}
	}
}

// Guards against ramps in services whose replicas do not report their slowness, and against ramps of the replicas that
// a process finds listed at its start.
func TestRampsNeedAReportedSlownessAndANewListing(t *testing.T) {
	f := newTestFleet(nil)
	changes := 0
	f.ramps = &rampContext{proxies: func() int { return 1 }, draw: func(string) float64 { return 0 }, changed: func(rampChange) { changes++ }}
	f.update(listingOf(3), 0)
	f.update(listingOf(4), 0)
	f.find("model-00003", 0).suspect(0)
	must.Eq(t, maxSuspectTime, f.find("model-00003", 0).maxSuspect())
	f.find("model-00000", 0).noteAnswer(&Load{Running: 1}, 0)
	must.Eq(t, 0, changes)
	f.find("model-00000", 0).noteAnswer(&Load{Slowness: 1}, 0)
	must.False(t, f.ramps.slownessReported.Load(), must.Sprint("a slowness that is assumed"))
	f.find("model-00000", 0).noteSlowness(1, 0)
	f.find("model-00001", 0)
	must.Eq(t, 0, changes)
	f.update(listingOf(6), 0)
	f.find("model-00005", 0)
	must.Eq(t, 1, changes)
	must.Eq(t, rampup.Started, f.find("model-00005", 0).ramp.Reason())
	f.find("model-00004", newListingMaxAge+1)
	must.Eq(t, 1, changes, must.Sprint("other proxies have used it meanwhile"))
	f.update(listingOf(1), newListingMaxAge+1)
	must.Eq(t, 2, changes, must.Sprint("a ramp ends with its replica"))
}

// Guards against steps of real requests that a ramp does not learn of: a restarted replica that hangs gets one request,
// and one that answers gets all that it can serve.
func TestRampFollowsRequests(t *testing.T) {
	held := make(chan struct{})
	release := sync.OnceFunc(func() { close(held) })
	report := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testLoad, "0")
		w.Header().Set(testSlowness, "1")
		answerOK(w, r)
	}
	steady := newFakeReplica(t, "r-1", report)
	restarted := newFakeReplica(t, "r-2", func(w http.ResponseWriter, r *http.Request) {
		<-held
		report(w, r)
	})
	env := newTestEnv(t, steady)
	t.Cleanup(release) // before the servers close, which wait for their handlers
	must.Eq(t, http.StatusOK, env.do(testRequest{method: "GET", target: "/safe/", id: "first"}).status)
	must.True(t, env.ingress.upstreams.get("plain").fleet.ramps.slownessReported.Load(), must.Sprint("no ramp can begin"))
	env.setReplicas(steady, restarted)
	results := make(chan int, 20)
	expectOK := func() {
		t.Helper()
		select {
		case status := <-results:
			must.Eq(t, http.StatusOK, status)
		case <-time.After(testTimeout):
			t.Fatalf("no answer; %d requests are at the restarted replica", restarted.count())
		}
	}
	for i := range 20 {
		go func() {
			results <- env.do(testRequest{method: "POST", target: "/unsafe/", id: fmt.Sprint("q-", i)}).status
		}()
		time.Sleep(2 * time.Millisecond)
	}
	for range 19 {
		expectOK()
	}
	must.Eq(t, 1, restarted.count())
	release()
	expectOK()
	target := env.ingress.upstreams.get("plain").find("r-2")
	eventually(t, "the ramp ends", func() bool {
		must.Eq(t, http.StatusOK, env.do(testRequest{method: "POST", target: "/unsafe/", id: fmt.Sprint("after-", restarted.count(), "-", steady.count())}).status)
		target.lock.Lock()
		defer target.lock.Unlock()
		return !target.ramp.IsActive()
	})
}
