package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/process/wal"
	"github.com/landingtrail/landingtrail/process/wal/faultfs"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// A leader sends evidence to daemons only while its record lags behind, and a standby member
// whenever it has any. A single crash under a request proves nothing and is not sent.
func TestUnrecordedEvidenceIsReported(t *testing.T) {
	d := newTrackerTest(t)
	reported := func(leads bool) int {
		report, _ := d.tracker.unrecordedReport(leads, d.now)
		return len(report.Crashes)
	}
	d.tracker.markRecorded(d.tracker.changeCount(), d.now)
	d.tracker.addProxyReport(crashReport(fatalRequest, "r-0"), d.now)
	must.Zero(t, reported(false))
	d.now += time.Second
	d.tracker.addProxyReport(crashReport(fatalRequest, "r-1"), d.now)
	must.Eq(t, 2, reported(false))
	d.now += maxRecordLag
	must.Eq(t, 2, reported(true), must.Sprint("evidence missing although the record lags behind"))
	report, changeCount := d.tracker.unrecordedReport(true, d.now)
	must.Eq(t, []time.Duration{time.Second + maxRecordLag, maxRecordLag}, []time.Duration{report.Crashes[0].Age, report.Crashes[1].Age})
	d.tracker.markRecorded(changeCount, d.now)
	must.Zero(t, reported(true))
	d.tracker.addProxyReport(crashReport(fatalRequest, "r-2"), d.now)
	must.Zero(t, reported(true), must.Sprint("evidence sent while the commit may still be in progress"))
	must.Eq(t, 3, reported(false))
	d.now += maxRecordLag
	must.Eq(t, 3, reported(true))
}

// A member without a leader reports to the proxies which requests were served, the latest first and no more
// of them than crashes.
func TestServedRequestsAreReportedWithoutLeader(t *testing.T) {
	d := newTrackerTest(t)
	var latest quarantine.Fingerprint
	for i := range maxReportedEvidence + 10 {
		d.now += time.Millisecond
		latest = quarantine.FingerprintOf(quarantine.RequestIdentity{Path: fmt.Sprint("/popular/", i)})
		d.tracker.addProxyReport(feed.CrashReport{Served: []quarantine.Fingerprint{latest}}, d.now)
	}
	report, _ := d.tracker.unrecordedReport(false, d.now)
	must.SliceLen(t, maxReportedEvidence, report.Served)
	must.Eq(t, latest, report.Served[0])
}

// gossipGroup is a group of members that forward evidence over links controlled by the test.
type gossipGroup struct {
	members []*evidence
	links   map[[2]int]bool
	// sent counts the messages sent over the links.
	sent int
}

// link sends one member's notices to the others.
type link struct {
	group *gossipGroup
	from  int
}

func (l link) Notify(payload []byte) {
	for to := range l.group.members {
		if to != l.from {
			l.NotifyOne(payload, raft.MemberID(to+1))
		}
	}
}

func (l link) NotifyOne(payload []byte, member raft.MemberID) {
	if to := int(member) - 1; l.group.links[[2]int{l.from, to}] && l.group.sent < maxMessages {
		l.group.sent++
		l.group.members[to].receive(raft.MemberID(l.from+1), payload)
	}
}

func newGossipGroup(t *testing.T, size int) *gossipGroup {
	group := &gossipGroup{links: map[[2]int]bool{}}
	for i := range size {
		member := newEvidence(Config{DataFolder: t.TempDir()}, log.NewNopLogger())
		group.members = append(group.members, member)
		member.setSender(link{group: group, from: i})
	}
	return group
}

// sendAll makes the members send pending evidence until none has any left.
func (g *gossipGroup) sendAll() {
	for before := -1; before != g.sent && g.sent < maxMessages; {
		before = g.sent
		for _, member := range g.members {
			member.sendUnsent()
		}
	}
}

func (g *gossipGroup) counts() (counts []int) {
	g.sendAll()
	for _, member := range g.members {
		counts = append(counts, len(member.tracker.observations(monotonic())))
	}
	return counts
}

// maxMessages ends a test whose members never stop sending.
const maxMessages = 100_000

// Guards against members that forward evidence to each other endlessly. A popular request was in
// flight at more simultaneous crashes than a table keeps; what one member dropped for a newer
// crash was new to the next one, which forwarded it, because dropping an entry counted as a
// change. The resulting traffic between zones cost nearly as much as all served requests of a day
// earned.
func TestEvidenceForwardingTerminates(t *testing.T) {
	const size, crashes = 4, 30
	g := newGossipGroup(t, size)
	for from := range size {
		for to := range size {
			g.links[[2]int{from, to}] = true
		}
	}
	for i := range crashes {
		g.members[i%size].note(simultaneousCrashReport(fatalRequest, fmt.Sprint("r-", i)), monotonic())
		g.sendAll()
	}
	must.Less(t, 2*crashes*size*size, g.sent)
}

// Evidence that one member receives reaches members that it has no connection to through others.
// Members that were cut off get it once a connection is established or one of them becomes
// leader.
func TestMembersForwardEvidence(t *testing.T) {
	g := newGossipGroup(t, 3)
	g.links = map[[2]int]bool{{0, 1}: true, {1, 2}: true} // links are unidirectional
	g.members[0].note(crashReport(fatalRequest, "r-0"), monotonic())
	must.Eq(t, []int{1, 1, 1}, g.counts())
	g.members[2].note(crashReport(fatalRequest, "r-1"), monotonic())
	must.Eq(t, []int{1, 1, 2}, g.counts())
	g.links[[2]int{2, 0}] = true
	g.members[2].sendNotable(1)
	must.Eq(t, []int{2, 2, 2}, g.counts())
	g.links = map[[2]int]bool{}
	other := quarantine.FingerprintOf(quarantine.RequestIdentity{Path: "/other"})
	g.members[1].note(crashReport(other, "r-9"), monotonic())
	must.Eq(t, []int{2, 3, 2}, g.counts())
	g.links = map[[2]int]bool{{0, 1}: true, {1, 0}: true, {0, 2}: true, {1, 2}: true}
	must.Eq(t, []int{2, 3, 2}, g.counts(), must.Sprint("nothing is sent twice"))
	g.members[0].requestAll()
	must.Eq(t, []int{3, 3, 3}, g.counts(), must.Sprint("a new leader requests all evidence and forwards it"))
	g.members[1].note(feed.CrashReport{Served: []quarantine.Fingerprint{fatalRequest, other}}, monotonic())
	must.Eq(t, []int{1, 0, 1}, g.counts(), must.Sprint("a successful answer refutes a series at every member"))
	g.members[0].receive(2, []byte("malformed report"))
	must.Eq(t, []int{1, 0, 1}, g.counts())
}

// Evidence survives a restart with its age adjusted. A damaged file is skipped and replaced by
// the next write.
func TestEvidenceSurvivesRestart(t *testing.T) {
	files := faultfs.New(1)
	must.NoError(t, files.MakeDir("data"))
	open := func() *evidence {
		return newEvidence(Config{DataFolder: "data", fileSystem: files}, log.NewNopLogger())
	}
	ages := func(at time.Time) (ages []time.Duration) {
		member := open()
		member.load(time.Hour, at)
		for _, seen := range member.tracker.observations(time.Hour) {
			ages = append(ages, seen.Age.Round(time.Second))
		}
		return ages
	}
	must.SliceEmpty(t, ages(time.Now()))
	member := open()
	member.tracker.addEvidence(crashReport(fatalRequest, "r-0"), time.Second)
	member.tracker.addEvidence(crashReport(fatalRequest, "r-1"), 3*time.Second)
	stored, err := member.save(4 * time.Second)
	must.NoError(t, err)
	must.Eq(t, 2, stored)
	must.Eq(t, []time.Duration{3 * time.Second, time.Second}, ages(time.Now()))
	must.Eq(t, []time.Duration{13 * time.Second, 11 * time.Second}, ages(time.Now().Add(10*time.Second)))
	must.Eq(t, []time.Duration{3 * time.Second, time.Second}, ages(time.Now().Add(-time.Minute)), must.Sprint("the clock was set back"))

	data, err := files.ReadFile("data/" + evidenceFile)
	must.NoError(t, err)
	for i := range data {
		damaged := append([]byte(nil), data...)
		damaged[i] ^= 1
		must.NoError(t, wal.WriteFile(files, "data/"+evidenceFile, damaged[:len(data)-i%2]))
		must.SliceEmpty(t, ages(time.Now()), must.Sprint("byte ", i))
	}
}

// A running member writes changes promptly.
func TestEvidenceIsWrittenPromptly(t *testing.T) {
	member := newEvidence(Config{DataFolder: t.TempDir()}, log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		member.runWriter(ctx)
	}()
	for i := range 3 {
		member.note(crashReport(fatalRequest, fmt.Sprint("r-", i)), monotonic())
		eventually(t, "the evidence is on disk", func() bool {
			next := newEvidence(Config{DataFolder: member.folder}, log.NewNopLogger())
			next.load(monotonic(), time.Now())
			return len(next.tracker.observations(monotonic())) == i+1
		})
	}
	cancel()
	<-done
}

// Evidence for what the leader dropped from the record, or an operator released, is dropped by
// all members: otherwise the next leader would hold the request again without a further crash.
func TestEvidenceFollowsRecordRemovals(t *testing.T) {
	recorded := func(replicas ...string) map[string]*api.Quarantine {
		return map[string]*api.Quarantine{fatalRequest.String(): {
			Metadata: api.Metadata{Name: fatalRequest.String()}, Spec: api.QuarantineSpec{Replicas: replicas},
		}}
	}
	begin := func() *quarantineTracker {
		tracker := newQuarantineTracker()
		tracker.addEvidence(crashReport(fatalRequest, "r-0", "r-1", "r-2"), time.Second)
		must.False(t, tracker.applyRecordChange(nil, recorded("r-0", "r-1", "r-2"), time.Second))
		must.Eq(t, 3, tracker.table.CountFailures(fatalRequest))
		return tracker
	}
	tracker := begin()
	must.True(t, tracker.applyRecordChange(recorded("r-0", "r-1", "r-2"), recorded("r-1", "r-2"), time.Second))
	must.Eq(t, 2, tracker.table.CountFailures(fatalRequest), must.Sprint("an expired hold keeps two crashes"))
	must.SliceEmpty(t, tracker.observations(time.Second), must.Sprint("the remaining crashes are in the record"))
	tracker = begin()
	must.True(t, tracker.applyRecordChange(recorded("r-0", "r-1", "r-2"), map[string]*api.Quarantine{}, time.Second))
	must.Eq(t, 0, tracker.table.CountFailures(fatalRequest), must.Sprint("the request was released"))
}
