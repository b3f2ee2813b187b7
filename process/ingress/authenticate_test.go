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

// requireKeys requires API keys and installs the tenants; the "unsafe" route becomes public.
func (env *testEnv) requireKeys(tenants ...api.TenantKeys) {
	env.views.set(func(v *view.View) {
		updated := testIngress()
		updated.Spec.Generation = v.Ingresses[api.IngressName].Spec.Generation + 1
		updated.Spec.KeysRequired, updated.Spec.KeySecret = true, testSecret
		for i := range updated.Spec.Routes {
			updated.Spec.Routes[i].Public = updated.Spec.Routes[i].Name == "unsafe"
			updated.Spec.Routes[i].Priority = 5
		}
		v.Ingresses = map[string]*api.Ingress{api.IngressName: updated}
		v.RouteTenants = map[string]*api.RouteTenant{}
		for _, sealed := range apikey.Seal(testSecret, tenants) {
			v.RouteTenants[sealed.Name] = &sealed
		}
	})
}

func tenantKeys(name string, priority int, keys ...string) api.TenantKeys {
	return api.TenantKeys{Name: name, Priority: &priority, Keys: keys}
}

func withKey(id, target, key string) testRequest {
	return testRequest{method: "GET", target: target, id: id, fields: map[string]string{testKey: key}}
}

// Guards against keys that are passed on to replicas and against running requests with unknown
// keys.
func TestKeysDetermineTheTenant(t *testing.T) {
	replica := newFakeReplica(t, "r-1", answerOK)
	env := newTestEnv(t, replica)
	env.requireKeys(tenantKeys("north", 2, "key-n"))
	request := withKey("a", "/safe/x", "key-n")
	request.fields[testTenant] = "south" // must be overwritten by the key's tenant
	must.Eq(t, http.StatusOK, env.do(request).status)
	received := replica.requests[0].Header
	must.Eq(t, []string{"north"}, received[testTenant])
	must.SliceEmpty(t, received[testKey])
	must.Eq(t, "2", received.Get(testPriority), must.Sprint("priority of the tenant, not of the route"))
	for _, key := range []string{"key-x", "", "KEY-N", "key-n2"} {
		got := env.do(withKey("b", "/safe/x", key))
		must.Eq(t, http.StatusUnauthorized, got.status, must.Sprint(key))
	}
	must.Eq(t, http.StatusUnauthorized, env.do(testRequest{method: "GET", target: "/safe/x", id: "c"}).status)
	must.Eq(t, http.StatusNotFound, env.do(withKey("d", "/nowhere/", "key-x")).status)
	must.Eq(t, 1, replica.count())
}

// A public route needs no key, and fields that claim a tenant are ignored without one.
func TestPublicRoutes(t *testing.T) {
	replica := newFakeReplica(t, "r-1", answerOK)
	env := newTestEnv(t, replica)
	env.requireKeys(tenantKeys("north", 0, "key-n"))
	anonymous := testRequest{method: "POST", target: "/unsafe/x", id: "a", fields: map[string]string{testTenant: "north"}}
	must.Eq(t, http.StatusOK, env.do(anonymous).status)
	must.SliceEmpty(t, replica.requests[0].Header[testTenant])
	must.Eq(t, "5", replica.requests[0].Header.Get(testPriority))
	must.Eq(t, http.StatusOK, env.do(withKey("b", "/unsafe/x", "key-n")).status)
	must.Eq(t, "north", replica.requests[1].Header.Get(testTenant))
	must.Eq(t, http.StatusUnauthorized, env.do(withKey("c", "/unsafe/x", "key-x")).status, must.Sprint("an unknown key is refused even on a public route"))
	must.Eq(t, 2, replica.count())
}

// Before any configuration has arrived, a request with a key is answered 503 with a retry delay
// and not 401, since the key may be valid.
func TestKeysBeforeAConfigurationAreAnsweredWithARetryDelay(t *testing.T) {
	env := newTestEnv(t, newFakeReplica(t, "r-1", answerOK))
	bare := New(Config{Name: "p", Dialect: testDialect{}}, &viewHolder{current: view.New()}, env.ingress.clock, env.ingress.logger)
	defer bare.Close()
	env.server.Config.Handler = bare
	got := env.do(withKey("a", "/safe/x", "key-n"))
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.NotEq(t, "", got.header.Get(testAgain))
}

// The body of a refused caller is not read: the answer arrives while the body is still being
// sent.
func TestUnknownCallersAreRefusedBeforeTheirBodies(t *testing.T) {
	env := newTestEnv(t, newFakeReplica(t, "r-1", answerOK))
	env.requireKeys(tenantKeys("north", 0, "key-n"))
	body, sending := io.Pipe()
	defer func() { _ = sending.Close() }()
	request, err := http.NewRequest("POST", env.server.URL, body)
	must.NoError(t, err)
	request.URL.Opaque, request.Host = "/model/", "a.example"
	request.Header.Set(testID, "a")
	request.Header.Set(testKey, "key-x")
	response, err := testClient.Do(request)
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	must.Eq(t, http.StatusUnauthorized, response.StatusCode)
	_, opened := env.ingress.upstreams.byService["model"]
	must.False(t, opened, must.Sprint("no state is created for a refused call"))
}

// Prefills, runs on other replicas and resumed runs carry the tenant as well.
func TestEverySendCarriesTheTenant(t *testing.T) {
	prefiller := newFakeReplica(t, "read", answerPrefill)
	cut := newFakeReplica(t, "make-1", streamEvents(2, "cut"))
	whole := newFakeReplica(t, "make-2", streamEvents(4, ""))
	env := newModelEnv(t, prefiller, cut, whole)
	env.requireKeys(tenantKeys("north", 3, "key-n"))
	env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make-1", Reader: "read"}}
	request := modelRequest
	request.fields = map[string]string{testTokens: "9000", testKey: "key-n", testTenant: "south"}
	must.Eq(t, eventTexts(1, 4), env.do(request).body)
	for _, replica := range []*fakeReplica{prefiller, cut, whole} {
		must.SliceNotEmpty(t, replica.requests)
		for _, sent := range replica.requests {
			must.Eq(t, []string{"north"}, sent.Header[testTenant])
			must.SliceEmpty(t, sent.Header[testKey])
		}
	}
}

// Revoking a key does not affect its request in progress. The next request with it is refused, on
// the same connection as well, and also if it resumes the same stream.
func TestRevokedKeys(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	slow := newFakeReplica(t, "make", func(w http.ResponseWriter, r *http.Request) {
		writeGenuine(w, r)
		_, _ = io.WriteString(w, eventText(1))
		w.(http.Flusher).Flush()
		close(begun)
		<-end
		_, _ = io.WriteString(w, eventText(2))
	})
	env := newModelEnv(t, newFakeReplica(t, "read", answerPrefill), slow, nil)
	env.requireKeys(tenantKeys("north", 3, "key-n", "key-o"))
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	ask := func(id, resume, key string) (*http.Response, error) {
		request, err := http.NewRequest("POST", env.server.URL, strings.NewReader(""))
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
	env.requireKeys(tenantKeys("north", 3, "key-o"))
	close(end)
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.Eq(t, eventTexts(1, 2), string(body))
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

// confirmedAgo is a Confirmer of a view that was last confirmed that long ago.
type confirmedAgo time.Duration

func (c confirmedAgo) SinceConfirmed(time.Duration) time.Duration { return time.Duration(c) }

// A proxy whose view no leader confirms continues with its last state, unless it is configured to
// fail closed: then it refuses keys before a revoked one could be used for too long.
func TestKeysWithAnUnconfirmedView(t *testing.T) {
	cases := []struct {
		closed bool
		since  time.Duration
		want   int
	}{{false, time.Hour, 200}, {true, time.Second, 200}, {true, 4500 * time.Millisecond, 503}}
	for _, test := range cases {
		env := newTestEnv(t, newFakeReplica(t, "r-1", answerOK))
		env.requireKeys(tenantKeys("north", 0, "key-n"))
		env.ingress.config.Keys = Keys{FailClosed: test.closed, RevokeWithin: 5 * time.Second}
		env.ingress.confirmer = confirmedAgo(test.since)
		must.Eq(t, test.want, env.do(withKey("a", "/safe/x", "key-n")).status)
		public := testRequest{method: "POST", target: "/unsafe/x", id: "b"}
		must.Eq(t, http.StatusOK, env.do(public).status)
	}
}
