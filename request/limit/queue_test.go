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

// client sends requests to one queue in virtual time and records which are admitted.
type client struct {
	queue   *Queue
	lock    sync.Mutex
	records []string
}

func (c *client) record(name string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.records = append(c.records, name)
}

func (c *client) recorded() []string {
	c.lock.Lock()
	defer c.lock.Unlock()
	return slices.Clone(c.records)
}

// send waits for a slot in the background, holds it for a second and records the name, or the
// reason of the refusal.
func (c *client) send(ctx context.Context, name string, ticket Ticket) {
	if ticket.Deadline.IsZero() {
		ticket.Deadline = time.Now().Add(time.Hour)
	}
	ticket.Gate = attempt.New(attempt.Policy{})
	go func() {
		release, refusal := c.queue.Acquire(ctx, ticket)
		if refusal != nil {
			c.record(name + " " + string(refusal.Reason))
			return
		}
		c.record(name)
		time.Sleep(time.Second)
		release()
	}()
	synctest.Wait()
}

func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &client{queue: NewQueue(Config{MaxInFlight: 1})}
		ctx := context.Background()
		c.send(ctx, "first", Ticket{Class: "a"})
		for i := range 3 {
			c.send(ctx, fmt.Sprint("greedy", i), Ticket{Class: "a", Tenant: "greedy"})
		}
		c.send(ctx, "modest", Ticket{Class: "a", Tenant: "modest"})
		c.send(ctx, "urgent", Ticket{Class: "b", Priority: 1})
		time.Sleep(time.Minute)
		must.Eq(t, []string{"first", "urgent", "greedy0", "modest", "greedy1", "greedy2"}, c.recorded())
		must.Eq(t, Depth{}, c.queue.Depth())
		must.MapEmpty(t, c.queue.classes)
	})
}

func TestQueueRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &client{queue: NewQueue(Config{MaxInFlight: 1, QueueLimit: 2, ExpectedService: 100 * time.Millisecond})}
		ctx, disconnect := context.WithCancel(context.Background())
		c.send(ctx, "runs", Ticket{})
		c.send(ctx, "short", Ticket{Deadline: time.Now().Add(99 * time.Millisecond)})
		c.send(ctx, "waits", Ticket{Deadline: time.Now().Add(500 * time.Millisecond)})
		c.send(ctx, "disconnects", Ticket{})
		c.send(ctx, "third", Ticket{})
		must.Eq(t, []string{"runs", "short deadline_too_short", "third queue_full"}, c.recorded())
		time.Sleep(600 * time.Millisecond)
		disconnect()
		synctest.Wait()
		must.Eq(t, []string{"waits deadline_exceeded", "disconnects cancelled"}, c.recorded()[3:])
		time.Sleep(time.Second)
		must.Eq(t, Depth{}, c.queue.Depth())
	})
}

// A class stays within its own limit while another uses the rest.
func TestClassBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &client{queue: NewQueue(Config{MaxInFlight: 3})}
		for i := range 2 {
			c.send(context.Background(), fmt.Sprint("bounded", i), Ticket{Class: "a", MaxInFlight: 1, Priority: 1})
		}
		c.send(context.Background(), "other", Ticket{Class: "b"})
		must.Eq(t, []string{"bounded0", "other"}, c.recorded())
		c.queue.Resize(1)
		time.Sleep(time.Minute)
		must.Eq(t, "bounded1", c.recorded()[2])
	})
}

func TestFinishTagsAreBounded(t *testing.T) {
	queue := NewQueue(Config{})
	for i := range 4 * maxTenants {
		release, refusal := queue.Acquire(context.Background(), Ticket{Tenant: fmt.Sprint(i),
			Deadline: time.Now().Add(time.Hour), Gate: attempt.New(attempt.Policy{})})
		must.Nil(t, refusal)
		release()
	}
	must.True(t, len(queue.finishTags) <= maxTenants)
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
	must.True(t, take(1000)) // charged for the burst only
	must.False(t, take(1))
	for i := range 100 * pruneThreshold {
		buckets.Take(fmt.Sprint(i), allowed, 1, now.Add(time.Duration(i)*time.Second))
	}
	for i := range buckets.shards {
		must.True(t, len(buckets.shards[i].tenants) <= pruneThreshold)
	}
}
