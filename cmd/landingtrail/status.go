package main

import (
	"context"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/connection/operatorapi"
)

func statusCommand(to streams) *ffcli.Command {
	flagSet := newFlagSet("status")
	flags := newOperatorFlags(flagSet)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "landingtrail status --endpoints A [flags]",
		ShortHelp:  "Show who serves what, what changes and why, and how many losses can be borne",
		LongHelp:   exampleHelp("landingtrail status --endpoints 127.0.0.1:7103"),
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
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if flags.output == outputJSON {
				return printJSON(to.out, status)
			}
			return printStatus(to, status)
		},
	}
}

func printStatus(to streams, status operatorapi.Status) error {
	printf(to.out, "leader %s, term %d, revision %d, commit %d\n", orNone(status.Leader), status.Term, status.Revision, status.Commit)
	printf(to.out, "further losses that can be borne: %d\n", status.FurtherLosses)
	printf(to.out, "members being repaired: %s\n", listOrNone(status.Repairing))
	printf(to.out, "daemons: %d, not in force yet: %s\n\n", status.Daemons, listOrNone(status.DaemonsBehind))
	if err := printMembers(to, status.Members); err != nil {
		return err
	}
	printf(to.out, "\n")
	return printEngines(to, status.Engines)
}

func printMembers(to streams, members []operatorapi.Member) error {
	printed := newTable(to.out, "MEMBER", "ID", "ROLE", "ACTIVE", "LAG", "OPERATOR-ADDRESS")
	for _, member := range members {
		printed.row(member.Name, member.ID, member.Role, member.Active, member.Lag, member.OperatorAddress)
	}
	return printed.flush()
}

func printEngines(to streams, engines []operatorapi.EngineSummary) error {
	printed := newTable(to.out, "ENGINE", "INTENT", "PHASE", "SERVING", "CHANGING-TO", "WHY", "NOTES")
	for _, engine := range engines {
		target := ""
		if engine.Target != nil {
			target = assignmentText(*engine.Target)
		}
		printed.row(engine.Name, engine.Intent, phaseText(engine.Phase), assignmentText(engine.Assignment),
			target, engine.Reason, engineNotes(engine))
	}
	return printed.flush()
}

func engineNotes(engine operatorapi.EngineSummary) string {
	var notes []string
	if engine.Silent {
		notes = append(notes, "silent")
	}
	if engine.Drain {
		notes = append(notes, "drain asked")
	}
	return strings.Join(notes, ", ")
}
