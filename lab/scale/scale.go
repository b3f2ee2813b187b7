// Package scale measures what control costs at size: hollow daemons and
// replicas that share processes run beside real control members and proxies,
// at a quarter, a half and the whole of a size, so that the slopes show what
// the target's size would cost.
package scale

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/version/api"
)

// Timeouts of a run.
const (
	readyTimeout   = 60 * time.Second
	bringUpTimeout = 4 * time.Minute
	inForceTimeout = 30 * time.Second
)

// Defaults of a Config.
const (
	DefaultDaemons         = 200
	DefaultReplicas        = 1_000
	DefaultDuration        = 20 * time.Second
	DefaultVoters          = 3
	DefaultProxies         = 2
	DefaultPollInterval    = 500 * time.Millisecond
	DefaultChangeInterval  = 500 * time.Millisecond
	DefaultRestartInterval = 2 * time.Second
	DefaultEngineSilence   = 5 * time.Second
)

// Config is what a scale run is made of.
type Config struct {
	// Daemons and Replicas are those of the largest of the three sizes.
	Daemons  int
	Replicas int
	// Duration is how long the operators' changes and restarts go on at each
	// size; half of it passes in quiet before.
	Duration time.Duration
	Voters   int
	Relays   int // the daemons follow these, or the members if there are none
	Proxies  int // real ones
	Seed     uint64
	// PollInterval is the time between two load polls of a hollow daemon.
	PollInterval    time.Duration
	ChangeInterval  time.Duration
	RestartInterval time.Duration
	// EngineSilence is the members' setting; they wait three rounds of questions
	// where these take longer.
	EngineSilence time.Duration
	Planner       string
	// Product and Lab are the programs' paths, Data a folder for the members'
	// data and logs; empty: a temporary one that is removed.
	Product  string
	Lab      string
	Data     string
	Progress io.Writer
}

// Report is the result of a scale run.
type Report struct {
	Sizes []Size `json:"sizes"`
}

// Size is what was measured at one size.
type Size struct {
	Daemons  int `json:"daemons"`
	Replicas int `json:"replicas"`
	// Of a hollow daemon: bytes of its feed and polls, its share of one core,
	// and its part of the growth of its process, all in the quiet window.
	BytesPerSecondPerDaemon float64 `json:"bytes_per_second_per_daemon"`
	CPUSharePerDaemon       float64 `json:"cpu_share_per_daemon"`
	ResidentBytesPerDaemon  float64 `json:"resident_bytes_per_daemon"`
	// InForce is the time from sending a change until a daemon had it, over all
	// changes and daemons.
	InForce Quantiles `json:"in_force_ms"`

	Hollow  HollowFigures  `json:"hollow"`
	Bringup BringUpFigures `json:"bring_up"`
	Changes ChangeFigures  `json:"changes"`
	// Members are the control members; Relays and Proxies are means of the
	// real ones.
	Members []ProcessFigures `json:"members,omitempty"`
	Relays  *ProcessFigures  `json:"relays,omitempty"`
	Proxies *ProcessFigures  `json:"proxies,omitempty"`
	// Processes counts all of the run's, ResidentBytes is the most that was
	// seen of the sum of their memory.
	Processes     int   `json:"processes"`
	ResidentBytes int64 `json:"resident_bytes_of_all"`
}

// HollowFigures are more of the hollow daemons.
type HollowFigures struct {
	FeedBytesPerSecond     float64 `json:"feed_bytes_per_second_per_daemon"`
	BusyFeedBytesPerSecond float64 `json:"busy_feed_bytes_per_second_per_daemon"`
	BytesPerPoll           float64 `json:"bytes_per_poll"`
	PollsPerSecond         float64 `json:"polls_per_second_per_daemon"`
	PollsFailed            int64   `json:"polls_failed"`
	Followed               float64 `json:"followed_per_daemon"`
	BusyCPUShare           float64 `json:"busy_cpu_share_per_daemon"`
	FullViewBytes          float64 `json:"full_view_bytes"` // encoded, on the feed
}

// BringUpFigures say how long it took until all was in place.
type BringUpFigures struct {
	ApplySeconds   float64 `json:"apply_seconds"`
	EnginesSeconds float64 `json:"engines_known_seconds"`
	DaemonsSeconds float64 `json:"daemons_following_seconds"`
}

// ChangeFigures are those of the busy window.
type ChangeFigures struct {
	Accepted          int       `json:"accepted"`
	Failed            int       `json:"failed"`
	Restarts          int       `json:"restarts"`
	RestartsFailed    int       `json:"restarts_failed"`
	Revisions         uint64    `json:"revisions"`
	NeverSeen         int       `json:"never_seen"` // pairs of a change and a daemon
	Commit            Quantiles `json:"commit_ms"`
	InForceByLeader   Quantiles `json:"in_force_by_leader_ms"`
	ServingAtTheEnd   int       `json:"engines_serving_at_the_end"`
	SecondsOfTheQuiet float64   `json:"quiet_seconds"`
	SecondsOfTheBusy  float64   `json:"busy_seconds"`
}

// ProcessFigures are those of a real process.
type ProcessFigures struct {
	CPUShare     float64 `json:"cpu_share"`
	BusyCPUShare float64 `json:"busy_cpu_share"`
	// Bytes of all system calls: sockets, and files where there are any.
	BytesPerSecond     float64 `json:"bytes_per_second"`
	BusyBytesPerSecond float64 `json:"busy_bytes_per_second"`
	ResidentBytes      int64   `json:"resident_bytes"`
}

// sizeShares are the parts of the configured size that are measured.
var sizeShares = []int{4, 2, 1}

// Run measures each size with processes of its own.
func Run(ctx context.Context, config Config) (Report, error) {
	var report Report
	for _, divisor := range sizeShares {
		daemons, replicas := max(1, config.Daemons/divisor), max(1, config.Replicas/divisor)
		progress(config, "%d daemons, %d replicas: starting", daemons, replicas)
		around, err := launch(ctx, config, replicas)
		if err != nil {
			return report, err
		}
		size, err := measure(around, config, daemons, replicas)
		if stopErr := around.stop(); err == nil {
			err = stopErr
		}
		if err != nil {
			return report, err
		}
		report.Sizes = append(report.Sizes, size)
	}
	return report, nil
}

func progress(config Config, format string, args ...any) {
	if config.Progress != nil {
		_, _ = fmt.Fprintf(config.Progress, "scale: "+format+"\n", args...)
	}
}

// trial is the measurement of one size.
type trial struct {
	cluster *cluster
	config  Config
	client  *operator.Client
	size    Size
	hollows *hollows
	idle    int64 // resident bytes before the daemons
}

// measure brings the cluster up, lets daemons follow it and measures.
func measure(around *cluster, config Config, daemons, replicas int) (Size, error) {
	client, err := operator.New(operator.Config{Members: around.operators, Timeout: bringUpTimeout, AttemptTimeout: readyTimeout})
	if err != nil {
		return Size{}, err
	}
	t := &trial{cluster: around, config: config, client: client}
	t.size = Size{Daemons: daemons, Replicas: replicas}
	ctx, cancel := context.WithTimeout(around.context, bringUpTimeout)
	defer cancel()
	revision, err := t.bringUp(ctx)
	if err != nil {
		return t.size, err
	}
	if err := t.startDaemons(ctx, revision); err != nil {
		return t.size, err
	}
	defer t.hollows.close()
	return t.size, t.windows(around.context)
}

// bringUp applies the objects and waits until the leader has heard every engine.
func (t *trial) bringUp(ctx context.Context) (uint64, error) {
	objects := commonObjects()
	for i := range t.size.Replicas {
		objects = append(objects, engineObject(i, t.cluster.port))
	}
	started := time.Now()
	revision, err := applyAll(ctx, t.client, objects)
	if err != nil {
		return 0, err
	}
	t.size.Bringup.ApplySeconds = time.Since(started).Seconds()
	progress(t.config, "objects applied after %.1f s", t.size.Bringup.ApplySeconds)
	if err := t.waitServing(ctx); err != nil {
		return 0, err
	}
	t.size.Bringup.EnginesSeconds = time.Since(started).Seconds()
	progress(t.config, "engines known after %.1f s", t.size.Bringup.EnginesSeconds)
	return revision, nil
}

const (
	statusPause = time.Second
	followPause = 50 * time.Millisecond
)

// waitServing returns once nearly all engines serve. The planner may move some
// from the start, so not all do at any one moment.
func (t *trial) waitServing(ctx context.Context) error {
	for {
		serving, err := t.serving(ctx)
		if err == nil && serving >= t.size.Replicas-modelCount*maxUnavailable && serving*10 >= t.size.Replicas*9 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("scale: %d of %d engines serve: %v", serving, t.size.Replicas, err)
		case <-time.After(statusPause):
		}
	}
}

func (t *trial) serving(ctx context.Context) (int, error) {
	status, err := t.client.Status(ctx)
	count := 0
	for _, engine := range status.Engines {
		if engine.Phase == api.PhaseServing {
			count++
		}
	}
	return count, err
}

// startDaemons starts the hollow daemons and waits until all follow.
func (t *trial) startDaemons(ctx context.Context, revision uint64) error {
	debug.FreeOSMemory()
	idle, err := residentBytes(os.Getpid())
	if err != nil {
		return err
	}
	t.idle = idle
	started := time.Now()
	t.hollows, err = startHollows(t.cluster.context, t.config, t.cluster.feeds, t.size.Daemons)
	if err != nil {
		return err
	}
	for t.hollows.behind(revision) > 0 {
		select {
		case <-ctx.Done():
			behind := t.hollows.behind(revision)
			t.hollows.close()
			return errors.Errorf("scale: %d daemons do not follow", behind)
		case <-time.After(followPause):
		}
	}
	t.size.Bringup.DaemonsSeconds = time.Since(started).Seconds()
	t.size.Hollow.FullViewBytes = float64(t.hollows.feedMeter.bytes.Load()) / float64(t.size.Daemons)
	progress(t.config, "%d daemons follow after %.1f s", t.size.Daemons, t.size.Bringup.DaemonsSeconds)
	t.hollows.follow()
	return t.countMemory()
}

// countMemory notes the memory of all processes now.
func (t *trial) countMemory() error {
	total := int64(0)
	pids := t.cluster.processes()
	for _, pid := range pids {
		resident, err := residentBytes(pid)
		if err != nil {
			return err
		}
		total += resident
	}
	t.size.Processes = len(pids)
	t.size.ResidentBytes = max(t.size.ResidentBytes, total)
	return nil
}
