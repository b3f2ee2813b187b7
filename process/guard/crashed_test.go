package guard

import (
	"fmt"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

const listedProcess = "r@1000"

func crashOfListed(modify func(*quarantine.Evidence)) quarantine.AgedEvidence {
	evidence := quarantine.Evidence{Fingerprint: crashingRequest, Replica: listedProcess, UniqueName: true, RunTime: 5 * time.Millisecond}
	modify(&evidence)
	return quarantine.AgedEvidence{Evidence: evidence}
}

// Guards against taking a late report of a listed process's crash, or a reset by a replica that goes on listening, for
// the crash of the process that follows it.
func TestRunsSentAfterACrashHadASuccessor(t *testing.T) {
	guard := New("p")
	guard.NoteCrash(time.Second, crashOfListed(func(*quarantine.Evidence) {}))
	must.False(t, guard.HasCrashedBefore(listedProcess, time.Second-5*time.Millisecond))
	must.False(t, guard.HasCrashedBefore(listedProcess, time.Second+crashNoticeDelay))
	must.True(t, guard.HasCrashedBefore(listedProcess, time.Second+crashNoticeDelay+1))
	must.False(t, guard.HasCrashedBefore("r@2000", time.Hour))
	guard.NoteCrash(time.Minute, crashOfListed(func(*quarantine.Evidence) {}))
	must.True(t, guard.HasCrashedBefore(listedProcess, time.Minute), must.Sprint("known before"))
	guard.NoteAlive(time.Minute, quarantine.LiveReplica{Replica: listedProcess, RunningFor: quarantine.AnyAge})
	must.False(t, guard.HasCrashedBefore(listedProcess, time.Hour))

	for name, modify := range map[string]func(*quarantine.Evidence){
		"still listening": func(evidence *quarantine.Evidence) { evidence.StillListening = true },
		"name not unique": func(evidence *quarantine.Evidence) { evidence.UniqueName = false },
	} {
		guard := New("p")
		guard.NoteCrash(time.Second, crashOfListed(modify))
		must.False(t, guard.HasCrashedBefore(listedProcess, time.Hour), must.Sprint(name))
	}
}

// Guards against a proxy that forgets that a process has crashed because the requests beside it were served since, and
// that reports the next process's crash under the listed name: another proxy, which knows, reports the same crash under
// the successors' name, so that a fatal request does not explain what it did to those beside it.
func TestCrashesAreRememberedThoughRequestsAreCleared(t *testing.T) {
	wall := time.Unix(1_700_000_000, 0)
	served := New("p")
	served.NoteCrash(0, crashOfListed(func(*quarantine.Evidence) {}))
	served.NoteServed(time.Second, crashingRequest)
	must.True(t, served.HasCrashedBefore(listedProcess, later))

	recorded := New("p")
	recorded.Follow(recordView(1, api.QuarantineWatched, wall, listedProcess, "q@1000"), 0)
	recorded.Follow(recordView(2, "", wall), time.Second)
	must.True(t, recorded.HasCrashedBefore(listedProcess, later))
	must.False(t, recorded.HasCrashedBefore(listedProcess, crashNoticeDelay))

	weak := recordView(1, api.QuarantineWatched, wall, listedProcess, "q@1000")
	weak.Quarantines[crashingRequest.String()].Spec.Weak = []string{listedProcess}
	listening := New("p")
	listening.Follow(weak, 0)
	must.False(t, listening.HasCrashedBefore(listedProcess, later))
	must.True(t, listening.HasCrashedBefore("q@1000", later))

	ofPart := New("p")
	ofPart.Follow(partView(1, api.QuarantinePartWatched, nil, 1, heldPart), 0)
	must.True(t, ofPart.HasCrashedBefore("r-0", later))

	reported := New("p")
	reported.ApplyUnrecorded(0, feed.CrashReport{Crashes: []quarantine.AgedEvidence{crashOfListed(func(*quarantine.Evidence) {})}})
	must.True(t, reported.HasCrashedBefore(listedProcess, later))
}

// Guards against a memory of crashes that grows without limit.
func TestRememberedCrashesAreBounded(t *testing.T) {
	known := crashedProcesses{}
	for i := range maxCrashedProcesses + 10 {
		known.learn(fmt.Sprint("r-", i), time.Duration(i))
	}
	must.MapLen(t, maxCrashedProcesses, known)
	must.False(t, known.hasCrashedBefore("r-9", time.Hour))
	must.True(t, known.hasCrashedBefore("r-10", time.Hour))
}
