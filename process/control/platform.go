package control

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/jsonlist"
	"github.com/landingtrail/landingtrail/connection/orders"
	"github.com/landingtrail/landingtrail/connection/singleuse"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
)

// pathMachines is the path of the platform's machine list.
const pathMachines = "/machines"

// Bounds of the platform's response.
const (
	maxListBytes = 16 << 20
	maxMachines  = 50_000
)

// machineState is the state of a machine as reported by the platform.
type machineState string

// machineLeaving is the only state that is distinguished; any other state means that the machine
// stays.
const machineLeaving machineState = "leaving"

// machineList is the platform's response: the live and the leaving machines, as of some time ago. A
// machine that is gone is missing from it.
type machineList struct {
	Machines machineEntries `json:"machines"`
}

// machineEntry is one machine in the list.
type machineEntry struct {
	Name  string       `json:"name"`
	State machineState `json:"state"`
}

// machineEntries are the machines of a list, at most maxMachines.
type machineEntries []machineEntry

// UnmarshalJSON decodes the list.
func (m *machineEntries) UnmarshalJSON(list []byte) (err error) {
	*m, err = jsonlist.Decode[machineEntry](list, maxMachines)
	return err
}

// platformReader reads the platform's machine list periodically while this member leads.
type platformReader struct {
	config Config
	logger log.Logger
	http   *http.Client

	lock   sync.Mutex              // guards listed, known and failed
	listed map[string]machineState // last list; nil until one was read
	known  map[string]bool         // all machines listed in this term of leadership
	failed bool
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newPlatformReader(config Config, logger log.Logger) *platformReader {
	// The client is plain net/http, since a circuit breaker would keep the list unavailable for a
	// while after the platform has recovered. A late response to an earlier request could not be told
	// apart, so each request uses a connection of its own.
	client := singleuse.NewClient(nil)
	client.Timeout = config.Durations.EngineTimeout
	return &platformReader{config: config, logger: logger, http: client}
}

// start begins to read the list, without any state from an earlier term of leadership.
func (p *platformReader) start() {
	if p.config.PlatformAddress == "" {
		return
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.listed, p.known, p.failed = nil, map[string]bool{}, false
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.done.Go(func() { p.run(ctx) })
}

func (p *platformReader) stop() {
	if p.config.PlatformAddress == "" {
		return
	}
	p.cancel()
	p.done.Wait()
}

// run reads the list until ctx ends.
func (p *platformReader) run(ctx context.Context) {
	for {
		list, err := p.read(ctx)
		p.applyList(list, err)
		if !pause.Sleep(ctx, p.config.Durations.PlatformPoll) {
			return
		}
	}
}

func (p *platformReader) read(ctx context.Context) (machineList, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.config.PlatformAddress+pathMachines, nil)
	if err != nil {
		return machineList{}, errors.Wrap(err, "control: read machine list")
	}
	response, err := p.http.Do(request)
	if err != nil {
		return machineList{}, errors.Wrap(err, "control: read machine list")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return machineList{}, errors.Errorf("control: read machine list: unexpected status %d", response.StatusCode)
	}
	var list machineList
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&list); err != nil {
		return machineList{}, errors.Wrap(err, "control: read machine list")
	}
	return list, nil
}

// applyList replaces the list, or logs the first of several failed reads. An empty list is treated
// as a fault: accepting it would remove all machines at once.
func (p *platformReader) applyList(list machineList, err error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if err == nil && len(list.Machines) == 0 {
		err = errors.New("control: the machine list is empty")
	}
	if err != nil {
		if !p.failed {
			event.PlatformUnusable.Log(p.logger, "err", err)
		}
		p.failed = true
		return
	}
	p.failed = false
	p.listed = make(map[string]machineState, len(list.Machines))
	for _, machine := range list.Machines {
		p.listed[machine.Name] = machine.State
		p.known[machine.Name] = true
	}
}

// leavingAndGone returns the leaving and gone machines among the engines and backends of the view,
// or nil until a list was read.
func (p *platformReader) leavingAndGone(current *view.View, observations map[string]orders.Observation, now time.Duration) *state.Machines {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.listed == nil {
		return nil
	}
	result := &state.Machines{}
	silence := p.config.Durations.engineSilenceFor(len(current.Engines))
	for name, engine := range current.Engines {
		before := engine.Status.Phase
		p.classify(result, machineRecord{
			name:        name,
			wasReported: before == api.PhaseLeaving || before == api.PhaseGone,
			responding:  now-observations[name].RequestedAt < silence && observations[name].State.Engine == name,
		})
	}
	for _, service := range current.Services {
		reported := append(slices.Clone(service.Status.Leaving), service.Status.Gone...)
		for _, backend := range service.Spec.Backends {
			p.classify(result, machineRecord{name: backend.Name, wasReported: slices.Contains(reported, backend.Name)})
		}
	}
	return result
}

// machineRecord is what is known of a machine apart from the platform's list.
type machineRecord struct {
	name        string
	wasReported bool // recorded as leaving or gone in the state
	responding  bool // an engine that has recently replied under its own name
}

// classify adds a machine to the result if it is leaving or gone. The caller holds the lock. A
// machine that is missing from the list is gone only if it was listed before, since the list also
// lags for new machines. An engine that still replies under its own name is not gone, whatever the
// list says: if it is missing from the list and was reported before, it counts as leaving.
func (p *platformReader) classify(result *state.Machines, machine machineRecord) {
	listed, found := p.listed[machine.name]
	missing := !found && (machine.wasReported || p.known[machine.name])
	switch {
	case found && listed == machineLeaving, missing && machine.responding && machine.wasReported:
		result.Leaving = append(result.Leaving, machine.name)
	case missing && !machine.responding:
		result.Gone = append(result.Gone, machine.name)
	}
}
