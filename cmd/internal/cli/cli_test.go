package cli

import (
	"bytes"
	"context"
	"flag"
	"io"
	"testing"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// given is what a command line of the test's command came to.
type given struct {
	wait  time.Duration
	count uint64
	kind  string
	dry   bool
	args  []string
}

func newTestRoot(into *given) *ffcli.Command {
	flagSet := NewFlagSet("do")
	DurationOrZeroFlag(flagSet, &into.wait, "wait", time.Second, "")
	UintFlag(flagSet, &into.count, "count", 3, 10, "")
	ChoiceFlag(flagSet, &into.kind, "kind", "", "plain", "fancy")
	BoolFlag(flagSet, &into.dry, "dry", "")
	command := &ffcli.Command{Name: "do", FlagSet: flagSet, Exec: func(_ context.Context, args []string) error {
		into.args = args
		return Exactly(args, "name")
	}}
	return &ffcli.Command{Name: "program", FlagSet: NewFlagSet("program"), Subcommands: []*ffcli.Command{command}}
}

func TestFlagsAndArgumentsInAnyOrder(t *testing.T) {
	for _, args := range [][]string{
		{"do", "x", "--wait", "0s", "--dry", "--kind=fancy"},
		{"do", "--dry", "--wait=0s", "x", "--kind", "fancy"},
		{"do", "--kind", "fancy", "--wait", "0s", "--dry", "--", "x"},
	} {
		var got given
		code := Run(context.Background(), newTestRoot(&got), args, Streams{Out: io.Discard, Err: io.Discard}, JudgeUsage)
		must.Eq(t, ExitOK, code)
		must.Eq(t, given{count: 3, kind: "fancy", dry: true, args: []string{"x"}}, got)
	}
}

func TestFaultsOfTheCommandLine(t *testing.T) {
	tests := []struct {
		args []string
		say  string
	}{
		{[]string{"do", "x", "--wait", "-1s"}, "must be a duration of zero or more"},
		{[]string{"do", "x", "--count", "11"}, "must be a whole number from 0 to 10"},
		{[]string{"do", "x", "--kind", "odd"}, "must be one of plain, fancy"},
		{[]string{"do", "x", "--dry=perhaps"}, "must be true or false"},
		{[]string{"do", "x", "--none"}, "flag provided but not defined: -none"},
		{[]string{"do"}, "name: is missing"},
		{[]string{"do", "x", "y"}, `arguments: unexpected "y"`},
		{[]string{"undo"}, "command: must be one of do"},
		{nil, "command: must be one of do"},
	}
	for _, test := range tests {
		var messages bytes.Buffer
		code := Run(context.Background(), newTestRoot(&given{}), test.args, Streams{Out: io.Discard, Err: &messages}, JudgeUsage)
		must.Eq(t, ExitUsage, code, must.Sprint(test.args))
		must.StrContains(t, messages.String(), test.say)
	}
}

func TestDurationAboveZero(t *testing.T) {
	flagSet := NewFlagSet("do")
	var wait time.Duration
	DurationFlag(flagSet, &wait, "wait", time.Second, "")
	must.ErrorContains(t, flagSet.Parse([]string{"--wait", "0s"}), "must be a duration above zero")
	must.NoError(t, flagSet.Parse([]string{"--wait", "1ms"}))
	must.Eq(t, time.Millisecond, wait)
}

func TestJudgeUsageTellsFailuresFromFaults(t *testing.T) {
	_, code := JudgeUsage(errors.Wrap(UsageError{Field: "f", Message: "m"}, "outer"))
	must.Eq(t, ExitUsage, code)
	lines, code := JudgeUsage(errors.New("broken"))
	must.Eq(t, ExitFailed, code)
	must.Eq(t, []string{"broken"}, lines)
	must.False(t, IsFlagError(flag.ErrHelp))
}

func TestTableShowsEmptyCells(t *testing.T) {
	var out bytes.Buffer
	table := NewTable(&out, "A", "B")
	table.Row("long", "")
	must.NoError(t, table.Flush())
	must.Eq(t, "A     B\nlong  -\n", out.String())
}
