package proxy

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/version/api"
)

// crashingEngines is a script for engines that break the connection, as if they crashed, when a
// request body contains "fatal".
type crashingEngines struct {
	lock    sync.Mutex
	crashes int
}

func (c *crashingEngines) script(e *fakeEngine, w http.ResponseWriter, r *http.Request, _ int) {
	body, _ := io.ReadAll(r.Body)
	if !strings.Contains(string(body), "fatal") {
		e.answer(w, r, 0, 3)
		return
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.crashes++
	panic(http.ErrAbortHandler)
}

// streamPrompt sends a streaming request with the prompt.
func (f *fleet) streamPrompt(prompt string) *reply {
	return f.do(http.MethodPost, "/v1/completions", `{"model":"llm","stream":true,"max_tokens":3,"prompt":"`+prompt+`"}`, HeaderClass, "cap")
}

// awaitFirstPoll waits until each engine has answered its first poll. The fake engines keep running
// after a simulated crash, so an answer to a later poll would refute the crash.
func (f *fleet) awaitFirstPoll(engines []*fakeEngine) {
	f.t.Helper()
	deadline := time.Now().Add(longTimeout)
	for _, engine := range engines {
		for !f.hasPolled(engine) {
			must.True(f.t, time.Now().Before(deadline))
			time.Sleep(time.Millisecond)
		}
	}
}

func (f *fleet) hasPolled(engine *fakeEngine) bool {
	lane := f.proxy.lanes.find("narrator")
	if lane == nil {
		return false
	}
	target := (*lane.endpoints.Load())[engine.name]
	return target != nil && target.reported().incarnation == engine.incarnation
}

// A request that has crashed enough engines, three or here four since the proxy has no leader, is
// sent to no other engine and is refused at once, while other requests are served.
func TestRequestThatCrashesEnginesIsQuarantined(t *testing.T) {
	crashing := &crashingEngines{}
	var engines []*fakeEngine
	for i := range 6 {
		engine := newFakeEngine(t, "e"+strconv.Itoa(i), uint64(11+i))
		engine.script = crashing.script
		engines = append(engines, engine)
	}
	config := fastConfig()
	config.Timeouts.Head, config.Intervals.Load = longTimeout, time.Hour // no poll may refute the suspected crash
	control := newFakeControl()
	f := startFleetWithControl(t, config, control, engines)
	f.awaitFirstPoll(engines)
	for range 10 {
		answer := f.streamPrompt("fatal")
		must.NotEq(t, http.StatusOK, answer.status)
	}
	crashing.lock.Lock()
	must.Eq(t, 4, crashing.crashes, must.Sprint("three crashes, and one more because the proxy has no leader"))
	crashing.lock.Unlock()
	answer := f.streamPrompt("fatal")
	must.Eq(t, http.StatusServiceUnavailable, answer.status)
	must.Eq(t, codeQuarantined, answer.code())
	must.Eq(t, "no", answer.runState())
	must.NotEq(t, "", answer.header.Get("Retry-After"))
	must.Eq(t, http.StatusOK, f.streamPrompt("another").status)
	control.lock.Lock()
	must.SliceLen(t, 4, control.ends)
	control.lock.Unlock()

	// A request that the control group quarantined is refused before it crashes an engine of this
	// proxy.
	name := ""
	for _, report := range control.ends {
		name = report.Crashes[0].Fingerprint.String()
	}
	other := startFleet(t, fastConfig(), engines)
	quarantined := *other.views.view.Load()
	quarantined.Version.Revision++
	quarantined.Quarantines = map[string]*api.Quarantine{name: {Metadata: api.Metadata{Name: name, Revision: 2},
		Spec: api.QuarantineSpec{State: api.QuarantineHeld, Until: time.Now().Add(time.Hour).UnixMilli()}}}
	other.views.view.Store(&quarantined)
	must.Eq(t, codeQuarantined, other.streamPrompt("fatal").code())
	must.Eq(t, http.StatusOK, other.streamPrompt("another").status)
}

// A response of the same incarnation to a poll refutes the suspected crash of an engine.
func TestPollRefutesSuspectedCrash(t *testing.T) {
	crashing := &crashingEngines{}
	engine := newFakeEngine(t, "e0", 11)
	engine.script = crashing.script
	f := startFleet(t, fastConfig(), []*fakeEngine{engine})
	must.NotEq(t, http.StatusOK, f.streamPrompt("fatal").status)
	deadline := time.Now().Add(longTimeout)
	for f.proxy.guard.Active() {
		must.True(t, time.Now().Before(deadline))
		time.Sleep(time.Millisecond)
	}
}

// A request that has crashed three prefill engines is not sent to another one, although a failed KV
// transfer is otherwise retried at another engine without using the retry budget.
func TestRequestThatCrashesPrefillEnginesIsQuarantined(t *testing.T) {
	var engines []*fakeEngine
	for i := range 6 {
		engine := newFakeEngine(t, "e"+strconv.Itoa(i), uint64(11+i))
		engine.failKV = func(*fakeEngine, http.ResponseWriter) { panic(http.ErrAbortHandler) }
		engines = append(engines, engine)
	}
	config := fastConfig()
	config.Timeouts.Head, config.Intervals.Load = longTimeout, time.Hour // no poll may refute the suspected crash
	f := startFleet(t, config, engines)
	splitView := newView(engines, nil)
	for i, engine := range engines {
		splitView.Engines[engine.name].Status.Assignment.Role = api.RolePrefill
		if i == 0 {
			splitView.Engines[engine.name].Status.Assignment.Role = api.RoleDecode
		}
	}
	splitView.Version.Revision = 2
	f.views.view.Store(splitView)
	answer := f.streamPrompt("fatal")
	must.Eq(t, http.StatusServiceUnavailable, answer.status)
	must.Eq(t, codeQuarantined, answer.code())
	exports := int32(0)
	for _, engine := range engines {
		exports += engine.exports.Load()
	}
	must.Eq(t, 3, exports)
}
