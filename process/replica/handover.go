package replica

import (
	"time"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// handoverElectionTimeouts is the time limit of a handover in election timeouts.
const handoverElectionTimeouts = 3

// handover is a TransferLeadership request in progress. New proposals are rejected
// meanwhile, and those already in the log complete first, so that a planned handover
// leaves no proposal with an unknown outcome.
type handover struct {
	request         *request
	to              raft.MemberID
	deadline        time.Duration
	transferStarted bool
}

func (l *loop) beginHandover(now time.Duration, req *request) {
	status := l.node.Status()
	if status.Role != raft.Leader {
		req.complete(Result{}, &NotLeaderError{Leader: status.Leader})
		return
	}
	if l.handover != nil {
		req.complete(Result{}, errors.Wrap(ErrTransferFailed, "another handover is in progress"))
		return
	}
	to := req.to
	if to == raft.None {
		to = successor(status)
	}
	if to == raft.None || to == status.ID {
		req.complete(Result{}, ErrNoSuccessor)
		return
	}
	l.handover = &handover{request: req, to: to, deadline: now + handoverElectionTimeouts*l.config.Raft.ElectionTimeout}
}

// successor returns the voter with the most entries among the other voters that were
// recently active, or raft.None.
func successor(status raft.Status) raft.MemberID {
	best := raft.None
	for _, voter := range status.Configuration.Voters {
		if voter == status.ID || !status.RecentlyActive[voter] {
			continue
		}
		if best == raft.None || status.Match[voter] > status.Match[best] {
			best = voter
		}
	}
	return best
}

// continueHandover asks the node to transfer leadership once no proposal is pending,
// and fails the handover at its deadline.
func (l *loop) continueHandover() error {
	if l.handover == nil {
		return nil
	}
	now := l.config.Clock.Now()
	if now >= l.handover.deadline {
		l.endHandover(ErrTransferFailed)
		return nil
	}
	if l.handover.transferStarted || len(l.proposals) > 0 {
		return nil
	}
	l.handover.transferStarted = true
	if err := l.node.TransferLeadership(now, l.handover.to); err != nil {
		l.endHandover(errors.Wrap(ErrTransferFailed, err.Error()))
		return nil
	}
	return l.processReady()
}

// endHandover completes the handover's request. ErrNotLeader counts as success, because
// it means that leadership was transferred.
func (l *loop) endHandover(err error) {
	if l.handover == nil {
		return
	}
	req := l.handover.request
	l.handover = nil
	if errors.Is(err, ErrNotLeader) {
		err = nil
	}
	req.complete(Result{}, err)
}
