package control

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/apikey"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// fakeFleet is a list of replicas that tests can replace.
type fakeFleet struct {
	lock     sync.Mutex
	replicas []api.Replica
	err      error
	kept     map[string][]placement.Part // by replica name
	asked    []string
}

func (f *fakeFleet) Replicas(context.Context) (FleetList, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	return FleetList{Replicas: slices.Clone(f.replicas)}, f.err
}

func (f *fakeFleet) set(replicas ...api.Replica) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.replicas = replicas
}

func (f *fakeFleet) CachedParts(_ context.Context, replica *api.Replica) ([]placement.Part, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.asked = append(f.asked, replica.Name)
	return f.kept[replica.Name], nil
}

func replicaOf(name string, leaving bool) api.Replica {
	return api.Replica{
		Metadata: api.Metadata{Name: name},
		Spec:     api.ReplicaSpec{Service: "tiles", Address: "10.0.0.1:80", Zone: "a", Leaving: leaving},
	}
}

// growingGroup is a group that one member bootstraps and the others join. Each member's
// configuration names only the first few members and itself.
type growingGroup struct {
	*cluster
	fleet *fakeFleet

	lock   sync.Mutex
	access map[string]*Access
}

func newGrowingGroup(t *testing.T, size, seeds, losses int) *growingGroup {
	g := &growingGroup{fleet: &fakeFleet{}, access: map[string]*Access{}}
	g.cluster = newCluster(t, size, func(config *Config) {
		config.Join = true
		config.ToleratedLosses = losses
		config.Fleet, config.PromptCache = g.fleet, g.fleet
		config.Durations.ProxySilence = 300 * time.Millisecond
		config.Durations.MemberSilence = 600 * time.Millisecond
		name := config.Name
		config.Extensions = []Extension{func(ctx context.Context, access *Access) {
			g.lock.Lock()
			g.access[name] = access
			g.lock.Unlock()
			<-ctx.Done()
		}}
	})
	for i := range g.configs {
		g.configs[i].Bootstrap = i == 0
		known := slices.Clone(g.configs[i].Members[:seeds])
		if i >= seeds {
			known = append(known, g.configs[i].Members[i])
		}
		g.configs[i].Members = known
	}
	return g
}

// voters returns the number of voters in the member's committed configuration, or 0 if it has none.
func (g *growingGroup) voters(i int) int {
	current := g.running[i].member.group.Load()
	if current == nil {
		return 0
	}
	status := current.replica.Status()
	if status.ConfigurationPending {
		return 0
	}
	return len(status.Configuration.Voters)
}

func (g *growingGroup) accessOf(i int) *Access {
	g.t.Helper()
	var found *Access
	eventually(g.t, "the extension has started", func() bool {
		g.lock.Lock()
		defer g.lock.Unlock()
		found = g.access[g.configs[i].Name]
		return found != nil
	})
	return found
}

func (g *growingGroup) awaitVoters(count int, members ...int) {
	g.t.Helper()
	eventually(g.t, "the group has the expected number of voters", func() bool {
		return !slices.ContainsFunc(members, func(i int) bool { return g.voters(i) != count })
	})
}

func ingressOf(generation uint64, source string) api.IngressSpec {
	return api.IngressSpec{
		Generation: generation,
		Source:     []byte(source),
		Services:   []api.RouteService{{Name: "tiles"}},
		Routes: []api.Route{{Name: "r", Host: "a", PathPrefix: "/", Kind: api.RouteSafe, TimeoutMilliseconds: 1,
			Backends: []api.RouteBackend{{Service: "tiles", Weight: 1}}}},
	}
}

func TestGroupGrowsFromOneFounderInAnyOrder(t *testing.T) {
	for name, order := range map[string][]int{"founder first": {0, 1, 2, 3, 4}, "founder last": {4, 3, 2, 1, 0}} {
		t.Run(name, func(t *testing.T) {
			g := newGrowingGroup(t, 5, 3, 2)
			g.start(order...)
			g.awaitVoters(5, 0, 1, 2, 3, 4)
		})
	}
}

// Acknowledged data must survive the configured number of losses, so a group that still has too few
// voters must refuse an Ingress.
func TestIngressIsRefusedUntilGroupToleratesLosses(t *testing.T) {
	g := newGrowingGroup(t, 5, 3, 2)
	g.start(0)
	g.awaitVoters(1, 0)
	access := g.accessOf(0)
	eventually(t, "a leader is elected", func() bool { return access.member.group.Load().Leadership().Leads })
	_, err := access.ReplaceIngress(t.Context(), ingressOf(1, "one"))
	must.ErrorIs(t, err, ErrUnavailable)
	g.start(1, 2, 3, 4)
	g.awaitVoters(5, 0, 1, 2, 3, 4)
	result, err := access.ReplaceIngress(t.Context(), ingressOf(1, "one"))
	must.NoError(t, err)
	must.Eq(t, api.ReplaceApplied, result.Code)
}

// Guards against a member that cannot join because the leader is none of its configured seeds. The
// member could not reply to the leader and never received a log, so that after two more lost disks
// only one voter of five was left.
func TestMemberJoinsUnderNonSeedLeader(t *testing.T) {
	g := newGrowingGroup(t, 5, 3, 2)
	g.start(0, 1, 2, 3, 4)
	g.awaitVoters(5, 0, 1, 2, 3, 4)
	leader := g.running[3].member
	g.transferToNonSeed(3)
	g.crash(1)
	g.loseDisk(1)
	g.start(1)
	eventually(t, "the member with the lost disk is a voter again", func() bool {
		id := g.running[1].member.id
		status := leader.group.Load().replica.Status()
		return slices.Contains(status.Configuration.Voters, id) && len(status.Configuration.Voters) == 5
	})
}

// A member must be able to join even if its first seed is unresponsive.
func TestMemberJoinsWithUnresponsiveFirstSeed(t *testing.T) {
	g := newGrowingGroup(t, 4, 3, 1)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = silent.Close() }() // the kernel accepts connections, but nothing replies
	gone := Member{Name: "gone", PeerAddress: silent.Addr().String(), FeedAddress: silent.Addr().String(), OperatorAddress: silent.Addr().String()}
	g.configs[3].Members = append([]Member{gone}, g.configs[3].Members...)
	g.start(0, 1, 2)
	g.awaitVoters(3, 0, 1, 2)
	g.start(3)
	g.awaitVoters(4, 0, 1, 2, 3)
}

// transferToNonSeed makes a member the leader that the others' configuration does not name.
func (g *growingGroup) transferToNonSeed(i int) {
	g.t.Helper()
	leader := g.running[i].member
	eventually(g.t, "a member that is not a seed leads", func() bool {
		for _, running := range g.running {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_ = running.member.replica.TransferLeadership(ctx, leader.id)
			cancel()
		}
		return leader.group.Load().Leadership().Leads
	})
}

// A member that was removed while it was disconnected must learn of it from a leader that its
// configuration does not name.
func TestRemovedMemberRejoinsUnderNonSeedLeader(t *testing.T) {
	g := newGrowingGroup(t, 5, 3, 2)
	g.start(0, 1, 2, 3, 4)
	g.awaitVoters(5, 0, 1, 2, 3, 4)
	g.transferToNonSeed(3)
	dropped := g.running[4]
	eventually(t, "the member is removed", func() bool {
		request := operatorapi.MemberRequest{Action: operatorapi.MemberRemove, ID: operatorapi.MemberID(dropped.member.id)}
		return g.call(3, http.MethodPost, operatorapi.PathMembers, request, nil) == http.StatusOK
	})
	delete(g.running, 4)
	select {
	case err := <-dropped.done:
		must.ErrorIs(t, err, ErrRemoved)
	case <-time.After(waitTimeout):
		t.Fatal("the member did not notice its removal")
	}
	g.start(4)
	g.awaitVoters(5, 0, 1, 2, 3, 4)
	must.NotEq(t, dropped.member.id, g.running[4].member.id)
}

// The Bootstrap setting applies to a member's first start. A founder that lost its disk or was
// removed must join the group that it bootstrapped, even if Bootstrap is still set.
func TestFounderDoesNotBootstrapSecondGroup(t *testing.T) {
	g := newGrowingGroup(t, 5, 3, 2)
	g.start(0, 1, 2, 3, 4)
	g.awaitVoters(5, 0, 1, 2, 3, 4)
	must.True(t, g.configs[0].Bootstrap)
	g.crash(0)
	g.loseDisk(0)
	g.start(0)
	g.awaitVoters(5, 0, 1, 2, 3, 4)
}

func TestRemovedFounderRejoinsItsGroup(t *testing.T) {
	g := newGrowingGroup(t, 5, 3, 2)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- RunWithRestart(ctx, g.configs[0], nopLogger{}) }()
	g.start(1, 2, 3, 4)
	g.awaitVoters(5, 1, 2, 3, 4)
	idOfFounder := func() uint64 {
		status, _ := g.status()
		for _, member := range status.Members {
			if member.Name == g.configs[0].Name {
				return member.ID
			}
		}
		return 0
	}
	old := idOfFounder()
	eventually(t, "the member is removed", func() bool {
		request := operatorapi.MemberRequest{Action: operatorapi.MemberRemove, ID: operatorapi.MemberID(old)}
		return g.call(1, http.MethodPost, operatorapi.PathMembers, request, nil) == http.StatusOK
	})
	eventually(t, "the founder rejoins under a new identity", func() bool {
		var self operatorapi.MemberStatus
		return g.call(0, http.MethodGet, operatorapi.PathMemberStatus, nil, &self) == http.StatusOK &&
			self.ID != old && len(self.Voters) == 5 && idOfFounder() == self.ID
	})
	cancel()
	must.NoError(t, <-ended)
}

// A damaged data directory must be discarded whichever of the other members leads.
func TestDamagedDataFolderIsDiscardedUnderNonSeedLeader(t *testing.T) {
	g := newGrowingGroup(t, 5, 3, 2)
	g.start(0, 1, 2, 3, 4)
	g.awaitVoters(5, 0, 1, 2, 3, 4)
	g.transferToNonSeed(3)
	g.crash(4)
	segments, err := filepath.Glob(filepath.Join(g.configs[4].DataFolder, "*.wal"))
	must.NoError(t, err)
	must.SliceNotEmpty(t, segments)
	for _, segment := range segments {
		must.NoError(t, os.Remove(segment))
	}
	g.start(4)
	g.awaitVoters(5, 0, 1, 2, 3, 4)
}

func TestLostMemberIsRemovedAfterReplacementJoins(t *testing.T) {
	g := newGrowingGroup(t, 6, 3, 2)
	g.start(0, 1, 2, 3, 4)
	g.awaitVoters(5, 0, 1, 2, 3, 4)
	g.crash(4)
	g.start(5)
	g.awaitVoters(5, 0, 1, 2, 3, 5)
	eventually(t, "the lost member is removed", func() bool {
		status := g.running[0].member.group.Load().replica.Status()
		return slices.Contains(status.Configuration.Voters, g.running[5].member.id) && len(status.Configuration.Voters) == 5
	})
}

func TestAnyMemberReplacesAndReadsIngress(t *testing.T) {
	g := newGrowingGroup(t, 3, 3, 1)
	g.start(0, 1, 2)
	g.awaitVoters(3, 0, 1, 2)
	for i := range 3 {
		generation := uint64(10 + i)
		must.Eq(t, generation, g.replaceIngress(i, ingressOf(generation, "document")).Generation)
		for reader := range 3 {
			held := g.currentIngress(reader)
			must.Eq(t, generation, held.Spec.Generation)
			must.Eq(t, "document", string(held.Spec.Source))
		}
	}
	for i := range 3 {
		result := g.replaceIngress(i, ingressOf(4, "old"))
		must.Eq(t, api.ReplaceResult{Code: api.ReplaceSuperseded, Generation: 12}, result)
		invalid := ingressOf(99, "")
		invalid.Routes[0].TimeoutMilliseconds = 0
		result = g.replaceIngress(i, invalid)
		must.Eq(t, api.ReplaceInvalid, result.Code)
		must.SliceNotEmpty(t, result.Faults)
	}
	must.Eq(t, 12, g.currentIngress(0).Spec.Generation)
}

// API keys occur only in the document, which no view contains: neither what proxies receive nor
// what operators read as objects.
func TestViewsContainNoAPIKeys(t *testing.T) {
	g := newGrowingGroup(t, 3, 3, 1)
	g.start(0, 1, 2)
	g.awaitVoters(3, 0, 1, 2)
	key := "key-of-north-0123456789"
	spec := ingressOf(5, `{"tenants":[{"api_keys":["`+key+`"]}]}`)
	spec.KeysRequired = true
	spec.Tenants = []api.TenantKeys{{Name: "north", Keys: []string{key}}}
	for i := range 3 {
		spec.Generation++
		must.Eq(t, api.ReplaceApplied, g.replaceIngress(i, spec).Code)
		for reader := range 3 {
			must.StrContains(t, string(g.currentIngress(reader).Spec.Source), key)
		}
	}
	current := g.running[g.leader()].member.group.Load().machine.view()
	must.SliceLen(t, 1, current.RouteTenants["north"].Spec.Digests)
	must.Eq(t, apikey.SecretBytes, len(current.Ingresses[api.IngressName].Spec.KeySecret))
	delta := current.Full()
	bytes, err := delta.AppendBinary(nil)
	must.NoError(t, err)
	must.StrNotContains(t, string(bytes), key)
	for _, kind := range api.Kinds {
		shown, err := json.Marshal(current.List(kind))
		must.NoError(t, err)
		must.StrNotContains(t, string(shown), key)
		must.StrNotContains(t, string(shown), base64.StdEncoding.EncodeToString([]byte(key))[:20])
	}
	shared := ingressOf(99, "")
	shared.Tenants = []api.TenantKeys{{Name: "a", Keys: []string{key}}, {Name: "b", Keys: []string{key}}}
	result := g.replaceIngress(0, shared)
	must.Eq(t, api.ReplaceInvalid, result.Code)
	must.Eq(t, "tenants[1].keys[0]", result.Faults[0].Field)
}

// replaceIngress submits the Ingress through the member until the request is answered. As callers
// do, it retries when the outcome is unknown or the group is unavailable.
func (g *growingGroup) replaceIngress(i int, spec api.IngressSpec) api.ReplaceResult {
	g.t.Helper()
	var result api.ReplaceResult
	eventually(g.t, "the Ingress is answered", func() bool {
		var err error
		result, err = g.accessOf(i).ReplaceIngress(g.t.Context(), spec)
		return g.answered(err)
	})
	return result
}

// currentIngress reads the Ingress through the member until the request is answered.
func (g *growingGroup) currentIngress(i int) *api.Ingress {
	g.t.Helper()
	var held *api.Ingress
	eventually(g.t, "the current Ingress is read", func() bool {
		var err error
		held, err = g.accessOf(i).Ingress(g.t.Context())
		return g.answered(err)
	})
	return held
}

// answered reports whether a request was answered. It fails the test on any error other than those
// that allow a retry.
func (g *growingGroup) answered(err error) bool {
	g.t.Helper()
	if err == nil {
		return true
	}
	must.True(g.t, errors.Is(err, ErrUnavailable) || errors.Is(err, ErrOutcomeUnknown), must.Sprint(err))
	return false
}

func TestOperatorAPIReplacesAnIngress(t *testing.T) {
	g := newGrowingGroup(t, 1, 1, 0)
	g.start(0)
	g.awaitVoters(1, 0)
	var result api.ReplaceResult
	eventually(t, "the Ingress is accepted", func() bool {
		return g.call(0, http.MethodPost, operatorapi.PathIngress, ingressOf(3, ""), &result) == http.StatusOK
	})
	must.Eq(t, 3, result.Generation)
	invalid := ingressOf(4, "")
	invalid.Routes[0].Backends = nil
	must.Eq(t, http.StatusUnprocessableEntity, g.call(0, http.MethodPost, operatorapi.PathIngress, invalid, &result))
	must.Eq(t, http.StatusBadRequest, g.call(0, http.MethodPost, operatorapi.PathIngress, "text", nil))
}

func TestListedReplicasReachDaemons(t *testing.T) {
	g := newGrowingGroup(t, 1, 1, 0)
	g.fleet.set(replicaOf("r-1", false), replicaOf("r-2", false))
	g.start(0)
	g.awaitVoters(1, 0)
	_, holder := g.subscribe("proxy-1")
	names := func() int { return len(holder.Load().Replicas) }
	eventually(t, "the daemon receives both replicas", func() bool { return names() == 2 })
	g.fleet.set(replicaOf("r-1", true), replicaOf("r-3", false))
	eventually(t, "one replica leaves, one is removed, one is added", func() bool {
		replicas := holder.Load().Replicas
		return replicas["r-1"] != nil && replicas["r-1"].Spec.Leaving && replicas["r-2"] == nil && replicas["r-3"] != nil
	})
	g.fleet.set()
	eventually(t, "members are listed", func() bool { return len(holder.Load().Members) == 1 })
	must.Eq(t, 2, names(), must.Sprint("an empty list removed replicas"))
}

func TestReplicaMissingFromOneListIsKept(t *testing.T) {
	first := mergeList(nil, []api.Replica{replicaOf("r-1", false), replicaOf("r-2", false)})
	second := mergeList(first, []api.Replica{replicaOf("r-1", false)})
	must.MapLen(t, 2, second)
	third := mergeList(second, []api.Replica{replicaOf("r-1", false)})
	must.MapLen(t, 1, third)
	back := mergeList(mergeList(second, []api.Replica{replicaOf("r-1", false), replicaOf("r-2", false)}), []api.Replica{replicaOf("r-1", false)})
	must.MapLen(t, 2, back)
}

func TestReadyProxiesAreAdvertised(t *testing.T) {
	g := newGrowingGroup(t, 1, 1, 0)
	g.start(0)
	g.awaitVoters(1, 0)
	access := g.accessOf(0)
	var lock sync.Mutex
	ready := map[string]bool{"p-1": true, "p-2": true, "p-3": true}
	stopping := map[string]bool{}
	zones := map[string]string{"p-1": "a", "p-2": "a", "p-3": "b"}
	clients := map[string]*feed.Client{}
	for name := range ready {
		clients[name], _ = g.subscribeWith(feed.ClientConfig{
			Daemon: name, HeartbeatInterval: 30 * time.Millisecond, BackoffMax: 50 * time.Millisecond,
			Presence: func() feed.Presence {
				lock.Lock()
				defer lock.Unlock()
				return feed.Presence{Proxy: name, Address: "addr-" + name, Zone: zones[name], Ready: ready[name], Stopping: stopping[name]}
			},
		})
	}
	eventually(t, "all proxies are advertised", func() bool { return len(access.Proxies()) == 3 })
	must.Eq(t, []string{"addr-p-1", "addr-p-2"}, access.ProxyAddresses("a", 64))
	must.Eq(t, []string{"addr-p-1", "addr-p-2", "addr-p-3"}, access.ProxyAddresses("b", 64), must.Sprint("a single proxy in the zone got all callers"))
	must.Eq(t, []string{"addr-p-1"}, access.ProxyAddresses("b", 1))
	lock.Lock()
	ready["p-1"] = false // restarting
	ready["p-2"], stopping["p-2"] = false, true
	lock.Unlock()
	clients["p-1"].Announce()
	clients["p-2"].Announce()
	eventually(t, "a stopping proxy is not advertised", func() bool { return len(access.Proxies()) == 2 })
	must.Eq(t, []string{"addr-p-1", "addr-p-3"}, access.ProxyAddresses("", 64), must.Sprint("a restarting proxy was removed, or a stopping one was not"))
	clients["p-3"].Close()
	eventually(t, "a closed proxy is not advertised", func() bool { return len(access.Proxies()) == 1 })
}

// Guards against callers that are directed to proxies which reach no replica, and against a directory that names no
// proxy at all because none of them reaches one.
func TestPartitionedProxiesAreAdvertisedOnlyIfAllAre(t *testing.T) {
	recorded := map[string]*api.Proxy{}
	heard := map[string]feed.Presence{}
	removed := func() []string {
		var changes state.Observe
		diffProxies(&changes, &view.View{Proxies: recorded}, heard, true)
		must.SliceEmpty(t, changes.Put)
		var names []string
		for _, key := range changes.Removed {
			names = append(names, key.Name)
		}
		return names
	}
	for i := range 300 {
		name := fmt.Sprintf("p-%03d", i)
		recorded[name] = &api.Proxy{Metadata: api.Metadata{Name: name}, Spec: api.ProxySpec{Address: "addr-" + name, Zone: "a"}}
		heard[name] = feed.Presence{Proxy: name, Address: "addr-" + name, Zone: "a", Ready: true}
	}
	must.SliceEmpty(t, removed())
	heard["p-007"] = feed.Presence{Proxy: "p-007", Address: "addr-p-007", Zone: "a"}
	must.SliceEmpty(t, removed(), must.Sprint("it is restarting"))
	for name := range heard {
		if name != "p-299" {
			heard[name] = feed.Presence{Proxy: name, Zone: "a"}
		}
	}
	must.SliceLen(t, 299, removed())
	heard["p-299"] = feed.Presence{Proxy: "p-299", Zone: "a"}
	must.SliceEmpty(t, removed(), must.Sprint("none of them reaches a replica"))
}

func TestLeaderPlacesRequestsOfAllProxies(t *testing.T) {
	g := newGrowingGroup(t, 1, 1, 0)
	model := func(name string, role api.EngineRole) api.Replica {
		return api.Replica{Metadata: api.Metadata{Name: name}, Spec: api.ReplicaSpec{Service: "narrator", Zone: "a", Address: "addr-" + name, Role: role}}
	}
	g.fleet.set(model("read", api.RolePrefill), model("make", api.RoleDecode))
	g.start(0)
	g.awaitVoters(1, 0)
	client, _ := g.subscribe("proxy-1")
	request := feed.PlaceRequest{Service: "narrator", Number: 1, Ask: placement.Request{PromptTokens: 20_000, Deadline: time.Second, Zone: "a"}}
	eventually(t, "the client is subscribed", client.Connected)
	_, err := client.Place(t.Context(), request)
	must.ErrorIs(t, err, feed.ErrNotPlaced, must.Sprint("placed a request of an unknown service"))
	spec := ingressOf(1, "")
	spec.Services = append(spec.Services, api.RouteService{Name: "narrator", Model: &api.ModelSheet{KVTokens: 100_000}})
	eventually(t, "the Ingress is acknowledged", func() bool {
		_, err := g.accessOf(0).ReplaceIngress(t.Context(), spec)
		return err == nil
	})
	var answer placement.Answer
	eventually(t, "the request is placed", func() bool {
		answer, err = client.Place(t.Context(), request)
		return err == nil && answer.Generator != ""
	})
	must.Eq(t, "make", answer.Generator)
	must.Eq(t, "read", answer.Reader)
	must.True(t, client.RecordProgress(feed.PlacementProgress{Service: "narrator", Number: 1, Note: placement.ProgressReport{Step: placement.StepEnded}}))
	must.True(t, client.ReportCachedParts(feed.CachedParts{Service: "narrator", Replica: "make", Parts: []placement.Part{{ID: "p", Tokens: 19_000}}}))
	request.Ask.Parts = []placement.Part{{ID: "p", Tokens: 19_000}, {ID: "own", Tokens: 1_000}}
	eventually(t, "the cached part is counted", func() bool {
		request.Number++
		answer, err = client.Place(t.Context(), request)
		return err == nil && answer.UnreadTokens == 1_000
	})
}

// After a restart of the whole system no member knows what replicas have cached: the leader must
// query the replicas for which no proxy has reported it, and none before there is an Ingress.
func TestLeaderQueriesColdReplicasAfterIngress(t *testing.T) {
	g := newGrowingGroup(t, 1, 1, 0)
	replica := api.Replica{Metadata: api.Metadata{Name: "make"}, Spec: api.ReplicaSpec{Service: "narrator", Zone: "a", Address: "addr", Role: api.RoleDecode}}
	g.fleet.set(replica)
	g.fleet.kept = map[string][]placement.Part{"make": {{ID: "p", Tokens: 5_000}}}
	g.start(0)
	g.awaitVoters(1, 0)
	spec := ingressOf(1, "")
	spec.Services = append(spec.Services, api.RouteService{Name: "narrator", Model: &api.ModelSheet{KVTokens: 100_000}})
	eventually(t, "the Ingress is acknowledged", func() bool {
		_, err := g.accessOf(0).ReplaceIngress(t.Context(), spec)
		return err == nil
	})
	_, holder := g.subscribe("proxy-1")
	eventually(t, "the replica is committed", func() bool { return len(holder.Load().Replicas) == 1 })
	must.NoError(t, g.stop(0))
	g.fleet.lock.Lock()
	must.SliceEmpty(t, g.fleet.asked, must.Sprint("queried a replica before there was an Ingress"))
	g.fleet.lock.Unlock()
	g.start(0)
	eventually(t, "the replica is queried", func() bool {
		g.fleet.lock.Lock()
		defer g.fleet.lock.Unlock()
		return len(g.fleet.asked) == 1
	})
	request := placement.Request{PromptTokens: 6_000, Zone: "a", Deadline: time.Second, Parts: []placement.Part{{ID: "p", Tokens: 5_000}}}
	eventually(t, "the cached part is counted", func() bool {
		current := g.running[0].member.group.Load()
		answer, placed := current.Place("proxy-1", feed.PlaceRequest{Service: "narrator", Number: 1, Ask: request})
		return placed && answer.UnreadTokens == 1_000
	})
}

func TestNoFleetChangesWithoutFleetSource(t *testing.T) {
	c := newCluster(t, 1, nil)
	c.start(0)
	c.leader()
	_, holder := c.subscribe("proxy-1")
	eventually(t, "the client is subscribed", func() bool { return c.running[0].member.feed.Subscribers() == 1 })
	must.Eq(t, view.Version{}, holder.Load().Version)
}

// A storage failure must not end the process: the member is opened again after a delay, until it is
// stopped. A data directory that cannot be created stands for the failure. An invalid configuration
// ends the process at once.
func TestMemberRestartsAfterStorageFailure(t *testing.T) {
	c := newCluster(t, 1, nil)
	config := c.configs[0]
	config.DataFolder = filepath.Join(t.TempDir(), "missing", "\x00")
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	must.NoError(t, RunWithRestart(ctx, config, nopLogger{}))
	config.Name = "stranger"
	must.ErrorIs(t, RunWithRestart(t.Context(), config, nopLogger{}), ErrConfig)
}

type nopLogger struct{}

func (nopLogger) Log(...any) error { return nil }
