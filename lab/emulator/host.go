package emulator

import (
	"fmt"
	"math"
	"time"

	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/version/api"
)

// host is one engine's process.
type host struct {
	run    *run
	name   string
	zone   string
	model  *enginemodel.Engine
	down   bool
	stepAt time.Duration
	step   func()
	// active holds the stages that an engine has admitted and not ended.
	active map[*stage]bool

	cache   cacheView
	believe belief
}

// belief is what all proxies know of an engine by the replicated view and its
// refusals.
type belief struct {
	assignment api.Assignment
	admits     bool
	suspect    bool
}

func newHost(r *run, index int, assignment api.Assignment) *host {
	config := r.config.Engine
	config.Engine = fmt.Sprintf("engine-%02d", index+1)
	config.Incarnation = uint64(index + 1)
	config.Assignment = assignment
	config.Seed = r.config.Seed
	config.ExternalLoad = true
	h := &host{
		run:    r,
		name:   config.Engine,
		zone:   r.zones[index%len(r.zones)],
		model:  enginemodel.New(config),
		stepAt: math.MaxInt64,
		active: map[*stage]bool{},
	}
	h.step = h.stepIfDue
	h.believe = belief{assignment: assignment, admits: assignment.Role != api.RoleNone}
	return h
}

func (h *host) stepIfDue() {
	if h.stepAt == h.run.now {
		h.advance()
	}
}

// advance steps the engine and handles what happened.
func (h *host) advance() {
	next, events := h.model.Step(h.run.now)
	for i := range events {
		h.handle(&events[i])
	}
	h.stepAt = next
	if next != enginemodel.Never {
		h.run.at(next, h.step)
	}
}

func (h *host) handle(event *enginemodel.Event) {
	switch event.Kind {
	case enginemodel.EventToken:
		event.Request.Context.(*stage).token(event)
	case enginemodel.EventFinished, enginemodel.EventExported, enginemodel.EventCancelled:
		ended := event.Request.Context.(*stage)
		delete(h.active, ended)
		ended.end(event)
	case enginemodel.EventLoad:
		h.run.store.load(h, event.Load.Fence)
	}
}

// admit hands a request to the engine at the present time.
func (h *host) admit(s *stage, request enginemodel.Request) enginemodel.Admission {
	request.Context = s
	admission := h.model.Admit(h.run.now, request)
	if admission.Admitted {
		h.active[s] = true
		h.advance()
	}
	return admission
}

func (h *host) cancel(key enginemodel.RunKey) {
	if h.down {
		return
	}
	h.model.Cancel(h.run.now, key)
	h.advance()
}

// crash loses the process with everything in it.
func (h *host) crash(back time.Duration) {
	h.model.Crash(h.run.now, h.model.Incarnation()+1000)
	h.down = true
	h.stepAt = math.MaxInt64
	h.cache = cacheView{}
	broken := h.sortedActive()
	clear(h.active)
	for _, s := range broken {
		s := s
		h.run.after(h.run.latency(s.flow.proxy.zone, h.zone), func() { s.broken() })
	}
	h.run.after(h.run.config.CommitLatency, func() {
		h.believe = belief{}
	})
	h.run.after(back, func() { h.down = false })
}

// sortedActive returns the active stages in the order of their start.
func (h *host) sortedActive() []*stage {
	list := make([]*stage, 0, len(h.active))
	for s := range h.active {
		list = append(list, s)
	}
	sortStages(list)
	return list
}

// phase is the engine's phase as the control group learns it.
func (h *host) phase() api.EnginePhase {
	if h.down {
		return api.PhaseUnknown
	}
	return h.model.State().Phase
}

// weightStore serves a bounded number of weight loads at once.
type weightStore struct {
	run     *run
	running int
	waiting []func()
}

func (w *weightStore) load(h *host, fence api.Fence) {
	incarnation := h.model.Incarnation()
	duration := h.run.config.Engine.WeightLoad
	start := func() {
		w.running++
		w.run.after(duration, func() {
			w.finish()
			if h.model.Incarnation() == incarnation && h.model.FinishLoad(w.run.now, fence) {
				h.advance()
			}
		})
	}
	if w.running >= w.run.config.WeightLoads {
		w.waiting = append(w.waiting, start)
		return
	}
	start()
}

func (w *weightStore) finish() {
	w.running--
	if len(w.waiting) == 0 {
		return
	}
	next := w.waiting[0]
	w.waiting = w.waiting[1:]
	next()
}
