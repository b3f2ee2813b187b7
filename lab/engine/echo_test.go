package engine

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/engineapi"
)

// TestEveryAnswerNamesItsCall: a client can tell the answers on a connection
// apart only if each of them names its call, refusals and errors included.
func TestEveryAnswerNamesItsCall(t *testing.T) {
	f := newFixture(t, nil)
	cases := []struct{ method, path, body string }{
		{http.MethodGet, engineapi.PathLoad, ""},
		{http.MethodGet, engineapi.PathState, ""},
		{http.MethodGet, engineapi.PathModels, ""},
		{http.MethodGet, engineapi.PathCacheEvents, ""},
		{http.MethodGet, engineapi.PathKVBlocks + "?handle=none", ""},
		{http.MethodGet, "/nowhere", ""},
		{http.MethodPut, engineapi.PathLoad, ""},
		{http.MethodPost, engineapi.PathCancel, `{"requestId":"x"}`},
		{http.MethodPost, engineapi.PathCompletions, `{`},
		{http.MethodPost, engineapi.PathCompletions, `{"model":"unknown","prompt":"a"}`},
		{http.MethodPost, engineapi.PathResume, `{"requestId":"x","incarnation":"1"}`},
		{http.MethodPost, engineapi.PathKVExport, `{"requestId":"x","request":{"model":"unknown","prompt":"a"}}`},
		{http.MethodPost, engineapi.PathKVImport, `{}`},
		{http.MethodPost, engineapi.PathOrders, `{}`},
		{http.MethodPost, engineapi.PathVoid, `{}`},
	}
	for _, test := range cases {
		t.Run(test.method+" "+test.path, func(t *testing.T) {
			request := httptest.NewRequest(test.method, test.path, strings.NewReader(test.body))
			request.Header.Set(engineapi.HeaderRequestID, "call")
			request.Header.Set(engineapi.HeaderAttempt, "4")
			recorder := httptest.NewRecorder()
			f.server.Handler().ServeHTTP(recorder, request)
			must.Eq(t, "call", recorder.Header().Get(engineapi.HeaderRequestID))
			must.Eq(t, "4", recorder.Header().Get(engineapi.HeaderAttempt))
		})
	}
}
