// Package feed implements the protocol between the control group and the daemons that follow it.
// One TCP connection carries view deltas, the heartbeats that renew the view lease, at-most-once
// claims, placements, charges and reports. Only a leader with a valid lease serves a subscription.
// Any other member sends the leader's address and closes the connection, unless it is only asked
// for placements (standby.go).
//
// Terms used in this package:
//   - member: a process of the control group; one of them is the leader of a term.
//   - daemon: a process that subscribes to the group. A proxy is a daemon that serves callers; a
//     relay is a daemon that serves a feed of its own to other daemons.
//   - instance: one run of a daemon's process.
//   - view: a daemon's copy of the group's state at a version. A view lease limits how long the
//     daemon may use it.
//   - in force: a version is in force once no daemon may still use an older view.
//   - claim: the right, granted at most once, to run a request.
//   - placement: the choice of the replica that runs a request.
package feed

import (
	"time"

	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
)

// Errors of claims and outcomes.
var (
	// ErrNoQuorum says that the control group definitely did not accept the claim or outcome: no
	// byte of it was sent, or the group refused it before proposing it.
	ErrNoQuorum = errors.New("feed: the control group did not take the request")
	// ErrOutcomeUnknown says that the request was sent and may have been committed, or may still
	// be.
	ErrOutcomeUnknown = errors.New("feed: the outcome is unknown")
	// ErrClosed says that the client or server was closed. Nothing in this package returns it.
	ErrClosed = errors.New("feed: closed")
	// ErrConfig says that a configuration is invalid.
	ErrConfig = errors.New("feed: invalid configuration")
	// errProtocol says that the peer violated the protocol.
	errProtocol = errors.New("feed: protocol violation")
	// errNotLeader says that the peer redirected the client, or that the subscriber was redirected.
	errNotLeader = errors.New("feed: the member is not the leader")
)

// Views is the state that a Client keeps up to date. *view.Holder implements it.
type Views interface {
	// Load returns the current view.
	Load() *view.View
	// Apply moves the view forward. It returns an error and changes nothing if the delta does not
	// start at the current version or would move the view back.
	Apply(delta view.Delta) error
	// Confirm extends the view lease to sentAt plus lease, unless the lease already extends
	// further. It returns false and changes nothing if a newer term is known. sentAt is the
	// client's clock, read before the granted heartbeat was sent.
	Confirm(sentAt, lease time.Duration, term uint64) bool
}

var _ Views = (*view.Holder)(nil)

// Acknowledger is implemented by Views that acknowledge a different version than the one they
// hold, because other processes use the view through them.
type Acknowledger interface {
	// Acknowledge returns the version to acknowledge at the time now of the client's clock.
	Acknowledge(now time.Duration) view.Version
}
