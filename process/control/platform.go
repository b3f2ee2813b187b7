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
	"github.com/landingtrail/landingtrail/connection/orders"
	"github.com/landingtrail/landingtrail/connection/singleuse"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
)

// pathMachines is where the platform serves its list.
const pathMachines = "/machines"

// maxListBytes bounds the platform's answer.
const maxListBytes = 16 << 20

// machineState is the platform's word on a machine.
type machineState string

const machineLeaving machineState = "leaving"

// machineList is the platform's answer: the live and the leaving machines, as
// they were some time ago. A machine that is gone is not on it.
type machineList struct {
	Machines []struct {
		Name  string       `json:"name"`
		State machineState `json:"state"`
	} `json:"machines"`
}

// platformReader reads the platform's list while this member leads.
type platformReader struct {
	config Config
	logger log.Logger
	http   *http.Client

	lock   sync.Mutex
	listed map[string]machineState // the last list; nil while none was read
	known  map[string]bool         // every machine on any list of this leadership
	failed bool
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newPlatformReader(config Config, logger log.Logger) *platformReader {
	// The list is read with net/http: a breaker would keep the list out of reach
	// for a while after the platform has come back. A list does not say when it was
	// asked for, so each has a connection of its own.
	client := singleuse.NewClient(nil)
	client.Timeout = config.Durations.EngineTimeout
	return &platformReader{config: config, logger: logger, http: client}
}

// start begins to read the list; nothing is known from an earlier leadership.
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

func (p *platformReader) run(ctx context.Context) {
	for {
		list, err := p.read(ctx)
		p.keep(list, err)
		if !pause.Sleep(ctx, p.config.Durations.PlatformPoll) {
			return
		}
	}
}

func (p *platformReader) read(ctx context.Context) (machineList, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.config.PlatformAddress+pathMachines, nil)
	if err != nil {
		return machineList{}, errors.Wrap(err, "control: platform")
	}
	response, err := p.http.Do(request)
	if err != nil {
		return machineList{}, errors.Wrap(err, "control: platform")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return machineList{}, errors.Errorf("control: platform: status %d", response.StatusCode)
	}
	var list machineList
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&list); err != nil {
		return machineList{}, errors.Wrap(err, "control: platform")
	}
	return list, nil
}

// keep replaces the list. An empty one is taken for a fault: believing it would
// take the whole fleet away at once.
func (p *platformReader) keep(list machineList, err error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if err == nil && len(list.Machines) == 0 {
		err = errors.New("control: platform: the list is empty")
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

// machines returns what the platform says of the engines and back ends of the
// view, or nil while no list was read.
func (p *platformReader) machines(current *view.View, seen map[string]orders.Seen, now time.Duration) *state.Machines {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.listed == nil {
		return nil
	}
	result := &state.Machines{}
	silence := p.config.Durations.silenceOf(len(current.Engines))
	for name, engine := range current.Engines {
		before := engine.Status.Phase
		p.judge(result, machineRecord{
			name:        name,
			wasReported: before == api.PhaseLeaving || before == api.PhaseGone,
			answers:     now-seen[name].AskedAt < silence && seen[name].State.Engine == name,
		})
	}
	for _, service := range current.Services {
		reported := append(slices.Clone(service.Status.Leaving), service.Status.Gone...)
		for _, backend := range service.Spec.Backends {
			p.judge(result, machineRecord{name: backend.Name, wasReported: slices.Contains(reported, backend.Name)})
		}
	}
	return result
}

// machineRecord is what is known of a machine besides the platform's list.
type machineRecord struct {
	name        string
	wasReported bool // committed as leaving or gone
	answers     bool // an engine that has lately answered for itself
}

// judge adds a machine to the result if it is leaving or gone; the lock is
// held. A machine that is missing from the list is gone only if it was on one
// before, since the list also lags for machines that are new; and an engine
// that still answers for itself is not gone, whatever the list says.
func (p *platformReader) judge(result *state.Machines, machine machineRecord) {
	listed, found := p.listed[machine.name]
	missing := !found && (machine.wasReported || p.known[machine.name])
	switch {
	case found && listed == machineLeaving, missing && machine.answers && machine.wasReported:
		result.Leaving = append(result.Leaving, machine.name)
	case missing && !machine.answers:
		result.Gone = append(result.Gone, machine.name)
	}
}
