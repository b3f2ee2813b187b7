package feed

import (
	"context"
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/version/view"
)

// bulkPayload is the size in bytes from which a delta waits for one of the
// server's places for large ones.
const bulkThresholdBytes = 256 << 10

// bulkDelta is a large delta on its way to a subscriber, which then holds one
// of the server's places for such.
type bulkTransfer struct {
	held    bool
	version view.Version
	sentAt  time.Duration // when it was sent
}

// bulkKeepAlive is the time between two frames to a subscriber that waits for
// a place, shorter than its silence timeout: one that gave up would come back
// at the end of the queue, and the places would go to those about to give up.
const bulkKeepAlive = 500 * time.Millisecond

// beginBulk waits for a place for a large delta. The place is held until the
// subscriber has acknowledged the version: what is written may still wait in
// buffers on the way.
func (s *subscriber) acquireBulkSlot(ctx context.Context, writer *frame.Writer) error {
	s.lock.Lock()
	held := s.bulk.held
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
			s.bulk.held = true
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

// keepAlive writes a grant for no beat, which renews nothing.
func (s *subscriber) writeKeepAlive(ctx context.Context, writer *frame.Writer) error {
	leadership := s.server.config.Group.Leadership()
	if !leadership.Leads {
		return s.redirect(ctx, writer, leadership.Address)
	}
	if err := writer.WriteFrame(kindGrant, encodeGrant(grant{term: leadership.Term})); err != nil {
		return err
	}
	return writer.Flush()
}

// sendBulk notes what the subscriber has to acknowledge to free its place.
func (s *subscriber) recordBulkSent(to view.Version) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.bulk.version, s.bulk.sentAt = to, s.server.config.Clock()
}

// checkBulk frees the place once the large delta is acknowledged. One that is
// slow to do so goes on without the place, since others wait: to cut it off
// would only make it ask for the same again.
func (s *subscriber) releaseBulkIfDone(acked view.Version) {
	s.lock.Lock()
	bulk := s.bulk
	s.lock.Unlock()
	if !bulk.held || bulk.version.IsZero() {
		return
	}
	slow := s.server.config.Clock()-bulk.sentAt > s.server.config.SilenceTimeout
	if slow || acked.Compare(bulk.version) >= 0 {
		s.releaseBulkSlot()
	}
}

// endBulk frees the place, if the subscriber holds one.
func (s *subscriber) releaseBulkSlot() {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.bulk.held {
		s.bulk = bulkTransfer{}
		<-s.server.bulkSlots
	}
}
