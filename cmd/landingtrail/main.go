// Command landingtrail is the product: the daemons of the control group and of
// the data path, and the operator's commands. It starts no process.
package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
)

const (
	programName = "landingtrail"
	// environmentPrefix starts the variables that stand in for flags.
	environmentPrefix = "LANDINGTRAIL"
)

func main() { cli.Main(run) }

// run carries out one command line and returns its exit code.
func run(ctx context.Context, args []string, to cli.Streams) cli.ExitCode {
	return cli.Run(ctx, rootCommand(to), args, to, judge)
}

func rootCommand(to cli.Streams) *ffcli.Command {
	return &ffcli.Command{
		Name:       programName,
		ShortUsage: "landingtrail <command> [flags] [arguments]",
		LongHelp:   exitCodesHelp + "\n\nEvery flag also has a variable: LANDINGTRAIL_ENDPOINTS stands in for --endpoints.",
		FlagSet:    cli.NewFlagSet(programName),
		Subcommands: []*ffcli.Command{
			controlCommand(to), proxyCommand(to), relayCommand(to), checkCommand(to),
			applyCommand(to), getCommand(to), diffCommand(to), labelCommand(to), drainCommand(to),
			statusCommand(to), ordersCommand(to), ledgerCommand(to), usageCommand(to), quotaCommand(to), releaseCommand(to), membersCommand(to), storyCommand(to), timelineCommand(to), versionCommand(to),
		},
	}
}
