package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/connection/operator"
)

// showing is a command without arguments that reads one report and prints it.
type showing[Report any] struct {
	name  string
	help  string
	read  func(*operator.Client, context.Context) (Report, error)
	print func(cli.Streams, Report) error
}

// command returns the command.
func (s showing[Report]) command(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet(s.name)
	flags := newOperatorFlags(flagSet)
	return &ffcli.Command{
		Name:       s.name,
		ShortUsage: "landingtrail " + s.name + " --endpoints A [flags]",
		ShortHelp:  s.help,
		LongHelp:   cli.ExampleHelp("landingtrail " + s.name + " --endpoints 127.0.0.1:7121"),
		FlagSet:    flagSet,
		Options:    cli.Environment(environmentPrefix),
		Exec: func(ctx context.Context, args []string) error {
			if err := cli.Exactly(args); err != nil {
				return err
			}
			return s.show(ctx, to, flags)
		},
	}
}

func (s showing[Report]) show(ctx context.Context, to cli.Streams, flags *operatorFlags) error {
	client, err := flags.client()
	if err != nil {
		return err
	}
	report, err := s.read(client, ctx)
	if err != nil {
		return err
	}
	if flags.output == cli.OutputJSON {
		return cli.PrintJSON(to.Out, report)
	}
	return s.print(to, report)
}
