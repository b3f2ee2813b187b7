package fleet

import (
	"context"
	"encoding/binary"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/lab/caller"
	"github.com/landingtrail/landingtrail/lab/engine/ledger"
	"github.com/landingtrail/landingtrail/lab/fleet/faults"
	"github.com/landingtrail/landingtrail/lab/trace"
	"github.com/landingtrail/landingtrail/process/settings"
	"github.com/landingtrail/landingtrail/version/api"
)

const (
	scenarioBound   = 60 * time.Second // of each wait, far above what it takes
	scenarioPause   = 10 * time.Millisecond
	scenarioAttempt = 700 * time.Millisecond
	// maxScenarios bounds the fleets that run at the same time.
	maxScenarios = 3
)

var (
	programs      string // folder of the built programs
	scenarioSlots = make(chan struct{}, maxScenarios)
)

func TestMain(m *testing.M) {
	logx.Disable()
	folder, err := os.MkdirTemp("", "landingtrail-fleet-test-")
	if err == nil {
		programs = folder
		build := exec.Command("go", "build", "-o", folder, "../../cmd/landingtrail", "../../cmd/landingtrail-lab")
		build.Stdout, build.Stderr = os.Stderr, os.Stderr
		err = build.Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "build the programs:", err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

func testConfig() Config {
	return Config{
		Deployment:  "radarvlak",
		Folder:      "../../deployments",
		Product:     filepath.Join(programs, "landingtrail"),
		Lab:         filepath.Join(programs, "landingtrail-lab"),
		Seed:        1,
		Rate:        0.5,
		Speed:       10,
		WeightBytes: 256 << 10,
		WeightRate:  2 << 20,
	}
}

// scenario is a whole deployment under load, with links before every process.
type scenario struct {
	*testing.T
	fleet      *Fleet
	network    *faults.Network
	client     *operator.Client
	load       *load
	automation *automation
	summary    Summary
}

// startScenario brings the fleet up and starts the load and an operator that
// makes changes all the time.
func startScenario(t *testing.T, drill Drill, adjust func(*settings.File), configure ...func(*Config)) *scenario {
	takeSlot(t)
	network := faults.NewNetwork()
	t.Cleanup(network.Close)
	config := testConfig()
	config.Drill = drill
	config.Via = network.Add
	config.Adjust = adjust
	for _, change := range configure {
		change(&config)
	}
	data := t.TempDir()
	planned, err := newLayout(config, data)
	must.NoError(t, err)
	run := newSupervisor(context.Background(), filepath.Join(data, "logs"))
	s := &scenario{T: t, network: network, summary: newSummary(config)}
	s.fleet = &Fleet{config: config, layout: planned, run: run}
	t.Cleanup(func() {
		for _, child := range run.named([]string{""}) {
			child.kill()
		}
	})
	must.NoError(t, s.fleet.start())
	s.fleet.driver, err = newDriver(config, planned)
	must.NoError(t, err)
	s.client, err = operator.New(operator.Config{Members: planned.operators(), AttemptTimeout: scenarioAttempt, Timeout: scenarioBound})
	must.NoError(t, err)
	s.bringUp()
	s.load = startLoad(s.fleet)
	s.automation = startAutomation(s.client, s.fleet.layout.engines[0].name)
	return s
}

// bringUp applies the objects and waits until the engines serve; that the first
// change is in force everywhere, which takes a whole view lease, is not waited for.
func (s *scenario) bringUp() {
	s.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), servingTimeout)
	defer cancel()
	_, err := s.fleet.driver.apply(ctx, s.fleet.layout.objectsPath)
	must.NoError(s, err)
	must.NoError(s, s.fleet.driver.waitServing(ctx, s.fleet.layout.engineNames()))
	for _, proxy := range s.fleet.layout.proxies {
		s.eventually("service by "+proxy.name, func() bool { return s.ask(proxy, trace.ClassCaption).outcome == caller.OutcomeCompleted })
	}
}

// takeSlot waits until fewer than maxScenarios fleets run.
func takeSlot(t *testing.T) {
	t.Helper()
	t.Parallel()
	scenarioSlots <- struct{}{}
	t.Cleanup(func() { <-scenarioSlots })
}

// finish ends the load and checks what must always hold.
func (s *scenario) finish() {
	s.Helper()
	must.NoError(s, s.automation.finish())
	report, items := s.load.finish()
	s.summary.count(report)
	for _, failure := range s.load.failures {
		s.Log(failure)
	}
	must.Positive(s, s.summary.CompletedInDeadline, must.Sprint("the load has to run"))
	must.Positive(s, s.automation.accepted, must.Sprint("changes have to be accepted"))
	must.NoError(s, s.fleet.audit(&s.summary, items))
	must.NoError(s, s.fleet.stop(&s.summary))
	must.SliceEmpty(s, s.summary.Violations, must.Sprint(s.summary.Violations))
	s.Logf("offered %d, in deadline %d, unknown %d, refused %d, ran once %d, changes accepted %d of %d",
		s.summary.Offered, s.summary.CompletedInDeadline, s.summary.Unknown, s.summary.RefusedNotRun,
		s.summary.RanOnce, s.automation.accepted, s.automation.tried)
}

// eventually waits until the condition holds.
func (s *scenario) eventually(what string, condition func() bool) {
	s.Helper()
	started := time.Now()
	defer func() { s.Logf("%s: after %s", what, time.Since(started).Round(scenarioPause)) }()
	for !condition() {
		if time.Since(started) > scenarioBound {
			s.Fatalf("not within %s: %s", scenarioBound, what)
		}
		if cause := context.Cause(s.fleet.run.context); cause != nil {
			s.Fatalf("%s: %v", what, cause)
		}
		time.Sleep(scenarioPause)
	}
}

func (s *scenario) status() operatorapi.Status {
	s.Helper()
	status, err := s.client.Status(context.Background())
	must.NoError(s, err)
	return status
}

// leader names the leading member.
func (s *scenario) leader() string { return strings.TrimSpace(s.status().Leader) }

// otherMembers names the members but the one.
func (s *scenario) otherMembers(name string) []string {
	var others []string
	for _, member := range s.fleet.layout.members {
		if member.name != name {
			others = append(others, member.name)
		}
	}
	return others
}

// memberMark is what a member's connections to others begin with.
func (s *scenario) memberMark(name string) []byte {
	s.Helper()
	for _, member := range s.status().Members {
		if member.Name == name {
			return binary.BigEndian.AppendUint64(nil, member.ID)
		}
	}
	s.Fatalf("no member %s", name)
	return nil
}

// waitWhole returns once every member is active and one loss can be borne.
func (s *scenario) waitWhole() {
	s.Helper()
	s.eventually("three members with the whole log", func() bool {
		status := s.status()
		return status.FurtherLosses == 1 && len(status.Repairing) == 0 && len(status.Members) == len(s.fleet.layout.members)
	})
}

func (s *scenario) process(name string) *process {
	s.Helper()
	found := s.fleet.run.find(name)
	must.NotNil(s, found, must.Sprint(name))
	return found
}

func (s *scenario) kill(name string) *process {
	s.Helper()
	child := s.process(name)
	child.kill()
	return child
}

func (s *scenario) restart(child *process) {
	s.Helper()
	must.NoError(s, s.fleet.run.restart(child))
}

func (s *scenario) signal(name string, signal syscall.Signal) {
	s.Helper()
	must.NoError(s, s.process(name).command.Process.Signal(signal))
}

// setVersion has the canary engine load another version.
func (s *scenario) setVersion(version string) {
	s.Helper()
	key := api.Key{Kind: api.KindIntent, Name: "narrator-canary"}
	object, err := s.client.Object(context.Background(), key)
	must.NoError(s, err)
	object.Intent.Spec.Version = version
	result, err := s.client.Transact(context.Background(), api.Transaction{
		OperationID: "version-" + version,
		Writes:      []api.Write{{Object: *object}},
		AllowBroad:  true,
	})
	must.NoError(s, err)
	must.Eq(s, api.OutcomeAccepted, result.Code)
}

// waitVersion returns once the canary engine serves the version.
func (s *scenario) waitVersion(version string) {
	s.Helper()
	s.eventually("version "+version+" served", func() bool {
		for _, engine := range s.status().Engines {
			if engine.Name == canary {
				return engine.Phase == api.PhaseServing && engine.Assignment.Version == version
			}
		}
		return false
	})
}

// canary is the engine that the canary intent selects alone.
const canary = "narrator-9"

func (s *scenario) engineAddress(name string) string {
	s.Helper()
	for _, engine := range s.fleet.layout.engines {
		if engine.name == name {
			return engine.address
		}
	}
	s.Fatalf("no engine %s", name)
	return ""
}

// entries reads an engine's ledger; none while the engine is down.
func (s *scenario) entries(name string) []ledger.Entry {
	ctx, cancel := context.WithTimeout(context.Background(), scenarioAttempt)
	defer cancel()
	page, err := readLedger(ctx, s.engineAddress(name))
	if err != nil {
		return nil
	}
	return page.Entries
}

// lastPhase is the phase that an engine last recorded.
func (s *scenario) lastPhase(name string) api.EnginePhase {
	var phase api.EnginePhase
	for _, entry := range s.entries(name) {
		if entry.Event == ledger.EventPhase {
			phase = api.EnginePhase(entry.Reason)
		}
	}
	return phase
}
