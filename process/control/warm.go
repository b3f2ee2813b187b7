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

// KeptSource queries which prompt parts a replica has cached. The query interrupts the replica's
// work, so it is used rarely. It fails if another replica answers at the address.
type KeptSource interface {
	Kept(ctx context.Context, replica *api.Replica) ([]placement.Part, error)
}

const (
	// cacheQueryDelay is how long a new leader waits for the proxies to report which prompt parts
	// replicas have cached. It then queries the replicas that no proxy has reported on.
	warmDelay = 150 * time.Millisecond
	// cacheQueryTimeout limits one query, maxCacheQueries the concurrent ones: 160 replicas
	// answer within about 50 ms this way, and each query uses one file descriptor.
	warmTimeout = time.Second
	warmAtOnce  = 64
	// cacheQueryBurst is how many replicas are queried without delay. Further ones are queried
	// one per cacheQueryPace, since a new leader has no time for thousands of queries beside its
	// proxies' requests. The cached parts of replicas that were not queried are learned from
	// their requests.
	warmBurst = 256
	warmPace  = 20 * time.Millisecond
	// freshProcess is the process age up to which a new leader assumes that the whole group was
	// restarted. In that case no proxy remembers anything, so it does not wait for their reports.
	// Until replicas answer, prompts that they have cached are computed again.
	freshProcess = 3 * time.Second
)

// cacheQueryDelayFor returns how long after the start of a term its leader queries replicas,
// given the age of its process at that time.
func warmsAfter(began time.Duration) time.Duration {
	if began < freshProcess {
		return 0
	}
	return warmDelay
}

// queryCaches queries, once per term, the replicas whose cached prompt parts no proxy has
// reported. After a restart of the whole system no proxy remembers them, and computing them again
// would cost far more than the queries. If there was no Ingress when the term began there is
// nothing to query.
func (d *duties) warmBoards(ctx context.Context, term *termDuties, now time.Duration) {
	if term.warmed || now-term.startedAt < warmsAfter(term.startedAt) {
		return
	}
	term.warmed = true
	if d.group.config.Kept == nil || !term.hadIngress {
		return
	}
	current := d.group.machine.view()
	cold := d.group.desk.cold(d.group.machine.history.Load())
	if len(cold) == 0 {
		return
	}
	term.background.Go(func() { d.askKept(term.orders, current, cold) })
}

// queryReplicas queries the replicas, at most maxCacheQueries at a time.
func (d *duties) askKept(ctx context.Context, current *view.View, cold []string) {
	var asking sync.WaitGroup
	places := make(chan struct{}, warmAtOnce)
	for i, name := range cold {
		if i >= warmBurst && !pause.For(ctx, warmPace) {
			break
		}
		places <- struct{}{}
		asking.Go(func() {
			defer func() { <-places }()
			d.askOneKept(ctx, current.Replicas[name])
		})
	}
	asking.Wait()
}

func (d *duties) askOneKept(ctx context.Context, replica *api.Replica) {
	ctx, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	parts, err := d.group.config.Kept.Kept(ctx, replica)
	event.KeptAsked.Log(d.logger, "replica", replica.Name, "parts", len(parts), "err", err)
	if err != nil {
		return // its cached parts are learned from its requests
	}
	kept := feed.KeptParts{Service: replica.Spec.Service, Replica: replica.Name, Parts: parts}
	d.group.desk.kept(d.group.machine.history.Load(), kept)
}

// cold returns the replicas of model services that are not known to have cached anything.
func (d *placementDesk) cold(current *view.History) []string {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.update(current)
	var names []string
	for _, board := range d.boards {
		names = append(names, board.Cold()...)
	}
	return names
}
