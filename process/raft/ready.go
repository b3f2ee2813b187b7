package raft

// HasReady reports whether Ready would return any work. It is false between Ready and
// the matching Advance. It first queues the leader's heartbeats and append messages that
// are due.
func (n *Node) HasReady() bool {
	if n.awaitingAdvance {
		return false
	}
	n.queueLeaderMessages()
	return len(n.messages) > 0 || len(n.readStates) > 0 || len(n.abortedReads) > 0 ||
		n.log.pendingSnapshot != nil || len(n.log.entriesToPersist()) > 0 || len(n.log.entriesToApply()) > 0 ||
		n.hardState() != n.emittedHardState
}

// Ready returns the work that has accumulated since the last Ready. Until Advance
// reports that this work is done, further calls return an empty Ready. Step, Tick and
// proposals may be called in between; their work goes into the next Ready.
func (n *Node) Ready() Ready {
	if !n.HasReady() {
		return Ready{}
	}
	ready := Ready{
		Snapshot:     n.log.pendingSnapshot,
		Entries:      n.log.entriesToPersist(),
		Messages:     n.messages,
		ReadStates:   n.readStates,
		AbortedReads: n.abortedReads,
		Committed:    n.log.entriesToApply(),
	}
	ready.MustSync = ready.Snapshot != nil || len(ready.Entries) > 0
	if state := n.hardState(); state != n.emittedHardState {
		ready.HardState = &state
		if state.Term != n.emittedHardState.Term || state.Vote != n.emittedHardState.Vote {
			ready.MustSync = true
		}
		n.emittedHardState = state
	}
	n.log.pendingSnapshot = nil
	n.log.emitted = n.log.lastIndex()
	n.messages = nil
	n.readStates = nil
	n.abortedReads = nil
	n.awaitingAdvance = true
	return ready
}

// Advance reports that everything in ready has been persisted, sent and applied. It does
// nothing unless a Ready is outstanding.
func (n *Node) Advance(ready Ready) {
	if !n.awaitingAdvance {
		return
	}
	n.awaitingAdvance = false
	if snapshot := ready.Snapshot; snapshot != nil {
		n.log.persisted = max(n.log.persisted, snapshot.Index)
		n.log.applied = max(n.log.applied, snapshot.Index)
	}
	if count := len(ready.Committed); count > 0 {
		n.log.applied = max(n.log.applied, ready.Committed[count-1].Index)
	}
	n.log.markPersisted(ready.Entries)
	n.maybeCommit()
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.committed}
}
