package ingress

import (
	"context"
	"io"
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
	t.Run("release of a handle", func(t *testing.T) {
		prefiller := newFakeReplica(t, "read", alwaysLimited("1.4", answerPrefill))
		decoder := newFakeReplica(t, "make", streamEvents(2, ""))
		env := newModelEnv(t, prefiller, decoder, nil).withLimits(&fakeLimits{wait: time.Minute})
		env.withLongObjective()
		env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
		env.do(numberedModelRequest(0))
		s := &session{ingress: env.ingress, upstream: env.ingress.upstreams.get("model")}
		s.release(Source{Replica: "read", Address: prefiller.address(), Handle: "handle-7"})
		time.Sleep(50 * time.Millisecond) // much longer than a call on the loopback interface
		must.Eq(t, 1, prefiller.count())
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
		report := ratelimit.Report{Statement: ratelimit.Statement{Kind: ratelimit.Limited, PerSecond: 2}}
		env.ingress.applyAnnouncedLimits([]ratelimit.NamedReport{{Replica: "a", Report: report}})
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
		handler, stated := stateLimit("1.4", answerOK)
		replica := newFakeReplica(t, "a", handler)
		limits := &fakeLimits{ended: true}
		env := newTestEnv(t, replica).withLimits(limits)
		env.do(plainRequest("safe", 0))
		stated.Store(false)
		for i := range laterRequests {
			must.Eq(t, http.StatusOK, env.do(plainRequest("safe", i+1)).status)
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
