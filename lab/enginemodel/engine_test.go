package enginemodel

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/version/api"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const testIncarnation = 11

var (
	mixed   = api.Assignment{Model: "m", Version: "v1", Adapters: []string{"a"}, Role: api.RoleMixed}
	prefill = api.Assignment{Model: "m", Version: "v1", Adapters: []string{"a"}, Role: api.RolePrefill}
	decode  = api.Assignment{Model: "m", Version: "v1", Adapters: []string{"a"}, Role: api.RoleDecode}
)

func testConfig(assignment api.Assignment) Config {
	config := DefaultConfig("e1", testIncarnation)
	config.Assignment = assignment
	return config
}

// driver steps an engine in virtual time and keeps its events.
type driver struct {
	*Engine
	now    time.Duration
	events []Event
}

func newDriver(config Config) *driver { return &driver{Engine: New(config)} }

// step steps once, now, and returns when the engine wants the next step.
func (d *driver) step() time.Duration {
	next, events := d.Step(d.now)
	d.events = append(d.events, events...)
	return next
}

// runUntil steps until the end; a running engine may be in the middle of an iteration.
func (d *driver) runUntil(end time.Duration) {
	for {
		next := d.step()
		if next > end {
			d.now = end
			return
		}
		d.now = next
	}
}

// settle steps until the engine has nothing to do.
func (d *driver) settle() {
	for next := d.step(); next != Never; next = d.step() {
		d.now = next
	}
}

func (d *driver) admit(t *testing.T, request Request) {
	t.Helper()
	must.Eq(t, Admission{Admitted: true}, d.Admit(d.now, request))
}

// of returns the events of a kind.
func (d *driver) of(kind EventKind) []Event {
	var found []Event
	for _, event := range d.events {
		if event.Kind == kind {
			found = append(found, event)
		}
	}
	return found
}

func (d *driver) finished() []string {
	var ids []string
	for _, event := range d.of(EventFinished) {
		ids = append(ids, event.Request.Key.ID)
	}
	return ids
}

// request returns a request whose prompt shares nothing with that of another ID.
func request(id string, prompt, output int) Request {
	return Request{
		Key: RunKey{ID: id}, Model: "m", PromptTokens: prompt, OutputTokens: output, PromptHash: PromptHash(id),
		Blocks: SyntheticBlocks("m", 0, 0, PromptHash(id), prompt, DefaultBlockTokens),
	}
}

func TestAnswerIsWholeAndInOrder(t *testing.T) {
	d := newDriver(testConfig(mixed))
	d.admit(t, request("r", 1300, 7))
	d.settle()
	for i, event := range d.of(EventToken) {
		must.Eq(t, i, event.Offset)
	}
	must.Len(t, 7, d.of(EventToken))
	must.Eq(t, []string{"r"}, d.finished())
	progress, known := d.Progress(RunKey{ID: "r"})
	must.True(t, known)
	must.True(t, progress.Finished)
	must.Eq(t, 7, progress.Generated)
}

func TestIterationTakesWhatItsPartsTake(t *testing.T) {
	config := testConfig(mixed)
	d := newDriver(config)
	d.admit(t, request("r", 600, 2))
	first := d.step()
	chunk := func(tokens int) time.Duration {
		return config.StepBase + time.Duration(float64(tokens)/config.PrefillTokensPerSecond*float64(time.Second))
	}
	must.Eq(t, chunk(config.MixedChunkTokens), first)
	d.now = first
	second := d.step() - first
	must.Eq(t, chunk(600-config.MixedChunkTokens)+config.KVReadPerThousand*512/1000, second)
	must.SliceEmpty(t, d.of(EventToken))
	d.now += second
	third := d.step() - d.now
	must.Len(t, 1, d.of(EventToken))
	must.Eq(t, config.StepBase+config.DecodePerSequence+config.KVReadPerThousand*601/1000, third)
}

func TestSpeedDividesWork(t *testing.T) {
	ends := map[float64]time.Duration{}
	for _, speed := range []float64{1, 10} {
		config := testConfig(mixed)
		config.Speed = speed
		d := newDriver(config)
		d.admit(t, request("r", 900, 50))
		d.settle()
		ends[speed] = d.now
	}
	must.Between(t, ends[1]/10-time.Microsecond, ends[10], ends[1]/10+time.Microsecond)
}

func TestRefusals(t *testing.T) {
	full := testConfig(mixed)
	full.MaxWaiting = 0
	other := request("r", 10, 10)
	other.Incarnation = testIncarnation + 1
	pinned := request("r", 10, 10)
	pinned.Incarnation = testIncarnation
	export := request("r", 10, 0)
	export.PrefillOnly = true
	adapted := request("r", 10, 10)
	adapted.Model = "m:a"
	unknownAdapter := request("r", 10, 10)
	unknownAdapter.Model = "m:b"
	wrongModel := request("r", 10, 10)
	wrongModel.Model = "n"
	imported := request("r", 10, 10)
	imported.Handle = "h"
	noStaging := testConfig(prefill)
	noStaging.StagingTokens = 5
	cases := map[string]struct {
		config  Config
		request Request
		want    Refusal
	}{
		"served":             {testConfig(mixed), request("r", 10, 10), RefusalNone},
		"served, pinned":     {testConfig(mixed), pinned, RefusalNone},
		"adapter":            {testConfig(mixed), adapted, RefusalNone},
		"decode reads too":   {testConfig(decode), request("r", 10, 10), RefusalNone},
		"unknown adapter":    {testConfig(mixed), unknownAdapter, RefusalWrongModel},
		"wrong model":        {testConfig(mixed), wrongModel, RefusalWrongModel},
		"idle":               {testConfig(api.Assignment{}), request("r", 10, 10), RefusalIdle},
		"other incarnation":  {testConfig(mixed), other, RefusalOtherIncarnation},
		"prefill generates":  {testConfig(prefill), request("r", 10, 10), RefusalWrongRole},
		"decode exports":     {testConfig(decode), export, RefusalWrongRole},
		"no output":          {testConfig(mixed), request("r", 10, 0), RefusalEmpty},
		"no prompt":          {testConfig(mixed), request("r", 0, 10), RefusalEmpty},
		"more than memory":   {testConfig(mixed), request("r", DefaultKVTokens, 1), RefusalTooLong},
		"all of memory":      {testConfig(mixed), request("r", DefaultKVTokens-1, 1), RefusalNone},
		"queue full":         {full, request("r", 10, 10), RefusalQueueFull},
		"unknown handle":     {testConfig(mixed), imported, RefusalUnknownHandle},
		"export has no room": {noStaging, export, RefusalStagingFull},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDriver(c.config)
			got := d.Admit(0, c.request)
			must.Eq(t, Admission{Admitted: c.want == RefusalNone, Refusal: c.want}, got)
			d.settle()
			_, known := d.Progress(c.request.Key)
			must.Eq(t, got.Admitted, known)
		})
	}
}

func TestDuplicateIsNotRunTwice(t *testing.T) {
	d := newDriver(testConfig(mixed))
	d.admit(t, request("r", 10, 3))
	must.Eq(t, RefusalDuplicate, d.Admit(0, request("r", 10, 3)).Refusal)
	d.settle()
	must.Eq(t, RefusalDuplicate, d.Admit(d.now, request("r", 10, 3)).Refusal)
	must.Len(t, 3, d.of(EventToken))
	again := request("r", 10, 3)
	again.Key.Attempt = 1
	d.admit(t, again)
}

func TestPriorityOrdersTheQueue(t *testing.T) {
	config := testConfig(mixed)
	config.MaxBatch = 1
	d := newDriver(config)
	for i, priority := range []int{0, 1, 5, 1, 5} {
		r := request(fmt.Sprint(i), 10, 2)
		r.Priority = priority
		d.admit(t, r)
	}
	d.settle()
	must.Eq(t, []string{"2", "4", "1", "3", "0"}, d.finished())
}

func TestMemoryBoundsTheBatch(t *testing.T) {
	config := testConfig(mixed)
	config.KVTokens = 1000
	d := newDriver(config)
	for _, id := range []string{"a", "b", "c"} {
		d.admit(t, request(id, 300, 100))
	}
	d.step()
	must.Eq(t, 2, d.State().Running)
	must.Eq(t, 1, d.State().Waiting)
	d.settle()
	must.Eq(t, []string{"a", "b", "c"}, d.finished())
}

func TestHeadOfQueueIsNotOvertaken(t *testing.T) {
	config := testConfig(mixed)
	config.KVTokens = 1000
	d := newDriver(config)
	d.admit(t, request("a", 500, 100))
	d.admit(t, request("big", 500, 10))
	d.admit(t, request("small", 10, 30))
	d.settle()
	must.Eq(t, []string{"a", "big", "small"}, d.finished())
}

func TestCancel(t *testing.T) {
	config := testConfig(mixed)
	config.MaxBatch = 1
	d := newDriver(config)
	d.admit(t, request("runs", 10, 500))
	d.admit(t, request("waits", 10, 500))
	d.runUntil(time.Second)
	must.Eq(t, CancelStopped, d.Cancel(d.now, RunKey{ID: "waits"}))
	must.Eq(t, CancelStopped, d.Cancel(d.now, RunKey{ID: "runs"}))
	must.Eq(t, CancelNotAdmitted, d.Cancel(d.now, RunKey{ID: "comes late"}))
	must.Eq(t, RefusalCancelled, d.Admit(d.now, request("comes late", 10, 10)).Refusal)
	d.settle()
	must.SliceEmpty(t, d.finished())
	must.Len(t, 2, d.of(EventCancelled))
	must.Eq(t, 0, d.private)
	d.admit(t, request("done", 10, 1))
	d.settle()
	must.Eq(t, CancelTooLate, d.Cancel(d.now, RunKey{ID: "done"}))
}

func TestAbandonedRunIsCancelledAfterTheLimit(t *testing.T) {
	config := testConfig(mixed)
	config.DetachedLimit = time.Second
	d := newDriver(config)
	d.admit(t, request("left", 10, 1000))
	d.admit(t, request("resumed", 10, 1000))
	d.Detach(0, RunKey{ID: "left"})
	d.Detach(0, RunKey{ID: "resumed"})
	d.runUntil(500 * time.Millisecond)
	_, refusal := d.Resume(RunKey{ID: "resumed"}, testIncarnation, 0)
	must.Eq(t, ResumeAllowed, refusal)
	d.settle()
	must.Eq(t, []string{"resumed"}, d.finished())
	must.Eq(t, CancelAbandoned, d.of(EventCancelled)[0].Reason)
}

func TestResume(t *testing.T) {
	d := newDriver(testConfig(mixed))
	d.admit(t, request("r", 10, 5))
	d.admit(t, request("gone", 10, 500))
	d.runUntil(time.Second)
	d.Cancel(d.now, RunKey{ID: "gone"})
	cases := map[string]struct {
		key         RunKey
		incarnation uint64
		offset      int
		want        ResumeRefusal
	}{
		"from the start":    {RunKey{ID: "r"}, testIncarnation, 0, ResumeAllowed},
		"from the end":      {RunKey{ID: "r"}, testIncarnation, 5, ResumeAllowed},
		"past the end":      {RunKey{ID: "r"}, testIncarnation, 6, ResumeBadOffset},
		"before the start":  {RunKey{ID: "r"}, testIncarnation, -1, ResumeBadOffset},
		"other incarnation": {RunKey{ID: "r"}, testIncarnation + 1, 0, ResumeOtherIncarnation},
		"other attempt":     {RunKey{ID: "r", Attempt: 1}, testIncarnation, 0, ResumeUnknownRun},
		"cancelled":         {RunKey{ID: "gone"}, testIncarnation, 0, ResumeCancelled},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, refusal := d.Resume(c.key, c.incarnation, c.offset)
			must.Eq(t, c.want, refusal)
		})
	}
	d.now += DefaultOutputRetention
	d.step()
	_, refusal := d.Resume(RunKey{ID: "r"}, testIncarnation, 0)
	must.Eq(t, ResumeUnknownRun, refusal)
}

func TestRecordsAreBounded(t *testing.T) {
	config := testConfig(mixed)
	config.RecordLimit = 3
	d := newDriver(config)
	for i := range 10 {
		d.admit(t, request(fmt.Sprint(i), 10, 1))
		d.Cancel(d.now, RunKey{ID: fmt.Sprint("never", i)})
		d.settle()
	}
	must.LessEq(t, 3, len(d.runs.byKey)+len(d.runs.cancelled))
}

func TestCrashLosesEverything(t *testing.T) {
	d := newDriver(testConfig(mixed))
	d.admit(t, request("r", 10, 500))
	d.runUntil(time.Second)
	lost := d.Crash(d.now, testIncarnation+1)
	must.Len(t, 1, lost)
	state := d.State()
	must.Eq(t, api.PhaseIdle, state.Phase)
	must.True(t, state.Fence.IsZero())
	must.Eq(t, uint64(testIncarnation+1), state.Incarnation)
	must.Eq(t, Never, d.step())
	_, refusal := d.Resume(RunKey{ID: "r"}, testIncarnation, 0)
	must.Eq(t, ResumeOtherIncarnation, refusal)
}

func TestLeavingFinishesWhatItHas(t *testing.T) {
	d := newDriver(testConfig(mixed))
	d.admit(t, request("r", 10, 5))
	d.SetLeaving(0, true)
	must.Eq(t, RefusalLeaving, d.Admit(0, request("new", 10, 5)).Refusal)
	must.Eq(t, api.PhaseLeaving, d.State().Phase)
	d.settle()
	must.Eq(t, []string{"r"}, d.finished())
	d.SetLeaving(d.now, false)
	d.admit(t, request("new", 10, 5))
}
