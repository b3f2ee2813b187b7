package guard

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/version/api"
)

// Hold says why a request must not be sent to any replica.
type Hold struct {
	Basis     HoldBasis
	Remaining time.Duration // how long it lasts, by what is known now
}

// HoldBasis is what a hold rests on.
type HoldBasis uint8

// Bases of a hold.
const (
	BasisRecord       HoldBasis = iota + 1 // the record says that the request is held
	BasisSettling                          // the record says that it is about to be held
	BasisTrial                             // it is on trial, and another owner has the trial
	BasisCutOff                            // this proxy is cut off and judges by what it knows itself
	BasisMemberReport                      // a member without a leader reported crashes
	BasisOwnCrashes                        // enough replicas crashed while the proxy processed the request
	BasisPart                              // the record says that a part of the prompt is held
	BasisPartTrial                         // parts of the prompt are on trial, and this is not the request to try them
	BasisPartCutOff                        // this proxy is cut off and judges a part of the prompt by what it knows itself
)

func (b HoldBasis) String() string {
	names := [...]string{"none", "record", "settling", "trial", "cut_off", "member_report", "own_crashes", "part", "part_trial", "part_cut_off"}
	return names[b]
}

// CheckHold reports whether a request must not be sent to any replica, and why and for how long; the
// hold is zero if it may be sent. A request on record as held or settling (about to be held) is sent
// nowhere. One on trial may be sent by one owner at a time: CheckHold claims the trial for the
// owner, who must call EndTrial. If no such state is on record, the observations of a proxy that
// is cut off, or that acts on a member's report, decide.
func (g *Guard) CheckHold(now time.Duration, wall time.Time, fingerprint quarantine.Fingerprint, owner any) (hold Hold, held bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	entry := g.recorded[fingerprint.String()]
	switch {
	case entry == nil:
	case entry.Spec.State == api.QuarantineHeld:
		return Hold{BasisRecord, max(time.UnixMilli(entry.Spec.Until).Sub(wall), MinHold)}, true
	case entry.Spec.State == api.QuarantineSettling:
		return Hold{BasisSettling, trialRetryAfter}, true
	case entry.Spec.State == api.QuarantineTried:
		if g.claimTrial(fingerprint, entry.Spec.Until, owner) {
			return Hold{}, false
		}
		return Hold{BasisTrial, trialRetryAfter}, true
	}
	// The record alone decides, or the evidence known here does not suffice.
	basis := BasisMemberReport
	if g.updateCutOff(now) {
		basis = BasisCutOff
	} else if now >= g.reportedUntil {
		return Hold{}, false
	}
	g.judgePartsAlone(now) // harmful parts explain crashes of requests
	if !g.table.IsHarmfulOnPartialView(fingerprint) {
		return Hold{}, false
	}
	return Hold{basis, max(g.table.HarmfulFor(now, fingerprint), MinHold)}, true
}

// RequiresLeader reports whether only the control group may place a request: enough replicas have
// crashed while processing it to make it a suspect, and this proxy is not cut off. Crashes that
// prove little (Spec.Weak) do not count. The control group has one copy at a time sent to a replica
// without other requests, or lets none be sent; a proxy does not know of the copies at other
// proxies.
func (g *Guard) RequiresLeader(now time.Duration, fingerprint quarantine.Fingerprint) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	entry := g.recorded[fingerprint.String()]
	if entry == nil || entry.Spec.State != api.QuarantineWatched {
		return false
	}
	return len(entry.Spec.Replicas)-len(entry.Spec.Weak) >= quarantine.WatchedIncidents && !g.updateCutOff(now)
}

// MinHold is the minimum time that CheckHold returns for a held request.
const MinHold = time.Second

// trialRetryAfter is the retry delay for a request on trial by another owner, whose trial is
// expected to end within that time.
const trialRetryAfter = 300 * time.Millisecond

// claimTrial claims the trial of the request for the owner and reports whether the owner has it:
// it is this proxy's turn, and no other owner here has it. All proxies derive whose turn it is
// from a hash of the fingerprint and turnEnd, the end of the turn in Unix milliseconds. Two
// proxies with different views may both run a trial for a moment. The caller must hold the lock.
func (g *Guard) claimTrial(fingerprint quarantine.Fingerprint, turnEnd int64, owner any) bool {
	if current, found := g.trials[fingerprint]; found {
		return current == owner
	}
	if len(g.proxies) > 0 {
		hash := xxhash.Sum64(binary.BigEndian.AppendUint64(fingerprint[:], uint64(turnEnd)))
		if g.proxies[hash%uint64(len(g.proxies))] != g.name {
			return false
		}
	}
	g.trials[fingerprint] = owner
	return true
}

// EndTrial lets another owner claim the trial, if this owner has it.
func (g *Guard) EndTrial(fingerprint quarantine.Fingerprint, owner any) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.trials[fingerprint] == owner {
		delete(g.trials, fingerprint)
	}
}
