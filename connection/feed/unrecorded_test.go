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
	report     EndReport
	generation uint64
}

func (g *unrecordedGroup) Unrecorded() (EndReport, uint64) {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.report, g.generation
}

func (g *unrecordedGroup) addCrash(replica string) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.generation++
	g.report.Ended = append(g.report.Ended, quarantine.Aged{Evidence: quarantine.Evidence{Replica: replica}, Age: time.Second})
}

// Unrecorded crashes are sent to daemons by the leader that serves them and by a standby member,
// immediately when they change and periodically as long as there are any.
func TestUnrecordedCrashesAreSentToDaemons(t *testing.T) {
	for name, leads := range map[string]bool{"by the leader": true, "by a standby member": false} {
		t.Run(name, func(t *testing.T) {
			group := &unrecordedGroup{fakeGroup: newFakeGroup()}
			server, address := startServer(t, group)
			group.put("water")
			reports := make(chan EndReport, 1000)
			client, err := Dial(ClientConfig{
				Daemon: "proxy-a", Addresses: []string{address}, BeatInterval: 20 * time.Millisecond, SilenceTimeout: time.Second,
				BackoffMin: time.Millisecond, BackoffMax: 20 * time.Millisecond, Standby: true,
				Unrecorded: func(report EndReport) { reports <- report },
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
				must.SliceLen(t, i+1, report.Ended)
				must.Eq(t, replica, report.Ended[i].Replica)
				must.Eq(t, time.Second, report.Ended[i].Age)
			}
			began := time.Now()
			must.SliceLen(t, 2, (<-reports).Ended)
			must.GreaterEq(t, UnrecordedPause/2, time.Since(began), must.Sprint("unchanged crashes are sent again only periodically"))
		})
	}
}
