package engine

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/lab/engine/ledger"
	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/lab/platform"
	"github.com/landingtrail/landingtrail/version/api"
)

func TestBadInputIsNotAdmittedAndNamed(t *testing.T) {
	long := `{"model":"narrator","prompt":"` + strings.Repeat("a ", 3<<20) + `"}`
	cases := map[string]struct {
		path, body string
		header     [2]string
		status     int
		named      string
	}{
		"not JSON":              {engineapi.PathChatCompletions, `{`, [2]string{}, 400, "bad JSON"},
		"oversized":             {engineapi.PathCompletions, long, [2]string{}, 413, "too large"},
		"model of a wrong type": {engineapi.PathChatCompletions, `{"model":7}`, [2]string{}, 400, "model"},
		"content of wrong type": {engineapi.PathChatCompletions, `{"model":"m","messages":[{"content":1}]}`, [2]string{}, 400, "messages.content"},
		"no model":              {engineapi.PathChatCompletions, `{"messages":[{"content":"a"}]}`, [2]string{}, 400, "model"},
		"no messages":           {engineapi.PathChatCompletions, `{"model":"narrator"}`, [2]string{}, 400, "messages"},
		"empty prompt":          {engineapi.PathCompletions, `{"model":"narrator","prompt":" "}`, [2]string{}, 400, "prompt"},
		"negative length":       {engineapi.PathCompletions, `{"model":"narrator","prompt":"a","max_tokens":-1}`, [2]string{}, 400, "max_tokens"},
		"bad attempt":           {engineapi.PathCompletions, `{"model":"narrator","prompt":"a"}`, [2]string{engineapi.HeaderAttempt, "4294967296"}, 400, engineapi.HeaderAttempt},
		"bad priority":          {engineapi.PathCompletions, `{"model":"narrator","prompt":"a"}`, [2]string{engineapi.HeaderPriority, "high"}, 400, engineapi.HeaderPriority},
		"bad deadline":          {engineapi.PathCompletions, `{"model":"narrator","prompt":"a"}`, [2]string{engineapi.HeaderDeadline, "-1"}, 400, engineapi.HeaderDeadline},
		"bad incarnation":       {engineapi.PathCompletions, `{"model":"narrator","prompt":"a"}`, [2]string{engineapi.HeaderIncarnation, "x"}, 400, engineapi.HeaderIncarnation},
		"order, unknown field":  {engineapi.PathOrders, `{"force":true}`, [2]string{}, 400, "force"},
		"order, wrong type":     {engineapi.PathOrders, `{"fence":{"term":"1"}}`, [2]string{}, 400, "fence.term"},
		"order without a fence": {engineapi.PathOrders, `{"engine":"narrator-1","incarnation":"77"}`, [2]string{}, 400, "invalid"},
		"void, unknown field":   {engineapi.PathVoid, `{"all":true}`, [2]string{}, 400, "all"},
		"cancel without ID":     {engineapi.PathCancel, `{"attempt":1}`, [2]string{}, 400, "requestId"},
		"resume, two values":    {engineapi.PathResume, `{} {}`, [2]string{}, 400, "more than one"},
		"export without ID":     {engineapi.PathKVExport, `{"request":{"model":"m","prompt":"a"}}`, [2]string{}, 400, "requestId"},
		"import without peer":   {engineapi.PathKVImport, `{"handle":{"handle":"h"}}`, [2]string{}, 400, "address"},
		"unknown fault":         {PathFault, `{"kind":"melt"}`, [2]string{}, 400, "kind"},
		"fault without factor":  {PathFault, `{"kind":"slow"}`, [2]string{}, 400, "factor"},
	}
	f := newFixture(t, nil)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			header := map[string]string{}
			if c.header[0] != "" {
				header[c.header[0]] = c.header[1]
			}
			a := f.do(http.MethodPost, c.path, c.body, header)
			must.Eq(t, c.status, a.status)
			must.StrContains(t, string(a.body), c.named)
		})
	}
	must.SliceEmpty(t, f.ledgerEvents(ledger.EventStarted))
}

func TestRefusalSaysThatNothingRan(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.Model.Assignment = api.Assignment{} })
	var body engineapi.ErrorBody
	a := f.do(http.MethodPost, engineapi.PathChatCompletions, chat("a", 5), nil)
	f.decode(a, http.StatusServiceUnavailable, &body)
	must.Eq(t, "no", a.header.Get(engineapi.HeaderAdmitted))
	must.Eq(t, "idle", a.header.Get(engineapi.HeaderPhase))
	must.Eq(t, "no", body.Error.Ran)
	must.Eq(t, string(enginemodel.RefusalIdle), body.Error.Code)
	must.SliceEmpty(t, f.ledgerEvents(ledger.EventStarted))
	must.Len(t, 1, f.ledgerEvents(ledger.EventRefused))
}

func TestDuplicateAttemptIsNoSureRefusal(t *testing.T) {
	f := newFixture(t, nil)
	header := map[string]string{engineapi.HeaderRequestID: "r1"}
	must.Eq(t, http.StatusOK, f.do(http.MethodPost, engineapi.PathChatCompletions, chat("a", 5), header).status)
	a := f.do(http.MethodPost, engineapi.PathChatCompletions, chat("a", 5), header)
	must.Eq(t, http.StatusConflict, a.status)
	must.Eq(t, "", a.header.Get(engineapi.HeaderAdmitted))
	must.StrContains(t, string(a.body), `"ran":"unknown"`)
	must.Len(t, 1, f.ledgerEvents(ledger.EventStarted))
}

func TestDroppedStreamIsResumedAtItsOffset(t *testing.T) {
	f := newFixture(t, nil)
	must.Eq(t, http.StatusOK, f.do(http.MethodPost, PathFault, `{"kind":"drop_stream_after_tokens","tokens":4,"count":1}`, nil).status)
	header := map[string]string{engineapi.HeaderRequestID: "r1"}
	a := f.do(http.MethodPost, engineapi.PathChatCompletions, chat("storm", 30), header)
	must.Error(t, a.err)
	broken := parseStream(t, a.body)
	must.False(t, broken.done)
	must.Eq(t, expected("storm", 0, 4), broken.text())

	resume := engineapi.ResumeRequest{RequestID: "r1", Offset: 4, Incarnation: testIncarnation}
	a = f.do(http.MethodPost, engineapi.PathResume, encode(t, resume), nil)
	rest := parseStream(t, a.body)
	must.True(t, rest.done)
	must.Eq(t, expected("storm", 4, 30), rest.text())
	must.Eq(t, 4, rest.events[0].Offset)

	resume.Incarnation++
	a = f.do(http.MethodPost, engineapi.PathResume, encode(t, resume), nil)
	must.Eq(t, http.StatusConflict, a.status)
	must.StrContains(t, string(a.body), string(enginemodel.ResumeOtherIncarnation))
	must.Len(t, 1, f.ledgerEvents(ledger.EventStarted))
}

// background runs a request and delivers its answer.
func (f *fixture) background(path, body string, header map[string]string) <-chan answer {
	answers := make(chan answer, 1)
	go func() { answers <- f.do(http.MethodPost, path, body, header) }()
	return answers
}

func TestCancelEndsTheStreamWithoutACleanEnd(t *testing.T) {
	f := newFixture(t, nil)
	answers := f.background(engineapi.PathChatCompletions, chat("storm", 20_000), map[string]string{engineapi.HeaderRequestID: "r1"})
	f.await(func() bool { return f.server.state().Running == 1 })
	a := f.do(http.MethodPost, engineapi.PathCancel, `{"requestId":"r1","attempt":0}`, nil)
	must.StrContains(t, string(a.body), string(enginemodel.CancelStopped))
	must.False(t, parseStream(t, (<-answers).body).done)
	cancelled := f.ledgerEvents(ledger.EventCancelled)
	must.Len(t, 1, cancelled)
	must.Eq(t, string(enginemodel.CancelByCaller), cancelled[0].Reason)
}

func TestReaderThatLeavesDetachesItsRun(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.Model.DetachedLimit = 0 })
	ctx, leave := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.http.URL+engineapi.PathChatCompletions, strings.NewReader(chat("storm", 20_000)))
	must.NoError(t, err)
	response, err := f.client.Do(request)
	must.NoError(t, err)
	defer response.Body.Close()
	leave()
	f.await(f.server.idle)
	must.Eq(t, string(enginemodel.CancelAbandoned), f.ledgerEvents(ledger.EventCancelled)[0].Reason)
}

func (f *fixture) order(index uint64, assignment api.Assignment) engineapi.OrderReply {
	state := f.server.state()
	order := api.Order{
		Fence:       api.Fence{Term: 1, Index: index},
		Engine:      state.Engine,
		Incarnation: state.Incarnation,
		Assignment:  assignment,
	}
	var reply engineapi.OrderReply
	f.decode(f.do(http.MethodPost, engineapi.PathOrders, encode(f.t, order), nil), http.StatusOK, &reply)
	return reply
}

func TestOrderDrainsLoadsAndServes(t *testing.T) {
	store := httptest.NewServer(platform.NewServer(platform.Config{WeightBytes: 1 << 20, WeightBytesPerSecond: 64 << 20}).Handler())
	defer store.Close()
	f := newFixture(t, func(c *Config) { c.Platform = store.Listener.Addr().String() })
	running := f.background(engineapi.PathChatCompletions, chat("storm", 300), nil)
	f.await(func() bool { return f.server.state().Running == 1 })
	wanted := api.Assignment{Model: "narrator", Version: "v2", Adapters: []string{"coast"}, Role: api.RoleMixed}
	must.Eq(t, engineapi.OrderAccepted, f.order(5, wanted).Code)
	must.Eq(t, engineapi.OrderBusy, f.order(6, mixed).Code)
	must.Eq(t, engineapi.OrderStaleFence, f.order(4, mixed).Code)
	whole := parseStream(t, (<-running).body)
	must.True(t, whole.done)
	must.Eq(t, expected("storm", 0, 300), whole.text())
	f.await(func() bool { return f.server.state().Phase == api.PhaseServing })
	must.Eq(t, wanted, f.server.state().Assignment)
	must.Eq(t, engineapi.OrderDone, f.order(5, wanted).Code)
	must.Len(t, 4, f.ledgerEvents(ledger.EventOrder))
	must.SliceEmpty(t, f.ledgerEvents(ledger.EventCutShort))
	must.SliceEmpty(t, f.ledgerEvents(ledger.EventCancelled))
	models := f.do(http.MethodGet, engineapi.PathModels, "", nil)
	must.StrContains(t, string(models.body), "narrator:coast")
}

func TestLoadIsTriedAgainUntilVoid(t *testing.T) {
	asked := make(chan struct{}, 100)
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/weights/") {
			asked <- struct{}{}
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer store.Close()
	f := newFixture(t, func(c *Config) {
		c.Platform = store.Listener.Addr().String()
		c.Model.Assignment = api.Assignment{}
	})
	f.order(5, mixed)
	<-asked
	<-asked
	var reply engineapi.OrderReply
	void := engineapi.VoidRequest{Fence: api.Fence{Term: 1, Index: 6}, Incarnation: testIncarnation}
	f.decode(f.do(http.MethodPost, engineapi.PathVoid, encode(t, void), nil), http.StatusOK, &reply)
	must.Eq(t, engineapi.OrderVoid, reply.Code)
	must.Eq(t, api.PhaseIdle, reply.State.Phase)
}

func TestKVCacheGoesFromEngineToEngine(t *testing.T) {
	source := newFixture(t, func(c *Config) {
		c.Model.Engine = "narrator-2"
		c.Model.Assignment.Role = api.RolePrefill
	})
	target := newFixture(t, func(c *Config) { c.Model.Assignment.Role = api.RoleDecode })
	var completion engineapi.CompletionRequest
	must.NoError(t, json.Unmarshal([]byte(chat("storm over the delta", 6)), &completion))
	export := engineapi.KVExportRequest{RequestID: "r1", Request: completion}
	var handle engineapi.KVHandle
	source.decode(source.do(http.MethodPost, engineapi.PathKVExport, encode(t, export), nil), http.StatusOK, &handle)
	must.Eq(t, 4, handle.Tokens)
	must.Eq(t, "narrator-2", handle.Engine)

	imported := encode(t, engineapi.KVImportRequest{Handle: handle})
	must.Eq(t, http.StatusOK, target.do(http.MethodPost, engineapi.PathKVImport, imported, nil).status)
	header := map[string]string{engineapi.HeaderRequestID: "r1", engineapi.HeaderKVHandle: handle.Handle}
	a := target.do(http.MethodPost, engineapi.PathChatCompletions, chat("storm over the delta", 6), header)
	must.Eq(t, expected("storm over the delta", 0, 6), parseStream(t, a.body).text())

	header[engineapi.HeaderRequestID] = "r2"
	a = target.do(http.MethodPost, engineapi.PathChatCompletions, chat("another prompt", 6), header)
	must.Eq(t, http.StatusServiceUnavailable, a.status)
	must.Eq(t, "no", a.header.Get(engineapi.HeaderAdmitted))

	handle.Handle += "x"
	a = target.do(http.MethodPost, engineapi.PathKVImport, encode(t, engineapi.KVImportRequest{Handle: handle}), nil)
	must.Eq(t, http.StatusServiceUnavailable, a.status)
	must.StrContains(t, string(a.body), string(enginemodel.RefusalUnknownHandle))
}

func TestLoadAndCacheEventsAreServed(t *testing.T) {
	f := newFixture(t, nil)
	f.do(http.MethodPost, engineapi.PathChatCompletions, chat(strings.Repeat("w ", 40), 2), nil)
	var load engineapi.Load
	f.decode(f.do(http.MethodGet, engineapi.PathLoad, "", nil), http.StatusOK, &load)
	must.Eq(t, uint64(testIncarnation), load.Incarnation)
	var events engineapi.CacheEvents
	f.decode(f.do(http.MethodGet, engineapi.PathCacheEvents+"?after=0", "", nil), http.StatusOK, &events)
	must.Len(t, 2, events.Blocks)
	must.Eq(t, http.StatusBadRequest, f.do(http.MethodGet, engineapi.PathCacheEvents+"?after=x", "", nil).status)
}

func TestPlannedStopCutsNothingShort(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	path := filepath.Join(t.TempDir(), "ledger")
	config := Config{Listen: address, Model: enginemodel.DefaultConfig("narrator-1", 0), LedgerPath: path}
	config.Model.Assignment = mixed
	config.Model.Speed = testSpeed
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, config) }()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var response *http.Response
	for {
		response, err = client.Post("http://"+address+engineapi.PathChatCompletions, "application/json", strings.NewReader(chat("storm", 500)))
		if err == nil {
			break
		}
	}
	stop()
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	// Work that keeps coming is refused in so many words, and keeps the engine up.
	const lateRequests = 50
	for range lateRequests {
		late, err := client.Post("http://"+address+engineapi.PathChatCompletions, "application/json", strings.NewReader(chat("late", 1)))
		must.NoError(t, err)
		must.NoError(t, late.Body.Close())
		must.Eq(t, "no", late.Header.Get(engineapi.HeaderAdmitted))
		time.Sleep(drainInterval / 10)
	}
	must.NoError(t, <-ended)
	whole := parseStream(t, body)
	must.True(t, whole.done)
	must.Eq(t, expected("storm", 0, 500), whole.text())

	kept, err := ledger.Open("narrator-1", ledger.DefaultLimit, path)
	must.NoError(t, err)
	var runs []ledger.Event
	for _, entry := range kept.After(0).Entries {
		if entry.RequestID != "" {
			runs = append(runs, entry.Event)
		}
	}
	must.Eq(t, []ledger.Event{ledger.EventStarted, ledger.EventFinished}, runs[:2])
	must.Len(t, 2+lateRequests, runs)
	must.NoError(t, kept.Close())
}
