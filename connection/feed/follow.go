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

// runConnections connects to one member after the other until the client is closed. If a member
// named the leader, that address is tried first.
func (c *Client) runConnections() {
	next, backoff := rand.IntN(len(c.config.Addresses)), c.config.BackoffMin
	leaderAddress := ""
	for c.context.Err() == nil {
		address := leaderAddress
		if address == "" {
			addresses := c.addresses()
			address = addresses[next%len(addresses)]
			next++
		}
		served, nextLeaderAddress, err := c.serveConnection(address)
		if c.context.Err() != nil {
			return
		}
		event.FeedDisconnected.Log(c.config.Logger, "address", address, "err", err)
		if served {
			backoff = c.config.BackoffMin
		}
		followedRedirect := leaderAddress != ""
		leaderAddress = nextLeaderAddress
		// The first redirect is followed immediately, and so is the end of a session whose leader
		// announced that it stepped down. After a redirect that led to another redirect, or after a
		// failure, the client waits for the backoff, so that two members that redirect to each
		// other cause little load.
		if nextLeaderAddress != "" && !followedRedirect || served && errors.Is(err, errNotLeader) {
			continue
		}
		pause.Sleep(c.context, jitteredBackoff(backoff))
		backoff = min(2*backoff, c.config.BackoffMax)
	}
}

// addresses returns the configured member addresses, then the discovered ones.
func (c *Client) addresses() []string {
	if c.config.MoreAddresses == nil {
		return c.config.Addresses
	}
	addresses := slices.Clone(c.config.Addresses)
	for _, discovered := range c.config.MoreAddresses() {
		if !slices.Contains(addresses, discovered) {
			addresses = append(addresses, discovered)
		}
	}
	return addresses
}

// serveConnection serves one connection until it ends. It reports whether a leader served it, and
// the leader address that the member named, if any.
func (c *Client) serveConnection(address string) (served bool, leaderAddress string, err error) {
	conn, err := c.config.Dial(c.context, "tcp", address)
	if err != nil {
		return false, "", errors.Wrap(err, "feed: dial")
	}
	current := newSession(c, conn)
	current.address = address
	leaderAddress, err = current.run(c.context)
	return current.ready, leaderAddress, err
}

// jitteredBackoff returns a random duration between half of limit and limit.
func jitteredBackoff(limit time.Duration) time.Duration {
	return limit/2 + rand.N(limit/2+1)
}

// callLeader sends one request and waits for its reply. If the leader announced that it stepped
// down and definitely did not accept the request, callLeader sends it to the next leader.
func (c *Client) callLeader(ctx context.Context, kind frame.Kind, encode func(id uint64) []byte) (reply, error) {
	select {
	case c.callSlots <- struct{}{}:
		defer func() { <-c.callSlots }()
	default:
		return reply{}, errors.Wrap(ErrNoQuorum, "too many requests in flight")
	}
	for {
		current := c.awaitSession(ctx)
		if current == nil {
			return reply{}, errors.Wrap(ErrNoQuorum, "not connected to a leader")
		}
		requestID := c.requestID.Add(1)
		answer, err := current.call(ctx, requestID, &outgoing{kind: kind, payload: encode(requestID)})
		if !errors.Is(err, ErrNoQuorum) || errors.Is(err, errQueueFull) || !current.awaitStepDown(ctx) {
			return answer, err
		}
	}
}

// errQueueFull refuses a request because the session's queue is full.
var errQueueFull = errors.Wrap(ErrNoQuorum, "send queue is full")

// call sends one request to this session's leader and waits for its reply.
func (s *session) call(ctx context.Context, requestID uint64, request *outgoing) (reply, error) {
	waiting := s.register(requestID, request.kind)
	defer s.unregister(requestID)
	if !s.enqueue(request) {
		return reply{}, errQueueFull
	}
	select {
	case answer := <-waiting:
		return checkReply(answer)
	case <-ctx.Done():
		return abandonCall(request, waiting, "context ended while waiting for the reply")
	case <-s.ended:
		return abandonCall(request, waiting, "connection ended before the reply")
	}
}

func checkReply(answer reply) (reply, error) {
	switch answer.code {
	case replyDone:
		return answer, nil
	case replyRefused:
		return reply{}, errors.Wrap(ErrNoQuorum, "refused by the leader")
	default:
		return reply{}, errors.Wrap(ErrOutcomeUnknown, "proposed without a known outcome")
	}
}

// abandonCall stops waiting for a reply. It returns the reply if it has just arrived, ErrNoQuorum
// if the request was definitely not sent, and ErrOutcomeUnknown if it may have been.
func abandonCall(request *outgoing, waiting chan reply, cause string) (reply, error) {
	select {
	case answer := <-waiting:
		return checkReply(answer)
	default:
	}
	if request.cancel() {
		return reply{}, errors.Wrap(ErrNoQuorum, cause)
	}
	return reply{}, errors.Wrap(ErrOutcomeUnknown, cause)
}
