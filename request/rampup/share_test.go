package rampup

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// mostInFlight has proxies, which each have the given requests per second and all see a replica of 6 slots start at 0, send
// all requests that their shares allow. The replica gives no answer. It returns the most in flight in the first second.
func mostInFlight(proxies int, perProxy float64, seed uint64) int {
	const timeout = 800 * ms
	random := rand.New(rand.NewPCG(seed, uint64(proxies)))
	shares, ends := make([]Share, proxies), make([][]time.Duration, proxies)
	for i, rank := range random.Perm(proxies) {
		shares[i].Slots = 6
		shares[i].Begin(0, Started, func() float64 { return Draw(rank, proxies) })
	}
	most := 0
	for now := time.Duration(0); now < time.Second; now += ms {
		total := 0
		for i := range shares {
			if len(ends[i]) > 0 && ends[i][0] <= now {
				shares[i].Failed(now, timeout, len(ends[i]), now+500*ms, random.Float64)
				ends[i] = ends[i][1:]
			}
			if random.Float64() < perProxy/1000 && len(ends[i]) < shares[i].Allowed(now, proxies) {
				ends[i] = append(ends[i], now+timeout)
				shares[i].Begun(now, len(ends[i]))
			}
			total += len(ends[i])
		}
		most = max(most, total)
	}
	return most
}

// Guards against proxies that each send a first request to a replica that has just started and does not answer.
func TestProxiesTogetherKeepToTheSlotsInTheFirstSecond(t *testing.T) {
	for _, proxies := range []int{1, 5, 67, 300, 2100} {
		for _, perProxy := range []float64{3, 300} {
			worst := 0
			for seed := range uint64(10) {
				worst = max(worst, mostInFlight(proxies, perProxy, seed))
			}
			t.Logf("%d proxies of %.0f requests a second: at most %d in flight", proxies, perProxy, worst)
			must.LessEq(t, 6, worst)
		}
	}
}

// Guards against a proxy that keeps to its share of the common limit although the replica has answered it, and against one
// that is refused again and again beside all others.
func TestShareFollowsOwnAnswers(t *testing.T) {
	last := func() float64 { return 0.99 }
	s := Share{Ramp: Ramp{Slots: 6}}
	s.Begin(0, Restarted, last)
	must.Eq(t, 0, s.Allowed(0, 100))
	must.Eq(t, 1, s.Allowed(0, 1), must.Sprint("a proxy without others has the whole limit"))
	must.Eq(t, 1, s.Allowed(2*time.Second, 100))
	s.Begun(2*time.Second, 1)
	s.Answered(2100*ms, 100*ms, 100*ms)
	must.Eq(t, 2, s.Allowed(2100*ms, 100))
	s.Refused(2200*ms, 2, last)
	must.Eq(t, 1, s.Allowed(2200*ms, 100))
	s.Refused(2400*ms, 1, last)
	must.Eq(t, 0, s.Allowed(2400*ms, 100))
	s.Failed(2500*ms, 50*ms, 1, 4*time.Second, last)
	must.Eq(t, 0, s.Allowed(4500*ms, 100), must.Sprint("the common limit grows from when the replica is no longer avoided"))
}
