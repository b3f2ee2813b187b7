package upstream

import (
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/lab/surplus"
)

// surplusServer echoes the identity and the body of requests. On a reused connection it first
// sends wrong, a response that belongs to no request.
type surplusServer struct{ *surplus.Server }

func newSurplusServer(t *testing.T, wrong string) *surplusServer {
	t.Helper()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		engineapi.EchoCall(w.Header(), r.Header)
		_, _ = io.Copy(w, r.Body) // a truncated request ends its connection
	})
	server, err := surplus.Start(handler, func([]byte) []byte { return []byte(wrong) })
	must.NoError(t, err)
	t.Cleanup(server.Close)
	return &surplusServer{server}
}

// post sends a request with the given number and returns the response body.
func (s *surplusServer) post(t *testing.T, pool *Pool, number int) (string, error) {
	t.Helper()
	body := strconv.Itoa(number)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Address()+"/", strings.NewReader(body))
	must.NoError(t, err)
	response, err := pool.Do(request, Identity{RequestID: "r" + body, Attempt: 2})
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return string(read), nil
}

// Each response that Do returns must be the request's own, although Transport takes the next
// response on a connection for that to the current request. A wrong one must be a failure
// with Wrote set, and its connection must not be reused.
func TestSurplusResponseIsRejected(t *testing.T) {
	name := func(id, attempt string) http.Header {
		header := http.Header{}
		if id != "" {
			header.Set(engineapi.HeaderRequestID, id)
		}
		if attempt != "" {
			header.Set(engineapi.HeaderAttempt, attempt)
		}
		return header
	}
	cases := map[string]string{
		"another request":          rawResponse("200 OK", name("other", "2"), "wrong"),
		"another attempt":          rawResponse("200 OK", name("r2", "1"), "wrong"),
		"no attempt":               rawResponse("200 OK", name("r2", ""), "wrong"),
		"no request":               rawResponse("200 OK", nil, "wrong"),
		"no request, no body":      rawResponse("200 OK", nil, ""),
		"refusal of another":       rawResponse("503 Busy", name("other", "2"), "wrong"),
		"an earlier request, late": rawResponse("200 OK", name("r1", "2"), "1"),
	}
	for title, wrong := range cases {
		t.Run(title, func(t *testing.T) {
			server := newSurplusServer(t, wrong)
			pool := NewPool(Config{})
			defer pool.Close()
			const requests = 12
			failed := 0
			for number := range requests {
				body, err := server.post(t, pool, number)
				if err == nil {
					must.Eq(t, strconv.Itoa(number), body)
					continue
				}
				failed++
				must.ErrorIs(t, err, ErrUnmatchedResponse)
				var failure *Failure
				must.True(t, errors.As(err, &failure))
				must.True(t, failure.Wrote)
			}
			must.Positive(t, failed)
			must.Eq(t, server.Sent(), failed)
		})
	}
}

// After the first response of a host that echoes identities, one connection must carry all
// further requests.
func TestConnectionsToEchoingHostAreReused(t *testing.T) {
	server := newSurplusServer(t, "")
	pool := NewPool(Config{})
	defer pool.Close()
	for number := range 10 {
		body, err := server.post(t, pool, number)
		must.NoError(t, err)
		must.Eq(t, strconv.Itoa(number), body)
	}
	must.Eq(t, 2, server.Accepted())
}

// A host that does not echo identities gets a new connection for each request, and its
// refusals must not count as certain.
func TestHostWithoutEcho(t *testing.T) {
	var conns atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(engineapi.HeaderAdmitted, "no")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	pool := NewPool(Config{})
	defer pool.Close()
	const requests = 5
	for range requests {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
		must.NoError(t, err)
		response, err := pool.Do(request, testIdentity)
		must.NoError(t, err)
		must.False(t, RefusedBeforeAdmission(response))
		drain(t, response)
	}
	must.Eq(t, requests, conns.Load())
}

func TestCompareEcho(t *testing.T) {
	cases := []struct {
		name        string
		identity    Identity
		id, attempt string
		want        echoResult
	}{
		{"own", Identity{RequestID: "r", Attempt: 2}, "r", "2", echoMatch},
		{"own without attempts", Identity{RequestID: "r"}, "r", "", echoMatch},
		{"other request", Identity{RequestID: "r", Attempt: 2}, "s", "2", echoMismatch},
		{"other attempt", Identity{RequestID: "r", Attempt: 2}, "r", "1", echoMismatch},
		{"other attempt, no request", Identity{RequestID: "r", Attempt: 2}, "", "1", echoMismatch},
		{"an attempt of a call without", Identity{RequestID: "r"}, "r", "1", echoMismatch},
		{"no attempt", Identity{RequestID: "r", Attempt: 2}, "r", "", echoMissing},
		{"no request", Identity{RequestID: "r", Attempt: 2}, "", "2", echoMissing},
		{"nothing", Identity{RequestID: "r", Attempt: 2}, "", "", echoMissing},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			header := http.Header{}
			header.Set(engineapi.HeaderRequestID, test.id)
			header.Set(engineapi.HeaderAttempt, test.attempt)
			must.Eq(t, test.want, test.identity.compareEcho(header))
		})
	}
}

func TestHostSetIsBounded(t *testing.T) {
	set := &hostSet{}
	for i := range maxEchoingHosts + 1 {
		set.add(strconv.Itoa(i))
	}
	must.LessEq(t, maxEchoingHosts, len(set.hosts))
	must.True(t, set.has(strconv.Itoa(maxEchoingHosts)))
	set.remove(strconv.Itoa(maxEchoingHosts))
	must.False(t, set.has(strconv.Itoa(maxEchoingHosts)))
}

// newPartlyEchoingServer starts a server that echoes the identity of all requests but one. It returns
// its URL and a function that returns the request numbers by connection.
func newPartlyEchoingServer(t *testing.T, forgets int32, status int) (url string, perConn func() map[string][]int32) {
	t.Helper()
	var served atomic.Int32
	var lock sync.Mutex
	byConn := map[string][]int32{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		number := served.Add(1)
		lock.Lock()
		byConn[r.RemoteAddr] = append(byConn[r.RemoteAddr], number)
		lock.Unlock()
		if number != forgets {
			engineapi.EchoCall(w.Header(), r.Header)
		}
		w.WriteHeader(status)
		if status == http.StatusOK {
			_, _ = io.WriteString(w, "response")
		}
	}))
	t.Cleanup(server.Close)
	return server.URL, func() map[string][]int32 {
		lock.Lock()
		defer lock.Unlock()
		return maps.Clone(byConn)
	}
}

// A host that stops echoing identities must not fail requests on connections that have carried
// no other request, where no other response can arrive. The second request, which is the
// first on a persistent connection, must get its response without an echo, and its connection
// must not be reused.
func TestFirstResponseOnNewConnectionIsAccepted(t *testing.T) {
	const forgotten = 2
	for _, status := range []int{http.StatusOK, http.StatusNoContent} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			url, perConn := newPartlyEchoingServer(t, forgotten, status)
			pool := NewPool(Config{})
			defer pool.Close()
			const requests = 6
			for number := range requests {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
				must.NoError(t, err)
				response, err := pool.Do(request, Identity{RequestID: "r" + strconv.Itoa(number), Attempt: 1})
				must.NoError(t, err)
				must.Eq(t, status, response.StatusCode)
				drain(t, response)
			}
			unshared, last := false, 0
			for _, numbers := range perConn() {
				unshared = unshared || slices.Equal(numbers, []int32{forgotten})
				last = max(last, len(numbers))
			}
			must.True(t, unshared, must.Sprint("the connection without an echo was reused"))
			must.Eq(t, requests-forgotten-1, last, must.Sprint("connections with an echo were not reused"))
		})
	}
}

// When a host stops echoing identities, only one request may fail; after it the host must no
// longer count as echoing. Otherwise requests would still be sent on reused connections,
// where each response without an identity is a failure.
func TestHostIsRemovedAfterMissingEcho(t *testing.T) {
	const echoed, requests = 4, 10
	var served atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if served.Add(1) <= echoed {
			engineapi.EchoCall(w.Header(), r.Header)
		}
	}))
	defer server.Close()
	pool := NewPool(Config{})
	defer pool.Close()
	failed := 0
	for range requests {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
		must.NoError(t, err)
		response, err := pool.Do(request, testIdentity)
		if err != nil {
			must.ErrorIs(t, err, ErrUnmatchedResponse)
			failed++
			continue
		}
		drain(t, response)
	}
	must.Eq(t, 1, failed, must.Sprint("only the response on the reused connection may fail"))
	must.False(t, pool.echoingHosts.has(strings.TrimPrefix(server.URL, "http://")))
}
