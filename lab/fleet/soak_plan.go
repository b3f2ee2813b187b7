package fleet

import (
	"math/rand/v2"
	"time"
)

// FaultKind names a fault of a soak.
type FaultKind string

// Kinds of faults. Each acts on a process or a link from outside.
const (
	FaultKill           FaultKind = "kill"             // SIGKILL, started again after a while
	FaultKillAllMembers FaultKind = "kill_all_members" // every control member at the same moment
	FaultPause          FaultKind = "pause"            // SIGSTOP, SIGCONT after a while: the clock jumps
	FaultStutter        FaultKind = "stutter"          // stopped and continued by turns: the clock runs fast
	FaultPlannedStop    FaultKind = "planned_stop"     // SIGTERM, started again
	FaultLoseDisk       FaultKind = "lose_disk"        // a member is killed and its data folder removed
	FaultTornTail       FaultKind = "torn_tail"        // a member is killed in the middle of a write
	FaultRefuseWrites   FaultKind = "refuse_writes"    // a member's files take no more bytes
	FaultCutMember      FaultKind = "cut_member"       // silent, from the other members
	FaultDeafMember     FaultKind = "deaf_member"      // hears nothing, still sends
	FaultCutFeed        FaultKind = "cut_feed"         // a member's feed falls silent for all proxies
	FaultSeverFeed      FaultKind = "sever_feed"       // connections to a member's feed are reset
	FaultSilentReplica  FaultKind = "silent_replica"   // an engine or back end answers nothing
	FaultResetReplica   FaultKind = "reset_replica"    // its connections are reset
	FaultHoldReplica    FaultKind = "hold_replica"     // what is sent to it arrives late
	FaultLoseAnswers    FaultKind = "lose_answers"     // answers to operators are lost
)

// faultKinds lists the kinds in the order in which a soak draws them.
var faultKinds = []FaultKind{
	FaultKill, FaultKillAllMembers, FaultPause, FaultStutter, FaultPlannedStop, FaultLoseDisk, FaultTornTail,
	FaultRefuseWrites, FaultCutMember, FaultDeafMember, FaultCutFeed, FaultSeverFeed, FaultSilentReplica,
	FaultResetReplica, FaultHoldReplica, FaultLoseAnswers,
}

// Bounds of what is drawn.
const (
	shortestFault = 300 * time.Millisecond
	longestFault  = 4 * time.Second
	shortestGap   = 200 * time.Millisecond
	longestGap    = 2500 * time.Millisecond
)

// plannedFault is one fault of a schedule. It begins Gap after the one before it
// has begun, so that faults overlap when their lengths allow.
type plannedFault struct {
	Kind FaultKind
	Gap  time.Duration
	For  time.Duration
	// Target picks among the things that the kind can hit: the number modulo
	// their count.
	Target uint64
}

// planFaults draws the schedule of a seed: rounds over all kinds, each in an
// order of its own, until the gaps fill the duration.
func planFaults(seed uint64, duration time.Duration) []plannedFault {
	random := rand.New(rand.NewPCG(seed, uint64(len(faultKinds))))
	var plan []plannedFault
	var begun time.Duration
	for {
		for _, index := range random.Perm(len(faultKinds)) {
			fault := plannedFault{
				Kind:   faultKinds[index],
				Gap:    between(random, shortestGap, longestGap),
				For:    between(random, shortestFault, longestFault),
				Target: random.Uint64(),
			}
			begun += fault.Gap
			if begun > duration {
				return plan
			}
			plan = append(plan, fault)
		}
	}
}

func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}
