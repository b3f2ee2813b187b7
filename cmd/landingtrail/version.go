package main

import (
	"context"
	"runtime"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
)

// versionReport is the JSON of "version".
type versionReport struct {
	Version  string `json:"version"`
	Commit   string `json:"commit,omitempty"`
	Go       string `json:"go"`
	Platform string `json:"platform"`
}

func versionCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("version")
	output := cli.OutputFlag(flagSet)
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "landingtrail version [--output table|json]",
		ShortHelp:  "Print the program's version",
		LongHelp:   cli.ExampleHelp("landingtrail version"),
		FlagSet:    flagSet,
		Options:    cli.Environment(environmentPrefix),
		Exec: func(_ context.Context, args []string) error {
			if err := cli.Exactly(args); err != nil {
				return err
			}
			report := readVersion()
			if *output == cli.OutputJSON {
				return cli.PrintJSON(to.Out, report)
			}
			cli.Printf(to.Out, "landingtrail %s %s (%s, %s)\n", report.Version, report.Commit, report.Go, report.Platform)
			return nil
		},
	}
}

// readVersion returns what the build recorded about itself.
func readVersion() versionReport {
	report := versionReport{Version: "development", Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return report
	}
	if info.Main.Version != "" {
		report.Version = info.Main.Version
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			report.Commit = setting.Value
		}
	}
	return report
}
