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
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/landingtrail/landingtrail/request/retry"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
)

// group is the control group as seen by this member. It is used by the feed, the operator API and
// the leader's tasks.
type group struct {
	replica *replica.Replica
	machine *machine
	config  Config
	demand  *demandTable
	// presence holds the presence reports of proxies to this member.
	presence *presenceTable
	// usage holds the counts reported by proxies.
	usage *usageCollector
	// agreedTime is the wall-clock time that a majority of the proxies' clocks agrees on.
	agreedTime *metering.MedianClock
	// boards places the requests of model services.
	boards *placementBoards
	// quotas charges requests to the quotas of their tenants.
	quotas *quotaCharger
	// rates holds the replicas that state a limit on their requests.
	rates *ratelimit.Limiter
	// retries is lent to proxies whose own retry budgets are used up.
	retries *retry.Pool
	// streams holds the software versions that began streams.
	streams  *streamArchive
	restarts *restartDoubts
	// wakeFeed lets the feed send what has changed.
	wakeFeed func()
	// evidence holds the proxies' reports of crashed replicas.
	evidence *evidence
	metrics  *metrics
	logger   log.Logger
	clock    groupClock
	// ledTerm is the last term in which this member held a valid lease. When the lease of a term
	// first becomes valid, the leader has applied everything that earlier leaders committed.
	ledTerm atomic.Uint64
	leases  leaseReadBatcher
	// membership serializes additions and removals of members.
	membership sync.Mutex
}

var _ feed.Group = (*group)(nil)

// Leadership returns who leads as far as this member knows, without contacting others.
func (g *group) Leadership() feed.Leadership {
	status := g.replica.Status()
	leads := status.Role == raft.Leader && g.ledTerm.Load() == status.Term
	return feed.Leadership{Leads: leads, Term: status.Term, Address: g.memberByID(status.Leader).FeedAddress}
}

// memberByID returns the record of the member, or a zero record if there is none.
func (g *group) memberByID(id raft.MemberID) state.Member {
	for _, member := range g.machine.members() {
		if member.ID == uint64(id) {
			return member
		}
	}
	return state.Member{}
}

// Lease returns the term that this member leads, and true if the lease was valid at some time after
// the call began. Otherwise it returns false.
func (g *group) Lease(ctx context.Context) (uint64, bool) {
	term, err := g.leases.read(ctx, g.readLease)
	return term, err == nil
}

// readLease checks the lease with the replica. The term is read before and after, since the lease
// may belong to any term in between.
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
		g.quotas.begin(monotonic()) // lease reads do not run concurrently
		g.rates.BeginTerm(monotonic())
		g.retries.BeginTerm(monotonic())
	}
	return after.Term, nil
}

// Version returns the version of the last applied view.
func (g *group) Version() view.Version { return g.machine.view().Version }

// View returns the last applied view.
func (g *group) View() *view.View { return g.machine.view() }

// DeltaSince returns the delta from a version to the last applied one, and false if the last
// applied one is not newer.
func (g *group) DeltaSince(from view.Version) (view.Delta, bool) {
	return g.machine.history.Load().DeltaSince(from)
}

// propose commits the command and returns the result of the state machine. Errors are errNoLease
// and those of replica.Propose. Without a valid lease it fails at once with errNoLease: an appended
// command might not be committed before the caller gives up, and its outcome would then be unknown.
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

// errNoLease means that a command was not proposed because the leader lease was not valid.
var errNoLease = errors.New("control: no valid leader lease")

// definitelyNotProposed reports whether the error guarantees that the command was not and will not
// be committed.
func definitelyNotProposed(err error) bool {
	for _, notProposed := range []error{errNoLease, replica.ErrNotLeader, replica.ErrOverloaded, replica.ErrStopped, replica.ErrWithdrawn} {
		if errors.Is(err, notProposed) {
			return true
		}
	}
	return false
}

// Claim commits an at-most-once claim of a tenant's request key. A request without a retention, in
// milliseconds, gets the configured one.
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

// RecordOutcome commits the outcome of a request that was run under a claim.
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

// ReportPresence records a proxy's presence report.
func (g *group) ReportPresence(presence feed.Presence) {
	g.presence.record(presence, monotonic())
	g.agreedTime.Record(presence.Proxy, presence.WallClock)
}

// Place chooses the replica for a request, with all requests of all proxies taken into account. It
// returns false if the service is not known. While replicas of the service crash in series, it
// answers a request without a fingerprint only by NeedsFingerprint, which asks the proxy for the
// fingerprint: suspects are isolated, and requests that are about to be held have to wait.
func (g *group) Place(daemon string, request feed.PlaceRequest) (placement.Answer, bool) {
	began := monotonic()
	tracker := g.evidence.tracker
	alert := tracker.isAlert(request.Service, began)
	if alert && request.Ask.Fingerprint == "" {
		return placement.Answer{NeedsFingerprint: true}, true
	}
	request.Ask.Suspect = alert && tracker.isSuspect(request.Ask.Fingerprint, began)
	request.Ask.AwaitsQuarantine = request.Ask.Suspect && tracker.mustWait(request.Ask.Fingerprint, began)
	if answer, refused := g.excludeExhausted(&request, began); refused {
		g.metrics.observePlacement(request.Service, answer, true, monotonic()-began)
		return answer, true
	}
	doubtful := g.excludeDoubtful(&request, began)
	answer, known := g.boards.place(g.machine.history.Load(), daemon, request, alert, began)
	if request.Ask.Suspect {
		tracker.noteCopy(request.Ask.Fingerprint, answer.Generator != "", began)
	}
	g.recordPlacedStreams(request.Ask.Streams, answer, doubtful)
	g.metrics.observePlacement(request.Service, answer, known, monotonic()-began)
	return answer, known
}

// RecordProgress records the progress of a request that this member has placed.
func (g *group) RecordProgress(daemon string, progress feed.PlacementProgress) {
	g.boards.recordProgress(daemon, progress, monotonic())
}

// RecordCachedParts records the prompt parts that a replica is believed to have cached.
func (g *group) RecordCachedParts(cached feed.CachedParts) {
	g.boards.addCachedParts(g.machine.history.Load(), cached)
}

// RecordInFlight records requests that a proxy has in flight and that another member has placed.
func (g *group) RecordInFlight(daemon string, inFlight feed.InFlight) {
	g.boards.addInFlight(g.machine.history.Load(), daemon, inFlight, monotonic())
}

// leaseReadBatcher shares lease reads among concurrent callers. Every caller gets the result of a
// read that started after its call.
type leaseReadBatcher struct {
	lock    sync.Mutex
	running bool
	next    *leaseResult // result of the read that starts after the running one
}

type leaseResult struct {
	done chan struct{}
	term uint64
	err  error
}

func (l *leaseReadBatcher) read(ctx context.Context, ask func(context.Context) (uint64, error)) (uint64, error) {
	answer := l.enqueue(ask)
	select {
	case <-answer.done:
		return answer.term, answer.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (l *leaseReadBatcher) enqueue(ask func(context.Context) (uint64, error)) *leaseResult {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.next == nil {
		l.next = &leaseResult{done: make(chan struct{})}
	}
	answer := l.next
	if !l.running {
		l.running = true
		go l.runReads(ask)
	}
	return answer
}

// leaseReadTimeout bounds a lease read, since a Raft replica whose disk hangs does not answer.
const leaseReadTimeout = time.Second

// runReads runs one read after the other until no caller waits.
func (l *leaseReadBatcher) runReads(ask func(context.Context) (uint64, error)) {
	for {
		answer := l.nextRead()
		if answer == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), leaseReadTimeout)
		answer.term, answer.err = ask(ctx)
		cancel()
		close(answer.done)
	}
}

func (l *leaseReadBatcher) nextRead() *leaseResult {
	l.lock.Lock()
	defer l.lock.Unlock()
	answer := l.next
	l.next = nil
	if answer == nil {
		l.running = false
	}
	return answer
}
