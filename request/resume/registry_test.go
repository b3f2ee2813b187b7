package resume

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const testLifetime = 20 * time.Second

// Guards against one tenant's or service's call that stands for another's stream.
func TestStreamsOfOthersAreOthers(t *testing.T) {
	seen := map[Stream]string{}
	for _, names := range [][3]string{
		{"s", "t", "c"}, {"t", "s", "c"}, {"s", "", "tc"}, {"s", "tc", ""}, {"st", "", "c"}, {"", "", ""}, {"s", "t", "c\x00"}, {"s", "t\x00c", ""},
	} {
		stream := NewStream(names[0], names[1], names[2])
		must.Eq(t, "", seen[stream])
		seen[stream] = fmt.Sprint(names)
		must.Eq(t, stream, NewStream(names[0], names[1], names[2]))
	}
}

// Guards against streams that are forgotten while their callers may come back, and against memory that grows with all
// that ever was: the registry agrees with a model that forgets nothing, for a lifetime, and knows nothing after two.
func TestStreamsAreRememberedForTheirLifetime(t *testing.T) {
	type recorded struct {
		version string
		at      time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		registry, model := NewRegistry(testLifetime, 1<<20), map[Stream]recorded{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			stream := Stream(2 * rapid.IntRange(1, 20).Draw(t, "stream"))
			if rapid.Bool().Draw(t, "record") {
				version := rapid.SampledFrom([]string{"v1", "v1.1", "v2", ""}).Draw(t, "version")
				registry.Record(now, stream, version)
				model[stream] = recorded{version, now}
				continue
			}
			version, known := registry.Find(now, stream)
			want, exists := model[stream]
			if known && (!exists || want.version != version || now-want.at > 2*testLifetime) {
				t.Fatalf("%v: %q, recorded %v", stream, version, want)
			}
			if !known && exists && want.version != "" && now-want.at < testLifetime {
				t.Fatalf("%v was forgotten after %v", stream, now-want.at)
			}
		}
	})
}

// Guards against a content that stands for one of several streams of which the versions differ, whichever was recorded
// last, and against a call that is one of several.
func TestContentOfSeveralVersionsIsUnknown(t *testing.T) {
	content, call := NewContent("s", "t", "POST", "/", []byte("body")), NewStream("s", "t", "c")
	for _, versions := range [][]string{{"v1", "v2"}, {"v1", ""}, {"", "v1"}, {"v1", "v2", "v1"}} {
		registry := NewRegistry(testLifetime, 1<<20)
		for _, version := range versions {
			registry.Record(0, content, version)
		}
		_, known := registry.Find(0, content)
		must.False(t, known, must.Sprint(versions))
	}
	registry := NewRegistry(testLifetime, 1<<20)
	for range 3 {
		registry.Apply(0, Report{Version: "v1", Streams: []Stream{content, call}})
	}
	registry.Record(0, call, "v2")
	for stream, want := range map[Stream]string{content: "v1", call: "v2"} {
		got, known := registry.Find(0, stream)
		must.True(t, known)
		must.Eq(t, want, got)
	}
	must.NotEq(t, content, NewContent("s", "t", "POST", "/", []byte("other")))
	must.NotEq(t, content, NewContent("s", "other", "POST", "/", []byte("body")))
}

// Guards against a registry that a flood of streams fills without bound.
func TestRegistryIsBounded(t *testing.T) {
	registry := NewRegistry(testLifetime, 100)
	for i := range 1000 {
		registry.Record(0, Stream(2*i+2), "v1")
	}
	must.LessEq(t, 200, len(registry.current)+len(registry.previous))
	_, known := registry.Find(0, 2000)
	must.True(t, known)
	_, known = registry.Find(0, 2)
	must.False(t, known)
}

// Guards against reports that leave streams out, or name one with a version that it no longer has.
func TestReportsHoldEverything(t *testing.T) {
	registry, other := NewRegistry(testLifetime, 1<<20), NewRegistry(testLifetime, 1<<20)
	for i := range 500 {
		now := time.Duration(i) * 100 * time.Millisecond
		registry.Record(now, Stream(i%450+1), fmt.Sprint("v", i%3))
	}
	for i, version := range []string{"v1", "v2", "v1"} { // ambiguous, and no longer
		registry.Record(49*time.Second, Stream(2*i+1), version)
		registry.Record(49*time.Second, 1, version)
	}
	const now = 50 * time.Second
	for _, report := range registry.Reports(now, 64) {
		must.LessEq(t, 64, len(report.Streams))
		other.Apply(now, report)
	}
	_, known := other.Find(now, 1)
	must.False(t, known, must.Sprint("an ambiguous content"))
	for i := range 450 {
		want, wasKnown := registry.Find(now, Stream(i+1))
		got, known := other.Find(now, Stream(i+1))
		must.Eq(t, wasKnown, known)
		must.Eq(t, want, got)
	}
}

// Guards against a version that one of two registries recorded and that is taken for the last one, though the other
// recorded another one; and against what is merged that outlasts what is recorded afterwards.
func TestMergedVersionsMustAgree(t *testing.T) {
	const plain, content = Stream(2), Stream(3)
	for _, stream := range []Stream{plain, content} {
		r := NewRegistry(Lifetime, 100)
		must.Eq(t, []Stream{stream}, r.Merge(0, Report{Version: "v1", Streams: []Stream{0, stream}}))
		must.SliceEmpty(t, r.Merge(0, Report{Version: "v1", Streams: []Stream{stream}}))
		version, known := r.Find(0, stream)
		must.True(t, known)
		must.Eq(t, "v1", version)
		for _, other := range []string{"v2", "v1", "v2"} {
			r.Merge(0, Report{Version: other, Streams: []Stream{stream}})
		}
		_, known = r.Find(0, stream)
		must.False(t, known)
		must.Eq(t, stream == plain, r.Record(0, stream, "v3"), must.Sprint("a content stays ambiguous"))
		version, known = r.Find(0, stream)
		must.Eq(t, stream == plain, known)
		must.Eq(t, stream == plain, version == "v3")
	}
	r := NewRegistry(Lifetime, 100)
	r.Merge(0, Report{Version: "", Streams: []Stream{plain}})
	r.Merge(0, Report{Version: "v1", Streams: []Stream{plain}})
	_, known := r.Find(0, plain)
	must.False(t, known, must.Sprint("another registry did not know the version"))
}
