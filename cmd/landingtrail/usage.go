package main

import (
	"context"
	"encoding/csv"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/version/api"
)

// outputCSV is the form that sheets read.
const outputCSV = "csv"

// usageFlags are the flags of usage.
type usageFlags struct {
	operator *operatorFlags
	tenant   string
}

func usageCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("usage")
	flags := &usageFlags{operator: newOperatorFlags(flagSet, outputCSV)}
	flagSet.StringVar(&flags.tenant, "tenant", "", "show this tenant alone")
	return &ffcli.Command{
		Name:       "usage",
		ShortUsage: "landingtrail usage --endpoints A [--tenant T] [flags]",
		ShortHelp:  "Show the requests of tenants by window: counted, decided, reported",
		LongHelp: "A window's counts are final once they are decided, and are what is reported, however often.\n" +
			"counted: still open. outstanding: decided, and not taken by the platform yet. partial: a process\n" +
			"fell silent whose counts may lack.\n\n" +
			cli.ExampleHelp("landingtrail usage --endpoints 127.0.0.1:7121", "landingtrail usage --tenant north --output csv --endpoints 127.0.0.1:7121"),
		FlagSet: flagSet,
		Options: cli.Environment(environmentPrefix),
		Exec: func(ctx context.Context, args []string) error {
			if err := cli.Exactly(args); err != nil {
				return err
			}
			return usage(ctx, to, flags)
		},
	}
}

func usage(ctx context.Context, to cli.Streams, flags *usageFlags) error {
	client, err := flags.operator.client()
	if err != nil {
		return err
	}
	list, err := client.Usage(ctx)
	if err != nil {
		return err
	}
	switch flags.operator.output {
	case cli.OutputJSON:
		return cli.PrintJSON(to.Out, list)
	case outputCSV:
		return printUsageCSV(to, list, flags.tenant)
	}
	printed := cli.NewTable(to.Out, usageTitles...)
	for _, row := range usageRows(list, flags.tenant) {
		cells := make([]any, len(row))
		for i, cell := range row {
			cells[i] = cell
		}
		printed.Row(cells...)
	}
	return printed.Flush()
}

func printUsageCSV(to cli.Streams, list operatorapi.UsageList, tenant string) error {
	writer := csv.NewWriter(to.Out)
	rows := append([][]string{usageTitles}, usageRows(list, tenant)...)
	return errors.Wrap(writer.WriteAll(rows), "write result")
}

var usageTitles = []string{"WINDOW", "BEGINS", "TENANT", "REQUESTS", "STATE", "PARTIAL"}

// usageRows returns a row for each tenant of each window.
func usageRows(list operatorapi.UsageList, tenant string) [][]string {
	var rows [][]string
	for i := range list.Windows {
		window := &list.Windows[i]
		begins := time.UnixMilli(window.Window * list.WindowMilliseconds).UTC().Format(time.RFC3339)
		for _, name := range slices.Sorted(maps.Keys(window.Counts)) {
			if tenant != "" && tenant != name {
				continue
			}
			rows = append(rows, []string{
				strconv.FormatInt(window.Window, 10), begins, name, strconv.FormatUint(window.Counts[name], 10),
				usageState(window), strconv.FormatBool(window.Partial),
			})
		}
	}
	return rows
}

func usageState(window *api.UsageWindow) string {
	switch {
	case window.Reported:
		return "reported"
	case window.Decided:
		return "outstanding"
	default:
		return "counted"
	}
}
