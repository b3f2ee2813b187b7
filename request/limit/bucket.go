package limit

import (
	"hash/maphash"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const shardCount = 16

// maxBuckets is the number of buckets of a shard from which full buckets are dropped. A full
// bucket equals a new one.
const maxBuckets = 256

// Rate is what a tenant may use. A zero PerSecond means no limit.
type Rate struct {
	PerSecond float64 // tokens
	Burst     float64 // tokens; 0 means the tokens of one second
}

func (r Rate) burst() int {
	if r.Burst > 0 {
		return max(1, int(r.Burst))
	}
	return max(1, int(r.PerSecond))
}

// Buckets holds one token bucket per tenant, in shards with a lock each. It is safe for concurrent
// use.
type Buckets struct {
	seed   maphash.Seed
	shards [shardCount]bucketShard
}

type bucketShard struct {
	lock    sync.Mutex
	tenants map[string]*rate.Limiter
}

// NewBuckets returns an empty set of buckets. The bucket of a new tenant is full.
func NewBuckets() *Buckets {
	buckets := &Buckets{seed: maphash.MakeSeed()}
	for i := range buckets.shards {
		buckets.shards[i].tenants = map[string]*rate.Limiter{}
	}
	return buckets
}

// Take charges the tenant for cost tokens. If the bucket holds too few, it takes none and returns
// how long they take to accumulate. A request larger than the burst is charged for the burst only,
// since it could never pass otherwise.
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
