package control

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/process/wal"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// benchCluster returns a started group of three members with default durations, real disks and
// loopback connections.
func benchCluster(b *testing.B) *cluster {
	c := newCluster(b, 3, func(config *Config) {
		config.Durations = Durations{}
		config.fileSystem = wal.OS{}
	})
	c.start(0, 1, 2)
	c.awaitLeaderKnown()
	return c
}

// microseconds returns a histogram for durations of up to a minute.
func microseconds() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func reportQuantiles(b *testing.B, histogram *hdrhistogram.Histogram, name string) {
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1000, name+"-p50-ms")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1000, name+"-p99-ms")
}

// BenchmarkTimeInForce measures the time from an operator's request until a daemon's view has the
// change, until all daemons' views have it, and until the group reports that it is in force.
func BenchmarkTimeInForce(b *testing.B) {
	for _, daemons := range []int{9, 90} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			c := benchCluster(b)
			var holders []*view.Holder
			for i := range daemons {
				client, holder := c.subscribeWith(feed.ClientConfig{Daemon: fmt.Sprintf("proxy-%d", i)})
				eventually(b, "the client is connected", client.Connected)
				holders = append(holders, holder)
			}
			leader := c.leader()
			perDaemon, last, inForce := microseconds(), microseconds(), microseconds()
			for i := 0; b.Loop(); i++ {
				name := fmt.Sprintf("tenant-%d", i)
				started := time.Now()
				var result api.TransactionResult
				status := c.call(leader, http.MethodPost, operatorapi.PathTransactions, api.Transaction{OperationID: name, Writes: tenantWrites(name)}, &result)
				must.Eq(b, http.StatusOK, status)
				c.awaitEach(holders, result.Revision, started, perDaemon, last)
				c.awaitInForce(result.Revision)
				_ = inForce.RecordValue(time.Since(started).Microseconds())
			}
			reportQuantiles(b, perDaemon, "daemon")
			reportQuantiles(b, last, "last")
			reportQuantiles(b, inForce, "told")
		})
	}
}

func (c *cluster) awaitEach(holders []*view.Holder, revision uint64, started time.Time, perDaemon, last *hdrhistogram.Histogram) {
	waiting := holders
	for len(waiting) > 0 {
		var left []*view.Holder
		for _, holder := range waiting {
			if holder.Load().Version.Revision < revision {
				left = append(left, holder)
				continue
			}
			_ = perDaemon.RecordValue(time.Since(started).Microseconds())
		}
		waiting = left
		time.Sleep(100 * time.Microsecond)
	}
	_ = last.RecordValue(time.Since(started).Microseconds())
}

// BenchmarkClaim measures at-most-once claims over the feed. Each is synced to disk by at least two
// of the three members before the reply.
func BenchmarkClaim(b *testing.B) {
	for _, claimants := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("claimants=%d", claimants), func(b *testing.B) {
			c := benchCluster(b)
			client, _ := c.subscribeWith(feed.ClientConfig{Daemon: "proxy-a"})
			eventually(b, "the client is connected", client.Connected)
			latency := microseconds()
			var lock sync.Mutex
			var number atomic.Int64
			var claiming sync.WaitGroup
			b.ResetTimer()
			for range claimants {
				claiming.Go(func() {
					for i := number.Add(1); i <= int64(b.N); i = number.Add(1) {
						took := c.claimOnce(client, uint64(i))
						lock.Lock()
						_ = latency.RecordValue(took.Microseconds())
						lock.Unlock()
					}
				})
			}
			claiming.Wait()
			reportQuantiles(b, latency, "claim")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
		})
	}
}

func (c *cluster) claimOnce(client *feed.Client, number uint64) time.Duration {
	request := state.ClaimRequest{Tenant: "water", Key: fmt.Sprintf("key-%d", number), BodyHash: 9, Attempt: 1, Proxy: "proxy-a", Nonce: number}
	started := time.Now()
	result, err := client.Claim(context.Background(), request)
	if err != nil || result.Code != api.ClaimGranted {
		c.t.Errorf("claim: %v %v", result.Code, err)
	}
	return time.Since(started)
}

// BenchmarkFailover measures the time from a crash of the leader until a write is accepted, with
// default durations.
func BenchmarkFailover(b *testing.B) {
	c := benchCluster(b)
	took := microseconds()
	for i := 0; b.Loop(); i++ {
		leader := c.leader()
		crashed := c.removeRunning(leader)
		ended := make(chan error, 1)
		started := time.Now()
		go func() { ended <- crashed.crash() }()
		name := fmt.Sprintf("tenant-%d", i)
		must.Eq(b, api.OutcomeAccepted, c.transact(api.Transaction{OperationID: name, Writes: tenantWrites(name)}).Code)
		_ = took.RecordValue(time.Since(started).Microseconds())
		must.NoError(b, <-ended)
		c.start(leader)
		c.awaitFurtherLosses(1)
	}
	reportQuantiles(b, took, "write")
}
