package ingress

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/process/metering"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// Each request is counted once for its tenant when a replica has started it, whatever is tried
// before and after. A request that no replica started is not counted.
func TestCountedRequests(t *testing.T) {
	cases := []struct {
		name     string
		target   string
		handlers []http.HandlerFunc
		want     uint64
	}{
		{"answer", "/safe/x", []http.HandlerFunc{answerOK}, 1},
		{"error answer of the replica", "/unsafe/x", []http.HandlerFunc{answerStatus(500)}, 1},
		{"error answer and another run", "/safe/x", []http.HandlerFunc{answerStatus(500), answerOK}, 1},
		{"refused by all", "/safe/x", []http.HandlerFunc{refuseRun, refuseRun}, 0},
		{"refused, then run", "/safe/x", []http.HandlerFunc{refuseRun, answerOK}, 1},
		{"stream", "/stream/x", []http.HandlerFunc{streamEvents(3, "")}, 1},
		{"interrupted and resumed stream", "/resume/x", []http.HandlerFunc{streamEvents(2, "cut"), streamEvents(4, "")}, 1},
		{"stream that ends before its first event", "/stream/x", []http.HandlerFunc{closeConnection}, 0},
		{"no replica", "/safe/x", nil, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var replicas []*fakeReplica
			for i, handler := range test.handlers {
				replicas = append(replicas, newFakeReplica(t, string(rune('a'+i)), handler))
			}
			env := newTestEnv(t, replicas...)
			env.requireKeys(tenantKeys("north", 0, "key-n"))
			env.ingress.usage = metering.NewCounter("p", 5*time.Second, time.Now)
			env.do(withKey("q", test.target, "key-n"))
			report, _ := env.ingress.usage.NextReport()
			count := uint64(0)
			for _, counted := range report.Counts {
				must.Eq(t, "north", counted.Tenant)
				count += counted.Count
			}
			must.Eq(t, test.want, count)
		})
	}
}

// A prefill is not counted as a request, and neither is a request without a tenant.
func TestRequestsThatAreNotCounted(t *testing.T) {
	env := newModelEnv(t, newFakeReplica(t, "read", answerPrefill), newFakeReplica(t, "make", streamEvents(2, "")), nil)
	env.ingress.usage = metering.NewCounter("p", 5*time.Second, time.Now)
	env.requireKeys(tenantKeys("north", 0, "key-n"))
	env.views.set(func(v *view.View) {
		updated := *v.Ingresses[api.IngressName]
		updated.Spec.Routes = append([]api.Route(nil), updated.Spec.Routes...)
		updated.Spec.Generation++
		for i := range updated.Spec.Routes {
			updated.Spec.Routes[i].Public = true
		}
		v.Ingresses = map[string]*api.Ingress{api.IngressName: &updated}
	})
	anonymous := modelRequest
	must.Eq(t, http.StatusOK, env.do(anonymous).status)
	report, _ := env.ingress.usage.NextReport()
	must.SliceEmpty(t, report.Counts)
	named := modelRequest
	named.fields = map[string]string{testTokens: "9000", testKey: "key-n"}
	must.Eq(t, http.StatusOK, env.do(named).status)
	report, _ = env.ingress.usage.NextReport()
	must.SliceLen(t, 1, report.Counts)
	must.Eq(t, 1, report.Counts[0].Count)
}

// Revoking a key during its request does not remove the request from the count.
func TestRequestIsCountedAfterItsKeyIsRevoked(t *testing.T) {
	end := make(chan struct{})
	began := make(chan struct{})
	slow := newFakeReplica(t, "r", func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-end
		writeGenuine(w, r)
		_, _ = io.WriteString(w, "done")
	})
	env := newTestEnv(t, slow)
	env.ingress.usage = metering.NewCounter("p", 5*time.Second, time.Now)
	env.requireKeys(tenantKeys("north", 0, "key-n"))
	done := make(chan testResponse)
	go func() { done <- env.do(withKey("q", "/safe/x", "key-n")) }()
	<-began
	env.requireKeys()
	close(end)
	must.Eq(t, http.StatusOK, (<-done).status)
	report, _ := env.ingress.usage.NextReport()
	must.SliceLen(t, 1, report.Counts)
}
