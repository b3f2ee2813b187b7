package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// newUnreadingReplica returns a replica that reads the head of a request alone before it answers.
func newUnreadingReplica(t *testing.T, name string, answer func(conn *net.TCPConn, r *http.Request)) *fakeReplica {
	t.Helper()
	replica := &fakeReplica{name: name}
	replica.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		replica.lock.Lock()
		replica.requests = append(replica.requests, r)
		replica.lock.Unlock()
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close() }()
		answer(conn.(*net.TCPConn), r)
	}))
	t.Cleanup(replica.server.Close)
	return replica
}

const uploadBytes = 4 << 20

// withUploads lets callers send bodies of uploadBytes.
func (env *testEnv) withUploads() {
	env.views.set(func(v *view.View) {
		changed := testIngress()
		changed.Spec.Limits.MaxBodyBytes = uploadBytes
		v.Ingresses = map[string]*api.Ingress{api.IngressName: changed}
	})
}

// Guards against a part of an answer that the caller gets as a whole one (MIXED): the replica answers before
// it has read a long body, without a length, and resets the connection while the body is being written.
func TestAnswerResetDuringUploadIsNotPassedOnAsWhole(t *testing.T) {
	upload := strings.Repeat("u", uploadBytes)
	for _, head := range []string{"", "Content-Type: text/event-stream\r\n"} {
		resetting := newUnreadingReplica(t, "resetting", func(conn *net.TCPConn, r *http.Request) {
			_, _ = io.WriteString(conn, genuineHead(r, "200 OK")+head+"\r\n"+eventText(1))
			_ = conn.SetLinger(0) // Close resets the connection
		})
		env := newTestEnv(t, resetting)
		env.withUploads()
		for _, route := range []string{"safe", "unsafe", "stream", "resume"} {
			for i := range 10 {
				got := env.do(testRequest{method: "POST", target: "/" + route + "/x", id: fmt.Sprint(route, "-", i), body: upload})
				must.True(t, got.err != nil || got.status >= http.StatusInternalServerError,
					must.Sprintf("%s %q: status %d with %q as a whole answer", route, head, got.status, got.body))
			}
		}
		must.Positive(t, resetting.count())
	}
}

// Guards against the opposite: an answer whose end is marked holds, although its replica has not read the
// whole body.
func TestMarkedAnswerToUnreadUploadIsPassedOn(t *testing.T) {
	upload := strings.Repeat("u", uploadBytes)
	for _, rest := range []string{"Content-Length: 5\r\n\r\nwhole", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"} {
		early := newUnreadingReplica(t, "early", func(conn *net.TCPConn, r *http.Request) {
			_, _ = io.WriteString(conn, genuineHead(r, "200 OK")+rest)
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		})
		env := newTestEnv(t, early)
		env.withUploads()
		got := env.do(testRequest{method: "POST", target: "/unsafe/x", id: "q", body: upload})
		must.NoError(t, got.err)
		must.Eq(t, http.StatusOK, got.status)
		must.Eq(t, "whole", got.body)
	}
}
