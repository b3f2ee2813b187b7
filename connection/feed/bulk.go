package feed

import (
	"context"
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/version/view"
)

// bulkThresholdBytes is the payload size from which a delta has to wait for one of the server's
// bulk slots.
const bulkThresholdBytes = 256 << 10

// bulkTransfer is a large delta in transit to a subscriber. The subscriber holds a bulk slot of
// the server until the transfer is done.
type bulkTransfer struct {
	active  bool
	version view.Version
	sentAt  time.Duration
}

// bulkKeepAlive is the interval between keep-alive frames to a subscriber that waits for a bulk
// slot. It must be shorter than the silence timeout of each client (DefaultSilenceTimeout), which
// the server does not know. A client that timed out would reconnect at the end of the queue, and
// the slots would go to clients that are about to time out themselves.
const bulkKeepAlive = 500 * time.Millisecond

// acquireBulkSlot waits for a bulk slot, writing keep-alive frames meanwhile, and fails with a
// redirect if the member stops leading. The slot is held until the subscriber holds the version,
// since written data may still be in buffers along the path.
func (s *subscriber) acquireBulkSlot(ctx context.Context, writer *frame.Writer) error {
	s.lock.Lock()
	held := s.bulk.active
	s.lock.Unlock()
	if held {
		return nil
	}
	ticker := time.NewTicker(bulkKeepAlive)
	defer ticker.Stop()
	for {
		select {
		case s.server.bulkSlots <- struct{}{}:
			s.lock.Lock()
			defer s.lock.Unlock()
			s.bulk.active = true
			return nil
		case <-ticker.C:
			if err := s.writeKeepAlive(ctx, writer); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// writeKeepAlive writes a grant for sequence 0, which renews no lease. It redirects the subscriber
// if the member does not lead.
func (s *subscriber) writeKeepAlive(ctx context.Context, writer *frame.Writer) error {
	leadership := s.server.config.Group.Leadership()
	if !leadership.Leads {
		return s.redirect(ctx, writer, leadership.Address)
	}
	if err := writer.WriteFrame(kindLeaseGrant, encodeLeaseGrant(leaseGrant{term: leadership.Term})); err != nil {
		return err
	}
	return writer.Flush()
}

// recordBulkSent records the version that the subscriber has to hold to release its bulk slot.
func (s *subscriber) recordBulkSent(to view.Version) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.bulk.version, s.bulk.sentAt = to, s.server.config.Clock()
}

// releaseBulkIfDone releases the bulk slot once the subscriber holds the version, or when it has
// taken longer than the silence timeout, because others are waiting. In the latter case the
// transfer continues, since a disconnected subscriber would request the same delta again.
func (s *subscriber) releaseBulkIfDone(held view.Version) {
	s.lock.Lock()
	bulk := s.bulk
	s.lock.Unlock()
	if !bulk.active || bulk.version.IsZero() {
		return
	}
	slow := s.server.config.Clock()-bulk.sentAt > s.server.config.SilenceTimeout
	if slow || held.Compare(bulk.version) >= 0 {
		s.releaseBulkSlot()
	}
}

// releaseBulkSlot releases the bulk slot if the subscriber holds one.
func (s *subscriber) releaseBulkSlot() {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.bulk.active {
		s.bulk = bulkTransfer{}
		<-s.server.bulkSlots
	}
}
