package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/exchange"
	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// Guards against requests to replicas that have stated a limit, without a permit. Each test has a
// replica that states a limit in every answer, and a member that grants nothing more: whichever way a
// request is sent, none arrives after the first answer.

// fakeLimits is a member that grants a fixed number of permits.
type fakeLimits struct {
	lock     sync.Mutex
	permits  int
	wait     time.Duration
	err      error
	ended    bool // the member knows that the limit has ended
	requests []ratelimit.Request
	reports  []ratelimit.Request
}

func (l *fakeLimits) ChargeLimit(_ context.Context, request ratelimit.Request) (ratelimit.Reply, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.requests = append(l.requests, request)
	if l.err != nil {
		return ratelimit.Reply{}, l.err
	}
	if l.ended {
		return ratelimit.Reply{Granted: true}, nil
	}
	if l.permits == 0 {
		return ratelimit.Reply{Report: request.Report, Wait: l.wait}, nil
	}
	l.permits--
	return ratelimit.Reply{Report: request.Report, Granted: true}, nil
}

func (l *fakeLimits) ReportLimit(request ratelimit.Request) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.reports = append(l.reports, request)
	return true
}

func (l *fakeLimits) reported() []ratelimit.Request {
	l.lock.Lock()
	defer l.lock.Unlock()
	return append([]ratelimit.Request(nil), l.reports...)
}

// stateLimit states a limit in each answer for as long as the result is true.
func stateLimit(perSecond string, serve http.HandlerFunc) (http.HandlerFunc, *atomic.Bool) {
	limited := &atomic.Bool{}
	limited.Store(true)
	return func(w http.ResponseWriter, r *http.Request) {
		if limited.Load() {
			w.Header().Set(testLimit, perSecond)
		}
		serve(w, r)
	}, limited
}

func alwaysLimited(perSecond string, serve http.HandlerFunc) http.HandlerFunc {
	handler, _ := stateLimit(perSecond, serve)
	return handler
}

func (env *testEnv) withLimits(limits *fakeLimits) *testEnv {
	env.ingress.limitCharger = limits
	return env
}

// announceLimit has a member announce that the replica states a limit.
func (env *testEnv) announceLimit(replica string) {
	report := ratelimit.Report{Statement: ratelimit.Statement{Kind: ratelimit.Limited, PerSecond: 2}}
	env.ingress.applyAnnouncedLimits([]ratelimit.NamedReport{{Replica: replica, Report: report}})
}

// delayingPlacer answers the first placement request with a wait, and calls during before it does.
type delayingPlacer struct {
	fakePlacer
	during func()
	waited atomic.Bool
}

func (p *delayingPlacer) Place(ctx context.Context, request feed.PlaceRequest) (placement.Answer, error) {
	if !p.waited.Swap(true) {
		p.during()
		return placement.Answer{Wait: time.Millisecond}, nil
	}
	return p.fakePlacer.Place(ctx, request)
}

// limitingDialect calls during when the request that releases a handle is written, which is before it connects.
type limitingDialect struct {
	testDialect
	during func()
}

func (d limitingDialect) Release(header http.Header, replica, handle string) (method, target string) {
	d.during()
	return d.testDialect.Release(header, replica, handle)
}

// Guards against a way to a replica on which its limit is not looked at.
func TestNothingIsSentToALimitedReplicaWithoutAPermit(t *testing.T) {
	t.Run("plain", func(t *testing.T) {
		limited, other := newFakeReplica(t, "a", alwaysLimited("1.4", answerOK)), newFakeReplica(t, "b", answerOK)
		limits := &fakeLimits{wait: time.Minute}
		env := newTestEnv(t, limited).withLimits(limits)
		must.Eq(t, http.StatusOK, env.do(plainRequest("safe", 0)).status)
		must.Eq(t, 1.4, limits.reported()[0].Report.PerSecond)
		env.setReplicas(limited, other)
		for i := range laterRequests {
			must.Eq(t, http.StatusOK, env.do(plainRequest("unsafe", i+1)).status)
		}
		must.Eq(t, 1, limited.count())
	})
	t.Run("refusals state it, too", func(t *testing.T) {
		limited, other := newFakeReplica(t, "a", alwaysLimited("1.4", refuseRun)), newFakeReplica(t, "b", answerOK)
		env := newTestEnv(t, limited).withLimits(&fakeLimits{wait: time.Minute})
		env.do(plainRequest("safe", 0))
		env.setReplicas(limited, other)
		for i := range laterRequests {
			env.do(plainRequest("safe", i+1))
		}
		must.Eq(t, 1, limited.count())
	})
	for _, placed := range []bool{true, false} {
		t.Run("prefill and run, placed by the group: "+strconv.FormatBool(placed), func(t *testing.T) {
			prefiller := newFakeReplica(t, "read", alwaysLimited("1.4", answerPrefill))
			limited := newFakeReplica(t, "make", alwaysLimited("1.4", streamEvents(2, "")))
			other := newFakeReplica(t, "also", streamEvents(2, ""))
			env := newModelEnv(t, prefiller, limited, other).withLimits(&fakeLimits{wait: time.Minute})
			env.withLongObjective()
			if placed {
				env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
			}
			for i := range 4 * laterRequests {
				must.Eq(t, eventTexts(1, 2), env.do(numberedModelRequest(i)).body)
			}
			must.LessEq(t, 1, prefiller.count())
			must.LessEq(t, 1, limited.count())
		})
	}
	t.Run("isolated", func(t *testing.T) {
		prefiller := newFakeReplica(t, "read", answerPrefill)
		limited := newFakeReplica(t, "make", alwaysLimited("1.4", streamEvents(2, "")))
		env := newModelEnv(t, prefiller, limited, nil).withLimits(&fakeLimits{wait: time.Minute})
		env.withLongObjective()
		env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read", Isolated: true}}
		env.do(numberedModelRequest(0))
		must.Eq(t, http.StatusServiceUnavailable, env.do(numberedModelRequest(1)).status)
		must.Eq(t, 1, limited.count())
	})
	t.Run("resumed stream", func(t *testing.T) {
		broken := newFakeReplica(t, "a", streamEvents(2, "cut"))
		limited := newFakeReplica(t, "b", alwaysLimited("1.4", streamEvents(4, "")))
		env := newTestEnv(t, limited).withLimits(&fakeLimits{wait: time.Minute})
		env.do(plainRequest("resume", 0))
		env.setReplicas(broken, limited)
		env.do(plainRequest("resume", 1))
		must.Eq(t, 1, limited.count())
	})
	t.Run("retry", func(t *testing.T) {
		broken, limited := newFakeReplica(t, "a", closeConnection), newFakeReplica(t, "b", alwaysLimited("1.4", answerOK))
		env := newTestEnv(t, limited).withLimits(&fakeLimits{wait: time.Minute})
		env.do(plainRequest("safe", 0))
		env.setReplicas(broken, limited)
		must.NotEq(t, http.StatusOK, env.do(plainRequest("safe", 1)).status)
		must.Eq(t, 1, broken.count())
		must.Eq(t, 1, limited.count())
	})
	t.Run("single copy of a request that may crash replicas", func(t *testing.T) {
		limited := newFakeReplica(t, "a", alwaysLimited("1.4", answerOK))
		env := newTestEnv(t, limited).withLimits(&fakeLimits{wait: time.Minute})
		env.do(plainRequest("safe", 0))
		env.setQuarantine(api.QuarantineWatched, time.Hour, "x", "y")
		must.Eq(t, causeLimit+"\n", env.do(testRequest{method: "GET", target: "/safe/x?q=1", id: "one"}).body)
		must.Eq(t, 1, limited.count())
	})
	t.Run("placed after a wait in which the limit began", func(t *testing.T) {
		limited := newFakeReplica(t, "make", streamEvents(2, ""))
		env := newModelEnv(t, newFakeReplica(t, "read", answerPrefill), limited, nil).withLimits(&fakeLimits{wait: time.Minute})
		env.withLongObjective()
		env.ingress.placer = &delayingPlacer{fakePlacer: fakePlacer{answer: placement.Answer{Generator: "make"}}, during: func() { env.announceLimit("make") }}
		must.Eq(t, http.StatusServiceUnavailable, env.do(numberedModelRequest(0)).status)
		must.Eq(t, 0, limited.count())
	})
	t.Run("release of a handle", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		var opened atomic.Int32
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				opened.Add(1)
				_ = conn.Close()
			}
		}()
		defer func() { _ = listener.Close() }()
		env := newTestEnv(t)
		source := Source{Replica: "read", Address: listener.Addr().String(), Handle: "handle-7"}
		s := &session{ingress: env.ingress, upstream: env.ingress.upstreams.get("model")}
		env.announceLimit("read")
		s.release(source)
		time.Sleep(50 * time.Millisecond) // much longer than a connection on the loopback interface takes
		must.Eq(t, 0, opened.Load())
		s.release(Source{Replica: "another", Address: source.Address, Handle: source.Handle})
		eventually(t, "a connection without a limit", func() bool { return opened.Load() == 1 })
	})
	t.Run("release of a handle while its connection is opened", func(t *testing.T) {
		replica := newFakeReplica(t, "read", answerOK)
		env := newTestEnv(t, replica)
		env.ingress.config.Dialect = limitingDialect{during: func() { env.announceLimit("read") }}
		s := &session{ingress: env.ingress, upstream: env.ingress.upstreams.get("model")}
		s.release(Source{Replica: "read", Address: replica.address(), Handle: "handle-7"})
		must.True(t, env.ingress.upstreams.holdoffs.Find("read").IsLimited())
		time.Sleep(50 * time.Millisecond) // much longer than a request on the loopback interface takes
		must.Eq(t, 0, replica.count())
	})
	t.Run("while a connection is opened", func(t *testing.T) {
		limited := newFakeReplica(t, "a", answerOK)
		env := newTestEnv(t, limited)
		env.ingress.routes()
		state := env.ingress.upstreams.holdoffs.Find("a")
		request := &exchange.Request{Method: "GET", Target: "/", Host: "a", BeforeSend: func() error {
			now := env.ingress.now()
			state.ObserveLimit(now, now, time.Now(), ratelimit.Statement{Kind: ratelimit.Limited, PerSecond: 2}) // as with the answer to another request
			return env.ingress.beforeSend(state, noPermit)()
		}}
		_, err := env.ingress.upstreams.get("plain").pool.Do(t.Context(), limited.address(), request)
		must.ErrorIs(t, err, errWithheld)
		must.Eq(t, 0, limited.count())
	})
	t.Run("through another view", func(t *testing.T) {
		limited, other := newFakeReplica(t, "a", alwaysLimited("1.4", answerOK)), newFakeReplica(t, "b", answerOK)
		env := newTestEnv(t, limited).withLimits(&fakeLimits{wait: time.Minute})
		env.do(plainRequest("safe", 0))
		env.setReplicas(other)
		env.do(plainRequest("safe", 1))
		env.setReplicas(limited, other)
		for i := range laterRequests {
			env.do(plainRequest("unsafe", i+2))
		}
		must.Eq(t, 1, limited.count())
	})
	t.Run("announced by a member", func(t *testing.T) {
		limited, other := newFakeReplica(t, "a", answerOK), newFakeReplica(t, "b", answerOK)
		env := newTestEnv(t, limited, other).withLimits(&fakeLimits{wait: time.Minute})
		env.announceLimit("a")
		for i := range laterRequests {
			must.Eq(t, http.StatusOK, env.do(plainRequest("unsafe", i)).status)
		}
		must.Eq(t, 0, limited.count())
	})
}

// A permit is used up by one request, and each permit is used while there is demand.
func TestEachPermitIsUsedOnce(t *testing.T) {
	limited, other := newFakeReplica(t, "a", alwaysLimited("1.4", answerOK)), newFakeReplica(t, "b", answerOK)
	env := newTestEnv(t, limited).withLimits(&fakeLimits{permits: 3, wait: time.Minute})
	env.do(plainRequest("safe", 0))
	env.setReplicas(limited, other)
	for i := range 50 {
		must.Eq(t, http.StatusOK, env.do(plainRequest("unsafe", i+1)).status)
	}
	must.Eq(t, 1+3, limited.count())
}

// If no replica of a service has room, callers are refused at once, with times to return one after the
// other.
func TestRequestsAreRefusedWhileAllLimitsAreUsedUp(t *testing.T) {
	first, second := newFakeReplica(t, "a", alwaysLimited("2", answerOK)), newFakeReplica(t, "b", alwaysLimited("2", answerOK))
	env := newTestEnv(t, first).withLimits(&fakeLimits{wait: 2 * time.Second})
	env.do(plainRequest("safe", 0))
	env.setReplicas(second)
	env.do(plainRequest("safe", 1))
	env.setReplicas(first, second)
	var waits []time.Duration
	for i := range 4 {
		got := env.do(plainRequest("safe", i+2))
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		must.Eq(t, causeLimit+"\n", got.body)
		again, err := time.ParseDuration(got.header.Get(testAgain))
		must.NoError(t, err)
		waits = append(waits, again)
	}
	must.Between(t, time.Second, waits[0], 3*time.Second)
	must.Greater(t, waits[0]+400*time.Millisecond, waits[3], must.Sprint("four callers at four requests a second"))
	must.Eq(t, 2, first.count()+second.count())
}

// The end of a limit is noticed by the first answer without one, or by the report of a member.
func TestEndedLimitsAreForgotten(t *testing.T) {
	t.Run("by an answer", func(t *testing.T) {
		handler, stated := stateLimit("1.4", answerOK)
		replica := newFakeReplica(t, "a", handler)
		limits := &fakeLimits{permits: 1, wait: time.Minute}
		env := newTestEnv(t, replica).withLimits(limits)
		env.do(plainRequest("safe", 0))
		stated.Store(false)
		for i := range laterRequests {
			must.Eq(t, http.StatusOK, env.do(plainRequest("safe", i+1)).status)
		}
		reports := limits.reported()
		must.SliceLen(t, 2, reports)
		must.Eq(t, ratelimit.Unlimited, reports[1].Report.Kind)
	})
	t.Run("by a member", func(t *testing.T) {
		var env *testEnv
		var limitedWhenSent atomic.Bool
		handler, stated := stateLimit("1.4", func(w http.ResponseWriter, r *http.Request) {
			limitedWhenSent.Store(env.ingress.upstreams.holdoffs.Find("a").IsLimited())
			answerOK(w, r)
		})
		limits := &fakeLimits{ended: true}
		env = newTestEnv(t, newFakeReplica(t, "a", handler)).withLimits(limits)
		env.do(plainRequest("safe", 0))
		stated.Store(false)
		for i := range laterRequests {
			must.Eq(t, http.StatusOK, env.do(plainRequest("safe", i+1)).status)
			must.False(t, limitedWhenSent.Load(), must.Sprint("the end is applied before the next request is sent"))
		}
		must.LessEq(t, 1, len(limits.requests))
	})
}

// Answers that name no request, or come from another replica, state no limit.
func TestOnlyTheReplicasOwnAnswerStatesItsLimit(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"another replica's answer": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(testID, r.Header.Get(testID))
			w.Header().Set(testLimit, "0.1")
			w.WriteHeader(http.StatusMisdirectedRequest)
		},
		"an answer without a request ID": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(testLimit, "0.1")
			_, _ = io.WriteString(w, "anonymous")
		},
	}
	for name, handler := range handlers {
		t.Run(name, func(t *testing.T) {
			replica := newFakeReplica(t, "a", handler)
			limits := &fakeLimits{}
			env := newTestEnv(t, replica).withLimits(limits)
			env.do(plainRequest("safe", 0))
			must.False(t, env.ingress.upstreams.holdoffs.Find("a").IsLimited())
			must.SliceEmpty(t, limits.reported())
		})
	}
}

// Without a member that answers, a proxy uses its own share of a part of the limit.
func TestLimitsHoldWithoutAMember(t *testing.T) {
	limited, other := newFakeReplica(t, "a", alwaysLimited("1.4", answerOK)), newFakeReplica(t, "b", answerOK)
	env := newTestEnv(t, limited).withLimits(&fakeLimits{err: feed.ErrNotCharged})
	env.do(plainRequest("safe", 0))
	env.setReplicas(limited, other)
	for i := range 200 {
		must.Eq(t, http.StatusOK, env.do(plainRequest("unsafe", i+1)).status)
	}
	must.LessEq(t, 10, limited.count())
}

// A member's answer ends the outage in which a proxy grants from its own shares.
func TestAnswersEndTheOutage(t *testing.T) {
	limits := &fakeLimits{err: feed.ErrNotCharged, wait: time.Minute}
	env := newTestEnv(t, newFakeReplica(t, "a", answerOK), newFakeReplica(t, "b", answerOK)).withLimits(limits)
	env.announceLimit("a")
	env.announceLimit("b")
	env.do(plainRequest("unsafe", 0))
	limits.err = nil
	env.ingress.upstreams.holdoffs.Find("a").Exhaust(0)
	env.do(plainRequest("unsafe", 1))
	must.GreaterEq(t, 2, len(limits.requests))
	_, wait := env.ingress.limitShares.Draw(env.ingress.now()+time.Hour, "a", 2, 1)
	must.Zero(t, wait, must.Sprint("a new outage begins"))
}

// A permit that is older than permitLifetime is not used, since many old ones could be used at once.
func TestOldPermitsAreNotUsed(t *testing.T) {
	must.True(t, permit{granted: true, grantedAt: time.Second}.isValid(time.Second+permitLifetime))
	must.False(t, permit{granted: true, grantedAt: time.Second}.isValid(time.Second+permitLifetime+1))
	must.False(t, noPermit.isValid(0))
}

// A permit allows one send, whatever follows in the same request.
func TestPermitIsTakenOnce(t *testing.T) {
	env := newTestEnv(t)
	s := &session{ingress: env.ingress}
	s.keepPermit("a")
	must.True(t, s.takePermit("a").isValid(env.ingress.now()))
	must.False(t, s.takePermit("a").isValid(env.ingress.now()))
}

// A limit that begins while the prompt is prefilled elsewhere: the run gets a permit if there is one, and goes to
// another replica if there is none.
func TestLimitThatBeginsDuringThePrefillNeedsAPermit(t *testing.T) {
	for _, permits := range []int{0, 1} {
		var env *testEnv
		prefiller := newFakeReplica(t, "read", func(w http.ResponseWriter, r *http.Request) {
			env.announceLimit("make")
			answerPrefill(w, r)
		})
		limited, other := newFakeReplica(t, "make", streamEvents(2, "")), newFakeReplica(t, "also", streamEvents(2, ""))
		limits := &fakeLimits{permits: permits, wait: time.Minute}
		env = newModelEnv(t, prefiller, limited, other).withLimits(limits)
		env.withLongObjective()
		env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
		must.Eq(t, eventTexts(1, 2), env.do(numberedModelRequest(0)).body)
		must.Eq(t, permits, limited.count())
		must.Eq(t, 1-permits, other.count())
		must.SliceLen(t, 1, limits.requests)
		if permits == 1 {
			must.Eq(t, 1, prefiller.count(), must.Sprint("the run is not withheld and prefilled again"))
			must.NotEq(t, "", limited.requests[0].Header.Get(testSource), must.Sprint("the prefilled prompt is used"))
		}
	}
}

// A request asks for its permits when its replicas are chosen, so that no prompt is prefilled for a run that has
// no permit.
func TestNoPromptIsPrefilledForARunWithoutAPermit(t *testing.T) {
	for _, placed := range []bool{true, false} {
		prefiller := newFakeReplica(t, "read", answerPrefill)
		env := newModelEnv(t, prefiller, newFakeReplica(t, "make", streamEvents(2, "")), nil).withLimits(&fakeLimits{wait: time.Minute})
		env.withLongObjective()
		if placed {
			env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
		}
		env.announceLimit("make")
		must.Eq(t, http.StatusServiceUnavailable, env.do(numberedModelRequest(0)).status)
		must.Eq(t, 0, prefiller.count())
	}
}

// After a refused permit a request prefers replicas without a limit, however many others there are.
func TestRequestFindsTheReplicaWithoutALimit(t *testing.T) {
	free := newFakeReplica(t, "z", answerOK)
	replicas := []*fakeReplica{free}
	for i := range 4 * maxPermitRefusals {
		replicas = append(replicas, newFakeReplica(t, "limited-"+strconv.Itoa(i), answerOK))
	}
	env := newTestEnv(t, replicas...).withLimits(&fakeLimits{wait: time.Minute})
	for _, replica := range replicas[1:] {
		env.announceLimit(replica.name)
	}
	for i := range laterRequests {
		must.Eq(t, http.StatusOK, env.do(plainRequest("unsafe", i)).status)
	}
	must.Eq(t, laterRequests, free.count())
}

// A new member learns the limits, and the ends of limits that another member may not have passed on.
func TestLimitsAndTheirEndsAreReportedToANewMember(t *testing.T) {
	handler, stated := stateLimit("1.4", answerOK)
	replica, never := newFakeReplica(t, "a", handler), newFakeReplica(t, "b", answerOK)
	limits := &fakeLimits{permits: 1, wait: time.Minute}
	env := newTestEnv(t, replica).withLimits(limits)
	env.do(plainRequest("safe", 0))
	env.ingress.reportAllLimits()
	stated.Store(false)
	env.do(plainRequest("safe", 1))
	env.setReplicas(replica, never)
	env.do(plainRequest("safe", 2))
	env.ingress.reportAllLimits()
	var kinds []ratelimit.Kind
	for _, report := range limits.reported() {
		must.Eq(t, "a", report.Replica)
		kinds = append(kinds, report.Report.Kind)
	}
	must.Eq(t, []ratelimit.Kind{ratelimit.Limited, ratelimit.Limited, ratelimit.Unlimited, ratelimit.Unlimited}, kinds)
}
