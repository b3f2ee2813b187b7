package rampup

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// shareFleet is a number of proxies in virtual time that send requests to one replica, which they all see start at 0.
type shareFleet struct {
	proxies  []Share
	flying   [][]shareRequest // by proxy
	random   *rand.Rand
	perProxy float64 // requests per second of a proxy
	replicas int     // that serve the requests
}

type shareRequest struct{ begun, ends time.Duration }

// run returns the most requests in flight in the first second, and the number of requests begun in each 100 ms.
func (f *shareFleet) run(until, takes time.Duration, fails bool) (most int, begun []int, firstGood time.Duration) {
	firstGood = -1
	begun = make([]int, until/(100*ms)+1)
	for now := time.Duration(0); now < until; now += ms {
		total := 0
		for i := range f.proxies {
			var rest []shareRequest
			for _, request := range f.flying[i] {
				switch {
				case request.ends > now:
					rest = append(rest, request)
				case fails:
					f.proxies[i].Failed(now, now-request.begun, len(f.flying[i]), now+500*ms, f.random.Float64())
				default:
					f.proxies[i].Answered(now, now-request.begun, takes)
					if firstGood < 0 {
						firstGood = now
					}
				}
			}
			f.flying[i] = rest
			// An idle replica is the cheapest as long as the limit allows it, with up to two requests of all.
			arrives := f.random.Float64() < f.perProxy/1000
			if arrives && len(f.flying[i]) < f.proxies[i].Allowed(now, len(f.proxies)) && f.total() < max(int(f.share()*takes.Seconds()*2), 1) || arrives && fails && len(f.flying[i]) < f.proxies[i].Allowed(now, len(f.proxies)) {
				f.flying[i] = append(f.flying[i], shareRequest{now, now + takes})
				f.proxies[i].Begun(now, len(f.flying[i]))
				begun[now/(100*ms)]++
			}
			total += len(f.flying[i])
		}
		if now < time.Second {
			most = max(most, total)
		}
	}
	return most, begun, firstGood
}

// share returns the requests per second that are this replica's share.
func (f *shareFleet) share() float64 {
	return f.perProxy * float64(len(f.proxies)) / float64(f.replicas)
}

func (f *shareFleet) total() int {
	total := 0
	for i := range f.flying {
		total += len(f.flying[i])
	}
	return total
}

func newShareFleet(proxies, replicas int, perProxy float64, seed uint64) *shareFleet {
	f := &shareFleet{proxies: make([]Share, proxies), flying: make([][]shareRequest, proxies), perProxy: perProxy, replicas: replicas}
	f.random = rand.New(rand.NewPCG(seed, uint64(proxies)))
	for i, rank := range f.random.Perm(proxies) {
		f.proxies[i].Slots = 6
		f.proxies[i].Begin(0, Started, Draw(rank, proxies))
	}
	return f
}

// Guards against proxies that each send a first request to a replica that has just started and does not answer.
func TestProxiesTogetherKeepToTheSlotsInTheFirstSecond(t *testing.T) {
	for _, proxies := range []int{1, 5, 67, 300, 2100} {
		mean, worst := 0, 0
		for seed := range uint64(20) {
			most, _, _ := newShareFleet(proxies, 4, 3, seed).run(time.Second, 800*ms, true)
			mean, worst = mean+most, max(worst, most)
		}
		t.Logf("%d proxies: at most %d in flight, %.1f on average", proxies, worst, float64(mean)/20)
		must.LessEq(t, 6, worst)
	}
}

// Guards against a healthy replica that is left idle since the proxies do not know of each other's answers.
func TestProxiesUseAHealthyReplica(t *testing.T) {
	for _, proxies := range []int{1, 5, 67, 300} {
		f := newShareFleet(proxies, 4, 3, 1)
		_, begun, firstGood := f.run(4*time.Second, 20*ms, false)
		for _, after := range []time.Duration{500 * ms, time.Second, 1500 * ms, 2 * time.Second} {
			at := int((firstGood + after) / (100 * ms))
			t.Logf("%d proxies, first good answer after %v, %v later: %.2f of its share", proxies, firstGood, after, float64(begun[at-1]+begun[at]+begun[at+1])/f.share()/0.3)
		}
	}
}
