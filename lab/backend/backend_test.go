package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/lab/engine/ledger"
	"github.com/landingtrail/landingtrail/lab/platform/labhttp"
)

func TestMain(m *testing.M) {
	flag.Parse()
	goleak.VerifyTestMain(m, goleak.Cleanup(os.Exit))
}

func newServer(t *testing.T, config Config) *Server {
	config.Name = "tilegate-1"
	server, err := NewServer(config)
	must.NoError(t, err)
	return server
}

func call(server *Server, method, path string, body io.Reader) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(method, path, body)
	request.Header.Set(engineapi.HeaderRequestID, "r1")
	server.Handler().ServeHTTP(recorder, request)
	return recorder
}

func events(server *Server, kind ledger.Event) int {
	count := 0
	for _, entry := range server.ledger.After(0).Entries {
		if entry.Event == kind {
			count++
		}
	}
	return count
}

func TestAnswerIsWholeAndOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newServer(t, Config{})
		got := call(server, http.MethodPost, "/frame/7?z=3", strings.NewReader("squall"))
		must.Eq(t, http.StatusOK, got.Code)
		must.Eq(t, "r1", got.Header().Get(engineapi.HeaderRequestID))
		must.Eq(t, "", got.Header().Get(engineapi.HeaderBackendState))
		body := got.Body.String()
		must.Eq(t, ExpectedBody("/frame/7?z=3", []byte("squall"), DefaultBodyBytes), body)
		must.True(t, IsWholeAndOwn("/frame/7?z=3", []byte("squall"), body))
		must.False(t, IsWholeAndOwn("/frame/8?z=3", []byte("squall"), body))
		must.False(t, IsWholeAndOwn("/frame/7?z=3", nil, body))
		must.False(t, IsWholeAndOwn("/frame/7?z=3", []byte("squall"), body[:len(body)-4]))
		must.NoError(t, server.Close())
	})
}

func TestPartOfAnAnswerIsOwn(t *testing.T) {
	whole := ExpectedBody("/frame/7", nil, 100)
	for length := range len(whole) + 1 {
		must.True(t, IsOwnPart("/frame/7", nil, whole[:length]), must.Sprint(length))
	}
	for _, other := range []string{
		whole + "e", whole[1:], whole[:60] + "x", bodyEnd(0),
		strings.Replace(whole, bodyEnd(strings.Count(whole, "frame")), "end 9\n", 1),
		ExpectedBody("/frame/8", nil, 100)[:60],
	} {
		must.False(t, IsOwnPart("/frame/7", nil, other), must.Sprint(other))
	}
}

func TestLeavingServesForTheGraceAndThenRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newServer(t, Config{LeaveGrace: 2 * time.Second})
		must.Eq(t, http.StatusOK, call(server, http.MethodPost, PathLeave, strings.NewReader(`{"leaving":true}`)).Code)
		within := call(server, http.MethodGet, "/a", nil)
		must.Eq(t, http.StatusOK, within.Code)
		must.Eq(t, stateLeaving, within.Header().Get(engineapi.HeaderBackendState))
		time.Sleep(2 * time.Second)
		after := call(server, http.MethodGet, "/a", nil)
		must.Eq(t, http.StatusServiceUnavailable, after.Code)
		must.Eq(t, "no", after.Header().Get(engineapi.HeaderAdmitted))
		must.Eq(t, 1, events(server, ledger.EventStarted))
		must.Eq(t, 1, events(server, ledger.EventRefused))
		must.Eq(t, http.StatusOK, call(server, http.MethodPost, PathLeave, strings.NewReader(`{"leaving":false}`)).Code)
		must.Eq(t, http.StatusOK, call(server, http.MethodGet, "/a", nil).Code)
		must.NoError(t, server.Close())
	})
}

func TestQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newServer(t, Config{Workers: 1, Queue: 1, ServiceTime: time.Second})
		var group sync.WaitGroup
		codes := make([]int, 4)
		for i := range codes {
			group.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				codes[i] = call(server, http.MethodGet, "/a", nil).Code
			})
		}
		group.Wait()
		must.Eq(t, []int{200, 200, 503, 503}, codes)
		must.NoError(t, server.Close())
	})
}

func TestCloseCutsShortAndSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newServer(t, Config{ServiceTime: time.Hour})
		ended := make(chan any, 1)
		go func() {
			defer func() { ended <- recover() }()
			call(server, http.MethodGet, "/a", nil)
		}()
		synctest.Wait()
		must.NoError(t, server.Close())
		must.Eq[any](t, http.ErrAbortHandler, <-ended)
		must.Eq(t, 1, events(server, ledger.EventCutShort))
		must.Eq(t, 0, events(server, ledger.EventFinished))
	})
}

func TestRunDrainsAndStops(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	err := Run(ctx, Config{Listen: "127.0.0.1:0", Name: "tilegate-1", LeaveGrace: time.Millisecond})
	must.NoError(t, err)
}

func TestBadInput(t *testing.T) {
	cases := map[string]struct {
		path   string
		body   io.Reader
		status int
		named  string
	}{
		"unknown field":    {PathLeave, strings.NewReader(`{"leave":true}`), 400, "leave"},
		"wrong type":       {PathLeave, strings.NewReader(`{"leaving":"yes"}`), 400, "leaving"},
		"negative delay":   {PathFault, strings.NewReader(`{"delayMilliseconds":-1}`), 400, "delayMilliseconds"},
		"not JSON":         {PathFault, strings.NewReader(`delay`), 400, "bad JSON"},
		"two values":       {PathFault, strings.NewReader(`{} {}`), 400, "more than one"},
		"oversized work":   {"/frame", bytes.NewReader(make([]byte, labhttp.DefaultBodyLimit+1)), 413, "too large"},
		"oversized string": {PathFault, strings.NewReader(`"` + strings.Repeat("a", labhttp.DefaultBodyLimit) + `"`), 413, "too large"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := newServer(t, Config{})
			got := call(server, http.MethodPost, c.path, c.body)
			must.Eq(t, c.status, got.Code)
			must.StrContains(t, got.Body.String(), c.named)
			must.Eq(t, 0, events(server, ledger.EventStarted))
			must.NoError(t, server.Close())
		})
	}
}

func TestLoadCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newServer(t, Config{})
		call(server, http.MethodGet, "/a", nil)
		var load Load
		must.NoError(t, json.Unmarshal(call(server, http.MethodGet, PathLoad, nil).Body.Bytes(), &load))
		must.Eq(t, Load{Backend: "tilegate-1", State: "live", Served: 1}, load)
		must.NoError(t, server.Close())
	})
}

// TestEveryAnswerNamesItsCall: refusals, reports and errors as well as answers
// to work, so that a client can tell the answers on a connection apart.
func TestEveryAnswerNamesItsCall(t *testing.T) {
	server := newServer(t, Config{LeaveGrace: time.Nanosecond})
	defer func() { must.NoError(t, server.Close()) }()
	must.Eq(t, http.StatusOK, call(server, http.MethodPost, PathLeave, strings.NewReader(`{"leaving":true}`)).Code)
	cases := []struct {
		method, path string
		status       int
	}{
		{http.MethodGet, PathLoad, http.StatusOK},
		{http.MethodGet, "/frame/7", http.StatusServiceUnavailable},
		{http.MethodPut, PathLoad, http.StatusMethodNotAllowed},
		{http.MethodPost, PathFault, http.StatusBadRequest},
	}
	for _, test := range cases {
		answer := call(server, test.method, test.path, strings.NewReader("{"))
		must.Eq(t, test.status, answer.Code)
		must.Eq(t, "r1", answer.Header().Get(engineapi.HeaderRequestID))
	}
}
