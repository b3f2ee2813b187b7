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

// Sizes of a course: five members know the first three, two may be lost at once,
// and two more stand ready to replace members that are gone for good.
const (
	scenarioMembers = 5
	scenarioSeeds   = 3
	scenarioLosses  = 2
	scenarioSpares  = 2
	scenarioSteps   = 6
)

// course plays losses against a growing group, one after the other and some at
// the same moment, as its seed draws them.
type course struct {
	*growing
	random     *rand.Rand
	spares     []int // not started yet
	generation uint64
}

// A group that bears two losses keeps what it acknowledged and becomes whole
// again by itself, whatever is lost within that: processes, disks, machines for
// good, and the leader right in the middle of a repair.
func TestGroupRecoversFromEachLoss(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := &course{
				growing: newGrowing(t, scenarioMembers+scenarioSpares, scenarioSeeds, scenarioLosses),
				random:  rand.New(rand.NewPCG(seed, 0)),
				spares:  []int{scenarioMembers, scenarioMembers + 1},
			}
			c.start(0, 1, 2, 3, 4)
			c.awaitRecovered()
			for range scenarioSteps {
				c.step()
				c.awaitRecovered()
				c.readBack()
			}
		})
	}
}

// step acknowledges an Ingress, loses members right after it, and brings them or
// their successors back.
func (c *course) step() {
	c.t.Helper()
	c.replace()
	victims := c.victims()
	for _, i := range victims {
		c.crash(i)
	}
	var back []int
	for _, i := range victims {
		back = append(back, c.successor(i))
	}
	c.start(back...)
	if c.random.IntN(2) == 0 {
		// One more, the leader as often as not, ends in the middle of the repair;
		// its disk stays.
		again := c.pick()
		c.awaitStarted(again)
		time.Sleep(time.Duration(c.random.IntN(200)) * time.Millisecond)
		c.crash(again)
		c.start(again)
	}
}

func (c *course) awaitStarted(i int) {
	c.t.Helper()
	eventually(c.t, "a started member", func() bool { return c.running[i].member.group.Load() != nil })
	time.Sleep(10 * time.Millisecond) // for what its start does after that
}

// victims draws one or two running members.
func (c *course) victims() []int {
	first := c.pick()
	second := c.pick()
	if first == second || c.random.IntN(2) == 0 {
		return []int{first}
	}
	return []int{first, second}
}

// pick draws a running member, more often the leader than not.
func (c *course) pick() int {
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

// successor says what a lost member comes back as: itself, itself without its
// disk, or another machine in its place. Seeds are not replaced, since nobody
// would tell a newcomer of new ones here.
func (c *course) successor(i int) int {
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

// awaitRecovered waits until the running members are the voters and two more losses
// can be borne. A member whose identity was removed is opened again, as its
// process does.
func (c *course) awaitRecovered() {
	c.t.Helper()
	eventually(c.t, "the group is whole", func() bool {
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

// replace has the next Ingress acknowledged.
func (c *course) replace() {
	c.t.Helper()
	c.generation++
	eventually(c.t, "an acknowledgement", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		result, err := c.accessOf(c.pick()).ReplaceIngress(ctx, ingressOf(c.generation, "document"))
		return err == nil && (result.Code == api.ReplaceApplied || result.Generation == c.generation)
	})
}

// readBack holds that what was acknowledged last is what is read.
func (c *course) readBack() {
	c.t.Helper()
	eventually(c.t, "a read", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		held, err := c.accessOf(c.pick()).Ingress(ctx)
		if err != nil {
			return false
		}
		must.Eq(c.t, c.generation, held.Spec.Generation)
		return true
	})
}
