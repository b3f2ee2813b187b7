package ingress

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// startAgain lets a replica that newCrashingReplica returned, and that has crashed, listen at its address again.
func (r *fakeReplica) startAgain(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", r.server.Listener.Addr().String())
	must.NoError(t, err)
	r.server.Listener = listener
	go func() { _ = r.server.Config.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
}

// Guards against crashes that are taken for one because the list of replicas still names the first of the
// processes that crashed. Without a leader the list does not change, and a replica that is started again under its
// name and at its address crashed under the same request for as long as nobody led (soak without a leader, seed 4).
func TestCrashesOfProcessesThatAreNotListedYetCount(t *testing.T) {
	replica := newCrashingReplica(t, "r-0", "fatal")
	env, reporter := newTestEnv(t, replica), &recordingReporter{}
	env.ingress.guard.SetReporter(reporter)
	env.views.set(func(v *view.View) {
		entry := replicaObject(replica, "plain", api.RoleNone)
		entry.Spec.Born = 1000
		v.Replicas = map[string]*api.Replica{"r-0": entry}
	})
	for i := range 4 {
		must.Eq(t, http.StatusBadGateway, env.do(crashRequest(fmt.Sprint("q-", i))).status, must.Sprint("crash ", i))
		replica.startAgain(t)
		time.Sleep(300 * time.Millisecond) // longer than a report of the crash may take
	}
	must.Eq(t, http.StatusServiceUnavailable, env.do(crashRequest("later")).status)
	must.Eq(t, 4, replica.count())
	unique := 0
	for _, report := range reporter.reports {
		for _, evidence := range report.Crashes {
			if evidence.UniqueName {
				unique++
				must.Eq(t, "r-0@1000", evidence.Replica)
			}
		}
	}
	must.Eq(t, 1, unique, must.Sprint("only the first process is known by its birth"))
}
