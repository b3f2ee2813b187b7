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

// A placement is advice: it promises nothing and needs no quorum. So while no
// leader serves a client, any member that has a view may place its requests. All
// clients ask in the same order, the last leader first, so that those that reach
// the same members share one board. Another daemon that the leader still serves
// may pass the questions on to it (placementrelay.go). Besides, it takes in and
// tells under which requests replicas ended, which are facts. Nothing else is served
// to them there: no view, no lease, no claim.

const (
	// standbyDelay is how long a lost leader is waited for before another
	// member is asked; most changes of the leader are over by then.
	standbyDelay = 150 * time.Millisecond
	// standbyDialTimeout bounds the wait for a member that may be gone.
	standbyDialTimeout = 300 * time.Millisecond
	// standbyPause is the wait after no member stood by.
	standbyPause = 300 * time.Millisecond
)

// unansweredLimit is how many placements a leader may leave unanswered in a row,
// with no other word from it, before others are asked as well. Its silence ends
// the connection much later.
const unansweredLimit = 2

// isSilent reports whether the leader has stopped answering placements.
func (s *session) isUnresponsive() bool { return s.unanswered.Load() >= unansweredLimit }

// missed notes a placement that was waited for in vain.
func (s *session) recordUnanswered() {
	if !s.standby && s.unanswered.Add(1) == unansweredLimit {
		s.client.signalLeaderLost()
	}
}

// heard notes a frame of the other side: it is there.
func (s *session) recordFrameReceived() {
	if s.unanswered.Swap(0) < unansweredLimit || s.standby {
		return
	}
	if s.client.endStandby() && s.client.config.Resumed != nil {
		s.client.config.Resumed()
	}
}

// leaderPlaces returns the session with a leader that answers, or nil.
func (c *Client) responsiveLeader() *session {
	current := c.session.Load()
	if current == nil || current.isUnresponsive() {
		return nil
	}
	return current
}

// placing returns the session that places requests now, or nil.
func (c *Client) placementSession() *session {
	if current := c.responsiveLeader(); current != nil {
		return current
	}
	if current := c.standby.Load(); current != nil {
		return current
	}
	return c.session.Load()
}

// placingFor is placing for a question of this client itself, and the leader's
// session for one of another daemon: what is passed on goes to the leader alone.
func (c *Client) placementSessionFor(origin string) *session {
	if origin != "" {
		return c.session.Load()
	}
	return c.placementSession()
}

// lose forgets a session that has ended.
func (c *Client) removeSession(ended *session) {
	c.standby.CompareAndSwap(ended, nil)
	if c.session.CompareAndSwap(ended, nil) {
		c.signalLeaderLost()
	}
}

// noteLost has somebody else asked for placements.
func (c *Client) signalLeaderLost() {
	select {
	case c.leaderLost <- struct{}{}:
	default:
	}
}

// endStandby ends the standby session, if there is one: a leader serves the client again.
func (c *Client) endStandby() (ended bool) {
	current := c.standby.Swap(nil)
	if current == nil {
		return false
	}
	_ = current.conn.Close()
	return true
}

// standBy keeps a standby session while no leader serves the client.
func (c *Client) runStandby() {
	for {
		select {
		case <-c.leaderLost:
		case <-c.context.Done():
			return
		}
		if c.session.Load() == nil {
			pause.For(c.context, standbyDelay)
		}
		for c.context.Err() == nil && c.responsiveLeader() == nil {
			if !c.serveStandby() {
				pause.For(c.context, jitteredBackoff(standbyPause))
			}
		}
	}
}

// askAround asks one member after the other to stand by, and serves the session
// with the first that does to its end. It returns false when none did.
func (c *Client) serveStandby() bool {
	for _, address := range c.standbyOrder() {
		if c.context.Err() != nil || c.responsiveLeader() != nil {
			return true
		}
		accepted, err := c.connectStandby(address)
		event.FeedStandbyEnded.Log(c.config.Logger, "address", address, "stood_by", accepted, "err", err)
		if accepted {
			return true
		}
	}
	return false
}

// standbyOrder alternates between members, in an order that is the same for all
// clients that followed the same leader, and other daemons that pass placements on:
// whoever is cut off from one member may be from all.
func (c *Client) standbyOrder() []string {
	members, relays := c.memberOrder(), c.standbyRelays()
	if c.session.Load() != nil {
		// The leader is silent; others may still be led by it.
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

func (c *Client) memberOrder() []string {
	order := slices.Sorted(slices.Values(c.addresses()))
	last := c.lastLeader.Load()
	if last == nil {
		return order
	}
	order = slices.DeleteFunc(order, func(address string) bool { return address == *last })
	return slices.Insert(order, 0, *last)
}

// maxStandbyRelays bounds the daemons that are asked in one round.
const maxStandbyRelays = 3

// standbyRelays draws daemons that may pass placements on.
func (c *Client) standbyRelays() []string {
	if c.config.StandbyRelays == nil {
		return nil
	}
	relays := slices.Clone(c.config.StandbyRelays())
	rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	return relays[:min(len(relays), maxStandbyRelays)]
}

// connectStandby serves one standby session to its end and reports whether the
// member stood by.
func (c *Client) connectStandby(address string) (bool, error) {
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

// receiveAlive takes in that the member stands by.
func (s *session) receiveStandbyReady() error {
	if !s.standby {
		return errors.Wrap(errProtocol, "a leader that only stands by")
	}
	if s.ready {
		return nil
	}
	s.ready = true
	s.client.standby.Store(s)
	if s.client.responsiveLeader() != nil {
		s.client.endStandby() // a leader came first
		return nil
	}
	event.FeedStandby.Log(s.client.config.Logger, "address", s.conn.RemoteAddr())
	if s.client.config.Served != nil {
		s.client.config.Served()
	}
	return nil
}

// writeAlive answers a standby subscription, if the member has a view to place by.
func (s *subscriber) writeStandbyReady(ctx context.Context, writer *frame.Writer, leader string) error {
	if s.server.config.Group.Version().Revision == 0 {
		return s.redirect(ctx, writer, leader)
	}
	return writer.WriteFrame(kindStandbyReady, nil)
}
