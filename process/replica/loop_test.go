package replica

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/process/wal/faultfs"
	"github.com/shoenig/test/must"
)

// A handover must wait for the proposals in the log and reject new ones, so that no
// proposal ends with an unknown outcome.
func TestHandoverWaitsForProposalsInTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 5, nil)
		defer g.stopAll()
		old := g.leader()
		target := g.others(old)[0]
		// The target receives the proposal and could win an election, but no quorum has
		// the proposal yet.
		g.network.setBlocked(func(from, to raft.MemberID) bool { return from == old.id && to != target.id })
		proposed := make(chan error, 1)
		go func() {
			_, err := old.replica.Propose(t.Context(), []byte("in the log"))
			proposed <- err
		}()
		time.Sleep(50 * time.Millisecond)
		handedOver := make(chan error, 1)
		go func() { handedOver <- old.replica.TransferLeadership(context.Background(), target.id) }()
		time.Sleep(50 * time.Millisecond)
		_, err := old.replica.Propose(t.Context(), []byte("too late"))
		must.ErrorIs(t, err, ErrNotLeader)
		time.Sleep(200 * time.Millisecond)
		g.network.setBlocked(nil)
		must.NoError(t, <-proposed)
		must.NoError(t, <-handedOver)
		must.Eq(t, target, g.leader(old))
		g.waitEqual(g.members...)
		must.False(t, old.stateMachine.contains("too late"))
	})
}

func TestHandoverToUnresponsiveMemberTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, nil)
		defer g.stopAll()
		leader := g.leader()
		target := g.others(leader)[0]
		g.network.isolate(target.id)
		// The target lacks this entry, so the leader never tells it to campaign.
		_, err := leader.replica.Propose(t.Context(), []byte("missed"))
		must.NoError(t, err)
		err = leader.replica.TransferLeadership(context.Background(), target.id)
		must.ErrorIs(t, err, ErrTransferFailed)
		_, err = leader.replica.Propose(t.Context(), []byte("after"))
		must.NoError(t, err)
	})
}

// A message that conflicts with committed entries proves that some member's disk lost
// writes that it had reported as durable.
func TestMemberStopsWhenItsGroupHasDiverged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, nil)
		defer g.stopAll()
		leader := g.leader()
		g.proposeMany("committed", 3)
		g.waitEqual(g.members...)
		follower := g.others(leader)[0]
		term := leader.replica.Status().Term
		follower.replica.Receive(raft.Message{
			Kind: raft.MessageAppend, From: leader.id, To: follower.id, Term: term, Index: 1, LogTerm: term - 1,
		})
		<-follower.replica.Done()
		must.ErrorIs(t, follower.replica.Err(), raft.ErrDiverged)
	})
}

// newTestLoop returns the loop of member 1 of three without running it.
func newTestLoop(t *testing.T, storage Storage, transport Transport) *loop {
	t.Helper()
	config := Config{Raft: raft.Config{ID: 1}, Storage: storage, Transport: transport, StateMachine: &history{}}
	config.setDefaults()
	node, err := raft.New(config.Raft, raft.InitialState{Configuration: raft.Configuration{Voters: []raft.MemberID{1, 2, 3}}})
	must.NoError(t, err)
	r := &Replica{config: config, mailbox: newMailbox(config), changed: make(chan struct{})}
	status := node.Status()
	r.status.Store(&status)
	return newLoop(r, node, 0)
}

// A member that answers a heartbeat promises not to vote for one election timeout after
// the heartbeat's arrival. If the loop read the clock before taking the message, the
// promise would end too early.
func TestClockIsReadAfterTheMessagesAreTaken(t *testing.T) {
	l := newTestLoop(t, NewMemory(), &network{})
	queuedAtReading := []int{}
	l.config.Clock = clockFunc(func() time.Duration {
		queuedAtReading = append(queuedAtReading, len(l.replica.mailbox.messages))
		return 0
	})
	l.replica.Receive(raft.Message{Kind: raft.MessageHeartbeat, From: 2, To: 1, Term: 1})
	must.NoError(t, l.step())
	must.Eq(t, 0, queuedAtReading[0])
	must.Eq(t, raft.MemberID(2), l.replica.Status().Leader)
}

// fullDisk fails every Save.
type fullDisk struct{ *Memory }

func (fullDisk) Save(Update) error { return faultfs.ErrFull }

// outbox is a Transport that records the messages sent.
type outbox struct{ sent []raft.Message }

func (o *outbox) Send(messages []raft.Message) { o.sent = append(o.sent, messages...) }

// withoutPreVotes returns the messages sent except the member's own pre-votes, which are not
// binding.
func (o *outbox) withoutPreVotes() []raft.Message {
	return slices.DeleteFunc(slices.Clone(o.sent), func(m raft.Message) bool { return m.Kind == raft.MessagePreVote })
}

func TestVoteThatIsNotDurableIsNotSent(t *testing.T) {
	for name, storage := range map[string]Storage{"durable": NewMemory(), "not durable": fullDisk{NewMemory()}} {
		t.Run(name, func(t *testing.T) {
			sent := &outbox{}
			l := newTestLoop(t, storage, sent)
			now := time.Duration(0)
			l.config.Clock = clockFunc(func() time.Duration { return now })
			must.NoError(t, l.step())
			now = DefaultElectionTimeout // the lease assumed at startup has expired
			l.replica.Receive(raft.Message{Kind: raft.MessageVote, From: 2, To: 1, Term: 1})
			if name == "durable" {
				must.NoError(t, l.step())
				must.Eq(t, []raft.Message{{Kind: raft.MessageVoteReply, From: 1, To: 2, Term: 1}}, sent.withoutPreVotes())
				return
			}
			must.ErrorIs(t, l.step(), faultfs.ErrFull)
			must.SliceEmpty(t, sent.withoutPreVotes())
		})
	}
}

type clockFunc func() time.Duration

func (f clockFunc) Now() time.Duration { return f() }

func TestMailboxIsBounded(t *testing.T) {
	m := newMailbox(Config{QueuedRequests: 2, QueuedMessages: 2, QueuedBytes: 1000})
	large := raft.Message{Entries: []raft.Entry{{Data: make([]byte, 2000)}}}
	must.True(t, m.putMessage(large), must.Sprint("alone"))
	must.False(t, m.putMessage(raft.Message{}), must.Sprint("too many bytes"))
	m.take()
	must.True(t, m.putMessage(raft.Message{}))
	must.False(t, m.putMessage(large))
	must.True(t, m.putMessage(raft.Message{}))
	must.False(t, m.putMessage(raft.Message{}), must.Sprint("too many messages"))
	must.NoError(t, m.putRequest(&request{}))
	must.NoError(t, m.putRequest(&request{}))
	must.ErrorIs(t, m.putRequest(&request{}), ErrOverloaded)
	must.Eq(t, 2, len(m.close()))
	must.ErrorIs(t, m.putRequest(&request{}), ErrStopped)
	must.False(t, m.putMessage(raft.Message{}))
}

// A leader whose disk hangs for longer than its lease must not answer a lease read on
// the basis of the lease that was valid when the read arrived.
func TestLeaseReadChecksTheLeaseAfterDiskWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, nil)
		defer g.stopAll()
		leader := g.leader()
		propose := func() { leader.replica.Propose(context.Background(), []byte("slow")) }
		leader.stall.Store(int64(100 * time.Millisecond))
		go propose()
		time.Sleep(50 * time.Millisecond)
		// Both requests wait for the first write and are then processed in one batch.
		go propose()
		read := make(chan error, 1)
		go func() { read <- leader.replica.LeaseRead(context.Background()) }()
		synctest.Wait()
		leader.stall.Store(int64(10 * time.Second))
		must.ErrorIs(t, <-read, ErrLeaseExpired)
		g.leader(leader)
	})
}

func TestProposalOverwrittenByAnotherTermHasUnknownOutcome(t *testing.T) {
	q := &request{outcome: make(chan outcome, 1)}
	l := newLoop(&Replica{config: Config{StateMachine: &history{}}}, nil, 4)
	l.proposals[5] = pendingProposal{term: 1, request: q}
	l.apply(raft.Entry{Term: 2, Index: 5})
	must.ErrorIs(t, (<-q.outcome).err, ErrOutcomeUnknown)
}

func TestReadWaitsUntilItsIndexIsApplied(t *testing.T) {
	q := &request{outcome: make(chan outcome, 1)}
	l := newLoop(&Replica{}, nil, 4)
	l.reads[1] = q
	l.completeReads(raft.Ready{ReadStates: []raft.ReadState{{RequestID: 1, Index: 5}}})
	must.Eq(t, 0, len(q.outcome))
	l.applied = 5
	l.completeReads(raft.Ready{})
	must.NoError(t, (<-q.outcome).err)
}
