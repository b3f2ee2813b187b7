package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// If the generator has read the prompt in place of the reader, the first token is not recorded for
// the reader: the parts are cached on the generator only, and the reader stays banned.
func TestStartSaysNothingAboutASkippedReader(t *testing.T) {
	b := newTestBoard()
	first := b.Place(0, key(1), Request{PromptTokens: 20_000, Zone: "a", Deadline: time.Hour, Parts: []Part{{ID: "p", Tokens: 20_000}}})
	must.NotEq(t, "", first.Reader)
	b.RecordProgress(10*ms, key(2), ProgressReport{Step: StepMisdirected, Replica: first.Reader})
	b.RecordProgress(11*ms, key(1), ProgressReport{Step: StepReadSkipped, Replica: first.Reader})
	must.Eq(t, 0, b.replicas[first.Reader].cache.lru.Len())
	must.MapEmpty(t, b.replicas[first.Reader].cache.pending)
	b.RecordProgress(300*ms, key(1), ProgressReport{Step: StepStarted})
	must.Eq(t, 0, b.replicas[first.Reader].cache.lru.Len())
	must.Positive(t, b.replicas[first.Generator].cache.lru.Len())
	must.True(t, b.replicas[first.Reader].isBanned(310*ms))
}

// A failed read does not end its request: the generator reads the prompt and runs it.
func TestGeneratorReadsAfterAFailedRead(t *testing.T) {
	for _, step := range []Step{StepFailed, StepMisdirected, StepReadSkipped} {
		b := newTestBoard()
		b.replicas["prefill-1"].suspicionPeriod = minSuspicion
		first := b.Place(0, key(1), Request{PromptTokens: 20_000, Zone: "a", Deadline: time.Hour})
		must.Eq(t, "prefill-1", first.Reader)
		b.RecordProgress(10*ms, key(1), ProgressReport{Step: step, Replica: first.Reader})
		generator := b.replicas[first.Generator]
		must.SliceLen(t, 1, generator.queue)
		must.Eq(t, 10*ms, b.inFlight[key(1)].placedAt, must.Sprint("the read on the generator is measured from the failure on the reader"))
		must.SliceEmpty(t, b.replicas[first.Reader].queue)
		must.Nil(t, b.replicas[first.Reader].probe, must.Sprint("the probe has ended"))
		b.RecordProgress(500*ms, key(1), ProgressReport{Step: StepStarted})
		must.SliceEmpty(t, generator.queue)
		must.MapLen(t, 1, generator.running)
		b.RecordProgress(600*ms, key(1), ProgressReport{Step: StepEnded})
		must.MapEmpty(t, generator.running)
	}
}

// A misdirection of a request that was placed before a role change does not ban the replica in its
// new role, since the replica was asked for something else then.
func TestMisdirectionInAnEarlierRoleIsIgnored(t *testing.T) {
	b := newTestBoard()
	placed := b.Place(0, key(1), Request{PromptTokens: 100, Zone: "a", Deadline: time.Hour, Excluded: []string{"decode-2"}})
	must.Eq(t, "decode-1", placed.Generator)
	b.SetReplicas(testParameters, []Replica{
		{Name: "prefill-1", Zone: "a", Role: RolePrefill, Slots: 64},
		{Name: "decode-1", Zone: "a", Role: RolePrefill, Slots: 64},
		{Name: "decode-2", Zone: "a", Role: RoleDecode, Slots: 64},
	})
	b.RecordProgress(10*ms, key(1), ProgressReport{Step: StepMisdirected, Replica: "decode-1"})
	must.False(t, b.replicas["decode-1"].isBanned(20*ms))
}

// A misdirection of a request that was placed before the last ban does not start a longer ban.
func TestMisdirectionOfARequestPlacedBeforeTheBanIsIgnored(t *testing.T) {
	b := newTestBoard()
	alone := Request{PromptTokens: 100, Zone: "a", Deadline: time.Hour, Excluded: []string{"decode-2"}}
	must.Eq(t, "decode-1", b.Place(0, key(1), alone).Generator)
	b.RecordProgress(1*ms, key(9), ProgressReport{Step: StepMisdirected, Replica: "decode-1"})
	b.RecordProgress(minBan+2*ms, key(1), ProgressReport{Step: StepMisdirected, Replica: "decode-1"})
	must.Eq(t, minBan, b.replicas["decode-1"].banPeriod)
}

// Requests do not wait for parts that a banned replica was to read.
func TestPartsOfABannedReplicaAreNotWaitedFor(t *testing.T) {
	for _, gone := range []bool{false, true} {
		b := newTestBoard()
		parts := func(own string) []Part { return []Part{{ID: "shared", Tokens: 40_000}, {ID: own, Tokens: 10}} }
		request := Request{PromptTokens: 40_010, Zone: "a", Deadline: time.Hour, Parts: parts("x"), Excluded: []string{"prefill-2"}}
		one := b.Place(0, key(1), request)
		if gone {
			b.RecordProgress(1*ms, key(99), ProgressReport{Step: StepMisdirected, Replica: one.Reader})
		}
		request.Parts = parts("y")
		must.Eq(t, gone, b.Place(400*ms, key(2), request).Wait == 0)
	}
}

// The first token of a request that was placed before a ban does not end the ban, since the first
// token may have come before the misdirection and been reported after it.
func TestStartOfARequestPlacedBeforeTheBanKeepsTheBan(t *testing.T) {
	b := newTestBoard()
	alone := Request{PromptTokens: 100, Zone: "a", Deadline: time.Hour, Excluded: []string{"decode-2"}}
	must.Eq(t, "decode-1", b.Place(0, key(1), alone).Generator)
	b.RecordProgress(1*ms, key(9), ProgressReport{Step: StepMisdirected, Replica: "decode-1"})
	b.RecordProgress(2*ms, key(1), ProgressReport{Step: StepStarted})
	must.True(t, b.replicas["decode-1"].isBanned(3*ms))
}
