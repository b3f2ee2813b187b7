package limit

import (
	"hash/maphash"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const shardCount = 16

// pruneThreshold is the size of a shard from which a new tenant causes full buckets to be dropped.
// A new bucket is full as well, so this changes no result. The shard may grow further if none is
// full.
const pruneThreshold = 256

// Rate is what a tenant may use, in tokens of its bucket. A PerSecond of 0 means no limit.
type Rate struct {
	PerSecond float64
	Burst     float64 // 0 means the tokens of one second
}

// burst returns the bucket's size in whole tokens, at least 1.
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
// how long until it holds enough. A request larger than the burst is charged for the burst only,
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

// limiter returns the tenant's token bucket with the allowed rate and burst. The lock must be held.
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

// prune drops full buckets if there are at least pruneThreshold. The lock must be held.
func (s *bucketShard) prune(now time.Time) {
	if len(s.tenants) < pruneThreshold {
		return
	}
	for tenant, limiter := range s.tenants {
		if limiter.TokensAt(now) >= float64(limiter.Burst()) {
			delete(s.tenants, tenant)
		}
	}
}
