package replica

import (
	"time"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// loop is the state of the goroutine that owns the Raft node. No other goroutine
// accesses its fields.
type loop struct {
	replica        *Replica
	config         Config
	node           *raft.Node
	proposals      map[uint64]pendingProposal // appended proposals, by log index
	reads          map[uint64]*request        // ReadIndex requests, by request ID
	confirmedReads []confirmedRead            // reads waiting for their index to be applied
	leaseReads     []*request                 // LeaseRead requests to be answered at the end of this step
	lastReadID     uint64
	applied        uint64
	leaderTerm     uint64 // the term in which this member leads, or 0
	handover       *handover
	snapshots      snapshotter
}

// pendingProposal is a proposal that this member appended as leader of term.
type pendingProposal struct {
	term    uint64
	request *request
}

type confirmedRead struct {
	index   uint64
	request *request
}

func newLoop(r *Replica, node *raft.Node, applied uint64) *loop {
	return &loop{
		replica:   r,
		config:    r.config,
		node:      node,
		proposals: make(map[uint64]pendingProposal),
		reads:     make(map[uint64]*request),
		applied:   applied,
		snapshots: newSnapshotter(r.config, applied),
	}
}

func (l *loop) run() {
	ticker := time.NewTicker(l.config.Raft.HeartbeatInterval / ticksPerHeartbeat)
	defer ticker.Stop()
	err := error(nil)
	for stopped := false; !stopped && err == nil; {
		select {
		case <-l.replica.stopping:
			stopped = true
		case <-ticker.C:
			err = l.step()
		case <-l.replica.mailbox.wake:
			err = l.step()
		case result := <-l.snapshots.done:
			err = l.finishSnapshot(result)
		}
	}
	l.shutDown(err)
}

// shutDown fails all pending requests, closes the storage and then closes done.
func (l *loop) shutDown(err error) {
	for _, req := range l.replica.mailbox.close() {
		req.complete(Result{}, ErrStopped)
	}
	l.failPending(ErrStopped)
	l.snapshots.wait()
	if closeErr := l.config.Storage.Close(); err == nil {
		err = closeErr
	}
	l.replica.err = err
	close(l.replica.done)
}

// step processes all queued messages and requests as one batch and carries out the
// resulting work.
func (l *loop) step() error {
	messages, requests := l.replica.mailbox.take()
	// Read the clock after emptying the mailbox, so that no message gets a time before
	// its arrival.
	now := l.config.Clock.Now()
	l.node.Tick(now)
	for _, message := range messages {
		if err := l.node.Step(now, message); errors.Is(err, raft.ErrDiverged) {
			return err
		}
	}
	for _, req := range requests {
		if req.claim() {
			l.handleRequest(now, req)
		}
	}
	if err := l.processReady(); err != nil {
		return err
	}
	l.checkLeadershipLost()
	if err := l.continueHandover(); err != nil {
		return err
	}
	l.answerLeaseReads()
	l.replica.publishStatus(l.node.Status())
	return l.startSnapshot()
}

// handleRequest passes the request to the node, or queues a lease read for the end of
// the step.
func (l *loop) handleRequest(now time.Duration, req *request) {
	switch req.kind {
	case requestPropose:
		l.propose(req, func() (uint64, uint64, error) { return l.node.Propose(now, req.data) })
	case requestChange:
		l.propose(req, func() (uint64, uint64, error) { return l.node.ProposeChange(now, req.change) })
	case requestLeaseRead:
		l.leaseReads = append(l.leaseReads, req)
	case requestReadIndex:
		l.lastReadID++
		if err := l.node.ReadIndex(now, l.lastReadID); err != nil {
			req.complete(Result{}, l.callerError(err))
			return
		}
		l.reads[l.lastReadID] = req
	case requestTransfer:
		l.beginHandover(now, req)
	}
}

// propose calls propose to append an entry and keeps the request until the entry is
// applied. It rejects the request during a handover.
func (l *loop) propose(req *request, propose func() (term, index uint64, err error)) {
	if l.handover != nil {
		req.complete(Result{}, &NotLeaderError{Leader: raft.None})
		return
	}
	term, index, err := propose()
	if err != nil {
		req.complete(Result{}, l.callerError(err))
		return
	}
	l.proposals[index] = pendingProposal{term: term, request: req}
}

// callerError converts an error of the node into the error returned to callers.
func (l *loop) callerError(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader):
		return l.notLeaderError()
	case errors.Is(err, raft.ErrTransferPending):
		return &NotLeaderError{Leader: raft.None}
	case errors.Is(err, raft.ErrOverloaded):
		return ErrOverloaded
	}
	return err
}

func (l *loop) notLeaderError() error { return &NotLeaderError{Leader: l.node.Status().Leader} }

// processReady persists updates, sends messages and applies committed entries. The
// safety of the protocol depends on this order.
func (l *loop) processReady() error {
	for l.node.HasReady() {
		ready := l.node.Ready()
		if err := l.persist(ready); err != nil {
			return err
		}
		if len(ready.Messages) > 0 {
			l.config.Transport.Send(ready.Messages)
		}
		for _, entry := range ready.Committed {
			l.apply(entry)
		}
		l.completeReads(ready)
		l.node.Advance(ready)
	}
	return nil
}

// persist saves the update. If it contains a received snapshot, persist also restores
// the state machine from it.
func (l *loop) persist(ready raft.Ready) error {
	update := Update{
		HardState: ready.HardState,
		Snapshot:  ready.Snapshot,
		Entries:   ready.Entries,
		MustSync:  ready.MustSync,
	}
	if err := l.config.Storage.Save(update); err != nil {
		return errors.Wrap(err, "replica: save update")
	}
	if ready.Snapshot == nil {
		return nil
	}
	if err := l.config.StateMachine.Restore(ready.Snapshot.Data); err != nil {
		return errors.Wrap(err, "replica: restore state machine from received snapshot")
	}
	l.applied = ready.Snapshot.Index
	l.snapshots.reset(ready.Snapshot.Index)
	return nil
}

// apply applies one committed entry and completes its proposal.
func (l *loop) apply(entry raft.Entry) {
	var value any
	if entry.Kind == raft.EntryCommand {
		value = l.config.StateMachine.Apply(entry)
	}
	l.applied = entry.Index
	l.snapshots.countEntry(entry)
	proposal, found := l.proposals[entry.Index]
	if !found {
		return
	}
	delete(l.proposals, entry.Index)
	if proposal.term != entry.Term {
		proposal.request.complete(Result{}, ErrOutcomeUnknown)
		return
	}
	proposal.request.complete(Result{Term: entry.Term, Index: entry.Index, Value: value}, nil)
}

// completeReads completes the reads whose index has been applied and fails the
// aborted ones.
func (l *loop) completeReads(ready raft.Ready) {
	for _, state := range ready.ReadStates {
		if req, found := l.reads[state.RequestID]; found {
			delete(l.reads, state.RequestID)
			l.confirmedReads = append(l.confirmedReads, confirmedRead{index: state.Index, request: req})
		}
	}
	for _, requestID := range ready.AbortedReads {
		if req, found := l.reads[requestID]; found {
			delete(l.reads, requestID)
			req.complete(Result{}, l.notLeaderError())
		}
	}
	remaining := l.confirmedReads[:0]
	for _, read := range l.confirmedReads {
		if read.index > l.applied {
			remaining = append(remaining, read)
			continue
		}
		read.request.complete(Result{Index: read.index}, nil)
	}
	l.confirmedReads = remaining
}

// answerLeaseReads completes the queued lease reads. It runs after all disk writes of
// the step and reads the clock again, since the lease may have expired during them.
func (l *loop) answerLeaseReads() {
	if len(l.leaseReads) == 0 {
		return
	}
	status := l.node.Status()
	valid := l.node.LeaseValid(l.config.Clock.Now())
	for _, req := range l.leaseReads {
		switch {
		case status.Role != raft.Leader:
			req.complete(Result{}, &NotLeaderError{Leader: status.Leader})
		case !valid:
			req.complete(Result{}, ErrLeaseExpired)
		default:
			req.complete(Result{Term: status.Term, Index: l.applied}, nil)
		}
	}
	l.leaseReads = nil
}

// checkLeadershipLost fails all pending requests if this member no longer leads the
// term that it led before: another leader decides whether its proposals are committed.
func (l *loop) checkLeadershipLost() {
	status := l.node.Status()
	leaderTerm := uint64(0)
	if status.Role == raft.Leader {
		leaderTerm = status.Term
	}
	if l.leaderTerm != 0 && l.leaderTerm != leaderTerm {
		l.failPending(&NotLeaderError{Leader: status.Leader})
	}
	l.leaderTerm = leaderTerm
}

// failPending fails all pending requests. Proposals may be in the logs of other
// members, so they get ErrOutcomeUnknown; all other requests get err.
func (l *loop) failPending(err error) {
	for index, proposal := range l.proposals {
		delete(l.proposals, index)
		proposal.request.complete(Result{}, ErrOutcomeUnknown)
	}
	for requestID, req := range l.reads {
		delete(l.reads, requestID)
		req.complete(Result{}, err)
	}
	for _, read := range l.confirmedReads {
		read.request.complete(Result{}, err)
	}
	for _, req := range l.leaseReads {
		req.complete(Result{}, err)
	}
	l.confirmedReads, l.leaseReads = nil, nil
	l.endHandover(err)
}
