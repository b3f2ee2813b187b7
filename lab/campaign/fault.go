package campaign

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kinds of faults that a schedule is made of, and of events that faults lead
// to. The counts of a campaign say how often each struck.
const (
	faultKillLeader       = "kill_leader"
	faultKillMember       = "kill_member"
	faultKillInSave       = "kill_followers_in_save_then_leader"
	faultPauseLeader      = "pause_leader_beyond_lease"
	faultPauseMember      = "pause_member"
	faultLoseDisk         = "lose_disk"
	faultSecondLoss       = "second_loss_after_repair"
	faultCutOneWay        = "cut_one_way"
	faultIsolateLeader    = "isolate_leader"
	faultIsolateMember    = "isolate_member"
	faultLoseQuorum       = "lose_quorum"
	faultCutProxy         = "cut_proxy_from_control"
	faultCutEngine        = "cut_proxy_from_engine"
	faultStallOrders      = "stall_orders"
	faultReplayOrders     = "replay_orders_of_deposed_leader"
	faultStallDeltas      = "stall_deltas"
	faultCrashEngine      = "crash_engine"
	faultCrashChanging    = "crash_engine_in_change"
	faultPauseEngine      = "pause_engine"
	faultKillProxy        = "kill_proxy"
	faultPauseProxy       = "pause_proxy"
	faultKillRelay        = "kill_relay"
	faultPauseRelay       = "pause_relay_beyond_lease"
	faultCutRelay         = "cut_relay_from_control"
	faultLeaveMachine     = "machine_leaves"
	faultPlannedStop      = "planned_stop_of_member"
	faultLoseAnswers      = "lose_answers_to_operators"
	faultDuplicates       = "duplicate_messages"
	strikeTornSave        = "crash_in_save"
	strikeSnapshot        = "snapshot"
	strikeMembership      = "membership_change"
	strikeStaleOrder      = "stale_order_refused"
	strikeOldGrant        = "grant_of_deposed_leader"
	strikeLateDelta       = "late_delta_refused"
	strikeLateFrame       = "late_frame_dropped"
	strikeStall           = "stream_stalled"
	strikeResume          = "stream_resumed"
	strikeResend          = "caller_resend"
	strikeOperationResend = "operator_resend"
	strikeRace            = "operators_race"
	strikeLabelMove       = "label_moved_in_steps"
	strikeSecondLoss      = "second_loss_struck"
	strikeInstall         = "restart_from_snapshot"
)

// faultKinds are what a schedule draws from.
var faultKinds = []string{
	faultKillLeader, faultKillMember, faultKillInSave, faultPauseLeader, faultPauseMember, faultLoseDisk, faultSecondLoss,
	faultCutOneWay, faultIsolateLeader, faultIsolateMember, faultLoseQuorum, faultCutProxy, faultCutEngine,
	faultStallOrders, faultReplayOrders, faultStallDeltas, faultCrashEngine, faultCrashChanging, faultPauseEngine, faultKillProxy,
	faultPauseProxy, faultKillRelay, faultPauseRelay, faultCutRelay, faultLeaveMachine, faultPlannedStop, faultLoseAnswers, faultDuplicates,
}

// strikeKinds are consequences that every campaign of some length must show.
var strikeKinds = []string{
	strikeTornSave, strikeSnapshot, strikeMembership, strikeStaleOrder, strikeLateFrame, strikeStall, strikeResume,
	strikeResend, strikeOperationResend, strikeRace, strikeLabelMove, strikeInstall, strikeSecondLoss,
}

// quiet faults are planned operations: they excuse no request that is cut short.
var quietFaults = map[string]bool{faultLeaveMachine: true, faultPlannedStop: true, faultDuplicates: true}

// Fault is one entry of a schedule.
type Fault struct {
	At     time.Duration
	Kind   string
	Length time.Duration
	// Pick chooses the process that is struck, by index.
	Pick int
}

// String describes the fault for a trace.
func (f Fault) String() string {
	return fmt.Sprintf("%.2fs %s(%d) for %.2fs", f.At.Seconds(), f.Kind, f.Pick, f.Length.Seconds())
}

// schedule draws the faults of a run. Half of them come in pairs, the second
// while the first lasts.
func schedule(random *rand.Rand) []Fault {
	var faults []Fault
	for at := warmUp; at < faultsEnd; {
		at += time.Duration(float64(meanFaultGap) * (0.3 + 1.4*random.Float64()))
		fault := drawFault(random, at)
		faults = append(faults, fault)
		if random.IntN(2) == 0 {
			faults = append(faults, drawFault(random, at+time.Duration(random.Int64N(int64(fault.Length)))))
		}
	}
	return faults
}

func drawFault(random *rand.Rand, at time.Duration) Fault {
	return Fault{
		At:     at,
		Kind:   faultKinds[random.IntN(len(faultKinds))],
		Length: 300*time.Millisecond + time.Duration(random.Int64N(int64(4*time.Second))),
		Pick:   random.IntN(1 << 16),
	}
}

// inject brings the fault about, if what it needs is there.
func (w *world) inject(fault Fault) {
	if !quietFaults[fault.Kind] {
		w.disturb(fault.Length)
	}
	if w.apply(fault) {
		w.strike(fault.Kind)
	}
}

func (w *world) apply(fault Fault) bool {
	m := w.members[fault.Pick%len(w.members)]
	leader := w.leader()
	switch fault.Kind {
	case faultKillLeader:
		return leader != nil && w.killMember(leader, fault.Length)
	case faultKillMember:
		return w.killMember(m, fault.Length)
	case faultKillInSave:
		return leader != nil && w.killInSave(leader, fault.Length)
	case faultPauseLeader:
		if leader != nil {
			leader.pause(leaseDuration + electionTimeout + fault.Length)
		}
		return leader != nil
	case faultPauseMember:
		m.pause(fault.Length)
		return m.up
	case faultLoseDisk:
		return w.loseDisk(m, fault.Length)
	case faultSecondLoss:
		return w.loseDiskAfterRepair(fault.Length)
	case faultPlannedStop:
		return leader != nil && w.plannedStop(leader, fault.Length)
	default:
		return w.applyToLinks(fault, m, leader)
	}
}

func (w *world) applyToLinks(fault Fault, m, leader *member) bool {
	other := w.members[(fault.Pick/7+1+fault.Pick)%len(w.members)]
	proxy := w.proxies[fault.Pick%len(w.proxies)]
	engine := w.engines[fault.Pick%len(w.engines)]
	switch fault.Kind {
	case faultCutOneWay:
		w.network.cut(m.name, other.name, fault.Length)
		return m != other
	case faultIsolateLeader:
		if leader != nil {
			w.isolate(leader.name, fault.Length)
		}
		return leader != nil
	case faultIsolateMember:
		w.isolate(m.name, fault.Length)
		return true
	case faultLoseQuorum:
		w.isolate(w.members[0].name, fault.Length)
		w.isolate(w.members[1].name, fault.Length)
		return true
	case faultCutProxy:
		for _, each := range w.members {
			w.cutBoth(each.name, proxy.name, fault.Length+viewLease)
		}
		for _, each := range w.relays {
			w.cutBoth(each.name, proxy.name, fault.Length+viewLease)
		}
		return true
	case faultCutEngine:
		w.network.cut(engine.name, proxy.name, fault.Length)
		if fault.Pick%2 == 0 {
			w.network.cut(proxy.name, engine.name, fault.Length)
		}
		return true
	case faultKillRelay, faultPauseRelay, faultCutRelay:
		return w.relayed() && w.applyToRelay(fault, w.relays[fault.Pick%len(w.relays)])
	default:
		return w.applyToOthers(fault, leader, proxy, engine)
	}
}

func (w *world) applyToRelay(fault Fault, relay *relayHost) bool {
	switch fault.Kind {
	case faultKillRelay:
		return w.killRelay(relay, fault.Length)
	case faultPauseRelay:
		relay.pause(viewLease + fault.Length)
		return relay.up
	}
	for _, each := range w.members {
		w.cutBoth(each.name, relay.name, fault.Length+viewLease)
	}
	return true
}

func (w *world) applyToOthers(fault Fault, leader *member, proxy *proxyHost, engine *engineHost) bool {
	switch fault.Kind {
	case faultStallOrders:
		return leader != nil && w.stallOrders(leader, fault.Length)
	case faultReplayOrders:
		return w.replayOrders(fault.Pick)
	case faultStallDeltas:
		return leader != nil && w.stallDeltas(leader, fault.Length)
	case faultCrashEngine:
		return w.crashEngine(engine, fault.Length)
	case faultCrashChanging:
		changing := w.changingEngine()
		return changing != nil && w.crashEngine(changing, fault.Length)
	case faultPauseEngine:
		engine.pause(fault.Length)
		return engine.up
	case faultKillProxy:
		return w.killProxy(proxy, fault.Length)
	case faultPauseProxy:
		w.pauseProxy(proxy, viewLease+fault.Length)
		return proxy.up
	case faultLeaveMachine:
		return w.leaveMachine(engine, fault.Length)
	case faultLoseAnswers:
		for _, each := range w.members {
			w.network.cut(each.name, w.operatorHost.name, fault.Length)
		}
		return true
	case faultDuplicates:
		w.network.duplicates = 0.3
		w.after(fault.Length, func() { w.network.duplicates = 0 })
		return true
	}
	return false
}
