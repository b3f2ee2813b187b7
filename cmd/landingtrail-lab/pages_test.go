package main

import (
	"testing"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/cmd/internal/clitest"
)

func newRootCommand() *ffcli.Command { return rootCommand(cli.Streams{}) }

// TestCommandsOfPagesExist keeps the pages' commands, flags and values equal to
// what the program takes.
func TestCommandsOfPagesExist(t *testing.T) {
	must.Positive(t, clitest.CheckPages(t, programName, newRootCommand))
}

func TestCommandsOfHelpExist(t *testing.T) {
	clitest.CheckHelp(t, programName, newRootCommand)
}
