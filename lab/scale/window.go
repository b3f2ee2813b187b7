package scale

import (
	"context"
	"os"
	"runtime/debug"
	"sync"
	"time"
)

// settle is the wait before a window, for the work of the bring-up to end.
const settle = 3 * time.Second

// sample is what all processes had used at one moment.
type sample struct {
	at        time.Time
	processor time.Duration // of this process
	feed      int64
	polled    int64
	polls     int64
	members   []usage
	relays    []usage
	proxies   []usage
}

func (t *trial) sample() (sample, error) {
	taken := sample{
		at:        time.Now(),
		processor: ownProcessorTime(),
		feed:      t.hollows.feedMeter.bytes.Load(),
		polled:    t.hollows.pollMeter.bytes.Load(),
		polls:     t.hollows.polls.Load(),
	}
	var err error
	if taken.members, err = usagesOf(t.cluster.members); err != nil {
		return sample{}, err
	}
	if taken.relays, err = usagesOf(t.cluster.relays); err != nil {
		return sample{}, err
	}
	taken.proxies, err = usagesOf(t.cluster.proxies)
	return taken, err
}

func usagesOf(pids []int) ([]usage, error) {
	var usages []usage
	for _, pid := range pids {
		one, err := usageOf(pid)
		if err != nil {
			return nil, err
		}
		usages = append(usages, one)
	}
	return usages, nil
}

// windows measures a quiet window and a busy one.
func (t *trial) windows(ctx context.Context) error {
	if !pause(ctx, min(settle, t.config.Duration)) {
		return context.Cause(ctx)
	}
	debug.FreeOSMemory()
	before, err := t.sample()
	if err != nil {
		return err
	}
	if !pause(ctx, t.config.Duration/2) {
		return context.Cause(ctx)
	}
	between, err := t.sample()
	if err != nil {
		return err
	}
	if err := t.countMemory(); err != nil {
		return err
	}
	if err := t.countResident(); err != nil {
		return err
	}
	changes := t.beBusy(ctx)
	after, err := t.sample()
	if err != nil {
		return err
	}
	if err := t.countMemory(); err != nil {
		return err
	}
	t.countWindows(before, between, after)
	t.countChanges(changes)
	t.size.Hollow.Followed = t.hollows.followed()
	t.size.Hollow.PollsFailed = t.hollows.pollFails.Load()
	t.size.Changes.ServingAtTheEnd, err = t.serving(ctx)
	progress(t.config, "measured: %.0f bytes/s, %.5f of a core, %.0f bytes a daemon; in force p99 %.0f ms",
		t.size.BytesPerSecondPerDaemon, t.size.CPUSharePerDaemon, t.size.ResidentBytesPerDaemon, t.size.InForce.P99)
	return err
}

func pause(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

func (t *trial) countResident() error {
	debug.FreeOSMemory()
	resident, err := residentBytes(os.Getpid())
	t.size.ResidentBytesPerDaemon = float64(resident-t.idle) / float64(t.size.Daemons)
	return err
}

// beBusy lets operators change and replicas restart for the run's duration.
func (t *trial) beBusy(ctx context.Context) []change {
	for _, daemon := range t.hollows.daemons {
		daemon.holder.takeMoves() // those of the bring-up
	}
	first := t.hollows.daemons[0].holder.Load().Version.Revision
	busy, cancel := context.WithTimeout(ctx, t.config.Duration)
	defer cancel()
	operators := &changer{client: t.client, replicas: t.size.Replicas}
	machines := &restarter{replicas: t.size.Replicas, port: t.cluster.port}
	var working sync.WaitGroup
	working.Go(func() { operators.run(busy, t.config.ChangeInterval) })
	working.Go(func() { machines.run(busy, t.config.RestartInterval) })
	working.Wait()
	counted := &t.size.Changes
	counted.Accepted, counted.Failed = len(operators.changes), operators.failed
	counted.Restarts, counted.RestartsFailed = machines.done, machines.failed
	counted.Revisions = t.hollows.daemons[0].holder.Load().Version.Revision - first
	return operators.changes
}

func (t *trial) countChanges(changes []change) {
	var commits, forces []time.Duration
	for _, made := range changes {
		commits = append(commits, made.committed)
		forces = append(forces, made.inForce)
	}
	times, never := reached(changes, t.hollows.daemons)
	t.size.InForce = quantilesOf(times)
	t.size.Changes.NeverSeen = never
	t.size.Changes.Commit = quantilesOf(commits)
	t.size.Changes.InForceByLeader = quantilesOf(forces)
}

func (t *trial) countWindows(before, between, after sample) {
	daemons := float64(t.size.Daemons)
	quiet, busy := between.at.Sub(before.at).Seconds(), after.at.Sub(between.at).Seconds()
	t.size.Changes.SecondsOfTheQuiet, t.size.Changes.SecondsOfTheBusy = quiet, busy
	t.size.CPUSharePerDaemon = (between.processor - before.processor).Seconds() / quiet / daemons
	t.size.BytesPerSecondPerDaemon = float64(between.feed+between.polled-before.feed-before.polled) / quiet / daemons
	hollow := &t.size.Hollow
	hollow.FeedBytesPerSecond = float64(between.feed-before.feed) / quiet / daemons
	hollow.BusyFeedBytesPerSecond = float64(after.feed-between.feed) / busy / daemons
	hollow.BusyCPUShare = (after.processor - between.processor).Seconds() / busy / daemons
	if polls := after.polls - before.polls; polls > 0 {
		hollow.BytesPerPoll = float64(after.polled-before.polled) / float64(polls)
		hollow.PollsPerSecond = float64(polls) / (quiet + busy) / daemons
	}
	for i := range after.members {
		t.size.Members = append(t.size.Members, figures(before.members[i], between.members[i], after.members[i], quiet, busy))
	}
	t.size.Relays = meanFigures(before.relays, between.relays, after.relays, quiet, busy)
	t.size.Proxies = meanFigures(before.proxies, between.proxies, after.proxies, quiet, busy)
}

func figures(before, between, after usage, quiet, busy float64) ProcessFigures {
	moved := func(a, b usage) float64 { return float64(b.read + b.written - a.read - a.written) }
	return ProcessFigures{
		CPUShare:           (between.processor - before.processor).Seconds() / quiet,
		BusyCPUShare:       (after.processor - between.processor).Seconds() / busy,
		BytesPerSecond:     moved(before, between) / quiet,
		BusyBytesPerSecond: moved(between, after) / busy,
		ResidentBytes:      after.resident,
	}
}

// meanFigures returns nil without processes.
func meanFigures(before, between, after []usage, quiet, busy float64) *ProcessFigures {
	if len(after) == 0 {
		return nil
	}
	var mean ProcessFigures
	count := float64(len(after))
	for i := range after {
		one := figures(before[i], between[i], after[i], quiet, busy)
		mean.CPUShare += one.CPUShare / count
		mean.BusyCPUShare += one.BusyCPUShare / count
		mean.BytesPerSecond += one.BytesPerSecond / count
		mean.BusyBytesPerSecond += one.BusyBytesPerSecond / count
		mean.ResidentBytes += one.ResidentBytes / int64(len(after))
	}
	return &mean
}
