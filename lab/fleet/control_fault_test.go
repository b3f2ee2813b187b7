package fleet

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/lab/engine/ledger"
	"github.com/landingtrail/landingtrail/lab/fleet/faults"
	"github.com/landingtrail/landingtrail/process/settings"
	"github.com/landingtrail/landingtrail/version/api"
)

func TestKilledLeader(t *testing.T) {
	s := startScenario(t, DrillNone, nil)
	before := s.status()
	killed := s.kill(prefixControl + s.leader())
	s.eventually("another leader", func() bool { return s.status().Term > before.Term })
	s.setVersion("4")
	s.waitVersion("4")
	s.restart(killed)
	s.waitWhole()
	s.finish()
}

func TestPausedLeaderWakesWithOrdersInBuffers(t *testing.T) {
	s := startScenario(t, DrillNone, nil)
	link := s.network.Link(prefixEngine + canary)
	link.Requests.Set(faults.WhenChunk([]byte("POST "+engineapi.PathOrders), faults.Hold))
	s.setVersion("4")
	s.eventually("an order on the way", func() bool { return link.Requests.Struck() > 0 })
	paused, term := s.leader(), s.status().Term
	s.signal(prefixControl+paused, syscall.SIGSTOP)
	link.Requests.Clear()
	s.eventually("another leader", func() bool { return s.status().Term > term })
	s.waitVersion("4")
	s.setVersion("5")
	s.waitVersion("5")
	orders := countOrders(s.entries(canary))
	link.Requests.Release()
	s.eventually("the old order at the engine", func() bool { return countOrders(s.entries(canary)) > orders })
	entries := s.entries(canary)
	must.True(s, isOldOrder(entries), must.Sprint("the late order has to be an old one"))
	s.signal(prefixControl+paused, syscall.SIGCONT)
	s.waitWhole()
	s.waitVersion("5")
	s.finish()
}

func countOrders(entries []ledger.Entry) int {
	count := 0
	for _, entry := range entries {
		if entry.Event == ledger.EventOrder {
			count++
		}
	}
	return count
}

// isOldOrder reports whether the last order came below the highest fence.
func isOldOrder(entries []ledger.Entry) bool {
	var highest, last api.Fence
	for _, entry := range entries {
		if entry.Event != ledger.EventOrder {
			continue
		}
		last = *entry.Fence
		if highest.Less(last) {
			highest = last
		}
	}
	return last.Less(highest)
}

func TestLeaderThatHearsNothing(t *testing.T) {
	s := startScenario(t, DrillNone, nil)
	deaf, term := s.leader(), s.status().Term
	gate := s.network.Link(linkPeer + deaf).Requests
	gate.Set(faults.Always(faults.Drop))
	s.eventually("another leader", func() bool {
		status := s.status()
		return status.Term > term && status.Leader != deaf
	})
	must.Positive(s, gate.Struck())
	s.setVersion("4")
	s.waitVersion("4")
	gate.Clear()
	s.waitWhole()
	s.finish()
}

func TestLeaderCutOffInSilence(t *testing.T) {
	s := startScenario(t, DrillNone, nil)
	s.cutOff(s.leader())()
	s.finish()
}

// cutOff drops all messages from and to the leading member until another one
// leads and a change is made; the result heals the cut.
func (s *scenario) cutOff(cut string) (heal func()) {
	s.Helper()
	term := s.status().Term
	gates := []*faults.Gate{s.network.Link(linkPeer + cut).Requests}
	rules := []faults.Rule{faults.Always(faults.Drop)}
	mark := s.memberMark(cut)
	for _, other := range s.otherMembers(cut) {
		gates = append(gates, s.network.Link(linkPeer+other).Requests)
		rules = append(rules, faults.WhenOpening(mark, faults.Drop))
	}
	for i, gate := range gates {
		gate.Set(rules[i])
	}
	s.eventually("another leader", func() bool {
		status := s.status()
		return status.Term > term && status.Leader != cut
	})
	for _, gate := range gates {
		s.eventually("a message lost on each link", func() bool { return gate.Struck() > 0 })
	}
	s.setVersion("4")
	s.waitVersion("4")
	return func() {
		for _, gate := range gates {
			gate.Clear()
		}
		s.waitWhole()
	}
}

func TestLostDiskAndSecondLossAfterRepair(t *testing.T) {
	s := startScenario(t, DrillNone, nil)
	for round, name := range s.otherMembers(s.leader()) {
		identity := s.memberMark(name)
		lost := s.kill(prefixControl + name)
		must.NoError(s, os.RemoveAll(filepath.Join(s.fleet.layout.folder, name)))
		s.eventually("the loss is seen", func() bool { return s.status().FurtherLosses == 0 })
		s.setVersion([]string{"4", "5"}[round])
		s.restart(lost)
		s.waitWhole()
		must.False(s, bytes.Equal(identity, s.memberMark(name)), must.Sprint("an empty disk is another identity"))
	}
	// Both disks are new by now; the third goes with the leader at once.
	term := s.status().Term
	leader := s.leader()
	lost := s.kill(prefixControl + leader)
	must.NoError(s, os.RemoveAll(filepath.Join(s.fleet.layout.folder, leader)))
	s.eventually("another leader", func() bool { return s.status().Term > term })
	s.waitVersion("5")
	s.restart(lost)
	s.waitWhole()
	s.finish()
}

func TestRestartOfAllMembersAfterHundredsOfChanges(t *testing.T) {
	s := startScenario(t, DrillNone, smallSnapshots)
	key := api.Key{Kind: api.KindTenant, Name: "pilots"}
	var first, last api.Transaction
	var firstResult api.TransactionResult
	for change := range 300 {
		object, err := s.client.Object(context.Background(), key)
		must.NoError(s, err)
		object.Tenant.Spec.Weight = float64(change + 1)
		last = api.Transaction{OperationID: operationID(change), Writes: []api.Write{{Object: *object}}}
		result, err := s.client.Transact(context.Background(), last)
		must.NoError(s, err)
		must.Eq(s, api.OutcomeAccepted, result.Code)
		if change == 0 {
			first, firstResult = last, result
		}
	}
	before := s.status()
	var killed []*process
	for _, member := range s.fleet.layout.members {
		killed = append(killed, s.kill(prefixControl+member.name))
		snapshots, err := filepath.Glob(filepath.Join(s.fleet.layout.folder, member.name, "*"))
		must.NoError(s, err)
		must.SliceNotEmpty(s, snapshots)
	}
	for _, child := range killed {
		s.restart(child)
	}
	s.waitWhole()
	after := s.status()
	must.Greater(s, before.Term, after.Term)
	must.GreaterEq(s, before.Revision, after.Revision)
	object, err := s.client.Object(context.Background(), key)
	must.NoError(s, err)
	must.Eq(s, 300.0, object.Tenant.Spec.Weight)
	again, err := s.client.Transact(context.Background(), first)
	must.NoError(s, err)
	must.Eq(s, firstResult, again, must.Sprint("a resend gets the first answer"))
	other := last
	other.OperationID = first.OperationID
	conflict, err := s.client.Transact(context.Background(), other)
	must.NoError(s, err)
	must.Eq(s, api.OutcomeOperationConflict, conflict.Code)
	s.finish()
}

func operationID(change int) string { return "change-" + strconv.Itoa(change) }

// smallSnapshots has the members compact their logs every few entries.
func smallSnapshots(file *settings.File) {
	if file.Control != nil {
		file.Control.SnapshotEntries = 32
	}
}
