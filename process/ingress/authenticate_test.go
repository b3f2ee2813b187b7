package ingress

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/apikey"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

var testSecret = apikey.NewSecret()

// requireKeys puts tenants in force; the "unsafe" route becomes public.
func (w *world) requireKeys(tenants ...api.TenantKeys) {
	w.views.set(func(v *view.View) {
		made := testIngress()
		made.Spec.Generation = v.Ingresses[api.IngressName].Spec.Generation + 1
		made.Spec.KeysRequired, made.Spec.KeySecret = true, testSecret
		for i := range made.Spec.Routes {
			made.Spec.Routes[i].Public = made.Spec.Routes[i].Name == "unsafe"
			made.Spec.Routes[i].Priority = 5
		}
		v.Ingresses = map[string]*api.Ingress{api.IngressName: made}
		v.RouteTenants = map[string]*api.RouteTenant{}
		for _, sealed := range apikey.Seal(testSecret, tenants) {
			v.RouteTenants[sealed.Name] = &sealed
		}
	})
}

func tenant(name string, priority int, keys ...string) api.TenantKeys {
	return api.TenantKeys{Name: name, Priority: &priority, Keys: keys}
}

func withKey(id, target, key string) asked {
	return asked{method: "GET", target: target, id: id, fields: map[string]string{testKey: key}}
}

// Keys reached replicas, and requests with keys that nobody has were run.
func TestKeysSayWhoAsks(t *testing.T) {
	replica := newFakeReplica(t, "r-1", answerOK)
	w := newWorld(t, replica)
	w.requireKeys(tenant("north", 2, "key-n"))
	given := withKey("a", "/safe/x", "key-n")
	given.fields[testTenant] = "south" // whatever the caller says
	must.Eq(t, http.StatusOK, w.ask(given).status)
	seen := replica.requests[0].Header
	must.Eq(t, []string{"north"}, seen[testTenant])
	must.SliceEmpty(t, seen[testKey])
	must.Eq(t, "2", seen.Get(testPriority), must.Sprint("the tenant's, not the route's"))
	for _, key := range []string{"key-x", "", "KEY-N", "key-n2"} {
		got := w.ask(withKey("b", "/safe/x", key))
		must.Eq(t, http.StatusUnauthorized, got.status, must.Sprint(key))
	}
	must.Eq(t, http.StatusUnauthorized, w.ask(asked{method: "GET", target: "/safe/x", id: "c"}).status)
	must.Eq(t, http.StatusNotFound, w.ask(withKey("d", "/nowhere/", "key-x")).status)
	must.Eq(t, 1, replica.count())
}

// A public route needs no key; the word of a caller without one names nobody.
func TestPublicRoutes(t *testing.T) {
	replica := newFakeReplica(t, "r-1", answerOK)
	w := newWorld(t, replica)
	w.requireKeys(tenant("north", 0, "key-n"))
	anonymous := asked{method: "POST", target: "/unsafe/x", id: "a", fields: map[string]string{testTenant: "north"}}
	must.Eq(t, http.StatusOK, w.ask(anonymous).status)
	must.SliceEmpty(t, replica.requests[0].Header[testTenant])
	must.Eq(t, "5", replica.requests[0].Header.Get(testPriority))
	must.Eq(t, http.StatusOK, w.ask(withKey("b", "/unsafe/x", "key-n")).status)
	must.Eq(t, "north", replica.requests[1].Header.Get(testTenant))
	must.Eq(t, http.StatusUnauthorized, w.ask(withKey("c", "/unsafe/x", "key-x")).status, must.Sprint("it runs nothing"))
	must.Eq(t, 2, replica.count())
}

// Before any configuration nobody is refused for a key: it may be a good one.
func TestNobodyIsUnknownBeforeAConfiguration(t *testing.T) {
	w := newWorld(t, newFakeReplica(t, "r-1", answerOK))
	bare := New(Config{Name: "p", Dialect: testDialect{}}, &holder{current: view.New()}, w.ingress.clock, w.ingress.logger)
	defer bare.Close()
	w.server.Config.Handler = bare
	got := w.ask(withKey("a", "/safe/x", "key-n"))
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.NotEq(t, "", got.header.Get(testAgain))
}

// The body of a caller that is refused is not read: the answer comes while it is still
// being sent.
func TestUnknownCallersAreRefusedBeforeTheirBodies(t *testing.T) {
	w := newWorld(t, newFakeReplica(t, "r-1", answerOK))
	w.requireKeys(tenant("north", 0, "key-n"))
	body, sending := io.Pipe()
	defer func() { _ = sending.Close() }()
	request, err := http.NewRequest("POST", w.server.URL, body)
	must.NoError(t, err)
	request.URL.Opaque, request.Host = "/model/", "a.example"
	request.Header.Set(testID, "a")
	request.Header.Set(testKey, "key-x")
	response, err := testClient.Do(request)
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	must.Eq(t, http.StatusUnauthorized, response.StatusCode)
	_, opened := w.ingress.upstreams.byService["model"]
	must.False(t, opened, must.Sprint("nothing is kept or counted for it"))
}

// Reads of prompts, runs elsewhere and resumed runs speak for the tenant as well.
func TestEverySendSpeaksForTheTenant(t *testing.T) {
	reader := newFakeReplica(t, "read", readPrompt)
	cut := newFakeReplica(t, "make-1", streamEvents(2, "cut"))
	whole := newFakeReplica(t, "make-2", streamEvents(4, ""))
	w := newModelWorld(t, reader, cut, whole)
	w.requireKeys(tenant("north", 3, "key-n"))
	w.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make-1", Reader: "read"}}
	given := modelRequest
	given.fields = map[string]string{testTokens: "9000", testKey: "key-n", testTenant: "south"}
	must.Eq(t, events(1, 4), w.ask(given).body)
	for _, replica := range []*fakeReplica{reader, cut, whole} {
		must.SliceNotEmpty(t, replica.requests)
		for _, sent := range replica.requests {
			must.Eq(t, []string{"north"}, sent.Header[testTenant])
			must.SliceEmpty(t, sent.Header[testKey])
		}
	}
}

// A key that is taken away while its request is under way ends nothing; the next request
// is refused, also on the same connection, also one that takes up the same stream.
func TestKeysThatAreTakenAway(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	slow := newFakeReplica(t, "make", func(w http.ResponseWriter, r *http.Request) {
		genuine(w, r)
		_, _ = io.WriteString(w, eventText(1))
		w.(http.Flusher).Flush()
		close(begun)
		<-end
		_, _ = io.WriteString(w, eventText(2))
	})
	w := newModelWorld(t, newFakeReplica(t, "read", readPrompt), slow, nil)
	w.requireKeys(tenant("north", 3, "key-n", "key-o"))
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	ask := func(id, resume, key string) (*http.Response, error) {
		request, err := http.NewRequest("POST", w.server.URL, strings.NewReader(""))
		must.NoError(t, err)
		request.URL.Opaque, request.Host = "/model/", "a.example"
		request.Header.Set(testID, id)
		request.Header.Set(testKey, key)
		request.Header.Set(testTokens, "9000")
		request.Header.Set(testResume, resume)
		return client.Do(request)
	}
	response, err := ask("a", "", "key-n")
	must.NoError(t, err)
	<-begun
	w.requireKeys(tenant("north", 3, "key-o"))
	close(end)
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.Eq(t, events(1, 2), string(body))
	_ = response.Body.Close()
	for _, resume := range []string{"", "1"} {
		response, err = ask("b", resume, "key-n")
		must.NoError(t, err)
		must.Eq(t, http.StatusUnauthorized, response.StatusCode)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	must.Eq(t, 1, slow.count())
}

// confirmedAgo is a view that was confirmed so long ago.
type confirmedAgo time.Duration

func (c confirmedAgo) SinceConfirmed(time.Duration) time.Duration { return time.Duration(c) }

// A proxy that no leader confirms goes on by what it last held, unless it is to fail closed:
// then it refuses keys before one that was taken away would run for too long.
func TestCutOffProxies(t *testing.T) {
	cases := []struct {
		closed bool
		since  time.Duration
		want   int
	}{{false, time.Hour, 200}, {true, time.Second, 200}, {true, 4500 * time.Millisecond, 503}}
	for _, each := range cases {
		w := newWorld(t, newFakeReplica(t, "r-1", answerOK))
		w.requireKeys(tenant("north", 0, "key-n"))
		w.ingress.config.Keys = Keys{FailClosed: each.closed, RevokeWithin: 5 * time.Second}
		w.ingress.confirmer = confirmedAgo(each.since)
		must.Eq(t, each.want, w.ask(withKey("a", "/safe/x", "key-n")).status)
		public := asked{method: "POST", target: "/unsafe/x", id: "b"}
		must.Eq(t, http.StatusOK, w.ask(public).status)
	}
}
