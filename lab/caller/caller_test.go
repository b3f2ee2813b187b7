package caller

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/landingtrail/landingtrail/lab/backend"
	"github.com/landingtrail/landingtrail/lab/engine"
	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/lab/trace"
	"github.com/landingtrail/landingtrail/version/api"
)

func TestMain(m *testing.M) {
	flag.Parse()
	goleak.VerifyTestMain(m, goleak.Cleanup(os.Exit))
}

var (
	caption = trace.Item{
		Tenant: "public-app", Service: "narrator", Class: "caption", Model: "narrator", PromptTokens: 40,
		OutputTokens: 5, Prefix: 9, PrefixTokens: 32, Deadline: time.Minute,
	}
	frame = trace.Item{Tenant: "pilots", Service: "tilegate", Class: "frame", Deadline: time.Minute}
)

// serve starts a server that stands for the proxy and returns its address.
func serve(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func newEngine(t *testing.T) *engine.Server {
	config := engine.Config{Model: enginemodel.DefaultConfig("narrator-1", 1)}
	config.Model.Speed = 100
	config.Model.Assignment = api.Assignment{Model: "narrator", Version: "v1", Role: api.RoleMixed}
	server, err := engine.NewServer(config)
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, server.Close()) })
	return server
}

func newBackend(t *testing.T) *backend.Server {
	server, err := backend.NewServer(backend.Config{Name: "tilegate-1"})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, server.Close()) })
	return server
}

func play(address string, items ...trace.Item) Report {
	return Play(context.Background(), Config{Proxy: address, Items: items, Name: "test"})
}

func TestPlayAgainstStandIns(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle("/v1/", newEngine(t).Handler())
	mux.Handle("/services/", newBackend(t).Handler())
	var items []trace.Item
	for range 30 {
		items = append(items, caption, frame)
	}
	report := play(serve(t, mux), items...)
	for class, tokens := range map[string]int64{"caption": 150, "frame": 0} {
		got := report.Classes[class]
		must.Eq(t, 30, got.Offered)
		must.Eq(t, 30, got.Completed)
		must.Eq(t, 30, got.CompletedInDeadline)
		must.Eq(t, tokens, got.UsefulTokens)
		must.Eq(t, 30, got.Latency.Count())
	}
	must.Eq(t, 30, report.Classes["caption"].FirstToken.Count())
	must.Eq(t, 120, report.Classes["caption"].InterToken.Count())
}

func event(prompt string, i int) string {
	return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":\"%s \"}}]}\n\n", enginemodel.ExpectedToken(prompt, i))
}

func TestAnswersAreJudged(t *testing.T) {
	prompt := Prompt(&caption, "test-0")
	whole := strings.Builder{}
	for i := range caption.OutputTokens {
		whole.WriteString(event(prompt, i))
	}
	const done = "data: [DONE]\n\n"
	refusal := func(status int, ran string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(status)
			fmt.Fprintf(w, `{"error":{"message":"m","ran":%q}}`, ran)
		}
	}
	text := func(body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, body) }
	}
	hurried, hurriedFrame := caption, frame
	hurried.Deadline, hurriedFrame.Deadline = time.Millisecond, time.Millisecond
	late := event(prompt, 0) + `data: {"error":{"code":"deadline_exceeded","ran":"yes"}}` + "\n\n"
	lateFrame := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(504)
		fmt.Fprint(w, `{"error":{"code":"deadline_exceeded","ran":"unknown"}}`)
	}
	cut := func(body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, body)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	wholeFrame, othersFrame := backend.ExpectedBody("/frame/test-0", nil, 100), backend.ExpectedBody("/frame/test-1", nil, 100)
	cases := map[string]struct {
		item    trace.Item
		handler http.HandlerFunc
		want    Outcome
	}{
		"ended by its deadline":     {hurried, text(late), OutcomeGaveUp},
		"ended before its deadline": {caption, text(late), OutcomeCutShort},
		"late frame":                {hurriedFrame, lateFrame, OutcomeGaveUp},
		"frame given up too early":  {frame, lateFrame, OutcomeUnknown},
		"cut after its deadline":    {hurried, text(event(prompt, 0)), OutcomeCutShort},
		"whole":                     {caption, text(whole.String() + done), OutcomeCompleted},
		"without its end":           {caption, text(whole.String()), OutcomeCutShort},
		"error in the middle":       {caption, text(event(prompt, 0) + `data: {"error":{"ran":"yes"}}` + "\n\n"), OutcomeCutShort},
		"a token missing":           {caption, text(event(prompt, 0) + event(prompt, 2) + done), OutcomeWrong},
		"a token twice":             {caption, text(event(prompt, 0) + whole.String() + done), OutcomeWrong},
		"short but clean":           {caption, text(event(prompt, 0) + done), OutcomeWrong},
		"another's answer":          {caption, text(event("other", 0) + done), OutcomeWrong},
		"not an event":              {caption, text("data: {\n\n"), OutcomeWrong},
		"refused":                   {caption, refusal(503, "no"), OutcomeRefused},
		"refused, too many":         {caption, refusal(429, "no"), OutcomeRefused},
		"rejected":                  {caption, refusal(409, "no"), OutcomeRejected},
		"may have run":              {caption, refusal(502, "unknown"), OutcomeUnknown},
		"error without a body":      {caption, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, OutcomeUnknown},
		"connection broken":         {caption, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, OutcomeUnknown},
		"redirect":                  {caption, func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/", http.StatusTemporaryRedirect) }, OutcomeUnknown},
		"whole frame":               {frame, text(backend.ExpectedBody("/frame/test-0", nil, 100)), OutcomeCompleted},
		"another's frame":           {frame, text(backend.ExpectedBody("/frame/test-1", nil, 100)), OutcomeWrong},
		"half a frame":              {frame, text(backend.ExpectedBody("/frame/test-0", nil, 100)[:60]), OutcomeWrong},
		"frame cut in time":         {frame, cut(wholeFrame[:60]), OutcomeCutShort},
		"frame cut by its deadline": {hurriedFrame, cut(wholeFrame[:60]), OutcomeGaveUp},
		"late half of a frame":      {hurriedFrame, text(wholeFrame[:60]), OutcomeWrong},
		"another's frame, cut":      {hurriedFrame, cut(othersFrame[:60]), OutcomeWrong},
		"stream cut, not told":      {hurried, cut(event(prompt, 0)), OutcomeCutShort},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var seen []Observation
			Play(context.Background(), Config{
				Proxy: serve(t, c.handler), Items: []trace.Item{c.item}, Name: "test",
				Observe: func(o Observation) { seen = append(seen, o) },
			})
			must.Len(t, 1, seen)
			must.Eq(t, c.want, seen[0].Outcome)
		})
	}
}

func TestHeaders(t *testing.T) {
	var header http.Header
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		header = r.Header
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	item := caption
	item.Key, item.RepeatNever = "k1", true
	play(address, item)
	must.Eq(t, "k1", header.Get("Idempotency-Key"))
	must.Eq(t, "never", header.Get("Landingtrail-Repeat"))
	must.Eq(t, "caption", header.Get("Landingtrail-Class"))
	must.Eq(t, "public-app", header.Get("Landingtrail-Tenant"))
	must.NotEq(t, "", header.Get("Landingtrail-Deadline"))
}

func TestRefusedIsSentAgainWhenAsked(t *testing.T) {
	for _, retry := range []bool{false, true} {
		var mu sync.Mutex
		calls := 0
		address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			calls++
			if calls == 1 {
				w.Header().Set("Retry-After", "0.01")
				w.WriteHeader(http.StatusServiceUnavailable)
				fmt.Fprint(w, `{"error":{"ran":"no"}}`)
				return
			}
			fmt.Fprint(w, backend.ExpectedBody("/frame/test-0", nil, 10))
		}))
		report := Play(context.Background(), Config{Proxy: address, Items: []trace.Item{frame}, Name: "test", RetryRefused: retry})
		got := report.Classes["frame"]
		must.Eq(t, 1, got.Offered)
		if retry {
			must.Eq(t, 1, got.Completed)
			must.Eq(t, 1, got.Retries)
		} else {
			must.Eq(t, 1, got.RefusedNotRun)
			must.Eq(t, 1, got.RefusedRetryAfter)
		}
	}
}

func TestGivesUpAndIsInterrupted(t *testing.T) {
	address := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	item := frame
	item.Deadline = time.Millisecond
	report := Play(context.Background(), Config{Proxy: address, Items: []trace.Item{item}, Patience: time.Millisecond})
	must.Eq(t, 1, report.Classes["frame"].GaveUp)

	ctx, stop := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer stop()
	later := frame
	later.At = time.Hour
	report = Play(ctx, Config{Proxy: address, Items: []trace.Item{frame, later}})
	must.Eq(t, 1, report.Classes["frame"].Interrupted)
	must.Eq(t, 1, report.Classes["frame"].Offered)
}

func TestConcurrencyIsBounded(t *testing.T) {
	release := make(chan struct{})
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { <-release }))
	last := frame
	last.Class = "last"
	var once sync.Once
	report := Play(context.Background(), Config{
		Proxy: address, Items: []trace.Item{frame, frame, last}, Concurrency: 2,
		Observe: func(o Observation) {
			if o.Item.Class == "last" {
				once.Do(func() { close(release) })
			}
		},
	})
	must.Eq(t, 1, report.Classes["last"].NotSent)
	must.Eq(t, 2, report.Classes["frame"].Offered)
}

func TestPromptSharesItsPrefix(t *testing.T) {
	first, second := strings.Fields(Prompt(&caption, "a")), strings.Fields(Prompt(&caption, "b"))
	must.Len(t, caption.PromptTokens, first)
	must.Eq(t, first[:caption.PrefixTokens], second[:caption.PrefixTokens])
	must.NotEq(t, first[caption.PrefixTokens], second[caption.PrefixTokens])
	keyed := caption
	keyed.Key = "k"
	must.Eq(t, newCall(&keyed, "a").body, newCall(&keyed, "b").body)
}

func TestReportsMergeThroughJSON(t *testing.T) {
	one := newClassReport()
	one.count(&outcome{kind: OutcomeCompleted, latency: time.Second}, &caption)
	two := newClassReport()
	two.count(&outcome{kind: OutcomeCompleted, latency: 2 * time.Minute}, &caption)
	encoded, err := json.Marshal(Report{Seconds: 2, Classes: map[string]*ClassReport{"caption": two}})
	must.NoError(t, err)
	var read Report
	must.NoError(t, json.Unmarshal(encoded, &read))
	merged := Report{Seconds: 1, Classes: map[string]*ClassReport{"caption": one}}
	merged.Merge(read)
	total := merged.Total()
	must.Eq(t, 2, total.Completed)
	must.Eq(t, 1, total.CompletedInDeadline)
	must.Eq(t, 5, total.UsefulTokens)
	must.Eq(t, 2, total.Latency.Count())
	must.Eq(t, 2.0, merged.Seconds)
}
