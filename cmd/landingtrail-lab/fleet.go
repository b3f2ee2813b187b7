package main

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/lab/fleet"
	"github.com/landingtrail/landingtrail/lab/trace"
	"github.com/landingtrail/landingtrail/process/settings"
)

// productProgram is found beside this program.
const productProgram = "landingtrail"

const maxSeed = 1 << 62

// violationError says that something that must always hold did not. The
// summary has been printed.
type violationError struct{ count int }

// Error words the count.
func (e violationError) Error() string { return strconv.Itoa(e.count) + " violations" }

// findPrograms returns the paths of the product's program and of this one, which
// stand beside each other.
func findPrograms() (product, own string, err error) {
	own, err = os.Executable()
	if err != nil {
		return "", "", errors.Wrap(err, "find programs")
	}
	return filepath.Join(filepath.Dir(own), productProgram), own, nil
}

// maxFleetRelays bounds the relays of one fleet.
const maxFleetRelays = 9

// fleetFlags are the flags of fleet.
type fleetFlags struct {
	deployment string
	folder     string
	data       string
	drill      string
	rate       float64
	json       bool
	duration   time.Duration
	seed       uint64
	speed      uint64
	relays     uint64
}

func fleetCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("fleet")
	flags := &fleetFlags{}
	cli.ChoiceFlag(flagSet, &flags.deployment, "deployment", "which deployment", trace.DeploymentRadarvlak, trace.DeploymentCaroni)
	flagSet.StringVar(&flags.folder, "folder", fleet.DefaultFolder, "folder with a folder of settings and objects for each deployment")
	flagSet.StringVar(&flags.data, "data", "", "folder that keeps data, settings and logs; empty: a temporary one")
	cli.ChoiceFlag(flagSet, &flags.drill, "drill", "what happens to processes during the load: planned stops or crashes, each with a restart",
		string(fleet.DrillNone), string(fleet.DrillPlanned), string(fleet.DrillCrash))
	cli.DurationOrZeroFlag(flagSet, &flags.duration, "for", fleet.DefaultDuration, "how long callers send; 0: none sends, and the fleet serves until Ctrl-C")
	cli.UintFlag(flagSet, &flags.seed, "seed", 1, maxSeed, "seed of the traffic")
	cli.UintFlag(flagSet, &flags.speed, "speed", 1, maxSpeed, "how many times faster than real engines the stand-ins work")
	cli.UintFlag(flagSet, &flags.relays, "relays", 0, maxFleetRelays, "relays that pass the feed on to the proxies; 0: proxies follow the members")
	flagSet.Float64Var(&flags.rate, "rate", 1, "factor of the model requests a second")
	cli.BoolFlag(flagSet, &flags.json, "json", "print the summary as JSON")
	return &ffcli.Command{
		Name:       "fleet",
		ShortUsage: "landingtrail-lab fleet [flags]",
		ShortHelp:  "Run a whole deployment on this machine, with real processes and load",
		LongHelp: "Ctrl-C stops the callers and drains the fleet. Its addresses are printed, and written as\n" +
			"variables to the file environment in the data folder.\n\n" +
			cli.ExampleHelp("landingtrail-lab fleet --deployment caroni --for 20s",
				"landingtrail-lab fleet --deployment radarvlak --for 0 --data fleet-data"),
		FlagSet: flagSet,
		Options: cli.Environment(environmentPrefix),
		Exec: func(ctx context.Context, args []string) error {
			if err := cli.Exactly(args); err != nil {
				return err
			}
			return runFleet(ctx, to, flags)
		},
	}
}

func runFleet(ctx context.Context, to cli.Streams, flags *fleetFlags) error {
	if flags.speed == 0 {
		return cli.UsageError{Field: "speed", Message: "must be at least 1"}
	}
	if flags.rate <= 0 {
		return cli.UsageError{Field: "rate", Message: "must be above 0"}
	}
	product, own, err := findPrograms()
	if err != nil {
		return err
	}
	summary, err := fleet.Run(ctx, fleet.Config{
		Deployment:  flags.deployment,
		Folder:      flags.folder,
		Product:     product,
		Lab:         own,
		Duration:    flags.duration,
		Seed:        flags.seed,
		Rate:        flags.rate,
		Speed:       flags.speed,
		Data:        flags.data,
		Drill:       fleet.Drill(flags.drill),
		Relays:      int(flags.relays),
		WeightBytes: fleet.DefaultWeightBytes,
		WeightRate:  fleet.DefaultWeightRate,
		Progress:    to.Err,
	})
	if err != nil {
		return err
	}
	if flags.json {
		if err := cli.PrintJSON(to.Out, summary); err != nil {
			return err
		}
	} else if flags.duration > 0 || summary.ViolationCount > 0 {
		summary.Print(to.Out)
	}
	if summary.ViolationCount > 0 {
		return violationError{summary.ViolationCount}
	}
	return nil
}

// judge turns a command's error into its lines and exit code.
func judge(err error) ([]string, cli.ExitCode) {
	var faults settings.Faults
	if errors.As(err, &faults) {
		var lines []string
		for _, fault := range faults {
			lines = append(lines, settings.FaultLine(fault))
		}
		return lines, cli.ExitUsage
	}
	if errors.Is(err, fleet.ErrDataFolder) {
		return []string{"data: must be a new or empty folder"}, cli.ExitUsage
	}
	return cli.JudgeUsage(err)
}
