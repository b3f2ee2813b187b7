package experiment

import (
	"sync"

	"github.com/landingtrail/landingtrail/lab/emulator"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/planner"
)

// emulate runs the trace under a planner.
func (b *bench) emulate(p planner.Planner) (*emulator.Result, error) {
	return emulator.Run(emulator.Config{
		Deployment: b.config.Deployment,
		Items:      b.items,
		Duration:   b.config.Duration,
		Seed:       b.config.Seed,
		Planner:    p,
		Intent: api.IntentSpec{
			Roles:      b.config.Roles,
			ChangeCost: changeCosts[b.config.Deployment],
		},
		Losses: lossesOf(b.config.Seed, b.config.Duration),
	})
}

// each calls a function for 0 to count-1, config.Parallel at a time, and
// returns the first error by index.
func (b *bench) each(count int, call func(i int) error) error {
	failures := make([]error, count)
	places := make(chan struct{}, b.config.Parallel)
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			failures[i] = call(i)
		})
	}
	group.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}
