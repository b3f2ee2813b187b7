package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
)

// maxLedgerPage bounds one page of the ledger.
const maxLedgerPage = 10_000

// ledgerFlags are the flags of ledger.
type ledgerFlags struct {
	operator *operatorFlags
	tenant   string
	key      string
	after    string
	limit    uint64
	all      bool
}

func ledgerCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("ledger")
	flags := &ledgerFlags{operator: newOperatorFlags(flagSet)}
	flagSet.StringVar(&flags.key, "key", "", "idempotency key of one request; empty: pages of all")
	flagSet.StringVar(&flags.tenant, "tenant", "", "tenant that the key belongs to")
	flagSet.StringVar(&flags.after, "after", "", "token of the page to start with, as the page before printed it")
	cli.UintFlag(flagSet, &flags.limit, "limit", 100, maxLedgerPage, "claims a page")
	cli.BoolFlag(flagSet, &flags.all, "all", "read every page")
	return &ffcli.Command{
		Name:       "ledger",
		ShortUsage: "landingtrail ledger --endpoints A [flags]",
		ShortHelp:  "List the claims of requests that run at most once, and what became of them",
		LongHelp:   cli.ExampleHelp("landingtrail ledger --tenant gritting-north --key briefing-1-3 --endpoints 127.0.0.1:7121"),
		FlagSet:    flagSet,
		Options:    cli.Environment(environmentPrefix),
		Exec: func(ctx context.Context, args []string) error {
			if err := cli.Exactly(args); err != nil {
				return err
			}
			return ledger(ctx, to, flags)
		},
	}
}

func ledger(ctx context.Context, to cli.Streams, flags *ledgerFlags) error {
	if flags.limit == 0 {
		return cli.UsageError{Field: "limit", Message: "must be at least 1"}
	}
	client, err := flags.operator.client()
	if err != nil {
		return err
	}
	var page operatorapi.Ledger
	after := flags.after
	for {
		next, err := client.Ledger(ctx, operator.LedgerQuery{
			Tenant: flags.tenant,
			Key:    flags.key,
			After:  after,
			Limit:  int(flags.limit),
		})
		if err != nil {
			return err
		}
		page.Revision, page.Next = next.Revision, next.Next
		page.Claims = append(page.Claims, next.Claims...)
		if !flags.all || next.Next == "" {
			break
		}
		after = next.Next
	}
	if flags.operator.output == cli.OutputJSON {
		return cli.PrintJSON(to.Out, page)
	}
	return printLedger(to, page)
}

func printLedger(to cli.Streams, page operatorapi.Ledger) error {
	printed := cli.NewTable(to.Out, "TENANT", "KEY", "OUTCOME", "ATTEMPT", "PROXY", "REVISION")
	for _, claim := range page.Claims {
		printed.Row(claim.Tenant, claim.Key, claim.Outcome, claim.Attempt, claim.Proxy, claim.Revision)
	}
	if err := printed.Flush(); err != nil {
		return err
	}
	if page.Next != "" {
		cli.Printf(to.Out, "more: --after %s\n", page.Next)
	}
	return nil
}
