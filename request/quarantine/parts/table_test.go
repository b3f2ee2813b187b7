package parts

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/shoenig/test/must"
)

var (
	fatal  = KeyOf("s", "m", "fatal")
	common = KeyOf("s", "m", "common")
	rare   = KeyOf("s", "m", "rare")
	alice  = CallerKey("alice")
	bob    = CallerKey("bob")
	carol  = CallerKey("carol")
)

// crashAt is a crash, at its report, of a replica under a run of the caller with the parts, which was sent
// 50 ms before.
func crashAt(replica string, caller Key, shared ...Key) Crash {
	return Crash{Run: Run{Service: "s", Caller: caller, Parts: shared}, Replica: replica, UniqueName: true, RunTime: 50 * time.Millisecond}
}

func startOf(shared ...Key) Start { return Start{Run: Run{Service: "s", Caller: alice, Parts: shared}} }

// crashSeries adds crashes a second apart, each under one run of each list of parts, and returns the time of
// the last.
func crashSeries(table *Table, count int, caller Key, runs ...[]Key) time.Duration {
	var now time.Duration
	for i := range count {
		now = time.Duration(i+1) * time.Second
		for _, shared := range runs {
			table.Apply(now, Report{Crashes: []Crash{crashAt(fmt.Sprint("r-", i), caller, shared...)}})
		}
	}
	return now
}

// verdictOf returns the verdict on a part once all crashes count; 0 if there is no finding.
func verdictOf(table *Table, now time.Duration, part Key) Verdict {
	for _, found := range table.Findings(now + settleDelay) {
		if found.Part == part {
			return found.Verdict
		}
	}
	return 0
}

// Guards against a harmful part that is not found because each request with it is new, and against sound
// parts that are found instead because they stood beside it.
func TestPartInAllCrashesIsHarmful(t *testing.T) {
	table := NewTable()
	for i := range 4 {
		now := time.Duration(i+1) * time.Second
		table.Apply(now, Report{Crashes: []Crash{crashAt(fmt.Sprint("r-", i), alice, common, fatal), crashAt(fmt.Sprint("r-", i), alice, common)}})
		table.Apply(now+400*time.Millisecond, Report{Starts: []Start{startOf(common)}})
	}
	must.Eq(t, Harmful, verdictOf(table, 5*time.Second, fatal))
	must.Eq(t, 0, verdictOf(table, 5*time.Second, common))
}

// Guards against a success that clears a part of a later crash: a part may become harmful with a release.
func TestStartClearsEarlierCrashesAlone(t *testing.T) {
	table := NewTable()
	now := crashSeries(table, 5, alice, []Key{fatal}, []Key{common})
	late := startOf(fatal, common)
	late.Age = 2500 * time.Millisecond // before the last three crashes
	table.Apply(now, Report{Starts: []Start{late, startOf(common)}})
	must.Eq(t, Harmful, verdictOf(table, now, fatal))
	must.Eq(t, 0, verdictOf(table, now, common))

	reordered := NewTable() // the start is reported before the crashes that it clears
	reordered.Apply(now, Report{Starts: []Start{startOf(common)}})
	old := crashAt("r-old", alice, common)
	old.Age = time.Second
	reordered.Apply(now, Report{Crashes: []Crash{old}})
	must.True(t, reordered.IsEmpty())
}

// Guards against a sound part that is blamed for a crash of a process that had answered requests with it.
func TestPartBegunInTheSameProcessIsCleared(t *testing.T) {
	for _, begunFirst := range []bool{true, false} {
		table := NewTable()
		running, waiting := crashAt("r", alice, common), crashAt("r", alice, common, fatal)
		running.Begun, running.MayBeAlive = true, true
		all := []Crash{running, waiting}
		if !begunFirst {
			all = []Crash{waiting, running}
		}
		table.Apply(time.Second, Report{Crashes: all})
		must.False(t, table.IsSuspect(common))
		must.True(t, table.IsSuspect(fatal))
	}
}

// Guards against a popular part that is held because a rack is lost: replicas that crash at the same time count
// once, whoever reports them and however often.
func TestReplicasThatCrashTogetherCountOnce(t *testing.T) {
	table := NewTable()
	for i := range 12 {
		crash := crashAt(fmt.Sprint("r-", i), alice, common)
		crash.RunTime = time.Second
		table.Apply(time.Second+time.Duration(i)*time.Millisecond, Report{Crashes: []Crash{crash, crash}})
	}
	table.Apply(2*time.Second, Report{Starts: []Start{startOf(rare)}})
	must.Eq(t, 0, verdictOf(table, 2*time.Second, rare))
	must.NotEq(t, Harmful, verdictOf(table, 2*time.Second, common))
}

// Guards against connections that break while their replicas run on, and against replicas that return under
// their names and are taken for one process.
func TestOnlyCrashedProcessesCount(t *testing.T) {
	table := NewTable()
	for i := range 6 {
		crash := crashAt(fmt.Sprint("r-", i), alice, common)
		crash.MayBeAlive = true
		table.Apply(time.Duration(i)*time.Second, Report{Crashes: []Crash{crash}})
	}
	must.Eq(t, 0, verdictOf(table, 6*time.Second, common))

	again := NewTable()
	for i := range 5 {
		crash := crashAt("r", alice, fatal)
		crash.UniqueName = false
		again.Apply(time.Duration(i+1)*time.Second, Report{Crashes: []Crash{crash, crash}})
	}
	again.Apply(6*time.Second, Report{Starts: []Start{startOf(common)}})
	must.Eq(t, Harmful, verdictOf(again, 6*time.Second, fatal))
}

// Guards against a route that is stopped because all replicas fail: without an answer to anything, and for parts
// that cannot be told apart, nothing is found harmful.
func TestPartsAreInDoubtWithoutAnythingToCompare(t *testing.T) {
	table := NewTable()
	now := crashSeries(table, 6, alice, []Key{common})
	must.Eq(t, Doubtful, verdictOf(table, now, common))

	together := NewTable()
	now = crashSeries(together, 6, alice, []Key{common, fatal})
	together.Apply(now, Report{Starts: []Start{startOf(rare)}})
	must.Eq(t, Doubtful, verdictOf(together, now, common))
	must.Eq(t, Doubtful, verdictOf(together, now, fatal))
	together.Apply(now+time.Second, Report{Starts: []Start{startOf(common)}})
	must.Eq(t, Harmful, verdictOf(together, now+time.Second, fatal))
}

// Guards against two harmful parts of which only one is found, since the other one's requests were in flight too.
func TestTwoHarmfulPartsAreBothFound(t *testing.T) {
	table := NewTable()
	for i := range 8 {
		runs := []Crash{crashAt(fmt.Sprint("r-", i), alice, fatal)}
		if i%2 == 0 {
			runs[0].Parts = []Key{rare}
		}
		if i < 2 {
			runs = append(runs, crashAt(fmt.Sprint("r-", i), alice, fatal, rare))
		}
		table.Apply(time.Duration(i+1)*time.Second, Report{Crashes: runs, Starts: []Start{startOf(common)}})
	}
	must.Eq(t, Harmful, verdictOf(table, 9*time.Second, fatal))
	must.Eq(t, Harmful, verdictOf(table, 9*time.Second, rare))
	table.SetHandling(fatal, Held)
	table.SetHandling(rare, Held)
	for _, found := range table.Findings(10 * time.Second) {
		must.False(t, found.Overtaken)
	}
}

// Guards against a caller that has another caller's requests held: it crashes replicas by the bodies of its
// requests and names a part of the other one, who has not used it of late.
func TestOneCallerHasNoOthersHeld(t *testing.T) {
	table := NewTable()
	now := crashSeries(table, 8, alice, []Key{rare})
	table.Apply(now, Report{Crashes: []Crash{crashAt("r-x", bob, rare)}, Starts: []Start{startOf(common)}})
	found := table.Findings(now + time.Second)
	must.Len(t, 1, found)
	must.Eq(t, Harmful, found[0].Verdict)
	must.Eq(t, []Key{alice}, found[0].Callers)

	table.Apply(now+time.Second, Report{Crashes: []Crash{crashAt("r-y", bob, rare)}})
	must.Nil(t, table.Findings(now + 2*time.Second)[0].Callers, must.Sprint("two callers, each with several crashes"))
	all := NewTable()
	for i, caller := range []Key{alice, bob, carol} {
		all.Apply(time.Duration(i+1)*time.Second, Report{Crashes: []Crash{crashAt(fmt.Sprint("r-", i), caller, fatal)}})
	}
	must.Nil(t, all.Findings(4 * time.Second)[0].Callers, must.Sprint("three callers"))
}

// Guards against a table that grows without bound, and against made-up parts that displace a harmful one.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	now := crashSeries(table, 4, alice, []Key{fatal})
	number := uint64(0)
	for i := range 40 {
		crash := crashAt(fmt.Sprint("x-", i), bob)
		for range 2 * MaxPartsPerRun {
			number++
			var part Key
			binary.BigEndian.PutUint64(part[:], number)
			crash.Parts = append(crash.Parts, part)
		}
		for range 40 {
			table.Apply(now, Report{Crashes: []Crash{crash}, Starts: []Start{{Run: crash.Run, Age: time.Second}}})
		}
	}
	must.LessEq(t, maxCrashes, len(table.crashes))
	must.LessEq(t, maxStarts, len(table.startedAt))
	for _, known := range table.crashes {
		must.LessEq(t, MaxPartsPerRun, len(known.suspects))
	}
	table.Apply(now, Report{Starts: []Start{startOf(common)}})
	must.Eq(t, Harmful, verdictOf(table, now, fatal))
}

// Guards against a harmful part that is forgotten with the processes that saw its crashes, and against crashes
// that the next leader counts apart although they came together.
func TestRecordKeepsCrashesAndIncidents(t *testing.T) {
	table := NewTable()
	now := crashSeries(table, 3, alice, []Key{fatal})
	rack := crashAt("r-rack", alice, fatal)
	rack.RunTime = 2 * time.Second
	table.Apply(now+time.Millisecond, Report{Crashes: []Crash{rack}})
	found := table.Findings(now + time.Second)[0]
	must.Eq(t, []string{"r-rack"}, found.Together)

	next := NewTable()
	for range 2 { // a record that is read again adds nothing
		next.Restore(time.Second, fatal, Record{Service: "s", Replicas: found.Replicas, Together: found.Together, Age: time.Minute})
	}
	next.Apply(2*time.Second, Report{Starts: []Start{startOf(common)}})
	restored := next.Findings(2 * time.Second)[0]
	must.Eq(t, found.Replicas, restored.Replicas)
	must.Eq(t, found.Together, restored.Together)
	must.Eq(t, Harmful, restored.Verdict)
}

// Guards against requests and parts, or parts of two models, that share a key.
func TestKeysAreDistinct(t *testing.T) {
	must.Eq(t, KeyOf("s", "m", "0A"), KeyOf("s", "m", "0a"))
	keys := []Key{KeyOf("s", "m", "a"), KeyOf("s", "n", "a"), KeyOf("t", "m", "a"), KeyOf("s", "m", "b"), KeyOf("sm", "", "a"), CallerKey("a")}
	for i, key := range keys {
		must.SliceNotContains(t, keys[i+1:], key)
	}
	must.Eq(t, Key{}, CallerKey(" "))
}

// Guards against sound parts that are blamed for crashes of requests that were on their way when the harmful part was
// held.
func TestHeldPartExplainsItsCrashes(t *testing.T) {
	table := NewTable()
	now := crashSeries(table, 6, alice, []Key{fatal}, []Key{common})
	must.NotEq(t, 0, verdictOf(table, now, common))
	table.SetHandling(fatal, Held)
	must.Eq(t, 0, verdictOf(table, now, common))
	must.NotEq(t, 0, verdictOf(table, now, fatal))
}

// Guards against a sound request that is blamed for the crashes of a harmful part, and against a harmful one that
// goes free because it contains the part itself, stood at other crashes, or ran in another process of that name.
func TestHarmfulPartIsTheCauseForOtherRequests(t *testing.T) {
	sound, own := quarantine.Fingerprint{1}, quarantine.Fingerprint{2}
	for _, unique := range []bool{true, false} {
		table := NewTable()
		for i := range 3 {
			crash := crashAt(fmt.Sprint("r-", i), alice, common, fatal)
			crash.UniqueName = unique
			crash.Request = quarantine.Fingerprint{3, byte(i)}
			table.Apply(time.Duration(i)*time.Minute, Report{Crashes: []Crash{crash}})
		}
		with := crashAt("r-3", alice, fatal)
		with.Request = own
		table.Apply(3*time.Minute, Report{Crashes: []Crash{with}})
		failure := quarantine.Failure{Fingerprint: sound, Replica: "r-1", At: time.Minute, IsTimeKnown: true}
		must.False(t, table.HasHarmfulPart(failure), must.Sprint("not found yet"))
		table.SetFound(fatal, true)
		must.True(t, table.HasHarmfulPart(failure))
		failure.Fingerprint = own
		must.False(t, table.HasHarmfulPart(failure), must.Sprint("it contains the part"))
		failure.Fingerprint, failure.Replica = sound, "r-9"
		must.False(t, table.HasHarmfulPart(failure), must.Sprint("another crash"))
		failure.Replica, failure.At = "r-1", 2*time.Minute
		must.Eq(t, unique, table.HasHarmfulPart(failure), must.Sprint("another process, unless the name is unique"))
		failure.IsTimeKnown = false
		must.True(t, table.HasHarmfulPart(failure))
		table.Forget(fatal)
		table.Apply(4*time.Minute, Report{Crashes: []Crash{crashAt("r-1", alice, fatal)}})
		must.False(t, table.HasHarmfulPart(failure), must.Sprint("cleared"))
	}
}

// Guards against a receiver that blames the requests with a harmful part on each other, because it is not told which
// of them contain it.
func TestObservedCrashesNameTheirRequests(t *testing.T) {
	table, receiver := NewTable(), NewTable()
	for number := range 3 {
		crash := crashAt("r-0", []Key{alice, bob, bob}[number], fatal)
		crash.Request = quarantine.Fingerprint{byte(number + 1)}
		table.Apply(0, Report{Crashes: []Crash{crash}})
	}
	receiver.Apply(time.Second, table.Observed(time.Second))
	receiver.SetFound(fatal, true)
	for number := range 4 {
		failure := quarantine.Failure{Fingerprint: quarantine.Fingerprint{byte(number + 1)}, Replica: "r-0", IsTimeKnown: true}
		must.Eq(t, number == 3, receiver.HasHarmfulPart(failure))
	}
	must.Eq(t, table.crashes[0].suspects[fatal].callers, receiver.crashes[0].suspects[fatal].callers)
}

// Guards against a crash that is counted several times, because a process that had it from the record first and then
// observed it itself reports it as one of another process, at the time that the record suggests.
func TestRecordedCrashThatIsObservedIsReportedAsTheSame(t *testing.T) {
	leader := NewTable()
	leader.Apply(10*time.Second, Report{Crashes: []Crash{crashAt("r-0", alice, fatal)}})
	for _, age := range []time.Duration{time.Second, 20 * time.Second, 55 * time.Second} {
		proxy := NewTable()
		proxy.Restore(time.Minute, fatal, Record{Service: "s", Replicas: []string{"r-0", "r-1"}, Age: age})
		late := crashAt("r-0", bob, rare)
		late.Age = 50 * time.Second
		proxy.Apply(time.Minute, Report{Crashes: []Crash{late}})
		must.True(t, slices.IsSortedFunc(proxy.crashes, func(a, b *crash) int { return cmp.Compare(a.at, b.at) }), must.Sprint(age))
		observed := proxy.Observed(time.Minute)
		for _, crash := range observed.Crashes {
			must.Eq(t, "r-0", crash.Replica)
			must.Eq(t, late.Age, crash.Age)
			must.True(t, crash.UniqueName)
		}
		leader.Apply(time.Minute, observed)
	}
	ambiguous := crashAt("r-0", bob, rare)
	ambiguous.UniqueName = false
	leader.Apply(time.Minute, Report{Crashes: []Crash{ambiguous}})
	must.Len(t, 1, leader.crashes)
	must.Eq(t, 10*time.Second, leader.crashes[0].at)
}

// Guards against records of several crashes under one name that are restored as a single one. The successors of a
// listed process share a name until the list shows them.
func TestRecordedCrashesOfOneNameAllCount(t *testing.T) {
	successor := quarantine.SuccessorName("r@1000")
	record := Record{Service: "s", Replicas: []string{"r@1000", successor, successor, "q@1000"}, Age: time.Minute}
	table := NewTable()
	table.Apply(time.Minute, Report{Crashes: []Crash{{Run: Run{Service: "s", Parts: []Key{fatal}}, Replica: successor, RunTime: time.Millisecond}}})
	for range 3 { // each revision of the record is restored
		table.Restore(2*time.Minute, fatal, record)
		must.Eq(t, len(record.Replicas), table.countCrashes(fatal))
	}
}

// Guards against a recorded crash that counts once more when its observer reports it to the next leader: where births are
// not listed, the name alone does not show that both are the same.
func TestRecordedCrashThatIsReportedCountsOnce(t *testing.T) {
	crashOf := func(part Key, age time.Duration) Report {
		crash := crashAt("r-0", alice, part)
		crash.UniqueName, crash.Age = false, age
		return Report{Crashes: []Crash{crash}}
	}
	leader := NewTable()
	for _, part := range []Key{fatal, rare} {
		leader.Restore(time.Minute, part, Record{Service: "s", Replicas: []string{"q-0", "r-0"}, Age: 20 * time.Second})
	}
	for range 2 { // two observers
		leader.Apply(time.Minute+time.Second, crashOf(fatal, 15*time.Second))
	}
	must.Eq(t, 2, leader.countCrashes(fatal))
	leader.Apply(time.Minute+time.Second, crashOf(common, 14*time.Second))
	must.Eq(t, 1, leader.countCrashes(common))
	must.Eq(t, 2, leader.countCrashes(rare))

	leader.Apply(time.Minute+2*time.Second, crashOf(fatal, 0))
	must.Eq(t, 3, leader.countCrashes(fatal), must.Sprint("of a run that was sent after the record was read"))
}

// Guards against a sound part that is held because one request with it, sent again and again, crashes replicas: that
// request is held as a whole. Requests of which no two are alike show that the part is the cause.
func TestPartOfASingleRequestIsNotHarmful(t *testing.T) {
	play := func(requests ...byte) Verdict {
		table := NewTable()
		now := crashSeries(table, 2, alice, []Key{common})
		for i, number := range requests {
			now += time.Second
			crash := crashAt(fmt.Sprint("q-", i), alice, fatal)
			crash.Request = quarantine.Fingerprint{number}
			table.Apply(now, Report{Crashes: []Crash{crash}})
			table.Apply(now+time.Millisecond, Report{Starts: []Start{startOf(common)}})
		}
		return verdictOf(table, now, fatal)
	}
	must.Eq(t, Watched, play(1, 1, 1))
	must.Eq(t, Watched, play(1, 1, 1, 1, 1, 1))
	must.Eq(t, Harmful, play(1, 2, 3))
	must.Eq(t, Harmful, play(1, 1, 2))
	must.Eq(t, Harmful, play(1, 1, 1, 2))
}
