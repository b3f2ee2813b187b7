package guard

import (
	"fmt"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/shoenig/test/must"
)

// crashReport returns a member's report of crashes during the crashing request, one second apart.
func crashReport(replicas int) feed.CrashReport {
	var report feed.CrashReport
	for i := range replicas {
		report.Crashes = append(report.Crashes, quarantine.AgedEvidence{
			Evidence: quarantine.Evidence{Fingerprint: crashingRequest, Replica: fmt.Sprint("r-", i)},
			Age:      time.Duration(replicas-i) * time.Second,
		})
	}
	return report
}

// Guards against sending a request that crashes replicas while no leader can commit. Each proxy
// has then seen one crash at most, and the leader knows of all but cannot commit them. When
// proxies learned of each other's crashes only through the committed record, such a request was
// sent on for 17 s.
func TestUnrecordedCrashesAreJudgedByTheProxy(t *testing.T) {
	wall := time.Unix(1_700_000_000, 0)
	for name, connected := range map[string]bool{"by a leader that can't commit": true, "by a standby member": false} {
		t.Run(name, func(t *testing.T) {
			guard, members := New("p"), &fakeGroup{connected: true}
			guard.SetReporter(members)
			guard.Follow(recordView(1, "", wall), 0)
			members.connected = connected
			guard.NoteCrash(later, quarantine.AgedEvidence{Evidence: quarantine.Evidence{Fingerprint: crashingRequest, Replica: "r-3"}})
			must.False(t, guard.holdsCrashing(later, wall), must.Sprint("a single crash is not enough evidence"))
			guard.ApplyUnrecorded(later, crashReport(3))
			must.True(t, guard.Active())
			must.True(t, guard.holdsCrashing(later, wall), must.Sprint("four crashes are known to this proxy"))
			for range 3 {
				later := later + reportMaxAge - time.Second
				guard.ApplyUnrecorded(later, crashReport(3))
				must.True(t, guard.holdsCrashing(later, wall), must.Sprint("valid while it is repeated"))
			}
			members.connected = true
			must.False(t, guard.holdsCrashing(later+3*reportMaxAge, wall), must.Sprint("the record decides again"))
			members.reports = nil
			guard.ReportAll(later)
			must.SliceLen(t, 1, members.reports[0].Crashes, must.Sprint("crashes reported by members are not reported back to them"))
		})
	}
}

// Three unrecorded crashes, or a request that was served, hold nothing: the threshold is higher
// for a proxy that does not see everything.
func TestUnrecordedCrashesHoldNoHarmlessRequest(t *testing.T) {
	wall := time.Unix(1_700_000_000, 0)
	guard := New("p")
	guard.SetReporter(&fakeGroup{})
	guard.ApplyUnrecorded(later, crashReport(3))
	must.False(t, guard.holdsCrashing(later, wall))
	guard.ApplyUnrecorded(later, crashReport(4))
	must.True(t, guard.holdsCrashing(later, wall))
	guard.NoteServed(later, crashingRequest)
	must.False(t, guard.holdsCrashing(later, wall))
	guard.ApplyUnrecorded(later, crashReport(4))
	must.False(t, guard.holdsCrashing(later, wall), must.Sprint("the request was served"))
}

// Once a leader commits, its record decides: crashes reported by members are dropped, while this
// proxy's own observations remain.
func TestNextCommitDropsReportsOfMembers(t *testing.T) {
	wall := time.Unix(1_700_000_000, 0)
	guard := New("p")
	guard.SetReporter(&fakeGroup{connected: true})
	guard.NoteCrash(later, quarantine.AgedEvidence{Evidence: quarantine.Evidence{Fingerprint: crashingRequest, Replica: "seen"}})
	guard.ApplyUnrecorded(later, crashReport(4))
	must.True(t, guard.holdsCrashing(later, wall))
	guard.Follow(recordView(1, "", wall), later)
	must.False(t, guard.holdsCrashing(later, wall))
	must.Eq(t, 1, guard.table.CountFailures(crashingRequest))
}
