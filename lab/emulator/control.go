package emulator

import (
	"time"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/planner"
)

// control stands for the control group: it plans, commits orders and carries
// them out on the engines.
type control struct {
	run     *run
	intent  *api.Intent
	index   uint64 // log index of the last order
	pending map[*host]*api.Order
	changed map[*host]time.Duration // when the last change ended
}

func newControl(r *run) *control {
	return &control{
		run:     r,
		intent:  &api.Intent{Metadata: api.Metadata{Name: r.config.Deployment}, Spec: r.config.Intent},
		pending: map[*host]*api.Order{},
		changed: map[*host]time.Duration{},
	}
}

// firstAssignments is the planner's plan for engines that are all idle.
func (c *control) firstAssignments(names []string) map[string]api.Assignment {
	input := planner.Input{Intents: []*api.Intent{c.intent}}
	for _, name := range names {
		input.Engines = append(input.Engines, planner.Engine{
			Name: name, Intent: c.intent.Name, Phase: api.PhaseIdle, SinceChange: -1,
		})
	}
	assignments := map[string]api.Assignment{}
	for _, decision := range c.run.config.Planner.Plan(input) {
		assignments[decision.Engine] = decision.Assignment
	}
	return assignments
}

// plan asks the planner and commits its decisions.
func (c *control) plan() {
	c.closeOrders()
	input := planner.Input{
		Now:     c.run.now,
		Intents: []*api.Intent{c.intent},
		Demand:  []planner.Demand{c.run.demand.measured(c.intent.Name)},
	}
	byName := map[string]*host{}
	for _, h := range c.run.hosts {
		byName[h.name] = h
		input.Engines = append(input.Engines, c.engine(h))
	}
	for _, decision := range c.run.config.Planner.Plan(input) {
		c.commit(byName[decision.Engine], decision)
	}
}

func (c *control) engine(h *host) planner.Engine {
	state := h.model.State()
	engine := planner.Engine{
		Name:        h.name,
		Intent:      c.intent.Name,
		Zone:        h.zone,
		Phase:       h.phase(),
		Assignment:  h.believe.assignment,
		SinceChange: -1,
	}
	if order := c.pending[h]; order != nil {
		engine.Pending = &order.Assignment
	}
	if ended, changed := c.changed[h]; changed {
		engine.SinceChange = c.run.now - ended
	}
	if !h.down {
		load := h.model.Load(c.run.now)
		engine.Running, engine.Waiting = load.Running, load.Waiting
		engine.WaitingTokens, engine.KVUsed = load.WaitingTokens, load.KVUsed
		if state.Phase == api.PhaseIdle {
			engine.Assignment = api.Assignment{}
		}
	}
	return engine
}

// commit opens an order: the fence is given here, the engine and the proxies
// learn of it after the commit.
func (c *control) commit(h *host, decision planner.Decision) {
	c.index++
	order := &api.Order{
		Fence:       api.Fence{Term: 1, Index: c.index},
		Engine:      h.name,
		Incarnation: h.model.Incarnation(),
		Assignment:  decision.Assignment,
		Reason:      decision.Reason,
	}
	c.pending[h] = order
	held := h.believe.assignment.Role
	inTrace := c.run.now < c.run.config.Duration
	if inTrace && held != api.RoleNone && held != decision.Assignment.Role {
		c.run.result.RoleChanges++
		c.run.result.Changes = append(c.run.result.Changes, Change{At: c.run.now, Engine: h.name, Reason: decision.Reason})
	}
	c.run.after(c.run.config.CommitLatency, func() { c.send(h, order) })
}

func (c *control) send(h *host, order *api.Order) {
	if h.down {
		return
	}
	reply := h.model.Order(c.run.now, *order)
	if reply.Code == engineapi.OrderAccepted {
		h.believe.admits = false
	}
	h.advance()
}

// closeOrders closes the orders that engines have carried out, and those whose
// engine has started anew and so will never carry them out.
func (c *control) closeOrders() {
	for _, h := range c.run.hosts {
		order := c.pending[h]
		if order == nil {
			continue
		}
		state := h.model.State()
		switch {
		case state.Incarnation != order.Incarnation:
			if !h.down {
				delete(c.pending, h)
			}
		case state.Order == nil && state.Fence == order.Fence:
			delete(c.pending, h)
			c.changed[h] = c.run.now
			h.believe = belief{assignment: state.Assignment, admits: state.Phase == api.PhaseServing}
		}
	}
}
