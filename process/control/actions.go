package control

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/process/controller"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/pkg/errors"
)

const (
	actionShards = 8
	// maxActions bounds the actions that are under way in one shard. An action
	// that finds no place is yielded again by a later round.
	maxActions = 32
	// platformAction stands for the machine list among the engines' names; no
	// engine has an empty name.
	platformAction = ""
)

// actionRunner carries out the controller's actions, one at a time for each engine.
type actionRunner struct {
	duties  *duties
	term    *termDuties
	context context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
	shards  [actionShards]actionShard
}

type actionShard struct {
	sync.Mutex
	busy map[string]bool
	// invalid holds the fence of the last order that the engine called invalid.
	invalid map[string]api.Fence
}

func newActionRunner(d *duties, term *termDuties) *actionRunner {
	r := &actionRunner{duties: d, term: term}
	r.context, r.cancel = context.WithCancel(context.Background())
	for i := range r.shards {
		r.shards[i].busy = map[string]bool{}
		r.shards[i].invalid = map[string]api.Fence{}
	}
	return r
}

// close ends what is under way and waits for it.
func (r *actionRunner) close() {
	r.cancel()
	r.done.Wait()
}

func (r *actionRunner) shard(engine string) *actionShard {
	var sum uint
	for i := range len(engine) {
		sum = sum*31 + uint(engine[i])
	}
	return &r.shards[sum%actionShards]
}

// refused returns the fence of the last order that the engine called invalid.
func (r *actionRunner) refused(engine string) api.Fence {
	shard := r.shard(engine)
	shard.Lock()
	defer shard.Unlock()
	return shard.invalid[engine]
}

func (r *actionRunner) recordInvalid(engine string, fence api.Fence) {
	shard := r.shard(engine)
	shard.Lock()
	defer shard.Unlock()
	shard.invalid[engine] = fence
}

// start carries the action out beside the loop, unless one for the same engine
// is under way.
func (r *actionRunner) start(action controller.Action) {
	engine, carryOut := r.prepare(action)
	if !r.shard(engine).take(engine) {
		return
	}
	r.done.Go(func() {
		carryOut()
		r.shard(engine).release(engine)
		r.duties.wake()
	})
}

func (s *actionShard) take(engine string) bool {
	s.Lock()
	defer s.Unlock()
	if s.busy[engine] || len(s.busy) >= maxActions {
		return false
	}
	s.busy[engine] = true
	return true
}

func (s *actionShard) release(engine string) {
	s.Lock()
	defer s.Unlock()
	delete(s.busy, engine)
}

func (r *actionRunner) prepare(action controller.Action) (engine string, carryOut func()) {
	switch action := action.(type) {
	case controller.Propose:
		return cmp.Or(action.Command.EngineName(), platformAction), func() { r.propose(action.Command) }
	case controller.Send:
		return action.Engine, func() { r.send(action) }
	case controller.Void:
		return action.Engine, func() { r.void(action) }
	case controller.Query:
		return action.Engine, func() { r.query(action) }
	default:
		panic("control: unknown action")
	}
}

// propose commits a command. A command whose outcome is unknown is yielded
// again if it is still needed; the state refuses what no longer fits.
func (r *actionRunner) propose(command state.Command) {
	result, err := r.duties.group.propose(r.context, command)
	if err != nil {
		r.pause()
		return
	}
	switch command.Kind {
	case state.CommandOpenOrder:
		r.opened(command.OpenOrder, result.(state.OpenOrderResult))
	case state.CommandCloseOrder:
		r.closed(command.CloseOrder, result.(state.CloseOrderResult))
	case state.CommandMachines:
		r.term.setMachines(*command.Machines)
		event.MachinesChanged.Log(r.duties.logger, "leaving", len(command.Machines.Leaving), "gone", len(command.Machines.Gone))
	}
}

func (r *actionRunner) opened(opening *state.OpenOrder, result state.OpenOrderResult) {
	if result.Code != state.OpenOrderOpened {
		return
	}
	r.duties.group.metrics.ordersOpened.Inc()
	event.OrderOpened.Log(r.duties.logger, "engine", opening.Engine, "fence_term", result.Order.Fence.Term,
		"fence_index", result.Order.Fence.Index, "model", opening.Assignment.Model, "version", opening.Assignment.Version,
		"role", opening.Assignment.Role, "reason", opening.Reason)
}

func (r *actionRunner) closed(closing *state.CloseOrder, result state.CloseOrderResult) {
	if !result.Closed {
		r.pause()
		return
	}
	if closing.Reason == state.CloseDone {
		r.term.noteChange(closing.Engine)
	}
	r.duties.group.metrics.ordersClosed.WithLabelValues(closeReason(closing.Reason)).Inc()
	event.OrderClosed.Log(r.duties.logger, "engine", closing.Engine, "fence_term", closing.Fence.Term,
		"fence_index", closing.Fence.Index, "reason", closeReason(closing.Reason))
}

func closeReason(reason state.CloseReason) string {
	switch reason {
	case state.CloseDone:
		return "done"
	case state.CloseVoid:
		return "void"
	case state.CloseOtherIncarnation:
		return "other_incarnation"
	default:
		return "unknown"
	}
}

// pause keeps the engine's place for a while, so that what cannot be committed
// now is not tried in a tight loop.
func (r *actionRunner) pause() {
	_ = pause.For(r.context, r.duties.group.config.Durations.Reconcile)
}

// leads reports whether this leadership holds its lease now. It is asked right
// before each order goes out.
func (r *actionRunner) leads() bool {
	number, valid := r.duties.group.Lease(r.context)
	return valid && number == r.term.number
}

func (r *actionRunner) send(action controller.Send) {
	if !r.leads() {
		return
	}
	askedAt := monotonic()
	r.duties.group.metrics.ordersSent.Inc()
	reply, err := r.duties.client.Send(r.context, action.Address, action.Order)
	if err = replyFrom(action.Engine, reply, err); err != nil {
		r.unanswered(action.Engine, err)
		return
	}
	if reply.Code == engineapi.OrderInvalid {
		event.OrderRefused.Log(r.duties.logger, "engine", action.Engine, "fence_term", action.Order.Fence.Term,
			"fence_index", action.Order.Fence.Index)
		r.recordInvalid(action.Engine, action.Order.Fence)
	}
	r.term.poller.Record(action.Engine, action.Address, reply.State, askedAt)
}

func (r *actionRunner) void(action controller.Void) {
	r.term.noteFailure(action.Engine, action.Order.Assignment)
	result, err := r.duties.group.propose(r.context, action.Command())
	if err != nil {
		r.pause()
		return
	}
	given := result.(state.VoidOrderResult)
	if !given.Open || !r.leads() {
		return
	}
	askedAt := monotonic()
	r.duties.group.metrics.ordersSent.Inc()
	reply, err := r.duties.client.Void(r.context, action.Address, action.Request(given.Fence))
	if err = replyFrom(action.Engine, reply, err); err != nil {
		r.unanswered(action.Engine, err)
		return
	}
	r.term.poller.Record(action.Engine, action.Address, reply.State, askedAt)
}

// errOtherEngine says that the answer is of another engine than the one asked.
var errOtherEngine = errors.New("control: another engine answers at the address")

// replyFrom returns the error of a call, or errOtherEngine: an address may have gone to
// another engine, whose answer says nothing of this one's order.
func replyFrom(engine string, reply engineapi.OrderReply, err error) error {
	if err == nil && reply.State.Engine != engine {
		return errors.Wrap(errOtherEngine, reply.State.Engine)
	}
	return err
}

// unanswered leaves the engine to the poller: nothing is assumed of an order
// whose answer was lost.
func (r *actionRunner) unanswered(engine string, err error) {
	r.duties.group.metrics.ordersFailed.Inc()
	event.OrderSendFailed.Log(r.duties.logger, "engine", engine, "err", err)
	r.term.poller.Poke(engine)
	r.pause()
}

// queryPause is how long an engine is left alone after it was poked.
const queryPause = 100 * time.Millisecond

func (r *actionRunner) query(action controller.Query) {
	r.term.poller.Poke(action.Engine)
	_ = pause.For(r.context, queryPause)
}
