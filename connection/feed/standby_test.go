package feed

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// placingGroup is a member that answers placements with its own name as the replica.
type placingGroup struct {
	*fakeGroup
	name        string
	reports     atomic.Int64
	cachedParts atomic.Int64
	inFlight    atomic.Int64
}

func newPlacingGroup(name string, leads bool) *placingGroup {
	g := &placingGroup{fakeGroup: newFakeGroup(), name: name}
	g.setLeadership(leads, leads, 1, "")
	return g
}

func (g *placingGroup) Place(string, PlaceRequest) (placement.Answer, bool) {
	return placement.Answer{Generator: g.name}, true
}

func (g *placingGroup) RecordProgress(string, PlacementProgress) { g.reports.Add(1) }

func (g *placingGroup) RecordCachedParts(CachedParts) { g.cachedParts.Add(1) }

func (g *placingGroup) RecordInFlight(string, InFlight) { g.inFlight.Add(1) }

func startStandbyClient(t *testing.T, views Views, addresses ...string) (*Client, *atomic.Int64) {
	served := &atomic.Int64{}
	client, err := Dial(ClientConfig{
		Daemon:            "proxy-a",
		Addresses:         addresses,
		HeartbeatInterval: 20 * time.Millisecond,
		SilenceTimeout:    time.Second,
		BackoffMin:        time.Millisecond,
		BackoffMax:        20 * time.Millisecond,
		Standby:           true,
		OnServed:          func() { served.Add(1) },
	}, views)
	must.NoError(t, err)
	t.Cleanup(client.Close)
	return client, served
}

// placedBy returns the member that answers placements, empty if none does.
func placedBy(client *Client) string {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	answer, err := client.Place(ctx, PlaceRequest{Service: "chat", Number: 1})
	if err != nil {
		return ""
	}
	return answer.Generator
}

// While there is no leader, the previous leader continues to serve placements and nothing else.
// The next leader takes over.
func TestStandbyMemberServesPlacementsOnly(t *testing.T) {
	first, second := newPlacingGroup("first", true), newPlacingGroup("second", false)
	firstServer, firstAddress := startServer(t, first)
	_, secondAddress := startServer(t, second)
	first.put("water")
	second.put("water")
	holder := view.NewHolder()
	client, served := startStandbyClient(t, holder, firstAddress, secondAddress)
	eventually(t, "placement by the leader", func() bool { return placedBy(client) == "first" })
	eventually(t, "the view", func() bool { return holder.Load().Version.Revision == 1 })

	first.setLeadership(false, false, 1, "")
	firstServer.Wake()
	eventually(t, "the loss of the leader", func() bool { return !client.Connected() })
	eventually(t, "placement by the previous leader on standby", func() bool { return client.standby.Load() != nil && placedBy(client) == "first" })
	must.False(t, client.Connected())
	must.True(t, client.RecordProgress(PlacementProgress{Service: "chat", Number: 1}))
	must.True(t, client.ReportCachedParts(CachedParts{Service: "chat", Replica: "r"}))
	must.True(t, client.ReportInFlight(InFlight{Service: "chat"}))
	eventually(t, "the notes", func() bool {
		return first.reports.Load() == 1 && first.cachedParts.Load() == 1 && first.inFlight.Load() == 1
	})
	must.Eq(t, 2, served.Load(), must.Sprint("Served is called for each member that serves placements"))
	first.put("later")
	firstServer.Wake()
	_, err := client.Claim(t.Context(), state.ClaimRequest{Tenant: "water", Key: "k", Nonce: 1})
	must.ErrorIs(t, err, ErrNoQuorum)
	must.Eq(t, 1, holder.Load().Version.Revision, must.Sprint("a member that does not lead sends no view"))

	second.setLeadership(true, true, 2, "")
	eventually(t, "placement by the next leader", func() bool { return client.Connected() && placedBy(client) == "second" })
	must.Nil(t, client.standby.Load())
	eventually(t, "the end of the standby session", func() bool { return firstServer.Subscribers() == 0 })
}

// A member without a view, for example after a restart with an empty disk, refuses standby, and
// placements go to the next member.
func TestMemberWithoutAViewRefusesStandby(t *testing.T) {
	empty, filled := newPlacingGroup("empty", true), newPlacingGroup("filled", false)
	emptyServer, emptyAddress := startServer(t, empty)
	_, filledAddress := startServer(t, filled)
	filled.put("water")
	client, _ := startStandbyClient(t, view.NewHolder(), emptyAddress, filledAddress)
	eventually(t, "a leader", client.Connected)
	empty.setLeadership(false, false, 1, "")
	emptyServer.Wake()
	eventually(t, "placement by the other member", func() bool { return placedBy(client) == "filled" })
}

// If the first member is unreachable, the next one serves standby.
func TestNextMemberServesStandbyWhenOneIsUnreachable(t *testing.T) {
	first, second := newPlacingGroup("first", true), newPlacingGroup("second", false)
	firstServer, firstAddress := startServer(t, first)
	_, secondAddress := startServer(t, second)
	first.put("water")
	second.put("water")
	client, _ := startStandbyClient(t, view.NewHolder(), firstAddress, secondAddress)
	eventually(t, "a leader", client.Connected)
	firstServer.Close()
	eventually(t, "placement by the other member", func() bool { return placedBy(client) == "second" })
}
