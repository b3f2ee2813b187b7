package main

import (
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
)

func statusCommand(to cli.Streams) *ffcli.Command {
	return showing[operatorapi.Status]{
		name:  "status",
		help:  "Show who serves what, what changes and why, and how many losses can be borne",
		read:  (*operator.Client).Status,
		print: printStatus,
	}.command(to)
}

func printStatus(to cli.Streams, status operatorapi.Status) error {
	cli.Printf(to.Out, "leader %s, term %d, revision %d, commit %d\n", orNone(status.Leader), status.Term, status.Revision, status.Commit)
	cli.Printf(to.Out, "further losses that can be borne: %d\n", status.FurtherLosses)
	cli.Printf(to.Out, "members being repaired: %s\n", listOrNone(status.Repairing))
	cli.Printf(to.Out, "daemons: %d, not in force yet: %s\n\n", status.Daemons, listOrNone(status.DaemonsBehind))
	if err := printMembers(to, status.Members); err != nil {
		return err
	}
	cli.Printf(to.Out, "\n")
	return printEngines(to, status.Engines)
}

func printMembers(to cli.Streams, members []operatorapi.Member) error {
	printed := cli.NewTable(to.Out, "MEMBER", "ID", "ROLE", "ACTIVE", "LAG", "OPERATOR-ADDRESS")
	for _, member := range members {
		printed.Row(member.Name, member.ID, member.Role, member.Active, member.Lag, member.OperatorAddress)
	}
	return printed.Flush()
}

func printEngines(to cli.Streams, engines []operatorapi.EngineSummary) error {
	printed := cli.NewTable(to.Out, "ENGINE", "INTENT", "PHASE", "SERVING", "CHANGING-TO", "WHY", "NOTES")
	for _, engine := range engines {
		target := ""
		if engine.Target != nil {
			target = orNone(assignmentText(*engine.Target))
		}
		printed.Row(engine.Name, engine.Intent, phaseText(engine.Phase), assignmentText(engine.Assignment),
			target, engine.Reason, engineNotes(engine))
	}
	return printed.Flush()
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
