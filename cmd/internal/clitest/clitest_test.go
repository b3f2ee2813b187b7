package clitest

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestCommandLinesOfFencedBlocks(t *testing.T) {
	page := "bin/program outside\n" +
		"```sh\n" +
		"bin/program one --flag \"value\" \\\n  --other # comment\n" +
		"program two | head -n 2\n" +
		"other program three\n" +
		"program four; echo\n" +
		"```\n" +
		"program outside again\n"
	must.Eq(t, [][]string{{"one", "--flag", "value", "--other"}, {"two"}, {"four"}}, commandLines("program", fencedBlocks(page)))
}
