package main

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/version/api"
)

func ordersCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("orders")
	flags := newOperatorFlags(flagSet)
	return &ffcli.Command{
		Name:       "orders",
		ShortUsage: "landingtrail orders --endpoints A [flags]",
		ShortHelp:  "List the open orders and what their engines last said",
		LongHelp:   cli.ExampleHelp("landingtrail orders --endpoints 127.0.0.1:7121"),
		FlagSet:    flagSet,
		Options:    cli.Environment(environmentPrefix),
		Exec: func(ctx context.Context, args []string) error {
			if err := cli.Exactly(args); err != nil {
				return err
			}
			client, err := flags.client()
			if err != nil {
				return err
			}
			orders, err := client.Orders(ctx)
			if err != nil {
				return err
			}
			if flags.output == cli.OutputJSON {
				return cli.PrintJSON(to.Out, orders)
			}
			return printOrders(to, orders)
		},
	}
}

func printOrders(to cli.Streams, orders operatorapi.OrderList) error {
	printed := cli.NewTable(to.Out, "ENGINE", "FENCE", "TO", "WHY", "PHASE", "CONFIRMED", "SILENT")
	for _, open := range orders.Orders {
		printed.Row(open.Order.Engine, fenceText(open.Order.Fence), assignmentText(open.Order.Assignment),
			open.Order.Reason, phaseText(open.Phase), fenceText(open.Confirmed), open.Silent)
	}
	return printed.Flush()
}

// fenceText is "term.index".
func fenceText(fence api.Fence) string {
	if fence.IsZero() {
		return ""
	}
	return fmt.Sprintf("%d.%d", fence.Term, fence.Index)
}
