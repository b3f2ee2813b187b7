package feed

import (
	"context"
	"time"

	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
)

// bulkPayload is the size in bytes from which a delta waits for one of the
// server's places for large ones.
const bulkPayload = 256 << 10

// bulkDelta is a large delta on its way to a subscriber, which then holds one
// of the server's places for such.
type bulkDelta struct {
	held bool
	to   view.Version
	at   time.Duration // when it was sent
}

// beginBulk waits for a place for a large delta. A subscriber that gives up
// meanwhile has been sent nothing, so it has cost the others nothing. The place
// is held until the subscriber has acknowledged the version: what is written
// may still wait in buffers on the way.
func (s *subscriber) beginBulk(ctx context.Context) error {
	s.lock.Lock()
	held := s.bulk.held
	s.lock.Unlock()
	if held {
		return nil
	}
	select {
	case s.server.bulk <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.bulk.held = true
	return nil
}

// sendBulk notes what the subscriber has to acknowledge to free its place.
func (s *subscriber) sendBulk(to view.Version) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.bulk.to, s.bulk.at = to, s.server.config.Clock()
}

// checkBulk frees the place once the large delta is acknowledged. A subscriber
// that goes on beating without an acknowledgement is cut off, since others wait.
func (s *subscriber) checkBulk(acked view.Version) error {
	s.lock.Lock()
	bulk := s.bulk
	s.lock.Unlock()
	switch {
	case !bulk.held || bulk.to.IsZero():
		return nil
	case acked.Compare(bulk.to) >= 0:
		s.endBulk()
		return nil
	case s.server.config.Clock()-bulk.at > s.server.config.SilenceTimeout:
		return errors.Wrapf(errProtocol, "version %d was not acknowledged", bulk.to.Revision)
	}
	return nil
}

// endBulk frees the place, if the subscriber holds one.
func (s *subscriber) endBulk() {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.bulk.held {
		s.bulk = bulkDelta{}
		<-s.server.bulk
	}
}
