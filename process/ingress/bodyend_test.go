package ingress

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// unmarkedAnswer returns a replica whose answers have neither a length nor chunks and end with their
// connection. If crashes is set, the replica ends after the first last events of a run, or bytes of a
// plain answer.
func unmarkedAnswer(t *testing.T, name string, last int, crashes bool) *fakeReplica {
	var replica *fakeReplica
	replica = newFakeReplica(t, name, func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := w.(http.Hijacker).Hijack()
		must.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signature\r\nConnection: close\r\n", testID, r.Header.Get(testID), testGenuine)
		if r.Header.Get(testTokens) == "" {
			_, _ = io.WriteString(buffered, "\r\n"+strings.Repeat("b", last))
		} else {
			first, _ := strconv.Atoi(r.Header.Get(testResume))
			_, _ = io.WriteString(buffered, "Content-Type: text/event-stream\r\n\r\n"+eventTexts(first+1, last))
		}
		_ = buffered.Flush()
		if crashes {
			_ = replica.server.Listener.Close()
		}
	})
	return replica
}

// Guards against an answer that is cut short by its replica's crash and passed on as a whole one, because
// nothing but the connection's end marks its end: streams go on elsewhere, plain answers are asked for
// again, and what may not be repeated breaks off visibly or fails.
func TestAnswerThatEndsWithItsReplicaIsNotComplete(t *testing.T) {
	const whole = 6
	for _, events := range []int{0, 1, 3} {
		env := newTestEnv(t)
		env.withLongObjective()
		crashing, sound := unmarkedAnswer(t, "crashing", events, true), unmarkedAnswer(t, "sound", whole, false)
		env.setVersionedReplicas(map[*fakeReplica]string{crashing: "v1", sound: "v1"})
		for i := range 10 {
			request := modelRequest
			request.id = fmt.Sprint("q-", i)
			got := env.do(request)
			must.NoError(t, got.err)
			must.Eq(t, eventTexts(1, whole), got.body, must.Sprintf("%d events before the crash", events))
		}
		must.Positive(t, crashing.count())
	}
	for _, length := range []int{0, 5, 100_000} {
		for _, path := range []string{"/safe/x", "/unsafe/x"} {
			env := newTestEnv(t, unmarkedAnswer(t, "crashing", length, true))
			got := env.do(testRequest{method: "GET", target: path, id: "q"})
			must.True(t, got.err != nil || got.status == http.StatusBadGateway, must.Sprintf("%s with %d bytes: %d %d", path, length, got.status, len(got.body)))
		}
	}
}

// Guards against the opposite: answers of replicas that run on are complete.
func TestAnswerThatEndsWithItsConnectionAloneIsComplete(t *testing.T) {
	for _, length := range []int{0, 5, 100_000} {
		env := newTestEnv(t, unmarkedAnswer(t, "sound", length, false))
		got := env.do(testRequest{method: "GET", target: "/safe/x", id: "q"})
		must.NoError(t, got.err)
		must.Eq(t, http.StatusOK, got.status)
		must.Eq(t, length, len(got.body))
	}
}

// Guards against a whole answer that is taken for a broken one because the replica, which runs on, has reset the
// connection of another request meanwhile.
func TestResetOfAnotherRequestLeavesAnswerComplete(t *testing.T) {
	begun, reset := make(chan struct{}), make(chan struct{})
	replica := newFakeReplica(t, "resets", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Test-Sort") == "reset" {
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path == testStatusPath {
			http.NotFound(w, r)
			return
		}
		conn, buffered, err := w.(http.Hijacker).Hijack()
		must.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signature\r\nConnection: close\r\n\r\nwhole", testID, r.Header.Get(testID), testGenuine)
		_ = buffered.Flush()
		close(begun)
		<-reset
	})
	env := newTestEnv(t, replica)
	answers := make(chan testResponse, 1)
	go func() { answers <- env.do(testRequest{method: "GET", target: "/unsafe/x", id: "q"}) }()
	<-begun
	env.do(testRequest{method: "GET", target: "/unsafe/y", id: "other", fields: map[string]string{"Test-Sort": "reset"}})
	close(reset)
	got := <-answers
	must.NoError(t, got.err)
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, "whole", got.body)
}
