package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/lab/backlog"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

func TestCallerThatLeavesDuringADialIsNoReplicaFailure(t *testing.T) {
	hanging, err := backlog.NewFull()
	must.NoError(t, err)
	defer hanging.Close()
	env := newTestEnv(t)
	env.views.set(func(v *view.View) {
		v.Replicas = map[string]*api.Replica{"make": {Metadata: api.Metadata{Name: "make"},
			Spec: api.ReplicaSpec{Service: "model", Address: hanging.Address(), Zone: "zone-a", Slots: 8, Role: api.RoleDecode}}}
	})
	placer := &fakePlacer{answer: placement.Answer{Generator: "make"}}
	env.ingress.placer = placer
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	request := httptest.NewRequest(http.MethodPost, "http://a.example/model/", http.NoBody).WithContext(ctx)
	request.RequestURI = "/model/"
	request.Header.Set(testID, "q")
	request.Header.Set(testTokens, "9000")
	func() { defer func() { _ = recover() }(); env.ingress.ServeHTTP(httptest.NewRecorder(), request) }()
	must.SliceNotContains(t, placer.steps(), placement.StepFailed)
}
