package exchange

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// In these tests the server sends unsolicited bytes only after the second request of a
// connection has arrived, so that the check of an idle connection cannot detect them.

// responseTo returns a complete response that names the request ID; none if it is empty.
func responseTo(id, body string) string {
	named := ""
	if id != "" {
		named = idField + ": " + id + "\r\n"
	}
	return "HTTP/1.1 200 OK\r\n" + named + "Content-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func TestOnlyMatchingResponseIsReturned(t *testing.T) {
	long := "HTTP/1.1 200 OK\r\nId: first\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n"
	cases := []struct {
		name   string
		second func(net.Conn)
		body   string // empty if the request fails
	}{
		{"surplus before own response", respond(responseTo("first", "old") + okResponse), "ok"},
		{"chunked surplus", respond(long + okResponse), "ok"},
		{"surplus without a body", respond("HTTP/1.1 503 Busy\r\nId: first\r\nContent-Length: 0\r\n\r\n" + okResponse), "ok"},
		{"several", respond(strings.Repeat(responseTo("first", "old"), maxSkipped) + okResponse), "ok"},
		{"too many", respond(strings.Repeat(responseTo("first", "old"), maxSkipped+1) + okResponse), ""},
		{"only a surplus response", respondAndClose(responseTo("first", "old")), ""},
		{"surplus that ends its connection", respondAndClose("HTTP/1.1 200 OK\r\nId: first\r\n\r\nold"), ""},
		{"surplus that names no request", respond(responseTo("", "old") + okResponse), ""},
		{"truncated surplus", respondAndClose("HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 9\r\n\r\nold"), ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := newScriptedServer(t, respond(okResponse), test.second, respond(okResponse))
			pool := newPool(t)
			_, err := fetch(t, pool, server.address(), newGetWithID("first", "/1"))
			must.NoError(t, err)
			body, err := fetch(t, pool, server.address(), newGetWithID("second", "/2"))
			must.Eq(t, test.body, body)
			must.Eq(t, test.body == "", err != nil)
			must.False(t, pool.HasIdle(server.address()), must.Sprint("a connection that carried a surplus response was kept"))
			body, err = fetch(t, pool, server.address(), newGet("/3"))
			must.NoError(t, err)
			must.Eq(t, "ok", body)
		})
	}
}

func TestUnmatchedResponsesAreReported(t *testing.T) {
	server := newScriptedServer(t, respond(okResponse), respond(responseTo("first", "old")+okResponse), respond(responseTo("other", "x")))
	pool := newPool(t)
	_, err := fetch(t, pool, server.address(), newGetWithID("first", "/1"))
	must.NoError(t, err)
	response, err := pool.Do(t.Context(), server.address(), newGetWithID("second", "/2"))
	must.NoError(t, err)
	head := http.Header{"Content-Length": {"3"}, "Id": {"first"}}
	must.Eq(t, []*UnmatchedResponse{{RequestID: "first", Status: http.StatusOK, Header: head}}, response.Unmatched)
	response.Close()

	// On a connection that has carried no other request, no matching response is expected
	// to follow.
	_, err = pool.Do(t.Context(), server.address(), newGetWithID("third", "/3"))
	var failure *Failure
	must.True(t, errors.As(err, &failure))
	must.True(t, failure.Sent)
	head = http.Header{"Content-Length": {"1"}, "Id": {"other"}}
	must.Eq(t, []*UnmatchedResponse{{RequestID: "other", Status: http.StatusOK, Header: head}}, failure.Unmatched)
	var unmatched *UnmatchedResponse
	must.True(t, errors.As(err, &unmatched))
	must.Eq(t, "other", unmatched.RequestID)
}

// A retried request has the same ID as before. The response to its first send must not
// be taken for that to the retry, however many requests were sent in between.
func TestRepeatedRequestUsesNewConnection(t *testing.T) {
	server := newScriptedServer(t, respond(okResponse), respond(okResponse), respond(okResponse), respond(okResponse))
	pool := newPool(t)
	repeated := newGetWithID("a", "/")
	repeated.Identity.Repeated = true
	for _, request := range []*Request{newGetWithID("a", "/"), newGetWithID("b", "/"), repeated, newGetWithID("c", "/")} {
		_, err := fetch(t, pool, server.address(), request)
		must.NoError(t, err)
	}
	server.lock.Lock()
	defer server.lock.Unlock()
	must.SliceLen(t, 2, server.conns)
}

// The response to a request without an ID cannot be told from a surplus one. Nor can the
// end of a surplus response be found if it may belong to an earlier HEAD request.
func TestRequestsThatShareNoConnection(t *testing.T) {
	unnamed := &Request{Method: http.MethodDelete, Target: "/", Host: "h", Header: http.Header{}}
	head := newGetWithID("head", "/")
	head.Method = http.MethodHead
	for name, dedicated := range map[string]*Request{"without an ID": unnamed, "HEAD": head} {
		t.Run(name, func(t *testing.T) {
			headOnly := respond("HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 0\r\n\r\n")
			server := newScriptedServer(t, headOnly, respond(okResponse), headOnly, respond(okResponse))
			pool := newPool(t)
			for i, request := range []*Request{dedicated, newGet("/"), dedicated, newGet("/")} {
				response, err := pool.Do(t.Context(), server.address(), request)
				must.NoError(t, err)
				must.Eq(t, i == 3, response.Reused)
				_, err = io.Copy(io.Discard, response)
				must.NoError(t, err)
				response.Close()
				must.Eq(t, i != 0, pool.HasIdle(server.address()))
			}
		})
	}
}

// Do must not wait for its own response if the surplus response ends the connection or
// is too long to skip.
func TestNoWaitAfterSurplusResponseThatEndsConnection(t *testing.T) {
	long := strings.Repeat("10000\r\n"+strings.Repeat("x", 1<<16)+"\r\n", maxSkippedBytes>>16+1)
	for name, head := range map[string]string{
		"no length":      "\r\nold",
		"closing":        "Connection: close\r\nContent-Length: 100\r\n\r\nold",
		"named too long": "Content-Length: 2000000\r\n\r\nold",
		"too long":       "Transfer-Encoding: chunked\r\n\r\n" + long,
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			second := func(conn net.Conn) {
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nId: first\r\n" + head))
				<-release
			}
			server := newScriptedServer(t, respond(okResponse), second)
			pool := newPool(t)
			_, err := fetch(t, pool, server.address(), newGetWithID("first", "/"))
			must.NoError(t, err)
			_, err = fetch(t, pool, server.address(), newGetWithID("second", "/"))
			close(release)
			var unmatched *UnmatchedResponse
			must.True(t, errors.As(err, &unmatched))
		})
	}
}

// If the server stalls in the middle of a surplus response, the cause of the failure is
// the stall and not the surplus response, which is only reported in Failure.Unmatched.
func TestStallDuringSurplusResponse(t *testing.T) {
	release := make(chan struct{})
	begun := make(chan struct{})
	server := newScriptedServer(t, respond(okResponse), func(conn net.Conn) {
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 100\r\n\r\nold"))
		close(begun)
		<-release
	})
	defer close(release)
	pool := newPool(t)
	_, err := fetch(t, pool, server.address(), newGetWithID("first", "/"))
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-begun
		// The surplus header is usually read first; cancellation before that must give the
		// same result.
		time.Sleep(50 * time.Millisecond)
		cancel()
	}()
	_, err = pool.Do(ctx, server.address(), newGetWithID("second", "/"))
	var unmatched *UnmatchedResponse
	must.Error(t, err)
	must.False(t, errors.As(err, &unmatched))
}

func TestResponseHeaderSizeIsLimited(t *testing.T) {
	padded := func(size int) string {
		return "HTTP/1.1 200 OK\r\nId: {id}\r\nPadding: " + strings.Repeat("x", size) + "\r\nContent-Length: 2\r\n\r\nok"
	}
	for name, response := range map[string]string{
		"one head":      padded(DefaultMaxHeaderBytes + readBufferBytes),
		"informational": strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", DefaultMaxHeaderBytes/20) + okResponse,
		"within bounds": padded(DefaultMaxHeaderBytes / 2),
	} {
		t.Run(name, func(t *testing.T) {
			server := newScriptedServer(t, respond(response))
			_, err := fetch(t, newPool(t), server.address(), newGet("/"))
			must.Eq(t, name != "within bounds", errors.Is(err, errHeaderTooLarge))
		})
	}
}

// A connection that is in use when its address is dropped leads to the replica that ran
// there before and must not be used for the next one.
func TestConnectionInUseIsClosedAfterDrop(t *testing.T) {
	server := newScriptedServer(t, respond(okResponse))
	pool := newPool(t)
	response, err := pool.Do(t.Context(), server.address(), newGet("/"))
	must.NoError(t, err)
	pool.Drop(server.address())
	_, err = io.ReadAll(response)
	must.NoError(t, err)
	response.Close()
	must.False(t, pool.HasIdle(server.address()))
}

// Responses that follow one to another request, which ends the exchange, cannot be matched
// to any request, but their headers come from the server and are passed to OnLateResponse.
func TestHeadersAfterUnmatchedResponseAreReported(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nId: second\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"
	server := newScriptedServer(t, respond(okResponse), respond("HTTP/1.1 400 Bad Request\r\nContent-Length: 4\r\n\r\nnone"+refusal))
	pool := newPool(t)
	_, err := fetch(t, pool, server.address(), newGetWithID("first", "/1"))
	must.NoError(t, err)
	reported := make(chan string, 1)
	request := newGetWithID("second", "/2")
	request.OnLateResponse = func(status int, header http.Header) {
		reported <- fmt.Sprintf("%d %s", status, header.Get("Retry-After"))
	}
	_, err = pool.Do(t.Context(), server.address(), request)
	var unmatched *UnmatchedResponse
	must.True(t, errors.As(err, &unmatched))
	must.Eq(t, "503 3", <-reported)
	must.False(t, pool.HasIdle(server.address()))
}

// A refusal with Retry-After that arrives just after the request was canceled or timed out
// must reach OnLateResponse. If the connection were closed immediately, the refusal would be lost
// and the replica would get further requests during the pause it asked for: 3 requests in
// 1.4 s in one run, for which this cause is an inference.
func TestLateResponseIsReportedAfterCancellation(t *testing.T) {
	canceled := make(chan struct{})
	server := newScriptedServer(t, func(conn net.Conn) {
		<-canceled
		time.Sleep(lateResponseTimeout / 5)
		_, _ = conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nId: first\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"))
	})
	reported := make(chan string, 1)
	request := newGetWithID("first", "/1")
	request.OnLateResponse = func(status int, header http.Header) {
		reported <- fmt.Sprintf("%d %s", status, header.Get("Retry-After"))
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	pool := newPool(t)
	go func() {
		_, err := pool.Do(ctx, server.address(), request)
		ended <- err
	}()
	for len(server.received()) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	must.Error(t, <-ended, must.Sprint("a canceled exchange succeeded"))
	close(canceled)
	select {
	case got := <-reported:
		must.Eq(t, "503 3", got)
	case <-time.After(10 * time.Second):
		t.Fatal("the late response was not passed on")
	}
	must.False(t, pool.HasIdle(server.address()))
}
