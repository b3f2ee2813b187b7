package control

import (
	"context"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/planner"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// ratesView is a view with two decode replicas of one model service.
func ratesView() *view.History {
	history := modelView(1, "r-1")
	history.View.Replicas["r-2"] = &api.Replica{Spec: api.ReplicaSpec{Service: "chat", Slots: 4, Role: api.RoleDecode}}
	history.View.Replicas["r-2"].Name = "r-2"
	return history
}

func newRatesGroup() *group {
	g := &group{boards: newPlacementBoards(), rates: ratelimit.NewLimiter(ratelimit.DefaultRule, 0)}
	g.boards.update(ratesView())
	return g
}

func (g *group) limit(replica string, perSecond float64) {
	report := ratelimit.Report{Statement: ratelimit.Statement{Kind: ratelimit.Limited, PerSecond: perSecond}}
	g.rates.Record(0, ratelimit.Request{Service: "chat", Replica: replica, Report: report})
}

// Guards against placements on replicas whose limit leaves no room, and against requests that wait for
// one or are sent to none although a time is known at which there is room.
func TestPlacementPassesOverUsedUpLimits(t *testing.T) {
	g := newRatesGroup()
	g.limit("r-1", 2)
	request := feed.PlaceRequest{Service: "chat", Ask: placement.Request{PromptTokens: 10, Deadline: time.Second, Excluded: []string{"x"}}}
	_, refused := g.excludeExhausted(&request, 0)
	must.False(t, refused)
	must.Eq(t, []string{"x", "r-1"}, request.Ask.Excluded)

	g.limit("r-2", 4)
	request.Ask.Excluded = nil
	answer, refused := g.excludeExhausted(&request, 0)
	must.True(t, refused)
	must.True(t, answer.Refused)
	must.Between(t, 250*time.Millisecond, answer.RetryAfter, 300*time.Millisecond)
	next, _ := g.excludeExhausted(&feed.PlaceRequest{Service: "chat"}, 0)
	must.Greater(t, answer.RetryAfter, next.RetryAfter, must.Sprint("callers return one after the other"))

	request.Ask.Excluded = nil
	_, refused = g.excludeExhausted(&request, 300*time.Millisecond)
	must.False(t, refused, must.Sprint("the second one has room"))
	must.Eq(t, []string{"r-1"}, request.Ask.Excluded)
}

// Guards against callers that wait although every limit is used up and it is known when one will have room.
func TestPlacementIsRefusedAtOnceWhileAllLimitsAreUsedUp(t *testing.T) {
	g := newRatesGroup()
	g.machine, g.metrics = newMachine(), newMetrics()
	g.machine.history.Store(ratesView())
	g.evidence = &evidence{tracker: newQuarantineTracker()}
	g.streams, g.restarts = newStreamArchive(Config{}, nopLogger{}), newRestartDoubts()
	request := feed.PlaceRequest{Service: "chat", Number: 1, Ask: placement.Request{PromptTokens: 10, Deadline: time.Minute}}
	for _, replica := range []string{"r-1", "r-2"} {
		report := ratelimit.Report{Statement: ratelimit.Statement{Kind: ratelimit.Limited, PerSecond: 1}}
		g.rates.Record(monotonic(), ratelimit.Request{Service: "chat", Replica: replica, Report: report})
	}
	answer, known := g.Place("proxy-1", request)
	must.True(t, known)
	must.True(t, answer.Refused)
	must.Positive(t, answer.RetryAfter)
}

// A leader's own calls reach no replica that has a limit: its requests are to use it.
func TestLeaderCallsPassOverLimitedReplicas(t *testing.T) {
	roles := &fakeRoles{state: RoleState{Role: api.RoleDecode}}
	d, term := newRoleTasks(roles, func() (uint64, bool) { return 7, true })
	d.group.limit("r-1", 2)
	d.changeRole(t.Context(), term, "chat", modelView(1, "r-1").View.Replicas["r-1"], api.RolePrefill)
	must.SliceEmpty(t, roles.orders())
	changes := []planner.RoleChange{{Replica: "r-1"}, {Replica: "r-2"}}
	must.Eq(t, []planner.RoleChange{{Replica: "r-2"}}, d.withoutLimited(changes))
	source := &countingCache{}
	d.group.config.PromptCache = source
	d.queryReplica(t.Context(), modelView(1, "r-1").View.Replicas["r-1"])
	must.Eq(t, 0, source.calls)
}

// countingCache counts the queries of cached parts.
type countingCache struct{ calls int }

func (c *countingCache) CachedParts(context.Context, *api.Replica) ([]placement.Part, error) {
	c.calls++
	return nil, nil
}
