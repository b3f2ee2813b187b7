package ingress

import (
	"cmp"
	"context"
	"time"

	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/request/resume"
	"github.com/landingtrail/landingtrail/version/api"
)

// Replicas of several software versions may serve side by side in one service, and what two versions write does
// not fit together. A stream of which the caller has events therefore goes on only at the version that began it:
//
//   - Within one answer, the session knows that version.
//   - A caller that takes a stream up names the call that began it, or sends the same content again. Every member
//     that places a request, and every proxy that sends one, records its version before the send; see package
//     resume. What nobody knows is refused.
//
// Replicas without a known version serve all but what another replica has begun. Where no replica of a service has a
// version, as with a control group of an earlier release, versions are not compared.

// streamDirectory knows which software versions began the streams of other proxies; implemented by *feed.Client.
type streamDirectory interface {
	FindStream(ctx context.Context, service string, stream resume.Stream) (version uint64, known bool, err error)
	ReportStreams(report resume.Report) bool
}

// maxOwnStreams limits the streams of one lifetime that this proxy remembers.
const maxOwnStreams = 200_000

// causeUnknownStream is returned to callers that take up a stream of which nobody knows the version.
const causeUnknownStream = "unknown_stream"

// origin is where the events come from that the caller has.
type origin struct {
	begun   bool   // the caller has events
	version string // of the software that began the stream; empty if unknown
}

// mayBeTakenUp reports whether callers may take up the stream of this request, so that its version is recorded.
func (s *session) mayBeTakenUp() bool {
	return s.route.Kind == api.RouteStreaming && s.route.Resumable && s.upstream.fleet.comparesVersions()
}

// streams returns the identifiers of the stream that the request begins or continues, none if it is not one that may
// be taken up. Callers of an earlier release name no call; their streams are known by the content of the request.
func (s *session) streams() []resume.Stream {
	if !s.mayBeTakenUp() {
		return nil
	}
	if s.streamIDs == nil {
		call := s.call.ID
		if s.call.ResumeAfter != "" {
			call = cmp.Or(s.call.Resumes, call)
		}
		s.streamIDs = []resume.Stream{resume.NewStream(s.upstream.service, s.call.Tenant, call), s.content()}
	}
	return s.streamIDs
}

// content returns the identifier of the streams of this content.
func (s *session) content() resume.Stream {
	return resume.NewContent(s.upstream.service, s.call.Tenant, s.call.Method, s.call.Host+s.call.Target, s.call.Body)
}

// findOrigin finds the version that began the stream which the caller takes up. It returns false if that is not
// known.
func (s *session) findOrigin(ctx context.Context) bool {
	if s.call.ResumeAfter == "" || !s.mayBeTakenUp() {
		return true
	}
	version, from := s.lookUpVersion(ctx)
	s.origin = origin{begun: true, version: version}
	event.StreamTakenUp.Log(s.ingress.logger, "request", s.call.ID, "service", s.upstream.service, "resumes", s.call.Resumes,
		"after", s.call.ResumeAfter, "software", version, "known_by", from)
	return version != ""
}

// Who knew the version of a stream, as used in logs.
const (
	knownByProxy  = "proxy"
	knownByMember = "member"
	knownByNobody = "nobody"
)

// lookUpVersion returns the version that began the stream, and who knew it. Only a member can know that all streams
// of one content have the same version.
func (s *session) lookUpVersion(ctx context.Context) (version, from string) {
	if s.call.Resumes == "" {
		return s.askVersion(ctx, s.content())
	}
	stream := resume.NewStream(s.upstream.service, s.call.Tenant, s.call.Resumes)
	if version, known := s.ingress.streams.Find(s.ingress.now(), stream); known {
		return version, knownByProxy
	}
	return s.askVersion(ctx, stream)
}

const (
	// maxQuestionTime limits the time spent on questions about one stream. A process that has just started finds
	// a member within that time.
	maxQuestionTime = time.Second
	// questionTimeout is how long to wait for the answer to one question. A network that carries the traffic of
	// lost machines delays answers for longer than a charge can be waited for.
	questionTimeout = 300 * time.Millisecond
	// questionPause is the time between two questions.
	questionPause = 50 * time.Millisecond
)

// askVersion asks a member which version began the stream, and again while none answers.
func (s *session) askVersion(ctx context.Context, stream resume.Stream) (version, from string) {
	if s.ingress.directory == nil {
		return "", knownByNobody
	}
	ctx, cancel := context.WithTimeout(ctx, maxQuestionTime)
	defer cancel()
	for {
		hash, known, err := s.findStream(ctx, stream)
		if err == nil && known {
			return s.upstream.fleet.versionOf(hash), knownByMember
		}
		if err == nil || !pause.Sleep(ctx, questionPause) {
			return "", knownByNobody
		}
	}
}

// findStream asks a member once.
func (s *session) findStream(ctx context.Context, stream resume.Stream) (version uint64, known bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	return s.ingress.directory.FindStream(ctx, s.upstream.service, stream)
}

// requiredVersion returns the only version at which the request may run; bound is false if it may run at any.
func (s *session) requiredVersion() (version string, bound bool) {
	if !s.origin.begun || !s.upstream.fleet.comparesVersions() {
		return "", false
	}
	return s.origin.version, true
}

// fitsVersion reports whether the request may run at the replica's version.
func (s *session) fitsVersion(target *replica) bool {
	version, bound := s.requiredVersion()
	return !bound || version != "" && version == target.softwareVersion(s.ingress.now())
}

// hasNoVersion reports whether the request cannot run anywhere, because nobody knows the version that began it.
func (s *session) hasNoVersion() bool {
	version, bound := s.requiredVersion()
	return bound && version == ""
}

// recordBegun records, before the request is sent, the version at which its stream begins or goes on. A member that
// placed the request there knows.
func (s *session) recordBegun(chosen plan) {
	streams := s.streams()
	if len(streams) == 0 {
		return
	}
	begun := resume.Report{Version: chosen.target.softwareVersion(s.ingress.now()), Streams: streams}
	s.ingress.streams.Apply(s.ingress.now(), begun)
	if !chosen.placed && s.ingress.directory != nil {
		s.ingress.directory.ReportStreams(begun)
	}
}

// noteOrigin records at which version the stream has begun whose first event was received.
func (s *session) noteOrigin(from *replica) {
	if !s.origin.begun {
		s.origin = origin{begun: true, version: from.softwareVersion(s.ingress.now())}
	}
}

// reportStreams reports all streams that this proxy remembers to a member that has just started to place requests.
func (i *Ingress) reportStreams(maxStreams int) {
	if i.directory == nil {
		return
	}
	for _, report := range i.streams.Reports(i.now(), maxStreams) {
		i.directory.ReportStreams(report)
	}
}

// softwareVersion returns the version of the software of the process that answers under the replica's name; empty
// if unknown. Replicas that state no start time get a new name with each start, and any other process refuses
// requests for the old one.
func (r *replica) softwareVersion(now time.Duration) string {
	spec := r.spec()
	r.lock.Lock()
	defer r.lock.Unlock()
	if spec.Born != 0 && r.crashedAt != 0 && now-r.crashedAt < resume.RestartDoubt {
		return ""
	}
	return spec.SoftwareVersion
}

// comparesVersions reports whether streams of the service go on only at the version that began them. They go on
// anywhere if replicas are listed and none has a version. As long as none is listed, nothing is known of versions, and
// members may name replicas for single requests.
func (f *fleet) comparesVersions() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return len(f.softwareVersions) > 0 || !f.listsReplicas
}

// listsReplicas reports whether the listing contains a replica of the service.
func listsReplicas(service string, listed listing) bool {
	for _, entry := range listed {
		if entry.Spec.Service == service {
			return true
		}
	}
	return false
}

// versionOf returns the listed software version with the hash, empty for none.
func (f *fleet) versionOf(hash uint64) string {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.softwareVersions[hash]
}

// softwareVersionsOf returns the software versions of a service's listed replicas, by their hashes.
func softwareVersionsOf(service string, listed listing) map[uint64]string {
	var versions map[uint64]string
	last := ""
	for _, entry := range listed {
		version := entry.Spec.SoftwareVersion
		if entry.Spec.Service != service || version == "" || version == last {
			continue
		}
		if versions == nil {
			versions = map[uint64]string{}
		}
		versions[resume.HashVersion(version)] = version
		last = version
	}
	return versions
}
