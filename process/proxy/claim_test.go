package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
)

// atMostOnceHeaders returns the headers of an at-most-once request with the key.
func atMostOnceHeaders(key string) []string {
	return []string{HeaderClass, "briefing", HeaderIdempotencyKey, key}
}

// startSecondProxy starts another proxy with the same engines and control group.
func (f *fleet) startSecondProxy() *fleet {
	f.t.Helper()
	return startFleetWithControl(f.t, fastConfig(), f.proxy.control, f.engines)
}

func TestClaimIsCommittedBeforeRun(t *testing.T) {
	control := newFakeControl()
	engine := newFakeEngine(t, "e1", 11)
	engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) {
		control.lock.Lock()
		claimed := control.claims["default/k1"]
		control.lock.Unlock()
		must.NotNil(t, claimed)
		must.Eq(t, api.RunUnknown, claimed.Outcome)
		must.Eq(t, "", r.Header.Get("Idempotency-Key"))
		must.Eq(t, "", r.Header.Get("X-Idempotency-Key"))
		e.answer(w, r, 0, 3)
	}
	f := startFleetWithControl(t, fastConfig(), control, []*fakeEngine{engine})
	_, whole := f.stream(append(atMostOnceHeaders("k1"), "X-Idempotency-Key", "k1")...).tokens()
	must.True(t, whole)
	must.Eq(t, 1, engine.runs.Load())
}

// An at-most-once request is sent again with the same key, to the same proxy and to another one. It
// must run once and return the recorded response. A different request with the same key must be
// rejected.
func TestAtMostOnceRequestRunsOnce(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	f := startFleet(t, fastConfig(), []*fakeEngine{engine})
	first := f.stream(atMostOnceHeaders("k1")...)
	words, whole := first.tokens()
	must.True(t, whole)
	for _, target := range []*fleet{f, f.startSecondProxy()} {
		eventually(t, func() bool {
			again, ended := target.stream(atMostOnceHeaders("k1")...).tokens()
			return ended && len(again) == len(words)
		})
		other := target.do(http.MethodPost, engineapi.PathCompletions, bufferedBody, atMostOnceHeaders("k1")...)
		must.Eq(t, http.StatusConflict, other.status)
		must.Eq(t, codeKeyConflict, other.code())
		must.Eq(t, "no", other.runState())
	}
	must.Eq(t, 1, engine.runs.Load())
}

// The same at-most-once request is sent to two proxies at the same time and must run once.
func TestConcurrentRequestsWithSameKey(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	hold := make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) {
		<-hold
		e.answer(w, r, 0, 3)
	}
	f := startFleet(t, fastConfig(), []*fakeEngine{engine})
	t.Cleanup(release) // runs before the proxy's cleanup, which waits for the run
	fleets := []*fleet{f, f.startSecondProxy()}
	answers := make([]*reply, len(fleets))
	var group sync.WaitGroup
	for i, target := range fleets {
		group.Go(func() { answers[i] = target.stream(atMostOnceHeaders("k1")...) })
	}
	eventually(t, func() bool { return engine.runs.Load() == 1 })
	time.Sleep(20 * time.Millisecond) // leaves time for a second run to start
	release()
	group.Wait()
	must.Eq(t, 1, engine.runs.Load())
	complete := 0
	for _, answer := range answers {
		if _, whole := answer.tokens(); whole {
			complete++
			continue
		}
		must.Eq(t, http.StatusConflict, answer.status)
		must.Eq(t, "unknown", answer.runState())
	}
	must.True(t, complete >= 1)
}

func TestUnknownOutcomeIsNotRetried(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	engine.script = func(_ *fakeEngine, w http.ResponseWriter, _ *http.Request, _ int) { dropConnection(w) }
	f := startFleet(t, fastConfig(), []*fakeEngine{engine})
	must.Eq(t, "unknown", f.stream(atMostOnceHeaders("k1")...).runState())
	for _, target := range []*fleet{f, f.startSecondProxy()} {
		answer := target.stream(atMostOnceHeaders("k1")...)
		must.Eq(t, http.StatusConflict, answer.status)
		must.Eq(t, "unknown", answer.runState())
		must.Eq(t, "", answer.header.Get("Retry-After"))
	}
	must.Eq(t, 1, engine.runs.Load())
}

// A refused at-most-once request is reported as not run. A retry with the same
// key must then run.
func TestRefusedRequestReleasesKey(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			e.refuse(w, http.StatusServiceUnavailable, "queue_full")
			return
		}
		e.answer(w, r, 0, 3)
	}
	f := startFleet(t, fastConfig(), []*fakeEngine{engine})
	refused := f.stream(atMostOnceHeaders("k1")...)
	must.Eq(t, "no", refused.runState())
	must.Eq(t, http.StatusServiceUnavailable, refused.status)
	_, whole := f.stream(atMostOnceHeaders("k1")...).tokens()
	must.True(t, whole)
}

func TestAtMostOnceRequestRequiresKey(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	f := startFleet(t, fastConfig(), []*fakeEngine{engine})
	for _, headers := range [][]string{{HeaderClass, "briefing"}, {HeaderClass, "cap", HeaderRepeatPolicy, "never"}} {
		answer := f.stream(headers...)
		must.Eq(t, http.StatusBadRequest, answer.status)
		must.Eq(t, codeKeyRequired, answer.code())
	}
	must.Eq(t, http.StatusBadRequest, f.stream(HeaderRepeatPolicy, "sometimes").status)
	must.Eq(t, 0, engine.runs.Load())
}

// Without a quorum, at-most-once requests must be refused as not run, while other
// requests are served.
func TestClaimWithoutQuorumIsRefused(t *testing.T) {
	for _, cause := range []error{feed.ErrNoQuorum, feed.ErrOutcomeUnknown} {
		engine := newFakeEngine(t, "e1", 11)
		control := newFakeControl()
		control.claimErr = errors.Wrap(cause, "test")
		f := startFleetWithControl(t, fastConfig(), control, []*fakeEngine{engine})
		answer := f.stream(atMostOnceHeaders("k1")...)
		must.Eq(t, http.StatusServiceUnavailable, answer.status)
		must.Eq(t, codeNoQuorum, answer.code())
		must.Eq(t, "no", answer.runState())
		must.NotEq(t, "", answer.header.Get("Retry-After"))
		must.Eq(t, 0, engine.runs.Load())
		_, whole := f.stream(HeaderClass, "cap").tokens()
		must.True(t, whole)
	}
}

// hangingControl grants claims, but never responds when an outcome is recorded.
type hangingControl struct{ *fakeControl }

func (c hangingControl) RecordOutcome(ctx context.Context, _ state.RunOutcome) error {
	<-ctx.Done()
	return errors.Wrap(feed.ErrOutcomeUnknown, "test")
}

// The control group becomes unavailable between the claim and its outcome. The
// caller must get the complete error response while the proxy still tries to
// record the outcome.
func TestUnknownOutcomeIsReportedBeforeRecording(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	engine.script = func(_ *fakeEngine, w http.ResponseWriter, _ *http.Request, _ int) { dropConnection(w) }
	config := fastConfig()
	config.Timeouts.Claim = 300 * time.Millisecond
	f := startFleetWithControl(t, config, hangingControl{newFakeControl()}, []*fakeEngine{engine})
	answer := f.stream(atMostOnceHeaders("k1")...)
	must.Eq(t, "unknown", answer.runState())
	must.Eq(t, 1, f.proxy.inFlight.count()) // the handler is still recording
}

// The run must continue after the caller disconnects, so that a retry gets the
// response.
func TestAtMostOnceRunContinuesAfterCallerDisconnects(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	hold := make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) {
		id, number := runOf(r)
		e.tokens(w, id, number, 0, 1)
		<-hold
		e.answer(w, r, 1, 3)
	}
	f := startFleet(t, fastConfig(), []*fakeEngine{engine})
	t.Cleanup(release) // runs before the proxy's cleanup, which waits for the run
	disconnect := f.open(atMostOnceHeaders("k1")...)
	disconnect()
	release()
	var words []string
	eventually(t, func() bool {
		again, whole := f.stream(atMostOnceHeaders("k1")...).tokens()
		words = again
		return whole
	})
	must.Eq(t, []string{"e1-0", "e1-1", "e1-2"}, words)
	must.Eq(t, 1, engine.runs.Load())
	must.Eq(t, 0, engine.cancels.Load())
}

// At-most-once requests to plain backends must be claimed as well.
func TestAtMostOnceRequestToBackend(t *testing.T) {
	backend := newFakeBackend(t)
	f := startFleet(t, fastConfig(), nil, backend.server)
	headers := []string{HeaderRepeatPolicy, "never", HeaderIdempotencyKey, "k1"}
	first := f.do(http.MethodPost, "/services/tiles/render", "storm", headers...)
	must.Eq(t, http.StatusOK, first.status)
	must.Eq(t, "", backend.lastHeader.Load().Get("Idempotency-Key"))
	again := f.do(http.MethodPost, "/services/tiles/render", "storm", headers...)
	must.Eq(t, first.body, again.body)
	must.Eq(t, "true", again.header.Get("Landingtrail-Replayed"))
	other := f.do(http.MethodPost, "/services/tiles/render", "calm", headers...)
	must.Eq(t, http.StatusConflict, other.status)
	must.Eq(t, 1, backend.runs.Load())
}

// A claim is granted, but the response of the control group is lost. The claim
// must be recorded as not run, since nothing was run under it.
func TestClaimWithLostResponseIsReleased(t *testing.T) {
	control := &lossyControl{fakeControl: newFakeControl()}
	views := &fixedViews{}
	views.view.Store(newView(nil, nil))
	p := New(fastConfig(), views, control, func() time.Duration { return 0 }, log.NewNopLogger())
	p.config.Timeouts.Claim = 50 * time.Millisecond
	answer := p.acquireClaim(context.Background(), &requestHeaders{tenant: "default", key: "k1"}, 1)
	must.Nil(t, answer.granted)
	must.Eq(t, attempt.RanNo, answer.failed.runState)
	p.Close()
	must.Eq(t, api.RunNotRun, control.claims["default/k1"].Outcome)
}

// lossyControl commits each claim, but loses the response.
type lossyControl struct{ *fakeControl }

func (c *lossyControl) Claim(ctx context.Context, request state.ClaimRequest) (api.ClaimResult, error) {
	_, _ = c.fakeControl.Claim(ctx, request) // only the commit matters
	<-ctx.Done()
	return api.ClaimResult{}, errors.Wrap(feed.ErrOutcomeUnknown, "test")
}

// The first claim attempt is committed but its response is lost, and the second
// attempt certainly does not reach the group. The caller is told that the request
// did not run, so a retry must be granted the key.
func TestClaimIsReleasedWhenRetryFindsNoLeader(t *testing.T) {
	control := &leaderlessControl{fakeControl: newFakeControl()}
	views := &fixedViews{}
	views.view.Store(newView(nil, nil))
	p := New(fastConfig(), views, control, func() time.Duration { return 0 }, log.NewNopLogger())
	headers := &requestHeaders{tenant: "default", key: "k1"}
	answer := p.acquireClaim(context.Background(), headers, 1)
	must.NotNil(t, answer.failed)
	must.Eq(t, attempt.RanNo, answer.failed.runState)
	p.Close() // waits until the outcome is recorded
	must.Eq(t, api.RunNotRun, control.claims["default/k1"].Outcome)
	must.NotNil(t, p.acquireClaim(context.Background(), headers, 1).granted)
}

// leaderlessControl commits the first claim and then has no leader: the response is lost and the
// second attempt finds no quorum.
type leaderlessControl struct {
	*fakeControl
	tries int
}

func (c *leaderlessControl) Claim(ctx context.Context, request state.ClaimRequest) (api.ClaimResult, error) {
	c.tries++
	switch c.tries {
	case 1:
		_, _ = c.fakeControl.Claim(ctx, request) // only the commit matters
		return api.ClaimResult{}, errors.Wrap(feed.ErrOutcomeUnknown, "test")
	case 2:
		return api.ClaimResult{}, errors.Wrap(feed.ErrNoQuorum, "test")
	default:
		return c.fakeControl.Claim(ctx, request)
	}
}

// The caller is told that the request did not run while that outcome is still
// being recorded. A new claim must not overtake the record, or it would find the
// key in use.
func TestNewClaimRecordsPendingReleaseFirst(t *testing.T) {
	control := &blockedRecords{
		leaderlessControl: leaderlessControl{fakeControl: newFakeControl()},
		begun:             make(chan struct{}),
		release:           make(chan struct{}),
	}
	views := &fixedViews{}
	views.view.Store(newView(nil, nil))
	p := New(fastConfig(), views, control, func() time.Duration { return 0 }, log.NewNopLogger())
	headers := &requestHeaders{tenant: "default", key: "k1"}
	must.Eq(t, attempt.RanNo, p.acquireClaim(context.Background(), headers, 1).failed.runState)
	<-control.begun
	retried := p.acquireClaim(context.Background(), headers, 1)
	close(control.release)
	p.Close()
	must.NotNil(t, retried.granted)
	must.Eq(t, api.RunUnknown, control.claims["default/k1"].Outcome, must.Sprint("the late record belongs to the first claim"))
	_, kept := p.pendingOutcomes.Load(claimKey{"default", "k1"})
	must.False(t, kept)
}

// blockedRecords blocks the recording of the first outcome until release is
// closed.
type blockedRecords struct {
	leaderlessControl
	records atomic.Int32
	begun   chan struct{}
	release chan struct{}
}

func (c *blockedRecords) RecordOutcome(ctx context.Context, outcome state.RunOutcome) error {
	if c.records.Add(1) == 1 {
		close(c.begun)
		<-c.release
	}
	return c.fakeControl.RecordOutcome(ctx, outcome)
}

// Only the recorded outcome releases the key of a request that was not run, so
// recording must be retried however long the control group is unavailable.
func TestNotRunOutcomeIsRetriedUntilRecorded(t *testing.T) {
	control := &unavailableRecords{leaderlessControl: leaderlessControl{fakeControl: newFakeControl()}}
	control.failures.Store(3 * outcomeRetries)
	views := &fixedViews{}
	views.view.Store(newView(nil, nil))
	p := New(fastConfig(), views, control, func() time.Duration { return 0 }, log.NewNopLogger())
	t.Cleanup(p.Close)
	must.Eq(t, attempt.RanNo, p.acquireClaim(context.Background(), &requestHeaders{tenant: "default", key: "k1"}, 1).failed.runState)
	eventually(t, func() bool {
		control.lock.Lock()
		defer control.lock.Unlock()
		return control.claims["default/k1"].Outcome == api.RunNotRun
	})
}

// unavailableRecords fails the first attempts to record an outcome.
type unavailableRecords struct {
	leaderlessControl
	failures atomic.Int32
}

func (c *unavailableRecords) RecordOutcome(ctx context.Context, outcome state.RunOutcome) error {
	if c.failures.Add(-1) >= 0 {
		return errors.Wrap(feed.ErrNoQuorum, "test")
	}
	return c.fakeControl.RecordOutcome(ctx, outcome)
}
