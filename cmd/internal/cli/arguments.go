package cli

import (
	"flag"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// find returns the command that args select and the arguments after its name.
func find(root *ffcli.Command, args []string) (*ffcli.Command, []string) {
	command := root
	for len(args) > 0 {
		next := subcommand(command, args[0])
		if next == nil {
			break
		}
		command = next
		args = args[1:]
	}
	return command, args
}

func subcommand(command *ffcli.Command, name string) *ffcli.Command {
	for _, candidate := range command.Subcommands {
		if strings.EqualFold(candidate.Name, name) {
			return candidate
		}
	}
	return nil
}

// flagsFirst moves flags before the other arguments, since the flag package
// stops at the first argument that is no flag.
func flagsFirst(flagSet *flag.FlagSet, args []string) []string {
	var flags, others []string
	for i := 0; i < len(args); i++ {
		arg := args[i]
		if arg == "--" {
			others = append(others, args[i+1:]...)
			break
		}
		if len(arg) < 2 || arg[0] != '-' {
			others = append(others, arg)
			continue
		}
		flags = append(flags, arg)
		if takesNext(flagSet, arg) && i+1 < len(args) {
			i++
			flags = append(flags, args[i])
		}
	}
	return append(append(flags, "--"), others...)
}

// takesNext reports whether the flag's value is the next argument.
func takesNext(flagSet *flag.FlagSet, arg string) bool {
	name := strings.TrimLeft(arg, "-")
	if strings.Contains(name, "=") {
		return false
	}
	known := flagSet.Lookup(name)
	if known == nil {
		return false
	}
	boolean, ok := known.Value.(interface{ IsBoolFlag() bool })
	return !ok || !boolean.IsBoolFlag()
}

// IsFlagError recognizes the flag package's own errors, which have no type.
func IsFlagError(err error) bool {
	return TrimFlagError(err) != err.Error()
}

// TrimFlagError drops what ff puts before the flag package's message.
func TrimFlagError(err error) string {
	text := strings.TrimPrefix(err.Error(), "error parsing commandline arguments: ")
	return strings.TrimPrefix(text, "error parsing environment variables: ")
}

// Exactly refuses missing and surplus arguments.
func Exactly(args []string, names ...string) error {
	if len(args) < len(names) {
		return UsageError{Field: names[len(args)], Message: "is missing"}
	}
	if len(args) > len(names) {
		return UsageError{Field: "arguments", Message: "unexpected " + strconv.Quote(args[len(names)])}
	}
	return nil
}
