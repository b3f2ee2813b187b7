package ingress

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// Guards against using an answer that belongs to another request. A faulty replica may send a
// surplus answer on a kept-alive connection, after the proxy has checked the idle connection and
// before the answer to the proxy's request. When only answers to runs were compared with the
// request's ID, the proxy took a surplus answer for that to its prefill, and a stream continued
// from the prompt of another request. The tests below send the surplus answer when the next
// request arrives, so that they do not depend on timing.

// surplusReplica answers the first request on a connection with answer. For a further one on the
// same connection it sends the surplus answer before its own.
type surplusReplica struct {
	answer  func(r *http.Request) string // complete, as sent over the connection
	surplus func(earlier *http.Request) string
	// silent, if not nil, withholds the replica's own answer: the connection stays open until the
	// channel is closed, and then ends without it.
	silent <-chan struct{}

	lock    sync.Mutex
	earlier map[string]*http.Request // by the remote address of the connection
}

// newSurplusReplica returns a surplusReplica that always sends its own answer.
func newSurplusReplica(t *testing.T, name string, answer, surplus func(*http.Request) string) *fakeReplica {
	return newSilentReplica(t, name, answer, surplus, nil)
}

// newSilentReplica returns a surplusReplica that does not send its own answer after a surplus one:
// it leaves the connection open until silent is closed.
func newSilentReplica(t *testing.T, name string, answer, surplus func(*http.Request) string, silent <-chan struct{}) *fakeReplica {
	s := &surplusReplica{answer: answer, surplus: surplus, silent: silent, earlier: map[string]*http.Request{}}
	return newFakeReplica(t, name, s.serve)
}

func (s *surplusReplica) serve(w http.ResponseWriter, r *http.Request) {
	s.lock.Lock()
	earlier := s.earlier[r.RemoteAddr]
	s.earlier[r.RemoteAddr] = r
	s.lock.Unlock()
	if earlier == nil {
		w.Header().Set(testID, r.Header.Get(testID))
		w.Header().Set(testGenuine, "signature")
		_, _ = fmt.Fprint(w, s.answer(r))
		return
	}
	hijack(func(conn net.Conn) {
		_, _ = fmt.Fprint(conn, s.surplus(earlier))
		if s.silent != nil {
			<-s.silent
			return
		}
		_, _ = fmt.Fprint(conn, wireAnswer(r, s.answer(r)))
	})(w, r)
}

// wireAnswer returns a complete answer to the request, head and body, as sent on the connection.
func wireAnswer(r *http.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signature\r\nContent-Length: %d\r\n\r\n%s",
		testID, r.Header.Get(testID), testGenuine, len(body), body)
}

// handles generates the answers to prefills. The handle in each contains the request's ID and the
// number of the prefill for that request.
type handles struct {
	lock     sync.Mutex
	prefills map[string]int
}

func newHandles() *handles { return &handles{prefills: map[string]int{}} }

func (h *handles) next(r *http.Request) string {
	h.lock.Lock()
	defer h.lock.Unlock()
	id := r.Header.Get(testID)
	h.prefills[id]++
	return handleBody(id, h.prefills[id])
}

func handleBody(id string, prefill int) string {
	return fmt.Sprintf("%q", fmt.Sprintf("%s-%d", id, prefill))
}

// firstHandle repeats the answer to a request's first prefill.
func firstHandle(r *http.Request) string { return wireAnswer(r, handleBody(r.Header.Get(testID), 1)) }

// scriptedPlacer returns its answers in sequence.
type scriptedPlacer struct {
	lock    sync.Mutex
	answers []placement.Answer
}

func (p *scriptedPlacer) Place(context.Context, feed.PlaceRequest) (placement.Answer, error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if len(p.answers) == 0 {
		return placement.Answer{}, feed.ErrNotPlaced
	}
	next := p.answers[0]
	p.answers = p.answers[1:]
	return next, nil
}

func (p *scriptedPlacer) RecordProgress(feed.PlacementProgress) bool { return true }

func modelRequestWithID(id string) testRequest {
	request := modelRequest
	request.id = id
	return request
}

func TestPrefillIgnoresAHandleOfAnotherRequest(t *testing.T) {
	prefiller := newSurplusReplica(t, "read", newHandles().next, firstHandle)
	decoder := newFakeReplica(t, "make", streamEvents(2, ""))
	env := newModelEnv(t, prefiller, decoder, nil)
	env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
	for _, id := range []string{"first", "second"} {
		must.Eq(t, eventTexts(1, 2), env.do(modelRequestWithID(id)).body)
	}
	must.Eq(t, 2, prefiller.count())
	for _, run := range decoder.requests {
		own := prefiller.address() + "/" + run.Header.Get(testID) + "-1"
		must.SliceContains(t, []string{own, ""}, run.Header.Get(testSource))
	}
}

// The request ID does not distinguish the prefills of one request: the prompt that was prefilled
// for its first attempt may be gone by the second.
func TestPrefillIgnoresAHandleOfAnEarlierPrefill(t *testing.T) {
	prefiller := newSurplusReplica(t, "read", newHandles().next, firstHandle)
	refusing := newFakeReplica(t, "make-1", refuseRun)
	decoder := newFakeReplica(t, "make-2", streamEvents(2, ""))
	env := newModelEnv(t, prefiller, refusing, decoder)
	env.ingress.placer = &scriptedPlacer{answers: []placement.Answer{
		{Generator: "make-1", Reader: "read"}, {Generator: "make-2", Reader: "read"},
	}}
	must.Eq(t, eventTexts(1, 2), env.do(modelRequestWithID("q")).body)
	must.Eq(t, 2, prefiller.count())
	must.Eq(t, prefiller.address()+"/q-1", refusing.requests[0].Header.Get(testSource))
	must.Eq(t, prefiller.address()+"/q-2", decoder.requests[0].Header.Get(testSource))
}

// A refusal that names no request, after the answer to another one, does not prove that this
// request has not run; it may run only once.
func TestRefusalWithoutARequestIDIsIgnoredOnAUsedConnection(t *testing.T) {
	refusal := func(*http.Request) string {
		return "HTTP/1.1 503 Service Unavailable\r\n" + testNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
	}
	first := newSurplusReplica(t, "r-1", func(r *http.Request) string { return "answer to " + r.Header.Get(testID) }, refusal)
	env := newTestEnv(t, first)
	must.Eq(t, http.StatusOK, env.do(testRequest{method: "POST", target: "/unsafe/", id: "q-1"}).status)
	second := newFakeReplica(t, "r-2", answerOK)
	first.server.Config.Handler = callFirst(first.server.Config.Handler, func() { env.setReplicas(first, second) })
	got := env.do(testRequest{method: "POST", target: "/unsafe/", id: "q-2"})
	must.Eq(t, 2, first.count())
	must.Eq(t, 0, second.count(), must.Sprint("the request must not run twice"))
	must.True(t, got.status != http.StatusServiceUnavailable, must.Sprint("the request has run and must not be reported as not run"))
}

// An answer that names another request is logged with the ID of that request.
func TestUnmatchedResponsesAreLoggedAndCounted(t *testing.T) {
	var lines sharedBuffer
	env := newTestEnv(t, newFakeReplica(t, "r-1", answerUnmatched))
	env.ingress.logger = log.NewLogfmtLogger(&lines)
	env.do(testRequest{method: "GET", target: "/unsafe/", id: "q"})
	must.StrContains(t, lines.String(), "name=answer_foreign request=q stage=run replica=r-1 reused=false answered=another status=200")
	must.Eq(t, 1, env.ingress.metrics.values(t)["landingtrail_ingress_foreign_answers_total plain run"])
	must.False(t, env.ingress.upstreams.get("plain").find("r-1").isSuspect(env.ingress.now()), must.Sprint("the replica is reachable"))
}

// A replica that answers another request is neither avoided nor reported as silent, and a prefill
// sent to it may count as a send.
func TestReplicaThatAnswersAnotherRequestIsNotSilent(t *testing.T) {
	prefiller := newFakeReplica(t, "read", answerUnmatched)
	decoder := newFakeReplica(t, "make", streamEvents(2, ""))
	env := newModelEnv(t, prefiller, decoder, nil)
	placer := &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
	env.ingress.placer = placer
	env.withReserve(2)
	for range 10 {
		must.Eq(t, eventTexts(1, 2), env.do(modelRequest).body)
	}
	must.Eq(t, 2, prefiller.count(), must.Sprint("each prefill may count as a second send"))
	upstream := env.ingress.upstreams.get("model")
	must.False(t, upstream.find("read").isSuspect(env.ingress.now()))
	must.SliceNotContains(t, placer.steps(), placement.StepFailed)
}

// A replica that stalls in the middle of a surplus answer is treated as silent.
func TestReplicaThatFallsSilentWithinASurplusAnswerIsSuspect(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	hang := func(earlier *http.Request) string {
		return "HTTP/1.1 200 OK\r\n" + testID + ": " + earlier.Header.Get(testID) + "\r\nContent-Length: 100\r\n\r\nold"
	}
	first := newSilentReplica(t, "r-1", func(r *http.Request) string { return "answer to " + r.Header.Get(testID) }, hang, release)
	second := newFakeReplica(t, "r-2", answerOK)
	env := newTestEnv(t, first)
	must.Eq(t, http.StatusOK, env.do(testRequest{method: "GET", target: "/safe/", id: "q-1"}).status)
	current := env.ingress.upstreams.get("plain").find("r-1")
	first.server.Config.Handler = callFirst(first.server.Config.Handler, func() { env.setReplicas(first, second) })
	got := env.do(testRequest{method: "GET", target: "/safe/", id: "q-2"})
	must.Eq(t, "answer to q-2", got.body)
	must.Eq(t, 1, second.count())
	must.True(t, current.isSuspect(env.ingress.now()))
}

// By the time of the run another replica may have the address of a prefill replica that is gone.
func TestHandleOfAReplicaThatIsGoneIsNotUsed(t *testing.T) {
	prefiller := newFakeReplica(t, "read", answerPrefill)
	decoder := newFakeReplica(t, "make", streamEvents(2, ""))
	env := newModelEnv(t, prefiller, decoder, nil)
	prefiller.server.Config.Handler = callFirst(prefiller.server.Config.Handler, func() {
		env.views.set(func(v *view.View) {
			v.Replicas = map[string]*api.Replica{"make": replicaObject(decoder, "model", api.RoleDecode)}
		})
	})
	env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read"}}
	must.Eq(t, eventTexts(1, 2), env.do(modelRequestWithID("q")).body)
	must.Eq(t, 1, prefiller.count())
	must.Eq(t, "", decoder.requests[0].Header.Get(testSource))
}
