package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/resume"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// streamOfVersion streams events that name the version of their replica, up to the given last one. Unless
// it is to end, it then breaks off.
func streamOfVersion(version string, last int, end bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		first, _ := strconv.Atoi(r.Header.Get(testResume))
		writeGenuine(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		for id := first + 1; id <= last; id++ {
			_, _ = io.WriteString(w, fmt.Sprintf("id: %d\ndata: %s\n\n", id, version))
			w.(http.Flusher).Flush()
		}
		if !end {
			panic(http.ErrAbortHandler)
		}
	}
}

// setVersionedReplicas lists decode replicas of the model service with their software versions.
func (env *testEnv) setVersionedReplicas(versions map[*fakeReplica]string) {
	env.views.set(func(v *view.View) {
		v.Replicas = map[string]*api.Replica{}
		for replica, version := range versions {
			v.Replicas[replica.name] = replicaObject(replica, "model", api.RoleDecode)
			v.Replicas[replica.name].Spec.SoftwareVersion = version
		}
	})
}

// versionsIn returns the versions named in the events of a stream, each once.
func versionsIn(body string) map[string]bool {
	versions := map[string]bool{}
	for line := range strings.Lines(body) {
		if version, found := strings.CutPrefix(line, "data: "); found {
			versions[strings.TrimSpace(version)] = true
		}
	}
	return versions
}

// resuming returns a request of a caller that has received events of a stream that an earlier call began.
func resuming(call string, after int) testRequest {
	request := modelRequest
	request.id = call + "-again"
	request.fields = map[string]string{testTokens: "9000", testResume: strconv.Itoa(after), testResumes: call}
	return request
}

// Guards against a stream that goes on, within one answer, at a replica of another software version than the one that
// began it.
func TestBrokenStreamGoesOnAtItsOwnVersion(t *testing.T) {
	env := newTestEnv(t)
	env.withLongObjective()
	versions := map[*fakeReplica]string{newFakeReplica(t, "old", streamOfVersion("v1", 6, true)): "v1"}
	breaking := newFakeReplica(t, "breaking", streamOfVersion("v1", 3, false))
	versions[breaking] = "v1"
	for i := range 4 {
		versions[newFakeReplica(t, fmt.Sprint("new-", i), streamOfVersion("v1.1", 6, true))] = "v1.1"
	}
	versions[newFakeReplica(t, "unknown", streamOfVersion("", 6, true))] = ""
	env.setVersionedReplicas(versions)
	for i := range 40 {
		request := modelRequest
		request.id = fmt.Sprint("q-", i)
		got := env.do(request)
		must.NoError(t, got.err)
		must.MapLen(t, 1, versionsIn(got.body), must.Sprint(got.body))
	}
	must.Positive(t, breaking.count())
}

// Guards against the same where no replica of that version is left: the stream breaks off visibly.
func TestStreamBreaksOffWithoutAReplicaOfItsVersion(t *testing.T) {
	for _, version := range []string{"v1", ""} { // a version that is not known is like no other
		env := newTestEnv(t)
		env.withLongObjective()
		other := newFakeReplica(t, "other", streamOfVersion("v2", 6, true))
		env.setVersionedReplicas(map[*fakeReplica]string{newFakeReplica(t, "breaking", streamOfVersion(version, 3, false)): version, other: "v2"})
		for i := range 10 {
			request := modelRequest
			request.id = fmt.Sprint("q-", i)
			got := env.do(request)
			must.MapLen(t, 1, versionsIn(got.body), must.Sprint(got.body))
		}
	}
}

// Guards against a stream that a caller takes up at another proxy and that goes on at any version: where it is not
// known which version began it, it is refused at once, and the answer promises that it has not run.
func TestResumedStreamOfUnknownVersionIsRefused(t *testing.T) {
	env := newTestEnv(t)
	env.withLongObjective()
	one := newFakeReplica(t, "one", streamOfVersion("v1", 6, true))
	two := newFakeReplica(t, "two", streamOfVersion("v2", 6, true))
	env.setVersionedReplicas(map[*fakeReplica]string{one: "v1", two: "v2"})
	for _, request := range []testRequest{resuming("elsewhere", 3), resuming("", 3)} {
		got := env.do(request)
		must.NoError(t, got.err)
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		must.NotEq(t, "", got.header.Get(testAgain))
	}
	must.Eq(t, 0, one.count()+two.count())
}

// memberDirectory is a member of the control group that receives reports of streams.
type memberDirectory struct {
	lock    sync.Mutex
	streams *resume.Registry
	err     error
	// failures is the number of questions that are not answered first.
	failures int
	// delay is how long an answer takes.
	delay time.Duration
}

func newMemberDirectory() *memberDirectory {
	return &memberDirectory{streams: resume.NewRegistry(resume.Lifetime, maxOwnStreams)}
}

func (d *memberDirectory) FindStream(ctx context.Context, _ string, stream resume.Stream) (uint64, bool, error) {
	if d.delay > 0 && !pause.Sleep(ctx, d.delay) {
		return 0, false, ctx.Err()
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.failures > 0 {
		d.failures--
		return 0, false, feed.ErrNotCharged
	}
	version, known := d.streams.Find(0, stream)
	return resume.HashVersion(version), known, d.err
}

func (d *memberDirectory) ReportStreams(report resume.Report) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.streams.Apply(0, report)
	return d.err == nil
}

// versionedProxies are proxies that share replicas and a member of the control group. The first one has a replica of
// version v1 that breaks off, the others have whole ones; all have several of v2.
type versionedProxies struct {
	first, second, third *testEnv
	member               *memberDirectory
	breaking             *fakeReplica
}

func newVersionedProxies(t *testing.T) *versionedProxies {
	t.Helper()
	proxies := &versionedProxies{member: newMemberDirectory()}
	proxies.breaking = newFakeReplica(t, "breaking", streamOfVersion("v1", 3, false))
	others := map[*fakeReplica]string{}
	for i := range 4 {
		others[newFakeReplica(t, fmt.Sprint("new-", i), streamOfVersion("v2", 6, true))] = "v2"
	}
	proxies.first = proxies.add(t, map[*fakeReplica]string{proxies.breaking: "v1"})
	others[newFakeReplica(t, "old", streamOfVersion("v1", 6, true))] = "v1"
	proxies.second, proxies.third = proxies.add(t, others), proxies.add(t, others)
	return proxies
}

func (p *versionedProxies) add(t *testing.T, replicas map[*fakeReplica]string) *testEnv {
	t.Helper()
	env := newTestEnv(t)
	env.ingress.directory = p.member
	env.withLongObjective()
	env.setVersionedReplicas(replicas)
	return env
}

// begin begins a stream at the first proxy, which breaks off after three events.
func (p *versionedProxies) begin(call string) {
	request := modelRequest
	request.id = call
	p.first.do(request)
}

// Guards against a stream that another proxy continues at any version, or refuses although a member knows where it
// began; also where its caller comes back a second time and names the first call again.
func TestStreamIsTakenUpAtItsVersion(t *testing.T) {
	proxies := newVersionedProxies(t)
	for i := range 20 {
		call := fmt.Sprint("q-", i)
		proxies.begin(call)
		for _, env := range []*testEnv{proxies.second, proxies.third} {
			got := env.do(resuming(call, 3))
			must.NoError(t, got.err)
			must.Eq(t, http.StatusOK, got.status)
			must.Eq(t, map[string]bool{"v1": true}, versionsIn(got.body))
		}
	}
}

// Guards against a stream that is refused although a member knows which version began it, since the answer takes
// longer than a charge may: the proxies that are left after a loss of power share a network that is full (a hunt of
// radarvlak-tiles-grown). Without any answer it is refused soon.
func TestStreamIsTakenUpThoughTheMemberAnswersLate(t *testing.T) {
	proxies := newVersionedProxies(t)
	proxies.begin("q")
	proxies.member.delay = 100 * time.Millisecond
	got := proxies.second.do(resuming("q", 3))
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, map[string]bool{"v1": true}, versionsIn(got.body))

	proxies.member.delay = time.Hour
	began := time.Now()
	must.Eq(t, http.StatusServiceUnavailable, proxies.third.do(resuming("q", 3)).status)
	must.Between(t, maxQuestionTime, time.Since(began), 3*maxQuestionTime)
}

// Guards against callers that name no call, as those of an earlier release: they are known by what they send, and refused
// where that stands for streams of several versions.
func TestStreamIsTakenUpByItsContent(t *testing.T) {
	proxies := newVersionedProxies(t)
	proxies.begin("q")
	again := resuming("", 3)
	got := proxies.second.do(again)
	must.Eq(t, map[string]bool{"v1": true}, versionsIn(got.body))
	again.body = "another one"
	must.Eq(t, http.StatusServiceUnavailable, proxies.second.do(again).status)
	for i := range 20 { // the same content, begun at both versions
		request := modelRequest
		request.id = fmt.Sprint("other-", i)
		proxies.second.do(request)
	}
	must.Eq(t, http.StatusServiceUnavailable, proxies.third.do(resuming("", 3)).status)
	must.Eq(t, map[string]bool{"v1": true}, versionsIn(proxies.third.do(resuming("q", 3)).body))
}

// Guards against a proxy that takes its own streams for all of a content: another proxy began one at another version.
func TestContentIsKnownByMembersAlone(t *testing.T) {
	proxies := newVersionedProxies(t)
	proxies.begin("q")
	proxies.member.ReportStreams(resume.Report{Version: "v2", Streams: []resume.Stream{resume.NewContent("model", "", "POST", "a.example/model/", nil)}})
	must.Eq(t, http.StatusServiceUnavailable, proxies.first.do(resuming("", 3)).status)
}

// Guards against a stream that is refused because a proxy that has just started has not found a member yet.
func TestUnansweredQuestionIsAskedAgain(t *testing.T) {
	proxies := newVersionedProxies(t)
	proxies.begin("q")
	proxies.member.failures = 2
	got := proxies.second.do(resuming("q", 3))
	must.Eq(t, map[string]bool{"v1": true}, versionsIn(got.body))
}

// Guards against a version that is recorded only once the first event has come: a proxy that ends in between, or right
// after it, would leave a stream that nobody can continue.
func TestVersionIsRecordedBeforeTheSend(t *testing.T) {
	proxies := newVersionedProxies(t)
	stream := resume.NewStream("model", "", "q")
	known := false
	proxies.breaking.server.Config.Handler = callFirst(proxies.breaking.server.Config.Handler, func() {
		_, known, _ = proxies.member.FindStream(t.Context(), "model", stream)
	})
	proxies.begin("q")
	must.True(t, known)
}

// Guards against streams that are lost with the member that knew them: the proxies that serve them report to the next one.
func TestNextMemberReceivesTheStreams(t *testing.T) {
	proxies := newVersionedProxies(t)
	proxies.begin("q")
	next := newMemberDirectory()
	for _, env := range []*testEnv{proxies.first, proxies.second} {
		env.ingress.directory = next
	}
	must.Eq(t, http.StatusServiceUnavailable, proxies.second.do(resuming("q", 3)).status)
	proxies.first.ingress.reportStreams(64)
	got := proxies.second.do(resuming("q", 3))
	must.Eq(t, map[string]bool{"v1": true}, versionsIn(got.body))
	must.Eq(t, 6-3, strings.Count(got.body, "data: "))
}

// Guards against a stream that goes on at any version because no member answers, or because it is another service's or
// tenant's.
func TestStreamThatNobodyKnowsIsRefused(t *testing.T) {
	proxies := newVersionedProxies(t)
	proxies.begin("q")
	must.Eq(t, http.StatusServiceUnavailable, proxies.second.do(resuming("other", 3)).status)
	proxies.member.streams.Record(0, resume.NewStream("plain", "", "other"), "v1")
	proxies.member.streams.Record(0, resume.NewStream("model", "tenant", "other"), "v1")
	must.Eq(t, http.StatusServiceUnavailable, proxies.second.do(resuming("other", 3)).status)
	proxies.member.err = feed.ErrNotCharged
	must.Eq(t, http.StatusServiceUnavailable, proxies.second.do(resuming("q", 3)).status)
}

// Guards against a proxy that is out of step while replicas of a new version join, and continues the streams that
// began there at a version of its old list: while it is cut off from the members, and also once one answers and the
// list is still old.
func TestStreamOfAVersionThatIsNotListedYetIsRefused(t *testing.T) {
	old, joined := newFakeReplica(t, "old", streamOfVersion("v1", 6, true)), newFakeReplica(t, "joined", streamOfVersion("v2", 6, true))
	proxies := &versionedProxies{member: newMemberDirectory()}
	elsewhere := proxies.add(t, map[*fakeReplica]string{newFakeReplica(t, "breaking", streamOfVersion("v2", 3, false)): "v2"})
	request := modelRequest
	request.id = "q"
	must.Eq(t, map[string]bool{"v2": true}, versionsIn(elsewhere.do(request).body))
	outOfStep := proxies.add(t, map[*fakeReplica]string{old: "v1"})
	outOfStep.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "old"}} // of a member that is out of step too
	for _, err := range []error{feed.ErrNotCharged, nil} {
		proxies.member.err = err
		for _, again := range []testRequest{resuming("q", 3), resuming("", 3)} {
			must.Eq(t, http.StatusServiceUnavailable, outOfStep.do(again).status, must.Sprint(err))
		}
	}
	must.Eq(t, 0, old.count())
	outOfStep.ingress.placer = nil
	outOfStep.setVersionedReplicas(map[*fakeReplica]string{old: "v1", joined: "v2"})
	got := outOfStep.do(resuming("q", 3))
	must.Eq(t, map[string]bool{"v2": true}, versionsIn(got.body))
	must.Eq(t, 0, old.count())
}

// Guards against a placement at another version, by a member that does not know versions, that is followed; and against a
// request that goes on elsewhere because its version has no replica left.
func TestPlacementAtAnotherVersionIsNotFollowed(t *testing.T) {
	proxies := newVersionedProxies(t)
	placer := &fakePlacer{answer: placement.Answer{Generator: "new-1"}}
	proxies.second.ingress.placer = placer
	proxies.begin("q")
	got := proxies.second.do(resuming("q", 3))
	must.Eq(t, map[string]bool{"v1": true}, versionsIn(got.body))
	must.Eq(t, "v1", placer.requests[0].SoftwareVersion)
	must.SliceContains(t, placer.requests[0].Streams, resume.NewStream("model", "", "q"))
	must.SliceContains(t, placer.requests[1].Excluded, "new-1")

	left := newFakeReplica(t, "left", streamOfVersion("v2", 6, true))
	proxies.third.setVersionedReplicas(map[*fakeReplica]string{left: "v2"})
	got = proxies.third.do(resuming("q", 3))
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.NotEq(t, "", got.header.Get(testAgain))
	must.Eq(t, 0, left.count())
}

// Guards against a stream that goes on at any version at a proxy that has just started: it has no list yet, and a member
// names a replica for the request.
func TestStreamIsNotTakenUpBeforeReplicasAreListed(t *testing.T) {
	env := newTestEnv(t)
	env.withLongObjective()
	env.ingress.directory = newMemberDirectory()
	other := newFakeReplica(t, "other", streamOfVersion("v2", 6, true))
	named := replicaObject(other, "model", api.RoleDecode)
	named.Spec.SoftwareVersion = "v2"
	env.ingress.upstreams.lookupUnlisted = func(string) *api.Replica { return named }
	env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "other"}}
	must.Eq(t, http.StatusServiceUnavailable, env.do(resuming("elsewhere", 3)).status)
	must.Eq(t, 0, other.count())
	must.Eq(t, http.StatusOK, env.do(modelRequest).status)
}

// Guards against streams that are refused, or reported, in a service whose replicas have no versions.
func TestStreamsGoOnWhereNoReplicaHasAVersion(t *testing.T) {
	env := newTestEnv(t)
	env.withLongObjective()
	member := newMemberDirectory()
	env.ingress.directory = member
	env.setVersionedReplicas(map[*fakeReplica]string{newFakeReplica(t, "one", streamOfVersion("x", 6, true)): ""})
	must.Eq(t, http.StatusOK, env.do(resuming("elsewhere", 3)).status)
	must.SliceEmpty(t, member.streams.Reports(0, 10))
}

// Guards against the version of a process that has crashed, taken for that of the next one under the same name until the
// list names that one; and against a replica of a name of its own that counts as unknown because it resets connections.
func TestVersionOfACrashedReplicaIsUnknown(t *testing.T) {
	for born, known := range map[int64]string{0: "v1", 7: ""} {
		target := newReplica("r", api.ReplicaSpec{SoftwareVersion: "v1", Born: born}, nil)
		must.Eq(t, "v1", target.softwareVersion(0))
		target.noteCrash(time.Second)
		must.Eq(t, known, target.softwareVersion(time.Second))
		must.Eq(t, "v1", target.softwareVersion(time.Second+resume.RestartDoubt))
	}
}
