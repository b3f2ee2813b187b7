package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// newBoardWithGenerators returns a board with the given number of generators and two readers.
func newBoardWithGenerators(generators int) *Board {
	b := NewBoard()
	listed := []Replica{{Name: "prefill-1", Zone: "a", Role: RolePrefill, Slots: 64}, {Name: "prefill-2", Zone: "a", Role: RolePrefill, Slots: 64}}
	for i := range generators {
		listed = append(listed, Replica{Name: fmt.Sprintf("decode-%02d", i), Zone: "a", Role: RoleDecode, Slots: 64})
	}
	b.SetReplicas(testParameters, listed)
	return b
}

func suspectRequest(name string) Request {
	request := newRequest("", 0, 500)
	request.Parts = request.Parts[1:]
	request.Fingerprint, request.Suspect = name, true
	return request
}

// Without an alert, suspects are placed like all other requests.
func TestNothingIsIsolatedWithoutAnAlert(t *testing.T) {
	b := newBoardWithGenerators(5)
	for number := range uint64(20) {
		answer := b.Place(0, key(number), suspectRequest("x"))
		must.NotEq(t, "", answer.Generator)
		must.False(t, answer.Isolated)
	}
}

// Suspects run one at a time on otherwise empty replicas; other requests run elsewhere without
// delay.
func TestSuspectsRunAlone(t *testing.T) {
	for _, each := range []struct{ generators, isolated int }{{2, 1}, {5, 1}, {6, 2}, {30, 10}} {
		b := newBoardWithGenerators(each.generators)
		b.RaiseAlert(0)
		alone := map[string]bool{}
		for number := range uint64(4 * each.generators) {
			if answer := b.Place(0, key(number), suspectRequest("x")); answer.Generator != "" {
				must.True(t, answer.Isolated)
				must.False(t, alone[answer.Generator], must.Sprint("two suspects on one replica"))
				alone[answer.Generator] = true
				continue
			} else {
				must.Positive(t, answer.Wait)
			}
		}
		must.MapLen(t, each.isolated, alone)
		for number := range uint64(4 * each.generators) {
			answer := b.Place(0, key(1000+number), newRequest("", 0, 500))
			must.NotEq(t, "", answer.Generator)
			must.False(t, alone[answer.Generator])
		}
	}
}

// An isolated replica is free again once its suspect has ended, or had its first token
// suspectWatchTime ago.
func TestIsolatedReplicasRunOneSuspectAtATime(t *testing.T) {
	b := newBoardWithGenerators(3)
	b.RaiseAlert(0)
	must.True(t, b.Place(0, key(1), suspectRequest("x")).Isolated)
	must.Positive(t, b.Place(0, key(2), suspectRequest("y")).Wait)
	b.RecordProgress(10*ms, key(1), ProgressReport{Step: StepStarted})
	must.Positive(t, b.Place(20*ms, key(2), suspectRequest("y")).Wait, must.Sprint("the first suspect may still crash the replica"))
	b.RecordProgress(30*ms, key(1), ProgressReport{Step: StepEnded})
	must.True(t, b.Place(40*ms, key(2), suspectRequest("y")).Isolated)
	b.RecordProgress(50*ms, key(2), ProgressReport{Step: StepStarted})
	third := b.Place(50*ms+suspectWatchTime, key(3), suspectRequest("z"))
	must.NotEq(t, "", third.Generator)
	must.False(t, third.Isolated, must.Sprint("the previous suspect still runs there"))
}

// A free isolated replica is reserved for the next suspect, which could crash anything else
// that ran there.
func TestFreeIsolatedReplicasAreReserved(t *testing.T) {
	b := newBoardWithGenerators(3)
	b.RaiseAlert(0)
	isolated := b.Place(0, key(1), suspectRequest("x")).Generator
	b.RecordProgress(ms, key(1), ProgressReport{Step: StepStarted})
	b.RecordProgress(2*ms, key(1), ProgressReport{Step: StepEnded})
	for number := range uint64(30) {
		must.NotEq(t, isolated, b.Place(3*ms, key(100+number), newRequest("", 0, 500)).Generator)
	}
}

// The isolation lasted for as long as the alert, whether or not any suspect was to be placed. After
// 23 replicas had crashed for reasons of their own, a common request that was in flight on two of
// them raised an alert, and isolation took a third of the remaining capacity for ten seconds.
func TestIsolationEndsWhenNoSuspectAsks(t *testing.T) {
	used := func(b *Board, now time.Duration) int {
		names := map[string]bool{}
		for number := range uint64(60) {
			names[b.Place(now, key(1000+uint64(now)+number), newRequest("", 0, 500)).Generator] = true
		}
		return len(names)
	}
	b := newBoardWithGenerators(6)
	b.RaiseAlert(0)
	must.Eq(t, 6, used(b, 0), must.Sprint("no suspect was placed"))
	b = newBoardWithGenerators(6)
	b.RaiseAlert(0)
	must.True(t, b.Place(0, key(1), suspectRequest("x")).Isolated)
	b.RecordProgress(ms, key(1), ProgressReport{Step: StepEnded})
	must.Eq(t, 4, used(b, isolationIdleTime-ms))
	must.Eq(t, 6, used(b, isolationIdleTime))
}

// A suspect waits for the requests that already run on a newly isolated replica, up to
// isolationDrainTime.
func TestIsolatedReplicasAreDrainedFirst(t *testing.T) {
	b := newBoardWithGenerators(2)
	for number := range uint64(6) {
		b.Place(0, key(number), newRequest("", 0, 500))
	}
	b.RaiseAlert(0)
	must.Positive(t, b.Place(0, key(100), suspectRequest("x")).Wait)
	must.NotEq(t, "", b.Place(isolationDrainTime, key(100), suspectRequest("x")).Generator)
}

// However many requests crash replicas, at most a third of the generators may be lost to them
// within the time that a replica takes to restart.
func TestLostIsolatedReplicasAreLimited(t *testing.T) {
	for _, generators := range []int{2, 3, 5, 9, 30} {
		b := newBoardWithGenerators(generators)
		lost := 0
		for now := time.Duration(0); now < replicaRestartTime; now += 10 * ms {
			b.RaiseAlert(now)
			number := uint64(now)
			answer := b.Place(now, key(number), suspectRequest("x"))
			if answer.Generator == "" {
				continue
			}
			lost++
			b.RecordProgress(now+ms, key(number), ProgressReport{Step: StepFailed, Replica: answer.Generator})
		}
		must.Eq(t, max(generators/isolatedDivisor, 1), lost, must.Sprint(generators))
		must.NotEq(t, "", b.Place(replicaRestartTime-ms, key(1), newRequest("", 0, 500)).Generator, must.Sprint("other requests are placed"))
	}
}

// A suspect with too little time left to wait is refused while its caller can still retry.
func TestSuspectsWithLittleTimeLeftAreRefused(t *testing.T) {
	b := newBoardWithGenerators(2)
	b.RaiseAlert(0)
	b.Place(0, key(1), suspectRequest("x"))
	waiting := suspectRequest("y")
	waiting.Age, waiting.Deadline = 4*time.Second, time.Second
	answer := b.Place(0, key(2), waiting)
	must.True(t, answer.Refused)
	must.Positive(t, answer.RetryAfter)
}

// If nothing listens at the addresses of all generators, nothing is sent there and no prompt is
// read, since no replica could run the request.
func TestRequestsWithoutAnyGenerator(t *testing.T) {
	b := newBoardWithGenerators(2)
	for number, name := range []string{"decode-00", "decode-01"} {
		b.Place(0, key(uint64(number)), newRequest("", 0, 500))
		b.RecordProgress(10*ms, key(uint64(number)), ProgressReport{Step: StepUnreachable, Replica: name})
	}
	early := requestWithObjective(500, 500*ms)
	must.Positive(t, b.Place(20*ms, key(10), early).Wait, must.Sprint("a generator may be back in time"))
	late := early
	late.Age = 450 * ms
	answer := b.Place(30*ms, key(11), late)
	must.True(t, answer.Refused)
	must.Eq(t, minBan, answer.RetryAfter)
	must.NotEq(t, "", b.Place(10*ms+minBan, key(12), early).Generator, must.Sprint("the ban has ended"))
}

// A suspect under which enough replicas have crashed waits for the decision on its quarantine,
// and is refused if it has too little time left.
func TestSuspectAwaitingQuarantineWaits(t *testing.T) {
	b := newBoardWithGenerators(6)
	b.RaiseAlert(0)
	awaiting := suspectRequest("x")
	awaiting.AwaitsQuarantine = true
	answer := b.Place(0, key(1), awaiting)
	must.Eq(t, "", answer.Generator)
	must.Positive(t, answer.Wait)
	must.NotEq(t, "", b.Place(0, key(2), suspectRequest("y")).Generator)
	awaiting.Deadline = suspectRetryInterval
	must.True(t, b.Place(0, key(3), awaiting).Refused)
}
