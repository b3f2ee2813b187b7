package retry

import (
	"flag"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// The seed is fixed, so that each run checks the same cases.
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestBudgetIsAShareOfTheTraffic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reserve := rapid.IntRange(0, 20).Draw(t, "reserve")
		budget := NewBudget(0.1, reserve)
		requests, retries := 0, 0
		for _, deposit := range rapid.SliceOf(rapid.Bool()).Draw(t, "steps") {
			if deposit {
				budget.Deposit()
				requests++
			} else if budget.Withdraw() {
				retries++
			}
		}
		if float64(retries) > float64(reserve)+0.1*float64(requests) {
			t.Fatalf("%d retries for %d requests with a share of 0.1 and a reserve of %d", retries, requests, reserve)
		}
	})
}

func TestBudgetUnderConcurrency(t *testing.T) {
	budget := NewBudget(0, 100)
	var taken atomic.Int32
	var workers sync.WaitGroup
	for range 8 {
		workers.Go(func() {
			for budget.Withdraw() {
				taken.Add(1)
			}
		})
	}
	workers.Wait()
	must.Eq(t, 100, taken.Load())
}

func TestBackoff(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	backoff := Backoff{Base: 10 * time.Millisecond, Cap: 50 * time.Millisecond}
	cases := []struct {
		name       string
		retry      int
		from, upTo time.Duration
	}{
		{"first", 0, 5 * time.Millisecond, 10 * time.Millisecond},
		{"second", 1, 10 * time.Millisecond, 20 * time.Millisecond},
		{"capped", 30, 25 * time.Millisecond, 50 * time.Millisecond},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			for range 100 {
				delay, fits := backoff.Delay(test.retry, time.Second, random)
				must.True(t, fits)
				must.Between(t, test.from, delay, test.upTo)
			}
		})
	}
	_, fits := backoff.Delay(0, 4*time.Millisecond, random)
	must.False(t, fits)
}

func TestShrink(t *testing.T) {
	margin := Margin{Minimum: 5 * time.Millisecond, Share: 0.02}
	cases := []struct {
		name string
		left time.Duration
		want time.Duration
		some bool
	}{
		{"share", time.Second, 980 * time.Millisecond, true},
		{"least", 100 * time.Millisecond, 95 * time.Millisecond, true},
		{"nothing left", 5 * time.Millisecond, 0, false},
		{"past", -time.Millisecond, -6 * time.Millisecond, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got, some := margin.Shrink(test.left)
			must.Eq(t, test.want, got)
			must.Eq(t, test.some, some)
		})
	}
}
