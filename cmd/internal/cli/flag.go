package cli

import (
	"flag"
	"strconv"
	"strings"
	"time"
)

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

// DurationFlag defines a flag that takes a duration above zero.
func DurationFlag(flagSet *flag.FlagSet, target *time.Duration, name string, fallback time.Duration, usage string) {
	durationFlag(flagSet, target, name, fallback, usage, time.Nanosecond, "above zero")
}

// DurationOrZeroFlag defines a flag that takes a duration of zero or more.
func DurationOrZeroFlag(flagSet *flag.FlagSet, target *time.Duration, name string, fallback time.Duration, usage string) {
	durationFlag(flagSet, target, name, fallback, usage, 0, "of zero or more")
}

func durationFlag(flagSet *flag.FlagSet, target *time.Duration, name string, fallback time.Duration, usage string,
	least time.Duration, allowed string,
) {
	*target = fallback
	flagSet.Var(&parsedFlag{text: fallback.String(), parse: func(text string) error {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed < least {
			return allowedError("must be a duration " + allowed + " such as 500ms or 10s")
		}
		*target = parsed
		return nil
	}}, name, usage)
}

// BoolFlag defines a flag that is false unless it stands on the command line.
func BoolFlag(flagSet *flag.FlagSet, target *bool, name, usage string) {
	flagSet.Var(&parsedFlag{text: "false", boolean: true, parse: func(text string) error {
		parsed, err := strconv.ParseBool(text)
		if err != nil {
			return allowedError("must be true or false")
		}
		*target = parsed
		return nil
	}}, name, usage)
}

// ChoiceFlag defines a flag that takes one of the choices; the first is the default.
func ChoiceFlag(flagSet *flag.FlagSet, target *string, name, usage string, choices ...string) {
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

// UintFlag defines a flag that takes a whole number up to most.
func UintFlag(flagSet *flag.FlagSet, target *uint64, name string, fallback, most uint64, usage string) {
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
