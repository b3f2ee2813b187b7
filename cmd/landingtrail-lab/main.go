// Command landingtrail-lab is for development: stand-ins of the engines, back
// ends and platform, a whole deployment on one machine, experiments, fault
// campaigns and scale runs.
package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
)

const (
	programName       = "landingtrail-lab"
	environmentPrefix = "LANDINGTRAIL_LAB"
)

func main() { cli.Main(run) }

// run carries out one command line and returns its exit code.
func run(ctx context.Context, args []string, to cli.Streams) cli.ExitCode {
	return cli.Run(ctx, rootCommand(to), args, to, judge)
}

func rootCommand(to cli.Streams) *ffcli.Command {
	return &ffcli.Command{
		Name:       programName,
		ShortUsage: "landingtrail-lab <command> [flags]",
		LongHelp:   exitCodesHelp,
		FlagSet:    cli.NewFlagSet(programName),
		Subcommands: []*ffcli.Command{
			fleetCommand(to), soakCommand(to), experimentCommand(to), campaignCommand(to), engineCommand(to), backendCommand(to), platformCommand(to), pagesCommand(to),
			scaleCommand(to), replicasCommand(to), lanesCommand(to), forwarderCommand(to),
		},
	}
}

const exitCodesHelp = `EXIT STATUS
  0  done
  1  failed: a process died, or something that must always hold did not
  2  bad usage, settings or objects`
