package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/pkg/errors"
)

// Placements are advisory and need no quorum. So while no leader serves a client, any member that
// has a view may place its requests. All clients try the members in the same order, the last leader
// first, so that clients that reach the same members share one placement state. Another daemon that
// the leader still serves may relay the requests to the leader (placementrelay.go). A standby
// member also exchanges reports of replica crashes, which are valid without a quorum because they
// are observations. It answers quota charges and accepts what daemons report: usage, demand, cached
// parts and requests in flight. It sends no view and no lease and commits no claim.

const (
	// standbyDelay is how long the client waits for a leader before it asks for standby. Most
	// leader changes complete within this time.
	standbyDelay = 150 * time.Millisecond
	// standbyDialTimeout bounds the dial to a member or relay that may be down.
	standbyDialTimeout = 300 * time.Millisecond
	// standbyPause is the delay after a round in which no member served standby.
	standbyPause = 300 * time.Millisecond
)

// unansweredLimit is how many consecutive placements and charges a leader may leave unanswered,
// without sending any other frame, before a standby session is used instead. The silence timeout
// closes the connection much later.
const unansweredLimit = 2

// isUnresponsive reports whether the peer has stopped answering placements and charges.
func (s *session) isUnresponsive() bool { return s.unanswered.Load() >= unansweredLimit }

// recordUnanswered counts a placement or charge request that was not answered in time.
func (s *session) recordUnanswered() {
	if !s.standby && s.unanswered.Add(1) == unansweredLimit {
		s.client.signalLeaderLost()
	}
}

// recordFrameReceived resets the count of unanswered placements and charges. If the leader was
// unresponsive, it ends the standby session.
func (s *session) recordFrameReceived() {
	if s.unanswered.Swap(0) < unansweredLimit || s.standby {
		return
	}
	if s.client.endStandby() && s.client.config.OnLeaderResumed != nil {
		s.client.config.OnLeaderResumed()
	}
}

// responsiveLeader returns the session with a leader that answers, or nil.
func (c *Client) responsiveLeader() *session {
	current := c.session.Load()
	if current == nil || current.isUnresponsive() {
		return nil
	}
	return current
}

// placementSession returns the session to use for placements, or nil: that of a responsive leader,
// else the standby session, else that of the unresponsive leader.
func (c *Client) placementSession() *session {
	if current := c.responsiveLeader(); current != nil {
		return current
	}
	if current := c.standby.Load(); current != nil {
		return current
	}
	return c.session.Load()
}

// placementSessionFor returns placementSession for the client's own requests, and the leader's
// session for those of another daemon: relayed requests go to the leader only.
func (c *Client) placementSessionFor(origin string) *session {
	if origin != "" {
		return c.session.Load()
	}
	return c.placementSession()
}

// removeSession removes a session that has ended.
func (c *Client) removeSession(ended *session) {
	c.standby.CompareAndSwap(ended, nil)
	if c.session.CompareAndSwap(ended, nil) {
		c.signalLeaderLost()
	}
}

// signalLeaderLost wakes runStandby to look for a standby member.
func (c *Client) signalLeaderLost() {
	select {
	case c.leaderLost <- struct{}{}:
	default:
	}
}

// endStandby closes the standby session because a leader serves the client again. It returns false
// if there is none.
func (c *Client) endStandby() (closed bool) {
	current := c.standby.Swap(nil)
	if current == nil {
		return false
	}
	_ = current.conn.Close()
	return true
}

// runStandby keeps a standby session open while no leader serves the client or the leader is
// unresponsive.
func (c *Client) runStandby() {
	for {
		select {
		case <-c.leaderLost:
		case <-c.context.Done():
			return
		}
		if c.session.Load() == nil {
			pause.Sleep(c.context, standbyDelay)
		}
		for c.context.Err() == nil && c.responsiveLeader() == nil {
			if !c.serveStandby() {
				pause.Sleep(c.context, jitteredBackoff(standbyPause))
			}
		}
	}
}

// serveStandby tries one member after the other and serves a standby session with the first that
// accepts until it ends. It returns false if none accepted and a standby session is still needed.
func (c *Client) serveStandby() bool {
	for _, address := range c.standbyOrder() {
		if c.context.Err() != nil || c.responsiveLeader() != nil {
			return true
		}
		accepted, err := c.serveStandbyConnection(address)
		event.FeedStandbyEnded.Log(c.config.Logger, "address", address, "stood_by", accepted, "err", err)
		if accepted {
			return true
		}
	}
	return false
}

// standbyOrder alternates between members and relaying daemons, since a client that is cut off
// from one member may be cut off from all. The order of the members is the same for all clients
// that followed the same leader.
func (c *Client) standbyOrder() []string {
	members, relays := c.memberOrder(), c.standbyRelays()
	if c.session.Load() != nil {
		// The leader is unresponsive, but other daemons may still be connected to it.
		members = slices.DeleteFunc(members, func(address string) bool { return address == *c.lastLeader.Load() })
		return append(relays, members...)
	}
	var order []string
	for i := range max(len(members), len(relays)) {
		if i < len(members) {
			order = append(order, members[i])
		}
		if i < len(relays) {
			order = append(order, relays[i])
		}
	}
	return order
}

// memberOrder returns the last leader's address, then the other member addresses sorted.
func (c *Client) memberOrder() []string {
	order := slices.Sorted(slices.Values(c.addresses()))
	last := c.lastLeader.Load()
	if last == nil {
		return order
	}
	order = slices.DeleteFunc(order, func(address string) bool { return address == *last })
	return slices.Insert(order, 0, *last)
}

// maxStandbyRelays limits the relaying daemons tried in one round.
const maxStandbyRelays = 3

// standbyRelays returns a random selection of daemons that may relay placements.
func (c *Client) standbyRelays() []string {
	if c.config.StandbyRelays == nil {
		return nil
	}
	relays := slices.Clone(c.config.StandbyRelays())
	rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	return relays[:min(len(relays), maxStandbyRelays)]
}

// serveStandbyConnection serves one standby session until it ends and reports whether the peer
// accepted it.
func (c *Client) serveStandbyConnection(address string) (bool, error) {
	ctx, cancel := context.WithTimeout(c.context, standbyDialTimeout)
	defer cancel()
	conn, err := c.config.Dial(ctx, "tcp", address)
	if err != nil {
		return false, errors.Wrap(err, "feed: dial")
	}
	current := newSession(c, conn)
	current.standby = true
	_, err = current.run(c.context)
	return current.ready, err
}

// receiveStandbyReady handles the peer's confirmation that it serves the standby session.
func (s *session) receiveStandbyReady() error {
	if !s.standby {
		return errors.Wrap(errProtocol, "standby frame on a leader session")
	}
	if s.ready {
		return nil
	}
	s.ready = true
	s.client.standby.Store(s)
	if s.client.responsiveLeader() != nil {
		s.client.endStandby() // a leader's session was ready first
		return nil
	}
	event.FeedStandby.Log(s.client.config.Logger, "address", s.conn.RemoteAddr())
	s.subscribeLimits()
	if s.client.config.OnServed != nil {
		s.client.config.OnServed()
	}
	return nil
}

// writeStandbyReady accepts a standby subscription if the member has a view to place by, and
// redirects the subscriber otherwise.
func (s *subscriber) writeStandbyReady(ctx context.Context, writer *frame.Writer, leader string) error {
	if s.server.config.Group.Version().Revision == 0 {
		return s.redirect(ctx, writer, leader)
	}
	return writer.WriteFrame(kindStandbyReady, nil)
}
