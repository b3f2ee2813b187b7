package settings

import (
	"fmt"
	"time"
)

// maxMembers bounds the founding members of a control group.
const maxMembers = 7

// Smallest ratios between the timeouts of the agreement.
const (
	heartbeatsPerLease = 2
	leaseDriftDivisor  = 10 // the lease ends a tenth of electionTimeout before another election can
)

// check finds the faults that concern several fields at once.
func (c *Control) check(d *decoder) {
	c.checkMembers(d)
	c.checkTimeouts(d)
}

func (c *Control) checkMembers(d *decoder) {
	if len(c.Members) > maxMembers {
		d.fault("control.members", "must be at most %d members, got %d", maxMembers, len(c.Members))
	}
	names := map[string]string{}
	addresses := map[string]string{}
	for i, member := range c.Members {
		path := fmt.Sprintf("control.members[%d]", i)
		unique(d, names, path+".name", member.Name)
		unique(d, addresses, path+".peerAddress", member.PeerAddress)
		unique(d, addresses, path+".feedAddress", member.FeedAddress)
		unique(d, addresses, path+".operatorAddress", member.OperatorAddress)
	}
	_, listed := names[c.Name]
	if c.Name != "" && len(names) > 0 && !listed && !d.faulty("control.name") {
		d.fault("control.name", "must be the name of one of control.members, got %q", c.Name)
	}
}

func (c *Control) checkTimeouts(d *decoder) {
	for _, path := range []string{"control.electionTimeout", "control.heartbeatInterval", "control.leaseDuration"} {
		if d.faulty(path) {
			return
		}
	}
	if c.HeartbeatInterval*heartbeatsPerLease > c.LeaseDuration {
		d.fault("control.heartbeatInterval", "must be at most half of leaseDuration (%s), got %s",
			c.LeaseDuration/heartbeatsPerLease, c.HeartbeatInterval)
	}
	longestLease := c.ElectionTimeout - c.ElectionTimeout/leaseDriftDivisor
	if c.LeaseDuration > longestLease {
		d.fault("control.leaseDuration", "must be at most nine tenths of electionTimeout (%s), got %s",
			longestLease.Round(time.Millisecond), c.LeaseDuration)
	}
}

func (p *Proxy) check(d *decoder) {
	if p.Address != "" && p.Address == p.AdminAddress {
		d.fault("proxy.adminAddress", "must differ from proxy.address, got %q", p.AdminAddress)
	}
	known := map[string]string{}
	for i, address := range p.Control {
		unique(d, known, fmt.Sprintf("proxy.control[%d]", i), address)
	}
}

func (r *Relay) check(d *decoder) {
	if r.FeedAddress != "" && r.FeedAddress == r.AdminAddress {
		d.fault("relay.adminAddress", "must differ from relay.feedAddress, got %q", r.AdminAddress)
	}
	known := map[string]string{}
	for i, address := range r.Control {
		unique(d, known, fmt.Sprintf("relay.control[%d]", i), address)
	}
	if !d.faulty("relay.lease") && !d.faulty("relay.beatInterval") && r.BeatInterval > r.Lease {
		d.fault("relay.beatInterval", "must be at most lease (%s), got %s", r.Lease, r.BeatInterval)
	}
}

// unique names value's second place. Empty and faulty values count for nothing.
func unique(d *decoder, known map[string]string, path, value string) {
	if value == "" || d.faulty(path) {
		return
	}
	if first, used := known[value]; used {
		d.fault(path, "must differ from %s, both are %q", first, value)
		return
	}
	known[value] = path
}
