package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/process/settings"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/lint"
)

// checkReport is the JSON of "check".
type checkReport struct {
	File   string           `json:"file"`
	Faults []api.FieldFault `json:"faults"`
	// Findings are entries of a valid file that have no effect or contradict each other.
	Findings []api.FieldFault `json:"findings"`
	// Changes is null unless the file was compared with the objects in force.
	Changes []fieldChange `json:"changes"`
}

func checkCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("check")
	flags := newOperatorFlags(flagSet)
	path := flagSet.String("settings", "", "file with settings or objects; - reads standard input")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "landingtrail check --settings F [--endpoints A] [flags]",
		ShortHelp:  "Check a file of settings or objects; exit 2 with every fault and finding by field",
		LongHelp: cli.ExampleHelp("landingtrail check --settings deployments/radarvlak/objects.yaml") +
			"\n\nWith --endpoints, a file of objects without a fault is also compared with the objects in force.",
		FlagSet: flagSet,
		Options: cli.Environment(environmentPrefix),
		Exec: func(ctx context.Context, args []string) error {
			if err := cli.Exactly(args); err != nil {
				return err
			}
			if *path == "" {
				return cli.UsageError{Field: "settings", Message: "must name a file"}
			}
			return check(ctx, to, *path, flags)
		},
	}
}

func check(ctx context.Context, to cli.Streams, path string, flags *operatorFlags) error {
	objects, faults, err := settings.CheckObjects(path)
	if err != nil {
		return fileError("settings", err)
	}
	report := checkReport{File: path, Faults: faults, Findings: lint.Objects(objects)}
	if flags.endpoints != "" && len(objects) > 0 {
		client, err := flags.client()
		if err != nil {
			return err
		}
		if report.Changes, err = changesOf(ctx, client, objects); err != nil {
			return err
		}
	}
	if flags.output == cli.OutputJSON {
		if err := cli.PrintJSON(to.Out, report); err != nil {
			return err
		}
	} else if report.Changes != nil {
		printChanges(to, report.Changes)
	}
	if found := append(report.Faults, report.Findings...); len(found) > 0 {
		return settings.Faults(found)
	}
	if flags.output == cli.OutputTable {
		cli.Printf(to.Out, "%s: no fault\n", path)
	}
	return nil
}

// fileError makes a file that cannot be read a usage error of the flag.
func fileError(flagName string, err error) error {
	var faults settings.Faults
	if errors.As(err, &faults) {
		return err
	}
	return cli.UsageError{Field: flagName, Message: err.Error()}
}
