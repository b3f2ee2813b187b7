package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/settings"
)

// Pages of docs that are made from the code.
const (
	pageEvents   = "events"
	pageSettings = "settings"
)

func pagesCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("page")
	return &ffcli.Command{
		Name:       "page",
		ShortUsage: "landingtrail-lab page events|settings",
		ShortHelp:  "Print a page of docs that is made from the code",
		LongHelp:   cli.ExampleHelp("landingtrail-lab page events >docs/EVENTS.md"),
		FlagSet:    flagSet,
		Exec: func(_ context.Context, args []string) error {
			if err := cli.Exactly(args, "page"); err != nil {
				return err
			}
			switch args[0] {
			case pageEvents:
				cli.Printf(to.Out, "%s", event.Page())
				return nil
			case pageSettings:
				cli.Printf(to.Out, "%s", settings.Page())
				return nil
			}
			return cli.UsageError{Field: "page", Message: "must be events or settings, got " + args[0]}
		},
	}
}
