package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/lab/engine/ledger"
	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/version/api"
)

func TestMain(m *testing.M) {
	flag.Parse()
	goleak.VerifyTestMain(m, goleak.Cleanup(os.Exit))
}

const (
	testIncarnation = 77
	testSpeed       = 50
)

var mixed = api.Assignment{Model: "narrator", Version: "v1", Role: api.RoleMixed}

// fixture is a stand-in behind an HTTP server of the test.
type fixture struct {
	t      *testing.T
	server *Server
	http   *httptest.Server
	client *http.Client
}

func newFixture(t *testing.T, adjust func(*Config)) *fixture {
	config := Config{Model: enginemodel.DefaultConfig("narrator-1", testIncarnation)}
	config.Model.Assignment = mixed
	config.Model.Speed = testSpeed
	if adjust != nil {
		adjust(&config)
	}
	listener := httptest.NewUnstartedServer(nil)
	config.Model.Address = listener.Listener.Addr().String()
	server, err := NewServer(config)
	must.NoError(t, err)
	listener.Config.Handler = server.Handler()
	listener.Start()
	f := &fixture{t: t, server: server, http: listener, client: listener.Client()}
	t.Cleanup(func() {
		must.NoError(t, server.Close())
		listener.CloseClientConnections()
		listener.Close()
	})
	return f
}

// answer is what a test reads of an HTTP answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error // of reading the body
}

func (f *fixture) do(method, path, body string, header map[string]string) answer {
	f.t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), method, f.http.URL+path, strings.NewReader(body))
	must.NoError(f.t, err)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := f.client.Do(request)
	must.NoError(f.t, err)
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: read, err: err}
}

func (f *fixture) decode(a answer, status int, target any) {
	f.t.Helper()
	must.Eq(f.t, status, a.status, must.Sprintf("body: %s", a.body))
	must.NoError(f.t, json.Unmarshal(a.body, target))
}

func encode(t *testing.T, value any) string {
	encoded, err := json.Marshal(value)
	must.NoError(t, err)
	return string(encoded)
}

func chat(prompt string, tokens int) string {
	return fmt.Sprintf(`{"model":"narrator","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true}`, prompt, tokens)
}

// stream is a parsed stream of events.
type stream struct {
	events []engineapi.StreamEvent
	done   bool
}

func parseStream(t *testing.T, body []byte) stream {
	var parsed stream
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !found:
		case data == "[DONE]":
			parsed.done = true
		default:
			var event engineapi.StreamEvent
			must.NoError(t, json.Unmarshal([]byte(data), &event))
			parsed.events = append(parsed.events, event)
		}
	}
	return parsed
}

func (s stream) text() string {
	var text strings.Builder
	for _, event := range s.events {
		text.WriteString(event.Choices[0].Delta.Content)
	}
	return text.String()
}

func expected(prompt string, from, to int) string {
	var text strings.Builder
	for i := from; i < to; i++ {
		text.WriteString(enginemodel.ExpectedToken(prompt, i) + " ")
	}
	return text.String()
}

func (f *fixture) ledgerEvents(kind ledger.Event) []ledger.Entry {
	var found []ledger.Entry
	for _, entry := range f.server.ledger.After(0).Entries {
		if entry.Event == kind {
			found = append(found, entry)
		}
	}
	return found
}

// await polls until a condition holds; the test's own deadline bounds it.
func (f *fixture) await(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

func TestStreamIsWholeAndOwn(t *testing.T) {
	f := newFixture(t, nil)
	header := map[string]string{
		engineapi.HeaderRequestID: "r1",
		engineapi.HeaderAttempt:   "3",
		ledger.HeaderIdempotency:  "k1",
	}
	a := f.do(http.MethodPost, engineapi.PathChatCompletions, chat("storm over the delta", 20), header)
	must.Eq(t, http.StatusOK, a.status)
	must.Eq(t, "yes", a.header.Get(engineapi.HeaderAdmitted))
	must.Eq(t, "77", a.header.Get(engineapi.HeaderIncarnation))
	must.Eq(t, "serving", a.header.Get(engineapi.HeaderPhase))
	parsed := parseStream(t, a.body)
	must.True(t, parsed.done)
	must.Eq(t, expected("storm over the delta", 0, 20), parsed.text())
	for i, event := range parsed.events {
		must.Eq(t, "r1", event.ID)
		must.Eq(t, uint32(3), event.Attempt)
		must.Eq(t, i, event.Offset)
		must.Eq(t, uint64(testIncarnation), event.Incarnation)
	}
	last := parsed.events[len(parsed.events)-1]
	must.Eq(t, &engineapi.Usage{PromptTokens: 4, CompletionTokens: 20, TotalTokens: 24}, last.Usage)
	finished := f.ledgerEvents(ledger.EventFinished)
	must.Len(t, 1, finished)
	must.Eq(t, "k1", finished[0].Key)
	must.Eq(t, 20, finished[0].Tokens)
}

func TestWholeAnswer(t *testing.T) {
	f := newFixture(t, nil)
	var whole engineapi.StreamEvent
	f.decode(f.do(http.MethodPost, engineapi.PathCompletions, `{"model":"narrator","prompt":"a b","max_tokens":5,"temperature":0.2}`, nil), http.StatusOK, &whole)
	must.Eq(t, expected("a b", 0, 5), whole.Choices[0].Text)
	must.Eq(t, 5, whole.Usage.CompletionTokens)
}
