package main

import (
	"context"
	"path/filepath"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/lab/fleet"
	"github.com/landingtrail/landingtrail/lab/trace"
)

const (
	defaultSoakSeeds    = "1-3"
	defaultSoakDuration = time.Minute
	defaultSoakRate     = 0.5
	soakSpeed           = 10
	soakWeightBytes     = 256 << 10
	soakWeightRate      = 2 << 20
)

// soakFlags are the flags of soak.
type soakFlags struct {
	deployment string
	folder     string
	data       string
	seeds      string
	rate       float64
	relays     uint64
	duration   time.Duration
	json       bool
}

func soakCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("soak")
	flags := &soakFlags{}
	cli.ChoiceFlag(flagSet, &flags.deployment, "deployment", "which deployment", trace.DeploymentRadarvlak, trace.DeploymentCaroni)
	flagSet.StringVar(&flags.folder, "folder", fleet.DefaultFolder, "folder with a folder of settings and objects for each deployment")
	flagSet.StringVar(&flags.data, "data", "", "folder that keeps a folder of data and logs for each seed; empty: none is kept")
	flagSet.StringVar(&flags.seeds, "seeds", defaultSoakSeeds, "seeds A-B, one run each, one after the other")
	cli.DurationFlag(flagSet, &flags.duration, "for", defaultSoakDuration, "how long faults strike in each run")
	flagSet.Float64Var(&flags.rate, "rate", defaultSoakRate, "factor of the model requests a second")
	cli.UintFlag(flagSet, &flags.relays, "relays", 0, maxFleetRelays, "relays that pass the feed on to the proxies; 0: proxies follow the members")
	cli.BoolFlag(flagSet, &flags.json, "json", "print the reports as JSON")
	return &ffcli.Command{
		Name:       "soak",
		ShortUsage: "landingtrail-lab soak [flags]",
		ShortHelp:  "Strike real processes with faults from outside and check promises meanwhile",
		LongHelp: "Each seed draws a schedule of faults: signals, links, and files of the real processes of a\n" +
			"deployment. The exit status is 1 if a promise was broken.\n\n" +
			cli.ExampleHelp("landingtrail-lab soak --deployment caroni --seeds 7-9 --for 2m"),
		FlagSet: flagSet,
		Options: cli.Environment(environmentPrefix),
		Exec: func(ctx context.Context, args []string) error {
			if err := cli.Exactly(args); err != nil {
				return err
			}
			return runSoak(ctx, to, flags)
		},
	}
}

func runSoak(ctx context.Context, to cli.Streams, flags *soakFlags) error {
	if flags.rate <= 0 {
		return cli.UsageError{Field: "rate", Message: "must be above 0"}
	}
	first, last, err := parseSeeds(flags.seeds)
	if err != nil {
		return err
	}
	product, own, err := findPrograms()
	if err != nil {
		return err
	}
	config := fleet.Config{
		Deployment:  flags.deployment,
		Folder:      flags.folder,
		Product:     product,
		Lab:         own,
		Duration:    flags.duration,
		Rate:        flags.rate,
		Speed:       soakSpeed,
		Relays:      int(flags.relays),
		WeightBytes: soakWeightBytes,
		WeightRate:  soakWeightRate,
		Progress:    to.Err,
	}
	broken := 0
	reports := []fleet.SoakReport{}
	for seed := first; seed <= last && ctx.Err() == nil; seed++ {
		config.Seed = seed
		config.Data = soakFolder(flags.data, seed)
		report, err := fleet.Soak(ctx, config)
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		broken += len(report.Violations)
		reports = append(reports, report)
		if !flags.json {
			printSoak(to, report)
		}
	}
	if flags.json {
		if err := cli.PrintJSON(to.Out, reports); err != nil {
			return err
		}
	}
	if broken > 0 {
		return violationError{broken}
	}
	return nil
}

// soakFolder is where a seed's run is kept; empty: nowhere.
func soakFolder(data string, seed uint64) string {
	if data == "" {
		return ""
	}
	return filepath.Join(data, strconv.FormatUint(seed, 10))
}

func printSoak(to cli.Streams, report fleet.SoakReport) {
	struck := 0
	for _, count := range report.Faults {
		struck += count
	}
	cli.Printf(to.Out, "seed %d: %d faults in %.0f s, settled %.1f s after the last; %d requests: %d whole, %d not run, %d unknown; %d ran at most once; %d changes; %d violations\n",
		report.Seed, struck, report.Seconds, report.SettledSeconds, report.Offered, report.Completed, report.Refused, report.Unknown, report.RanOnce, report.Changes, len(report.Violations))
	for _, violation := range report.Violations {
		cli.Printf(to.Out, "  %s\n", violation)
	}
}
