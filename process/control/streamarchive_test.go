package control

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/resume"
	"github.com/shoenig/test/must"
)

// Streams of the tests.
const (
	streamOfFirst  = resume.Stream(70)
	streamOfSecond = resume.Stream(80)
)

// report reports to the leader, as a proxy does, that a stream has begun at a version.
func (g *growingGroup) report(stream resume.Stream, version string) {
	g.t.Helper()
	current := g.running[g.leader()].member.group.Load()
	current.RefundCharge(feed.ChargeRequest{Streams: &resume.Report{Version: version, Streams: []resume.Stream{stream}}})
}

// awaitStored waits until the stream is in the member's file.
func (g *growingGroup) awaitStored(i int, stream resume.Stream) {
	g.t.Helper()
	eventually(g.t, "the stream is stored", func() bool {
		data, err := os.ReadFile(filepath.Join(g.configs[i].DataFolder, streamFileName))
		if err != nil {
			return false
		}
		reports, _ := decodeStreamFile(data)
		return slices.ContainsFunc(reports, func(report resume.Report) bool { return slices.Contains(report.Streams, stream) })
	})
}

// Guards against streams that cannot be taken up once the members that knew their versions, and the proxies that sent
// them, were killed: of a stream begun before the second version was listed, and of one begun after it.
func TestStreamsOutliveAllMembers(t *testing.T) {
	g := newStreamGroup(t)
	g.list("v1", "v1")
	g.report(streamOfFirst, "v1")
	g.list("v1", "v2")
	g.report(streamOfSecond, "v2")
	for i := range g.running {
		g.awaitStored(i, streamOfFirst)
		g.awaitStored(i, streamOfSecond)
	}
	members := g.restartAll()
	g.awaitKnown(streamOfFirst, "v1", members...)
	g.awaitKnown(streamOfSecond, "v2", members...)
	g.awaitListed([]string{"v1", "v2"})
	g.awaitKnown(unknownStream, "", members...)
}

// Guards against streams of which only the member knows that placed them: it is killed together with the proxies.
func TestAllMembersKnowTheVersionsOfStreams(t *testing.T) {
	g := newStreamGroup(t)
	g.list("v1", "v2")
	g.report(streamOfFirst, "v1")
	g.report(streamOfSecond, "v2")
	followers := g.followers()
	g.awaitKnown(streamOfFirst, "v1", followers...)
	g.awaitKnown(streamOfSecond, "v2", followers...)
}

// A file that ends in the middle, as a kill leaves it, must give all reports before that.
func TestStreamFileMayEndInTheMiddle(t *testing.T) {
	reports := []resume.Report{{Version: "v1", Streams: []resume.Stream{1, 2}}, {Version: "v2", Streams: []resume.Stream{3}}}
	data := encodeStreamFile(reports)
	whole := len(encodeStreamFile(reports[:1]))
	for length := range data {
		decoded, err := decodeStreamFile(data[:length])
		want := 0
		if length >= whole {
			want = 1
		}
		must.SliceLen(t, want, decoded, must.Sprint(length))
		must.Eq(t, length == 0 || length == whole, err == nil)
	}
	decoded, err := decodeStreamFile(data)
	must.NoError(t, err)
	must.Eq(t, reports, decoded)
	data[len(data)-1]++
	decoded, err = decodeStreamFile(data)
	must.ErrorIs(t, err, errDamagedStreams)
	must.Eq(t, reports[:1], decoded)
}

// Guards against a notice for each stream where streams of several versions begin by turns.
func TestStreamsOfOneVersionGoTogether(t *testing.T) {
	const pairs = 3 * feed.MaxReportedStreams
	archive := newStreamArchive(Config{}, nopLogger{})
	archive.isOpen = true
	for i := range pairs {
		archive.record(0, resume.Report{Version: "v1", Streams: []resume.Stream{resume.Stream(4*i + 2)}})
		archive.record(0, resume.Report{Version: "v2", Streams: []resume.Stream{resume.Stream(4*i + 4)}})
	}
	must.SliceLen(t, 2*pairs/feed.MaxReportedStreams, archive.unsent)
	must.SliceLen(t, 2*pairs/feed.MaxReportedStreams, archive.unwritten)
	must.SliceLen(t, 2, archive.take(&archive.unsent, 2))
	must.SliceLen(t, 2*pairs/feed.MaxReportedStreams-2, archive.unsent)
}
