package scale

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/version/api"
)

// applyBatch is how many objects one transaction of the bring-up writes.
const applyBatch = 500

// applyAll writes the objects and returns the last revision.
func applyAll(ctx context.Context, client *operator.Client, objects []api.Object) (uint64, error) {
	revision := uint64(0)
	for batch := range slices.Chunk(objects, applyBatch) {
		transaction := api.Transaction{
			OperationID: fmt.Sprintf("scale-bring-up-%d", revision),
			AllowBroad:  true,
		}
		for _, object := range batch {
			transaction.Writes = append(transaction.Writes, api.Write{Object: object})
		}
		result, err := client.Transact(ctx, transaction)
		if err != nil {
			return 0, errors.Wrap(err, "scale: apply objects")
		}
		if result.Code != api.OutcomeAccepted {
			return 0, errors.Errorf("scale: apply objects: %s %v", result.Code, result.Faults)
		}
		revision = result.Revision
	}
	return revision, nil
}

// change is one accepted change of an operator.
type change struct {
	revision uint64
	sentAt   time.Time
	// committed is how long the operator waited for its acceptance, inForce
	// until the leader called it in force everywhere.
	committed time.Duration
	inForce   time.Duration
}

// changer rewrites labels as the operators' automation does.
type changer struct {
	client   *operator.Client
	replicas int

	lock    sync.Mutex
	changes []change
	failed  int
}

// run makes a change each interval until ctx ends and waits for those under way.
func (c *changer) run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var under sync.WaitGroup
	defer under.Wait()
	for count := 0; ; count++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		under.Go(func() {
			// A change that was begun is followed to its end.
			following, cancel := context.WithTimeout(context.WithoutCancel(ctx), inForceTimeout)
			defer cancel()
			done, err := c.change(following, count)
			c.lock.Lock()
			defer c.lock.Unlock()
			if err != nil {
				c.failed++
				return
			}
			c.changes = append(c.changes, done)
		})
	}
}

// change rewrites the note of one engine, a different one each time.
func (c *changer) change(ctx context.Context, count int) (change, error) {
	key := api.Key{Kind: api.KindEngine, Name: engineName((count*7919 + 13) % c.replicas)}
	object, err := c.client.Object(ctx, key)
	if err != nil {
		return change{}, err
	}
	if object == nil {
		return change{}, errors.Errorf("scale: %s is not there", key)
	}
	object.Engine.Labels[labelNote] = fmt.Sprintf("turn-%d", count)
	sentAt := time.Now()
	result, err := c.client.Transact(ctx, api.Transaction{
		OperationID: fmt.Sprintf("scale-change-%d", count),
		Writes:      []api.Write{{Object: *object}},
	})
	if err != nil {
		return change{}, err
	}
	if result.Code != api.OutcomeAccepted {
		return change{}, errors.Errorf("scale: change: %s", result.Code)
	}
	done := change{revision: result.Revision, sentAt: sentAt, committed: time.Since(sentAt)}
	if _, err := c.client.WaitInForce(ctx, result.Revision); err != nil {
		return change{}, err
	}
	done.inForce = time.Since(sentAt)
	return done, nil
}

// restarter makes replicas start again, as machines do.
type restarter struct {
	replicas int
	port     int
	failed   int
	done     int
}

// run restarts a replica each interval until ctx ends.
func (r *restarter) run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	client := &http.Client{Timeout: dialTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for count := 0; ; count++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		address := replicaAddress((count*6007+29)%r.replicas, r.port)
		response, err := client.Post("http://"+address+pathRestart, "", nil)
		if err != nil || response.StatusCode != http.StatusOK {
			r.failed++
		} else {
			r.done++
		}
		if err == nil {
			_ = response.Body.Close()
		}
	}
}

// Quantiles are of milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	Last float64 `json:"last"`
}

func quantilesOf(times []time.Duration) Quantiles {
	if len(times) == 0 {
		return Quantiles{}
	}
	slices.Sort(times)
	at := func(share float64) float64 {
		return float64(times[int(share*float64(len(times)-1))].Microseconds()) / 1000
	}
	return Quantiles{P50: at(0.5), P99: at(0.99), Last: at(1)}
}

// reached returns, for each change and daemon, how long after the change was
// sent the daemon had it, and how many never did.
func reached(changes []change, daemons []*hollow) (times []time.Duration, never int) {
	for _, daemon := range daemons {
		moves := daemon.holder.takeMoves()
		for _, made := range changes {
			at, _ := slices.BinarySearchFunc(moves, made.revision, func(m moved, revision uint64) int {
				if m.revision < revision {
					return -1
				}
				return 1
			})
			if at == len(moves) {
				never++
				continue
			}
			times = append(times, moves[at].at.Sub(made.sentAt))
		}
	}
	return times, never
}
