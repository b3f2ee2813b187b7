package control

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"

	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
)

// status responds with the status of the group, its engines and its daemons.
func (s *operatorServer) status(w http.ResponseWriter, r *http.Request, _ []byte) {
	s.withLease(w, r, func(current *group, term uint64) {
		raftStatus := current.replica.Status()
		currentView := current.machine.view()
		tolerance := s.member.faultTolerance(raftStatus)
		daemons := s.member.feed.Daemons(currentView.Version.Revision)
		writeJSON(w, http.StatusOK, operatorapi.Status{
			Leader:        s.member.config.Name,
			Term:          term,
			Revision:      currentView.Version.Revision,
			Commit:        raftStatus.Commit,
			Members:       memberList(current, raftStatus),
			FurtherLosses: tolerance.furtherLosses,
			Repairing:     tolerance.repairing,
			Engines:       s.engineSummaries(currentView),
			Daemons:       daemons.Leased,
			DaemonsBehind: daemons.Behind,
		})
	})
}

// faultTolerance returns the group's fault tolerance as known to this member as leader. Without a
// term it uses the current commit index instead of that of the previous round.
func (m *member) faultTolerance(status raft.Status) faultTolerance {
	commit := status.Commit
	if term := m.tasks.current(); term != nil {
		commit = term.lastCommit()
	}
	return m.group.Load().faultTolerance(status, commit)
}

// memberList returns the members of the configuration as seen by the leader.
func memberList(current *group, status raft.Status) []operatorapi.Member {
	members := make([]operatorapi.Member, 0, len(status.Configuration.Voters)+len(status.Configuration.Learners))
	for _, id := range allMembers(status.Configuration) {
		recorded := current.memberByID(id)
		match := status.Match[id]
		if id == status.ID {
			match = status.LastIndex
		}
		members = append(members, operatorapi.Member{
			ID:              uint64(id),
			Name:            recorded.Name,
			Role:            roleOf(id, status),
			PeerAddress:     recorded.PeerAddress,
			FeedAddress:     recorded.FeedAddress,
			OperatorAddress: recorded.OperatorAddress,
			Match:           match,
			Lag:             status.Commit - min(status.Commit, match),
			Active:          id == status.ID || status.RecentlyActive[id],
		})
	}
	slices.SortFunc(members, func(a, b operatorapi.Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.ID, b.ID))
	})
	return members
}

func roleOf(id raft.MemberID, status raft.Status) operatorapi.MemberRole {
	switch {
	case id == status.Leader:
		return operatorapi.MemberLeader
	case slices.Contains(status.Configuration.Learners, id):
		return operatorapi.MemberLearner
	default:
		return operatorapi.MemberFollower
	}
}

func (s *operatorServer) engineSummaries(currentView *view.View) []operatorapi.EngineSummary {
	intents := s.member.tasks.intentsByEngine(currentView)
	silent := s.silentEngines(currentView)
	summaries := make([]operatorapi.EngineSummary, 0, len(currentView.Engines))
	for _, name := range slices.Sorted(maps.Keys(currentView.Engines)) {
		engine := currentView.Engines[name]
		summary := operatorapi.EngineSummary{
			Name:       name,
			Intent:     intents[name],
			Phase:      engine.Status.Phase,
			Assignment: engine.Status.Assignment,
			Silent:     silent[name],
			Drain:      engine.Spec.Drain,
		}
		if order := engine.Status.OpenOrder; order != nil {
			summary.Target = &order.Assignment
			summary.Reason = order.Reason
		}
		summaries = append(summaries, summary)
	}
	return summaries
}

// silentEngines returns the engines that the leader has not heard from recently.
func (s *operatorServer) silentEngines(currentView *view.View) map[string]bool {
	silent := make(map[string]bool, len(currentView.Engines))
	for name := range currentView.Engines {
		silent[name] = true
	}
	term := s.member.tasks.current()
	if term == nil {
		return silent
	}
	oldest := monotonic() - s.member.config.Durations.engineSilenceFor(len(currentView.Engines))
	for name, observation := range term.poller.Observations() {
		silent[name] = observation.RequestedAt < oldest || observation.State.Engine != name
	}
	return silent
}

// orders responds with the open orders, sorted by engine.
func (s *operatorServer) orders(w http.ResponseWriter, r *http.Request, _ []byte) {
	s.withLease(w, r, func(current *group, _ uint64) {
		currentView := current.machine.view()
		silent := s.silentEngines(currentView)
		list := operatorapi.OrderList{Revision: currentView.Version.Revision, Orders: []operatorapi.OpenOrder{}}
		for _, name := range slices.Sorted(maps.Keys(currentView.Engines)) {
			status := currentView.Engines[name].Status
			if status.OpenOrder == nil {
				continue
			}
			list.Orders = append(list.Orders, operatorapi.OpenOrder{
				Order:     *status.OpenOrder,
				Phase:     status.Phase,
				Confirmed: status.Fence,
				Silent:    silent[name],
			})
		}
		writeJSON(w, http.StatusOK, list)
	})
}

// ledger responds with the at-most-once claim of a request key of a tenant, or with no claim if
// none is recorded.
func (s *operatorServer) ledger(w http.ResponseWriter, r *http.Request, _ []byte) {
	tenant, key := r.URL.Query().Get("tenant"), r.URL.Query().Get("key")
	if key == "" {
		writeInvalidRequest(w, api.FieldFault{Field: "key", Message: "is required"})
		return
	}
	s.withLease(w, r, func(current *group, _ uint64) {
		list := operatorapi.Ledger{Revision: current.Version().Revision, Claims: []api.Claim{}}
		current.machine.read(func(machine *state.Machine) {
			if claim, found := machine.Claim(tenant, key); found {
				list.Claims = append(list.Claims, claim)
			}
		})
		writeJSON(w, http.StatusOK, list)
	})
}

// memberStatus responds with the status of this member, whether or not it leads.
func (s *operatorServer) memberStatus(w http.ResponseWriter, _ *http.Request) {
	current := s.member.group.Load()
	if current == nil {
		writeNoQuorum(w, "the member has not found its group yet", "")
		return
	}
	status := current.replica.Status()
	writeJSON(w, http.StatusOK, operatorapi.MemberStatus{
		ID:       uint64(s.member.id),
		Name:     s.member.config.Name,
		Role:     roleOf(s.member.id, status),
		Term:     status.Term,
		Leader:   uint64(status.Leader),
		Applied:  status.Applied,
		Commit:   status.Commit,
		Voters:   apiMemberIDs(status.Configuration.Voters),
		Learners: apiMemberIDs(status.Configuration.Learners),
	})
}

func apiMemberIDs(members []raft.MemberID) []operatorapi.MemberID {
	ids := make([]operatorapi.MemberID, len(members))
	for i := range members {
		ids[i] = operatorapi.MemberID(members[i])
	}
	return ids
}

// maxMemberStatusBytes bounds the response in fetchMemberStatus.
const maxMemberStatusBytes = 1 << 20

// fetchMemberStatus reads the status that another member reports of itself.
func fetchMemberStatus(ctx context.Context, operatorAddress string) (operatorapi.MemberStatus, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operatorAddress+operatorapi.PathMemberStatus, nil)
	if err != nil {
		return operatorapi.MemberStatus{}, errors.Wrap(err, "control: fetch member status")
	}
	client := newMemberClient()
	response, err := client.Do(request)
	if err != nil {
		return operatorapi.MemberStatus{}, errors.Wrap(err, "control: fetch member status")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return operatorapi.MemberStatus{}, errors.Errorf("control: fetch member status: unexpected status %d", response.StatusCode)
	}
	var self operatorapi.MemberStatus
	err = json.NewDecoder(io.LimitReader(response.Body, maxMemberStatusBytes)).Decode(&self)
	return self, errors.Wrap(err, "control: fetch member status")
}
