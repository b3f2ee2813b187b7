package enginemodel

import (
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/version/api"
)

// adapterLoadShare is the duration of loading adapters alone, as a share of
// Config.WeightLoad.
const adapterLoadShare = 0.1

// Load says which weights an engine needs. The model's weights come first.
type Load struct {
	Fence    api.Fence
	Model    string // "" when the model's weights are there already
	Version  string
	Adapters []string // not loaded yet
}

// orderState is what an engine knows of orders. The fence only rises within an
// incarnation: it is set by an accepted order or void, both only when strictly
// above it. So no order can be accepted twice, and none that is older than
// another that was accepted.
type orderState struct {
	phase      api.EnginePhase
	assignment api.Assignment
	fence      api.Fence
	open       *api.Order
	done       api.Fence // of the last order that was carried out
	voided     api.Fence // highest fence given by a void request
	changeEnd  time.Duration
	loading    bool // waits for FinishLoad
}

// restPhase is the phase of an engine without an open order.
func restPhase(assignment api.Assignment) api.EnginePhase {
	if assignment.Model == "" || assignment.Role == api.RoleNone {
		return api.PhaseIdle
	}
	return api.PhaseServing
}

// Order accepts or refuses an order. An accepted order changes nothing before
// every admitted run has ended.
func (e *Engine) Order(now time.Duration, order api.Order) engineapi.OrderReply {
	code := e.judgeOrder(&order)
	if code == engineapi.OrderAccepted && e.orders.fence.Less(order.Fence) {
		e.accept(now, order)
	}
	return engineapi.OrderReply{Code: code, State: e.State()}
}

func (e *Engine) judgeOrder(order *api.Order) engineapi.OrderCode {
	switch {
	case !validOrder(e.config.Engine, order):
		return engineapi.OrderInvalid
	case order.Incarnation != e.incarnation:
		return engineapi.OrderOtherIncarnation
	case e.orders.fence.Less(order.Fence):
		if e.orders.open != nil {
			return engineapi.OrderBusy
		}
		return engineapi.OrderAccepted
	}
	return e.judgeOldOrder(order)
}

// judgeOldOrder answers an order whose fence is not above the engine's own.
func (e *Engine) judgeOldOrder(order *api.Order) engineapi.OrderCode {
	open := e.orders.open
	switch {
	case open != nil && order.Fence == open.Fence:
		if order.Assignment.Equal(open.Assignment) {
			return engineapi.OrderAccepted // a resend of the order being carried out
		}
		return engineapi.OrderInvalid
	case order.Fence == e.orders.done:
		return engineapi.OrderDone
	case e.orders.done.Less(order.Fence) && !e.orders.voided.Less(order.Fence):
		return engineapi.OrderVoid // above the last one done, so it was never carried out
	}
	return engineapi.OrderStaleFence
}

func validOrder(engine string, order *api.Order) bool {
	if order.Engine != engine || order.Fence.IsZero() {
		return false
	}
	switch order.Assignment.Role {
	case api.RoleNone:
		return order.Assignment.Model == "" && order.Assignment.Version == "" && len(order.Assignment.Adapters) == 0
	case api.RolePrefill, api.RoleDecode, api.RoleMixed:
		return order.Assignment.Model != "" && order.Assignment.Version != ""
	}
	return false
}

func (e *Engine) accept(now time.Duration, order api.Order) {
	e.orders.fence = order.Fence
	if order.Assignment.Equal(e.orders.assignment) {
		e.orders.done = order.Fence
		return
	}
	order.Assignment.Adapters = slices.Clone(order.Assignment.Adapters)
	e.orders.open = &order
	e.setPhase(now, api.PhaseDraining)
}

// advanceOrder starts the change once the engine is drained and ends it in time.
func (e *Engine) advanceOrder(now time.Duration) {
	if e.orders.phase == api.PhaseDraining && !e.busy() {
		e.startChange(now)
	}
	if e.orders.phase == api.PhaseChanging && now >= e.orders.changeEnd {
		e.endChange(now)
	}
}

func (e *Engine) startChange(now time.Duration) {
	load := e.neededLoad()
	duration := e.config.RoleChange
	switch {
	case load.Model != "":
		duration = e.config.WeightLoad
		// The old weights make room for the new ones and take all KV cache along.
		e.orders.assignment = api.Assignment{}
		e.cache.clear(now)
		e.staging.clear()
	case len(load.Adapters) > 0:
		duration = max(duration, time.Duration(float64(e.config.WeightLoad)*adapterLoadShare))
	}
	e.setPhase(now, api.PhaseChanging)
	needsLoad := load.Model != "" || len(load.Adapters) > 0
	if needsLoad {
		e.emit(Event{Kind: EventLoad, Load: load})
	}
	e.orders.loading = needsLoad && e.config.ExternalLoad
	e.orders.changeEnd = now + e.config.work(duration)
	if e.orders.loading {
		e.orders.changeEnd = Never
	}
}

// neededLoad compares the open order with what is loaded.
func (e *Engine) neededLoad() *Load {
	wanted, held := e.orders.open.Assignment, e.orders.assignment
	load := &Load{Fence: e.orders.open.Fence, Version: wanted.Version}
	if wanted.Model != held.Model || wanted.Version != held.Version {
		load.Model = wanted.Model
		held.Adapters = nil
	}
	for _, adapter := range wanted.Adapters {
		if !slices.Contains(held.Adapters, adapter) {
			load.Adapters = append(load.Adapters, adapter)
		}
	}
	return load
}

// FinishLoad ends the change that waits for the load with the fence; a load of
// an order that is no longer open is ignored.
func (e *Engine) FinishLoad(now time.Duration, fence api.Fence) bool {
	if !e.orders.loading || e.orders.open.Fence != fence {
		return false
	}
	e.endChange(now)
	return true
}

func (e *Engine) endChange(now time.Duration) {
	e.orders.assignment = e.orders.open.Assignment
	e.orders.done = e.orders.open.Fence
	e.closeOrder(now)
}

func (e *Engine) closeOrder(now time.Duration) {
	e.orders.open = nil
	e.orders.loading = false
	e.setPhase(now, restPhase(e.orders.assignment))
}

// Void raises the fence, so that no order below it is ever carried out. An open
// order below it is dropped: a draining engine serves on as it was; one that was
// loading weights is left without any.
func (e *Engine) Void(now time.Duration, request engineapi.VoidRequest) engineapi.OrderReply {
	code := engineapi.OrderVoid
	switch {
	case request.Fence.IsZero():
		code = engineapi.OrderInvalid
	case request.Incarnation != e.incarnation:
		code = engineapi.OrderOtherIncarnation
	case e.orders.fence.Less(request.Fence):
		e.raise(now, request.Fence)
	case request.Fence != e.orders.voided:
		code = engineapi.OrderStaleFence
	}
	return engineapi.OrderReply{Code: code, State: e.State()}
}

func (e *Engine) raise(now time.Duration, fence api.Fence) {
	e.orders.fence = fence
	e.orders.voided = fence
	if e.orders.open != nil {
		e.closeOrder(now)
	}
}

func (e *Engine) setPhase(now time.Duration, phase api.EnginePhase) {
	e.orders.phase = phase
	e.emit(Event{Kind: EventPhase})
	e.note(now)
}
