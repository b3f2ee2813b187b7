// Package ratelimit keeps the rates that replicas state in their answers: how many requests per second
// a replica accepts from all proxies together, for as long as its answers say so.
//
// A Tracker holds what one process knows of one replica. A Limiter is the account of all limited replicas
// at a member of the control group: proxies charge each request for such a replica to it before they
// send the request, so that the sum over all proxies stays within the rate, however many proxies there
// are and wherever the demand is. Shares grants requests at a proxy that reaches no member.
//
// Times are durations since an origin that the caller chooses, the same for all calls on one Tracker
// or Limiter. Members and proxies exchange ages, never times. The package does no I/O.
package ratelimit

import (
	"time"

	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/version/api"
)

// Kind is what an answer states about the rate of its replica.
type Kind uint8

// Kinds of statements.
const (
	// Unlimited answers state no rate.
	Unlimited Kind = iota
	// Limited answers state a rate.
	Limited
	// Unclear answers state something that is no rate. They change nothing.
	Unclear
)

// Statement is what an answer states about the rate of its replica.
type Statement struct {
	Kind Kind
	// PerSecond is the stated rate, in requests; 0 or more, and only with Limited.
	PerSecond float64
}

// Report is a Statement that another process has received.
type Report struct {
	Statement
	// Age is the time since a limit was last received, or since the request was sent whose answer ended it.
	Age time.Duration
	// SentAge is the time since the request was sent whose answer stated the rate; at least Age.
	SentAge time.Duration
}

// DefaultRule allows a replica in any 4 s half more than its rate plus 5 requests. Only accounts use
// a part of that, see quota.Rule; the rest is for requests on their way.
var DefaultRule = quota.Rule{Window: 4 * time.Second, Overshoot: 0.5, Slack: 5}

// minPerSecond is the smallest rate that is used. Without a request now and then, the end of a limit
// near 0 would never be noticed.
const minPerSecond = 0.2

// QuotaOf returns the quota that grants a stated rate. Its burst is the part of the overrun that the
// rule leaves to an account.
func QuotaOf(perSecond float64) api.Quota { return api.Quota{PerSecond: max(perSecond, minPerSecond)} }
