package control

import (
	"context"

	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// stop performs a planned stop. It transfers leadership first; then subscribers switch to the new
// leader's address, the member leaves the group if it is not needed, and operator requests in flight
// are completed.
func (m *member) stop(cancelBackground context.CancelFunc) error {
	ctx, cancel := context.WithTimeout(context.Background(), m.config.Durations.Shutdown)
	defer cancel()
	m.tasks.stop()
	m.transferLeadership(ctx)
	m.feed.Wake()
	m.waitForSubscribers(ctx)
	left := m.leaveGroup()
	m.operator.shutdown(ctx)
	m.feed.Close()
	// Failing to transfer leadership is not an error: the others elect a leader.
	_ = m.replica.Stop(ctx)
	m.closeBackground(cancelBackground)
	event.ControlStopped.Log(m.logger)
	if err := m.replica.Err(); err != nil || !left {
		return err
	}
	return m.discardData()
}

// transferLeadership transfers leadership to another voter if this member leads.
func (m *member) transferLeadership(ctx context.Context) {
	if m.replica.Status().Role != raft.Leader {
		return
	}
	if err := m.replica.TransferLeadership(ctx, raft.None); err != nil {
		event.ControlHandoverFailed.Log(m.logger, "err", err)
	}
}

// waitForSubscribers keeps the streams open until all subscribers have switched to another member.
func (m *member) waitForSubscribers(ctx context.Context) {
	for m.feed.Subscribers() > 0 && m.replica.Status().Role != raft.Leader {
		if !pause.Sleep(ctx, bootstrapRetryInterval) {
			return
		}
	}
}

// stopAfterFailure stops the member after its storage has failed and returns the storage error.
func (m *member) stopAfterFailure(cancelBackground context.CancelFunc) error {
	err := m.replica.Err()
	event.ControlFailed.Log(m.logger, "err", err)
	m.tasks.stop()
	m.operator.close()
	m.feed.Close()
	m.closeBackground(cancelBackground)
	return errors.Wrap(err, "control: storage failed")
}

func (m *member) closeBackground(cancelBackground context.CancelFunc) {
	cancelBackground()
	_ = m.transport.Close()
	m.background.Wait()
}
