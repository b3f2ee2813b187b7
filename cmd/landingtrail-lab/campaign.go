package main

import (
	"context"
	"maps"
	"runtime"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/lab/campaign"
)

const (
	defaultCampaignSeeds = "1-20"
	maxWorkers           = 64
	maxShrinkRuns        = 10_000
	defaultShrinkRuns    = 200
)

// campaignFlags are the flags of campaign.
type campaignFlags struct {
	seeds   string
	workers uint64
	shrink  uint64
	json    bool
}

func campaignCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("campaign")
	flags := &campaignFlags{}
	flagSet.StringVar(&flags.seeds, "seeds", defaultCampaignSeeds, "seeds A-B, one run each")
	cli.UintFlag(flagSet, &flags.workers, "workers", uint64(max(1, runtime.NumCPU()/2)), maxWorkers, "how many seeds run at once; 0 means one")
	cli.UintFlag(flagSet, &flags.shrink, "shrink", defaultShrinkRuns, maxShrinkRuns, "runs that may be spent on shortening the schedule of a violation")
	cli.BoolFlag(flagSet, &flags.json, "json", "print JSON")
	return &ffcli.Command{
		Name:       "campaign",
		ShortUsage: "landingtrail-lab campaign [flags]",
		ShortHelp:  "Strike a deployment with faults in virtual time and check what must always hold",
		LongHelp: "The exit status is 1 if a rule was broken; each broken rule is printed with its\nseed and the shortest schedule found.\n\n" +
			cli.ExampleHelp("landingtrail-lab campaign --seeds 1-200 --json"),
		FlagSet: flagSet,
		Options: cli.Environment(environmentPrefix),
		Exec: func(_ context.Context, args []string) error {
			if err := cli.Exactly(args); err != nil {
				return err
			}
			return runCampaign(to, flags)
		},
	}
}

func runCampaign(to cli.Streams, flags *campaignFlags) error {
	first, last, err := parseSeeds(flags.seeds)
	if err != nil {
		return err
	}
	report := campaign.Run(campaign.Config{First: first, Last: last, Workers: int(flags.workers), Shrink: int(flags.shrink)})
	if err := printCampaign(to, flags.json, report); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return violationError{len(report.Violations)}
	}
	return nil
}

func printCampaign(to cli.Streams, asJSON bool, report campaign.Report) error {
	if asJSON {
		return cli.PrintJSON(to.Out, report)
	}
	cli.Printf(to.Out, "%d seeds, %d steps\n\n", report.Seeds, report.Steps)
	if err := printCounts(to, "FAULT", report.Faults); err != nil {
		return err
	}
	cli.Printf(to.Out, "\n")
	if err := printCounts(to, "WORK", report.Work); err != nil {
		return err
	}
	if never := report.NeverStruck(); len(never) > 0 {
		cli.Printf(to.Out, "\nnever struck, nothing proved of: %s\n", strings.Join(never, ", "))
	}
	cli.Printf(to.Out, "\nviolations: %d\n", len(report.Violations))
	for _, violation := range report.Violations {
		cli.Printf(to.Out, "seed %d breaks %s: %s\n", violation.Seed, violation.Rule, violation.Trace)
	}
	return nil
}

func printCounts(to cli.Streams, title string, counts map[string]int) error {
	printed := cli.NewTable(to.Out, title, "COUNT")
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		printed.Row(kind, counts[kind])
	}
	return printed.Flush()
}
