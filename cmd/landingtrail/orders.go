package main

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/version/api"
)

func ordersCommand(to streams) *ffcli.Command {
	flagSet := newFlagSet("orders")
	flags := newOperatorFlags(flagSet)
	return &ffcli.Command{
		Name:       "orders",
		ShortUsage: "landingtrail orders --endpoints A [flags]",
		ShortHelp:  "List the open orders and what their engines last said",
		LongHelp:   exampleHelp("landingtrail orders --endpoints 127.0.0.1:7103"),
		FlagSet:    flagSet,
		Options:    environment(),
		Exec: func(ctx context.Context, args []string) error {
			if err := exactly(args); err != nil {
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
			if flags.output == outputJSON {
				return printJSON(to.out, orders)
			}
			return printOrders(to, orders)
		},
	}
}

func printOrders(to streams, orders operatorapi.OrderList) error {
	printed := newTable(to.out, "ENGINE", "FENCE", "TO", "WHY", "PHASE", "CONFIRMED", "SILENT")
	for _, open := range orders.Orders {
		printed.row(open.Order.Engine, fenceText(open.Order.Fence), assignmentText(open.Order.Assignment),
			open.Order.Reason, phaseText(open.Phase), fenceText(open.Confirmed), open.Silent)
	}
	return printed.flush()
}

// fenceText is "term.index".
func fenceText(fence api.Fence) string {
	if fence.IsZero() {
		return ""
	}
	return fmt.Sprintf("%d.%d", fence.Term, fence.Index)
}
