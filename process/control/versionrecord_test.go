package control

import (
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/request/resume"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// unknownStream is a stream of which nothing is recorded.
const unknownStream = resume.Stream(90)

// list sets the replicas of the service "tiles" by their software versions, and waits until all members know.
func (g *growingGroup) list(versions ...string) {
	g.t.Helper()
	var replicas []api.Replica
	for i, version := range versions {
		replica := replicaOf(string(rune('a'+i)), false)
		replica.Spec.SoftwareVersion = version
		replicas = append(replicas, replica)
	}
	g.fleet.set(replicas...)
	g.awaitListed(versions)
}

// awaitListed waits until all running members have observed the replicas of these versions.
func (g *growingGroup) awaitListed(versions []string) {
	g.t.Helper()
	eventually(g.t, "all members have the list", func() bool {
		for i := range g.running {
			current := g.running[i].member.group.Load()
			if current == nil {
				return false
			}
			listed := current.machine.view().Replicas
			if !slices.Equal(slices.Sorted(maps.Keys(countVersions(listed))), slices.Compact(slices.Sorted(slices.Values(versions)))) {
				return false
			}
			current.streams.observe(monotonic(), current.machine.history.Load())
		}
		return len(g.running) > 0
	})
}

func countVersions(replicas map[string]*api.Replica) map[string]int {
	counts := map[string]int{}
	for _, replica := range replicas {
		counts[replica.Spec.SoftwareVersion]++
	}
	return counts
}

// knownAs reports whether the member answers that the stream began at the version; empty for an answer that it does
// not know.
func (g *growingGroup) knownAs(i int, stream resume.Stream, version string) bool {
	current := g.running[i].member.group.Load()
	if current == nil {
		return false
	}
	grant, decided := current.Charge(feed.ChargeRequest{Streams: &resume.Report{Service: "tiles", Streams: []resume.Stream{stream}}})
	must.True(g.t, decided)
	if version == "" {
		return !grant.Granted
	}
	return grant == feed.StreamGrant(version, true)
}

// awaitKnown waits until each of the members answers that the stream began at the version.
func (g *growingGroup) awaitKnown(stream resume.Stream, version string, members ...int) {
	g.t.Helper()
	eventually(g.t, "the version of the stream is known", func() bool {
		return !slices.ContainsFunc(members, func(i int) bool { return !g.knownAs(i, stream, version) })
	})
}

// restartAll kills all members at once, and starts them again.
func (g *growingGroup) restartAll() []int {
	g.t.Helper()
	members := slices.Sorted(maps.Keys(g.running))
	for _, i := range members {
		g.crash(i)
	}
	g.start(members...)
	g.leader()
	return members
}

func newStreamGroup(t *testing.T) *growingGroup {
	t.Helper()
	g := newGrowingGroup(t, 3, 3, 1)
	g.awaitVoters(3, g.startAll(3)...)
	g.replaceIngress(0, ingressOf(1, "document"))
	return g
}

// Guards against streams of a version that has left the list, which are taken for streams of the one that is left after
// all processes were killed.
func TestListedVersionIsNotTakenForTheOneThatHasLeft(t *testing.T) {
	g := newStreamGroup(t)
	g.list("v1", "v2")
	g.list("v2")
	for i := range g.running {
		g.awaitRecord(i, func(watch *versionWatch) bool {
			return !watch.services["tiles"].mixed && watch.services["tiles"].changed
		})
	}
	members := g.restartAll()
	g.awaitListed([]string{"v2"})
	g.awaitKnown(unknownStream, "", members...)
}

// Guards against streams that are refused after a restart though their service has had one version all the time.
func TestOnlyVersionIsKnownAfterARestartOfAllMembers(t *testing.T) {
	g := newStreamGroup(t)
	g.list("v1", "v1")
	for i := range g.running {
		record := g.running[i].member.streams.versions
		record.lock.Lock()
		record.knownSince -= resume.Lifetime // as if the group had run for that long
		record.lock.Unlock()
		pause.Signal(record.changed)
		g.awaitRecord(i, func(stored *versionWatch) bool { return monotonic()-stored.knownSince >= resume.Lifetime-maxClockStep })
	}
	members := g.restartAll()
	g.awaitListed([]string{"v1"})
	for _, i := range members {
		must.Eq(t, "v1", g.running[i].member.streams.versions.only(monotonic()+maxClockStep, "tiles"))
	}
}

// awaitRecord waits until what the member has stored of the versions meets the condition.
func (g *growingGroup) awaitRecord(i int, condition func(*versionWatch) bool) {
	g.t.Helper()
	eventually(g.t, "the versions are stored", func() bool {
		data, err := os.ReadFile(g.running[i].member.streams.versions.path)
		watch := newVersionWatch()
		return err == nil && watch.restore(data, monotonic(), time.Now()) == nil && watch.services["tiles"] != nil && condition(watch)
	})
}

// Guards against a version that was listed beside another one for longer than streams last, without any change of the
// list in that time, and is forgotten as soon as it leaves.
func TestVersionThatLeavesAfterALongTimeIsRemembered(t *testing.T) {
	watch := newVersionWatch()
	observe := func(now time.Duration, revision uint64, versions ...string) {
		current := view.New()
		current.Version = view.Version{Term: 1, Revision: revision}
		for _, version := range versions {
			current.Replicas[version] = &api.Replica{Metadata: api.Metadata{Name: version}, Spec: api.ReplicaSpec{Service: "chat", SoftwareVersion: version}}
		}
		watch.observe(now, &view.History{View: current, Floor: revision})
	}
	observe(0, 1, "v2")
	observe(time.Second, 2, "v1", "v2")
	observe(time.Minute, 3, "v2")
	must.Eq(t, "", watch.only(time.Minute+resume.Lifetime-1, "chat"))
	must.Eq(t, "v2", watch.only(time.Minute+resume.Lifetime, "chat"))
}

// Guards against a member that has lost its disk, or joins anew, and takes the list that it finds for the whole past.
func TestMemberWithoutPastKnowsNoOnlyVersion(t *testing.T) {
	watch := newVersionWatch()
	watch.forgetPast(0)
	current := view.New()
	current.Version = view.Version{Term: 1, Revision: 1}
	current.Replicas["r"] = &api.Replica{Metadata: api.Metadata{Name: "r"}, Spec: api.ReplicaSpec{Service: "chat", SoftwareVersion: "v2"}}
	watch.observe(0, &view.History{View: current, Floor: 1})
	must.Eq(t, "", watch.only(resume.Lifetime-1, "chat"))
	must.Eq(t, "v2", watch.only(resume.Lifetime, "chat"))
}

// Guards against streams that are refused for the first seconds of a new group, which has no past that could be unknown;
// and against a member that joins later and takes its own start for that of the group.
func TestOnlyTheFirstStartOfTheGroupHasNoUnknownPast(t *testing.T) {
	for _, firstStart := range []bool{true, false} {
		record := newVersionRecord(Config{DataFolder: t.TempDir(), FirstStart: firstStart}.WithDefaults(), nopLogger{})
		record.load(time.Second, time.Now())
		must.Eq(t, !firstStart, record.pastUnknown)
	}
}

// Guards against a clock that was stepped while the member was down: no change may seem to lie in the future, nor
// longer ago than the largest step allows.
func TestVersionRecordBearsClockSteps(t *testing.T) {
	watch := newVersionWatch()
	watch.services["chat"] = &watchedVersions{counts: map[string]int{}, single: "v2", changed: true, changedAt: time.Minute}
	wall := time.Now()
	record := watch.encode(time.Minute, wall)
	for step, age := range map[time.Duration]time.Duration{-time.Hour: 0, 0: 0, maxClockStep: 0, maxClockStep + time.Second: time.Second, time.Hour: 2 * resume.Lifetime} {
		restored := newVersionWatch()
		must.NoError(t, restored.restore(record, time.Hour, wall.Add(step)))
		must.Eq(t, time.Hour-age, restored.services["chat"].changedAt.Round(time.Second), must.Sprint(step))
	}
	must.Error(t, newVersionWatch().restore(record[:len(record)-1], time.Hour, wall))
}
