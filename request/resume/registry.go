// Package resume remembers which software version began each stream, so that a caller who takes one up
// is served by a replica of that version. A proxy remembers the streams that it serves, and each member of
// the control group those that it placed or that were reported to it.
package resume

import (
	"cmp"
	"encoding/binary"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Lifetime is how long a stream may be taken up after it was last sent to a replica. It is longer than callers
	// wait for an answer.
	Lifetime = 20 * time.Second
	// RestartDoubt is how long after a crash a replica that may keep its name may have started again, at another
	// software version, without the list showing it. Only replicas that state their start times keep their names.
	RestartDoubt = 3 * time.Second
)

// Stream identifies a stream without its names: by the call that brought its first event, or by the content of
// its request, for callers that do not name that call. Streams of different tenants and services never have the
// same one, but for a collision of 63 bits. Streams of equal content share the one of their content. 0 stands
// for no stream.
type Stream uint64

// contentBit is set in the identifiers of contents.
const contentBit = 1

// NewStream returns the identifier of the stream of which the given call brought the first event.
func NewStream(service, tenant, call string) Stream {
	return max(hash([]byte(service), []byte(tenant), []byte(call))&^contentBit, contentBit<<1)
}

// NewContent returns the identifier of all streams of requests with the given content.
func NewContent(service, tenant, method, target string, body []byte) Stream {
	return hash([]byte(service), []byte(tenant), []byte(method), []byte(target), body) | contentBit
}

// isContent reports whether other streams may have the same identifier.
func (s Stream) isContent() bool { return s&contentBit != 0 }

// hash returns a hash of the fields and of their lengths.
func hash(fields ...[]byte) Stream {
	var digest xxhash.Digest
	digest.Reset()
	var length [8]byte
	for _, field := range fields {
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = digest.Write(length[:]) // never fails
		_, _ = digest.Write(field)
	}
	return Stream(digest.Sum64())
}

// hashBits is the number of bits of a version's hash. A float64 represents it exactly.
const hashBits = 52

// HashVersion returns the hash by which a version is recognized.
func HashVersion(version string) uint64 { return xxhash.Sum64String(version) >> (64 - hashBits) }

// Report says which software version began streams.
type Report struct {
	Version string
	Streams []Stream
	// Service is that of the stream in a question, which has no version; empty in a report.
	Service string
}

// Registry remembers the versions of streams. It is safe for concurrent use.
//
// Invariant: what Find returns was recorded last for that stream and differs from nothing that was merged; for a
// content, it is the only version that was recorded. A stream is remembered for at least the lifetime, unless there are more than the registry may hold,
// and for at most twice that.
type Registry struct {
	lifetime time.Duration
	limit    int // streams in each of the two maps

	lock      sync.Mutex
	current   map[Stream]string
	previous  map[Stream]string // of the lifetime before
	startedAt time.Duration     // when the current map was begun
	// versions holds each version once, so that streams share its bytes.
	versions map[string]string
}

// NewRegistry returns an empty registry that holds up to 2*limit streams.
func NewRegistry(lifetime time.Duration, limit int) *Registry {
	return &Registry{lifetime: lifetime, limit: limit, current: map[Stream]string{}, versions: map[string]string{}}
}

// ambiguous is recorded for a content with streams of several versions, and for a stream of which registries differ.
const ambiguous = "\x00"

// Record remembers the version of a stream, and reports whether that changes what is remembered. A version or a
// stream that is not known is not remembered, and what was recorded before is forgotten.
func (r *Registry) Record(now time.Duration, stream Stream, version string) (updated bool) {
	if stream == 0 {
		return false
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.rotate(now)
	before, known := r.find(stream)
	if version == "" && !stream.isContent() {
		delete(r.current, stream)
		delete(r.previous, stream)
		return known
	}
	if version == "" {
		version = ambiguous
	}
	if known && stream.isContent() && before != version {
		version = ambiguous
	}
	r.store(stream, version)
	return !known || before != version
}

// Merge adds what another registry held, and returns the streams of which that changes what is remembered. Which of two
// registries recorded a stream last cannot be determined: if they differ, the version of the stream is not known.
func (r *Registry) Merge(now time.Duration, report Report) (updated []Stream) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.rotate(now)
	for _, stream := range report.Streams {
		version := cmp.Or(report.Version, ambiguous)
		before, known := r.find(stream)
		if known && before != version {
			version = ambiguous
		}
		if stream == 0 || known && before == version {
			continue
		}
		r.store(stream, version)
		updated = append(updated, stream)
	}
	return updated
}

// store sets the version of a stream. The lock must be held.
func (r *Registry) store(stream Stream, version string) {
	shared, known := r.versions[version]
	if !known {
		shared = version
		r.versions[version] = version
	}
	r.current[stream] = shared
}

// Apply records each stream of a report, and returns those of which that changes what is remembered.
func (r *Registry) Apply(now time.Duration, report Report) (updated []Stream) {
	for _, stream := range report.Streams {
		if r.Record(now, stream, report.Version) {
			updated = append(updated, stream)
		}
	}
	return updated
}

// Find returns the version that began a stream, and false if it is not known.
func (r *Registry) Find(now time.Duration, stream Stream) (version string, known bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.rotate(now)
	version, known = r.find(stream)
	return version, known && version != ambiguous
}

// find returns what was recorded last. The lock must be held.
func (r *Registry) find(stream Stream) (version string, known bool) {
	if version, known = r.current[stream]; known {
		return version, true
	}
	version, known = r.previous[stream]
	return version, known
}

// Reports returns all that is remembered, in reports of at most the given number of streams.
func (r *Registry) Reports(now time.Duration, most int) []Report {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.rotate(now)
	all := maps.Clone(r.previous)
	if all == nil {
		all = map[Stream]string{}
	}
	maps.Copy(all, r.current)
	open := map[string]*Report{}
	var reports []Report
	for stream, version := range all {
		report := open[version]
		if report == nil {
			report = &Report{Version: version}
			open[version] = report
		}
		report.Streams = append(report.Streams, stream)
		if len(report.Streams) == most {
			reports = append(reports, *report)
			delete(open, version)
		}
	}
	for _, report := range open {
		reports = append(reports, *report)
	}
	return reports
}

// rotate begins a new map once the current one is old or full. The lock must be held.
func (r *Registry) rotate(now time.Duration) {
	age := now - r.startedAt
	if age < r.lifetime && len(r.current) < r.limit {
		return
	}
	r.previous = r.current
	if age >= 2*r.lifetime {
		r.previous = nil
	}
	r.current, r.startedAt = map[Stream]string{}, now
	if age >= r.lifetime {
		r.startedAt = now - age%r.lifetime
	}
	r.versions = map[string]string{}
}
