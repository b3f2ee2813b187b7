package control

import (
	"context"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

// CacheSource queries which prompt parts a replica has cached. The query interrupts the replica's
// work, so it is used rarely. It fails if another replica answers at the address.
type CacheSource interface {
	CachedParts(ctx context.Context, replica *api.Replica) ([]placement.Part, error)
}

const (
	// cacheQueryDelay is how long a new leader waits for the proxies to report which prompt parts
	// replicas have cached. It then queries the replicas that no proxy has reported on.
	cacheQueryDelay = 150 * time.Millisecond
	// cacheQueryTimeout limits one query.
	cacheQueryTimeout = time.Second
	// maxCacheQueries limits the concurrent queries, each of which uses one file descriptor. This
	// many let 160 replicas answer within about 50 ms.
	maxCacheQueries = 64
	// cacheQueryBurst is how many replicas are queried without delay. Further ones are queried
	// one per cacheQueryPace, so that thousands of queries do not compete with the placement
	// requests of the proxies. The cached parts of replicas that were not queried are learned from
	// their requests.
	cacheQueryBurst = 256
	cacheQueryPace  = 20 * time.Millisecond
	// maxRestartedProcessAge is the process age up to which a new leader assumes that the whole
	// group was restarted. In that case no proxy remembers anything, and the leader queries the
	// replicas at once, since prompts that they have cached are computed again until they answer.
	maxRestartedProcessAge = 3 * time.Second
)

// cacheQueryDelayFor returns how long after the start of a term its leader queries replicas,
// given the age of its process at that time.
func cacheQueryDelayFor(processAge time.Duration) time.Duration {
	if processAge < maxRestartedProcessAge {
		return 0
	}
	return cacheQueryDelay
}

// queryCaches queries, once per term, the replicas whose cached prompt parts no proxy has
// reported. After a restart of the whole system no proxy remembers them, and computing them again
// would cost far more than the queries. If there was no Ingress when the term began there is
// nothing to query.
func (d *leaderTasks) queryCaches(ctx context.Context, term *termState, now time.Duration) {
	if term.cachesQueried || now-term.startedAt < cacheQueryDelayFor(term.startedAt) {
		return
	}
	term.cachesQueried = true
	if d.group.config.PromptCache == nil || !term.hadIngress {
		return
	}
	current := d.group.machine.view()
	uncached := d.group.boards.uncachedReplicas(d.group.machine.history.Load())
	if len(uncached) == 0 {
		return
	}
	term.background.Go(func() { d.queryReplicas(term.orders, current, uncached) })
}

// queryReplicas queries the replicas, at most maxCacheQueries at a time.
func (d *leaderTasks) queryReplicas(ctx context.Context, current *view.View, replicas []string) {
	var queries sync.WaitGroup
	slots := make(chan struct{}, maxCacheQueries)
	for i, name := range replicas {
		if i >= cacheQueryBurst && !pause.Sleep(ctx, cacheQueryPace) {
			break
		}
		slots <- struct{}{}
		queries.Go(func() {
			defer func() { <-slots }()
			d.queryReplica(ctx, current.Replicas[name])
		})
	}
	queries.Wait()
}

func (d *leaderTasks) queryReplica(ctx context.Context, replica *api.Replica) {
	if d.group.rates.IsLimited(replica.Name) {
		return // the query would use up its limit
	}
	ctx, cancel := context.WithTimeout(ctx, cacheQueryTimeout)
	defer cancel()
	parts, err := d.group.config.PromptCache.CachedParts(ctx, replica)
	event.KeptAsked.Log(d.logger, "replica", replica.Name, "parts", len(parts), "err", err)
	if err != nil {
		return // its cached parts are learned from its requests
	}
	cached := feed.CachedParts{Service: replica.Spec.Service, Replica: replica.Name, Parts: parts}
	d.group.boards.addCachedParts(d.group.machine.history.Load(), cached)
}

// uncachedReplicas returns the replicas of model services of which hardly any cached prompt parts
// are known, as placement.Board.ColdReplicas defines it.
func (d *placementBoards) uncachedReplicas(current *view.History) []string {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.update(current)
	var names []string
	for _, board := range d.boards {
		names = append(names, board.ColdReplicas()...)
	}
	return names
}
