package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
)

func releaseCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("release")
	flags := newOperatorFlags(flagSet)
	return &ffcli.Command{
		Name:       "release",
		ShortUsage: "landingtrail release FINGERPRINT [flags]",
		ShortHelp:  "Let a request run again that is held since replicas ended under it",
		LongHelp: "The fingerprint stands in the proxies' logs (4606, 4607) and in \"landingtrail get quarantine\".\n" +
			"The request is forgotten: only three more ends hold it again.\n\n" +
			cli.ExampleHelp("landingtrail release 5fb9a22cf26f7399cb0648c03234c2c9 --endpoints 127.0.0.1:7121"),
		FlagSet: flagSet,
		Options: cli.Environment(environmentPrefix),
		Exec: func(ctx context.Context, args []string) error {
			if err := cli.Exactly(args, "fingerprint"); err != nil {
				return err
			}
			return release(ctx, to, flags, args[0])
		},
	}
}

func release(ctx context.Context, to cli.Streams, flags *operatorFlags, fingerprint string) error {
	client, err := flags.client()
	if err != nil {
		return err
	}
	released, err := client.Release(ctx, fingerprint)
	if err != nil {
		return err
	}
	if flags.output == cli.OutputJSON {
		return cli.PrintJSON(to.Out, released)
	}
	cli.Printf(to.Out, "released %s\n", released.Fingerprint)
	return nil
}
