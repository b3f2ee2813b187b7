package main

import (
	"context"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
)

// quotaFlags are the flags of quota.
type quotaFlags struct {
	operator *operatorFlags
	tenant   string
}

func quotaCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("quota")
	flags := &quotaFlags{operator: newOperatorFlags(flagSet)}
	flagSet.StringVar(&flags.tenant, "tenant", "", "show this tenant alone")
	return &ffcli.Command{
		Name:       "quota",
		ShortUsage: "landingtrail quota --endpoints A [--tenant T] [flags]",
		ShortHelp:  "Show what tenants have left of their quotas",
		LongHelp: "Amounts are in the quota's unit. left: what the tenant may spend at once. granted and refused\n" +
			"count since the present leader began. Why one request was refused stands in its proxy's log (4611).\n\n" +
			cli.ExampleHelp("landingtrail quota --endpoints 127.0.0.1:7121"),
		FlagSet: flagSet,
		Options: cli.Environment(environmentPrefix),
		Exec: func(ctx context.Context, args []string) error {
			if err := cli.Exactly(args); err != nil {
				return err
			}
			return showQuotas(ctx, to, flags)
		},
	}
}

func showQuotas(ctx context.Context, to cli.Streams, flags *quotaFlags) error {
	client, err := flags.operator.client()
	if err != nil {
		return err
	}
	list, err := client.Quotas(ctx)
	if err != nil {
		return err
	}
	if flags.operator.output == cli.OutputJSON {
		return cli.PrintJSON(to.Out, list)
	}
	printed := cli.NewTable(to.Out, "TENANT", "UNIT", "PER_SECOND", "BURST", "LEFT", "GRANTED", "REFUSED")
	for _, row := range quotaRows(list, flags.tenant) {
		printed.Row(row...)
	}
	return printed.Flush()
}

// quotaRows returns a row for each tenant that has a quota.
func quotaRows(list operatorapi.QuotaList, tenant string) [][]any {
	var rows [][]any
	for _, known := range list.Tenants {
		if tenant != "" && tenant != known.Tenant {
			continue
		}
		rows = append(rows, []any{
			known.Tenant, string(known.Quota.Unit), wholeUnits(known.Quota.PerSecond), wholeUnits(known.Quota.Burst),
			wholeUnits(known.Left), wholeUnits(known.Granted), strconv.FormatInt(known.Refused, 10),
		})
	}
	return rows
}

func wholeUnits(amount float64) string { return strconv.FormatFloat(amount, 'f', 0, 64) }
