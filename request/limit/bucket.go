package limit

import (
	"hash/maphash"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// shardCount is the number of shards of the tenants' buckets.
const shardCount = 16

// maxBuckets bounds the buckets of a shard; beyond it full buckets, which hold
// no memory of any use, are dropped.
const maxBuckets = 256

// Rate is what a tenant may use. A zero PerSecond is no bound.
type Rate struct {
	PerSecond float64 // tokens
	Burst     float64 // tokens; 0 means one second's worth
}

func (r Rate) burst() int {
	if r.Burst > 0 {
		return max(1, int(r.Burst))
	}
	return max(1, int(r.PerSecond))
}

// Buckets holds one token bucket for each tenant, in shards under their own
// locks. It is safe for concurrent use.
type Buckets struct {
	seed   maphash.Seed
	shards [shardCount]bucketShard
}

type bucketShard struct {
	lock    sync.Mutex
	tenants map[string]*rate.Limiter
}

// NewBuckets returns full buckets.
func NewBuckets() *Buckets {
	buckets := &Buckets{seed: maphash.MakeSeed()}
	for i := range buckets.shards {
		buckets.shards[i].tenants = map[string]*rate.Limiter{}
	}
	return buckets
}

// Take charges the tenant for cost tokens. When the bucket holds too few it
// takes none and returns how long it will take to fill up. A request larger
// than the burst is charged for the burst, since it could never pass otherwise.
func (b *Buckets) Take(tenant string, allowed Rate, cost int, now time.Time) (wait time.Duration, taken bool) {
	if allowed.PerSecond <= 0 {
		return 0, true
	}
	shard := &b.shards[maphash.String(b.seed, tenant)%shardCount]
	shard.lock.Lock()
	defer shard.lock.Unlock()
	limiter := shard.limiter(tenant, allowed, now)
	reservation := limiter.ReserveN(now, min(cost, limiter.Burst()))
	wait = reservation.DelayFrom(now)
	if wait <= 0 {
		return 0, true
	}
	reservation.CancelAt(now)
	return wait, false
}

func (s *bucketShard) limiter(tenant string, allowed Rate, now time.Time) *rate.Limiter {
	limiter, found := s.tenants[tenant]
	if !found {
		s.prune(now)
		limiter = rate.NewLimiter(rate.Limit(allowed.PerSecond), allowed.burst())
		s.tenants[tenant] = limiter
		return limiter
	}
	if limiter.Limit() != rate.Limit(allowed.PerSecond) {
		limiter.SetLimitAt(now, rate.Limit(allowed.PerSecond))
	}
	if limiter.Burst() != allowed.burst() {
		limiter.SetBurstAt(now, allowed.burst())
	}
	return limiter
}

func (s *bucketShard) prune(now time.Time) {
	if len(s.tenants) < maxBuckets {
		return
	}
	for tenant, limiter := range s.tenants {
		if limiter.TokensAt(now) >= float64(limiter.Burst()) {
			delete(s.tenants, tenant)
		}
	}
}
