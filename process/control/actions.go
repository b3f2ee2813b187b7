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
	// actionShards is the number of separately locked parts of an actionRunner.
	actionShards = 8
	// maxActions bounds the concurrent actions of one shard. An action that finds the shard full is
	// proposed again in a later round of the controller.
	maxActions = 32
	// platformAction is the key of the machine list action. It cannot collide with an engine, since
	// no engine has an empty name.
	platformAction = ""
)

// actionRunner executes the controller's actions concurrently, at most one per engine.
type actionRunner struct {
	tasks   *leaderTasks
	term    *termState
	context context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
	shards  [actionShards]actionShard
}

type actionShard struct {
	sync.Mutex
	busy map[string]bool
	// invalid maps an engine to the fence, the term and log index, of the last order that it
	// rejected as invalid.
	invalid map[string]api.Fence
}

func newActionRunner(d *leaderTasks, term *termState) *actionRunner {
	r := &actionRunner{tasks: d, term: term}
	r.context, r.cancel = context.WithCancel(context.Background())
	for i := range r.shards {
		r.shards[i].busy = map[string]bool{}
		r.shards[i].invalid = map[string]api.Fence{}
	}
	return r
}

// close cancels the running actions and waits for them.
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

// lastInvalidFence returns the fence of the last order that the engine rejected as invalid.
func (r *actionRunner) lastInvalidFence(engine string) api.Fence {
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

// start runs the action in its own goroutine, unless an action for the same engine is running or
// the shard is full.
func (r *actionRunner) start(action controller.Action) {
	engine, execute := r.prepare(action)
	if !r.shard(engine).tryAcquire(engine) {
		return
	}
	r.done.Go(func() {
		execute()
		r.shard(engine).release(engine)
		r.tasks.wake()
	})
}

func (s *actionShard) tryAcquire(engine string) bool {
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

// prepare returns the engine that an action concerns and the function that executes the action.
func (r *actionRunner) prepare(action controller.Action) (engine string, execute func()) {
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
		panic("control: unknown controller action type")
	}
}

// propose commits a command. If the outcome is unknown, the controller returns the command again in
// later rounds as long as it is needed; the state machine rejects it if it no longer applies.
func (r *actionRunner) propose(command state.Command) {
	result, err := r.tasks.group.propose(r.context, command)
	if err != nil {
		r.backOff()
		return
	}
	switch command.Kind {
	case state.CommandOpenOrder:
		r.recordOpened(command.OpenOrder, result.(state.OpenOrderResult))
	case state.CommandCloseOrder:
		r.recordClosed(command.CloseOrder, result.(state.CloseOrderResult))
	case state.CommandMachines:
		r.term.setMachines(*command.Machines)
		event.MachinesChanged.Log(r.tasks.logger, "leaving", len(command.Machines.Leaving), "gone", len(command.Machines.Gone))
	}
}

func (r *actionRunner) recordOpened(request *state.OpenOrder, result state.OpenOrderResult) {
	if result.Code != state.OpenOrderOpened {
		return
	}
	r.tasks.group.metrics.ordersOpened.Inc()
	event.OrderOpened.Log(r.tasks.logger, "engine", request.Engine, "fence_term", result.Order.Fence.Term,
		"fence_index", result.Order.Fence.Index, "model", request.Assignment.Model, "version", request.Assignment.Version,
		"role", request.Assignment.Role, "reason", request.Reason)
}

func (r *actionRunner) recordClosed(request *state.CloseOrder, result state.CloseOrderResult) {
	if !result.Closed {
		r.backOff()
		return
	}
	if request.Reason == state.CloseDone {
		r.term.recordChange(request.Engine)
	}
	r.tasks.group.metrics.ordersClosed.WithLabelValues(closeReason(request.Reason)).Inc()
	event.OrderClosed.Log(r.tasks.logger, "engine", request.Engine, "fence_term", request.Fence.Term,
		"fence_index", request.Fence.Index, "reason", closeReason(request.Reason))
}

// closeReason returns the name of a reason in logs and metrics. An incarnation is one run of an
// engine's process: an order to an earlier one is closed, since the engine was restarted.
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

// backOff holds the engine's slot for a while, so that a command that cannot be committed now is
// not retried in a tight loop.
func (r *actionRunner) backOff() {
	_ = pause.Sleep(r.context, r.tasks.group.config.Durations.Reconcile)
}

// holdsLease reports whether this member still holds the leader lease of this term. It is checked
// immediately before each order is sent.
func (r *actionRunner) holdsLease() bool {
	number, valid := r.tasks.group.Lease(r.context)
	return valid && number == r.term.number
}

func (r *actionRunner) send(action controller.Send) {
	if !r.holdsLease() {
		return
	}
	askedAt := monotonic()
	r.tasks.group.metrics.ordersSent.Inc()
	reply, err := r.tasks.client.Send(r.context, action.Address, action.Order)
	if err = replyFrom(action.Engine, reply, err); err != nil {
		r.handleLostReply(action.Engine, err)
		return
	}
	if reply.Code == engineapi.OrderInvalid {
		event.OrderRefused.Log(r.tasks.logger, "engine", action.Engine, "fence_term", action.Order.Fence.Term,
			"fence_index", action.Order.Fence.Index)
		r.recordInvalid(action.Engine, action.Order.Fence)
	}
	r.term.poller.Record(action.Engine, action.Address, reply.State, askedAt)
}

// void commits that an order is never to be executed, and tells its engine.
func (r *actionRunner) void(action controller.Void) {
	r.term.recordFailure(action.Engine, action.Order.Assignment)
	result, err := r.tasks.group.propose(r.context, action.Command())
	if err != nil {
		r.backOff()
		return
	}
	voided := result.(state.VoidOrderResult)
	if !voided.Open || !r.holdsLease() {
		return
	}
	askedAt := monotonic()
	r.tasks.group.metrics.ordersSent.Inc()
	reply, err := r.tasks.client.Void(r.context, action.Address, action.Request(voided.Fence))
	if err = replyFrom(action.Engine, reply, err); err != nil {
		r.handleLostReply(action.Engine, err)
		return
	}
	r.term.poller.Record(action.Engine, action.Address, reply.State, askedAt)
}

// errOtherEngine means that the reply comes from another engine than the one addressed.
var errOtherEngine = errors.New("control: the reply comes from another engine")

// replyFrom returns the error of a call, or errOtherEngine if another engine replied: the address
// may have been reassigned, and the reply of its new owner says nothing about this engine's order.
func replyFrom(engine string, reply engineapi.OrderReply, err error) error {
	if err == nil && reply.State.Engine != engine {
		return errors.Wrap(errOtherEngine, reply.State.Engine)
	}
	return err
}

// handleLostReply triggers a poll of the engine, since an order whose reply was lost may or may not
// have been executed.
func (r *actionRunner) handleLostReply(engine string, err error) {
	r.tasks.group.metrics.ordersFailed.Inc()
	event.OrderSendFailed.Log(r.tasks.logger, "engine", engine, "err", err)
	r.term.poller.PollNow(engine)
	r.backOff()
}

// queryPause is the minimum time between two triggered polls of an engine.
const queryPause = 100 * time.Millisecond

// query triggers a poll of an engine.
func (r *actionRunner) query(action controller.Query) {
	r.term.poller.PollNow(action.Engine)
	_ = pause.Sleep(r.context, queryPause)
}
