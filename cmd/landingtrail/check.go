package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/process/settings"
)

func checkCommand(to streams) *ffcli.Command {
	flagSet := newFlagSet("check")
	path := flagSet.String("settings", "", "file with settings or objects; - reads standard input")
	output := outputFlag(flagSet)
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "landingtrail check --settings F [--output table|json]",
		ShortHelp:  "Check a file of settings or objects; exit 2 with every fault by field",
		LongHelp:   exampleHelp("landingtrail check --settings deployments/radarvlak/objects.yaml"),
		FlagSet:    flagSet,
		Options:    environment(),
		Exec: func(_ context.Context, args []string) error {
			if err := exactly(args); err != nil {
				return err
			}
			if *path == "" {
				return usageError{"settings", "must name a file"}
			}
			return check(to, *path, *output)
		},
	}
}

func check(to streams, path, output string) error {
	faults, err := settings.Check(path)
	if err != nil {
		return fileError("settings", err)
	}
	if output == outputJSON {
		if err := printJSON(to.out, checkReport{File: path, Faults: faults}); err != nil {
			return err
		}
	}
	if len(faults) > 0 {
		return settings.Faults(faults)
	}
	if output == outputTable {
		printf(to.out, "%s: no fault\n", path)
	}
	return nil
}

// fileError makes a file that cannot be read a usage error of the flag.
func fileError(flagName string, err error) error {
	var faults settings.Faults
	if errors.As(err, &faults) {
		return err
	}
	return usageError{flagName, err.Error()}
}
