package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/metering"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/process/replica"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
)

// group is the control group as this member sees it. It serves the feed, the
// operator API and the leader's duties.
type group struct {
	replica *replica.Replica
	machine *machine
	config  Config
	demand  *demandTable
	// presence is what proxies say of themselves to this member.
	presence *presenceTable
	// usage is what proxies have counted, day the time of day that their clocks agree on.
	usage *usageDesk
	day   *metering.Agreement
	desk  *placementDesk
	// quotas charges requests to their tenants.
	quotas *quotaDesk
	// evidence is what proxies say of replicas that ended.
	evidence *evidence
	metrics  *metrics
	logger   log.Logger
	clock    groupClock
	// ledTerm is the last term for which this member has held a valid lease,
	// and therefore has applied everything that earlier leaders committed.
	ledTerm atomic.Uint64
	leases  leaseReadBatcher
	// membership makes additions and removals of members one at a time.
	membership sync.Mutex
}

var _ feed.Group = (*group)(nil)

// Leadership tells who leads, without asking anybody.
func (g *group) Leadership() feed.Leadership {
	status := g.replica.Status()
	leads := status.Role == raft.Leader && g.ledTerm.Load() == status.Term
	return feed.Leadership{Leads: leads, Term: status.Term, Address: g.address(status.Leader).FeedAddress}
}

// address returns the member's addresses, zero if they are not known.
func (g *group) address(id raft.MemberID) state.Member {
	for _, member := range g.machine.members() {
		if member.ID == uint64(id) {
			return member
		}
	}
	return state.Member{}
}

// Lease returns the term that this member leads, and false unless its lease is
// valid by a clock read after the call began.
func (g *group) Lease(ctx context.Context) (uint64, bool) {
	term, err := g.leases.read(ctx, g.readLease)
	return term, err == nil
}

// readLease asks the replica. The term is read before and after, since the
// lease that was found valid belongs to one of the terms in between.
func (g *group) readLease(ctx context.Context) (uint64, error) {
	before := g.replica.Status()
	if err := g.replica.LeaseRead(ctx); err != nil {
		return 0, err
	}
	after := g.replica.Status()
	if after.Role != raft.Leader {
		return 0, replica.ErrNotLeader
	}
	if before.Role != raft.Leader || before.Term != after.Term {
		return 0, replica.ErrLeaseExpired
	}
	if g.ledTerm.Swap(after.Term) != after.Term {
		g.quotas.begin(monotonic()) // reads of the lease are one at a time
	}
	return after.Term, nil
}

// Version returns the version last applied.
func (g *group) Version() view.Version { return g.machine.view().Version }

// View returns the view last applied.
func (g *group) View() *view.View { return g.machine.view() }

// DeltaSince returns what leads from a version to the one last applied.
func (g *group) DeltaSince(from view.Version) (view.Delta, bool) {
	return g.machine.history.Load().DeltaSince(from)
}

// propose commits the command and returns the state's answer. The errors are
// those of replica.Propose. Without a valid lease the command is refused with
// errNoLease at once, since what it appended might not be committed
// before a caller gives up, and then nobody could say what became of it.
func (g *group) propose(ctx context.Context, command state.Command) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, g.config.Durations.Proposal)
	defer cancel()
	term, err := g.leases.read(ctx, g.readLease)
	if err != nil {
		g.countFailure(errNoLease)
		return nil, errors.Wrap(errNoLease, err.Error())
	}
	command.Time = g.clock.now(term, g.machine, time.Now())
	command.Limits = g.limits()
	result, err := g.replica.Propose(ctx, state.Encode(command))
	if err != nil {
		g.countFailure(err)
	}
	return result.Value, err
}

func (g *group) countFailure(err error) {
	outcome := "unknown"
	if definitelyNotProposed(err) {
		outcome = "not_proposed"
	}
	g.metrics.proposalError.WithLabelValues(outcome).Inc()
}

func (g *group) limits() state.TransactionLimits {
	return state.TransactionLimits{
		MaxAffectedEngines: max(0, g.config.Limits.MaxAffectedEngines),
		OperationRetention: g.config.Limits.OperationRetention.Milliseconds(),
		ClaimRetention:     g.config.Limits.ClaimRetention.Milliseconds(),
	}
}

// errNoLease refuses a command that was not proposed for want of a valid lease.
var errNoLease = errors.New("control: no valid leader lease")

// definitelyNotProposed reports whether the error says that the command was not and
// will not be committed.
func definitelyNotProposed(err error) bool {
	for _, sure := range []error{errNoLease, replica.ErrNotLeader, replica.ErrOverloaded, replica.ErrStopped, replica.ErrWithdrawn} {
		if errors.Is(err, sure) {
			return true
		}
	}
	return false
}

// Claim commits an at-most-once claim.
func (g *group) Claim(ctx context.Context, request state.ClaimRequest) (api.ClaimResult, error) {
	if request.Retention <= 0 {
		request.Retention = g.config.Limits.ClaimRetention.Milliseconds()
	}
	result, err := g.propose(ctx, state.Command{Kind: state.CommandClaim, Claim: &request})
	if err != nil {
		return api.ClaimResult{}, feedError(err)
	}
	answer := result.(api.ClaimResult)
	g.metrics.claims.WithLabelValues(string(answer.Code)).Inc()
	return answer, nil
}

// RecordOutcome commits what became of a claimed run.
func (g *group) RecordOutcome(ctx context.Context, outcome state.RunOutcome) error {
	_, err := g.propose(ctx, state.Command{Kind: state.CommandRunOutcome, RunOutcome: &outcome})
	if err != nil {
		return feedError(err)
	}
	return nil
}

func feedError(err error) error {
	if definitelyNotProposed(err) {
		return errors.Wrap(feed.ErrNoQuorum, err.Error())
	}
	return errors.Wrap(feed.ErrOutcomeUnknown, err.Error())
}

// ReportDemand adds a proxy's report to the measured demand.
func (g *group) ReportDemand(daemon string, report feed.DemandReport) {
	g.demand.add(daemon, report, time.Now())
}

// ReportPresence keeps a proxy's word on itself.
func (g *group) ReportPresence(presence feed.Presence) {
	g.presence.note(presence, monotonic())
	g.day.Note(presence.Proxy, presence.Day)
}

// Place decides where a request goes by all requests of all proxies.
func (g *group) Place(daemon string, request feed.PlaceRequest) (placement.Answer, bool) {
	began := monotonic()
	desk := g.evidence.desk
	alert := desk.isAlert(request.Service, began)
	if alert && request.Ask.Name == "" {
		return placement.Answer{Name: true}, true
	}
	request.Ask.Suspect = alert && desk.isSuspect(request.Ask.Name, began)
	request.Ask.Judged = request.Ask.Suspect && desk.isJudged(request.Ask.Name, began)
	answer, known := g.desk.place(g.machine.history.Load(), daemon, request, alert, began)
	g.metrics.observePlacement(request.Service, answer, known, monotonic()-began)
	return answer, known
}

// NotePlaced takes in how far a placed request has come.
func (g *group) NotePlaced(daemon string, note feed.PlaceNote) {
	g.desk.note(daemon, note, monotonic())
}

// NoteKept takes in what a replica is believed to keep of prompts.
func (g *group) NoteKept(kept feed.KeptParts) { g.desk.kept(g.machine.history.Load(), kept) }

// NoteInFlight takes in what a proxy has in flight that other boards have placed.
func (g *group) NoteInFlight(daemon string, told feed.InFlight) {
	g.desk.takeOver(g.machine.history.Load(), daemon, told, monotonic())
}

// leaseReadBatcher lets any number of callers share lease reads. A caller gets the
// answer of a read that was started after its call, so a shared answer is as
// good as one of its own.
type leaseReadBatcher struct {
	lock    sync.Mutex
	running bool
	next    *leaseResult // of the read that starts once the running one ends
}

type leaseResult struct {
	done chan struct{}
	term uint64
	err  error
}

func (l *leaseReadBatcher) read(ctx context.Context, ask func(context.Context) (uint64, error)) (uint64, error) {
	answer := l.join(ask)
	select {
	case <-answer.done:
		return answer.term, answer.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (l *leaseReadBatcher) join(ask func(context.Context) (uint64, error)) *leaseResult {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.next == nil {
		l.next = &leaseResult{done: make(chan struct{})}
	}
	answer := l.next
	if !l.running {
		l.running = true
		go l.serve(ask)
	}
	return answer
}

// leaseReadTimeout bounds one lease read; a replica whose disk hangs answers none.
const leaseReadTimeout = time.Second

// serve runs one read after the other until nobody waits.
func (l *leaseReadBatcher) serve(ask func(context.Context) (uint64, error)) {
	for {
		answer := l.take()
		if answer == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), leaseReadTimeout)
		answer.term, answer.err = ask(ctx)
		cancel()
		close(answer.done)
	}
}

func (l *leaseReadBatcher) take() *leaseResult {
	l.lock.Lock()
	defer l.lock.Unlock()
	answer := l.next
	l.next = nil
	if answer == nil {
		l.running = false
	}
	return answer
}
