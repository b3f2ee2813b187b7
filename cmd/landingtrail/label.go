package main

import (
	"context"
	"maps"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/version/api"
)

// labelChange sets or removes one label.
type labelChange struct {
	key    string
	value  string
	remove bool
}

func labelCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("label")
	flags := &editFlags{operator: newOperatorFlags(flagSet)}
	flags.register(flagSet)
	return &ffcli.Command{
		Name:       "label",
		ShortUsage: "landingtrail label KIND NAME key=value… key-… [flags]",
		ShortHelp:  "Set and remove labels of one object",
		LongHelp:   cli.ExampleHelp("landingtrail label engine narrator-3 tier=storm old-tier- --endpoints 127.0.0.1:7121 --wait"),
		FlagSet:    flagSet,
		Options:    cli.Environment(environmentPrefix),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) < 3 {
				return cli.Exactly(args, "kind", "name", "label")
			}
			key, err := parseKindAndName(args[0], args[1])
			if err != nil {
				return err
			}
			changes, err := parseLabelChanges(args[2:])
			if err != nil {
				return err
			}
			return flags.edit(ctx, to, key, func(object *api.Object) bool { return relabel(object, changes) })
		},
	}
}

func parseKindAndName(kindText, name string) (api.Key, error) {
	kind, err := parseKind(kindText)
	if err != nil {
		return api.Key{}, err
	}
	return checkedKey(kind, name)
}

func parseLabelChanges(args []string) ([]labelChange, error) {
	var changes []labelChange
	seen := map[string]bool{}
	for _, arg := range args {
		change, err := parseLabelChange(arg)
		if err != nil {
			return nil, err
		}
		if seen[change.key] {
			return nil, cli.UsageError{Field: "label", Message: strconv.Quote(change.key) + " must stand once"}
		}
		seen[change.key] = true
		changes = append(changes, change)
	}
	return changes, nil
}

func parseLabelChange(arg string) (labelChange, error) {
	key, value, sets := strings.Cut(arg, "=")
	change := labelChange{key: key, value: value}
	if !sets {
		change = labelChange{key: strings.TrimSuffix(arg, "-"), remove: true}
	}
	if !sets && !strings.HasSuffix(arg, "-") {
		return labelChange{}, cli.UsageError{Field: "label", Message: "must be key=value, or key- to remove one, got " + strconv.Quote(arg)}
	}
	selector := api.Selector{MatchLabels: api.Labels{change.key: change.value}}
	if faults := api.ValidateSelector("label", selector); len(faults) > 0 {
		return labelChange{}, cli.UsageError{Field: "label", Message: faults[0].Message}
	}
	return change, nil
}

// relabel reports whether any label changed.
func relabel(object *api.Object, changes []labelChange) bool {
	metadata := object.Metadata()
	labels := api.Labels{}
	for key, value := range metadata.Labels {
		labels[key] = value
	}
	for _, change := range changes {
		if change.remove {
			delete(labels, change.key)
			continue
		}
		labels[change.key] = change.value
	}
	changed := !maps.Equal(labels, metadata.Labels)
	metadata.Labels = labels
	return changed
}
