package main

import (
	"flag"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/version/api"
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

// isFlagError recognizes the flag package's own errors, which have no type.
func isFlagError(err error) bool {
	return trimFlagError(err) != err.Error()
}

// trimFlagError drops what ff puts before the flag package's message.
func trimFlagError(err error) string {
	text := strings.TrimPrefix(err.Error(), "error parsing commandline arguments: ")
	return strings.TrimPrefix(text, "error parsing environment variables: ")
}

// parsedFlag is a flag.Value whose error says what is allowed.
type parsedFlag struct {
	text    string
	boolean bool
	parse   func(string) error
}

// String returns the text that was set.
func (f *parsedFlag) String() string {
	if f == nil {
		return ""
	}
	return f.text
}

// Set parses the text.
func (f *parsedFlag) Set(text string) error {
	if err := f.parse(text); err != nil {
		return err
	}
	f.text = text
	return nil
}

// IsBoolFlag lets a boolean flag stand without a value.
func (f *parsedFlag) IsBoolFlag() bool { return f.boolean }

// allowedError says what a flag allows.
type allowedError string

// Error returns the text.
func (e allowedError) Error() string { return string(e) }

func durationFlag(flagSet *flag.FlagSet, target *time.Duration, name string, fallback time.Duration, usage string) {
	*target = fallback
	flagSet.Var(&parsedFlag{text: fallback.String(), parse: func(text string) error {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed <= 0 {
			return allowedError("must be a duration above zero such as 500ms or 10s")
		}
		*target = parsed
		return nil
	}}, name, usage)
}

func boolFlag(flagSet *flag.FlagSet, target *bool, name, usage string) {
	flagSet.Var(&parsedFlag{boolean: true, parse: func(text string) error {
		parsed, err := strconv.ParseBool(text)
		if err != nil {
			return allowedError("must be true or false")
		}
		*target = parsed
		return nil
	}}, name, usage)
}

func choiceFlag(flagSet *flag.FlagSet, target *string, name, usage string, choices ...string) {
	*target = choices[0]
	flagSet.Var(&parsedFlag{text: choices[0], parse: func(text string) error {
		for _, choice := range choices {
			if text == choice {
				*target = text
				return nil
			}
		}
		return allowedError("must be one of " + strings.Join(choices, ", "))
	}}, name, usage)
}

func uintFlag(flagSet *flag.FlagSet, target *uint64, name string, fallback, most uint64, usage string) {
	*target = fallback
	flagSet.Var(&parsedFlag{text: strconv.FormatUint(fallback, 10), parse: func(text string) error {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil || parsed > most {
			return allowedError("must be a whole number from 0 to " + strconv.FormatUint(most, 10))
		}
		*target = parsed
		return nil
	}}, name, usage)
}

// parseKind reads a kind in any case, in the singular or plural.
func parseKind(text string) (api.Kind, error) {
	var names []string
	for _, kind := range api.Kinds {
		lower := strings.ToLower(string(kind))
		if strings.EqualFold(text, lower) || strings.EqualFold(text, plural(lower)) {
			return kind, nil
		}
		names = append(names, string(kind))
	}
	return "", usageError{"kind", "must be one of " + strings.Join(names, ", ") + ", got " + strconv.Quote(text)}
}

func plural(name string) string {
	if strings.HasSuffix(name, "s") {
		return name + "es"
	}
	return name + "s"
}

// parseKey reads "KIND/NAME".
func parseKey(field, text string) (api.Key, error) {
	kindText, name, found := strings.Cut(text, "/")
	if !found {
		return api.Key{}, usageError{field, "must be KIND/NAME, got " + strconv.Quote(text)}
	}
	kind, err := parseKind(kindText)
	if err != nil {
		return api.Key{}, err
	}
	return checkedKey(kind, name)
}

// checkedKey returns the key of a valid name.
func checkedKey(kind api.Kind, name string) (api.Key, error) {
	key := api.Key{Kind: kind, Name: name}
	if faults := api.ValidateKey(key); len(faults) > 0 {
		return api.Key{}, usageError{"name", faults[0].Message}
	}
	return key, nil
}

// exactly refuses missing and surplus arguments.
func exactly(args []string, names ...string) error {
	if len(args) < len(names) {
		return usageError{names[len(args)], "is missing"}
	}
	if len(args) > len(names) {
		return usageError{"arguments", "unexpected " + strconv.Quote(args[len(names)])}
	}
	return nil
}
