package fleet

import (
	"context"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/lab/caller"
	"github.com/landingtrail/landingtrail/lab/fleet/faults"
)

const testRelays = 2

// withRelays puts relays between the members and the proxies.
func withRelays(config *Config) { config.Relays = testRelays }

func TestRelayKilledAndPausedBeyondItsLease(t *testing.T) {
	s := startScenario(t, DrillNone, nil, withRelays)
	daemons := 0
	s.eventually("the relays are served", func() bool {
		daemons = s.status().Daemons // fewer where the leader is new
		return daemons >= testRelays
	})
	must.Eq(t, testRelays, daemons, must.Sprint("the leader serves the relays alone"))
	killed := s.kill(prefixFeed + s.fleet.layout.relays[0].name)
	s.setVersion("4")
	s.waitVersion("4")
	s.waitInForce()
	s.restart(killed)

	paused := prefixFeed + s.fleet.layout.relays[1].name
	s.signal(paused, syscall.SIGSTOP)
	s.setVersion("5")
	s.waitVersion("5")
	s.waitInForce()
	s.eventually("every proxy serves by another relay", s.allServe)
	s.signal(paused, syscall.SIGCONT)
	s.setVersion("6")
	s.waitVersion("6")
	s.waitInForce()
	s.finish()
}

func TestRelayCutOffFromControl(t *testing.T) {
	s := startScenario(t, DrillNone, refuseModelWork, withRelays)
	cut := s.fleet.layout.relays[0]
	var gates []*faults.Gate
	for _, member := range s.fleet.layout.members {
		gate := s.network.Link(linkFeed + member.name).Requests
		gate.Set(faults.WhenOpening([]byte(cut.name), faults.Sever))
		gates = append(gates, gate)
	}
	s.eventually("the cut", func() bool {
		struck := int64(0)
		for _, gate := range gates {
			struck += gate.Struck()
		}
		return struck > 0
	})
	s.setVersion("4")
	s.waitInForce()
	s.eventually("every proxy serves by the other relay", s.allServe)
	for _, gate := range gates {
		gate.Clear()
	}
	s.waitVersion("4")
	s.finish()
}

func TestPlannedStopOfRelayCutsNothing(t *testing.T) {
	s := startScenario(t, DrillPlanned, nil, withRelays)
	for _, relay := range s.fleet.layout.relays {
		s.stopAsPlanned(prefixFeed + relay.name)
		s.eventually("every proxy serves", s.allServe)
	}
	s.finish()
}

// waitInForce waits until the latest revision is in force.
func (s *scenario) waitInForce() {
	s.Helper()
	state, err := s.client.WaitInForce(context.Background(), s.status().Revision)
	must.NoError(s, err)
	must.True(s, state.Done)
}

// allServe reports whether each proxy serves model work and claims.
func (s *scenario) allServe() bool {
	for _, proxy := range s.fleet.layout.proxies {
		for _, class := range []string{"caption", "briefing"} {
			if s.ask(proxy, class).outcome != caller.OutcomeCompleted {
				return false
			}
		}
	}
	return true
}
