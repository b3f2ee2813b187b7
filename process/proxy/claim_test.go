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

// marked are the headers of a marked request with a key.
func marked(key string) []string { return []string{HeaderClass, "briefing", HeaderKey, key} }

// second starts another proxy before the same engines and control group.
func (f *fleet) second() *fleet {
	f.t.Helper()
	return startWith(f.t, quick(), f.proxy.control, f.engines)
}

func TestClaimIsCommittedBeforeTheRun(t *testing.T) {
	control := newFakeControl()
	engine := newFakeEngine(t, "e1", 11)
	engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) {
		control.lock.Lock()
		held := control.claims["default/k1"]
		control.lock.Unlock()
		must.NotNil(t, held)
		must.Eq(t, api.RunUnknown, held.Outcome)
		must.Eq(t, "", r.Header.Get("Idempotency-Key"))
		must.Eq(t, "", r.Header.Get("X-Idempotency-Key"))
		e.answer(w, r, 0, 3)
	}
	f := startWith(t, quick(), control, []*fakeEngine{engine})
	_, whole := f.stream(append(marked("k1"), "X-Idempotency-Key", "k1")...).words()
	must.True(t, whole)
	must.Eq(t, 1, engine.runs.Load())
}

// TestMarkedRequestRunsOnce asks again with the same key, by the same proxy
// and by another one, streamed and whole: one run, and the recorded answer.
func TestMarkedRequestRunsOnce(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	f := start(t, quick(), []*fakeEngine{engine})
	first := f.stream(marked("k1")...)
	words, whole := first.words()
	must.True(t, whole)
	for _, asked := range []*fleet{f, f.second()} {
		eventually(t, func() bool {
			again, ended := asked.stream(marked("k1")...).words()
			return ended && len(again) == len(words)
		})
		other := asked.do(http.MethodPost, engineapi.PathCompletions, wholeBody, marked("k1")...)
		must.Eq(t, http.StatusConflict, other.status)
		must.Eq(t, codeKeyConflict, other.code())
		must.Eq(t, "no", other.ran())
	}
	must.Eq(t, 1, engine.runs.Load())
}

// TestSameKeyAtOnce sends the same marked request by two proxies at once.
func TestSameKeyAtOnce(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	hold := make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) {
		<-hold
		e.answer(w, r, 0, 3)
	}
	f := start(t, quick(), []*fakeEngine{engine})
	t.Cleanup(release) // before the proxy is waited for
	asked := []*fleet{f, f.second()}
	answers := make([]*reply, len(asked))
	var group sync.WaitGroup
	for i, one := range asked {
		group.Go(func() { answers[i] = one.stream(marked("k1")...) })
	}
	eventually(t, func() bool { return engine.runs.Load() == 1 })
	time.Sleep(20 * time.Millisecond) // room for a second run, if there is one
	release()
	group.Wait()
	must.Eq(t, 1, engine.runs.Load())
	wholes := 0
	for _, answer := range answers {
		if _, whole := answer.words(); whole {
			wholes++
			continue
		}
		must.Eq(t, http.StatusConflict, answer.status)
		must.Eq(t, "unknown", answer.ran())
	}
	must.True(t, wholes >= 1)
}

func TestUnknownOutcomeIsNeverRunAgain(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	engine.script = func(_ *fakeEngine, w http.ResponseWriter, _ *http.Request, _ int) { drop(w) }
	f := start(t, quick(), []*fakeEngine{engine})
	must.Eq(t, "unknown", f.stream(marked("k1")...).ran())
	for _, asked := range []*fleet{f, f.second()} {
		answer := asked.stream(marked("k1")...)
		must.Eq(t, http.StatusConflict, answer.status)
		must.Eq(t, "unknown", answer.ran())
		must.Eq(t, "", answer.header.Get("Retry-After"))
	}
	must.Eq(t, 1, engine.runs.Load())
}

// TestNotRunFreesTheKey refuses a marked request: told "no", its caller asks
// again with the same key and it runs.
func TestNotRunFreesTheKey(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			e.refuse(w, http.StatusServiceUnavailable, "queue_full")
			return
		}
		e.answer(w, r, 0, 3)
	}
	f := start(t, quick(), []*fakeEngine{engine})
	refused := f.stream(marked("k1")...)
	must.Eq(t, "no", refused.ran())
	must.Eq(t, http.StatusServiceUnavailable, refused.status)
	_, whole := f.stream(marked("k1")...).words()
	must.True(t, whole)
}

func TestMarkedRequestWithoutKey(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	f := start(t, quick(), []*fakeEngine{engine})
	for _, headers := range [][]string{{HeaderClass, "briefing"}, {HeaderClass, "cap", HeaderRepeat, "never"}} {
		answer := f.stream(headers...)
		must.Eq(t, http.StatusBadRequest, answer.status)
		must.Eq(t, codeKeyRequired, answer.code())
	}
	must.Eq(t, http.StatusBadRequest, f.stream(HeaderRepeat, "sometimes").status)
	must.Eq(t, 0, engine.runs.Load())
}

// TestNoQuorum refuses marked requests at once as not run; others are served.
func TestNoQuorum(t *testing.T) {
	for _, cause := range []error{feed.ErrNoQuorum, feed.ErrOutcomeUnknown} {
		engine := newFakeEngine(t, "e1", 11)
		control := newFakeControl()
		control.lost = errors.Wrap(cause, "test")
		f := startWith(t, quick(), control, []*fakeEngine{engine})
		answer := f.stream(marked("k1")...)
		must.Eq(t, http.StatusServiceUnavailable, answer.status)
		must.Eq(t, codeNoQuorum, answer.code())
		must.Eq(t, "no", answer.ran())
		must.NotEq(t, "", answer.header.Get("Retry-After"))
		must.Eq(t, 0, engine.runs.Load())
		_, whole := f.stream(HeaderClass, "cap").words()
		must.True(t, whole)
	}
}

// stuckControl grants claims and then never answers a recorded outcome.
type stuckControl struct{ *fakeControl }

func (c stuckControl) RecordOutcome(ctx context.Context, _ state.RunOutcome) error {
	<-ctx.Done()
	return errors.Wrap(feed.ErrOutcomeUnknown, "test")
}

// TestUnknownIsToldBeforeItIsRecorded loses the control group between claim
// and outcome: the caller has the whole answer while the record is tried.
func TestUnknownIsToldBeforeItIsRecorded(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	engine.script = func(_ *fakeEngine, w http.ResponseWriter, _ *http.Request, _ int) { drop(w) }
	config := quick()
	config.Timeouts.Claim = 300 * time.Millisecond
	f := startWith(t, config, stuckControl{newFakeControl()}, []*fakeEngine{engine})
	answer := f.stream(marked("k1")...)
	must.Eq(t, "unknown", answer.ran())
	must.Eq(t, 1, f.proxy.running.count()) // the handler is still recording
}

// TestCallerOfAMarkedRunHangsUp lets the run go on, so that the caller who
// asks again gets its answer.
func TestCallerOfAMarkedRunHangsUp(t *testing.T) {
	engine := newFakeEngine(t, "e1", 11)
	hold := make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	engine.script = func(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) {
		id, number := runOf(r)
		e.tokens(w, id, number, 0, 1)
		<-hold
		e.answer(w, r, 1, 3)
	}
	f := start(t, quick(), []*fakeEngine{engine})
	t.Cleanup(release) // before the proxy is waited for
	hangUp := f.open(marked("k1")...)
	hangUp()
	release()
	var words []string
	eventually(t, func() bool {
		again, whole := f.stream(marked("k1")...).words()
		words = again
		return whole
	})
	must.Eq(t, []string{"e1-0", "e1-1", "e1-2"}, words)
	must.Eq(t, 1, engine.runs.Load())
	must.Eq(t, 0, engine.cancels.Load())
}

// TestKeyOfABackEnd claims a marked request for a plain back end as well.
func TestKeyOfABackEnd(t *testing.T) {
	backend := newFakeBackend(t)
	f := start(t, quick(), nil, backend.server)
	headers := []string{HeaderRepeat, "never", HeaderKey, "k1"}
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

// TestClaimWithoutAnAnswerIsGivenBack: a claim whose grant was lost is recorded
// as not run, since nothing was dispatched under it.
func TestClaimWithoutAnAnswerIsGivenBack(t *testing.T) {
	control := &lossyControl{fakeControl: newFakeControl()}
	views := &fixedViews{}
	views.view.Store(newView(nil, nil))
	made := New(quick(), views, control, func() time.Duration { return 0 }, log.NewNopLogger())
	made.config.Timeouts.Claim = 50 * time.Millisecond
	answer := made.claimRun(context.Background(), &envelope{tenant: "default", key: "k1"}, 1)
	must.Nil(t, answer.granted)
	must.Eq(t, attempt.RanNo, answer.failed.ran)
	made.Close()
	must.Eq(t, api.RunNotRun, control.claims["default/k1"].Outcome)
}

// lossyControl commits each claim and loses the answer.
type lossyControl struct{ *fakeControl }

func (c *lossyControl) Claim(ctx context.Context, request state.ClaimRequest) (api.ClaimResult, error) {
	_, _ = c.fakeControl.Claim(ctx, request) // the commit is what counts
	<-ctx.Done()
	return api.ClaimResult{}, errors.Wrap(feed.ErrOutcomeUnknown, "test")
}

// TestClaimIsGivenBackThoughTheSecondTryMetNoLeader: the first try was committed
// and its answer lost, the second surely not made. The caller, told "no", asks
// again and has to be granted the key.
func TestClaimIsGivenBackThoughTheSecondTryMetNoLeader(t *testing.T) {
	control := &leaderlessControl{fakeControl: newFakeControl()}
	views := &fixedViews{}
	views.view.Store(newView(nil, nil))
	made := New(quick(), views, control, func() time.Duration { return 0 }, log.NewNopLogger())
	read := &envelope{tenant: "default", key: "k1"}
	answer := made.claimRun(context.Background(), read, 1)
	must.NotNil(t, answer.failed)
	must.Eq(t, attempt.RanNo, answer.failed.ran)
	made.Close() // waits for what is recorded
	must.Eq(t, api.RunNotRun, control.claims["default/k1"].Outcome)
	must.NotNil(t, made.claimRun(context.Background(), read, 1).granted)
}

// leaderlessControl commits the first claim and loses the answer with its
// leader; the second try meets no leader.
type leaderlessControl struct {
	*fakeControl
	tries int
}

func (c *leaderlessControl) Claim(ctx context.Context, request state.ClaimRequest) (api.ClaimResult, error) {
	c.tries++
	switch c.tries {
	case 1:
		_, _ = c.fakeControl.Claim(ctx, request) // the commit is what counts
		return api.ClaimResult{}, errors.Wrap(feed.ErrOutcomeUnknown, "test")
	case 2:
		return api.ClaimResult{}, errors.Wrap(feed.ErrNoQuorum, "test")
	default:
		return c.fakeControl.Claim(ctx, request)
	}
}

// TestCallerAsksAgainBeforeItsClaimIsGivenBack: the caller was told "no" while
// the record of that was still on its way. A new claim that overtook the record
// would find the key taken.
func TestCallerAsksAgainBeforeItsClaimIsGivenBack(t *testing.T) {
	control := &slowRecords{
		leaderlessControl: leaderlessControl{fakeControl: newFakeControl()},
		begun:             make(chan struct{}),
		release:           make(chan struct{}),
	}
	views := &fixedViews{}
	views.view.Store(newView(nil, nil))
	made := New(quick(), views, control, func() time.Duration { return 0 }, log.NewNopLogger())
	read := &envelope{tenant: "default", key: "k1"}
	must.Eq(t, attempt.RanNo, made.claimRun(context.Background(), read, 1).failed.ran)
	<-control.begun
	again := made.claimRun(context.Background(), read, 1)
	close(control.release)
	made.Close()
	must.NotNil(t, again.granted)
	must.Eq(t, api.RunUnknown, control.claims["default/k1"].Outcome, must.Sprint("the late record is of the first claim"))
	_, kept := made.owed.Load(claimKey{"default", "k1"})
	must.False(t, kept)
}

// slowRecords holds the first record up until it is released.
type slowRecords struct {
	leaderlessControl
	records atomic.Int32
	begun   chan struct{}
	release chan struct{}
}

func (c *slowRecords) RecordOutcome(ctx context.Context, outcome state.RunOutcome) error {
	if c.records.Add(1) == 1 {
		close(c.begun)
		<-c.release
	}
	return c.fakeControl.RecordOutcome(ctx, outcome)
}
