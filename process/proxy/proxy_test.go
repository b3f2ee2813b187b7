package proxy

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/engineapi"
)

func TestStreamedCompletion(t *testing.T) {
	f := startFleet(t, fastConfig(), []*fakeEngine{newFakeEngine(t, "e1", 11)})
	answer := f.stream()
	must.Eq(t, http.StatusOK, answer.status)
	words, whole := answer.tokens()
	must.True(t, whole)
	must.Eq(t, []string{"e1-0", "e1-1", "e1-2"}, words)
}

func TestWholeCompletion(t *testing.T) {
	f := startFleet(t, fastConfig(), []*fakeEngine{newFakeEngine(t, "e1", 11)})
	answer := f.do(http.MethodPost, engineapi.PathCompletions, bufferedBody)
	must.Eq(t, http.StatusOK, answer.status)
	must.StrContains(t, answer.body, `"text":"e1-0 e1-1 e1-2 "`)
	must.Eq(t, "application/json", answer.header.Get("Content-Type"))
}

func TestModels(t *testing.T) {
	f := startFleet(t, fastConfig(), nil)
	answer := f.do(http.MethodGet, engineapi.PathModels, "")
	must.Eq(t, http.StatusOK, answer.status)
	must.StrContains(t, answer.body, `"id":"llm"`)
}
