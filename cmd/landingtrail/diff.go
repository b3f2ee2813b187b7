package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/process/settings"
	"github.com/landingtrail/landingtrail/version/api"
)

// fieldChange is one field that applying a file would change. An empty value
// means that the field is not there.
type fieldChange struct {
	Object string `json:"object"`
	Field  string `json:"field"`
	Now    string `json:"now,omitempty"`
	Wanted string `json:"wanted,omitempty"`
}

func diffCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("diff")
	flags := newOperatorFlags(flagSet)
	file := flagSet.String("file", "", "file with objects; - reads standard input")
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "landingtrail diff --endpoints A --file F [flags]",
		ShortHelp:  "Show the fields that applying a file would change",
		LongHelp:   cli.ExampleHelp("landingtrail diff --endpoints 127.0.0.1:7121 --file deployments/radarvlak/objects.yaml"),
		FlagSet:    flagSet,
		Options:    cli.Environment(environmentPrefix),
		Exec: func(ctx context.Context, args []string) error {
			if err := cli.Exactly(args); err != nil {
				return err
			}
			if *file == "" {
				return cli.UsageError{Field: "file", Message: "must name a file with objects"}
			}
			objects, err := settings.LoadObjects(*file)
			if err != nil {
				return fileError("file", err)
			}
			return diff(ctx, to, flags, objects)
		},
	}
}

func diff(ctx context.Context, to cli.Streams, flags *operatorFlags, objects []api.Object) error {
	client, err := flags.client()
	if err != nil {
		return err
	}
	changes, err := changesOf(ctx, client, objects)
	if err != nil {
		return err
	}
	if flags.output == cli.OutputJSON {
		return cli.PrintJSON(to.Out, changes)
	}
	printChanges(to, changes)
	return nil
}

// changesOf lists the fields of the objects that differ from those in force.
func changesOf(ctx context.Context, client *operator.Client, objects []api.Object) ([]fieldChange, error) {
	changes := []fieldChange{}
	for _, wanted := range objects {
		key, _ := wanted.Key()
		current, err := client.Object(ctx, key)
		if err != nil {
			return nil, err
		}
		found, err := compare(key, current, wanted)
		if err != nil {
			return nil, err
		}
		changes = append(changes, found...)
	}
	return changes, nil
}

func printChanges(to cli.Streams, changes []fieldChange) {
	if len(changes) == 0 {
		cli.Printf(to.Out, "no difference\n")
	}
	for _, change := range changes {
		cli.Printf(to.Out, "%s %s: %s -> %s\n", change.Object, change.Field, orNone(change.Now), orNone(change.Wanted))
	}
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

// compare lists the fields of metadata.labels and spec that differ.
func compare(key api.Key, current *api.Object, wanted api.Object) ([]fieldChange, error) {
	now := map[string]string{}
	if current != nil {
		if err := flatten(*current, now); err != nil {
			return nil, err
		}
	}
	then := map[string]string{}
	if err := flatten(wanted, then); err != nil {
		return nil, err
	}
	fields := map[string]bool{}
	for field := range now {
		fields[field] = true
	}
	for field := range then {
		fields[field] = true
	}
	var changes []fieldChange
	for field := range fields {
		if now[field] != then[field] {
			changes = append(changes, fieldChange{Object: key.String(), Field: field, Now: now[field], Wanted: then[field]})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Field < changes[j].Field })
	return changes, nil
}

// comparedObject is the part of every object that an operator writes.
type comparedObject struct {
	Metadata struct {
		Labels any `json:"labels"`
	} `json:"metadata"`
	Spec any `json:"spec"`
}

// flatten writes each leaf of the labels and the spec under its path.
func flatten(object api.Object, leaves map[string]string) error {
	text, err := json.Marshal(object)
	if err != nil {
		return errors.Wrap(err, "compare objects")
	}
	var byKind map[string]comparedObject
	if err := json.Unmarshal(text, &byKind); err != nil {
		return errors.Wrap(err, "compare objects")
	}
	for _, compared := range byKind {
		flattenValue("metadata.labels", compared.Metadata.Labels, leaves)
		flattenValue("spec", compared.Spec, leaves)
	}
	return nil
}

func flattenValue(path string, value any, leaves map[string]string) {
	switch typed := value.(type) {
	case nil:
	case map[string]any:
		for name, child := range typed {
			flattenValue(path+"."+name, child, leaves)
		}
	case []any:
		for i, child := range typed {
			flattenValue(fmt.Sprintf("%s[%d]", path, i), child, leaves)
		}
	default:
		leaves[path] = fmt.Sprint(typed)
	}
}
