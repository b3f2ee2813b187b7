package control

import (
	"context"

	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// stop ends the member as planned. Leadership moves first; the subscribers
// follow the new leader's address, and operator requests in flight are answered.
func (m *member) stop(endWork context.CancelFunc) error {
	ctx, cancel := context.WithTimeout(context.Background(), m.config.Durations.Shutdown)
	defer cancel()
	m.duties.stop()
	m.handOver(ctx)
	m.feed.Wake()
	m.waitForSubscribers(ctx)
	m.operator.shutdown(ctx)
	m.feed.Close()
	// A leadership that is not handed over is no failure: the others elect a leader.
	_ = m.replica.Stop(ctx)
	m.finish(endWork)
	event.ControlStopped.Log(m.logger)
	return m.replica.Err()
}

// handOver moves leadership to another voter, if this member leads.
func (m *member) handOver(ctx context.Context) {
	if m.replica.Status().Role != raft.Leader {
		return
	}
	if err := m.replica.TransferLeadership(ctx, raft.None); err != nil {
		event.ControlHandoverFailed.Log(m.logger, "err", err)
	}
}

// waitForSubscribers keeps the streams until the subscribers have moved on.
func (m *member) waitForSubscribers(ctx context.Context) {
	for m.feed.Subscribers() > 0 && m.replica.Status().Role != raft.Leader {
		if !pause.Sleep(ctx, foundingPause) {
			return
		}
	}
}

// fail ends the member after its storage has failed.
func (m *member) fail(endWork context.CancelFunc) error {
	err := m.replica.Err()
	event.ControlFailed.Log(m.logger, "err", err)
	m.duties.stop()
	m.operator.close()
	m.feed.Close()
	m.finish(endWork)
	return errors.Wrap(err, "control: storage")
}

func (m *member) finish(endWork context.CancelFunc) {
	endWork()
	_ = m.transport.Close()
	m.background.Wait()
}
