package guard

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/landingtrail/landingtrail/request/quarantine/parts"
	"github.com/landingtrail/landingtrail/version/api"
)

// TrialGranter grants trials of prompt parts to one proxy at a time; implemented by *feed.Client.
type TrialGranter interface {
	// ClaimPartTrial asks for a trial. It returns an error if nobody answers that grants trials.
	ClaimPartTrial(ctx context.Context, claim parts.TrialClaim) (granted bool, err error)
	// ReturnPartTrial returns a trial that has shown nothing. It returns whether the message was sent.
	ReturnPartTrial(claim parts.TrialClaim) bool
}

// SetTrialGranter sets who grants trials of prompt parts. Without one, proxies take turns.
func (g *Guard) SetTrialGranter(granter TrialGranter) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.parts.granter = granter
}

// partTrial is the trial of a part at this proxy in one turn.
type partTrial struct {
	turnEnd int64 // Unix milliseconds
	owner   any
	// granted is false while the control group is asked for the trial.
	granted bool
}

// claimInterval is the minimum time between a refused claim for the trial of a part and the next one.
const claimInterval = 100 * time.Millisecond

// proxiesPerTurn is the number of proxies for one that has the turn while the cause is still in doubt and nobody
// grants trials: where there are many, each has a request with the part only now and then.
const proxiesPerTurn = 16

// ClaimPartTrial claims the trial of the only part of a run that is on trial, for the owner of the request, and
// reports whether the owner has it. It asks the control group, which grants one trial in each turn. If nobody answers
// that grants trials, proxies take turns. A proxy that has been cut off for long tries parts by itself, with one request
// at a time. The owner must call EndPartTrial, and must not claim again once a replica may have crashed under it: a
// trial that it has from an earlier turn is returned first.
func (g *Guard) ClaimPartTrial(ctx context.Context, now time.Duration, run parts.Run, owner any) bool {
	g.returnTrials(g.endPartTrials(run, owner, g.isTurnOver))
	claim, begun := g.beginClaim(now, run, owner)
	switch begun {
	case claimGranted:
		return true
	case claimToAsk:
		return g.endClaim(now, claim, owner, g.askForTrial(ctx, claim))
	}
	return false
}

// claimStep is how a claim goes on once it has begun.
type claimStep uint8

const (
	claimRefused claimStep = iota
	claimToAsk             // the control group is to be asked
	claimGranted
)

// beginClaim begins a claim for the owner. It is refused if there is nothing to claim, or if another owner here has
// the trial or asks for it.
func (g *Guard) beginClaim(now time.Duration, run parts.Run, owner any) (parts.TrialClaim, claimStep) {
	g.lock.Lock()
	defer g.lock.Unlock()
	tried := g.partsOnTrial(now, run)
	if len(tried) != 1 {
		return parts.TrialClaim{}, claimRefused // a request with several parts would not show which of them is harmful
	}
	part := tried[0]
	entry, isAlone := g.parts.recorded[part], g.isLongCutOff(now)
	claim := parts.TrialClaim{Part: part, TurnEnd: entry.Spec.Until, Proxy: g.name}
	trial, found := g.parts.trials[part]
	isTaken := found && trial.turnEnd == claim.TurnEnd
	switch {
	case isTaken && trial.granted && trial.owner == owner:
		return claim, claimGranted
	case isTaken, g.wasJustRefused(now, part), isAlone && isFoundHarmful(entry):
		return claim, claimRefused
	}
	g.parts.trials[part] = partTrial{turnEnd: claim.TurnEnd, owner: owner, granted: isAlone}
	if isAlone {
		return claim, claimGranted
	}
	return claim, claimToAsk
}

// wasJustRefused reports whether a claim for the trial of a part was refused less than claimInterval ago. The caller
// must hold the lock.
func (g *Guard) wasJustRefused(now time.Duration, part parts.Key) bool {
	refusedAt, found := g.parts.refusedAt[part]
	return found && now-refusedAt < claimInterval
}

// isFoundHarmful reports whether a recorded part was found harmful and has not been cleared since.
func isFoundHarmful(entry *api.Quarantine) bool { return entry.Spec.Times > 0 }

// askForTrial asks the control group for a trial. If nobody answers that grants trials, proxies take turns.
func (g *Guard) askForTrial(ctx context.Context, claim parts.TrialClaim) bool {
	granter := g.trialGranter()
	if granter == nil {
		return g.hasTurn(claim)
	}
	granted, err := granter.ClaimPartTrial(ctx, claim)
	if err != nil {
		return g.hasTurn(claim)
	}
	return granted
}

// trialGranter returns who grants trials, nil if nobody does.
func (g *Guard) trialGranter() TrialGranter {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.parts.granter
}

// endClaim notes whether a claim was granted.
func (g *Guard) endClaim(now time.Duration, claim parts.TrialClaim, owner any, granted bool) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	trial := g.parts.trials[claim.Part]
	if trial.owner != owner || trial.turnEnd != claim.TurnEnd {
		return false // the turn has passed, or the part is not on record any more
	}
	if !granted {
		delete(g.parts.trials, claim.Part)
		g.parts.refusedAt[claim.Part] = now
		return false
	}
	trial.granted = true
	g.parts.trials[claim.Part] = trial
	return true
}

// hasTurn reports whether it is this proxy's turn to try a part where nobody grants trials. All proxies derive that
// from a hash of the part and the end of the turn. A part that was found harmful is tried by one proxy at a time.
func (g *Guard) hasTurn(claim parts.TrialClaim) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	entry, count := g.parts.recorded[claim.Part], len(g.proxies)
	if entry == nil || entry.Spec.Until != claim.TurnEnd {
		return false
	}
	if count == 0 {
		return true
	}
	turns := 1
	if !isFoundHarmful(entry) {
		turns += count / proxiesPerTurn
	}
	first := xxhash.Sum64(binary.BigEndian.AppendUint64(claim.Part[:], uint64(claim.TurnEnd))) % uint64(count)
	own := slices.Index(g.proxies, g.name)
	return own >= 0 && (own-int(first)+count)%count < turns
}

// IsPartTrial reports whether the owner has the trial of any part of a run.
func (g *Guard) IsPartTrial(run parts.Run, owner any) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return slices.ContainsFunc(run.Parts, func(part parts.Key) bool {
		trial, found := g.parts.trials[part]
		return found && trial.granted && trial.owner == owner
	})
}

// EndPartTrial ends the owner's trials of the parts of a run. Another request can have them in the same turn unless
// a replica seems to have crashed under this one.
func (g *Guard) EndPartTrial(run parts.Run, owner any, hasCrashed bool) {
	if hasCrashed {
		return
	}
	g.returnTrials(g.endPartTrials(run, owner, func(parts.Key, partTrial) bool { return true }))
}

// returnTrials returns trials that have shown nothing to who grants them.
func (g *Guard) returnTrials(ended []parts.TrialClaim) {
	granter := g.trialGranter()
	if granter == nil {
		return
	}
	for _, claim := range ended {
		granter.ReturnPartTrial(claim)
	}
}

// isTurnOver reports whether the turn of a trial has passed. The caller must hold the lock.
func (g *Guard) isTurnOver(part parts.Key, trial partTrial) bool {
	entry := g.parts.recorded[part]
	return entry != nil && entry.Spec.Until != trial.turnEnd
}

// endPartTrials removes those of the owner's trials that are to end and returns them as they were claimed.
func (g *Guard) endPartTrials(run parts.Run, owner any, isToEnd func(parts.Key, partTrial) bool) (ended []parts.TrialClaim) {
	g.lock.Lock()
	defer g.lock.Unlock()
	for _, part := range run.Parts {
		trial, found := g.parts.trials[part]
		if !found || trial.owner != owner || !isToEnd(part, trial) {
			continue
		}
		delete(g.parts.trials, part)
		ended = append(ended, parts.TrialClaim{Part: part, TurnEnd: trial.turnEnd, Proxy: g.name})
	}
	return ended
}

// hasPartTrial reports whether the owner has the trial of the only part on trial. The caller must hold the lock.
func (g *Guard) hasPartTrial(tried []parts.Key, owner any) bool {
	trial, found := g.parts.trials[tried[0]]
	return len(tried) == 1 && found && trial.granted && trial.owner == owner && trial.turnEnd == g.parts.recorded[tried[0]].Spec.Until
}

// partsOnTrial returns the parts of a run that are on trial, each once. A proxy that has been cut off for long leaves
// out those that a request here has cleared since: the record does not change. The caller must hold the lock.
func (g *Guard) partsOnTrial(now time.Duration, run parts.Run) (tried []parts.Key) {
	caller, isAlone := run.Caller.String(), g.isLongCutOff(now)
	for _, part := range run.Parts {
		entry := g.parts.recorded[part]
		if entry == nil || entry.Spec.State != api.QuarantinePartTried || !entry.Concerns(caller) || slices.Contains(tried, part) {
			continue
		}
		if isAlone && !isFoundHarmful(entry) && g.isClearedHere(part) {
			continue
		}
		tried = append(tried, part)
	}
	return tried
}

// isClearedHere reports whether this proxy has seen an answer begin to a request with a part after all crashes that
// count against the part. The caller must hold the lock.
func (g *Guard) isClearedHere(part parts.Key) bool {
	_, started := g.parts.table.LastStart(part)
	return started && !g.parts.table.IsSuspect(part)
}
