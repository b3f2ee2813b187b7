package limit

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/request/attempt"
)

// asker asks one queue in virtual time and notes who was let through.
type asker struct {
	queue *Queue
	lock  sync.Mutex
	names []string
}

func (a *asker) note(name string) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.names = append(a.names, name)
}

func (a *asker) order() []string {
	a.lock.Lock()
	defer a.lock.Unlock()
	return slices.Clone(a.names)
}

// ask waits for a place in the background, holds it for a second and notes the
// name, or the reason of the refusal.
func (a *asker) ask(ctx context.Context, name string, ticket Ticket) {
	if ticket.Deadline.IsZero() {
		ticket.Deadline = time.Now().Add(time.Hour)
	}
	ticket.Gate = attempt.New(attempt.Policy{})
	go func() {
		release, refusal := a.queue.Acquire(ctx, ticket)
		if refusal != nil {
			a.note(name + " " + string(refusal.Reason))
			return
		}
		a.note(name)
		time.Sleep(time.Second)
		release()
	}()
	synctest.Wait()
}

func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &asker{queue: NewQueue(Config{MaxInFlight: 1})}
		ctx := context.Background()
		a.ask(ctx, "first", Ticket{Class: "a"})
		for i := range 3 {
			a.ask(ctx, fmt.Sprint("greedy", i), Ticket{Class: "a", Tenant: "greedy"})
		}
		a.ask(ctx, "modest", Ticket{Class: "a", Tenant: "modest"})
		a.ask(ctx, "urgent", Ticket{Class: "b", Priority: 1})
		time.Sleep(time.Minute)
		must.Eq(t, []string{"first", "urgent", "greedy0", "modest", "greedy1", "greedy2"}, a.order())
		must.Eq(t, Depth{}, a.queue.Depth())
		must.MapEmpty(t, a.queue.classes)
	})
}

func TestQueueRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &asker{queue: NewQueue(Config{MaxInFlight: 1, QueueLimit: 2, ExpectedService: 100 * time.Millisecond})}
		ctx, hangUp := context.WithCancel(context.Background())
		a.ask(ctx, "runs", Ticket{})
		a.ask(ctx, "short", Ticket{Deadline: time.Now().Add(99 * time.Millisecond)})
		a.ask(ctx, "waits", Ticket{Deadline: time.Now().Add(500 * time.Millisecond)})
		a.ask(ctx, "hangs up", Ticket{})
		a.ask(ctx, "third", Ticket{})
		must.Eq(t, []string{"runs", "short deadline_too_short", "third queue_full"}, a.order())
		time.Sleep(600 * time.Millisecond)
		hangUp()
		synctest.Wait()
		must.Eq(t, []string{"waits deadline_exceeded", "hangs up cancelled"}, a.order()[3:])
		time.Sleep(time.Second)
		must.Eq(t, Depth{}, a.queue.Depth())
	})
}

// TestClassBound keeps a class inside its own bound while another uses the rest.
func TestClassBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &asker{queue: NewQueue(Config{MaxInFlight: 3})}
		for i := range 2 {
			a.ask(context.Background(), fmt.Sprint("bounded", i), Ticket{Class: "a", MaxInFlight: 1, Priority: 1})
		}
		a.ask(context.Background(), "other", Ticket{Class: "b"})
		must.Eq(t, []string{"bounded0", "other"}, a.order())
		a.queue.Resize(1)
		time.Sleep(time.Minute)
		must.Eq(t, "bounded1", a.order()[2])
	})
}

// TestTenantTagsAreBounded sends requests of many tenants, one after the other.
func TestTenantTagsAreBounded(t *testing.T) {
	queue := NewQueue(Config{})
	for i := range 4 * maxTenants {
		release, refusal := queue.Acquire(context.Background(), Ticket{Tenant: fmt.Sprint(i),
			Deadline: time.Now().Add(time.Hour), Gate: attempt.New(attempt.Policy{})})
		must.Nil(t, refusal)
		release()
	}
	must.True(t, len(queue.finish) <= maxTenants)
}

func TestBuckets(t *testing.T) {
	buckets, now := NewBuckets(), time.Unix(0, 0)
	allowed := Rate{PerSecond: 10, Burst: 20}
	take := func(cost int) bool { _, taken := buckets.Take("a", allowed, cost, now); return taken }
	must.True(t, take(20))
	wait, taken := buckets.Take("a", allowed, 5, now)
	must.False(t, taken)
	must.Eq(t, 500*time.Millisecond, wait)
	now = now.Add(wait)
	must.True(t, take(5))
	now = now.Add(time.Hour)
	must.True(t, take(1000)) // charged for the burst
	must.False(t, take(1))
	for i := range 100 * maxBuckets {
		buckets.Take(fmt.Sprint(i), allowed, 1, now.Add(time.Duration(i)*time.Second))
	}
	for i := range buckets.shards {
		must.True(t, len(buckets.shards[i].tenants) <= maxBuckets)
	}
}
