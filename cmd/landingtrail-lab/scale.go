package main

import (
	"context"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/lab/scale"
	"github.com/landingtrail/landingtrail/process/settings"
	"github.com/landingtrail/landingtrail/version/api"
)

// Bounds of a scale run's flags.
const (
	maxDaemons    = 4_000
	maxReplicas   = 20_000
	maxVoters     = 7
	maxRelays     = 50
	maxProxies    = 50
	maxPortNumber = 65_535
)

// scaleFlags are the flags of scale.
type scaleFlags struct {
	daemons  uint64
	replicas uint64
	voters   uint64
	relays   uint64
	proxies  uint64
	seed     uint64
	duration time.Duration
	poll     time.Duration
	change   time.Duration
	restart  time.Duration
	silence  time.Duration
	planner  string
	data     string
	json     bool
}

func scaleCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("scale")
	flags := &scaleFlags{}
	cli.UintFlag(flagSet, &flags.daemons, "daemons", scale.DefaultDaemons, maxDaemons, "hollow daemons at the largest of the three sizes")
	cli.UintFlag(flagSet, &flags.replicas, "replicas", scale.DefaultReplicas, maxReplicas, "hollow replicas at the largest of the three sizes")
	cli.UintFlag(flagSet, &flags.voters, "voters", scale.DefaultVoters, maxVoters, "real control members")
	cli.UintFlag(flagSet, &flags.relays, "relays", 0, maxRelays, "real relays that the daemons follow; 0: they follow the control members")
	cli.UintFlag(flagSet, &flags.proxies, "proxies", scale.DefaultProxies, maxProxies, "real proxies")
	cli.UintFlag(flagSet, &flags.seed, "seed", 1, maxSeed, "seed of the order in which replicas are polled")
	cli.DurationFlag(flagSet, &flags.duration, "for", scale.DefaultDuration, "how long changes and restarts go on at each size")
	cli.DurationFlag(flagSet, &flags.poll, "poll-interval", scale.DefaultPollInterval, "time between two load polls of a hollow daemon")
	cli.DurationFlag(flagSet, &flags.change, "change-interval", scale.DefaultChangeInterval, "time between two changes of the operators")
	cli.DurationFlag(flagSet, &flags.restart, "restart-interval", scale.DefaultRestartInterval, "time between two restarts of replicas")
	cli.DurationFlag(flagSet, &flags.silence, "engine-silence", scale.DefaultEngineSilence, "engineSilence of the control members")
	cli.ChoiceFlag(flagSet, &flags.planner, "planner", "policy of the control members", "landingtrail", "static", "threshold")
	flagSet.StringVar(&flags.data, "data", "", "folder that keeps data, settings and logs; empty: a temporary one")
	cli.BoolFlag(flagSet, &flags.json, "json", "print the report as JSON")
	return &ffcli.Command{
		Name:       "scale",
		ShortUsage: "landingtrail-lab scale [flags]",
		ShortHelp:  "Measure what control costs a daemon at a quarter, a half and the whole of a size",
		LongHelp:   cli.ExampleHelp("landingtrail-lab scale --daemons 200 --replicas 1000 --for 20s --json"),
		FlagSet:    flagSet,
		Options:    cli.Environment(environmentPrefix),
		Exec: func(ctx context.Context, args []string) error {
			if err := cli.Exactly(args); err != nil {
				return err
			}
			return runScale(ctx, to, flags)
		},
	}
}

// check names every count that must not be zero.
func (f *scaleFlags) check() error {
	var faults settings.Faults
	for _, count := range []struct {
		field string
		value uint64
	}{{"daemons", f.daemons}, {"replicas", f.replicas}, {"voters", f.voters}} {
		if count.value == 0 {
			faults = append(faults, api.FieldFault{Field: count.field, Message: "must be at least 1"})
		}
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

func runScale(ctx context.Context, to cli.Streams, flags *scaleFlags) error {
	if err := flags.check(); err != nil {
		return err
	}
	product, own, err := findPrograms()
	if err != nil {
		return err
	}
	report, err := scale.Run(ctx, scale.Config{
		Daemons:         int(flags.daemons),
		Replicas:        int(flags.replicas),
		Duration:        flags.duration,
		Voters:          int(flags.voters),
		Relays:          int(flags.relays),
		Proxies:         int(flags.proxies),
		Seed:            flags.seed,
		PollInterval:    flags.poll,
		ChangeInterval:  flags.change,
		RestartInterval: flags.restart,
		EngineSilence:   flags.silence,
		Planner:         flags.planner,
		Product:         product,
		Lab:             own,
		Data:            flags.data,
		Progress:        to.Err,
	})
	if err != nil {
		return err
	}
	if flags.json {
		return cli.PrintJSON(to.Out, report)
	}
	printScale(to, report)
	return nil
}

func printScale(to cli.Streams, report scale.Report) {
	const kilobyte = 1 << 10
	_, _ = fmt.Fprintf(to.Out, "%8s %9s %14s %12s %14s %22s\n", "daemons", "replicas", "bytes/s a daemon", "core share", "resident kB", "in force ms p50/p99/last")
	for _, size := range report.Sizes {
		_, _ = fmt.Fprintf(to.Out, "%8d %9d %14.0f %12.5f %14.0f %10.0f/%.0f/%.0f\n", size.Daemons, size.Replicas,
			size.BytesPerSecondPerDaemon, size.CPUSharePerDaemon, size.ResidentBytesPerDaemon/kilobyte,
			size.InForce.P50, size.InForce.P99, size.InForce.Last)
	}
}

// replicasCommand is what a scale run starts for itself.
func replicasCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("replicas")
	var first, count, port uint64
	cli.UintFlag(flagSet, &first, "first", 0, maxReplicas, "number of the first replica")
	cli.UintFlag(flagSet, &count, "count", 1, maxReplicas, "how many replicas")
	cli.UintFlag(flagSet, &port, "port", 20_000, maxPortNumber, "port of all replicas; each has a loopback IP number of its own")
	return &ffcli.Command{
		Name:       "replicas",
		ShortUsage: "landingtrail-lab replicas [flags]",
		ShortHelp:  "Run many stand-ins of model engines in one process, for a scale run",
		LongHelp:   cli.ExampleHelp("landingtrail-lab replicas --first 0 --count 100 --port 20000"),
		FlagSet:    flagSet,
		Options:    cli.Environment(environmentPrefix),
		Exec: func(ctx context.Context, args []string) error {
			if err := cli.Exactly(args); err != nil {
				return err
			}
			return scale.RunReplicas(ctx, scale.ReplicasConfig{First: int(first), Count: int(count), Port: int(port)})
		},
	}
}
