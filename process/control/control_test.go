package control

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/process/replica"
	"github.com/landingtrail/landingtrail/process/wal"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

func TestGroupAcceptsTransaction(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.start(0, 1, 2)
	c.leader()
	result := c.transact(api.Transaction{OperationID: "first", Writes: narratorObjects()})
	must.Eq(t, api.OutcomeAccepted, result.Code)
	var list operatorapi.ObjectList
	for i := range c.configs {
		must.Eq(t, http.StatusOK, c.call(i, http.MethodGet, operatorapi.PathObjects+"/Intent/narrate", nil, &list))
		must.Eq(t, result.Revision, list.Objects[0].Intent.Revision)
	}
	_, holder := c.subscribe("proxy-a")
	eventually(t, "the daemon receives the view", func() bool { return holder.Load().Intents["narrate"] != nil })
	c.awaitInForce(result.Revision)
	must.Eq(t, result.Revision, holder.Load().Version.Revision)
}

func (c *cluster) awaitInForce(revision uint64) {
	c.t.Helper()
	path := fmt.Sprintf("%s?revision=%d", operatorapi.PathInForce, revision)
	eventually(c.t, "the revision is in force", func() bool {
		for i := range c.running {
			var inForce operatorapi.InForce
			if c.call(i, http.MethodGet, path, nil, &inForce) == http.StatusOK {
				return inForce.Done
			}
		}
		return false
	})
}

func TestRetryAfterLeaderCrashReturnsOriginalResult(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.start(0, 1, 2)
	transaction := api.Transaction{OperationID: "first", Writes: narratorObjects()}
	sent := make(chan struct{})
	leader := c.leader()
	go func() {
		defer close(sent)
		c.call(leader, http.MethodPost, operatorapi.PathTransactions, transaction, nil)
	}()
	c.crash(leader)
	<-sent
	first := c.transact(transaction)
	must.Eq(t, api.OutcomeAccepted, first.Code)
	c.start(leader)
	c.crash(c.leader())
	again := c.transact(transaction)
	must.Eq(t, first, again)
	other := transaction
	other.AllowBroad = true
	must.Eq(t, api.OutcomeOperationConflict, c.transact(other).Code)
}

func TestRacingOperatorsWithOneRevision(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.start(0, 1, 2)
	c.awaitLeaderKnown()
	const rounds = 5
	revision := uint64(0)
	for round := range rounds {
		results := make([]api.TransactionResult, len(c.configs))
		var racing sync.WaitGroup
		for i := range results {
			racing.Go(func() {
				object := &api.Tenant{Metadata: api.Metadata{Name: "water", Revision: revision}, Spec: api.TenantSpec{Weight: float64(i + 1)}}
				transaction := api.Transaction{
					OperationID: fmt.Sprintf("%d-%d", round, i),
					Writes:      []api.Write{{Object: api.Object{Tenant: object}}},
				}
				results[i] = c.transactUntilKnown(i, transaction)
			})
		}
		racing.Wait()
		counts := map[api.OutcomeCode]int{}
		winner := 0
		for i, result := range results {
			counts[result.Code]++
			if result.Code == api.OutcomeAccepted {
				winner = i
			}
		}
		must.Eq(t, map[api.OutcomeCode]int{api.OutcomeAccepted: 1, api.OutcomeRevisionConflict: 2}, counts)
		revision = results[winner].Revision
		for i, result := range results {
			if i == winner {
				continue
			}
			must.Len(t, 1, result.Conflicts)
			current := result.Conflicts[0].Current.Tenant
			must.Eq(t, revision, current.Revision)
			must.Eq(t, float64(winner+1), current.Spec.Weight)
		}
	}
}

// transactUntilKnown sends the transaction to the member and, as operators do, repeats it while the
// outcome is unknown: the leader may change between proposal and commit.
func (c *cluster) transactUntilKnown(i int, transaction api.Transaction) api.TransactionResult {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		var result api.TransactionResult
		status := c.call(i, http.MethodPost, operatorapi.PathTransactions, transaction, &result)
		if status != 0 && status < http.StatusInternalServerError {
			return result
		}
	}
	return api.TransactionResult{}
}

func TestClaimIsGrantedOnceThroughTwoFeeds(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.start(0, 1, 2)
	c.leader()
	first, _ := c.subscribe("proxy-a")
	second, _ := c.subscribe("proxy-b")
	eventually(t, "both daemons are connected", func() bool { return first.Connected() && second.Connected() })
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	request := state.ClaimRequest{Tenant: "water", Key: "crew-7", BodyHash: 9, Attempt: 1, Proxy: "proxy-a", Nonce: 1}
	other := request
	other.Proxy, other.Nonce = "proxy-b", 2
	var results [2]api.ClaimResult
	var errs [2]error
	var racing sync.WaitGroup
	racing.Go(func() { results[0], errs[0] = claimUntilKnown(ctx, first, request) })
	racing.Go(func() { results[1], errs[1] = claimUntilKnown(ctx, second, other) })
	racing.Wait()
	must.NoError(t, errors.Wrap(errs[0], "first"))
	must.NoError(t, errors.Wrap(errs[1], "second"))
	granted := map[api.ClaimCode]int{results[0].Code: 1}
	granted[results[1].Code]++
	must.Eq(t, map[api.ClaimCode]int{api.ClaimGranted: 1, api.ClaimRunning: 1}, granted)
	claim := results[0].Claim
	claim.Answer = nil // the feed encodes a missing answer as an empty one
	again, err := claimUntilKnown(ctx, first, request)
	must.NoError(t, err)
	must.Eq(t, results[0], again, must.Sprint("a repeated request gets the same result"))
	var ledger operatorapi.Ledger
	for i := range c.configs {
		must.Eq(t, http.StatusOK, c.call(i, http.MethodGet, operatorapi.PathLedger+"?tenant=water&key=crew-7", nil, &ledger))
		must.Len(t, 1, ledger.Claims)
		must.Eq(t, claim, ledger.Claims[0])
		must.Eq(t, http.StatusOK, c.call(i, http.MethodGet, operatorapi.PathLedger+"?tenant=fire&key=crew-7", nil, &ledger))
		must.SliceEmpty(t, ledger.Claims)
	}

	c.crash(c.leader())
	eventually(t, "the client is connected to the new leader", func() bool { return second.Connected() })
	conflicting := other
	conflicting.BodyHash, conflicting.Nonce = 10, 3
	eventually(t, "the new leader replies", func() bool {
		result, err := second.Claim(ctx, conflicting)
		return err == nil && result.Code == api.ClaimConflict
	})
}

// claimUntilKnown repeats the same claim while its outcome is unknown or there is no quorum, as a
// proxy may: the leader can change at any moment.
func claimUntilKnown(ctx context.Context, client *feed.Client, request state.ClaimRequest) (api.ClaimResult, error) {
	for {
		result, err := client.Claim(ctx, request)
		unsettled := errors.Is(err, feed.ErrOutcomeUnknown) || errors.Is(err, feed.ErrNoQuorum)
		if !unsettled || ctx.Err() != nil {
			return result, err
		}
	}
}

func TestMemberWithLostDiskRejoinsAsNewMember(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.start(0, 1, 2)
	c.transact(api.Transaction{OperationID: "first", Writes: narratorObjects()})
	c.awaitFurtherLosses(1)
	lost := (c.leader() + 1) % 3
	old := c.running[lost].member.id
	c.crash(lost)
	c.awaitFurtherLosses(0)
	c.loseDisk(lost)
	c.start(lost)
	status := c.awaitFurtherLosses(1)
	must.NotEq(t, old, c.running[lost].member.id)
	must.Len(t, 3, status.Members)
	for _, member := range status.Members {
		must.NotEq(t, uint64(old), member.ID)
	}
	// A second machine fails right after the repair.
	c.crash((lost + 1) % 3)
	must.Eq(t, api.OutcomeAccepted, c.transact(api.Transaction{
		OperationID: "second",
		Writes:      []api.Write{{Object: api.Object{Tenant: &api.Tenant{Metadata: api.Metadata{Name: "water"}}}}},
	}).Code)
}

// awaitFurtherLosses waits until the status reports that the group tolerates the given number of
// further losses, and returns that status.
func (c *cluster) awaitFurtherLosses(count int) (status operatorapi.Status) {
	c.t.Helper()
	eventually(c.t, fmt.Sprintf("the group tolerates %d further losses", count), func() bool {
		var ok bool
		status, ok = c.status()
		return ok && status.FurtherLosses == count && (count == 0 || len(status.Repairing) == 0 && c.listsRunningMembers(status))
	})
	return status
}

// listsRunningMembers reports whether the members in the status are exactly the running ones.
func (c *cluster) listsRunningMembers(status operatorapi.Status) bool {
	ids := map[uint64]bool{}
	for _, member := range status.Members {
		ids[member.ID] = true
	}
	for _, running := range c.running {
		if !ids[uint64(running.member.id)] {
			return false
		}
	}
	return len(ids) == len(c.running)
}

func TestPlannedStopMovesSubscribersWithoutFailedWrites(t *testing.T) {
	c := newCluster(t, 3, withLongElectionTimeout)
	c.start(0, 1, 2)
	leader := c.leader()
	client, holder := c.subscribe("proxy-a")
	eventually(t, "the client is connected", client.Connected)
	var writing sync.WaitGroup
	stopped := make(chan struct{})
	for writer := range 4 {
		writing.Go(func() { c.writeUntil(stopped, writer) })
	}
	stopping := c.running[leader].member
	must.NoError(t, c.stop(leader))
	close(stopped)
	writing.Wait()
	must.Zero(t, unknownProposals(t, stopping))
	result := c.transact(api.Transaction{OperationID: "after", Writes: narratorObjects()})
	eventually(t, "the view has the change", func() bool { return holder.Load().Version.Revision >= result.Revision })
	eventually(t, "the lease is valid", func() bool { return client.Connected() })
}

// unknownProposals returns the number of the member's proposals whose outcome remained unknown.
func unknownProposals(t *testing.T, m *member) float64 {
	m.metrics.proposalError.WithLabelValues("unknown")
	families, err := m.metrics.registry.Gather()
	must.NoError(t, err)
	for _, family := range families {
		if family.GetName() != metricsNamespace+"_proposals_failed_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			if metric.GetLabel()[0].GetValue() == "unknown" {
				return metric.GetCounter().GetValue()
			}
		}
	}
	t.Fatal("the metric of failed proposals is missing")
	return 0
}

// writeUntil writes through an operator client until stopped is closed, and once more after that.
func (c *cluster) writeUntil(stopped <-chan struct{}, writer int) {
	client := c.operatorClient()
	for count := 0; ; count++ {
		c.write(client, fmt.Sprintf("writer-%d-%d", writer, count))
		select {
		case <-stopped:
			return
		default:
		}
	}
}

func (c *cluster) operatorClient() *operator.Client {
	var members []string
	for _, config := range c.configs {
		members = append(members, config.OperatorAddress)
	}
	client, err := operator.New(operator.Config{Members: members})
	must.NoError(c.t, err)
	return client
}

// write adds a tenant and fails the test unless it is accepted.
func (c *cluster) write(client *operator.Client, tenant string) {
	result, err := client.Transact(context.Background(), api.Transaction{OperationID: tenant, Writes: tenantWrites(tenant)})
	if err != nil || result.Code != api.OutcomeAccepted {
		c.t.Errorf("write %s: %v %v", tenant, result.Code, err)
	}
}

// awaitLeaderKnown waits until every running member serves or forwards requests.
func (c *cluster) awaitLeaderKnown() {
	c.t.Helper()
	eventually(c.t, "all members know the leader", func() bool {
		for i := range c.running {
			if c.call(i, http.MethodGet, operatorapi.PathStatus, nil, nil) != http.StatusOK {
				return false
			}
		}
		return true
	})
}

func TestGroupRestartRecoveryIsBounded(t *testing.T) {
	const snapshotEntries, writers, writes = 50, 8, 40
	c := newCluster(t, 3, func(config *Config) { config.Limits.SnapshotEntries = snapshotEntries })
	c.start(0, 1, 2)
	first := api.Transaction{OperationID: "first", Writes: narratorObjects()}
	answer := c.transact(first)
	var writing sync.WaitGroup
	for writer := range writers {
		writing.Go(func() {
			client := c.operatorClient()
			for i := range writes {
				c.write(client, fmt.Sprintf("tenant-%d-%d", writer, i))
			}
		})
	}
	writing.Wait()
	for i := range c.configs {
		c.crash(i)
	}
	c.start(0, 1, 2)
	for i := range c.configs {
		// The log tail holds the entries applied between two snapshots and those applied while
		// snapshots are written, for which the bound leaves three times as much room. It does not
		// grow with the total number of changes.
		must.Less(t, 4*snapshotEntries, c.running[i].member.disk.Recovery().Entries)
	}
	must.Eq(t, answer, c.transact(first))
	other := first
	other.AllowBroad = true
	must.Eq(t, api.OutcomeOperationConflict, c.transact(other).Code)
	var list operatorapi.ObjectList
	must.Eq(t, http.StatusOK, c.call(c.leader(), http.MethodGet, operatorapi.PathObjects+"/Tenant", nil, &list))
	must.Len(t, writers*writes, list.Objects)
}

func TestNoQuorumIsReportedImmediately(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.start(0, 1, 2)
	client, _ := c.subscribe("proxy-a")
	eventually(t, "the client is connected", client.Connected)
	leader := c.leader()
	c.crash((leader + 1) % 3)
	c.crash((leader + 2) % 3)
	var answer operatorapi.Error
	eventually(t, "the status request is refused", func() bool {
		return c.call(leader, http.MethodGet, operatorapi.PathStatus, nil, &answer) == http.StatusServiceUnavailable
	})
	begun := c.running[leader].member.group.Load()
	_, err := begun.Claim(context.Background(), state.ClaimRequest{Tenant: "water", Key: "crew-8", Nonce: 5, Proxy: "proxy-a"})
	must.ErrorIs(t, err, feed.ErrNoQuorum)
	status := c.call(leader, http.MethodPost, operatorapi.PathTransactions, api.Transaction{OperationID: "late"}, &answer)
	must.Eq(t, http.StatusServiceUnavailable, status)
	eventually(t, "a claim is refused for lack of a quorum", func() bool {
		_, err := client.Claim(context.Background(), state.ClaimRequest{Tenant: "water", Key: "crew-9", Nonce: 6, Proxy: "proxy-a"})
		return errors.Is(err, feed.ErrNoQuorum)
	})
}

func TestRemovedMemberStopsAndRejoins(t *testing.T) {
	c := newCluster(t, 3, func(config *Config) { config.Join = config.Name == "control-2" })
	joinConfig := c.configs[2]
	c.configs[2].Join = false
	c.start(0, 1, 2)
	c.awaitFurtherLosses(1)
	if c.leader() == 2 {
		must.NoError(t, c.running[2].member.replica.TransferLeadership(context.Background(), c.running[0].member.id))
	}
	old := c.running[2].member.id
	c.crash(2)
	eventually(t, "the member is removed", func() bool {
		request := operatorapi.MemberRequest{Action: operatorapi.MemberRemove, ID: operatorapi.MemberID(old)}
		return c.call(0, http.MethodPost, operatorapi.PathMembers, request, nil) == http.StatusOK
	})
	c.configs[2] = joinConfig
	c.start(2)
	removed := c.running[2]
	delete(c.running, 2)
	must.ErrorIs(t, <-removed.done, ErrRemoved)
	c.start(2)
	c.awaitFurtherLosses(1)
	must.NotEq(t, old, c.running[2].member.id)
}

// An identity that was removed before it joined holds no data: its member must rejoin under a new
// identity without an operator and without a restart of the process.
func TestIdentityRemovedBeforeJoiningIsReplaced(t *testing.T) {
	c := newCluster(t, 3, func(config *Config) { config.Join = config.Name == "control-2" })
	joinConfig := c.configs[2]
	c.configs[2].Join = false
	c.start(0, 1, 2)
	c.awaitFurtherLosses(1)
	old := uint64(c.running[2].member.id)
	c.crash(2)
	must.NoError(t, replica.DiscardDisk(wal.OS{}, joinConfig.DataFolder))
	disk, err := replica.OpenDisk(replica.DiskOptions{Dir: joinConfig.DataFolder, Group: joinConfig.GroupID})
	must.NoError(t, err)
	unusedID := disk.Identity().Member
	must.NoError(t, disk.Close())
	lost := joinConfig.selfMember(unusedID)
	lost.Removed = true
	eventually(t, "the removal is recorded", func() bool {
		_, err := c.running[c.leader()].member.group.Load().propose(context.Background(), memberCommand(lost))
		return err == nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- RunWithRestart(ctx, joinConfig, nopLogger{}) }()
	eventually(t, "all members are voters, with a new identity", func() bool {
		status, ok := c.status()
		return ok && status.FurtherLosses == 1 && len(status.Repairing) == 0 && len(status.Members) == 3 &&
			!slices.ContainsFunc(status.Members, func(member operatorapi.Member) bool {
				return member.ID == uint64(unusedID) || member.ID == old
			})
	})
	cancel()
	must.NoError(t, <-ended)
}

// A member that is removed while it stops would only have rejoined, so the stop counts as planned.
func TestStopDuringRemovalIsPlanned(t *testing.T) {
	stopped, stop := context.WithCancel(context.Background())
	stop()
	const rejoins, leaves = true, false
	must.True(t, isFinal(stopped, rejoins, ErrRemoved))
	must.NoError(t, finalResult(stopped, rejoins, ErrRemoved))
	must.ErrorIs(t, finalResult(stopped, leaves, ErrRemoved), ErrRemoved)
	must.ErrorIs(t, finalResult(stopped, rejoins, ErrConfig), ErrConfig)
	must.False(t, isFinal(context.Background(), rejoins, ErrRemoved))
	must.True(t, isFinal(context.Background(), leaves, ErrRemoved))
}

func TestDamagedDataFolderIsDiscardedOnlyWithLeader(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.start(0, 1, 2)
	c.awaitFurtherLosses(1)
	lost := (c.leader() + 1) % 3
	old := c.running[lost].member.id
	c.crash(lost)
	segments, err := filepath.Glob(filepath.Join(c.configs[lost].DataFolder, "*.wal"))
	must.NoError(t, err)
	must.SliceNotEmpty(t, segments)
	for _, segment := range segments {
		must.NoError(t, os.Remove(segment))
	}
	logger := log.NewNopLogger()
	config := c.configs[lost].WithDefaults()
	_, err = open(context.Background(), config, logger)
	must.ErrorIs(t, err, wal.ErrLostLog)
	config.Join = true
	alone := config
	alone.Members = []Member{alone.Members[lost]}
	_, err = open(context.Background(), alone, logger)
	must.ErrorIs(t, err, wal.ErrLostLog)
	c.configs[lost].Join = true
	c.start(lost)
	c.awaitFurtherLosses(1)
	must.NotEq(t, old, c.running[lost].member.id)
}

func TestGroupClockIgnoresWallClock(t *testing.T) {
	m := newMachine()
	clock := &groupClock{}
	start := time.Now()
	first := clock.now(1, m, start)
	must.Eq(t, start.UnixMilli(), first)
	must.Eq(t, first+1000, clock.now(1, m, start.Add(time.Second)))
	tenant := &api.Transaction{OperationID: "a"}
	m.applyAndPublish(raft.Entry{Term: 1, Index: 1}, state.Command{Kind: state.CommandTransaction, Transaction: tenant, Time: first + 1000})
	jumped := start.Add(1000 * time.Hour)
	must.Eq(t, first+1000, clock.now(2, m, jumped))
	must.Eq(t, first+2000, clock.now(2, m, jumped.Add(time.Second)))
}
