package ingress

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// endsGroup keeps what it is told of replicas that ended.
type endsGroup struct {
	connected atomic.Bool
	lock      sync.Mutex
	told      []feed.EndReport
}

func (g *endsGroup) Connected() bool { return g.connected.Load() }

func (g *endsGroup) ReportEnds(report feed.EndReport) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.told = append(g.told, report)
	return true
}

// sum returns how much was told of each sort.
func (g *endsGroup) sum() (ended, alive, served int) {
	g.lock.Lock()
	defer g.lock.Unlock()
	for _, report := range g.told {
		ended += len(report.Ended)
		alive += len(report.Alive)
		served += len(report.Served)
	}
	return ended, alive, served
}

// fatalWhere ends the connection under a fatal body and answers any other.
func fatalWhere(fatal string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Test-Sort") == fatal {
			panic(http.ErrAbortHandler)
		}
		answerOK(w, r)
	}
}

// fatalAsk is a request under which each replica of these tests ends.
func fatalAsk(id string) asked {
	return asked{method: "GET", target: "/safe/x?q=1", id: id, fields: map[string]string{"Test-Sort": "fatal"}}
}

func newQuarantineWorld(t *testing.T, replicas int) (*world, *endsGroup, []*fakeReplica) {
	var all []*fakeReplica
	for i := range replicas {
		all = append(all, newFakeReplica(t, fmt.Sprint("r-", i), fatalWhere("fatal")))
	}
	w := newWorld(t, all...)
	group := &endsGroup{}
	w.ingress.guard.SetReporter(group)
	return w, group, all
}

func arrivals(replicas []*fakeReplica) int {
	count := 0
	for _, replica := range replicas {
		count += replica.count()
	}
	return count
}

// holdAs puts the fatal request on record.
func (w *world) holdAs(state api.QuarantineState, until time.Duration, replicas ...string) {
	w.views.set(func(v *view.View) {
		name := quarantine.Of(quarantine.Identity{Method: "GET", Host: "a.example", Path: "/safe/x", Query: "q=1"}).String()
		v.Quarantines = map[string]*api.Quarantine{name: {
			Metadata: api.Metadata{Name: name, Revision: v.Version.Revision},
			Spec:     api.QuarantineSpec{State: state, Replicas: replicas, Until: time.Now().Add(until).UnixMilli()},
		}}
	})
}

// What is on record goes to no replica, is answered at once, and told when to come back;
// other requests on the route are served.
func TestHeldRequestGoesToNoReplica(t *testing.T) {
	w, _, replicas := newQuarantineWorld(t, 3)
	w.holdAs(api.QuarantineHeld, time.Hour, "x", "y", "z")
	began := time.Now()
	got := w.ask(fatalAsk("one"))
	must.Less(t, time.Second, time.Since(began))
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.Eq(t, "quarantined\n", got.body)
	again, err := time.ParseDuration(got.header.Get(testAgain))
	must.NoError(t, err)
	must.Between(t, 59*time.Minute, again, time.Hour)
	must.Eq(t, 0, arrivals(replicas))
	must.Eq(t, 200, w.ask(asked{method: "GET", target: "/safe/x?q=2", id: "two"}).status)

	w.views.set(func(v *view.View) { v.Quarantines = nil })
	must.Eq(t, 502, w.ask(fatalAsk("three")).status)
	must.Eq(t, 3, arrivals(replicas), must.Sprint("a released request is sent again"))
}

// A proxy that no leader serves goes by what it has seen itself.
func TestProxyThatIsCutOffHoldsByWhatItSaw(t *testing.T) {
	w, group, replicas := newQuarantineWorld(t, 8)
	for i := range 2 {
		w.ask(fatalAsk(fmt.Sprint("q-", i)))
	}
	must.Eq(t, 4, arrivals(replicas))
	for i := range 10 {
		must.Eq(t, http.StatusServiceUnavailable, w.ask(fatalAsk(fmt.Sprint("later-", i))).status)
	}
	must.Eq(t, 4, arrivals(replicas))
	ended, _, _ := group.sum()
	must.Eq(t, 4, ended)

	// Once a leader serves it, what all proxies saw decides.
	group.connected.Store(true)
	must.Eq(t, 502, w.ask(fatalAsk("decided")).status)
	must.Greater(t, 4, arrivals(replicas))
}

// What the group had on record before the cut counts with what is seen after it.
func TestRecordCountsWithWhatIsSeen(t *testing.T) {
	w, _, replicas := newQuarantineWorld(t, 3)
	w.holdAs(api.QuarantineWatched, time.Hour, "gone-1", "gone-2")
	w.ask(fatalAsk("one"))
	sent := arrivals(replicas)
	must.Eq(t, 2, sent)
	must.Eq(t, http.StatusServiceUnavailable, w.ask(fatalAsk("two")).status)
	must.Eq(t, sent, arrivals(replicas))
}

// What ends three replicas by itself goes to no fourth, whatever its route allows and before
// the group has a word on it.
func TestOneRequestEndsThreeReplicasAtMost(t *testing.T) {
	w, group, replicas := newQuarantineWorld(t, 8)
	group.connected.Store(true)
	w.views.set(func(v *view.View) {
		made := testIngress()
		made.Spec.Generation++
		made.Spec.Routes[0].Attempts = 8
		v.Ingresses = map[string]*api.Ingress{api.IngressName: made}
	})
	must.Eq(t, http.StatusBadGateway, w.ask(fatalAsk("one")).status)
	must.Eq(t, 3, arrivals(replicas))
}

// Seen: a request that ends each replica was sent on three times by one proxy, 0.7 s long, after
// the third replica had ended under it.
// How: two ends were on record, and one arrival met the third itself. It had ended one replica
// only, so that it went on to two more, while the word took its way over the leader and back.
// Cause: an arrival counted its own ends alone, and its proxy knew of the others.
// Proof: the log lines of that one arrival at one proxy (soak, seed 9112 beside three busy loops).
func TestThirdEndOnRecordStopsTheArrivalThatMetIt(t *testing.T) {
	w, group, replicas := newQuarantineWorld(t, 8)
	group.connected.Store(true)
	w.views.set(func(v *view.View) {
		made := testIngress()
		made.Spec.Generation++
		made.Spec.Routes[0].Attempts = 8
		v.Ingresses = map[string]*api.Ingress{api.IngressName: made}
	})
	w.holdAs(api.QuarantineWatched, time.Hour, "gone-1", "gone-2")
	must.Eq(t, http.StatusBadGateway, w.ask(fatalAsk("one")).status)
	must.Eq(t, 1, arrivals(replicas))
}

// A replica that answers later on a connection which was open before has not ended. On a
// new one it may be the next process under its name, of which the end says nothing: to take
// its word let a request go that had ended eight replicas.
func TestAnswerRefutesAnEnd(t *testing.T) {
	for _, kept := range []bool{true, false} {
		w, group, replicas := newQuarantineWorld(t, 1)
		if kept {
			w.askTogether(replicas[0]) // the fatal one breaks one connection, the other one lasts
		}
		w.ask(fatalAsk("one"))
		must.Eq(t, 200, w.ask(asked{method: "GET", target: "/safe/y", id: "two"}).status)
		ended, alive, _ := group.sum()
		must.Eq(t, 1, ended)
		want := 0
		if kept {
			want = 1
		}
		must.Eq(t, want, alive, must.Sprint(kept))
	}
}

// askTogether has two requests in flight at a replica at the same time, on a connection each.
func (w *world) askTogether(replica *fakeReplica) {
	var both, asking sync.WaitGroup
	both.Add(2)
	usual := replica.server.Config.Handler
	replica.server.Config.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		both.Done()
		both.Wait()
		usual.ServeHTTP(rw, r)
	})
	for _, id := range []string{"before-1", "before-2"} {
		asking.Go(func() { w.ask(asked{method: "GET", target: "/safe/y", id: id}) })
	}
	asking.Wait()
	replica.server.Config.Handler = usual
}

// The next process under a name answers for itself: the ends on record stand, also for a
// proxy that has just started and knows the name from the record alone.
func TestReplicaBornAgainRefutesNothing(t *testing.T) {
	w, group, _ := newQuarantineWorld(t, 3)
	w.views.set(func(v *view.View) {
		for i := range 3 {
			v.Replicas[fmt.Sprint("r-", i)].Spec.Born = 1000
		}
	})
	w.holdAs(api.QuarantineHeld, time.Hour, "r-0", "r-1", "r-2", "r-0@1000", "r-1@1000", "r-2@1000")
	for i := range 12 {
		must.Eq(t, 200, w.ask(asked{method: "GET", target: "/safe/y", id: fmt.Sprint("q-", i)}).status)
	}
	_, alive, _ := group.sum()
	must.Eq(t, 0, alive)
	must.Eq(t, http.StatusServiceUnavailable, w.ask(fatalAsk("again")).status)
}

// Each process that ends counts, also two under one name.
func TestEndsOfTwoProcessesUnderOneName(t *testing.T) {
	w, group, replicas := newQuarantineWorld(t, 1)
	for born := range 4 {
		w.views.set(func(v *view.View) {
			entry := listed(replicas[0], "plain", api.RoleNone)
			entry.Spec.Born = int64(1000 + born)
			v.Replicas = map[string]*api.Replica{"r-0": entry}
		})
		w.ask(fatalAsk(fmt.Sprint("q-", born)))
	}
	names := map[string]bool{}
	for _, report := range group.told {
		for _, seen := range report.Ended {
			names[seen.Replica] = true
		}
	}
	must.Eq(t, map[string]bool{"r-0@1000": true, "r-0@1001": true, "r-0@1002": true, "r-0@1003": true}, names)
}

// One end makes nobody look: requests are looked at from the second end on.
func TestOneEndCostsNothing(t *testing.T) {
	w, _, _ := newQuarantineWorld(t, 1)
	w.ask(fatalAsk("one"))
	must.False(t, w.ingress.guard.Active())
}

// A request that is watched and served whole is cleared at the group.
func TestServedRequestIsToldOf(t *testing.T) {
	w, group, _ := newQuarantineWorld(t, 2)
	w.holdAs(api.QuarantineWatched, time.Hour, "gone-1", "gone-2")
	well := fatalAsk("one")
	well.fields = nil
	must.Eq(t, 200, w.ask(well).status)
	_, _, served := group.sum()
	must.Eq(t, 1, served)
}

// A leader that begins is told all that this proxy has seen.
func TestNewLeaderIsToldOfEnds(t *testing.T) {
	w, group, _ := newQuarantineWorld(t, 2)
	w.ask(fatalAsk("one"))
	w.ingress.guard.ReportAll(w.ingress.now())
	ended, _, _ := group.sum()
	must.Eq(t, 4, ended)
}

// While nothing is known, a request costs the reading of one flag.
func TestCalmRequestsAreNotHashed(t *testing.T) {
	w, _, _ := newQuarantineWorld(t, 1)
	s := &session{ingress: w.ingress, call: Call{Body: make([]byte, 1<<20)}}
	must.Zero(t, testing.AllocsPerRun(100, func() { s.quarantineHold() }))
	must.Nil(t, s.cachedFingerprint)
}

// What stood alone where a connection broke has ended the replica only if nobody listens
// there any more: a faulty one resets connections and goes on.
func TestEndsAloneAreLookedAt(t *testing.T) {
	for _, ends := range []bool{true, false} {
		var generator *fakeReplica
		generator = newFakeReplica(t, "make", func(_ http.ResponseWriter, _ *http.Request) {
			if ends {
				_ = generator.server.Listener.Close()
			}
			panic(http.ErrAbortHandler)
		})
		w := newModelWorld(t, newFakeReplica(t, "read", readPrompt), generator, nil)
		group := &endsGroup{}
		w.ingress.guard.SetReporter(group)
		w.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Alone: true}}
		w.ask(modelRequest)
		must.SliceNotEmpty(t, group.told)
		must.Eq(t, ends, group.told[0].Ended[0].Alone)
	}
}

// A proxy tells whether somebody listens where a connection broke under a request.
func TestReplicasThatGoOnListeningAreTold(t *testing.T) {
	for _, ends := range []bool{true, false} {
		var broken *fakeReplica
		broken = newFakeReplica(t, "broken", func(http.ResponseWriter, *http.Request) {
			if ends {
				_ = broken.server.Listener.Close()
			}
			panic(http.ErrAbortHandler)
		})
		w := newWorld(t, broken)
		group := &endsGroup{}
		w.ingress.guard.SetReporter(group)
		w.ask(asked{method: "GET", target: "/safe/x", id: "q"})
		must.SliceNotEmpty(t, group.told)
		must.Eq(t, !ends, group.told[0].Ended[0].Listens)
	}
}

// A request that ran where nothing else was, and was served, is cleared, whatever this proxy
// knows of it; while the group asks for names, questions bring them.
func TestConfinedRequestsAreCleared(t *testing.T) {
	w := newModelWorld(t, newFakeReplica(t, "read", readPrompt), newFakeReplica(t, "make", streamEvents(2, "")), nil)
	group := &endsGroup{}
	w.ingress.guard.SetReporter(group)
	placer := &namingPlacer{fakePlacer: fakePlacer{answer: placement.Answer{Generator: "make", Alone: true}}}
	w.ingress.placer = placer
	must.Eq(t, events(1, 2), w.ask(modelRequest).body)
	_, _, served := group.sum()
	must.Eq(t, 1, served)
	must.SliceLen(t, 2, placer.asks)
	must.Eq(t, "", placer.asks[0].Name)
	must.Eq(t, 16, len(placer.asks[1].Name))
	w.ask(modelRequest)
	must.SliceLen(t, 3, placer.asks, must.Sprint("the next one brings its name at once"))
}

// Seen: a harmless request that many clients send was shut out, though it was served at once
// after each end at which it stood.
// How: its first end was seen by one proxy, which served that very arrival elsewhere 4 ms later;
// two more replicas ended under it within three seconds, by chance, and it was tried as one that
// may end replicas, which refused all other copies of it.
// Cause: who served it told the group only while two ends or more were known of it.
// Proof: the log lines of the served requests, which name the fingerprint, stand between the
// ends (soak, seed 5008 beside five busy loops).
func TestServedAfterItsFirstEndIsTold(t *testing.T) {
	broken := newFakeReplica(t, "broken", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	w := newWorld(t, broken, newFakeReplica(t, "sound", answerOK))
	group := &endsGroup{}
	group.connected.Store(true)
	w.ingress.guard.SetReporter(group)
	ended, served := 0, 0
	for i := 0; ended == 0 && i < 50; i++ { // until the broken one is asked
		must.Eq(t, 200, w.ask(asked{method: "GET", target: "/safe/x", id: fmt.Sprint("q-", i)}).status)
		ended, _, served = group.sum()
	}
	must.Eq(t, 1, ended)
	must.Eq(t, 1, served, must.Sprint("the arrival that met the end was served elsewhere"))
}

// namingPlacer asks for names.
type namingPlacer struct{ fakePlacer }

func (p *namingPlacer) Place(ctx context.Context, request feed.PlaceRequest) (placement.Answer, error) {
	answer, err := p.fakePlacer.Place(ctx, request)
	if request.Ask.Name == "" {
		return placement.Answer{Name: true}, err
	}
	return answer, err
}

// judgingPlacer lets requests wait, and puts each that has a name on record as held.
type judgingPlacer struct {
	fakePlacer
	views *holder
}

func (p *judgingPlacer) Place(_ context.Context, request feed.PlaceRequest) (placement.Answer, error) {
	if request.Ask.Name == "" {
		return placement.Answer{Name: true}, nil
	}
	var fingerprint quarantine.Fingerprint
	copy(fingerprint[:], request.Ask.Name)
	p.views.set(func(v *view.View) {
		v.Quarantines = map[string]*api.Quarantine{fingerprint.String(): {
			Metadata: api.Metadata{Name: fingerprint.String(), Revision: v.Version.Revision},
			Spec:     api.QuarantineSpec{State: api.QuarantineHeld, Until: time.Now().Add(time.Hour).UnixMilli()},
		}}
	})
	return placement.Answer{Wait: time.Millisecond}, nil
}

// Whoever waits for a place while the verdict on it is under way is told of the hold at once, and
// not when its time to wait is over.
func TestRequestHeldDuringAWaitIsRefusedAtOnce(t *testing.T) {
	generator := newFakeReplica(t, "make", streamEvents(2, ""))
	w := newModelWorld(t, newFakeReplica(t, "read", readPrompt), generator, nil)
	w.ingress.placer = &judgingPlacer{views: w.views}
	began := time.Now()
	got := w.ask(modelRequest)
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.Eq(t, "quarantined\n", got.body)
	must.Less(t, time.Second, time.Since(began))
	must.Eq(t, 0, generator.count())
}

// watchModelRequest puts the model request on record as watched.
func (w *world) watchModelRequest(replicas ...string) {
	w.views.set(func(v *view.View) {
		name := quarantine.Of(quarantine.Identity{Method: "POST", Host: "a.example", Path: "/model/"}).String()
		v.Quarantines = map[string]*api.Quarantine{name: {
			Metadata: api.Metadata{Name: name, Revision: v.Version.Revision},
			Spec:     api.QuarantineSpec{State: api.QuarantineWatched, Replicas: replicas, Until: time.Now().Add(time.Hour).UnixMilli()},
		}}
	})
}

// Seen: a request that ends each replica ended three more, later than three seconds after it had
// ended three, one of them after it had waited for a place for 1.2 s.
// How: it was on record as watched, and the leader let its copies wait for a replica where nothing
// else is. Then a question had no answer within 30 ms, and the proxy chose a replica itself; a second
// and a third copy found no leader at all, and went out at once.
// Cause: a proxy without an answer decides by what it knows, also for a request that it knows to be
// kept apart from others.
// Proof: the log lines of the three copies, "waits" 28 times and then "unplaced", and "unplaced" at
// once (soak, seed 9112 at a load of 28 on 5 cores: f1-36, f1-38, f1-39).
func TestWatchedRequestGoesWhereALeaderSays(t *testing.T) {
	play := func(change func(w *world, group *endsGroup, placer *waitingPlacer)) (answered, int) {
		generator := newFakeReplica(t, "make", streamEvents(2, ""))
		w := newModelWorld(t, newFakeReplica(t, "read", readPrompt), generator, nil)
		group := &endsGroup{}
		group.connected.Store(true)
		w.ingress.guard.SetReporter(group)
		placer := &waitingPlacer{fakePlacer: fakePlacer{answer: placement.Answer{Generator: "make"}}}
		w.ingress.placer = placer
		must.Eq(t, events(1, 2), w.ask(modelRequest).body)
		w.watchModelRequest("x", "y")
		change(w, group, placer)
		before := generator.count()
		got := w.ask(modelRequest)
		return got, generator.count() - before
	}
	t.Run("it is placed", func(t *testing.T) {
		got, sent := play(func(*world, *endsGroup, *waitingPlacer) {})
		must.Eq(t, events(1, 2), got.body)
		must.Eq(t, 1, sent)
	})
	t.Run("no answer", func(t *testing.T) {
		got, sent := play(func(_ *world, _ *endsGroup, placer *waitingPlacer) { placer.err = feed.ErrNotPlaced })
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		must.Eq(t, 0, sent)
	})
	t.Run("no leader", func(t *testing.T) {
		got, sent := play(func(_ *world, group *endsGroup, _ *waitingPlacer) { group.connected.Store(false) })
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		must.Eq(t, 0, sent)
	})
	t.Run("a leader comes", func(t *testing.T) {
		got, sent := play(func(_ *world, group *endsGroup, _ *waitingPlacer) {
			group.connected.Store(false)
			time.AfterFunc(200*time.Millisecond, func() { group.connected.Store(true) })
		})
		must.Eq(t, events(1, 2), got.body)
		must.Eq(t, 1, sent)
	})
	t.Run("weak ends keep nothing apart", func(t *testing.T) {
		got, sent := play(func(w *world, _ *endsGroup, placer *waitingPlacer) {
			placer.err = feed.ErrNotPlaced
			w.views.set(func(v *view.View) {
				for _, known := range v.Quarantines {
					known.Spec.Weak = []string{"y"}
				}
			})
		})
		must.Eq(t, events(1, 2), got.body)
		must.Eq(t, 1, sent)
	})
}
