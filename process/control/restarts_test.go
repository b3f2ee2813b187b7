package control

import (
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/landingtrail/landingtrail/request/resume"
	"github.com/shoenig/test/must"
)

// Guards against streams that begin, or go on, at a replica that has just crashed and may be another process under the same
// name, at another version than the list says; and against replicas that are left out although they get a new name.
func TestStreamsAvoidReplicasThatMayHaveRestarted(t *testing.T) {
	for _, test := range []struct {
		name             string
		born             int64
		age              time.Duration
		version          string
		others           bool // there is another replica
		placed, recorded string
	}{
		{"a stream begins elsewhere", 7, 0, "", true, "r-2", "v1"},
		{"no other replica", 7, 0, "", false, "r-1", ""},
		{"a stream goes on", 7, 0, "v1", false, "", ""},
		{"the list has caught up", 7, resume.RestartDoubt, "", false, "r-1", "v1"},
		{"a new name with each start", 0, 0, "", false, "r-1", "v1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			history := ratesView()
			for _, replica := range history.View.Replicas {
				replica.Spec.SoftwareVersion, replica.Spec.Born = "v1", test.born
			}
			if !test.others {
				delete(history.View.Replicas, "r-2")
			}
			g := &group{
				boards: newPlacementBoards(), rates: ratelimit.NewLimiter(ratelimit.DefaultRule, 0), machine: newMachine(), metrics: newMetrics(),
				evidence: &evidence{tracker: newQuarantineTracker()}, streams: newStreamArchive(Config{}, nopLogger{}), restarts: newRestartDoubts(),
			}
			g.machine.history.Store(history)
			g.boards.update(history)
			crash := quarantine.AgedEvidence{Evidence: quarantine.Evidence{Replica: history.View.Replicas["r-1"].Incarnation()}, Age: test.age}
			g.restarts.note(monotonic(), feed.CrashReport{Crashes: []quarantine.AgedEvidence{crash}})
			ask := placement.Request{PromptTokens: 10, Deadline: time.Minute, Streams: []resume.Stream{8}, SoftwareVersion: test.version, Continued: test.version != ""}
			answer, known := g.Place("proxy-1", feed.PlaceRequest{Service: "chat", Number: 1, Ask: ask})
			must.True(t, known)
			must.Eq(t, test.placed, answer.Generator)
			recorded, _ := g.streams.registry.Find(monotonic(), 8)
			must.Eq(t, test.recorded, recorded)
		})
	}
}
