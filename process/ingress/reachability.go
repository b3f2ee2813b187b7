package ingress

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/request/reach"
)

// A proxy can lose its links to all replicas while its callers, the control group and the other
// proxies still reach it. It then fails at every replica, and must neither blame the replicas nor keep
// its callers waiting:
//
//   - After each failure it waits until a replica has been reached, or until new connections to several
//     replicas have failed. Only in the first case is the failure reported to the control group.
//   - While partitioned it is not ready, so that callers are directed to other proxies, and refuses
//     requests at once.
//   - It goes on opening connections, without any caller, and is ready again with the first one.

const (
	// verifyGrace is how long data from a replica is awaited before a connection is opened to verify
	// that one is reached.
	verifyGrace = 10 * time.Millisecond
	// roundSize is the number of replicas to which one round opens connections, in stages (see
	// connectAny). There are many, since a few replicas that are
	// gone and still listed do not show a partition.
	roundSize = 1 + stageGrowth + stageGrowth*stageGrowth
	// minRoundSize is the least number of replicas that can show a partition: if there is a single one,
	// its failure cannot be distinguished from a partition, and no other one could serve.
	minRoundSize = 2
	// reconnectSize is the number of replicas to which a round opens connections while partitioned.
	reconnectSize = 1 + stageGrowth
	// reconnectInterval is the pause between two rounds while partitioned.
	reconnectInterval = 200 * time.Millisecond
	// stallTime is how long a request goes unanswered, while nothing is received from any replica,
	// until a connection is opened to verify that one is reached. minStallInterval is the least time
	// between two such connections.
	stallTime        = 400 * time.Millisecond
	minStallInterval = time.Second
	// maxVerifyTime limits the wait for the result; a round takes less.
	maxVerifyTime = time.Second
	// liveTime is how long open connections are assumed to work after data was received on one.
	liveTime = 500 * time.Millisecond
)

// reachability tracks whether this proxy reaches any replica.
type reachability struct {
	ingress *Ingress
	tracker *reach.Tracker
	// announce reports the readiness to the control group; nil without one.
	announce func()
	stalled  atomic.Int64 // when a stall was last verified, as a time.Duration

	lock      sync.Mutex
	verifying bool // verify runs
	// partitioned ends when the proxy is partitioned; it is replaced once it is connected again.
	partitioned context.Context
	partition   context.CancelFunc
}

func newReachability(ingress *Ingress) *reachability {
	created := &reachability{ingress: ingress, tracker: reach.NewTracker(), announce: func() {}}
	created.partitioned, created.partition = context.WithCancel(context.Background())
	return created
}

// isPartitioned reports whether this proxy reaches no replica.
func (r *reachability) isPartitioned() bool { return r.tracker.State() == reach.Partitioned }

// hasLiveConnections reports whether a replica has answered recently, as it may on a connection that
// was opened before the partition.
func (r *reachability) hasLiveConnections() bool {
	return r.ingress.now()-r.tracker.ReceivedAt() < liveTime
}

// onPartition calls the function when the proxy becomes partitioned, at once if it is, unless the
// returned function is called before.
func (r *reachability) onPartition(call func()) (stop func() bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.partitioned.Err() != nil && !r.isPartitioned() {
		r.partitioned, r.partition = context.WithCancel(context.Background())
	}
	return context.AfterFunc(r.partitioned, call)
}

// recordFailure records a failure of a replica and has it verified.
func (r *reachability) recordFailure(failure reach.Failure) {
	if r.tracker.RecordFailure(r.ingress.now(), failure) && r.beginVerifying() {
		go r.verify()
	}
}

// beginVerifying returns false if it is being verified already.
func (r *reachability) beginVerifying() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	begins := !r.verifying
	r.verifying = true
	return begins
}

// endVerifying returns true, and lets the next failure be verified anew, if a replica is reached.
func (r *reachability) endVerifying() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.verifying = r.tracker.State() != reach.Connected
	return !r.verifying
}

// recordStall has it verified that a replica is reached if nothing was received since the given time.
func (r *reachability) recordStall(since time.Duration) {
	now, last := r.ingress.now(), r.stalled.Load()
	if r.tracker.ReceivedAt() >= since || last > 0 && now-time.Duration(last) < minStallInterval {
		return
	}
	if r.stalled.CompareAndSwap(last, int64(now)) {
		r.recordFailure(reach.NoResponse)
	}
}

// confirm waits until it is known whether a replica is reached, and returns false if none is. It does
// not wait for longer than ctx.
func (r *reachability) confirm(ctx context.Context) bool {
	timeout := time.NewTimer(maxVerifyTime)
	defer timeout.Stop()
	for {
		current, _, changed := r.tracker.Observe()
		if current != reach.Uncertain {
			return current == reach.Connected
		}
		select {
		case <-changed:
		case <-timeout.C:
			return true
		case <-ctx.Done():
			return true
		}
	}
}

// verify opens connections to replicas until one is reached or the proxy is closed.
func (r *reachability) verify() {
	ctx := r.ingress.requestContext
	_, _, changed := r.tracker.Observe()
	select {
	case <-changed:
	case <-time.After(verifyGrace):
	case <-ctx.Done():
		return
	}
	for !r.endVerifying() && ctx.Err() == nil {
		r.connectRound(ctx, roundSize)
		if r.isPartitioned() {
			r.awaitConnection(ctx)
		}
	}
}

// awaitConnection opens connections until one succeeds.
func (r *reachability) awaitConnection(ctx context.Context) {
	_, since, changed := r.tracker.Observe()
	for pause.Sleep(ctx, reconnectInterval) {
		r.connectRound(ctx, reconnectSize)
		select {
		case <-changed:
			event.ReplicasReachable.Log(r.ingress.logger, "after_ms", (r.ingress.now() - since).Milliseconds())
			r.announce()
			return
		default:
		}
	}
}

// connectRound opens connections to replicas, at most to the given number, and records the result.
func (r *reachability) connectRound(ctx context.Context, size int) {
	beganAt := r.ingress.now()
	addresses := r.ingress.upstreams.sampleAddresses(size)
	_, since, _ := r.tracker.Observe()
	if len(addresses) < minRoundSize || r.connectAny(ctx, addresses) {
		now := r.ingress.now()
		r.tracker.RecordConnection(now, now)
		return
	}
	now := r.ingress.now()
	if ctx.Err() == nil && r.tracker.RecordFailedRound(now, beganAt) {
		r.beginPartition(len(addresses), now-since)
	}
}

// beginPartition cancels what may be sent again elsewhere, and has callers directed to other proxies.
func (r *reachability) beginPartition(tried int, uncertain time.Duration) {
	now := r.ingress.now()
	event.ReplicasUnreachable.Log(r.ingress.logger, "tried", tried, "uncertain_ms", uncertain.Milliseconds(),
		"silent_ms", (now - r.tracker.ReceivedAt()).Milliseconds(), "in_flight", r.ingress.serving.Load())
	r.lock.Lock()
	r.partition()
	r.lock.Unlock()
	r.announce()
}

// awaitSilence returns true once nothing was received from any replica for stallTime, counted from
// the given time at the earliest: the open connections do not outlast the partition. It returns false
// if the partition or ctx ends first.
func (r *reachability) awaitSilence(ctx context.Context, since time.Duration) bool {
	for r.isPartitioned() {
		silent := r.ingress.now() - max(r.tracker.ReceivedAt(), since)
		if silent >= stallTime {
			return true
		}
		if !pause.Sleep(ctx, stallTime-silent) {
			return false
		}
	}
	return false
}
