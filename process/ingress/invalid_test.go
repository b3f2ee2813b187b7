package ingress

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// invalidHeads are heads of answers that net/http accepts, without the line that ends them. Each is followed
// by a length and a body.
var invalidHeads = map[string]func(r *http.Request) string{
	"status 000":             func(r *http.Request) string { return genuineHead(r, "000 Odd") },
	"status 101":             func(r *http.Request) string { return genuineHead(r, "101 Odd") },
	"status 600":             func(r *http.Request) string { return genuineHead(r, "600 Odd") },
	"status 999":             func(r *http.Request) string { return genuineHead(r, "999 Odd") },
	"blank in a name":        func(r *http.Request) string { return genuineHead(r, "200 OK") + "X Odd: 1\r\n" },
	"blank before the colon": func(r *http.Request) string { return genuineHead(r, "200 OK") + "X-Odd : 1\r\n" },
	"hidden length":          func(r *http.Request) string { return genuineHead(r, "200 OK") + "Content-Length : 3\r\n" },
	"hidden chunks":          func(r *http.Request) string { return genuineHead(r, "200 OK") + "Transfer-Encoding : chunked\r\n" },
	"content encoding":       func(r *http.Request) string { return genuineHead(r, "200 OK") + "Content-Encoding: gzip\r\n" },
	"000 before an answer": func(r *http.Request) string {
		return "HTTP/1.1 000 Odd\r\n\r\n" + genuineHead(r, "200 OK")
	},
}

// newInvalidReplica returns a replica whose answers have the head.
func newInvalidReplica(t *testing.T, head func(*http.Request) string) *fakeReplica {
	return newFakeReplica(t, "invalid", func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := w.(http.Hijacker).Hijack()
		must.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, _ = buffered.WriteString(head(r) + "Content-Length: 7\r\n\r\ninvalid")
		_ = buffered.Flush()
	})
}

// Guards against answers that are none (MIXED): a caller gets that of another replica where the request may be
// repeated, and otherwise a failure that promises nothing.
func TestInvalidAnswersAreNotPassedOn(t *testing.T) {
	for name, head := range invalidHeads {
		t.Run(name, func(t *testing.T) {
			var lines sharedBuffer
			invalid := newInvalidReplica(t, head)
			env := newTestEnv(t, invalid)
			env.ingress.logger = log.NewLogfmtLogger(&lines)
			for _, route := range []string{"unsafe", "stream", "safe", "resume"} {
				got := env.do(testRequest{method: "GET", target: "/" + route + "/x", id: "q-" + route})
				must.True(t, got.err != nil || got.status == http.StatusBadGateway, must.Sprint(route, " ", got.status, " ", got.body))
			}
			must.StrContains(t, lines.String(), "name=answer_invalid request=q-unsafe route=unsafe stage=run replica=invalid")
			must.Positive(t, env.ingress.metrics.values(t)["landingtrail_ingress_invalid_answers_total plain run"])
			counted := env.ingress.upstreams.get("plain").find("invalid")
			must.False(t, counted.isSuspect(env.ingress.now()), must.Sprint("the replica is reachable"))
			counted.lock.Lock()
			must.Positive(t, counted.failureRate)
			counted.lock.Unlock()

			env.setReplicas(invalid, newFakeReplica(t, "sound", answerOK))
			for i := range 10 {
				id := fmt.Sprint("s-", i)
				got := env.do(testRequest{method: "GET", target: "/safe/x", id: id})
				must.NoError(t, got.err)
				must.Eq(t, "answer to "+id, got.body)
			}
		})
	}
}

// Guards against a sound answer that is taken for an invalid one: the caller asked for the encoding.
func TestEncodingThatTheCallerAsksForIsPassedOn(t *testing.T) {
	env := newTestEnv(t, newInvalidReplica(t, invalidHeads["content encoding"]))
	got := env.do(testRequest{method: "GET", target: "/unsafe/x", id: "q", fields: map[string]string{"Accept-Encoding": "gzip"}})
	must.NoError(t, got.err)
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, "gzip", got.header.Get("Content-Encoding"))
}

// Guards against a handle of a prefill that comes in an invalid answer: the request runs where it reads its
// prompt itself, and the prefill may count as a send.
func TestHandleInInvalidAnswerIsNotUsed(t *testing.T) {
	prefiller := newInvalidReplica(t, func(r *http.Request) string { return genuineHead(r, "200 OK") + "Content-Length : 3\r\n" })
	decoder := newFakeReplica(t, "make", streamEvents(2, ""))
	env := newTestEnv(t)
	env.views.set(func(v *view.View) {
		v.Replicas = map[string]*api.Replica{
			"invalid": replicaObject(prefiller, "model", api.RolePrefill),
			"make":    replicaObject(decoder, "model", api.RoleDecode),
		}
	})
	got := env.do(modelRequestWithID("q"))
	must.NoError(t, got.err)
	must.Eq(t, eventTexts(1, 2), got.body)
	must.Positive(t, prefiller.count())
	must.Eq(t, "", decoder.requests[0].Header.Get(testSource))
}
