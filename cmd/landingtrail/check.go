package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/process/settings"
	"github.com/landingtrail/landingtrail/version/api"
)

// checkReport is the JSON of "check".
type checkReport struct {
	File   string           `json:"file"`
	Faults []api.FieldFault `json:"faults"`
}

func checkCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("check")
	path := flagSet.String("settings", "", "file with settings or objects; - reads standard input")
	output := cli.OutputFlag(flagSet)
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "landingtrail check --settings F [--output table|json]",
		ShortHelp:  "Check a file of settings or objects; exit 2 with every fault by field",
		LongHelp:   cli.ExampleHelp("landingtrail check --settings deployments/radarvlak/objects.yaml"),
		FlagSet:    flagSet,
		Options:    cli.Environment(environmentPrefix),
		Exec: func(_ context.Context, args []string) error {
			if err := cli.Exactly(args); err != nil {
				return err
			}
			if *path == "" {
				return cli.UsageError{Field: "settings", Message: "must name a file"}
			}
			return check(to, *path, *output)
		},
	}
}

func check(to cli.Streams, path, output string) error {
	faults, err := settings.Check(path)
	if err != nil {
		return fileError("settings", err)
	}
	if output == cli.OutputJSON {
		if err := cli.PrintJSON(to.Out, checkReport{File: path, Faults: faults}); err != nil {
			return err
		}
	}
	if len(faults) > 0 {
		return settings.Faults(faults)
	}
	if output == cli.OutputTable {
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
