package proxy

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/engineapi"
)

// forwarderHandler is a minimal reverse proxy: it forwards each request to the address and
// flushes every chunk of the response as it arrives.
func forwarderHandler(address string) http.Handler {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // an HTTP/1 server closes the request body once the response starts
		out := r.Clone(r.Context())
		out.Body = io.NopCloser(bytes.NewReader(body))
		out.URL.Scheme, out.URL.Host, out.RequestURI = "http", address, ""
		response, err := transport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = response.Body.Close() }()
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(response.StatusCode)
		controller, buffer := http.NewResponseController(w), make([]byte, copyBufferBytes)
		for {
			count, err := response.Body.Read(buffer)
			_, _ = w.Write(buffer[:count])
			_ = controller.Flush()
			if err != nil {
				return
			}
		}
	})
}

// measuredPath is a route from the caller to the engine, with the wall and processor time that its
// requests have used.
type measuredPath struct {
	url       string
	transport *http.Transport
	wall, cpu time.Duration
}

func (p *measuredPath) sendConcurrently(b *testing.B, times int) {
	cpu, started := processorTime(b), time.Now()
	var group sync.WaitGroup
	for range times {
		group.Go(func() { p.sendOne(b) })
	}
	group.Wait()
	p.wall += time.Since(started)
	p.cpu += processorTime(b) - cpu
}

func (p *measuredPath) sendOne(b *testing.B) {
	request, _ := http.NewRequest(http.MethodPost, p.url+engineapi.PathCompletions, strings.NewReader(streamBody))
	request.Header.Set(HeaderClass, "cap")
	response, err := p.transport.RoundTrip(request)
	must.NoError(b, err)
	body, err := io.ReadAll(response.Body)
	must.NoError(b, err)
	must.StrHasSuffix(b, "data: [DONE]\n\n", string(body))
	_ = response.Body.Close()
}

// newBenchEngine starts an engine that streams the given number of tokens. Each token is written
// separately, after the pause.
func newBenchEngine(b *testing.B, tokens int, pause time.Duration) *httptest.Server {
	engine := &fakeEngine{name: "e1", incarnation: 11}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engineapi.HeaderIncarnation, "11")
		if r.URL.Path != engineapi.PathCompletions {
			writeJSON(w, http.StatusOK, engineapi.Load{Incarnation: 11, Phase: "serving"})
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id, number := runOf(r)
		for i := range tokens {
			time.Sleep(pause)
			engine.tokens(w, id, number, i, i+1)
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}))
	b.Cleanup(server.Close)
	return server
}

// BenchmarkDataPath compares the proxy's overhead with that of a minimal reverse proxy, alternating
// between them. The metrics in microseconds are per token. The cost of a direct connection from
// caller to engine is subtracted from both.
func BenchmarkDataPath(b *testing.B) {
	cases := []struct {
		name   string
		batch  int // concurrent requests
		tokens int
		pause  time.Duration
	}{
		{"request", 1, 1, 0},                     // cost per request
		{"paced", 20, 200, 5 * time.Millisecond}, // cost per token when tokens arrive one at a time, as engines send them
		{"burst", 1, 400, 0},                     // cost per token when many arrive together
	}
	for _, test := range cases {
		b.Run(test.name, func(b *testing.B) {
			server := newBenchEngine(b, test.tokens, test.pause)
			forwarder := httptest.NewServer(forwarderHandler(server.Listener.Addr().String()))
			b.Cleanup(forwarder.Close)
			paths := []*measuredPath{{url: server.URL}, {url: forwarder.URL}, {url: benchProxy(b, server)}}
			for _, p := range paths {
				p.transport = &http.Transport{}
				b.Cleanup(p.transport.CloseIdleConnections)
				p.sendConcurrently(b, test.batch)
				p.wall, p.cpu = 0, 0
			}
			rounds := 0
			for b.Loop() {
				for _, p := range paths {
					p.sendConcurrently(b, test.batch)
				}
				rounds++
			}
			count := float64(rounds * test.batch * test.tokens)
			direct, forwarded, proxied := paths[0], paths[1], paths[2]
			b.ReportMetric(float64((forwarded.cpu-direct.cpu).Microseconds())/count, "relay-cpu-us")
			b.ReportMetric(float64((proxied.cpu-direct.cpu).Microseconds())/count, "proxy-cpu-us")
			if test.name == "burst" {
				return // the forwarder's overhead is too small for a meaningful ratio
			}
			b.ReportMetric(float64(proxied.cpu-direct.cpu)/float64(forwarded.cpu-direct.cpu), "cpu-ratio")
			if test.pause == 0 {
				b.ReportMetric(float64(proxied.wall-direct.wall)/float64(forwarded.wall-direct.wall), "time-ratio")
			}
		})
	}
}

// benchProxy starts a proxy with default settings in front of the engine and returns its URL.
func benchProxy(b *testing.B, server *httptest.Server) string {
	b.Helper()
	views := &fixedViews{}
	views.view.Store(newView([]*fakeEngine{{name: "e1", incarnation: 11, server: server}}, nil))
	config := Config{ID: "proxy-1", Zone: "zone-a", ListenAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0"}
	started := time.Now()
	proxy := New(config, views, newFakeControl(), func() time.Duration { return time.Since(started) }, log.NewNopLogger())
	callers, err := proxy.listenCallers()
	must.NoError(b, err)
	b.Cleanup(func() {
		_ = callers.http.Close()
		proxy.Close()
	})
	return "http://" + callers.addr.String()
}
