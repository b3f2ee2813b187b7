package main

import (
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/version/api"
)

func ordersCommand(to cli.Streams) *ffcli.Command {
	return showing[operatorapi.OrderList]{
		name:  "orders",
		help:  "List the open orders and what their engines last said",
		read:  (*operator.Client).Orders,
		print: printOrders,
	}.command(to)
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
