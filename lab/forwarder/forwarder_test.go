package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestForwarderPassesRequestsAndAnswersOn(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.Method+" "+r.URL.Path+" "+string(body))
	}))
	defer target.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, address, strings.TrimPrefix(target.URL, "http://")) }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var response *http.Response
	for {
		if response, err = client.Post("http://"+address+"/a/b", "text/plain", strings.NewReader("c")); err == nil {
			break
		}
	}
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.Eq(t, "POST /a/b c", string(body))
	stop()
	must.NoError(t, <-ended)
}

func TestForwarderPassesPiecesOnAsTheyCome(t *testing.T) {
	second := make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
		<-second
		_, _ = io.WriteString(w, "second")
	}))
	defer target.Close()
	answer := get(t, target)
	piece := make([]byte, len("first"))
	_, err := io.ReadFull(answer.Body, piece)
	must.NoError(t, err)
	must.Eq(t, "first", string(piece))
	close(second)
	rest, err := io.ReadAll(answer.Body)
	must.NoError(t, err)
	must.Eq(t, "second", string(rest))
}

func TestForwarderCutsAnAnswerThatWasCut(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "begun")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer target.Close()
	answer := get(t, target)
	body, err := io.ReadAll(answer.Body)
	must.Eq(t, "begun", string(body))
	must.Error(t, err)
}

func TestForwarderWithoutATargetAnswersBadGateway(t *testing.T) {
	target := httptest.NewServer(http.NotFoundHandler())
	target.Close()
	must.Eq(t, http.StatusBadGateway, get(t, target).StatusCode)
}

// get asks a forwarder in front of the target.
func get(t *testing.T, target *httptest.Server) *http.Response {
	t.Helper()
	front := httptest.NewServer(newForwarder(strings.TrimPrefix(target.URL, "http://")))
	t.Cleanup(front.Close)
	answer, err := front.Client().Get(front.URL + "/a")
	must.NoError(t, err)
	t.Cleanup(func() { _ = answer.Body.Close() })
	return answer
}
