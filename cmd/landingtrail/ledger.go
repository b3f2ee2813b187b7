package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
)

// ledgerFlags are the flags of ledger.
type ledgerFlags struct {
	operator *operatorFlags
	tenant   string
	key      string
}

func ledgerCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("ledger")
	flags := &ledgerFlags{operator: newOperatorFlags(flagSet)}
	flagSet.StringVar(&flags.key, "key", "", "idempotency key of the request")
	flagSet.StringVar(&flags.tenant, "tenant", "", "tenant that the key belongs to; empty for requests without one")
	return &ffcli.Command{
		Name:       "ledger",
		ShortUsage: "landingtrail ledger --endpoints A --key K [--tenant T] [flags]",
		ShortHelp:  "Show what became of a request that runs at most once",
		LongHelp: "The answer holds everything that was acknowledged before the question. No claim means that no\n" +
			"request was granted the key, or that its retention has ended.\n\n" +
			cli.ExampleHelp("landingtrail ledger --tenant gritting-north --key briefing-1-3 --endpoints 127.0.0.1:7121"),
		FlagSet: flagSet,
		Options: cli.Environment(environmentPrefix),
		Exec: func(ctx context.Context, args []string) error {
			if err := cli.Exactly(args); err != nil {
				return err
			}
			return ledger(ctx, to, flags)
		},
	}
}

func ledger(ctx context.Context, to cli.Streams, flags *ledgerFlags) error {
	if flags.key == "" {
		return cli.UsageError{Field: "key", Message: "must be the idempotency key of a request"}
	}
	client, err := flags.operator.client()
	if err != nil {
		return err
	}
	found, err := client.Ledger(ctx, flags.tenant, flags.key)
	if err != nil {
		return err
	}
	if flags.operator.output == cli.OutputJSON {
		return cli.PrintJSON(to.Out, found)
	}
	return printLedger(to, found)
}

func printLedger(to cli.Streams, found operatorapi.Ledger) error {
	if len(found.Claims) == 0 {
		cli.Printf(to.Out, "no claim is kept under this key\n")
		return nil
	}
	printed := cli.NewTable(to.Out, "TENANT", "KEY", "OUTCOME", "ATTEMPT", "PROXY", "REVISION")
	for _, claim := range found.Claims {
		printed.Row(claim.Tenant, claim.Key, claim.Outcome, claim.Attempt, claim.Proxy, claim.Revision)
	}
	return printed.Flush()
}
