package main

import (
	"testing"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/cmd/internal/clitest"
)

// TestCommandsOfPagesExist keeps the commands, flags and values that pages and
// help show equal to what the program takes.
func TestCommandsOfPagesExist(t *testing.T) {
	clitest.Check(t, programName, func() *ffcli.Command { return rootCommand(cli.Streams{}) })
}
