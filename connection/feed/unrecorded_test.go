package feed

import (
	"sync"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// unrecordedGroup is a member with crashes that are not in the committed record.
type unrecordedGroup struct {
	*fakeGroup
	lock       sync.Mutex
	report     CrashReport
	generation uint64
}

func (g *unrecordedGroup) UnrecordedCrashes() (CrashReport, uint64) {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.report, g.generation
}

func (g *unrecordedGroup) addCrash(replica string) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.generation++
	g.report.Crashes = append(g.report.Crashes, quarantine.AgedEvidence{Evidence: quarantine.Evidence{Replica: replica}, Age: time.Second})
}

// Unrecorded crashes are sent to daemons by the leader that serves them and by a standby member,
// immediately when they change and periodically as long as there are any.
func TestUnrecordedCrashesAreSentToDaemons(t *testing.T) {
	for name, leads := range map[string]bool{"by the leader": true, "by a standby member": false} {
		t.Run(name, func(t *testing.T) {
			group := &unrecordedGroup{fakeGroup: newFakeGroup()}
			server, address := startServer(t, group)
			group.put("water")
			reports := make(chan CrashReport, 1000)
			client, err := Dial(ClientConfig{
				Daemon: "proxy-a", Addresses: []string{address}, HeartbeatInterval: 20 * time.Millisecond, SilenceTimeout: time.Second,
				BackoffMin: time.Millisecond, BackoffMax: 20 * time.Millisecond, Standby: true,
				OnUnrecordedCrashes: func(report CrashReport) { reports <- report },
			}, view.NewHolder())
			must.NoError(t, err)
			t.Cleanup(client.Close)
			eventually(t, "the leader to serve", client.Connected)
			if !leads {
				group.setLeadership(false, false, 1, "")
				server.Wake()
				eventually(t, "the standby session", func() bool { return client.standby.Load() != nil })
			}
			must.Eq(t, 0, len(reports))
			for i, replica := range []string{"r-0", "r-1"} {
				group.addCrash(replica)
				report := <-reports
				must.SliceLen(t, i+1, report.Crashes)
				must.Eq(t, replica, report.Crashes[i].Replica)
				must.Eq(t, time.Second, report.Crashes[i].Age)
			}
			began := time.Now()
			must.SliceLen(t, 2, (<-reports).Crashes)
			must.GreaterEq(t, UnrecordedInterval/2, time.Since(began), must.Sprint("unchanged crashes are sent again only periodically"))
		})
	}
}
