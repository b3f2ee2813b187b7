package guard

import (
	"fmt"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/shoenig/test/must"
)

// endsAt is a member's word on ends of the fatal request, a second apart.
func endsAt(replicas int) feed.EndReport {
	var report feed.EndReport
	for i := range replicas {
		report.Ended = append(report.Ended, quarantine.Aged{
			Evidence: quarantine.Evidence{Fingerprint: fatal, Replica: fmt.Sprint("r-", i)},
			Age:      time.Duration(replicas-i) * time.Second,
		})
	}
	return report
}

// Seen: a request that ends each replica was sent on for 17 s (the soak's seed 3024, "fatal").
// How: leaders came and went and none could commit. Each proxy had seen one end; the one that led knew
// of all of them and could tell nobody.
// Cause: proxies learnt from each other through the record alone, which needs a commit.
// Proof: the kept log: outcomes unknown from 31.0 to 48.7 s, and nothing on record.
func TestEndsThatCanNotBeRecordedAreJudgedByTheProxy(t *testing.T) {
	wall := time.Unix(1_700_000_000, 0)
	for name, connected := range map[string]bool{"by a leader that can't commit": true, "by a member that stands by": false} {
		t.Run(name, func(t *testing.T) {
			made, members := New("p"), &group{connected: true}
			made.SetReporter(members)
			made.Follow(record(1, "", wall), 0)
			members.connected = connected
			made.Ended(later, quarantine.Evidence{Fingerprint: fatal, Replica: "r-3"})
			must.False(t, made.holdsFatal(later, wall), must.Sprint("one end tells nothing"))
			made.Unrecorded(later, endsAt(3))
			must.True(t, made.Active())
			must.True(t, made.holdsFatal(later, wall), must.Sprint("four ends are known here"))
			for range 3 {
				later := later + toldTime - time.Second
				made.Unrecorded(later, endsAt(3))
				must.True(t, made.holdsFatal(later, wall), must.Sprint("as long as it is told"))
			}
			members.connected = true
			must.False(t, made.holdsFatal(later+3*toldTime, wall), must.Sprint("the record decides again"))
			members.told = nil
			made.ReportAll(later)
			must.SliceLen(t, 1, members.told[0].Ended, must.Sprint("what members told is not told to them"))
		})
	}
}

// Three ends and no more, and what was served, hold nothing: the bar of who does not see everything.
func TestUnrecordedEndsHoldNoBystander(t *testing.T) {
	wall := time.Unix(1_700_000_000, 0)
	made := New("p")
	made.SetReporter(&group{})
	made.Unrecorded(later, endsAt(3))
	must.False(t, made.holdsFatal(later, wall))
	made.Unrecorded(later, endsAt(4))
	must.True(t, made.holdsFatal(later, wall))
	made.Served(later, fatal)
	must.False(t, made.holdsFatal(later, wall))
	made.Unrecorded(later, endsAt(4))
	must.False(t, made.holdsFatal(later, wall), must.Sprint("it was served"))
}

// Once a leader commits, its record decides: what members told before is dropped, what was seen here stays.
func TestNextCommitEndsWhatMembersTold(t *testing.T) {
	wall := time.Unix(1_700_000_000, 0)
	made := New("p")
	made.SetReporter(&group{connected: true})
	made.Ended(later, quarantine.Evidence{Fingerprint: fatal, Replica: "seen"})
	made.Unrecorded(later, endsAt(4))
	must.True(t, made.holdsFatal(later, wall))
	made.Follow(record(1, "", wall), later)
	must.False(t, made.holdsFatal(later, wall))
	must.Eq(t, 1, made.table.CountEnds(fatal))
}
