package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/lab/caller"
	"github.com/landingtrail/landingtrail/lab/engine/ledger"
	"github.com/landingtrail/landingtrail/lab/fleet/faults"
	"github.com/landingtrail/landingtrail/lab/platform"
	"github.com/landingtrail/landingtrail/lab/trace"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/process/settings"
	"github.com/landingtrail/landingtrail/version/api"
)

func TestProxyCutOffFromControl(t *testing.T) {
	s := startScenario(t, DrillNone, refuseModelWork)
	cut := s.fleet.layout.proxies[0]
	heal := s.cutOffUnderOneLeader(cut)
	must.True(s, s.ask(cut, "briefing").refused(), must.Sprint("no claim can be made"))
	s.eventually("frames go on, by the setting", func() bool { return s.ask(cut, "frame").outcome == caller.OutcomeCompleted })
	must.True(s, s.ask(cut, "caption").refused(), must.Sprint("model work still is"))
	heal()
	s.followsAgain(cut)
	s.finish()
}

// A leader that begins while a proxy is cut off has never heard of it, and the proxy may
// still hold a lease of the leader before.
func TestProxyCutOffWhileTheLeaderChanges(t *testing.T) {
	s := startScenario(t, DrillNone, refuseModelWork)
	cut := s.fleet.layout.proxies[0]
	term := s.termThatAllFollow()
	heal := s.cutOffProxy(cut)
	killed := s.kill(prefixControl + s.leader())
	s.eventually("another leader", func() bool { return s.status().Term > term })
	s.changeWithout(cut, "4")
	s.restart(killed)
	s.waitWhole()
	must.True(s, s.ask(cut, "caption").refused(), must.Sprint("model work still is"))
	heal()
	s.followsAgain(cut)
	s.finish()
}

// maxCuts bounds the cuts that are made until the leader stays during one.
const maxCuts = 8

// cutOffUnderOneLeader cuts the proxy off until its view has lapsed and a change is in
// force without it, by the word of a leader that had heard of it: that one names it as
// lapsed. A later leader cannot, so a cut is healed and made again where the leader
// changed; what is in force then is held to everything else.
func (s *scenario) cutOffUnderOneLeader(cut proxyPlace) (heal func()) {
	s.Helper()
	for round := range maxCuts {
		term := s.termThatAllFollow()
		heal := s.cutOffProxy(cut)
		s.eventually("the lapse of the view", func() bool { return s.ask(cut, "caption").refused() })
		state := s.changeWithout(cut, strconv.Itoa(4+round))
		if s.status().Term == term {
			must.SliceContains(s, state.Lapsed, cut.name)
			return heal
		}
		s.Logf("the leader changed: in force %+v", state)
		heal()
		s.followsAgain(cut)
	}
	s.Fatalf("the leader changed during each of %d cuts", maxCuts)
	return nil
}

// cutOffProxy severs every connection of the proxy to the members, until it is healed.
func (s *scenario) cutOffProxy(cut proxyPlace) (heal func()) {
	s.Helper()
	var gates []*faults.Gate
	before := int64(0)
	for _, member := range s.fleet.layout.members {
		gate := s.network.Link(linkFeed + member.name).Requests
		gates = append(gates, gate)
		before += gate.Struck()
		gate.Set(faults.WhenOpening([]byte(cut.name), faults.Sever))
	}
	return func() {
		s.Helper()
		struck := int64(0)
		for _, gate := range gates {
			struck += gate.Struck()
			gate.Clear()
		}
		must.Greater(s, before, struck)
	}
}

// changeWithout makes a change and waits until it is in force. The proxy that is cut off
// has not acknowledged it, so from then on it must refuse model work: its view has lapsed.
func (s *scenario) changeWithout(cut proxyPlace, version string) operatorapi.InForce {
	s.Helper()
	s.setVersion(version)
	state, err := s.client.WaitInForce(context.Background(), s.status().Revision)
	must.NoError(s, err)
	must.True(s, s.ask(cut, "caption").refused(), must.Sprint("model work is refused as not run, by the setting"))
	must.Less(s, len(s.fleet.layout.proxies), state.Acknowledged)
	return state
}

// followsAgain waits until the proxy serves model work and claims by a new view.
func (s *scenario) followsAgain(proxy proxyPlace) {
	s.Helper()
	s.eventually("a new view", func() bool { return s.ask(proxy, "caption").outcome == caller.OutcomeCompleted })
	s.eventually("a claim", func() bool { return s.ask(proxy, "briefing").outcome == caller.OutcomeCompleted })
}

// termThatAllFollow returns the term of a leader that has heard of every proxy.
func (s *scenario) termThatAllFollow() uint64 {
	s.Helper()
	revision, term := s.status().Revision, uint64(0)
	s.eventually("a leader that all proxies follow", func() bool {
		term = s.status().Term
		state, err := s.client.InForce(context.Background(), revision)
		must.NoError(s, err)
		return state.Acknowledged == len(s.fleet.layout.proxies) && s.status().Term == term
	})
	return term
}

// refuseModelWork has the proxies refuse model work and serve frames while
// they are cut off.
func refuseModelWork(file *settings.File) {
	if file.Proxy != nil {
		file.Proxy.ModelOnControlLoss = "refuse"
		file.Proxy.BackendOnControlLoss = "serve"
	}
}

// asked is what became of one request.
type asked struct{ outcome caller.Outcome }

func (a asked) refused() bool { return a.outcome == caller.OutcomeRefused }

var askedCount struct {
	sync.Mutex
	seed uint64
}

// ask sends one request of a class through a proxy, without another try.
func (s *scenario) ask(proxy proxyPlace, class string) asked {
	s.Helper()
	askedCount.Lock()
	askedCount.seed++
	seed := askedCount.seed
	askedCount.Unlock()
	for duration := loadRound; ; duration *= 2 {
		items, err := trace.Make(trace.Config{Deployment: s.fleet.config.Deployment, Seed: seed, Duration: duration, Compress: true})
		must.NoError(s, err)
		for _, item := range items {
			if item.Class == class {
				return s.send(proxy, item)
			}
		}
	}
}

func (s *scenario) send(proxy proxyPlace, item trace.Item) asked {
	item.At = 0
	item.Deadline *= patience
	if item.Key != "" {
		item.Key = "asked-" + item.Key
	}
	var result asked
	caller.Play(context.Background(), caller.Config{
		Proxy:   proxy.address,
		Items:   []trace.Item{item},
		Name:    "asked-" + item.Caller,
		Observe: func(seen caller.Observation) { result.outcome = seen.Outcome },
	})
	return result
}

func TestEngineKilledInChange(t *testing.T) {
	s := startScenario(t, DrillCrash, nil)
	s.restart(s.killInChange("4"))
	s.waitVersion("4")
	incarnations := map[uint64]bool{}
	for _, entry := range s.entries(canary) {
		incarnations[entry.Incarnation] = true
	}
	must.MapLen(s, 2, incarnations)
	s.finish()
}

// killInChange has the canary engine change and kills it while it does. The
// platform is paused meanwhile, so that the change cannot end before.
func (s *scenario) killInChange(version string) *process {
	s.Helper()
	weights := s.process(prefixPlatform)
	must.NoError(s, weights.command.Process.Signal(syscall.SIGSTOP))
	s.setVersion(version)
	s.eventually("the change", func() bool { return s.lastPhase(canary) == api.PhaseChanging })
	killed := s.kill(prefixEngine + canary)
	must.NoError(s, weights.command.Process.Signal(syscall.SIGCONT))
	return killed
}

func TestEngineInChangeAndLeaderKilledTogether(t *testing.T) {
	s := startScenario(t, DrillCrash, nil)
	term := s.status().Term
	leader := prefixControl + s.leader()
	engine := s.killInChange("4")
	member := s.kill(leader)
	s.restart(engine)
	s.eventually("another leader", func() bool { return s.status().Term > term })
	s.waitVersion("4")
	s.restart(member)
	s.waitWhole()
	s.finish()
}

func TestLeaderCutOffAndMemberLost(t *testing.T) {
	s := startScenario(t, DrillNone, nil)
	heal := s.cutOff(s.leader())
	heal()
	// At once after the repair, the next leader is killed.
	term := s.status().Term
	member := s.kill(prefixControl + s.leader())
	s.eventually("another leader", func() bool { return s.status().Term > term })
	s.setVersion("5")
	s.waitVersion("5")
	s.restart(member)
	s.waitWhole()
	s.finish()
}

func TestLeavingMachinesReceiveNoNewWork(t *testing.T) {
	s := startScenario(t, DrillPlanned, nil)
	const leavingEngine, leavingBackend = "narrator-3", "tilegate-1"
	s.setMachine(leavingEngine, platform.StateLeaving)
	s.setMachine(leavingBackend, platform.StateLeaving)
	s.eventually("the platform's news", func() bool { return s.isLeaving(leavingEngine, leavingBackend) })
	_, err := s.client.WaitInForce(context.Background(), s.status().Revision)
	must.NoError(s, err)
	engineRuns, backendRuns := s.starts(leavingEngine), s.starts(leavingBackend)
	others := s.starts("narrator-1") + s.starts("tilegate-2")
	const moreWork = 60
	s.eventually("more work elsewhere", func() bool {
		return s.starts("narrator-1")+s.starts("tilegate-2") > others+moreWork
	})
	must.Eq(s, engineRuns, s.starts(leavingEngine))
	must.Eq(s, backendRuns, s.starts(leavingBackend))
	s.setMachine(leavingEngine, platform.StateLive)
	s.setMachine(leavingBackend, platform.StateLive)
	s.eventually("work after the return", func() bool {
		return s.starts(leavingEngine) > engineRuns && s.starts(leavingBackend) > backendRuns
	})
	s.finish()
}

func (s *scenario) setMachine(name string, state platform.State) {
	s.Helper()
	body, err := json.Marshal(platform.StateRequest{State: state})
	must.NoError(s, err)
	path := strings.Replace(platform.PathMachine, "{name}", name, 1)
	response, err := http.Post("http://"+s.fleet.layout.platform+path, "application/json", bytes.NewReader(body))
	must.NoError(s, err)
	must.NoError(s, response.Body.Close())
	must.Eq(s, http.StatusOK, response.StatusCode)
}

func (s *scenario) isLeaving(engine, backend string) bool {
	s.Helper()
	service, err := s.client.Object(context.Background(), api.Key{Kind: api.KindService, Name: "tilegate"})
	must.NoError(s, err)
	object, err := s.client.Object(context.Background(), api.Key{Kind: api.KindEngine, Name: engine})
	must.NoError(s, err)
	leaving := service.Service.Status.Leaving
	return len(leaving) == 1 && leaving[0] == backend && object.Engine.Status.Phase == api.PhaseLeaving
}

// starts counts what a stand-in admitted.
func (s *scenario) starts(name string) int {
	s.Helper()
	for _, one := range append(append([]place(nil), s.fleet.layout.engines...), s.fleet.layout.backends...) {
		if one.name != name {
			continue
		}
		page, err := readLedger(context.Background(), one.address)
		must.NoError(s, err)
		count := 0
		for _, entry := range page.Entries {
			if entry.Event == ledger.EventStarted {
				count++
			}
		}
		return count
	}
	s.Fatalf("no stand-in %s", name)
	return 0
}

func TestRacingOperatorsAndResendAfterLostAnswer(t *testing.T) {
	s := startScenario(t, DrillNone, nil)
	for round := range 20 {
		s.race(round)
	}
	s.loseAnswer()
	s.finish()
}

// race has two operators write one object at the same revision.
func (s *scenario) race(round int) {
	s.Helper()
	key := api.Key{Kind: api.KindTenant, Name: "signage"}
	object, err := s.client.Object(context.Background(), key)
	must.NoError(s, err)
	results := make(chan api.TransactionResult, 2)
	for racer := range cap(results) {
		tenant := *object.Tenant
		tenant.Spec.Weight = float64(2*round + racer + 1)
		transaction := api.Transaction{
			OperationID: operationID(2*round + racer),
			Writes:      []api.Write{{Object: api.Object{Tenant: &tenant}}},
		}
		go func() {
			result, err := s.client.Transact(context.Background(), transaction)
			if err != nil {
				result.Code = api.OutcomeCode(err.Error())
			}
			results <- result
		}()
	}
	codes := map[api.OutcomeCode]int{}
	for range cap(results) {
		result := <-results
		codes[result.Code]++
		if result.Code == api.OutcomeRevisionConflict {
			must.SliceNotEmpty(s, result.Conflicts)
			must.NotNil(s, result.Conflicts[0].Current, must.Sprint("the conflict shows what stands"))
		}
	}
	must.Eq(s, map[api.OutcomeCode]int{api.OutcomeAccepted: 1, api.OutcomeRevisionConflict: 1}, codes)
}

// loseAnswer has every answer to a change lost, and sends the change again.
func (s *scenario) loseAnswer() {
	s.Helper()
	key := api.Key{Kind: api.KindTenant, Name: "pilots"}
	object, err := s.client.Object(context.Background(), key)
	must.NoError(s, err)
	changed := *object.Tenant
	changed.Spec.Weight++
	transaction := api.Transaction{OperationID: "lost-answer", Writes: []api.Write{{Object: api.Object{Tenant: &changed}}}}
	impatient, err := operator.New(operator.Config{
		Members:        s.fleet.layout.operators(),
		AttemptTimeout: scenarioAttempt,
		Timeout:        3 * scenarioAttempt,
	})
	must.NoError(s, err)
	struck := int64(0)
	for _, member := range s.fleet.layout.members {
		s.network.Link(linkOperator + member.name).Answers.Set(faults.Always(faults.Drop))
	}
	_, err = impatient.Transact(context.Background(), transaction)
	must.ErrorIs(s, err, operator.ErrOutcomeUnknown)
	for _, member := range s.fleet.layout.members {
		gate := s.network.Link(linkOperator + member.name).Answers
		struck += gate.Struck()
		gate.Clear()
	}
	must.Positive(s, struck)
	result, err := s.client.Transact(context.Background(), transaction)
	must.NoError(s, err)
	must.Eq(s, api.OutcomeAccepted, result.Code)
	after, err := s.client.Object(context.Background(), key)
	must.NoError(s, err)
	must.Eq(s, changed.Spec.Weight, after.Tenant.Spec.Weight)
	must.Eq(s, result.Revision, after.Tenant.Revision, must.Sprint("the change was made once"))
}

func TestPlannedStopOfEachEngine(t *testing.T) {
	s := startScenario(t, DrillPlanned, nil)
	for _, one := range s.fleet.layout.engines {
		s.keepBusy(one.name)
		s.stopAsPlanned(prefixEngine + one.name)
		must.NoError(s, s.fleet.driver.waitServing(context.Background(), s.fleet.layout.engineNames()))
	}
	s.finish()
}

func TestPlannedStopOfEachBackendAndMember(t *testing.T) {
	s := startScenario(t, DrillPlanned, nil)
	var names []string
	for _, one := range s.fleet.layout.backends {
		names = append(names, prefixBackend+one.name)
	}
	for _, one := range s.fleet.layout.members {
		names = append(names, prefixControl+one.name)
	}
	for _, name := range names {
		s.stopAsPlanned(name)
		s.waitWhole()
	}
	s.finish()
}

// TestChangeOfBusyEngineCutsNoAnswer changes a busy engine three times at least
// and until an order met a run, since no answer can be made to outlast a commit.
func TestChangeOfBusyEngineCutsNoAnswer(t *testing.T) {
	s := startScenario(t, DrillPlanned, nil)
	const leastChanges, mostChanges = 3, 12
	for change := 1; change <= leastChanges || ordersInRun(s.entries(canary)) == 0; change++ {
		must.LessEq(s, mostChanges, change, must.Sprint("an answer has to be under way when an order comes"))
		version := strconv.Itoa(3 + change)
		s.keepBusy(canary)
		rest := s.sendLong()
		s.setVersion(version)
		s.waitVersion(version)
		rest()
	}
	s.finish()
}

// keepBusy sends long requests until the engine runs one of them.
func (s *scenario) keepBusy(engine string) {
	s.Helper()
	item := s.longItem()
	s.eventually("a long answer of "+engine, func() bool {
		s.load.alone(s.fleet.layout.proxies[0], item)
		return runsLong(s.entries(engine))
	})
}

// longAnswerPause is the time between two long requests, of which each engine
// then runs one most of the time.
const longAnswerPause = 50 * time.Millisecond

// sendLong sends long requests until the function that it returns is called.
func (s *scenario) sendLong() (rest func()) {
	s.Helper()
	item := s.longItem()
	ctx, cancel := context.WithCancel(context.Background())
	var sending sync.WaitGroup
	sending.Go(func() {
		for pause.Sleep(ctx, longAnswerPause) {
			s.load.alone(s.fleet.layout.proxies[0], item)
		}
	})
	rest = func() {
		cancel()
		sending.Wait()
	}
	s.Cleanup(rest)
	return rest
}

// longItem is a request for a long answer, to be sent at once.
func (s *scenario) longItem() trace.Item {
	s.Helper()
	items, err := trace.Make(trace.Config{Deployment: s.fleet.config.Deployment, Seed: 1, Duration: loadRound, Compress: true})
	must.NoError(s, err)
	item := items[slices.IndexFunc(items, func(item trace.Item) bool { return item.Class == trace.ClassCaption })]
	item.At = 0
	item.Deadline *= patience
	item.OutputTokens = longAnswer
	return item
}

// longAnswer is the tokens of an answer that takes about as long as a commit.
const longAnswer = 500

// runsLong reports whether a run that began lately is under way.
func runsLong(entries []ledger.Entry) bool {
	running := map[string]bool{}
	for _, entry := range entries {
		switch entry.Event {
		case ledger.EventStarted:
			running[entry.RequestID] = time.Since(entry.At) < time.Second
		case ledger.EventFinished, ledger.EventExported, ledger.EventCancelled, ledger.EventCrashed, ledger.EventCutShort:
			delete(running, entry.RequestID)
		}
	}
	return slices.Contains(slices.Collect(maps.Values(running)), true)
}

// ordersInRun counts the orders that were accepted while a run was under way.
func ordersInRun(entries []ledger.Entry) int {
	running, count := map[string]bool{}, 0
	for _, entry := range entries {
		switch entry.Event {
		case ledger.EventStarted:
			running[entry.RequestID] = true
		case ledger.EventFinished, ledger.EventExported, ledger.EventCancelled, ledger.EventCrashed, ledger.EventCutShort:
			delete(running, entry.RequestID)
		case ledger.EventOrder:
			if entry.Reason == acceptedOrder && len(running) > 0 {
				count++
			}
		}
	}
	return count
}

func (s *scenario) stopAsPlanned(name string) {
	s.Helper()
	child := s.process(name)
	must.NoError(s, child.stop())
	s.restart(child)
}

func TestPlannedStopOfProxy(t *testing.T) {
	s := startScenario(t, DrillPlanned, nil)
	s.load.pause()
	for _, proxy := range s.fleet.layout.proxies {
		items, err := trace.Make(trace.Config{
			Deployment: s.fleet.config.Deployment,
			Seed:       7,
			Duration:   loadRound,
			Compress:   true,
		})
		must.NoError(s, err)
		for i := range items {
			items[i].At = 0 // all at once
			items[i].Deadline *= patience
			if items[i].Key != "" {
				items[i].Key += proxy.name
			}
		}
		before := s.allStarts()
		ended := make(chan caller.Report)
		go func() {
			ended <- caller.Play(context.Background(), caller.Config{
				Proxy:   proxy.address,
				Items:   items,
				Name:    "stop-" + proxy.name,
				Observe: s.load.observe,
			})
		}()
		s.eventually("requests in flight", func() bool { return s.allStarts() > before+10 })
		s.stopAsPlanned(prefixProxy + proxy.zone)
		report := <-ended
		total := report.Total()
		must.Eq(s, total.Offered, total.Completed+total.RefusedNotRun, must.Sprint(s.load.failures))
		must.Positive(s, total.Completed)
		s.eventually("the proxy serves again", func() bool { return s.ask(proxy, "caption").outcome == caller.OutcomeCompleted })
	}
	s.finish()
}

func (s *scenario) allStarts() int {
	s.Helper()
	count := 0
	for _, one := range s.fleet.layout.engines {
		count += s.starts(one.name)
	}
	return count
}
