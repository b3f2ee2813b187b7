package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// Guards against attributing the load of one replica to another. This can happen if another
// replica answers at the address of one that is gone, and reports its own load.
func TestLoadOfAnotherReplicaIsIgnored(t *testing.T) {
	replica := newFakeReplica(t, "r-1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testID, r.Header.Get(testID))
		w.Header().Set(testLoad, "7")
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	env := newTestEnv(t, replica)
	must.Eq(t, http.StatusServiceUnavailable, env.do(testRequest{method: "GET", target: "/safe/", id: "q"}).status)
	must.Eq(t, 0, env.ingress.upstreams.get("plain").find("r-1").reportedRequests())
}

// A status that promises that the request was not run is passed on only if the replica states so
// explicitly: a replica that fails with such a status may have run the request.
func TestNotRunStatusRequiresTheReplicasStatement(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			env := newTestEnv(t, newFakeReplica(t, "r-1", answerStatus(status)))
			got := env.do(testRequest{method: "POST", target: "/unsafe/", id: "q"})
			must.NoError(t, got.err)
			must.Eq(t, http.StatusBadGateway, got.status)
			must.Eq(t, "", got.header.Get(testGenuine))
		})
	}
}

// A server may send an answer before it has read a request. A refusal that names no request
// therefore proves nothing about a request that is read afterwards, and one that may run only
// once must not be sent again.
func TestRefusalSentBeforeTheRequestProvesNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	var ran atomic.Int32
	var serving sync.WaitGroup
	serving.Go(func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\n"+testNotRun+": 1\r\nContent-Length: 0\r\n\r\n")
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			ran.Add(1)
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		serving.Wait()
	})
	env := newTestEnv(t)
	env.views.set(func(v *view.View) {
		v.Replicas = map[string]*api.Replica{"r-1": {
			Metadata: api.Metadata{Name: "r-1"},
			Spec:     api.ReplicaSpec{Service: "plain", Address: listener.Addr().String(), Zone: "zone-a", Slots: 8},
		}}
	})
	got := env.do(testRequest{method: "POST", target: "/unsafe/", id: "q"})
	eventually(t, "the first replica runs the request", func() bool { return ran.Load() == 1 })
	must.Eq(t, http.StatusBadGateway, got.status, must.Sprint("the request has run, so the answer must not promise that it has not"))
}

// A handle from a replica becomes part of the next request's head. One with a line break would
// add fields, or a request, that no caller sent.
func TestHandleAddsNothingToARequest(t *testing.T) {
	prefiller := newFakeReplica(t, "read", func(w http.ResponseWriter, r *http.Request) {
		writeGenuine(w, r)
		_, _ = io.WriteString(w, `"handle-7\r\nSmuggled: 1"`)
	})
	decoder := newFakeReplica(t, "make", streamEvents(2, ""))
	env := newModelEnv(t, prefiller, decoder, nil)
	env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read", UnreadTokens: 9000}}
	got := env.do(modelRequest)
	must.NoError(t, got.err)
	for _, request := range decoder.requests {
		must.Eq(t, "", request.Header.Get("Smuggled"))
	}
	must.Eq(t, http.StatusOK, got.status)
}

// recordingPlacer records the numbers of the placement requests, and of the progress reports that
// the requests are over.
type recordingPlacer struct {
	placed []uint64
	ended  []uint64
}

func (p *recordingPlacer) Place(_ context.Context, request feed.PlaceRequest) (placement.Answer, error) {
	p.placed = append(p.placed, request.Number)
	return placement.Answer{}, feed.ErrNotPlaced
}

func (p *recordingPlacer) RecordProgress(progress feed.PlacementProgress) bool {
	if progress.Note.Step == placement.StepEnded {
		p.ended = append(p.ended, progress.Number)
	}
	return true
}

// If the control group's decision arrives too late, the proxy places the request by itself under
// another number. Unless the control group is told, its placement board counts the request twice,
// since it drops a request by itself only two seconds after its deadline.
func TestTheGroupIsToldOfAbandonedPlacements(t *testing.T) {
	env := newModelEnv(t, newFakeReplica(t, "read", answerPrefill), newFakeReplica(t, "make", streamEvents(1, "")), nil)
	placer := &recordingPlacer{}
	env.ingress.placer = placer
	must.NoError(t, env.do(modelRequest).err)
	must.SliceLen(t, 1, placer.placed)
	must.SliceContains(t, placer.ended, placer.placed[0])
}
