package control

import (
	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/request/resume"
)

// maxStreams limits the streams that are placed, or reported, in one lifetime.
const maxStreams = 1_000_000

func newStreamRegistry() *resume.Registry { return resume.NewRegistry(resume.Lifetime, maxStreams) }

// recordPlacedStreams records at which software version a stream begins, or continues, before the request is
// sent there. doubtful are the replicas whose versions are in doubt.
func (g *group) recordPlacedStreams(streams []resume.Stream, answer placement.Answer, doubtful []string) {
	now := monotonic()
	g.streams.observe(now, g.machine.history.Load())
	if len(streams) == 0 || answer.Generator == "" {
		return
	}
	g.streams.record(now, resume.Report{Version: g.placedVersion(answer, doubtful), Streams: streams})
}

// findStream answers which version began a stream; the grant is refused if this member does not know. It returns
// false for a question of another form.
func (g *group) findStream(question resume.Report) (quota.Grant, bool) {
	if len(question.Streams) != 1 {
		return quota.Grant{}, false
	}
	now := monotonic()
	version, known := g.streams.registry.Find(now, question.Streams[0])
	if !known {
		g.streams.observe(now, g.machine.history.Load())
		version = g.streams.versions.only(now, question.Service)
	}
	return feed.StreamGrant(version, version != ""), true
}
