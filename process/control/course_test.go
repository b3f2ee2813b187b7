package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// A scenario starts five members whose configuration names the first three. Two may be lost at
// once, and two spares can replace members that are lost permanently.
const (
	scenarioMembers = 5
	scenarioSeeds   = 3
	scenarioLosses  = 2
	scenarioSpares  = 2
	scenarioSteps   = 6
)

// lossScenario crashes members of a group, one at a time or several at once, in an order drawn from
// its seed.
type lossScenario struct {
	*growingGroup
	random     *rand.Rand
	spares     []int // members not yet started
	generation uint64
}

// A group that tolerates two losses must keep acknowledged data and restore its fault tolerance by
// itself after any loss within that limit: of processes, disks, whole machines, or the leader in
// the middle of a repair.
func TestGroupRecoversFromEachLoss(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := &lossScenario{
				growingGroup: newGrowingGroup(t, scenarioMembers+scenarioSpares, scenarioSeeds, scenarioLosses),
				random:       rand.New(rand.NewPCG(seed, 0)),
				spares:       []int{scenarioMembers, scenarioMembers + 1},
			}
			s.start(0, 1, 2, 3, 4)
			s.awaitRecovered()
			for range scenarioSteps {
				s.step()
				s.awaitRecovered()
				s.verifyIngress()
			}
		})
	}
}

// step has an Ingress acknowledged, crashes members immediately afterwards, and starts them or
// their replacements.
func (s *lossScenario) step() {
	s.t.Helper()
	s.acknowledgeNextIngress()
	victims := s.pickVictims()
	for _, i := range victims {
		s.crash(i)
	}
	var back []int
	for _, i := range victims {
		back = append(back, s.replacementOf(i))
	}
	s.start(back...)
	if s.random.IntN(2) == 0 {
		// Another member, often the leader, crashes in the middle of the repair; it keeps its disk.
		again := s.pickMember()
		s.awaitStarted(again)
		time.Sleep(time.Duration(s.random.IntN(200)) * time.Millisecond)
		s.crash(again)
		s.start(again)
	}
}

func (s *lossScenario) awaitStarted(i int) {
	s.t.Helper()
	eventually(s.t, "the member has started", func() bool { return s.running[i].member.group.Load() != nil })
	time.Sleep(10 * time.Millisecond) // lets its background work start
}

// pickVictims picks one or two running members at random.
func (s *lossScenario) pickVictims() []int {
	first := s.pickMember()
	second := s.pickMember()
	if first == second || s.random.IntN(2) == 0 {
		return []int{first}
	}
	return []int{first, second}
}

// pickMember picks a running member at random, the leader more often than any other.
func (s *lossScenario) pickMember() int {
	if s.random.IntN(2) == 0 {
		for i, running := range s.running {
			if current := running.member.group.Load(); current != nil && current.Leadership().Leads {
				return i
			}
		}
	}
	running := make([]int, 0, len(s.running))
	for i := range s.running {
		running = append(running, i)
	}
	slices.Sort(running)
	return running[s.random.IntN(len(running))]
}

// replacementOf returns the index of the member to start after a loss: the same member, the same
// one with an empty disk, or a spare. Seed members are never replaced by a spare, since nothing
// here would tell a joining member of new seeds.
func (s *lossScenario) replacementOf(i int) int {
	switch draw := s.random.IntN(4); {
	case draw == 0:
		return i
	case draw == 1 && i >= scenarioSeeds && len(s.spares) > 0:
		next := s.spares[0]
		s.spares = s.spares[1:]
		return next
	default:
		s.loseDisk(i)
		return i
	}
}

// awaitRecovered waits until the running members are the voters and two further losses are
// tolerated. A member whose identity was removed is started again, as its process would do.
func (s *lossScenario) awaitRecovered() {
	s.t.Helper()
	eventually(s.t, "the group has recovered", func() bool {
		for i, running := range s.running {
			select {
			case err := <-running.done:
				must.True(s.t, errors.Is(err, ErrRemoved), must.Sprint(err))
				s.start(i)
			default:
			}
		}
		status, ok := s.status()
		return ok && status.FurtherLosses == scenarioLosses && len(status.Repairing) == 0 && s.listsRunningMembers(status)
	})
}

// acknowledgeNextIngress has the Ingress of the next generation acknowledged.
func (s *lossScenario) acknowledgeNextIngress() {
	s.t.Helper()
	s.generation++
	eventually(s.t, "the Ingress is acknowledged", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		result, err := s.accessOf(s.pickMember()).ReplaceIngress(ctx, ingressOf(s.generation, "document"))
		return err == nil && (result.Code == api.ReplaceApplied || result.Generation == s.generation)
	})
}

// verifyIngress checks that a read returns the Ingress that was acknowledged last.
func (s *lossScenario) verifyIngress() {
	s.t.Helper()
	eventually(s.t, "a read succeeds", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		held, err := s.accessOf(s.pickMember()).Ingress(ctx)
		if err != nil {
			return false
		}
		must.Eq(s.t, s.generation, held.Spec.Generation)
		return true
	})
}
