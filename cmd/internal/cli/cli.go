// Package cli holds what the two programs' command lines have in common: flags
// that say what they allow, flags and arguments in any order, tables, and one
// place where an error becomes a message and an exit status.
package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// ExitCode is the exit status of a command.
type ExitCode int

// Exit codes of every program.
const (
	ExitOK     ExitCode = 0
	ExitFailed ExitCode = 1
	ExitUsage  ExitCode = 2
)

// Streams are where a command writes: results to Out, messages and logs to Err.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// UsageError is a fault of the command line: the field at fault and what is allowed.
type UsageError struct {
	Field   string
	Message string
}

// Error words the fault.
func (e UsageError) Error() string { return e.Field + ": " + e.Message }

// Judge turns a command's error into the lines to print and the exit code.
type Judge func(err error) ([]string, ExitCode)

// JudgeUsage is the Judge of errors that need no more than the usage codes.
func JudgeUsage(err error) ([]string, ExitCode) {
	var usage UsageError
	if errors.As(err, &usage) || IsFlagError(err) {
		return []string{TrimFlagError(err)}, ExitUsage
	}
	return []string{err.Error()}, ExitFailed
}

// Run carries out one command line and returns its exit code.
func Run(ctx context.Context, root *ffcli.Command, args []string, to Streams, judge Judge) ExitCode {
	command, err := Parse(root, args)
	if err == nil {
		err = root.Run(ctx)
	}
	return finish(err, command, to, judge)
}

// Parse reads one command line without carrying it out, and returns the command
// that it selects: root itself if it names no command. The error is that of the
// flags.
func Parse(root *ffcli.Command, args []string) (*ffcli.Command, error) {
	command, rest := find(root, args)
	if command != root && len(rest) > 0 {
		depth := len(args) - len(rest)
		args = append(append([]string(nil), args[:depth]...), flagsFirst(command.FlagSet, rest)...)
	}
	return command, root.Parse(args)
}

// finish prints what the command left to say and returns the exit code.
func finish(err error, command *ffcli.Command, to Streams, judge Judge) ExitCode {
	var noExec ffcli.NoExecError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		Printf(to.Out, "%s", ffcli.DefaultUsageFunc(command))
		return ExitOK
	case errors.As(err, &noExec):
		return refuseCommand(noExec.Command, to)
	}
	lines, code := judge(err)
	for _, line := range lines {
		Printf(to.Err, "%s: %s\n", command.Name, line)
	}
	return code
}

// refuseCommand says that a command is missing or unknown.
func refuseCommand(command *ffcli.Command, to Streams) ExitCode {
	var names []string
	for _, known := range command.Subcommands {
		names = append(names, known.Name)
	}
	Printf(to.Err, "%s: command: must be one of %s, got %q\nsee %s --help\n",
		command.Name, strings.Join(names, ", "), command.FlagSet.Arg(0), command.Name)
	return ExitUsage
}

// Printf writes to a terminal or pipe; a reader that has gone away is no
// failure of the command.
func Printf(to io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(to, format, args...)
}

// NewFlagSet returns a flag set that leaves messages to Run.
func NewFlagSet(name string) *flag.FlagSet {
	flagSet := flag.NewFlagSet(name, flag.ContinueOnError)
	flagSet.SetOutput(io.Discard)
	return flagSet
}

// Environment lets variables stand in for a command's flags: with the prefix
// LANDINGTRAIL, LANDINGTRAIL_ENDPOINTS is --endpoints.
func Environment(prefix string) []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(prefix)}
}

// ExampleHelp is the part of a command's help that shows it in use.
func ExampleHelp(lines ...string) string {
	return "EXAMPLE\n  " + strings.Join(lines, "\n  ")
}
