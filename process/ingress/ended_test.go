package ingress

import (
	"bytes"
	"regexp"
	"testing"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

var loggedFingerprint = regexp.MustCompile(`event=4606 name=run_broken request=(\S+) fingerprint=([0-9a-f]{32}) `)

// A run that breaks off because its replica closed the connection is logged with the request's
// fingerprint, which is independent of the request ID.
func TestBrokenRunsAreLoggedWithTheFingerprint(t *testing.T) {
	replica := newFakeReplica(t, "r-1", closeConnection)
	env := newTestEnv(t, replica)
	var logged bytes.Buffer
	env.ingress.logger = log.NewLogfmtLogger(log.NewSyncWriter(&logged))
	env.views.set(func(v *view.View) {
		v.Replicas = map[string]*api.Replica{"r-1": replicaObject(replica, "plain", api.RoleNone)}
	})
	env.do(testRequest{method: "POST", target: "/unsafe/a", id: "one", body: "x"})
	env.do(testRequest{method: "POST", target: "/unsafe/a", id: "two", body: "x"})
	env.do(testRequest{method: "POST", target: "/unsafe/a", id: "other", body: "y"})
	found := loggedFingerprint.FindAllStringSubmatch(logged.String(), -1)
	must.SliceLen(t, 3, found, must.Sprint(logged.String()))
	must.Eq(t, found[0][2], found[1][2])
	must.NotEq(t, found[0][2], found[2][2])
	must.Eq(t, []string{"one", "two", "other"}, []string{found[0][1], found[1][1], found[2][1]})
}

// Neither a complete answer nor a refusal is logged as a broken run.
func TestAnswersAreNotLoggedAsBrokenRuns(t *testing.T) {
	env := newTestEnv(t, newFakeReplica(t, "r-1", answerOK), newFakeReplica(t, "r-2", refuseRun))
	var logged bytes.Buffer
	env.ingress.logger = log.NewLogfmtLogger(log.NewSyncWriter(&logged))
	for range 4 {
		must.Eq(t, 200, env.do(testRequest{method: "GET", target: "/safe/a", id: "one"}).status)
	}
	must.StrNotContains(t, logged.String(), "name=run_broken")
}
