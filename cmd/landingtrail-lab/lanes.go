package main

import (
	"context"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/lab/fleet"
	"github.com/landingtrail/landingtrail/lab/forwarder"
	"github.com/landingtrail/landingtrail/lab/trace"
)

// saturatingRate is the default factor of the model requests: more than the
// engines can answer.
const saturatingRate = 7

const maxBlocks = 1000

// lanesFlags are the flags of lanes.
type lanesFlags struct {
	deployment string
	folder     string
	rate       float64
	blocks     uint64
	block      time.Duration
	seed       uint64
	json       bool
}

func lanesCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("lanes")
	flags := &lanesFlags{}
	cli.ChoiceFlag(flagSet, &flags.deployment, "deployment", "which deployment", trace.DeploymentRadarvlak, trace.DeploymentCaroni)
	flagSet.StringVar(&flags.folder, "folder", fleet.DefaultFolder, "folder with a folder of settings and objects for each deployment")
	flagSet.Float64Var(&flags.rate, "rate", saturatingRate, "factor of the model requests a second")
	cli.UintFlag(flagSet, &flags.blocks, "blocks", fleet.DefaultBlocks, maxBlocks, "how often the two kinds of blocks are played")
	cli.DurationFlag(flagSet, &flags.block, "block", fleet.DefaultBlock, "length of a block")
	cli.UintFlag(flagSet, &flags.seed, "seed", 1, maxSeed, "seed of the traffic")
	cli.BoolFlag(flagSet, &flags.json, "json", "print the result as JSON")
	return &ffcli.Command{
		Name:       "lanes",
		ShortUsage: programName + " lanes [flags]",
		ShortHelp:  "Measure plain requests beside saturated model work, and the data path beside a plain forwarder",
		LongHelp: "Real processes; blocks without and with model work take turns in one run.\n\n" +
			cli.ExampleHelp("landingtrail-lab lanes --deployment radarvlak --blocks 6 --block 4s"),
		FlagSet: flagSet,
		Options: cli.Environment(environmentPrefix),
		Exec: func(ctx context.Context, args []string) error {
			if err := cli.Exactly(args); err != nil {
				return err
			}
			return runLanes(ctx, to, flags)
		},
	}
}

func runLanes(ctx context.Context, to cli.Streams, flags *lanesFlags) error {
	if flags.rate <= 0 {
		return cli.UsageError{Field: "rate", Message: "must be above 0"}
	}
	if flags.blocks == 0 {
		return cli.UsageError{Field: "blocks", Message: "must be at least 1"}
	}
	product, own, err := findPrograms()
	if err != nil {
		return err
	}
	result, err := fleet.MeasureInterference(ctx, fleet.InterferenceConfig{
		Fleet: fleet.Config{
			Deployment:  flags.deployment,
			Folder:      flags.folder,
			Product:     product,
			Lab:         own,
			Seed:        flags.seed,
			Rate:        flags.rate,
			Speed:       1,
			WeightBytes: fleet.DefaultWeightBytes,
			WeightRate:  fleet.DefaultWeightRate,
			Progress:    to.Err,
		},
		Blocks: int(flags.blocks),
		Block:  flags.block,
	})
	if err != nil {
		return err
	}
	if flags.json {
		return cli.PrintJSON(to.Out, result)
	}
	printInterference(to, &result)
	return nil
}

func printInterference(to cli.Streams, result *fleet.Interference) {
	for _, line := range []struct {
		name  string
		times fleet.LaneTimes
	}{
		{"plain requests alone:  ", result.Alone},
		{"beside model work:     ", result.Beside},
		{"by the forwarder, alone:   ", result.ForwarderAlone},
		{"by the forwarder, beside:  ", result.ForwarderBeside},
	} {
		cli.Printf(to.Out, "%sp50 %.2f ms, p99 %.2f ms (%d, %d failed)\n",
			line.name, line.times.P50, line.times.P99, line.times.Count, line.times.Failed)
	}
	cli.Printf(to.Out, "ratio of the p99:      %.3f, 95 %% of bootstrap samples from %.3f to %.3f\n",
		result.P99Ratio, result.P99RatioLow, result.P99RatioHigh)
	cli.Printf(to.Out, "model requests beside: %d offered, %d whole\n", result.ModelOffered, result.ModelWhole)
	cost := &result.Cost
	cli.Printf(to.Out, "time of a request:     direct %.0f us, forwarder %.0f us, proxy %.0f us; added by the proxy over added by the forwarder %.2f\n",
		cost.DirectMicroseconds, cost.ForwarderMicroseconds, cost.ProxyMicroseconds, cost.TimeRatio)
	cli.Printf(to.Out, "processor of a request: forwarder %.0f us, proxy %.0f us, ratio %.2f\n",
		cost.ForwarderProcessor, cost.ProxyProcessor, cost.ProcessorRatio)
	cli.Printf(to.Out, "load average of the machine: %.1f before, %.1f after\n", result.LoadAverage[0], result.LoadAverage[1])
}

func forwarderCommand(_ cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("forwarder")
	listen := flagSet.String("listen", "", "IP number and port to listen on")
	target := flagSet.String("target", "", "IP number and port to pass requests on to")
	return standInCommand("forwarder", "Run a plain HTTP forwarder, the measure for the data path's cost", flagSet,
		"landingtrail-lab forwarder --listen 127.0.0.1:7500 --target 127.0.0.1:7401",
		func(ctx context.Context) error {
			if err := checkAddress("listen", *listen); err != nil {
				return err
			}
			if err := checkAddress("target", *target); err != nil {
				return err
			}
			return forwarder.Run(ctx, *listen, *target)
		})
}
