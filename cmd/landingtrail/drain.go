package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/version/api"
)

func drainCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("drain")
	flags := &editFlags{operator: newOperatorFlags(flagSet)}
	flags.register(flagSet)
	var undo bool
	cli.BoolFlag(flagSet, &undo, "undo", "let the engine take work again")
	return &ffcli.Command{
		Name:       "drain",
		ShortUsage: "landingtrail drain ENGINE [--undo] [flags]",
		ShortHelp:  "Ask that an engine take no new work; what it runs is finished",
		LongHelp:   cli.ExampleHelp("landingtrail drain narrator-3 --endpoints 127.0.0.1:7121 --wait"),
		FlagSet:    flagSet,
		Options:    cli.Environment(environmentPrefix),
		Exec: func(ctx context.Context, args []string) error {
			if err := cli.Exactly(args, "engine"); err != nil {
				return err
			}
			key, err := checkedKey(api.KindEngine, args[0])
			if err != nil {
				return err
			}
			return flags.edit(ctx, to, key, func(object *api.Object) bool {
				changed := object.Engine.Spec.Drain == undo
				object.Engine.Spec.Drain = !undo
				return changed
			})
		},
	}
}
