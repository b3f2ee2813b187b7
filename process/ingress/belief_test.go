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

// Seen: a replica is passed over, or drawn, by the load of another one. It comes about where
// another replica answers at the address of one that is gone, and says how busy it is itself.
// Proof: what a replica that was not asked says of its load counts for nobody.
func TestLoadOfAnotherReplicaIsNotBelieved(t *testing.T) {
	replica := newFakeReplica(t, "r-1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testID, r.Header.Get(testID))
		w.Header().Set(testLoad, "7")
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	w := newWorld(t, replica)
	must.Eq(t, http.StatusServiceUnavailable, w.ask(asked{method: "GET", target: "/safe/", id: "q"}).status)
	must.Eq(t, 0, w.ingress.upstreams.get("plain").find("r-1").told())
}

// A status that promises that the request was not run is passed on only with the replica's
// word that it has not: a replica that fails with such a status may have run the request.
func TestPromiseOfNotRunNeedsTheWordOfTheReplica(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			w := newWorld(t, newFakeReplica(t, "r-1", answerStatus(status)))
			got := w.ask(asked{method: "POST", target: "/unsafe/", id: "q"})
			must.NoError(t, got.err)
			must.Eq(t, http.StatusBadGateway, got.status)
			must.Eq(t, "", got.header.Get(testGenuine))
		})
	}
}

// A server may speak before it has read a request: a refusal that names nobody says nothing
// of the one that it has not read yet. Seen by reading; the product's own data path asks for
// the name. Proof: a request that may run once is not sent again behind such a refusal.
func TestRefusalBeforeTheRequestIsNotBelieved(t *testing.T) {
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
	w := newWorld(t)
	w.views.set(func(v *view.View) {
		v.Replicas = map[string]*api.Replica{"r-1": {
			Metadata: api.Metadata{Name: "r-1"},
			Spec:     api.ReplicaSpec{Service: "plain", Address: listener.Addr().String(), Zone: "zone-a", Slots: 8},
		}}
	})
	got := w.ask(asked{method: "POST", target: "/unsafe/", id: "q"})
	eventually(t, "the first replica runs it", func() bool { return ran.Load() == 1 })
	must.Eq(t, http.StatusBadGateway, got.status, must.Sprint("it has run, and a promise says that it has not"))
}

// What a replica names as a handle goes into the head of the next request as it stands: one
// with a line end in it would add fields, or a request, that no caller sent.
func TestHandleAddsNothingToARequest(t *testing.T) {
	reader := newFakeReplica(t, "read", func(w http.ResponseWriter, r *http.Request) {
		genuine(w, r)
		_, _ = io.WriteString(w, `"handle-7\r\nSmuggled: 1"`)
	})
	generator := newFakeReplica(t, "make", streamEvents(2, ""))
	w := newModelWorld(t, reader, generator, nil)
	w.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read", Unread: 9000}}
	got := w.ask(modelRequest)
	must.NoError(t, got.err)
	for _, request := range generator.requests {
		must.Eq(t, "", request.Header.Get("Smuggled"))
	}
	must.Eq(t, http.StatusOK, got.status)
}

// tellingPlacer keeps which requests the group was asked for and told of.
type tellingPlacer struct {
	asked []uint64
	ended []uint64
}

func (p *tellingPlacer) Place(_ context.Context, request feed.PlaceRequest) (placement.Answer, error) {
	p.asked = append(p.asked, request.Number)
	return placement.Answer{}, feed.ErrNotPlaced
}

func (p *tellingPlacer) NotePlaced(note feed.PlaceNote) bool {
	if note.Note.Step == placement.StepEnded {
		p.ended = append(p.ended, note.Number)
	}
	return true
}

// The group may have placed a request whose answer came too late for this proxy, which has
// placed it by itself then, under another number. Unless it is told, the board counts the
// request twice until its deadline and two seconds more.
func TestTheGroupIsToldOfPlacesThatNobodyTakes(t *testing.T) {
	w := newModelWorld(t, newFakeReplica(t, "read", readPrompt), newFakeReplica(t, "make", streamEvents(1, "")), nil)
	placer := &tellingPlacer{}
	w.ingress.placer = placer
	must.NoError(t, w.ask(modelRequest).err)
	must.SliceLen(t, 1, placer.asked)
	must.SliceContains(t, placer.ended, placer.asked[0])
}
