package exchange

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// What the other side sends in these tests when a connection's second request has
// arrived: bytes that the look at an idle connection cannot have seen.

// answerTo is a whole answer that names the request; empty for one that names none.
func answerTo(id, body string) string {
	named := ""
	if id != "" {
		named = idField + ": " + id + "\r\n"
	}
	return "HTTP/1.1 200 OK\r\n" + named + "Content-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func TestOnlyItsOwnAnswerIsARequests(t *testing.T) {
	long := "HTTP/1.1 200 OK\r\nId: first\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n"
	cases := []struct {
		name   string
		second func(net.Conn)
		body   string // empty where there is no answer
	}{
		{"surplus before its own", say(answerTo("first", "old") + ok), "ok"},
		{"surplus in chunks", say(long + ok), "ok"},
		{"surplus without a body", say("HTTP/1.1 503 Busy\r\nId: first\r\nContent-Length: 0\r\n\r\n" + ok), "ok"},
		{"several", say(strings.Repeat(answerTo("first", "old"), maxSurplus) + ok), "ok"},
		{"too many", say(strings.Repeat(answerTo("first", "old"), maxSurplus+1) + ok), ""},
		{"surplus alone", sayAndClose(answerTo("first", "old")), ""},
		{"surplus that ends its connection", sayAndClose("HTTP/1.1 200 OK\r\nId: first\r\n\r\nold"), ""},
		{"surplus that names nobody", say(answerTo("", "old") + ok), ""},
		{"cut surplus", sayAndClose("HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 9\r\n\r\nold"), ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := newReplica(t, say(ok), test.second, say(ok))
			pool := newPool(t)
			_, err := whole(t, pool, server.address(), getAs("first", "/1"))
			must.NoError(t, err)
			body, err := whole(t, pool, server.address(), getAs("second", "/2"))
			must.Eq(t, test.body, body)
			must.Eq(t, test.body == "", err != nil)
			must.False(t, pool.Idle(server.address()), must.Sprint("a connection that was out of step is not used again"))
			body, err = whole(t, pool, server.address(), get("/3"))
			must.NoError(t, err)
			must.Eq(t, "ok", body)
		})
	}
}

func TestMisplacedAnswersAreTold(t *testing.T) {
	server := newReplica(t, say(ok), say(answerTo("first", "old")+ok), say(answerTo("other", "x")))
	pool := newPool(t)
	_, err := whole(t, pool, server.address(), getAs("first", "/1"))
	must.NoError(t, err)
	answer, err := pool.Do(t.Context(), server.address(), getAs("second", "/2"))
	must.NoError(t, err)
	must.Eq(t, []*Misplaced{{Answered: "first", Status: http.StatusOK}}, answer.Surplus)
	answer.Close()

	// On a connection that has carried no other request nothing else is to follow.
	_, err = pool.Do(t.Context(), server.address(), getAs("third", "/3"))
	var failure *Failure
	must.True(t, errors.As(err, &failure))
	must.True(t, failure.Sent)
	must.Eq(t, []*Misplaced{{Answered: "other", Status: http.StatusOK}}, failure.Surplus)
	var misplaced *Misplaced
	must.True(t, errors.As(err, &misplaced))
	must.Eq(t, "other", misplaced.Answered)
}

// A request that is sent again has the ID that it had: an answer to its earlier send
// must not come where the one to this send is due.
func TestARequestGoesOverAConnectionOnce(t *testing.T) {
	server := newReplica(t, say(ok), say(ok), say(ok))
	pool := newPool(t)
	for _, id := range []string{"a", "a", "b"} {
		_, err := whole(t, pool, server.address(), getAs(id, "/"))
		must.NoError(t, err)
	}
	server.lock.Lock()
	defer server.lock.Unlock()
	must.SliceLen(t, 2, server.conns)
}

// Nothing tells the answer to a request without an ID from a surplus one.
func TestRequestsWithoutAnIDShareNoConnection(t *testing.T) {
	server := newReplica(t, say(ok), say(ok), say(ok), say(ok))
	pool := newPool(t)
	unnamed := func() *Request {
		return &Request{Method: http.MethodDelete, Target: "/", Host: "h", Header: http.Header{}}
	}
	for _, request := range []*Request{get("/"), unnamed(), unnamed(), get("/")} {
		_, err := whole(t, pool, server.address(), request)
		must.NoError(t, err)
	}
	server.lock.Lock()
	defer server.lock.Unlock()
	must.SliceLen(t, 3, server.conns)
}

func TestCarriedIDsAreRememberedInTheirOrder(t *testing.T) {
	var known carried
	for i := range carriedIDs + 1 {
		known.note(string(rune('a' + i)))
	}
	must.False(t, known.has("a"))
	must.True(t, known.has("b"))
	must.True(t, known.has(string(rune('a'+carriedIDs))))
	must.False(t, known.has("other"))
}
