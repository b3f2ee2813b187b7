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
	*growing
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
				growing: newGrowing(t, scenarioMembers+scenarioSpares, scenarioSeeds, scenarioLosses),
				random:  rand.New(rand.NewPCG(seed, 0)),
				spares:  []int{scenarioMembers, scenarioMembers + 1},
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
func (c *lossScenario) step() {
	c.t.Helper()
	c.acknowledgeNextIngress()
	victims := c.pickVictims()
	for _, i := range victims {
		c.crash(i)
	}
	var back []int
	for _, i := range victims {
		back = append(back, c.replacementOf(i))
	}
	c.start(back...)
	if c.random.IntN(2) == 0 {
		// Another member, often the leader, crashes in the middle of the repair; it keeps its disk.
		again := c.pickMember()
		c.awaitStarted(again)
		time.Sleep(time.Duration(c.random.IntN(200)) * time.Millisecond)
		c.crash(again)
		c.start(again)
	}
}

func (c *lossScenario) awaitStarted(i int) {
	c.t.Helper()
	eventually(c.t, "the member has started", func() bool { return c.running[i].member.group.Load() != nil })
	time.Sleep(10 * time.Millisecond) // lets its background work start
}

// pickVictims picks one or two running members at random.
func (c *lossScenario) pickVictims() []int {
	first := c.pickMember()
	second := c.pickMember()
	if first == second || c.random.IntN(2) == 0 {
		return []int{first}
	}
	return []int{first, second}
}

// pickMember picks a running member at random, the leader more often than any other.
func (c *lossScenario) pickMember() int {
	if c.random.IntN(2) == 0 {
		for i, running := range c.running {
			if current := running.member.group.Load(); current != nil && current.Leadership().Leads {
				return i
			}
		}
	}
	running := make([]int, 0, len(c.running))
	for i := range c.running {
		running = append(running, i)
	}
	slices.Sort(running)
	return running[c.random.IntN(len(running))]
}

// replacementOf returns the index of the member to start after a loss: the same member, the same
// one with an empty disk, or a spare. Seed members are never replaced by a spare, since nothing
// here would tell a joining member of new seeds.
func (c *lossScenario) replacementOf(i int) int {
	switch draw := c.random.IntN(4); {
	case draw == 0:
		return i
	case draw == 1 && i >= scenarioSeeds && len(c.spares) > 0:
		next := c.spares[0]
		c.spares = c.spares[1:]
		return next
	default:
		c.loseDisk(i)
		return i
	}
}

// awaitRecovered waits until the running members are the voters and two further losses are
// tolerated. A member whose identity was removed is started again, as its process would do.
func (c *lossScenario) awaitRecovered() {
	c.t.Helper()
	eventually(c.t, "the group has recovered", func() bool {
		for i, running := range c.running {
			select {
			case err := <-running.done:
				must.True(c.t, errors.Is(err, ErrRemoved), must.Sprint(err))
				c.start(i)
			default:
			}
		}
		status, ok := c.status()
		return ok && status.FurtherLosses == scenarioLosses && len(status.Repairing) == 0 && c.listed(status)
	})
}

// acknowledgeNextIngress has the Ingress of the next generation acknowledged.
func (c *lossScenario) acknowledgeNextIngress() {
	c.t.Helper()
	c.generation++
	eventually(c.t, "an acknowledged Ingress", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		result, err := c.accessOf(c.pickMember()).ReplaceIngress(ctx, ingressOf(c.generation, "document"))
		return err == nil && (result.Code == api.ReplaceApplied || result.Generation == c.generation)
	})
}

// verifyIngress checks that a read returns the Ingress that was acknowledged last.
func (c *lossScenario) verifyIngress() {
	c.t.Helper()
	eventually(c.t, "a successful read", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		held, err := c.accessOf(c.pickMember()).Ingress(ctx)
		if err != nil {
			return false
		}
		must.Eq(c.t, c.generation, held.Spec.Generation)
		return true
	})
}
