// Command landingtrail is the product: the daemons of the control group and of
// the data path, and the operator's commands. It starts no process.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/logx"
)

// environmentPrefix starts the variables that stand in for flags:
// LANDINGTRAIL_ENDPOINTS is --endpoints.
const environmentPrefix = "LANDINGTRAIL"

const programName = "landingtrail"

func main() {
	// go-zero's logger would write lines of its own form beside ours.
	logx.Disable()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := run(ctx, os.Args[1:], streams{out: os.Stdout, err: os.Stderr})
	stop()
	os.Exit(int(code))
}

// streams are where a command writes: results to out, messages and logs to err.
type streams struct {
	out io.Writer
	err io.Writer
}

// run carries out one command line and returns its exit code.
func run(ctx context.Context, args []string, to streams) exitCode {
	root := rootCommand(to)
	command, rest := find(root, args)
	if command != root && len(rest) > 0 {
		depth := len(args) - len(rest)
		args = append(append([]string(nil), args[:depth]...), flagsFirst(command.FlagSet, rest)...)
	}
	err := root.Parse(args)
	if err == nil {
		err = root.Run(ctx)
	}
	return finish(err, command, to)
}

// finish prints what the command left to say and returns the exit code.
func finish(err error, command *ffcli.Command, to streams) exitCode {
	var noExec ffcli.NoExecError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		printf(to.out, "%s", ffcli.DefaultUsageFunc(command))
		return exitOK
	case errors.As(err, &noExec):
		return refuseCommand(noExec.Command, to)
	}
	for _, line := range messageLines(err) {
		printf(to.err, "%s: %s\n", command.Name, line)
	}
	return codeOf(err)
}

// refuseCommand says that a command is missing or unknown.
func refuseCommand(command *ffcli.Command, to streams) exitCode {
	var names []string
	for _, known := range command.Subcommands {
		names = append(names, known.Name)
	}
	printf(to.err, "%s: command: must be one of %s, got %q\nsee %s --help\n",
		command.Name, strings.Join(names, ", "), command.FlagSet.Arg(0), command.Name)
	return exitUsage
}

// printf writes to a terminal or pipe; a reader that has gone away is no
// failure of the command.
func printf(to io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(to, format, args...)
}

func rootCommand(to streams) *ffcli.Command {
	return &ffcli.Command{
		Name:       programName,
		ShortUsage: "landingtrail <command> [flags] [arguments]",
		LongHelp:   exitCodesHelp + "\n\nEvery flag also has a variable: LANDINGTRAIL_ENDPOINTS stands in for --endpoints.",
		FlagSet:    newFlagSet(programName),
		Subcommands: []*ffcli.Command{
			controlCommand(to), checkCommand(to),
			applyCommand(to), getCommand(to), diffCommand(to), labelCommand(to), drainCommand(to),
			statusCommand(to), ordersCommand(to), ledgerCommand(to), membersCommand(to), versionCommand(to),
		},
	}
}

// newFlagSet returns a flag set that leaves messages to finish.
func newFlagSet(name string) *flag.FlagSet {
	flagSet := flag.NewFlagSet(name, flag.ContinueOnError)
	flagSet.SetOutput(io.Discard)
	return flagSet
}

// environment lets variables stand in for a command's flags.
func environment() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)}
}
